"""Evidence from single runs that a new software version is worse.

A version may fail more often than the old one, or take longer. The two are
judged apart, because slow runs are common even at a good version while its
endpoints fill their caches. Times are compared by their logarithms, with the
variance that they have at the old version, so that the same factor counts for
less where times vary anyway. A time without a known time to compare it with
is no evidence at all.
"""

import dataclasses
import math

# A bad version is assumed to fail this much more often than the old one, and
# its runs to take this many times as long.
BAD_EXCESS_FAILURE_RATE = 0.25
BAD_SLOW_FACTOR = 4.0
MAX_RATE = 0.95
MIN_FAILURE_RATE = 0.05
# Bounds on the evidence of one time, as log likelihood ratios. Four slow runs
# at different endpoints suffice for a verdict, three do not.
MAX_SPEED_LOG_RATIO = 1.01
MIN_SPEED_LOG_RATIO = -0.575
# Variance of the logarithm of a time below which it is not trusted.
MIN_LOG_VARIANCE = 0.16
# A run is overdue once it takes this many times as long as the old version
# usually does: the least, and the most where times vary.
MIN_OVERDUE_FACTOR = 2.5
MAX_OVERDUE_FACTOR = 4.0
# A head that arrives sooner is never slow, however fast the old version is.
MIN_SLOW_SECONDS = 0.25
# Times are compared as if they took at least this long.
MIN_SECONDS = 0.0001
MIN_BASELINE_SAMPLES = 8
SAMPLE_WEIGHT = 0.1
TIME_SAMPLE_WEIGHT = 0.05
# The time to the head of an answer is used for this long after the last
# sample: unlike the time per event, it grows with the load.
HEAD_VALID_SECONDS = 5.0
# Runs that follow each other at one endpoint within a window pass or fail
# together, for example in its queue, and count as no more than this many.
WINDOW_SECONDS = 1.0
MAX_EFFECTIVE_RUNS = 2.0


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
class TimeBaseline:
    """Moving averages of the logarithm of a time at the old version.

    :param float mean: of the natural logarithm of the seconds.
    :param float variance: of the same.
    :param float last_at: monotonic seconds of the last sample.
    """

    mean: float = 0.0
    variance: float = 0.0
    samples: int = 0
    last_at: float = 0.0

    def with_sample(self, seconds, now):
        """Return the averages after one more time."""
        samples = self.samples + 1
        weight = max(TIME_SAMPLE_WEIGHT, 1 / samples)
        difference = math.log(max(MIN_SECONDS, seconds)) - self.mean
        variance = self.variance + weight * difference * difference
        return TimeBaseline(
            self.mean + weight * difference,
            (1 - weight) * variance,
            samples,
            now,
        )

    @property
    def is_known(self):
        """Whether there are enough samples to compare a time with."""
        return self.samples >= MIN_BASELINE_SAMPLES

    @property
    def usual_seconds(self):
        """The geometric mean of the times."""
        return math.exp(self.mean)

    @property
    def log_variance(self):
        """The variance of the logarithm of a time, at least the minimum."""
        return max(MIN_LOG_VARIANCE, self.variance)

    @property
    def overdue_factor(self):
        """How many times as long as usual an overdue run takes.

        By then its time is the strongest evidence that a time can be.
        """
        assumed = math.log(BAD_SLOW_FACTOR)
        strongest = MAX_SPEED_LOG_RATIO * self.log_variance / assumed
        factor = math.exp(assumed / 2 + strongest)
        return min(MAX_OVERDUE_FACTOR, max(MIN_OVERDUE_FACTOR, factor))

    def log_ratio(self, seconds):
        """Return the log likelihood ratio of bad against good of a time."""
        assumed = math.log(BAD_SLOW_FACTOR)
        slower = math.log(max(MIN_SECONDS, seconds)) - self.mean
        ratio = assumed / self.log_variance * (slower - assumed / 2)
        return min(MAX_SPEED_LOG_RATIO, max(MIN_SPEED_LOG_RATIO, ratio))


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Moving averages over runs of one kind at the old version.

    :param TimeBaseline head: seconds to the head of an answer, divided by the
        relative size of the request.
    :param TimeBaseline pace: seconds between events of a stream.
    """

    failure_rate: float = MIN_FAILURE_RATE
    head: TimeBaseline = TimeBaseline()
    pace: TimeBaseline = TimeBaseline()

    def with_run(self, failed):
        """Return the averages after one more run."""
        rate = moving_rate(self.failure_rate, failed)
        return dataclasses.replace(
            self, failure_rate=max(MIN_FAILURE_RATE, rate)
        )

    def with_time(self, name, seconds, now):
        """Return the averages after one more time, ``head`` or ``pace``."""
        averages = getattr(self, name).with_sample(seconds, now)
        return dataclasses.replace(self, **{name: averages})


def moving_rate(rate, is_hit):
    """Return the moving average of a rate after one more run."""
    return rate + SAMPLE_WEIGHT * (is_hit - rate)


def log_likelihood_ratio(is_hit, rate, excess_rate):
    """Return the log likelihood ratio of bad against good for one run.

    :param bool is_hit: whether the run failed.
    :param float rate: how often that happens at the old version.
    :param float excess_rate: how much more often at a bad one.
    """
    rate = min(rate, MAX_RATE)
    bad_rate = min(MAX_RATE, rate + excess_rate)
    if is_hit:
        return math.log(bad_rate / rate)
    return math.log((1 - bad_rate) / (1 - rate))
