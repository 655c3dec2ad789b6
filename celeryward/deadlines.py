"""Deadlines on the monotonic clock."""

import dataclasses
import math
import time


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A point in time by which something has to happen.

    :param float at: seconds on the clock of ``time.monotonic``.
    """

    at: float

    @classmethod
    def after(cls, seconds):
        """Return the deadline that many seconds from now."""
        return cls(time.monotonic() + seconds)

    def remaining(self):
        """Return the seconds left, 0.0 at the least."""
        return max(0.0, self.at - time.monotonic())

    def expired(self):
        """Return whether the deadline has passed."""
        return time.monotonic() >= self.at

    def earlier(self, other):
        """Return the earlier of two deadlines."""
        return min(self, other)


NEVER = Deadline(math.inf)
