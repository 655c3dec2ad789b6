"""A clock that stands still while this process does.

A process that is stopped, throttled or starved of its core reads the answers
of all endpoints late. What endpoints need is measured on this clock, so that
the pause isn't taken for their slowness. Deadlines and permissions don't use
it: their time goes on in a pause. Needs no network.
"""

import math
import time

import curio

TICK_SECONDS = 0.1
# Longer gaps between two readings are pauses of the process.
MAX_GAP_SECONDS = 0.3


class AwakeClock:
    """Seconds for which this process has run, called as a function.

    Any reading shows a pause that has just ended, whichever task runs first.
    Without :meth:`run` under way it is like its underlying clock.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.read_at = clock()
        self.paused_seconds = 0.0
        # The last pause, on the underlying clock.
        self.pause_began_at = -math.inf
        self.pause_ended_at = -math.inf
        # Tasks that read the clock regularly.
        self.readers = 0

    def __call__(self):
        """Return the time on this clock, in seconds."""
        now = self.clock()
        gap = now - self.read_at
        if self.readers and gap > MAX_GAP_SECONDS:
            self.paused_seconds += gap - TICK_SECONDS
            self.pause_began_at = self.read_at
            self.pause_ended_at = now
        self.read_at = now
        return now - self.paused_seconds

    def paused(self):
        """Return for how many seconds this process has stood still so far."""
        self()
        return self.paused_seconds

    def earliest_arrival(self):
        """Return since when input that is read now may have been there.

        That is a time on the underlying clock.
        """
        self()
        if self.read_at - self.pause_ended_at <= MAX_GAP_SECONDS:
            return self.pause_began_at
        return self.read_at

    def longest_unread(self):
        """Return for how long input that is read now may have waited."""
        earliest = self.earliest_arrival()
        return self.read_at - earliest

    async def run(self):
        """Read the clock regularly until cancelled."""
        self()
        self.readers += 1
        try:
            while True:
                await curio.sleep(TICK_SECONDS)
                self()
        finally:
            self.readers -= 1


# Shared by all parts of the process, because they stand still together.
CLOCK = AwakeClock()
