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
        are accepted.
    :param deadlines.BootDeadline finish_by: when the requests that are left
        are cut off.
    """

    accept_until: deadlines.BootDeadline
    finish_by: deadlines.BootDeadline


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

    def begin(self, schedule):
        """Begin the stop."""
        self.schedule = schedule

    def seconds_left(self):
        """Return the seconds for work; infinite while there is no stop."""
        if self.schedule is None:
            return math.inf
        return self.schedule.finish_by.remaining()
