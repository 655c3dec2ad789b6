"""What this daemon knows of the load and the speed of each endpoint."""

import collections
import dataclasses
import math
import time

# Engines publish load reports about this long after they were taken.
REPORT_LAG_SECONDS = 2.0
# Weight of the newest sample in the moving averages. A slow endpoint stands
# out after about five answers, and one odd answer changes little.
SAMPLE_WEIGHT = 0.2
DEFAULT_HOLD_SECONDS = 1.0
DEFAULT_PREFILL_SECONDS = 0.01
HISTORY_LENGTH = 4096
# A first byte is missing after the usual time, eight mean deviations, which
# about no answer exceeds, and four times the expected wait in the queue. A
# smaller factor would repeat queued requests while endpoints are overloaded.
MIN_SAMPLES = 5
DEVIATIONS = 8
WAIT_FACTOR = 4
# An endpoint that refuses work looks idle in its own reports. It counts as
# full for this long, so that it does not attract all requests.
REFUSED_SECONDS = 1.0
REFUSED_LOAD = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint says of its load; it lags."""

    running: int = 0
    waiting: int = 0
    capacity: int = 1
    leaving: bool = False
    versions: tuple[str, ...] = ()
    role: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A stored report, split into own work and the work of others.

    :param float others: requests of other daemons when it was taken.
    """

    report: LoadReport
    others: float


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Moving averages of what dispatches to an endpoint took.

    :param float hold: seconds that a request occupies a slot.
    :param float prefill_seconds: seconds to the first token of requests
        that did not wait.
    :param float prefill_blocks: their prompt blocks that missed the cache.
    :param float first_token: seconds to the first token.
    :param float deviation: mean absolute deviation of ``first_token``.
    """

    hold: float = DEFAULT_HOLD_SECONDS
    prefill_seconds: float = DEFAULT_PREFILL_SECONDS
    prefill_blocks: float = 1.0
    first_token: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    @property
    def prefill(self):
        """Seconds for each prompt block that misses the cache.

        A quotient of averages, because one prefix that was wrongly
        expected in the cache would distort an average of quotients.
        """
        return self.prefill_seconds / self.prefill_blocks

    def with_prefill(self, seconds, blocks):
        """Return the speed after one more sample of prefill."""
        return dataclasses.replace(
            self,
            prefill_seconds=average(self.prefill_seconds, seconds),
            prefill_blocks=average(self.prefill_blocks, blocks),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What was expected of a dispatch when the endpoint was chosen.

    :param int missing: prompt blocks expected to miss the cache.
    :param bool queued: whether the endpoint was expected to be full; the
        time to the first token then says nothing about its prefill.
    """

    missing: int
    queued: bool

    @classmethod
    def of(cls, view, endpoint, prefixes, digests):
        """Return the expectation for a prompt at an endpoint."""
        cached = prefixes.cached_blocks(endpoint.name, digests)
        queued = view.estimate(endpoint) >= 1.0
        return cls(len(digests) - cached, queued)


def average(old, sample):
    """Return the moving average after one more sample."""
    return old + SAMPLE_WEIGHT * (sample - old)


class LoadView:
    """Load reports, corrected by this daemon's own dispatches.

    :param clock: function that returns monotonic seconds.
    :param float lag: age of a report when it arrives, in seconds.
    """

    def __init__(self, clock=time.monotonic, lag=REPORT_LAG_SECONDS):
        self.clock = clock
        self.lag = lag
        self.observations = {}
        self.in_flight = collections.Counter()
        self.by_priority = {}
        self.history = {}
        self.speeds = {}
        self.default_speed = Speed()
        self.dispatches = 0
        self.last_dispatch = {}
        self.refused_at = {}

    def report(self, name, report):
        """Store the newest report of an endpoint.

        Own work at the time the report was taken is subtracted, so that the
        estimate can add the own work of the present.
        """
        taken_at = self.clock() - self.lag
        reported = report.running + report.waiting
        others = max(0, reported - self.in_flight_at(name, taken_at))
        self.observations[name] = Observation(report, others)

    def in_flight_at(self, name, at):
        """Return the own requests that were in flight at a past time."""
        history = self.history.get(name)
        if history is None:
            return 0
        # The newest entry before the time stays as the start value.
        while len(history) > 1 and history[1][0] <= at:
            history.popleft()
        return history[0][1] if history[0][0] <= at else 0

    def started(self, name, priority=0):
        """Count a dispatch to an endpoint."""
        self.dispatches += 1
        self.last_dispatch[name] = self.dispatches
        self.change(name, priority, 1)

    def finished(self, name, priority=0):
        """Count the end of a dispatch."""
        self.change(name, priority, -1)

    def change(self, name, priority, step):
        """Change the number of own requests in flight."""
        self.in_flight[name] += step
        by_priority = self.by_priority.setdefault(name, {})
        by_priority[priority] = by_priority.get(priority, 0) + step
        history = self.history.setdefault(
            name, collections.deque(maxlen=HISTORY_LENGTH)
        )
        history.append((self.clock(), self.in_flight[name]))

    def forget(self, name):
        """Drop reports and speed of an endpoint that left the catalog."""
        for kept in (self.observations, self.speeds, self.last_dispatch):
            kept.pop(name, None)
        if not self.in_flight[name]:
            self.history.pop(name, None)
            self.by_priority.pop(name, None)
            self.in_flight.pop(name, None)

    def refused(self, name):
        """Note that an endpoint refused a request as not run."""
        self.refused_at[name] = self.clock()

    def held(self, name, seconds):
        """Note how long an answered request occupied a slot."""
        speed = self.speed(name)
        hold = average(speed.hold, seconds)
        self.speeds[name] = dataclasses.replace(speed, hold=hold)
        default = self.default_speed
        self.default_speed = dataclasses.replace(
            default, hold=average(default.hold, seconds)
        )

    def first_token(self, name, seconds, expected):
        """Note the time to the first token of a request.

        :param Expectation expected: from before the dispatch.
        """
        speed = self.speed(name)
        error = abs(seconds - speed.first_token) if speed.samples else seconds
        changed = dataclasses.replace(
            speed,
            first_token=average(speed.first_token, seconds),
            deviation=average(speed.deviation, error),
            samples=speed.samples + 1,
        )
        if not expected.queued:
            sample = (seconds, expected.missing + 1)
            changed = changed.with_prefill(*sample)
            self.default_speed = self.default_speed.with_prefill(*sample)
        self.speeds[name] = changed

    def speed(self, name):
        """Return the :class:`Speed` of an endpoint.

        An endpoint without answers counts as the average endpoint.
        """
        return self.speeds.get(name, self.default_speed)

    def busy(self, endpoint):
        """Return the estimated number of requests at an endpoint."""
        observation = self.observations.get(endpoint.name)
        others = observation.others if observation else 0
        busy = others + self.in_flight[endpoint.name]
        refused_at = self.refused_at.get(endpoint.name)
        if refused_at is not None:
            if self.clock() - refused_at < REFUSED_SECONDS:
                return max(busy, REFUSED_LOAD * endpoint.capacity)
            del self.refused_at[endpoint.name]
        return busy

    def estimate(self, endpoint):
        """Return the load of an endpoint; 1.0 means all slots are busy."""
        return self.busy(endpoint) / max(1, endpoint.capacity)

    def ahead(self, endpoint, priority):
        """Return the number of requests that are served before a new one.

        Own requests of lower priority that wait are overtaken; those that
        run keep their slots.
        """
        busy = self.busy(endpoint)
        lower = sum(
            count
            for other, count in self.by_priority.get(endpoint.name, {}).items()
            if other < priority
        )
        return max(min(busy, endpoint.capacity), busy - lower)

    def wait(self, endpoint, priority=0):
        """Return the expected seconds in the queue of an endpoint.

        The estimate of requests is uncertain by about its square root, so
        the wait grows smoothly and starts before all slots are busy.
        """
        capacity = max(1, endpoint.capacity)
        spread = max(1.0, math.sqrt(capacity) / 2)
        excess = (self.ahead(endpoint, priority) + 1 - capacity) / spread
        # softplus, which equals its argument when that is large
        waiting = excess if excess > 30 else math.log1p(math.exp(excess))
        return waiting * spread * self.speed(endpoint.name).hold / capacity

    def first_byte_limit(self, endpoint, lowest, highest):
        """Return the seconds after which a missing first byte is silence.

        :param float lowest: bound of the learned limit.
        :param float highest: the limit until there are enough samples.
        """
        speed = self.speeds.get(endpoint.name)
        if speed is None or speed.samples < MIN_SAMPLES:
            return highest
        usual = speed.first_token + DEVIATIONS * speed.deviation
        queue = WAIT_FACTOR * self.wait(endpoint)
        return min(highest, max(lowest, usual + queue))
