"""Deadlines on the monotonic clock."""

import dataclasses
import math
import time


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A point in time on the monotonic clock.

    :param float at: seconds on the clock of ``time.monotonic``.
    """

    at: float

    @classmethod
    def after(cls, seconds):
        """Return the deadline that lies some seconds from now."""
        return cls(time.monotonic() + seconds)

    def remaining(self):
        """Return the remaining seconds, at least 0.0."""
        return max(0.0, self.at - time.monotonic())

    def expired(self):
        """Return whether the deadline has passed."""
        return time.monotonic() >= self.at

    def earlier(self, other):
        """Return the earlier one of this and another deadline."""
        return min(self, other)


NEVER = Deadline(math.inf)
