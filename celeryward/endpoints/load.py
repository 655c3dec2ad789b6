"""Estimates the load and latency of each endpoint."""

import collections
import dataclasses
import math
import time

# Delay between the measurement of a load report and its arrival.
REPORT_LAG_SECONDS = 2.0
# Weight of the newest sample in the exponential moving averages. A slow
# endpoint is recognised after about five responses, and one outlier changes
# little.
SAMPLE_WEIGHT = 0.2
DEFAULT_SERVICE_SECONDS = 1.0
DEFAULT_PREFILL_SECONDS = 0.01
HISTORY_LENGTH = 4096
# The timeout of the first byte is the mean time to first token, plus eight
# mean absolute deviations, which almost no response exceeds, plus four times
# the expected time in the queue. A smaller factor would retry queued requests
# while endpoints are overloaded.
MIN_SAMPLES = 5
DEVIATION_FACTOR = 8
WAIT_FACTOR = 4
# An endpoint that refuses requests reports a low load. It counts as full for
# this long, so that it does not attract all requests.
REFUSED_SECONDS = 1.0
REFUSED_LOAD = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reports, as of some time ago."""

    running: int = 0
    waiting: int = 0
    capacity: int = 1
    leaving: bool = False
    versions: tuple[str, ...] = ()
    role: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AdjustedReport:
    """A load report without the requests of this daemon.

    :param float other_requests: requests of other daemons at the time of the
        measurement.
    """

    report: LoadReport
    other_requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyAverages:
    """Exponential moving averages of the latency of an endpoint.

    :param float service_time: seconds that a request occupies a slot.
    :param float prefill_seconds: seconds to the first token of requests
        that were not queued.
    :param float prefill_blocks: their prompt blocks that missed the cache.
    :param float first_token: seconds to the first token, with queueing.
    :param float deviation: mean absolute deviation of ``first_token``.
    """

    service_time: float = DEFAULT_SERVICE_SECONDS
    prefill_seconds: float = DEFAULT_PREFILL_SECONDS
    prefill_blocks: float = 1.0
    first_token: float = 0.0
    deviation: float = 0.0
    samples: int = 0

    @property
    def prefill(self):
        """Prefill seconds for each prompt block that misses the cache.

        A ratio of averages, because one prefix that was wrongly expected
        in the cache would distort an average of ratios.
        """
        return self.prefill_seconds / self.prefill_blocks

    def with_prefill(self, seconds, blocks):
        """Return the averages after one more sample of prefill."""
        return dataclasses.replace(
            self,
            prefill_seconds=moving_average(self.prefill_seconds, seconds),
            prefill_blocks=moving_average(self.prefill_blocks, blocks),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """The estimates for a dispatch at the time of the selection.

    :param int uncached_blocks: prompt blocks expected to miss the cache.
    :param bool queued: whether the endpoint was expected to be full; the
        time to the first token then says nothing about its prefill.
    """

    uncached_blocks: int
    queued: bool

    @classmethod
    def of(cls, view, endpoint, prefixes, digests):
        """Return the expectation for a prompt at an endpoint.

        :param LoadView view: load of the endpoints.
        :param prefixes: :class:`prefixes.PrefixView`.
        """
        cached = prefixes.cached_blocks(endpoint.name, digests)
        queued = view.utilisation(endpoint) >= 1.0
        return cls(len(digests) - cached, queued)


def moving_average(old, sample):
    """Return the moving average after one more sample."""
    return old + SAMPLE_WEIGHT * (sample - old)


class LoadView:
    """Load reports, corrected by the requests of this daemon.

    :param clock: function that returns monotonic seconds.
    :param float lag: age of a report when it arrives, in seconds.
    """

    def __init__(self, clock=time.monotonic, lag=REPORT_LAG_SECONDS):
        self.clock = clock
        self.lag = lag
        self.adjusted_reports = {}
        self.in_flight = collections.Counter()
        self.in_flight_by_priority = {}
        self.in_flight_history = {}
        self.averages_by_name = {}
        self.default_averages = LatencyAverages()
        self.dispatch_count = 0
        self.last_dispatch = {}
        self.refused_at = {}

    def record_report(self, name, report):
        """Store the latest report of an endpoint.

        Own requests in flight at the time of the measurement are
        subtracted, so that estimates can add those in flight now.
        """
        measured_at = self.clock() - self.lag
        reported = report.running + report.waiting
        other_requests = max(
            0, reported - self.in_flight_at(name, measured_at)
        )
        self.adjusted_reports[name] = AdjustedReport(report, other_requests)

    def in_flight_at(self, name, at):
        """Return the own requests that were in flight at a past time."""
        history = self.in_flight_history.get(name)
        if history is None:
            return 0
        # The last entry before the time is kept as the initial value.
        while len(history) > 1 and history[1][0] <= at:
            history.popleft()
        return history[0][1] if history[0][0] <= at else 0

    def request_started(self, name, priority=0):
        """Count a dispatched request as in flight."""
        self.dispatch_count += 1
        self.last_dispatch[name] = self.dispatch_count
        self.adjust_in_flight(name, priority, 1)

    def request_finished(self, name, priority=0):
        """Count a request as no longer in flight."""
        self.adjust_in_flight(name, priority, -1)

    def adjust_in_flight(self, name, priority, change):
        """Change the number of own requests in flight."""
        self.in_flight[name] += change
        by_priority = self.in_flight_by_priority.setdefault(name, {})
        by_priority[priority] = by_priority.get(priority, 0) + change
        history = self.in_flight_history.setdefault(
            name, collections.deque(maxlen=HISTORY_LENGTH)
        )
        history.append((self.clock(), self.in_flight[name]))

    def forget(self, name):
        """Drop the state of an endpoint that was removed from the catalog."""
        for by_name in (
            self.adjusted_reports,
            self.averages_by_name,
            self.last_dispatch,
        ):
            by_name.pop(name, None)
        if not self.in_flight[name]:
            self.in_flight_history.pop(name, None)
            self.in_flight_by_priority.pop(name, None)
            self.in_flight.pop(name, None)

    def record_refusal(self, name):
        """Record that an endpoint refused a request without running it."""
        self.refused_at[name] = self.clock()

    def record_service_time(self, name, seconds):
        """Record how long an answered request occupied a slot."""
        averages = self.latency_averages(name)
        service_time = moving_average(averages.service_time, seconds)
        self.averages_by_name[name] = dataclasses.replace(
            averages, service_time=service_time
        )
        defaults = self.default_averages
        self.default_averages = dataclasses.replace(
            defaults,
            service_time=moving_average(defaults.service_time, seconds),
        )

    def record_first_token(self, name, seconds, expected):
        """Record the time to first token of a request.

        :param Expectation expected: the estimates before the dispatch.
        """
        averages = self.latency_averages(name)
        error = (
            abs(seconds - averages.first_token)
            if averages.samples
            else seconds
        )
        updated = dataclasses.replace(
            averages,
            first_token=moving_average(averages.first_token, seconds),
            deviation=moving_average(averages.deviation, error),
            samples=averages.samples + 1,
        )
        if not expected.queued:
            sample = (seconds, expected.uncached_blocks + 1)
            updated = updated.with_prefill(*sample)
            self.default_averages = self.default_averages.with_prefill(*sample)
        self.averages_by_name[name] = updated

    def latency_averages(self, name):
        """Return the :class:`LatencyAverages` of an endpoint.

        Without samples, these are the averages over all endpoints.
        """
        return self.averages_by_name.get(name, self.default_averages)

    def estimated_requests(self, endpoint):
        """Return the estimated number of requests at an endpoint."""
        adjusted = self.adjusted_reports.get(endpoint.name)
        other_requests = adjusted.other_requests if adjusted else 0
        requests = other_requests + self.in_flight[endpoint.name]
        refused_at = self.refused_at.get(endpoint.name)
        if refused_at is not None:
            if self.clock() - refused_at < REFUSED_SECONDS:
                return max(requests, REFUSED_LOAD * endpoint.capacity)
            del self.refused_at[endpoint.name]
        return requests

    def utilisation(self, endpoint):
        """Return the utilisation; 1.0 means that all slots are in use."""
        return self.estimated_requests(endpoint) / max(1, endpoint.capacity)

    def requests_ahead(self, endpoint, priority):
        """Return the number of requests that are served before a new one.

        A new request precedes queued requests of this daemon with lower
        priority; running requests are not preempted.
        """
        requests = self.estimated_requests(endpoint)
        lower = sum(
            count
            for other, count in self.in_flight_by_priority.get(
                endpoint.name, {}
            ).items()
            if other < priority
        )
        return max(min(requests, endpoint.capacity), requests - lower)

    def expected_wait(self, endpoint, priority=0):
        """Return the expected seconds in the queue of an endpoint.

        The number of requests is uncertain by about its square root, so
        the wait grows smoothly and becomes positive before all slots are
        in use.
        """
        capacity = max(1, endpoint.capacity)
        spread = max(1.0, math.sqrt(capacity) / 2)
        excess = (
            self.requests_ahead(endpoint, priority) + 1 - capacity
        ) / spread
        # Softplus; it approaches its argument where that is large.
        waiting = excess if excess > 30 else math.log1p(math.exp(excess))
        return (
            waiting
            * spread
            * self.latency_averages(endpoint.name).service_time
            / capacity
        )

    def first_byte_timeout(self, endpoint, lowest, highest):
        """Return the timeout of the first byte in seconds.

        :param float lowest: lower bound of the timeout.
        :param float highest: upper bound of the timeout, and its value while
            there are too few samples.
        """
        averages = self.averages_by_name.get(endpoint.name)
        if averages is None or averages.samples < MIN_SAMPLES:
            return highest
        typical = averages.first_token + DEVIATION_FACTOR * averages.deviation
        queueing = WAIT_FACTOR * self.expected_wait(endpoint)
        return min(highest, max(lowest, typical + queueing))
