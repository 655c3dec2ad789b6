"""Endpoints that are cold, and when this router may send to them.

A cold endpoint gets requests of this router only in slots that
:mod:`celeryward.endpoints.warm_up_shares` divides among all routers. A slot
that passes unused is lost. After the warm-up the endpoint's share rises
gradually. Answers restarts of endpoints under load, also of a whole failure
domain at once. Needs no network.
"""

import dataclasses
import math
import random
import time

from celeryward.endpoints import crashes
from celeryward.endpoints import runners
from celeryward.endpoints import warm_up_shares
from celeryward.endpoints import warm_up_states
from celeryward.objects import freshness

# Longest cold time of which an endpoint can inform.
MAX_COLD_SECONDS = 3600.0
# Time after a router has registered and read the list of routers in which it
# sends nothing to cold endpoints. Other routers read the list within 30 s, and
# slots that were taken before a restart are over by then.
QUIET_SECONDS = 35.0
# Time for which the list may still name the run of a process that has ended,
# while the next process has started at its address.
RESTART_SECONDS = 3.0
# Time after a warm-up within which the endpoint's share rises.
RAMP_SECONDS = 3.0
# Sources of a cold time, as they are logged.
ENTRY = 'entry'
ANSWER = 'answer'
PROCESS_END = 'end of its process'
GENERATOR = random.Random()


class WarmUps:
    """The endpoints that are cold or have been so lately, by id.

    ``slots_taken`` counts slots, ``refused_writes`` requests that were not
    written because there was no slot any more. ``unreadable`` holds the keys
    of the runs whose last cold time of a source could not be read.

    :param warm_up_shares.ColdRules rules: the rules in force.
    :param table: :class:`runners.RunnerTable`.
    :param members: :class:`members.Members`, the order of the routers.
    :param int min_routers: lower bound on the assumed number of routers.
    :param bool first_start: whether the whole deployment starts.
    :param clock: function that returns seconds on a clock that also runs
        while the host is suspended.
    :param utc_clock: function that returns UTC seconds.
    """

    def __init__(
        self,
        rules,
        table,
        members,
        min_routers=1,
        first_start=False,
        clock=freshness.boot_seconds,
        utc_clock=time.time,
    ):
        self.rules = rules
        self.table = table
        self.members = members
        self.min_routers = min_routers
        self.before_traffic = first_start
        self.clock = clock
        self.utc_clock = utc_clock
        self.quiet_until = math.inf
        self.states = {}
        self.ranks = {}
        self.unreadable = set()
        self.slots_taken = 0
        self.refused_writes = 0
        table.entry_listeners.append(self.record_listed)
        table.listeners.append(self.forget_unreadable)
        members.list_listeners.append(self.begin_quiet_time)
        if members.list_received:
            self.begin_quiet_time()

    def begin_quiet_time(self):
        """Allow slots once the other routers know of this one."""
        self.quiet_until = self.clock() + QUIET_SECONDS

    def record_listed(self, runner, previous):
        """Record an entry of the list of endpoints.

        :param runners.Runner previous: the entry before, None for none.
        """
        self.delete_expired()
        if not self.is_limited(runner):
            return
        is_new = previous is None or previous.key != runner.key
        # The entry of a run may vanish for a while and come back.
        if is_new and self.state_of(runner) is None:
            self.begin_run(runner, previous)
        self.extend(runner, runner.cold_seconds, ENTRY)

    def is_limited(self, runner):
        """Return whether an endpoint's service has a rule, or may have one."""
        if self.rules.is_loaded():
            return self.rules.of_service(runner.service) is not None
        return self.rules.is_enabled()

    def begin_run(self, runner, previous):
        """Record a run of an endpoint that was not listed before."""
        now = self.clock()
        age = 0.0
        if previous is None and self.before_traffic:
            age = math.inf
        elif runner.started_at:
            age = max(0.0, self.utc_clock() - runner.started_at)
        before = self.states.get(runner.id)
        self.states[runner.id] = warm_up_states.WarmUp(
            runner.key,
            runner.service,
            now,
            age,
            cold_since=now,
            phase=GENERATOR.random(),
            # The process of this run may have got requests for the one before.
            earliest_slot=before.earliest_slot if before else -math.inf,
        )
        if self.is_cold(runner):
            self.log_cold(runner, 'start')

    def expect_restart(self, runner):
        """Record that the process of an endpoint has ended.

        The next one at its address is cold. It may get requests that are
        meant for this run until its own entry arrives.
        """
        rule = self.rules.of_service(runner.service)
        if rule is not None and rule.cold_seconds:
            seconds = rule.cold_seconds + RESTART_SECONDS
            self.extend(runner, seconds, PROCESS_END)

    async def record_ends(self, evidence, origin):
        """Record crashes that this router or another one has seen.

        :param evidence: only :class:`crashes.Crash` counts.
        :param str origin: not used.
        """
        for crash in evidence:
            if isinstance(crash, crashes.Crash):
                listed = self.table.runners.get(crash.endpoint)
                if listed is not None and listed.key == crash.key:
                    self.expect_restart(listed)

    def extend(self, runner, seconds, source=ENTRY):
        """Record for how long an endpoint stays cold.

        :param seconds: None for a time that can't be read, in place of which
            the time of the service counts, once until one can be read.
        :param str source: how this is known.
        """
        if seconds is None:
            seconds = self.replace_unreadable(runner, source)
        else:
            self.unreadable.discard((runner.key, source))
        if seconds <= 0.0 or not self.is_limited(runner):
            return
        now = self.clock()
        was_cold = self.is_cold(runner)
        state = self.state_of(runner) or warm_up_states.WarmUp(
            runner.key, runner.service, now, math.inf
        )
        until = now + min(seconds, MAX_COLD_SECONDS)
        state = dataclasses.replace(
            state, cold_until=max(state.cold_until, until)
        )
        if not was_cold:
            state = dataclasses.replace(
                state, cold_since=now, phase=GENERATOR.random()
            )
        self.states[runner.id] = state
        if not was_cold and self.is_cold(runner):
            self.log_cold(runner, source)

    def replace_unreadable(self, runner, source):
        """Return the seconds that replace a time that can't be read.

        Entries repeat the value, which must not extend the time for ever.
        """
        rule = self.rules.of_service(runner.service)
        mark = (runner.key, source)
        if rule is None or mark in self.unreadable:
            return 0.0
        self.unreadable.add(mark)
        return rule.cold_seconds

    def forget_unreadable(self, runner):
        """Forget the unreadable times of a run that is over."""
        self.unreadable -= {(runner.key, ENTRY), (runner.key, ANSWER)}

    def log_cold(self, runner, source):
        """Log that an endpoint has become cold; once for each warm-up."""
        share = self.share_of(runner)
        runners.bind_logger(
            runner,
            source=source,
            seconds=round(self.warm_at(runner) - self.clock(), 3),
            routers=self.router_count(),
            senders=share.senders,
            spacing=round(share.spacing, 3),
            sends=self.is_sender(runner),
        ).info('endpoint is cold')

    def delete_expired(self):
        """Delete the states that are of no use any more.

        Entries that vanish don't delete them, as they may come back.
        """
        if not self.rules.is_loaded():
            return
        now = self.clock()
        for runner_id, state in tuple(self.states.items()):
            rule = self.rules.of_service(state.service)
            warm_at = state.warm_at(rule) if rule else -math.inf
            if max(warm_at + RAMP_SECONDS, state.earliest_slot) < now:
                del self.states[runner_id]
                self.ranks.pop(runner_id, None)

    def state_of(self, runner):
        """Return the :class:`warm_up_states.WarmUp` of a run, or None."""
        state = self.states.get(runner.id)
        return state if state and state.key == runner.key else None

    def warm_at(self, runner):
        """Return when the warm-up of an endpoint ends, -inf for none."""
        state = self.state_of(runner)
        rule = self.rules.of_service(runner.service)
        return state.warm_at(rule) if state and rule else -math.inf

    def is_cold(self, runner):
        """Return whether an endpoint is cold now."""
        return self.warm_at(runner) > self.clock()

    def cold_count(self):
        """Return the number of listed endpoints that are cold."""
        return sum(map(self.is_cold, tuple(self.table.runners.values())))

    def router_count(self):
        """Return the number of routers that share the cold endpoints."""
        return max(self.min_routers, self.members.recent_count)

    def share_of(self, runner):
        """Return the :class:`warm_up_shares.Share` of a cold endpoint."""
        rule = self.rules.of_service(runner.service)
        return warm_up_shares.divide(rule, self.router_count())

    def is_sender(self, runner):
        """Return whether this router may send to a cold endpoint at all."""
        version, rank = self.ranks.get(runner.id, (None, 0))
        if version != self.members.version:
            version = self.members.version
            rank = self.members.recent_rank(runner.id)
            self.ranks[runner.id] = (version, rank)
        return rank < self.share_of(runner).senders

    def next_slot(self, runner):
        """Return when the next slot at a cold endpoint begins, inf if never.

        That is on the boot-time clock.
        """
        if not self.is_sender(runner):
            return math.inf
        state = self.state_of(runner)
        slot = state.next_slot(self.share_of(runner).spacing)
        return max(slot, self.quiet_until)

    def may_start(self, runner):
        """Return whether this router may send an endpoint a request now."""
        if not self.is_cold(runner):
            return True
        return self.next_slot(runner) <= self.clock()

    def blocked_ids(self, endpoints):
        """Return the ids of cold endpoints that may get no request now."""
        if not self.states:
            return frozenset()
        return frozenset(
            each.id for each in endpoints if not self.may_start(each)
        )

    def deferred_ids(self, endpoints):
        """Return the ids of endpoints to use only if others don't do.

        These are the cold ones, and after a warm-up a part of the selections
        that falls to none.
        """
        if not self.states:
            return frozenset()
        now = self.clock()
        return frozenset(
            each.id
            for each in endpoints
            if self.warm_at(each) + RAMP_SECONDS * GENERATOR.random() > now
        )

    def take(self, runner):
        """Return the slot of a request that is dispatched now.

        It is a :class:`warm_up_states.Slot`, or None if the endpoint is not
        cold or there is no slot.
        """
        self.before_traffic = False
        if not self.states or not self.is_cold(runner):
            return None
        if not self.may_start(runner):
            return None
        now = self.clock()
        self.states[runner.id] = dataclasses.replace(
            self.states[runner.id],
            earliest_slot=now + self.share_of(runner).spacing,
        )
        self.slots_taken += 1
        return warm_up_states.Slot(
            runner.key, now + warm_up_shares.HOLD_SECONDS
        )

    def may_write(self, runner, slot):
        """Return whether a request may be written to an endpoint now.

        A request without a valid slot takes one if the endpoint is cold.

        :param warm_up_states.Slot slot: slot that was taken for the
            request, or None.
        """
        if not self.states or not self.is_cold(runner):
            return True
        if slot and slot.key == runner.key and self.clock() < slot.until:
            return True
        if self.take(runner) is not None:
            return True
        self.refused_writes += 1
        return False

    def limit_opening(self, runner, opening):
        """Return the :class:`reopening.Opening` of an endpoint if it's cold.

        :param opening: the one that it has otherwise.
        """
        if not self.states or not self.is_cold(runner):
            return opening
        warm_at = self.warm_at(runner)
        slot = self.next_slot(runner)
        if slot >= warm_at:
            return dataclasses.replace(opening, at=max(opening.at, warm_at))
        at = max(opening.at, slot)
        spacing = max(opening.interval, self.share_of(runner).spacing)
        return dataclasses.replace(
            opening, at=at, slow_interval=spacing, slow_until=warm_at
        )
