"""Evidence from single runs that a new software version is worse."""

import dataclasses
import math

# A bad version is assumed to fail this much more often than the old one.
BAD_EXCESS_FAILURE_RATE = 0.25
MAX_FAILURE_RATE = 0.95
MIN_FAILURE_RATE = 0.02
# A run counts as a failure if it takes, or has taken so far, this many times
# as long as the old version usually takes.
SLOW_FACTOR = 4.0
MIN_BASELINE_SAMPLES = 5
SAMPLE_WEIGHT = 0.1
# The mean time to the head of an answer is used for this long after the last
# sample: unlike the time per event, it grows with the load.
HEAD_VALID_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Moving averages over runs of one kind at the old version.

    :param float seconds_per_event: seconds between events of a stream.
    :param float head_seconds: seconds to the head of an answer, divided by
        the relative size of the request.
    :param float last_head_at: monotonic seconds of the last head.
    """

    failure_rate: float = MIN_FAILURE_RATE
    seconds_per_event: float = 0.0
    event_samples: int = 0
    head_seconds: float = 0.0
    head_samples: int = 0
    last_head_at: float = 0.0

    def with_run(self, failed, seconds_per_event):
        """Return the averages after one more run.

        Slow runs count as failures, as they do for the new version.
        """
        failed = failed or self.is_slow(seconds_per_event)
        rate = self.failure_rate + SAMPLE_WEIGHT * (failed - self.failure_rate)
        rate = max(MIN_FAILURE_RATE, rate)
        if seconds_per_event is None:
            return dataclasses.replace(self, failure_rate=rate)
        event_samples = self.event_samples + 1
        mean = moving_average(
            self.seconds_per_event, seconds_per_event, event_samples
        )
        return dataclasses.replace(
            self,
            failure_rate=rate,
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


def moving_average(mean, sample, count):
    """Return a moving average after one more sample.

    :param int count: number of samples, including this one.
    """
    weight = max(SAMPLE_WEIGHT, 1 / count)
    return mean + weight * (sample - mean)


def log_likelihood_ratio(failed, baseline_rate):
    """Return the log likelihood ratio of bad against baseline for a run."""
    baseline_rate = min(baseline_rate, MAX_FAILURE_RATE)
    bad_rate = min(MAX_FAILURE_RATE, baseline_rate + BAD_EXCESS_FAILURE_RATE)
    if failed:
        return math.log(bad_rate / baseline_rate)
    return math.log((1 - bad_rate) / (1 - baseline_rate))
