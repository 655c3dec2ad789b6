"""Source of objects for a follower: another router, or the store."""

import curio
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import generations
from celeryward.routers import client
from celeryward.routers import departure_news
from celeryward.routers import members

# Wait of the call to the store after a failed poll.
FALLBACK_SECONDS = 0.25
# Time for the first list of routers to arrive, before lists are read from the
# store.
MEMBERS_SECONDS = 2.0
# Time for a leader that starts at the same moment to read its own lists.
LEADER_START_SECONDS = 2.0
LEADER_RETRY_SECONDS = 0.25


class ChangeSource:
    """Reads from the store, or from a leader that relays its changes.

    It has the read methods of :class:`client.ObjectClient`.

    :param store: :class:`client.ObjectClient` of the store.
    :param members: :class:`members.Members`.
    :param pacing: :class:`pacing.Pacing`; None to use the store only.
    :param str confirmed_kind: kind whose age is bounded; routers that others
        follow poll it more often.
    :param outages: :class:`outages.OutageTracker`.
    :param departure_news.DepartureNews news: takes what leaders tell.

    Polls of the ``long_kinds`` are not limited to the wait of the pacing.
    ``generations`` are the :class:`generations.Generations` of the store.
    """

    def __init__(
        self, store, members, pacing, confirmed_kind, outages, news=None
    ):
        self.news = news or departure_news.DepartureNews()
        self.pacing = pacing
        self.confirmed_kind = confirmed_kind
        self.store = store
        self.members = members
        self.clients = {}
        self.outages = outages
        self.long_kinds = frozenset()
        self.generations = generations.Generations()

    @property
    def peer(self):
        """The address of the store."""
        return self.store.peer

    async def list_pages(self, kind):
        """Read all objects of a kind.

        :returns: the result of :meth:`client.ObjectClient.list_pages`.
        """
        leader = await self.wait_for_leader()
        if leader is not None:
            outcome = self.check_generation(
                leader, await self.list_from(leader, kind)
            )
            if outcome.is_ok():
                return outcome
            self.handle_failure(leader, outcome.unwrap_err())
        return await self.call_store(self.store.list_pages(kind))

    async def wait_for_leader(self):
        """Return the leader, once the list of routers has been read."""
        if self.pacing is None:
            return None
        async with curio.ignore_after(MEMBERS_SECONDS):
            await self.members.listed.wait()
        return self.members.leader()

    async def list_from(self, leader, kind):
        """Read all objects of a kind from a leader.

        A leader that has no list yet is asked again for a while.
        """
        until = deadlines.Deadline.after(LEADER_START_SECONDS)
        while True:
            outcome = await self.client_of(leader).list_pages(kind)
            has_no_list = outcome.is_err() and isinstance(
                outcome.unwrap_err(), errors.NotFound
            )
            if until.expired() or not has_no_list:
                return outcome
            await curio.sleep(LEADER_RETRY_SECONDS)

    async def changes(self, kind, since, wait_seconds):
        """Wait for changes of a kind after a revision.

        :returns: the result of :meth:`client.ObjectClient.changes`.
        """
        leader = self.members.leader() if self.pacing else None
        if leader is not None:
            outcome = self.check_generation(
                leader,
                await self.client_of(leader).changes(
                    kind, since, self.leader_wait(kind, wait_seconds)
                ),
            )
            if outcome.is_ok():
                self.outages.record_report(outcome.unwrap().away_seconds)
                self.news.accept(outcome.unwrap().leaving)
                return outcome
            error = outcome.unwrap_err()
            self.handle_failure(leader, error)
            if isinstance(error, errors.RevisionExpired):
                # The leader has a complete list.
                return outcome
            if not isinstance(error, errors.NotFound):
                # A leader without the kind will not have it soon.
                wait_seconds = min(wait_seconds, FALLBACK_SECONDS)
        elif self.pacing and kind == self.confirmed_kind:
            if self.members.is_followed:
                wait_seconds = min(wait_seconds, self.pacing.leader_wait)
        return await self.call_store(
            self.store.changes(kind, since, wait_seconds)
        )

    def check_generation(self, leader, outcome):
        """Return the outcome of a call to a leader, or an error.

        Data of an earlier generation than the newest known is not used.
        """
        if outcome.is_err() or self.generations.accept_relayed(
            outcome.unwrap().generation
        ):
            return outcome
        return result.Err(
            errors.StateOutdated(
                'data of the router is of an earlier generation',
                step='follow',
                peer=leader.name,
            )
        )

    def leader_wait(self, kind, wait_seconds):
        """Return how long a poll for changes waits at a leader."""
        if kind in self.long_kinds:
            return wait_seconds
        return min(wait_seconds, self.pacing.poll_wait)

    async def call_store(self, call):
        """Await a read of the store, and record whether it is reachable."""
        started_at = self.outages.clock()
        outcome = await call
        if outcome.is_ok():
            self.outages.record_report(None)
        elif isinstance(outcome.unwrap_err(), errors.PlatformUnavailable):
            self.outages.record_failure(started_at)
        return outcome

    def handle_failure(self, leader, error):
        """Avoid a leader for a while, unless it responded."""
        # With these errors it responded that it can't relay these changes;
        # it can still relay others.
        is_alive = isinstance(
            error,
            (errors.RevisionExpired, errors.AnswerTooLarge, errors.NotFound),
        )
        if isinstance(error, errors.StateOutdated):
            self.members.avoid(leader, members.OUTDATED_AVOID_SECONDS)
        elif not is_alive:
            self.members.avoid(leader)
        logs.bind_error(error, router=leader.name, avoided=not is_alive).info(
            'changes not passed on: {}', error.message
        )

    def client_of(self, member):
        """Return the client for another router."""
        key = (member.host, member.port)
        if key not in self.clients:
            self.clients[key] = client.RouterClient(
                member, self.members.own.name
            )
        return self.clients[key]
