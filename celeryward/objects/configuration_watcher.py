"""A task that keeps the platform's configuration up to date."""

import contextlib
import time

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import records

BOOKMARK_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.5


class ConfigurationWatcher:
    """Lists all configuration once, then watches all kinds in one stream.

    :param client: :class:`client.ObjectClient`.
    :param configuration: :class:`configuration.ConfigurationStore`.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, client, configuration, clock=time.time):
        self.client = client
        self.configuration = configuration
        self.clock = clock
        self.synced = curio.Event()
        self.since = 0

    async def run(self):
        """Keep the configuration up to date until cancelled.

        Starts with a list, because changes may have been missed since an
        earlier run ended.
        """
        self.synced.clear()
        while True:
            if self.synced.is_set() or await self.list_all():
                await self.watch()
            await curio.sleep(RETRY_SECONDS)

    async def list_all(self):
        """Read every kind; return whether all reads succeeded."""
        started_at = self.clock()
        revisions = []
        for kind in records.KINDS:
            listed = await self.client.list(kind)
            if listed.is_err():
                error = listed.unwrap_err()
                logs.bind_error(error).warning(
                    'configuration not read: {}', error.message
                )
                return False
            revisions.append(listed.unwrap().revision)
            self.configuration.accept_list(kind, listed.unwrap())
        # The lists are read one after the other; the watch starts at the
        # lowest of their revisions, so that it misses no change in between.
        self.since = min(revisions)
        self.confirm(self.since, started_at)
        await self.synced.set()
        return True

    async def watch(self):
        """Apply the changes of one watch until it ends."""
        changes = self.client.watch(
            records.KINDS,
            self.since,
            lambda: deadlines.Deadline.after(BOOKMARK_TIMEOUT_SECONDS),
        )
        async with contextlib.aclosing(changes):
            async for change in changes:
                if change.is_err():
                    await self.handle_failure(change.unwrap_err())
                    return
                self.configuration.accept((change.unwrap(),))
                self.since = max(self.since, change.unwrap().revision)
                self.confirm(self.since, self.clock())

    def confirm(self, revision, at):
        """Record that the platform confirmed the configuration.

        A list or watch at an older revision than the configuration, which
        peers also update, confirms nothing.
        """
        if revision >= self.configuration.revision:
            self.configuration.confirm(at)

    async def handle_failure(self, error):
        """Log an error; list again if the platform has dropped the changes."""
        logs.bind_error(error).info('watch ended: {}', error.message)
        if isinstance(error, errors.RevisionExpired):
            self.synced.clear()
