"""A task that keeps all objects of one kind up to date."""

import dataclasses
import math

import curio
import result

from celeryward import errors
from celeryward import logs
from celeryward.objects import freshness
from celeryward.objects import ignored

RETRY_SECONDS = 0.25
# The end of an outage is detected within this time and that of one call.
MAX_RETRY_SECONDS = 0.5
PRIMARY_POLL_SECONDS = 0.1
# Wait of a call that only reads the changes that have happened already.
CATCH_UP_WAIT_SECONDS = 0.02
# A response with a change confirms the state only up to that change. The next
# watch waits briefly, so that its response soon confirms the newest state. A
# brief wait also detects soon that an unavailable store responds again.
CONFIRM_WAIT_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTimings:
    """Wait times of the calls of a watcher.

    :param float wait_seconds: how long a watch waits for a change.
    :param float coalesce_seconds: pause after a change, so that one call
        reads all changes that follow in quick succession.
    :param bool confirm_changes: whether a change is followed by a short
        watch that confirms the newest state, because the age of the objects
        matters.
    :param float stale_seconds: age of the last confirmation from which the
        changes are read at once when another watcher learns of a newer
        revision.
    """

    wait_seconds: float
    coalesce_seconds: float = 0.05
    confirm_changes: bool = False
    stale_seconds: float = math.inf


class KindWatcher:
    """Lists a kind once, then watches it.

    It lists the kind again once the store no longer has the changes after
    the last revision that was read, or has returned from an older copy of its
    data. The first list after that may lack what was written lately.

    The revision of the store increases over all kinds. The primary watcher
    makes short calls, so that it learns the revision often, and makes the
    others catch up. A watch whose connection no longer delivers data
    therefore delays changes only briefly.

    :param source: :class:`routers.source.ChangeSource`, or the store's
        :class:`client.ObjectClient`.
    :param str kind: the kind to watch.
    :param WatchTimings timings: wait times of the calls.
    :param receiver: has ``on_list(objects)``, ``on_change(change)`` and
        ``on_confirmed(at)``, with ``at`` on the boot-time clock, and
        ``on_restored_list(objects)`` for the first list of a new generation.
    :param primary: the watcher that detects the end of an outage and learns
        the revision of the store; None if this is the primary.
    :param change_log: has ``reset(revision, objects, generation)`` and
        ``extend(changes, revision)``, and keeps what they bring for other
        routers; None to keep none.
    :param clock: function that returns seconds on the boot-time clock.
    :param ignored_entries: :class:`ignored.IgnoredEntries`.
    """

    def __init__(
        self,
        source,
        kind,
        timings,
        receiver,
        primary=None,
        change_log=None,
        clock=freshness.boot_seconds,
        ignored_entries=None,
    ):
        self.ignored = ignored_entries or ignored.IgnoredEntries()
        self.primary = primary
        self.secondaries = []
        if primary is not None:
            primary.secondaries.append(self)
        self.change_log = change_log
        self.source = source
        self.kind = kind
        self.timings = timings
        self.receiver = receiver
        self.clock = clock
        self.since = None
        self.generation = None
        self.polled_generation = None
        self.reachable = True
        self.confirmation_due = False
        self.confirmed_at = -math.inf

    async def run(self):
        """Keep the objects of the kind up to date until cancelled."""
        delay = RETRY_SECONDS
        while True:
            step = self.list_all if self.since is None else self.watch
            outcome = await step()
            if outcome.is_ok():
                delay = RETRY_SECONDS
                self.record_success()
                continue
            error = outcome.unwrap_err()
            if isinstance(error, errors.RevisionExpired):
                self.schedule_relist(error)
                # Limits the rate of lists at a store that keeps no history.
                await curio.sleep(RETRY_SECONDS)
                continue
            self.record_failure(error)
            await curio.sleep(delay)
            delay = min(MAX_RETRY_SECONDS, delay * 2)
            while self.primary is not None and not self.primary.reachable:
                await curio.sleep(PRIMARY_POLL_SECONDS)

    async def list_all(self):
        """Read all objects of the kind and pass them to the receiver."""
        started_at = self.clock()
        outcome = await self.source.list_pages(self.kind)
        if outcome.is_ok():
            listed = outcome.unwrap()
            self.record_faults(listed.faults)
            is_restored = self.generation not in (None, listed.generation)
            if is_restored:
                self.receiver.on_restored_list(listed.items)
            else:
                self.receiver.on_list(listed.items)
            confirmed_at = started_at + listed.confirmed_seconds
            self.confirm(confirmed_at)
            self.since = listed.revision
            self.generation = listed.generation
            if self.change_log is not None:
                await self.change_log.reset(
                    listed.revision, listed.items, listed.generation
                )
            if is_restored:
                await self.catch_up_secondaries(listed, confirmed_at)
        return outcome

    async def catch_up_secondaries(self, answer, confirmed_at):
        """Make the other watchers catch up with a list or changes.

        :returns: ``Ok``, or the ``Err`` of the first that failed.
        """
        for secondary in self.secondaries:
            outcome = await secondary.catch_up(answer, confirmed_at)
            if outcome.is_err():
                return outcome
        return result.Ok(None)

    async def watch(self):
        """Wait for changes once and pass them to the receiver.

        The other watchers of the router then catch up with the revision.
        """
        started_at = self.clock()
        generation = self.polled_generation = self.generation
        wait = self.timings.wait_seconds
        if self.confirmation_due or not self.reachable:
            wait = CONFIRM_WAIT_SECONDS
        outcome = await self.source.changes(self.kind, self.since, wait)
        if self.generation != generation:
            # Catching up has read a list of a new generation meanwhile.
            return result.Ok(None)
        if outcome.is_err():
            return outcome
        answer = outcome.unwrap()
        if answer.generation != generation:
            return self.reject_generation()
        if self.since is None:
            # Catching up has found meanwhile that a new list is needed.
            return outcome
        await self.apply(answer, started_at)
        if answer.passed_on:
            # The other router has confirmed and coalesced the changes.
            self.confirmation_due = False
            return outcome
        # An answer that may have come early confirms nothing.
        self.confirmation_due = answer.confirmed_seconds < 0.0 or (
            bool(answer.changes) and self.timings.confirm_changes
        )
        confirmed_at = started_at + answer.confirmed_seconds
        caught_up = await self.catch_up_secondaries(answer, confirmed_at)
        if caught_up.is_err():
            return caught_up
        if answer.changes:
            await curio.sleep(self.timings.coalesce_seconds)
        return outcome

    async def apply(self, answer, started_at):
        """Pass the new changes in an answer to the receiver."""
        self.record_faults(answer.faults)
        new_changes = tuple(
            change for change in answer.changes if change.revision > self.since
        )
        if new_changes:
            self.log_changes(answer, started_at)
        for change in new_changes:
            self.receiver.on_change(change)
        self.since = max(self.since, answer.revision)
        self.confirm(started_at + answer.confirmed_seconds)
        if self.change_log is not None:
            await self.change_log.extend(new_changes, self.since)

    def reject_generation(self):
        """Return the error of changes that are of another generation.

        Their revisions can't be compared with those that were read.
        """
        return result.Err(
            errors.RevisionExpired(
                'changes are of another generation',
                step='follow',
                peer=self.source.peer,
            )
        )

    async def catch_up(self, answer, at):
        """Read the changes up to a revision, unless they are known.

        In a new generation, all objects are read instead.

        :param answer: what another watcher has read of the store.
        :param float at: when its revision was the newest, on the boot-time
            clock.
        :returns: the outcome of the call, or ``Ok`` if none was needed.
        """
        if self.since is None:
            return result.Ok(None)
        if self.generation != answer.generation:
            return await self.list_all()
        if self.since >= answer.revision:
            self.confirm(at)
            return result.Ok(None)
        started_at = self.clock()
        # An open poll from a lost revision misses changes.
        is_polled = self.polled_generation == self.generation
        age = started_at - self.confirmed_at
        if is_polled and age < self.timings.stale_seconds:
            return result.Ok(None)
        outcome = await self.source.changes(
            self.kind, self.since, CATCH_UP_WAIT_SECONDS
        )
        if outcome.is_ok():
            if outcome.unwrap().generation != self.generation:
                return self.reject_generation()
            await self.apply(outcome.unwrap(), started_at)
        elif isinstance(outcome.unwrap_err(), errors.RevisionExpired):
            self.schedule_relist(outcome.unwrap_err())
            return await self.list_all()
        return outcome

    def record_faults(self, faults):
        """Record the entries without a readable name."""
        for fault in faults:
            self.ignored.record(self.kind, '', fault)

    def confirm(self, at):
        """Record that the objects were up to date at a time."""
        self.confirmed_at = max(at, self.confirmed_at)
        self.receiver.on_confirmed(at)

    def log_changes(self, answer, started_at):
        """Log an answer with changes."""
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

    def record_failure(self, error):
        """Log the first of successive failures."""
        if self.reachable:
            self.reachable = False
            logs.bind_error(error, kind=self.kind, since=self.since).warning(
                'store lost: {}', error.message
            )

    def schedule_relist(self, error):
        """List the kind again next, because changes may have been missed."""
        logs.bind_error(error, kind=self.kind, since=self.since).info(
            'history is gone: {}', error.message
        )
        self.since = None

    def record_success(self):
        """Log the first success after a failure."""
        if not self.reachable:
            self.reachable = True
            logs.bind(
                step='follow', peer=self.source.peer, kind=self.kind
            ).info('store regained')
