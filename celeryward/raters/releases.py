"""Canary rollouts of a service's software versions.

A stored order names the target version and the time within which the
service must run it. During the first half of that time sessions stay on the
old version. Then a small canary share of them is sent to the new version; if
it performs as well as the old one, the share grows to all sessions, and the
order is done once the old endpoints have had time to drain. A version that
performs worse is rolled back at once, and one with some evidence against it
is not completed. Runs in flight that take far longer than the old version
needs count as failures before they end, because a slow version completes few
runs. Every router derives the same schedule from the order alone, so that a
session gets the same version from every router and never returns from the
new one to the old one.
"""

import dataclasses
import enum
import math
import random
import time

from celeryward import hashing
from celeryward import logs
from celeryward.raters import evidence
from celeryward.raters import runs

# Each router waits for a random part of this time before it stores the start
# of an order, so that usually only one of them writes it.
ANNOUNCE_JITTER_SECONDS = 1.5
GENERATOR = random.Random()
# Times at which the stages begin, as fractions of the time that an order
# allows. A router that sees a session for the first time can't tell whether
# it began before the order, so no session moves in the first half.
CANARY_START = 0.51
PARTIAL_START = 0.62
FULL_START = 0.68
COMPLETION_START = 0.85
# Fraction of the allowed time after which an order is decided in any case: it
# is rolled back if there is doubt, and completed otherwise.
DECISION_DEADLINE = 0.95
# Share of requests on the new version in the canary stage, as a fraction of
# the highest share that a bad version may get.
CANARY_SHARE_FACTOR = 0.6
# Share of requests on the new version after the canary stage.
PARTIAL_SHARE = 0.2
# The version of a session is kept for this many times the pause after which
# the session has ended.
SESSION_EXPIRY_FACTOR = 1.5
MAX_SESSIONS = 20_000
# Log odds at which a single router rolls a version back. The first router to
# reach its threshold decides for all, so the threshold of each rises with
# their number.
ROLLBACK_LOG_ODDS = 4.0
# A router doesn't complete a version at or above these log odds. With fewer
# answers than the minimum it leaves the completion to other routers.
DOUBT_LOG_ODDS = 2.0
MIN_ANSWERS_TO_COMPLETE = 3
# Requests in the queue of one endpoint fail together, so that failures of an
# endpoint within this time count as one.
CORRELATED_FAILURE_SECONDS = 2.0


class State(enum.Enum):
    """State of an order, also used as the verdict of a router."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A request to move a service to another software version.

    :param float seconds: time within which it must be done.
    :param int revision: revision of the stored order.
    :param int created: revision at which the order was created.
    :param float | None started_at: UTC seconds at which the first router saw
        it, from which routers that start later derive the same schedule.
    """

    service: str
    target: str
    seconds: float
    state: State = State.RUNNING
    revision: int = 0
    created: int = 0
    started_at: float | None = None

    @property
    def key(self):
        """Unique key of the order among all orders of all services."""
        return (self.service, self.target, self.created)


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Counts of the runs of a new software version.

    :param float log_odds: cumulative log likelihood ratio, at least 0, of
        its being worse than the old version.
    """

    answers: int = 0
    failures: int = 0
    log_odds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The progress of an order, as seen by this router.

    :param float start_monotonic: monotonic seconds at which the order started.
    :param float announce_at: monotonic seconds after which this router
        stores the start, if no other router has.
    """

    order: Order
    start_monotonic: float
    announce_at: float = 0.0
    tally: Tally = Tally()
    verdict: State = State.RUNNING

    def elapsed(self, now):
        """Return the fraction of the allowed time that has passed."""
        return (now - self.start_monotonic) / max(0.001, self.order.seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class StickySession:
    """The version to which a session is pinned.

    :param float expires_at: monotonic seconds after which it is discarded.
    """

    software: str
    expires_at: float


class Releases:
    """Chooses the software version of each request and judges new ones.

    :param float max_bad_share: highest share of a service's requests that
        a bad version may get.
    :param float session_seconds: pause after which a session has ended.
    :param clock: function that returns monotonic seconds.
    :param utc_clock: function that returns UTC seconds.
    :param router_count: function that returns the number of routers, each
        of which may roll a version back.
    """

    def __init__(
        self,
        max_bad_share,
        session_seconds,
        clock=time.monotonic,
        utc_clock=time.time,
        router_count=lambda: 1,
    ):
        self.set_bounds(max_bad_share, session_seconds)
        self.router_count = router_count
        self.clock = clock
        self.utc_clock = utc_clock
        self.progress = {}
        self.sessions = {}
        self.baselines = {}
        self.last_failure_at = {}
        self.verdict_listeners = []
        self.runs = runs.InFlightRuns(self)

    def set_bounds(self, max_bad_share, session_seconds):
        """Set the highest share of a bad version and the session timeout."""
        self.canary_share = max_bad_share * CANARY_SHARE_FACTOR
        self.session_seconds = session_seconds

    def accept(self, order):
        """Apply a new order, or a new state of a known one."""
        known = self.progress.get(order.service)
        if known is None or known.order.key != order.key:
            known = self.start_progress(order)
            logs.bind(
                step='roll-out', peer=order.service, software=order.target
            ).info('roll-out {} ordered', order.state.value)
        verdict = known.verdict
        if order.state is not State.RUNNING:
            verdict = order.state
        self.progress[order.service] = dataclasses.replace(
            known, order=order, verdict=verdict
        )

    def start_progress(self, order):
        """Return the progress of an order that is seen for the first time."""
        self.last_failure_at.clear()
        now = self.clock()
        elapsed_seconds = 0.0
        if order.started_at is not None:
            elapsed_seconds = self.utc_clock() - order.started_at
        # Wall clocks of different hosts may differ by seconds.
        elapsed_seconds = min(max(0.0, elapsed_seconds), order.seconds)
        delay = ANNOUNCE_JITTER_SECONDS * GENERATOR.random()
        return Progress(order, now - elapsed_seconds, now + delay)

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
        if progress.verdict is State.ROLLED_BACK:
            return old[0]
        if progress.verdict is State.DONE:
            return target
        if self.sticky_version(progress.order.service, session) == target:
            return target
        traffic_share = self.traffic_share(
            progress.elapsed(self.clock()), bool(session)
        )
        position = hashing.unit_hash(session or request_id)
        return target if position < traffic_share else old[0]

    def traffic_share(self, elapsed, has_session):
        """Return the share of requests that the new version gets.

        The share never shrinks, so that no session returns to the old
        version.

        :param float elapsed: fraction of the allowed time that has passed.
        :param bool has_session: whether the request belongs to a session.
        """
        if elapsed < CANARY_START and has_session:
            return 0.0
        if elapsed < PARTIAL_START:
            return self.canary_share
        return PARTIAL_SHARE if elapsed < FULL_START else 1.0

    def sticky_version(self, service, session):
        """Return the version of a session, or None if it has expired."""
        sticky = self.sessions.get((service, session)) if session else None
        if sticky is None or sticky.expires_at < self.clock():
            return None
        return sticky.software

    def record_session(self, service, session, software):
        """Pin a session to a version, at the start and end of each run."""
        if not session:
            return
        now = self.clock()
        if len(self.sessions) >= MAX_SESSIONS:
            self.sessions = {
                key: sticky
                for key, sticky in self.sessions.items()
                if sticky.expires_at >= now
            }
        expires_at = now + SESSION_EXPIRY_FACTOR * self.session_seconds
        self.sessions[(service, session)] = StickySession(software, expires_at)

    def observe(
        self,
        service,
        software,
        kind,
        failed,
        seconds_per_event=None,
        endpoint='',
    ):
        """Add the outcome of a run to the evidence on its version.

        :param str kind: only runs of the same kind are compared.
        :param bool failed: whether it failed through the endpoint's fault.
        :param float | None seconds_per_event: mean seconds between the
            events of the answer; None if unknown.
        :param str endpoint: id of the endpoint; empty if failures are not
            deduplicated by endpoint.
        """
        if not self.is_new_version(service, software):
            self.update_baseline((service, kind), failed, seconds_per_event)
            return
        progress = self.progress[service]
        baseline = self.baselines.get((service, kind), evidence.Baseline())
        failed = failed or baseline.is_slow(seconds_per_event)
        if failed and not self.record_failure(endpoint):
            return
        tally = progress.tally
        tally = Tally(
            tally.answers + 1,
            tally.failures + failed,
            max(
                0.0,
                tally.log_odds
                + evidence.log_likelihood_ratio(failed, baseline.failure_rate),
            ),
        )
        progress = dataclasses.replace(progress, tally=tally)
        self.progress[service] = progress
        if (
            tally.log_odds >= self.rollback_log_odds
            and progress.order.state is State.RUNNING
            and progress.verdict is not State.ROLLED_BACK
        ):
            self.decide(service, State.ROLLED_BACK)

    def is_new_version(self, service, software):
        """Return whether a version is the target of an order."""
        progress = self.progress.get(service)
        return progress is not None and software == progress.order.target

    def record_failure(self, endpoint):
        """Record a failure if it is independent; return whether it is."""
        if not self.is_independent_failure(endpoint):
            return False
        self.last_failure_at[endpoint] = self.clock()
        return True

    def is_independent_failure(self, endpoint):
        """Return whether no other failure at the endpoint was recent."""
        last = self.last_failure_at.get(endpoint)
        if not endpoint or last is None:
            return True
        return self.clock() - last >= CORRELATED_FAILURE_SECONDS

    @property
    def rollback_log_odds(self):
        """Log odds at which this router rolls a version back."""
        return ROLLBACK_LOG_ODDS + math.log(self.router_count())

    def update_baseline(self, key, failed, seconds_per_event):
        """Update the baseline of one kind of runs of a service."""
        self.baselines[key] = self.baselines.get(
            key, evidence.Baseline()
        ).with_run(failed, seconds_per_event)

    def decide(self, service, state):
        """Set the verdict on an order and call the listeners."""
        progress = self.progress[service]
        self.progress[service] = dataclasses.replace(progress, verdict=state)
        logs.bind(
            step='roll-out',
            peer=service,
            software=progress.order.target,
            answers=progress.tally.answers,
            failures=progress.tally.failures,
            log_odds=round(progress.tally.log_odds, 2),
            elapsed=round(progress.elapsed(self.clock()), 3),
        ).info('roll-out decided: {}', state.value)
        for listener in self.verdict_listeners:
            listener(service)

    def decide_due(self, delay_seconds=0.0):
        """Decide the orders that are due.

        Before the decision deadline, a router that has seen too few answers
        leaves the decision to the others.

        :param float delay_seconds: extra time given to other routers.
        """
        now = self.clock() - delay_seconds
        for service, progress in tuple(self.progress.items()):
            if progress.verdict is not State.RUNNING:
                continue
            elapsed = progress.elapsed(now)
            tally = progress.tally
            doubted = tally.log_odds >= DOUBT_LOG_ODDS
            has_answers = tally.answers >= MIN_ANSWERS_TO_COMPLETE
            if elapsed >= DECISION_DEADLINE and doubted:
                self.decide(service, State.ROLLED_BACK)
            elif elapsed >= DECISION_DEADLINE or (
                elapsed >= COMPLETION_START and has_answers and not doubted
            ):
                self.decide(service, State.DONE)

    def orders_without_start(self, delay_seconds=0.0):
        """Yield orders whose start is not stored yet, with that start.

        :param float delay_seconds: extra time given to other routers.
        """
        now = self.clock()
        for progress in self.progress.values():
            order = progress.order
            if (
                progress.verdict is State.RUNNING
                and order.state is State.RUNNING
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
            if verdict is State.DONE and not settled:
                continue
            if (
                verdict is not State.RUNNING
                and progress.order.state is State.RUNNING
            ):
                yield dataclasses.replace(progress.order, state=verdict)
