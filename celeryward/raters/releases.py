"""Roll-outs of software versions of a service, ordered by a record.

An order names the version that a service is to run and by when. In the
first half of that time sessions stay on the old version. Then a small share
of them goes to the new version; if it is as good as the old one, all follow,
and the order is done once the old endpoints have had time to finish. A
version that is worse is rolled back at once, and one under doubt is not
completed. Runs that take far longer than the old version needs are evidence
before they end, because a slow version ends few. Every router follows the same
plan from the order alone, so that a session meets the same version
everywhere, and never returns from the new one.
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

# Routers note the start of an order after a random part of this, so that
# mostly one does.
ANNOUNCE_JITTER_SECONDS = 1.5
GENERATOR = random.Random()
# Parts of the time that an order allows. A session that began before the
# order can't be told from a new one by a router that meets it first, so
# sessions wait for the second half.
CANARY_START = 0.51
PARTIAL_START = 0.62
FULL_START = 0.68
COMPLETION_START = 0.85
# Part of the time after which a version under doubt is given up.
DECISION_DEADLINE = 0.95
# Share of requests on the new version during the trial, as a part of the
# share that a bad version may have.
CANARY_SHARE_FACTOR = 0.6
# Share of requests on the new version after the trial.
PARTIAL_SHARE = 0.2
# A session is remembered a little longer than it counts as one.
SESSION_EXPIRY_FACTOR = 1.5
MAX_SESSIONS = 20_000
# Log odds at which one router alone finds a version bad. The first of all
# routers to find it decides, so each of several has to be surer.
ROLLBACK_LOG_ODDS = 4.0
# Log odds from which a version is not found good, and the answers without
# which a router leaves it to others to find it good.
DOUBT_LOG_ODDS = 2.0
MIN_ANSWERS_TO_COMPLETE = 3
# Requests that wait in one queue fail together, which says no more than one.
CORRELATED_FAILURE_SECONDS = 2.0


class State(enum.Enum):
    """State of an order."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled-back'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A request to move a service to another software version.

    :param float seconds: time within which it is to be done.
    :param int revision: revision of the stored order.
    :param int created: revision at which this order was made.
    :param float | None started_at: UTC seconds at which the first router saw
        it, by which routers that start later follow the same plan.
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
        """What names this order, also where a service has several."""
        return (self.service, self.target, self.created)


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What was seen of one software version.

    :param float log_odds: evidence that it is worse than the old one.
    """

    answers: int = 0
    failures: int = 0
    log_odds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """An order that is under way, as this router follows it.

    :param float seen_at: monotonic seconds at which it was first seen.
    :param float announce_at: monotonic seconds after which this router
        notes the start, if no other has.
    """

    order: Order
    seen_at: float
    announce_at: float = 0.0
    tally: Tally = Tally()
    verdict: State = State.RUNNING

    def elapsed(self, now):
        """Return the part of the allowed time that has passed."""
        return (now - self.seen_at) / max(0.001, self.order.seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class StickySession:
    """The version that a session uses.

    :param float expires_at: monotonic seconds after which it is forgotten.
    """

    software: str
    expires_at: float


class Releases:
    """Chooses the software version of each request and judges new ones.

    :param float max_bad_share: highest share of a service's requests that
        a bad version may get.
    :param float session_seconds: pause after which a session has ended.
    :param clock: function that returns monotonic seconds.
    :param utc: function that returns UTC seconds.
    :param router_count: function that returns how many routers judge.
    """

    def __init__(
        self,
        max_bad_share,
        session_seconds,
        clock=time.monotonic,
        utc=time.time,
        router_count=lambda: 1,
    ):
        self.set_bounds(max_bad_share, session_seconds)
        self.router_count = router_count
        self.clock = clock
        self.utc = utc
        self.progress = {}
        self.sessions = {}
        self.baselines = {}
        self.last_failure_at = {}
        self.on_verdict = []
        self.runs = runs.InFlightRuns(self)

    def set_bounds(self, max_bad_share, session_seconds):
        """Set the bounds that a new version and sessions keep."""
        self.canary_share = max_bad_share * CANARY_SHARE_FACTOR
        self.session_seconds = session_seconds

    def accept(self, order):
        """Take over an order, or a new state of it."""
        progress = self.progress.get(order.service)
        if progress is None or progress.order.key != order.key:
            progress = self.start_progress(order)
            logs.bind(
                step='roll-out', peer=order.service, software=order.target
            ).info('roll-out {} ordered', order.state.value)
        verdict = progress.verdict
        if order.state is not State.RUNNING:
            verdict = order.state
        self.progress[order.service] = dataclasses.replace(
            progress, order=order, verdict=verdict
        )

    def start_progress(self, order):
        """Return the progress of an order that is seen for the first time."""
        self.last_failure_at.clear()
        now = self.clock()
        passed = 0.0
        if order.started_at is not None:
            passed = self.utc() - order.started_at
        # The time of day may be wrong by seconds.
        passed = min(max(0.0, passed), order.seconds)
        delay = ANNOUNCE_JITTER_SECONDS * GENERATOR.random()
        return Progress(order, now - passed, now + delay)

    def remove(self, service):
        """Forget the order of a service."""
        self.progress.pop(service, None)

    def choose(self, service, present, first, session, request_id):
        """Return the software version for a request; empty for any.

        :param tuple present: versions that have endpoints now.
        :param str first: the version that was seen first.
        """
        if len(present) < 2:
            return ''
        progress = self.progress.get(service)
        if progress is None:
            # A version that nobody has ordered gets nothing yet.
            return first if first in present else ''
        target = progress.order.target
        old = tuple(name for name in present if name != target)
        if target not in present or not old:
            return ''
        software = self.scheduled_version(progress, old, session, request_id)
        self.record_session(service, session, software)
        return software

    def scheduled_version(self, progress, old, session, request_id):
        """Return the version that the plan of an order gives a request."""
        target = progress.order.target
        if progress.verdict is State.ROLLED_BACK:
            return old[0]
        if progress.verdict is State.DONE:
            return target
        if self.sticky_version(progress.order.service, session) == target:
            return target
        share = self.traffic_share(
            progress.elapsed(self.clock()), bool(session)
        )
        position = hashing.place(session or request_id)
        return target if position < share else old[0]

    def traffic_share(self, elapsed, has_session):
        """Return the share of requests that the new version gets.

        It never shrinks, so that no request of a session returns.

        :param float elapsed: part of the allowed time that has passed.
        :param bool has_session: whether requests of sessions are meant.
        """
        if elapsed < CANARY_START and has_session:
            return 0.0
        if elapsed < PARTIAL_START:
            return self.canary_share
        return PARTIAL_SHARE if elapsed < FULL_START else 1.0

    def sticky_version(self, service, session):
        """Return the version of a session that is still going on."""
        sticky = self.sessions.get((service, session)) if session else None
        if sticky is None or sticky.expires_at < self.clock():
            return None
        return sticky.software

    def record_session(self, service, session, software):
        """Note the version that a session uses, at start and end of a run."""
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
        """Note what a run at a version came to.

        :param str kind: runs of one kind are compared with each other.
        :param str endpoint: id of the endpoint; empty if it doesn't matter.
        :param bool failed: whether it failed by the endpoint's fault.
        :param float | None seconds_per_event: seconds for a unit of work.
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
        """Return whether a version is the new one of an order."""
        progress = self.progress.get(service)
        return progress is not None and software == progress.order.target

    def record_failure(self, endpoint):
        """Note a failure; return whether it is the first for a while."""
        if not self.is_independent_failure(endpoint):
            return False
        self.last_failure_at[endpoint] = self.clock()
        return True

    def is_independent_failure(self, endpoint):
        """Return whether a failure is not one of several at an endpoint."""
        last = self.last_failure_at.get(endpoint)
        if not endpoint or last is None:
            return True
        return self.clock() - last >= CORRELATED_FAILURE_SECONDS

    @property
    def rollback_log_odds(self):
        """Log odds at which a version is found bad."""
        return ROLLBACK_LOG_ODDS + math.log(self.router_count())

    def update_baseline(self, key, failed, seconds_per_event):
        """Update what is usual for one kind of runs of a service."""
        self.baselines[key] = self.baselines.get(
            key, evidence.Baseline()
        ).with_run(failed, seconds_per_event)

    def decide(self, service, state):
        """Fix the verdict on an order and tell the listeners."""
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
        for listener in self.on_verdict:
            listener(service)

    def decide_due(self, delay_seconds=0.0):
        """Decide the orders whose time to be done came a delay ago.

        A router that has seen too little leaves it to the others as long as
        there is time.
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
        """Yield orders with the time of their start, which is not stored.

        :param float delay_seconds: time to leave it to other routers.
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
                started_at = self.utc() - (now - progress.seen_at)
                yield dataclasses.replace(order, started_at=started_at)

    def orders_without_verdict(self, settled=True):
        """Yield orders whose verdict the store does not have yet.

        :param bool settled: whether verdicts of other routers would have
            arrived; a version is not completed before.
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
