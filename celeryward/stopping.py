"""What is left of a planned stop.

The deadlines run on the boot-time clock: the platform ends the process when
its time is over, also if the host was suspended meanwhile.
"""

import dataclasses
import math

from celeryward import deadlines


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """The deadlines of a planned stop.

    :param deadlines.BootDeadline accept_until: until when new connections
        and requests are accepted.
    :param deadlines.BootDeadline finish_by: when the requests that are left
        are cut off.
    """

    accept_until: deadlines.BootDeadline
    finish_by: deadlines.BootDeadline

    @classmethod
    def counted_from(cls, start, accept_seconds, finish_seconds):
        """Return the schedule of a stop that began at a time.

        :param float start: seconds since the host was booted.
        """
        finish_by = deadlines.BootDeadline(start + finish_seconds)
        accept_until = deadlines.BootDeadline(start + accept_seconds)
        return cls(accept_until.earlier(finish_by), finish_by)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStart:
    """When a request began, and what was left of a stop then.

    :param float at: seconds since the host was booted.
    :param float stop_seconds_left: infinite if no stop had begun.
    """

    at: float
    stop_seconds_left: float

    def log_fields(self):
        """Return the log fields of a request that a stop cuts off."""
        left = self.stop_seconds_left
        return {
            'seconds': round(deadlines.BootDeadline.now() - self.at, 3),
            'stop_left': None if math.isinf(left) else round(left, 3),
        }


class StopState:
    """Whether a process stops, and when; shared by all that start work.

    ``schedule`` is None until the stop begins.
    """

    def __init__(self):
        self.schedule = None

    @property
    def is_stopping(self):
        """Whether the stop has begun."""
        return self.schedule is not None

    def is_accepting(self):
        """Return whether requests that arrive may begin."""
        return self.schedule is None or not (
            self.schedule.accept_until.expired()
        )

    def begin(self, schedule):
        """Begin the stop; one that has begun keeps its schedule."""
        if self.schedule is None:
            self.schedule = schedule

    def seconds_left(self):
        """Return the seconds for work; infinite while there is no stop."""
        if self.schedule is None:
            return math.inf
        return self.schedule.finish_by.remaining()

    def request_start(self):
        """Return the :class:`RequestStart` of a request that begins now."""
        return RequestStart(deadlines.BootDeadline.now(), self.seconds_left())
