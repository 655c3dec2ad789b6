"""Orders to move a service to another software version, and their progress."""

import dataclasses
import enum

# Log odds of a version's being good above which no more are counted, so that
# its past does not hide that it turns bad.
MAX_GOOD_LOG_ODDS = 6.0


class State(enum.Enum):
    """State of an order, also used as the verdict of a router."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled-back'


class Criterion(enum.Enum):
    """What a new version is compared by with the old one."""

    FAILURE = 'failure'
    # Time to the head of an answer.
    HEAD = 'head'
    # Time between the events of a stream.
    PACE = 'pace'


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
class Odds:
    """Evidence on a new version by one criterion, as log odds.

    Both sums start anew wherever the evidence turns, so that a version that
    turns bad late is found out as soon as one that always was.

    :param int runs: runs that were judged.
    :param float bad: of its being worse than the old version, at least 0.
    :param float good: of its being no worse, from 0 to ``MAX_GOOD_LOG_ODDS``.
    """

    runs: int = 0
    bad: float = 0.0
    good: float = 0.0

    def with_run(self, change):
        """Return the odds after one more run.

        :param float change: change of the log odds of its being worse.
        """
        good = min(MAX_GOOD_LOG_ODDS, max(0.0, self.good - change))
        return Odds(self.runs + 1, max(0.0, self.bad + change), good)


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Evidence of the runs of a new software version.

    :param int slow: heads and streams that speak against it.
    :param Odds speed: evidence of heads and streams together, which tells
        sooner of a version that is slow by both.
    """

    failures: int = 0
    slow: int = 0
    failure: Odds = Odds()
    head: Odds = Odds()
    pace: Odds = Odds()
    speed: Odds = Odds()

    @property
    def answers(self):
        """Runs of which it is known whether they failed."""
        return self.failure.runs

    @property
    def failure_log_odds(self):
        """The evidence of its failing more often than the old version."""
        return self.failure.bad

    @property
    def slow_log_odds(self):
        """The strongest evidence of its being slow."""
        return max(self.head.bad, self.pace.bad, self.speed.bad)

    @property
    def log_odds(self):
        """The strongest evidence of all."""
        return max(self.failure_log_odds, self.slow_log_odds)

    def odds(self, criterion):
        """Return the :class:`Odds` by a criterion."""
        return getattr(self, criterion.value)

    def with_outcome(self, outcome, change):
        """Return the evidence after one more outcome.

        :param Outcome outcome: the outcome of a run.
        :param float change: change of the log odds by it.
        """
        criterion = outcome.criterion
        counts = {criterion.value: self.odds(criterion).with_run(change)}
        if criterion is Criterion.FAILURE:
            counts['failures'] = self.failures + outcome.is_hit
        else:
            counts['slow'] = self.slow + outcome.is_hit
            counts['speed'] = self.speed.with_run(change)
        return dataclasses.replace(self, **counts)


@dataclasses.dataclass(frozen=True, slots=True)
class Exposure:
    """Requests that were sent to a service since an order began.

    :param int requests: all of them.
    :param int exposed: those that were sent to the new version.
    """

    requests: int = 0
    exposed: int = 0

    def plus(self, other):
        """Return the sum with the counts of another router."""
        return Exposure(
            self.requests + other.requests, self.exposed + other.exposed
        )

    def minus(self, other):
        """Return the difference to earlier counts."""
        return Exposure(
            self.requests - other.requests, self.exposed - other.exposed
        )

    def used_allowance(self, max_share, slack):
        """Return the used part of what a bad version may get, 0 to 1.

        :param float max_share: share of the requests that it may get.
        :param float slack: requests that it may get in addition.
        """
        if not self.exposed:
            return 0.0
        allowed = max_share * self.requests + slack
        return min(1.0, self.exposed / allowed) if allowed > 0 else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The progress of an order, as seen by this router.

    :param float start_monotonic: monotonic seconds at which the order started.
    :param float announce_at: monotonic seconds after which this router
        stores the start, if no other router has.
    :param float decided_at: time of the verdict, on the clock of
        :class:`runs.InFlightRuns`.
    """

    order: Order
    start_monotonic: float
    announce_at: float = 0.0
    tally: Tally = Tally()
    exposure: Exposure = Exposure()
    verdict: State = State.RUNNING
    decided_at: float = 0.0

    def elapsed(self, now):
        """Return the fraction of the allowed time that has passed."""
        return (now - self.start_monotonic) / max(0.001, self.order.seconds)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one run at a new software version by one criterion.

    :param int created: revision at which the order was created.
    :param str endpoint: id of the endpoint; empty if unknown.
    :param bool is_hit: whether it speaks against the version.
    :param float log_ratio: log likelihood ratio of bad against good.
    """

    service: str
    target: str
    created: int
    endpoint: str
    criterion: Criterion
    is_hit: bool
    log_ratio: float

    @property
    def order_key(self):
        """The key of the order that the run is evidence on."""
        return (self.service, self.target, self.created)
