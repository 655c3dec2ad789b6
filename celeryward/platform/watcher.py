"""The task that follows the platform's configuration."""

import contextlib

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.platform import protocol
from celeryward.platform import records

BOOKMARK_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.5


class Watcher:
    """Lists all configuration once, then follows one watch on all kinds."""

    def __init__(self, client, configuration):
        self.client = client
        self.configuration = configuration
        self.listed = curio.Event()
        self.since = 0

    async def run(self):
        """Follow the configuration until cancelled."""
        while True:
            if not self.listed.is_set() and not await self.list_all():
                await curio.sleep(RETRY_SECONDS)
                continue
            await self.follow()
            await curio.sleep(RETRY_SECONDS)

    async def list_all(self):
        """Read every kind; return whether all reads succeeded."""
        revisions = []
        for kind in records.KINDS:
            listed = await self.client.list(kind)
            if listed.is_err():
                error = listed.unwrap_err()
                logs.bind_error(error).warning(
                    'configuration not read: {}', error.message
                )
                return False
            items = listed.unwrap().items
            revisions.append(listed.unwrap().revision)
            self.configuration.accept(
                protocol.Change('put', stored.revision, stored)
                for stored in items
            )
        # The lists are read one after the other; the watch starts at the
        # oldest of them so that no change in between is missed.
        self.since = min(revisions)
        await self.listed.set()
        return True

    async def follow(self):
        """Apply the changes of one watch until it ends."""
        changes = self.client.watch(
            records.KINDS,
            self.since,
            lambda: deadlines.Deadline.after(BOOKMARK_TIMEOUT_SECONDS),
        )
        async with contextlib.aclosing(changes):
            async for change in changes:
                if change.is_err():
                    await self.note_failure(change.unwrap_err())
                    return
                self.configuration.accept((change.unwrap(),))
                self.since = max(self.since, change.unwrap().revision)

    async def note_failure(self, error):
        """List again if the platform no longer holds the changes."""
        logs.bind_error(error).info('watch ended: {}', error.message)
        if isinstance(error, errors.RevisionExpired):
            self.listed.clear()
