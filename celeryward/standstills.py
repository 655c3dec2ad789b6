"""Tells when the process has stood still.

A process that is suspended, throttled or starved learns late of everything:
of deadlines, of input and of its signals. The log has a line for each such
time, with the processor time that the process itself used meanwhile: little of
it shows that the process was stopped, much of it that it was busy.
"""

import time

from celeryward import deadlines
from celeryward import logs

# A shorter delay of a task that looks regularly is not logged.
MIN_STANDSTILL_SECONDS = 0.5


class StandstillWatch:
    """Logs how late regular looks are.

    :param float interval: seconds between two looks.
    :param clock: function that returns the seconds since the host was booted.
    :param processor_clock: function that returns the processor seconds of the
        process.
    """

    def __init__(
        self,
        interval,
        clock=deadlines.BootDeadline.now,
        processor_clock=time.process_time,
    ):
        self.interval = interval
        self.clock = clock
        self.processor_clock = processor_clock
        self.looked_at = clock()
        self.used_before = processor_clock()

    def look(self):
        """Log a standstill since the last look; return its seconds or 0.0."""
        now = self.clock()
        used = self.processor_clock()
        late = now - self.looked_at - self.interval
        busy = used - self.used_before
        self.looked_at = now
        self.used_before = used
        if late < MIN_STANDSTILL_SECONDS:
            return 0.0
        logs.bind(step='watch', peer='-').warning(
            'process stood still for {:.2f} s, with {:.2f} s of work',
            late,
            busy,
        )
        return late
