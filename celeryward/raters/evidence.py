"""Evidence from single runs that a new software version is worse.

A version may fail more often than the old one or be slow more often. The two
are judged apart, because slow runs are common even at a good version while its
endpoints fill their caches.
"""

import dataclasses
import math

# A bad version is assumed to fail, or to be slow, this much more often than
# the old one.
BAD_EXCESS_FAILURE_RATE = 0.25
BAD_EXCESS_SLOW_RATE = 0.35
MAX_RATE = 0.95
MIN_FAILURE_RATE = 0.05
MIN_SLOW_RATE = 0.2
# A run is slow if it takes, or has taken so far, this many times as long as
# the old version usually takes. Runs of the old version count the same way, so
# that usual variations are no evidence.
SLOW_FACTOR = 2.5
# A head that arrives sooner is never slow, however fast the old version is.
MIN_SLOW_SECONDS = 0.25
MIN_BASELINE_SAMPLES = 5
SAMPLE_WEIGHT = 0.1
# The mean time to the head of an answer is used for this long after the last
# sample: unlike the time per event, it grows with the load.
HEAD_VALID_SECONDS = 5.0
# Runs that follow each other at one endpoint within a window pass or fail
# together, for example in its queue, and count as no more than this many.
WINDOW_SECONDS = 1.0
MAX_EFFECTIVE_RUNS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointWindow:
    """Evidence of the runs that follow each other at one endpoint.

    :param float started_at: monotonic seconds of the first run.
    :param float log_ratio: sum of the log likelihood ratios of its runs.
    """

    started_at: float
    runs: int = 0
    log_ratio: float = 0.0

    def with_run(self, log_ratio, now):
        """Return the window after one more run, or the next window."""
        if now - self.started_at > WINDOW_SECONDS:
            return EndpointWindow(now, 1, log_ratio)
        return EndpointWindow(
            self.started_at, self.runs + 1, self.log_ratio + log_ratio
        )

    @property
    def weighted_log_ratio(self):
        """The evidence of its runs, weighted as that of the maximum."""
        if not self.runs:
            return 0.0
        return self.log_ratio * min(1.0, MAX_EFFECTIVE_RUNS / self.runs)


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Moving averages over runs of one kind at the old version.

    :param dict slow_rates: fraction of the runs that were slow, by criterion.
    :param float seconds_per_event: seconds between events of a stream.
    :param float head_seconds: seconds to the head of an answer, divided by
        the relative size of the request.
    :param float last_head_at: monotonic seconds of the last head.
    """

    failure_rate: float = MIN_FAILURE_RATE
    slow_rates: dict = dataclasses.field(default_factory=dict)
    seconds_per_event: float = 0.0
    event_samples: int = 0
    head_seconds: float = 0.0
    head_samples: int = 0
    last_head_at: float = 0.0

    def slow_rate(self, criterion):
        """Return how often runs are slow by a criterion."""
        return self.slow_rates.get(criterion, MIN_SLOW_RATE)

    def with_speed(self, criterion, slow):
        """Return the averages after the speed of one more run."""
        rate = moving_rate(self.slow_rate(criterion), slow)
        rates = {**self.slow_rates, criterion: max(MIN_SLOW_RATE, rate)}
        return dataclasses.replace(self, slow_rates=rates)

    def with_run(self, failed, seconds_per_event):
        """Return the averages after one more run."""
        rate = moving_rate(self.failure_rate, failed)
        rated = dataclasses.replace(
            self, failure_rate=max(MIN_FAILURE_RATE, rate)
        )
        if seconds_per_event is None:
            return rated
        event_samples = self.event_samples + 1
        mean = moving_average(
            self.seconds_per_event, seconds_per_event, event_samples
        )
        return dataclasses.replace(
            rated,
            seconds_per_event=mean,
            event_samples=event_samples,
        )

    def with_head(self, head_seconds, now):
        """Return the averages after one more head of an answer."""
        head_samples = self.head_samples + 1
        mean = moving_average(self.head_seconds, head_seconds, head_samples)
        return dataclasses.replace(
            self,
            head_seconds=mean,
            head_samples=head_samples,
            last_head_at=now,
        )

    def expected_head_seconds(self, now):
        """Return the mean seconds to a head, or None if unknown."""
        known = self.head_samples >= MIN_BASELINE_SAMPLES
        recent = now - self.last_head_at <= HEAD_VALID_SECONDS
        return self.head_seconds if known and recent else None

    def has_slow_head(self, head_seconds, relative_size, now):
        """Return whether a head took far longer than the baseline.

        :param float head_seconds: time to the head; None if unknown.
        :param float relative_size: size of the request; 1.0 is average.
        """
        expected = self.expected_head_seconds(now)
        if head_seconds is None or expected is None:
            return False
        limit = SLOW_FACTOR * expected * relative_size
        return head_seconds > max(MIN_SLOW_SECONDS, limit)

    def expected_seconds_per_event(self):
        """Return the mean seconds per event, or None if unknown."""
        return (
            self.seconds_per_event
            if self.event_samples >= MIN_BASELINE_SAMPLES
            else None
        )

    def is_slow(self, seconds_per_event):
        """Return whether a run was far slower than the baseline."""
        expected = self.expected_seconds_per_event()
        if seconds_per_event is None or expected is None:
            return False
        return seconds_per_event > expected * SLOW_FACTOR


def moving_rate(rate, is_hit):
    """Return the moving average of a rate after one more run."""
    return rate + SAMPLE_WEIGHT * (is_hit - rate)


def moving_average(mean, sample, count):
    """Return a moving average after one more sample.

    :param int count: number of samples, including this one.
    """
    weight = max(SAMPLE_WEIGHT, 1 / count)
    return mean + weight * (sample - mean)


def log_likelihood_ratio(is_hit, rate, excess_rate):
    """Return the log likelihood ratio of bad against good for one run.

    :param bool is_hit: whether the run failed, or was slow.
    :param float rate: how often that happens at the old version.
    :param float excess_rate: how much more often at a bad one.
    """
    rate = min(rate, MAX_RATE)
    bad_rate = min(MAX_RATE, rate + excess_rate)
    if is_hit:
        return math.log(bad_rate / rate)
    return math.log((1 - bad_rate) / (1 - rate))
