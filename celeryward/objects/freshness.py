"""How long ago the store confirmed what is believed."""

import math
import time

BOOT_CLOCK = time.CLOCK_BOOTTIME


def boot_seconds():
    """Return seconds on the clock that also counts a suspended host."""
    return time.clock_gettime(BOOT_CLOCK)


class Freshness:
    """Tells how old the store's last word on objects of one kind is.

    The store confirms them whenever it answers a read. Until a bound after
    that, a key that has been taken away may still be used; so requests with
    a key are refused from then on.

    :param float limit_seconds: age of the confirmation up to which the
        objects are relied on; infinite if they need no such bound.
    :param clock: function that returns seconds which also pass while the
        host is suspended.
    """

    def __init__(self, limit_seconds=math.inf, clock=boot_seconds):
        self.limit_seconds = limit_seconds
        self.clock = clock
        self.confirmed_at = None

    def confirm(self, at):
        """Note that what is held was the newest at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def age(self):
        """Return the seconds since the last confirmation, or None."""
        if self.confirmed_at is None:
            return None
        return max(0.0, self.clock() - self.confirmed_at)

    def is_fresh(self):
        """Return whether the objects may be relied on."""
        age = self.age()
        return age is not None and age <= self.limit_seconds
