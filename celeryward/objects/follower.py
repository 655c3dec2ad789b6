"""The task that follows all objects of one kind."""

import dataclasses
import math

import curio
import result

from celeryward import errors
from celeryward import logs
from celeryward.objects import freshness

RETRY_SECONDS = 0.25
# An outage is found to be over within this time and that of one call.
MAX_RETRY_SECONDS = 0.5
FIRST_POLL_SECONDS = 0.1
# Wait of a watch that only asks for what has happened already.
CATCH_UP_WAIT_SECONDS = 0.02
# The answer with a change confirms nothing after the change; a short wait
# then confirms soon that nothing else has changed. It also finds out soon
# that a store which was away is back.
CONFIRM_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How long calls of a follower may take.

    :param float wait_seconds: time that a watch waits for a change.
    :param float coalesce_seconds: pause after a change, so that changes
        which come together are read by one call.
    :param bool confirms: whether it matters how old the objects are.
    :param float stale_seconds: age at which the kind is read again once
        another follower hears of a newer revision.
    """

    wait_seconds: float
    coalesce_seconds: float = 0.05
    confirms: bool = False
    stale_seconds: float = math.inf


class Follower:
    """Lists a kind once, then watches it; lists again when history is lost.

    The store counts one revision over all kinds. The first follower, whose
    calls are short, hears of it often and lets the others catch up, so that a
    watch whose connection has gone silent hides nothing for long.

    :param source: :class:`routers.source.ChangeSource`, or the store's
        :class:`client.ObjectClient`.
    :param str kind: the kind to follow.
    :param Pace pace: how long each watch waits.
    :param receiver: has ``listed(objects)``, ``changed(change)`` and
        ``confirmed(at)``, with ``at`` on the boot-time clock.
    :param first: another follower, which finds out whether the store is
        back and what revision it is at; None if this one does so itself.
    :param change_log: has ``reset(revision)`` and ``extend(changes,
        revision)``, and keeps the changes for others; None for none.
    :param clock: function that returns seconds on the boot-time clock.
    """

    def __init__(
        self,
        source,
        kind,
        pace,
        receiver,
        first=None,
        change_log=None,
        clock=freshness.boot_seconds,
    ):
        self.first = first
        self.others = []
        if first is not None:
            first.others.append(self)
        self.change_log = change_log
        self.source = source
        self.kind = kind
        self.pace = pace
        self.receiver = receiver
        self.clock = clock
        self.since = None
        self.reachable = True
        self.changed = False
        self.confirmed_at = -math.inf

    async def run(self):
        """Follow the kind until cancelled."""
        delay = RETRY_SECONDS
        while True:
            step = self.list_all if self.since is None else self.follow
            outcome = await step()
            if outcome.is_ok():
                delay = RETRY_SECONDS
                self.note_reachable()
                continue
            error = outcome.unwrap_err()
            if isinstance(error, errors.RevisionExpired):
                self.forget_history(error)
                # A store that keeps nothing would be listed all the time.
                await curio.sleep(RETRY_SECONDS)
                continue
            self.note_failure(error)
            await curio.sleep(delay)
            delay = min(MAX_RETRY_SECONDS, delay * 2)
            while self.first is not None and not self.first.reachable:
                await curio.sleep(FIRST_POLL_SECONDS)

    async def list_all(self):
        """Read the whole kind and hand it over."""
        started_at = self.clock()
        outcome = await self.source.list_pages(self.kind)
        if outcome.is_ok():
            listed = outcome.unwrap()
            self.receiver.listed(listed.items)
            self.confirm(started_at)
            self.since = listed.revision
            if self.change_log is not None:
                await self.change_log.reset(listed.revision)
        return outcome

    async def follow(self):
        """Wait for changes once and hand them over."""
        started_at = self.clock()
        wait = self.pace.wait_seconds
        if self.changed or not self.reachable:
            wait = CONFIRM_SECONDS
        outcome = await self.source.changes(self.kind, self.since, wait)
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if self.since is None:
            # The history was found to be gone meanwhile.
            return outcome
        await self.take(answer, started_at)
        if answer.passed_on:
            # It is confirmed, and was coalesced, by the other router.
            self.changed = False
            return outcome
        self.changed = bool(answer.changes) and self.pace.confirms
        confirmed_at = started_at + answer.confirmed_seconds
        for other in self.others:
            caught_up = await other.catch_up(answer.revision, confirmed_at)
            if caught_up.is_err():
                return caught_up
        if answer.changes:
            await curio.sleep(self.pace.coalesce_seconds)
        return outcome

    async def take(self, answer, started_at):
        """Hand over the changes in an answer that are news."""
        news = tuple(
            change for change in answer.changes if change.revision > self.since
        )
        if news:
            self.log_changes(answer, started_at)
        for change in news:
            self.receiver.changed(change)
        self.since = max(self.since, answer.revision)
        self.confirm(started_at + answer.confirmed_seconds)
        if self.change_log is not None:
            await self.change_log.extend(news, self.since)

    async def catch_up(self, revision, at):
        """Read what has happened up to a revision, unless it is known.

        :param int revision: revision of the store, as another follower has
            heard of it.
        :param float at: when nothing was newer, on the boot-time clock.
        :returns: the outcome of the call, or ``Ok`` if none was needed.
        """
        if self.since is None:
            return result.Ok(None)
        if self.since >= revision:
            self.confirm(at)
            return result.Ok(None)
        started_at = self.clock()
        if started_at - self.confirmed_at < self.pace.stale_seconds:
            return result.Ok(None)
        outcome = await self.source.changes(
            self.kind, self.since, CATCH_UP_WAIT_SECONDS
        )
        if outcome.is_ok():
            await self.take(outcome.unwrap(), started_at)
        elif isinstance(outcome.unwrap_err(), errors.RevisionExpired):
            self.forget_history(outcome.unwrap_err())
            return await self.list_all()
        return outcome

    def confirm(self, at):
        """Note that the kind is known as of a time."""
        self.confirmed_at = max(at, self.confirmed_at)
        self.receiver.confirmed(at)

    def log_changes(self, answer, started_at):
        """Write one line on an answer with changes."""
        logs.bind(
            step='follow',
            peer=self.source.peer,
            kind=self.kind,
            since=self.since,
            revision=answer.revision,
            changes=len(answer.changes),
            waited=round(self.clock() - started_at, 3),
            passed_on=answer.passed_on,
        ).info('changes read')

    def note_failure(self, error):
        """Log the first of several failures."""
        if self.reachable:
            self.reachable = False
            logs.bind_error(error, kind=self.kind, since=self.since).warning(
                'store lost: {}', error.message
            )

    def forget_history(self, error):
        """Begin with a list again, because changes may be unknown."""
        logs.bind_error(error, kind=self.kind, since=self.since).info(
            'history is gone: {}', error.message
        )
        self.since = None

    def note_reachable(self):
        """Log that the store answers again."""
        if not self.reachable:
            self.reachable = True
            logs.bind(
                step='follow', peer=self.source.peer, kind=self.kind
            ).info('store regained')
