"""Canary rollouts of a service's software versions.

A stored order names the target version and the time within which the
service must run it. :mod:`celeryward.raters.rollout_schedule` says which share
of the requests moves when, and :mod:`celeryward.raters.rollout_judgement`
what the evidence on the version suffices for. Runs in flight that take far
longer than the old version needs count as slow before they end, because a slow
version completes few runs. The first of all leaders has the evidence of all
routers, and decides; another router does so if its own suffices.
"""

import dataclasses
import random
import time

from celeryward import hashing
from celeryward import logs
from celeryward.raters import baselines
from celeryward.raters import evidence
from celeryward.raters import rollout_judgement
from celeryward.raters import rollout_orders
from celeryward.raters import rollout_schedule
from celeryward.raters import runs
from celeryward.raters import sticky_sessions

# Each router waits for a random part of this time before it stores the start
# of an order, so that usually only one of them writes it.
ANNOUNCE_JITTER_SECONDS = 1.5
GENERATOR = random.Random()
# Time between a completion and its write, in which the verdicts of other
# routers arrive.
COMPLETION_SETTLE_SECONDS = 0.5
# Weight of the time to the head of an answer, as evidence, once the share of
# the new version grows.
RAMP_HEAD_WEIGHT = 0.5


class Releases:
    """Chooses the software version of each request and judges new ones.

    ``outcome_listeners`` are called with the :class:`rollout_orders.Outcome`
    of each run at a new version.

    :param float max_bad_share: highest share of a service's requests that
        a bad version may get.
    :param float session_seconds: pause after which a session has ended.
    :param clock: function that returns monotonic seconds.
    :param utc_clock: function that returns UTC seconds.
    :param decider_count: function that returns the number of routers that
        judge as much evidence as this one; each of them may roll a version
        back. It is 1 at the router that has the evidence of all.
    :param float bad_version_slack: requests that a bad version may get in
        addition to its share, from all routers.
    """

    def __init__(
        self,
        max_bad_share,
        session_seconds,
        clock=time.monotonic,
        utc_clock=time.time,
        decider_count=lambda: 1,
        bad_version_slack=0.0,
    ):
        self.sessions = sticky_sessions.StickySessions(session_seconds, clock)
        self.set_bounds(max_bad_share, session_seconds, bad_version_slack)
        self.decider_count = decider_count
        self.clock = clock
        self.utc_clock = utc_clock
        self.progress = {}
        self.windows = {}
        self.outcome_listeners = []
        self.runs = runs.InFlightRuns(self)
        # The clock of the runs may be replaced later.
        self.baselines = baselines.Baselines(lambda: self.runs.clock())

    def set_bounds(
        self, max_bad_share, session_seconds, bad_version_slack=0.0
    ):
        """Set what a bad version may get, and the session timeout."""
        self.max_bad_share = max_bad_share
        self.bad_version_slack = bad_version_slack
        self.sessions.session_seconds = session_seconds

    def accept(self, order):
        """Apply a new order, or a new state of a known one."""
        known = self.progress.get(order.service)
        if known is None or known.order.key != order.key:
            known = self.start_progress(order)
            logs.bind(
                step='roll-out', peer=order.service, software=order.target
            ).info('roll-out {} ordered', order.state.value)
        verdict = known.verdict
        done = rollout_orders.State.DONE
        if order.state is done and known.order.state is not done:
            self.baselines.forget(order.service)
        if order.state is not rollout_orders.State.RUNNING:
            verdict = order.state
        self.progress[order.service] = dataclasses.replace(
            known, order=order, verdict=verdict
        )

    def start_progress(self, order):
        """Return the progress of an order that is seen for the first time."""
        self.windows.pop(order.service, None)
        now = self.clock()
        elapsed_seconds = 0.0
        if order.started_at is not None:
            elapsed_seconds = self.utc_clock() - order.started_at
        # Wall clocks of different hosts may differ by seconds.
        elapsed_seconds = min(max(0.0, elapsed_seconds), order.seconds)
        delay = ANNOUNCE_JITTER_SECONDS * GENERATOR.random()
        return rollout_orders.Progress(
            order, now - elapsed_seconds, now + delay
        )

    @property
    def has_running_order(self):
        """Whether an order is neither done nor rolled back."""
        return any(
            progress.order.state is rollout_orders.State.RUNNING
            for progress in self.progress.values()
        )

    def remove(self, service):
        """Discard the order of a service."""
        self.progress.pop(service, None)

    def choose(self, service, present, initial, session, request_id):
        """Return the software version for a request; empty for any version.

        :param tuple present: versions that have endpoints now.
        :param str initial: the version that was seen first.
        """
        if len(present) < 2:
            return ''
        progress = self.progress.get(service)
        if progress is None:
            # A version without an order gets no requests.
            return initial if initial in present else ''
        target = progress.order.target
        old = tuple(name for name in present if name != target)
        if target not in present or not old:
            return ''
        software = self.scheduled_version(progress, old, session, request_id)
        self.record_session(service, session, software)
        return software

    def scheduled_version(self, progress, old, session, request_id):
        """Return the version for a request by the schedule of an order."""
        target = progress.order.target
        if progress.verdict is rollout_orders.State.ROLLED_BACK:
            return old[0]
        if progress.verdict is rollout_orders.State.DONE:
            return target
        if self.sessions.version(progress.order.service, session) == target:
            return target
        traffic_share = self.schedule(progress.order).traffic_share(
            progress.elapsed(self.clock()), bool(session)
        )
        position = hashing.unit_hash(session or request_id)
        return target if position < traffic_share else old[0]

    def schedule(self, order):
        """Return the :class:`rollout_schedule.Schedule` of an order."""
        return rollout_schedule.Schedule(self.max_bad_share, order.seconds)

    def record_session(self, service, session, software):
        """Pin a session to a version, at the start and end of each run."""
        self.sessions.record(service, session, software)

    def observe(
        self,
        service,
        software,
        kind,
        failed,
        endpoint='',
    ):
        """Add the outcome of a run to the evidence on its version.

        :param str kind: only runs of the same kind are compared.
        :param bool failed: whether it failed through the endpoint's fault.
        :param str endpoint: id of the endpoint; empty if the run is
            independent of others.
        """
        if not self.is_new_version(service, software):
            self.baselines.add_run(service, kind, failed)
            return
        log_ratio = evidence.log_likelihood_ratio(
            failed,
            self.baselines.of(service, kind).failure_rate,
            evidence.BAD_EXCESS_FAILURE_RATE,
        )
        self.add_outcome(
            rollout_orders.Outcome(
                *self.progress[service].order.key,
                endpoint,
                rollout_orders.Criterion.FAILURE,
                failed,
                log_ratio,
            )
        )

    def observe_time(
        self,
        service,
        software,
        kind,
        criterion,
        seconds,
        endpoint='',
        weight=1.0,
    ):
        """Add the time to a head or between events to the evidence.

        Without a baseline it is no evidence on a new version.

        :param rollout_orders.Criterion criterion: which of the two.
        :param float seconds: that of a head divided by the relative size of
            the request.
        :param float weight: factor on the evidence.
        """
        if not self.is_new_version(service, software):
            self.baselines.add_time(service, kind, criterion, seconds)
            return
        usual = self.baselines.usual_time(service, kind, criterion)
        if usual is None:
            return
        log_ratio = weight * usual.log_ratio(seconds)
        self.add_outcome(
            rollout_orders.Outcome(
                *self.progress[service].order.key,
                endpoint,
                criterion,
                log_ratio > 0,
                log_ratio,
            )
        )

    def head_weight(self, service):
        """Return the weight of the head of a run that begins now.

        While all requests move, they queue at endpoints with empty caches.
        """
        progress = self.progress[service]
        schedule = self.schedule(progress.order)
        if progress.elapsed(self.clock()) < schedule.ramp_start:
            return 1.0
        return RAMP_HEAD_WEIGHT

    def known_criteria(self, service):
        """Return the criteria by which a new version can be judged.

        Those by which the old version has runs here, or the new one has
        outcomes: a router that has just started knows the old version from
        the reports of others only.
        """
        tally = self.progress[service].tally
        timed = (rollout_orders.Criterion.HEAD, rollout_orders.Criterion.PACE)
        return (rollout_orders.Criterion.FAILURE,) + tuple(
            criterion
            for criterion in timed
            if self.baselines.has_times(service, criterion)
            or tally.odds(criterion).runs
        )

    def add_outcome(self, outcome):
        """Add an outcome of a run at a new version to the evidence on it.

        :param rollout_orders.Outcome outcome: seen here or by another router.
        """
        progress = self.progress.get(outcome.service)
        if progress is None or progress.order.key != outcome.order_key:
            return
        tally = progress.tally.with_outcome(outcome, self.weigh(outcome))
        progress = dataclasses.replace(progress, tally=tally)
        self.progress[outcome.service] = progress
        for listener in self.outcome_listeners:
            listener(outcome)
        if (
            self.judgement.is_bad(progress)
            and progress.order.state is rollout_orders.State.RUNNING
            and progress.verdict is not rollout_orders.State.ROLLED_BACK
        ):
            self.decide(outcome.service, rollout_orders.State.ROLLED_BACK)

    def record_dispatch(self, service, software):
        """Count a request that is sent to an endpoint of a service."""
        exposed = self.is_new_version(service, software)
        self.add_exposure(service, rollout_orders.Exposure(1, int(exposed)))

    def add_reported_exposure(self, order_key, exposure):
        """Add requests that another router has sent for an order."""
        service = order_key[0]
        progress = self.progress.get(service)
        if progress is not None and progress.order.key == order_key:
            self.add_exposure(service, exposure)

    def add_exposure(self, service, exposure):
        """Add requests that this router or another one has sent."""
        progress = self.progress.get(service)
        if progress is not None:
            self.progress[service] = dataclasses.replace(
                progress, exposure=progress.exposure.plus(exposure)
            )

    def is_new_version(self, service, software):
        """Return whether a version is the target of an order.

        One that was completed is the old version of the next order.
        """
        progress = self.progress.get(service)
        return (
            progress is not None
            and software == progress.order.target
            and progress.order.state is not rollout_orders.State.DONE
        )

    def order_key(self, service, software):
        """Return the key of the order of a new version; None for others."""
        if not self.is_new_version(service, software):
            return None
        return self.progress[service].order.key

    def weigh(self, outcome):
        """Return the change of the log odds by the outcome of a run."""
        if not outcome.endpoint:
            return outcome.log_ratio
        windows = self.windows.setdefault(outcome.service, {})
        key = (outcome.endpoint, outcome.criterion)
        now = self.clock()
        before = windows.get(key, evidence.EndpointWindow(now))
        after = before.with_run(outcome.log_ratio, now)
        windows[key] = after
        if after.runs == 1:
            return after.weighted_log_ratio
        return after.weighted_log_ratio - before.weighted_log_ratio

    @property
    def judgement(self):
        """The :class:`rollout_judgement.Judgement` by the bounds in force."""
        return rollout_judgement.Judgement(
            self.max_bad_share,
            self.bad_version_slack,
            self.decider_count(),
        )

    def decide(self, service, state):
        """Set the verdict on an order."""
        progress = self.progress[service]
        self.progress[service] = dataclasses.replace(
            progress, verdict=state, decided_at=self.runs.clock()
        )
        logs.bind(
            step='roll-out',
            peer=service,
            software=progress.order.target,
            answers=progress.tally.answers,
            failures=progress.tally.failures,
            slow=progress.tally.slow,
            log_odds=round(progress.tally.log_odds, 2),
            elapsed=round(progress.elapsed(self.clock()), 3),
            heads=progress.tally.head.runs,
            paces=progress.tally.pace.runs,
            good_log_odds={
                criterion.value: round(progress.tally.odds(criterion).good, 2)
                for criterion in self.known_criteria(service)
            },
            requests=progress.exposure.requests,
            exposed=progress.exposure.exposed,
        ).info('roll-out decided: {}', state.value)

    def decide_due(self):
        """Decide the orders that are due."""
        now = self.clock()
        for service, progress in tuple(self.progress.items()):
            if progress.verdict is not rollout_orders.State.RUNNING:
                continue
            verdict = self.judgement.due_verdict(
                progress,
                progress.elapsed(now),
                self.known_criteria(service),
            )
            if verdict is not rollout_orders.State.RUNNING:
                self.decide(service, verdict)

    def orders_without_start(self, delay_seconds=0.0):
        """Yield orders whose start is not stored yet, with that start.

        :param float delay_seconds: extra time given to other routers.
        """
        now = self.clock()
        for progress in self.progress.values():
            order = progress.order
            if (
                progress.verdict is rollout_orders.State.RUNNING
                and order.state is rollout_orders.State.RUNNING
                and order.started_at is None
                and now >= progress.announce_at + delay_seconds
            ):
                started_at = self.utc_clock() - (
                    now - progress.start_monotonic
                )
                yield dataclasses.replace(order, started_at=started_at)

    def orders_without_verdict(self, settled=True):
        """Yield orders whose verdict is not stored yet, with that verdict.

        :param bool settled: whether verdicts of other routers would have
            arrived by now; until then no completion is yielded.
        """
        for progress in self.progress.values():
            verdict = progress.verdict
            waited = self.runs.clock() - progress.decided_at
            if verdict is rollout_orders.State.DONE and not (
                settled and waited >= COMPLETION_SETTLE_SECONDS
            ):
                continue
            if (
                verdict is not rollout_orders.State.RUNNING
                and progress.order.state is rollout_orders.State.RUNNING
            ):
                yield dataclasses.replace(progress.order, state=verdict)
