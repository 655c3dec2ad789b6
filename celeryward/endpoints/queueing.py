"""Estimates how long requests wait in the queues of endpoints.

The number of its own requests tells a router little about an endpoint that
many routers share. The time that its requests have waited lately, and that
those without an answer have waited so far, includes the load of all. This
answers bursts and hot prompts, for which all routers prefer the same endpoint.
"""

import collections
import dataclasses
import itertools
import math
import time

from celeryward.endpoints import start_estimates

# Time constant of the decay of an average wait.
DECAY_SECONDS = 1.5
# Weight of a new sample in the average wait of its endpoint.
SAMPLE_WEIGHT = 0.5
# A request without an answer shows a queue from this age on.
USUAL_HEAD_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredWait:
    """The average wait at an endpoint, at the time of its last sample."""

    seconds: float
    at: float

    def decayed(self, now):
        """Return the average in seconds, decayed to a later time."""
        return self.seconds * math.exp(-(now - self.at) / DECAY_SECONDS)


class QueueEstimates:
    """Estimates of the wait at each endpoint, by its id.

    ``starts`` holds the :class:`start_estimates.StartEstimates`, which tell
    requests apart by their urgency.

    :param clock: function that returns seconds; they stand still while this
        process does.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.starts = start_estimates.StartEstimates(clock)
        self.measured = {}
        self.unanswered = collections.defaultdict(dict)
        self.numbers = itertools.count()

    def begin(self, endpoint):
        """Return the number of a request that is sent now."""
        number = next(self.numbers)
        self.unanswered[endpoint][number] = self.clock()
        return number

    def end(self, endpoint, number):
        """Record that a request was answered or given up."""
        requests = self.unanswered.get(endpoint)
        if requests is None:
            return
        requests.pop(number, None)
        if not requests:
            del self.unanswered[endpoint]

    def record(self, endpoint, seconds):
        """Record how long a request waited in the queue of an endpoint."""
        now = self.clock()
        before = self.measured.get(endpoint, MeasuredWait(0.0, now))
        mean = before.decayed(now)
        mean += SAMPLE_WEIGHT * (seconds - mean)
        self.measured[endpoint] = MeasuredWait(mean, now)

    def seconds(self, endpoint):
        """Return the estimated wait of a request that is sent now."""
        now = self.clock()
        measured = self.measured.get(endpoint)
        wait = measured.decayed(now) if measured else 0.0
        requests = self.unanswered.get(endpoint)
        if requests:
            # Numbers rise, so that the first one is the oldest.
            oldest = next(iter(requests.values()))
            wait = max(wait, now - oldest - USUAL_HEAD_SECONDS)
        return wait

    def forget(self, endpoint):
        """Drop the waits at an endpoint that is gone."""
        self.measured.pop(endpoint, None)
        self.starts.forget(endpoint)
