"""Estimates of how long something takes, from what it took lately."""

import dataclasses

# Weight of a new value in a moving mean.
EWMA_WEIGHT = 0.1


def updated_mean(mean, value):
    """Return an exponential moving mean, updated with a new value.

    :param float | None mean: None before the first value.
    """
    if mean is None:
        return value
    return mean + EWMA_WEIGHT * (value - mean)


@dataclasses.dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Exponential moving mean and mean deviation of durations in seconds."""

    mean: float
    deviation: float = 0.0

    def updated(self, seconds):
        """Return the estimate updated with one more duration."""
        deviation = abs(seconds - self.mean)
        return DurationEstimate(
            updated_mean(self.mean, seconds),
            updated_mean(self.deviation, deviation),
        )

    def upper_bound(self, deviations):
        """Return a duration in seconds that few exceed.

        :param float deviations: mean deviations above the mean.
        """
        return self.mean + deviations * self.deviation
