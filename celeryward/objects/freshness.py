"""How long ago the store confirmed the objects that a router has read."""

import math
import time

BOOT_CLOCK = time.CLOCK_BOOTTIME


def boot_seconds():
    """Return seconds on the clock that also runs while a host is suspended."""
    return time.clock_gettime(BOOT_CLOCK)


class Freshness:
    """Tracks the age of the store's last confirmation of one kind of object.

    Each answer of the store to a read confirms the objects. A revoked API
    key may be accepted only for a bounded time; once the confirmation is
    older than that, requests with a key are refused.

    :param float max_age_seconds: highest age of the confirmation at which the
        objects may be used; infinite if there is no limit.
    :param clock: function that returns seconds on a clock that also runs
        while the host is suspended.
    """

    def __init__(self, max_age_seconds=math.inf, clock=boot_seconds):
        self.max_age_seconds = max_age_seconds
        self.clock = clock
        self.confirmed_at = None

    def confirm(self, at):
        """Record that the objects were up to date at a time."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def age(self):
        """Return the seconds since the last confirmation, or None."""
        if self.confirmed_at is None:
            return None
        return max(0.0, self.clock() - self.confirmed_at)

    def is_fresh(self):
        """Return whether the objects are recent enough to be used."""
        age = self.age()
        return age is not None and age <= self.max_age_seconds
