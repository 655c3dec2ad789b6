"""Deadlines on the monotonic clock and on the boot-time clock."""

import dataclasses
import math
import time


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A point in time on the monotonic clock.

    :param float at: seconds on the clock of ``time.monotonic``.
    """

    at: float

    @staticmethod
    def now():
        """Return the time on the clock of the deadline, in seconds."""
        return time.monotonic()

    @classmethod
    def after(cls, seconds):
        """Return the deadline that lies some seconds from now."""
        return cls(cls.now() + seconds)

    def remaining(self):
        """Return the remaining seconds, at least 0.0."""
        return max(0.0, self.at - self.now())

    def expired(self):
        """Return whether the deadline has passed."""
        return self.now() >= self.at

    def earlier(self, other):
        """Return the earlier one of this and another deadline."""
        return min(self, other)


class BootDeadline(Deadline):
    """A point in time on the clock that also runs while the host is suspended.

    For permissions that others take back when their time is over.
    """

    __slots__ = ()

    @staticmethod
    def now():
        """Return the seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


NEVER = Deadline(math.inf)
