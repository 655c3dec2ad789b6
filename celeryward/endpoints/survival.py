"""Tells which parts of prompts answers under way show to be harmless.

Answers endpoints that crash at the end of an answer: a crash may come as late
as answers usually end, so that only far longer ones show something. While
nothing was answered, many that go on beside few that were lost do. Needs no
network.
"""

import collections
import math

# Whole answers of a service that count.
MAX_ANSWERS = 64
# Fewer don't tell how long answers of a service usually take.
MIN_ANSWERS = 4
MAX_SERVICES = 1000
# Times as long as the longest of them an answer has to be written.
SURVIVAL_FACTOR = 4.0
# Short answers tell little of a longer one.
MIN_SURVIVAL_SECONDS = 10.0
# Answers that go on for each that a crash has cut off, and in all.
MIN_SURVIVORS_PER_LOSS = 2
MIN_SURVIVORS = 3


class AnswerDurations:
    """For how long the last whole answers of each service were written."""

    def __init__(self):
        self.seconds = collections.OrderedDict()

    def record(self, service, seconds):
        """Record a whole answer.

        :param float seconds: from its begin to its end.
        """
        if service not in self.seconds:
            self.seconds[service] = collections.deque(maxlen=MAX_ANSWERS)
        self.seconds[service].append(seconds)
        self.seconds.move_to_end(service)
        if len(self.seconds) > MAX_SERVICES:
            self.seconds.popitem(last=False)

    def survival_seconds(self, service):
        """Return how long an answer has to be written to show something.

        :returns: infinity while too few answers of the service are known.
        """
        known = self.seconds.get(service, ())
        if len(known) < MIN_ANSWERS:
            return math.inf
        return max(MIN_SURVIVAL_SECONDS, SURVIVAL_FACTOR * max(known))


def find_outnumbering(going_on, lost):
    """Return the parts of which far more answers go on than were lost.

    :param going_on: the parts of each answer that goes on elsewhere.
    :param lost: the parts of each request at an endpoint that crashed.
    """
    survivors = collections.Counter(
        part for parts in going_on for part in set(parts)
    )
    losses = collections.Counter(part for parts in lost for part in set(parts))
    return frozenset(
        part
        for part, count in survivors.items()
        if count >= MIN_SURVIVORS
        and count >= MIN_SURVIVORS_PER_LOSS * losses[part]
    )
