"""Registers this router in the store and discovers the other routers."""

import random

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import ignored
from celeryward.objects import protocol

# Time for all routers of a fleet that starts for the first time to register.
# Random, because they may start at the same moment.
FIRST_LIST_SECONDS = (0.6, 1.2)
# A second read soon after finds routers that registered late.
SECOND_LIST_SECONDS = (4.0, 6.0)
LIST_SECONDS = (20.0, 30.0)
RETRY_SECONDS = (0.5, 1.5)
# Time after which a new generation of the store's data is noticed.
CHECK_SECONDS = 0.5
GENERATOR = random.Random()


class PeerDiscovery:
    """Keeps this router registered and the list of routers up to date.

    :param client: :class:`client.ObjectClient` of the store.
    :param str kind: the kind of the routers' objects.
    :param members: :class:`members.Members`.
    :param translator: has ``write_member(member)``, which returns a spec,
        and ``read_member(stored)``, which returns ``Ok`` with a member, or
        ``Err``.
    :param bool first_start: whether the whole fleet starts for the first
        time, so that the other routers register at the same moment.
    :param ignored_entries: :class:`ignored.IgnoredEntries`.
    """

    def __init__(
        self,
        client,
        kind,
        members,
        translator,
        first_start=False,
        ignored_entries=None,
    ):
        self.ignored = ignored_entries or ignored.IgnoredEntries()
        self.first_start = first_start
        self.client = client
        self.kind = kind
        self.members = members
        self.translator = translator
        self.entry = protocol.StoredObject(
            kind, members.own.name, translator.write_member(members.own)
        )
        self.generations = client.generations
        # Generation of the store's data that the entry was written to.
        self.generation = None

    async def run(self):
        """Register this router, then read the list until cancelled."""
        while not await self.register():
            await sleep_random(RETRY_SECONDS)
        if self.first_start:
            await sleep_random(FIRST_LIST_SECONDS)
        await self.read_members(allow_stale=False)
        await self.members.listed.set()
        await self.pause(SECOND_LIST_SECONDS)
        while True:
            if self.is_outdated:
                await self.renew()
            await self.read_members()
            await self.pause(LIST_SECONDS)

    @property
    def is_outdated(self):
        """Whether the store may have lost the entry in a restore."""
        return self.generation != self.generations.current

    async def pause(self, bounds):
        """Sleep for a random time, or until the entry is outdated."""
        until = deadlines.Deadline.after(GENERATOR.uniform(*bounds))
        while not until.expired() and not self.is_outdated:
            await curio.sleep(min(CHECK_SECONDS, until.remaining()))

    async def renew(self):
        """Write the entry of this router again after a restore.

        The other routers do so as well, and their list is read after that.
        """
        await sleep_random(FIRST_LIST_SECONDS)
        while self.is_outdated and not await self.register():
            await sleep_random(RETRY_SECONDS)
        await self.pause(SECOND_LIST_SECONDS)

    async def register(self):
        """Write the entry of this router to the store.

        An entry of an earlier process under the same name is replaced.

        :returns: whether the entry is in the store.
        """
        outcome = await self.client.create(self.entry)
        if outcome.is_err() and isinstance(
            outcome.unwrap_err(), errors.Conflict
        ):
            outcome = await self.client.get(self.kind, self.entry.name)
            if outcome.is_ok():
                existing = outcome.unwrap()
                if existing.spec != self.entry.spec:
                    outcome = await self.client.put(
                        self.entry, existing.revision
                    )
        if outcome.is_err():
            log_failure(outcome.unwrap_err(), 'router not registered')
            return False
        self.entry = outcome.unwrap()
        self.generation = self.generations.current
        return True

    async def read_members(self, allow_stale=True):
        """Read the list of routers.

        :param bool allow_stale: whether the list may be seconds out of date.
        """
        outcome = await self.client.list_pages(self.kind, allow_stale)
        if outcome.is_err():
            log_failure(outcome.unwrap_err(), 'routers not read')
            return
        if self.is_outdated:
            # The other routers have not written their entries again yet.
            return
        listed = outcome.unwrap()
        for fault in listed.faults:
            self.ignored.record(self.kind, '', fault)
        found = [
            self.ignored.unwrap(stored, self.translator.read_member(stored))
            for stored in listed.items
        ]
        self.members.replace([each for each in found if each is not None])
        logs.bind(
            step='routers',
            peer=self.client.peer,
            routers=self.members.count,
            leads=self.members.is_leader,
        ).info('routers read')

    async def deregister(self):
        """Remove the entry of this router."""
        if not self.entry.revision:
            return
        outcome = result.Ok(self.entry)
        if self.is_outdated:
            outcome = await self.client.get(self.kind, self.entry.name)
        if outcome.is_ok():
            outcome = await self.client.delete(outcome.unwrap())
        if outcome.is_err():
            log_failure(outcome.unwrap_err(), 'router not deregistered')


def log_failure(error, text):
    """Log a failed call.

    A failed registration or read is retried. Other routers notice by
    themselves that a router which failed to deregister is gone.
    """
    logs.bind_error(error).warning('{}: {}', text, error.message)


async def sleep_random(bounds):
    """Sleep for a random time between two bounds, in seconds."""
    await curio.sleep(GENERATOR.uniform(*bounds))
