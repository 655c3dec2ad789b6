"""What one run of a new software version says against the old one."""

import dataclasses
import math

# Failure rate by which a bad version exceeds the old one.
BAD_EXCESS = 0.25
MAX_BAD_RATE = 0.95
GOOD_FAILURE_RATE = 0.02
# A run counts as a failure if it takes this many times as long as the old
# version usually takes.
SLOW_FACTOR = 4.0
MIN_OLD_SAMPLES = 5
SAMPLE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Usual:
    """What runs of one kind at the old version come to, as averages.

    :param float pace: seconds for a unit of work.
    """

    failure_rate: float = GOOD_FAILURE_RATE
    pace: float = 0.0
    samples: int = 0

    def with_run(self, failed, pace):
        """Return the averages after one more run.

        Slow runs count as failures, as they do at the new version.
        """
        failed = failed or self.is_slow(pace)
        rate = self.failure_rate + SAMPLE_WEIGHT * (failed - self.failure_rate)
        rate = max(GOOD_FAILURE_RATE, rate)
        if pace is None:
            return dataclasses.replace(self, failure_rate=rate)
        samples = self.samples + 1
        weight = max(SAMPLE_WEIGHT, 1 / samples)
        mean = self.pace + weight * (pace - self.pace)
        return Usual(rate, mean, samples)

    def is_slow(self, pace):
        """Return whether a run took far longer than is usual."""
        if pace is None or self.samples < MIN_OLD_SAMPLES:
            return False
        return pace > self.pace * SLOW_FACTOR


def log_odds(failed, usual):
    """Return the log likelihood ratio of bad against usual for one run."""
    usual = min(usual, MAX_BAD_RATE)
    bad = min(MAX_BAD_RATE, usual + BAD_EXCESS)
    if failed:
        return math.log(bad / usual)
    return math.log((1 - bad) / (1 - usual))
