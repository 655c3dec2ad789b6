"""Estimates whether a request would start at an endpoint before its deadline.

Endpoints start urgent requests first. While one has more urgent work than it
can do, the less urgent requests in its queue wait until their deadlines, and
those that fill the queue keep urgent ones out. The wait is therefore estimated
for each urgency, from the requests of this router that wait there and the pace
at which such requests have started lately. Answers overload after many
endpoints have left. Needs no network.
"""

import collections
import dataclasses
import itertools
import math
import time

# Time constant of the decay of counted starts.
PACE_SECONDS = 2.0
# Part of the time that a request has left from which on a wait is long.
LONG_WAIT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How requests of one urgency have started at one endpoint lately.

    :param float starts: starts, each decayed since.
    :param float counted_at: time up to which they are decayed.
    :param float waited_seconds: wait of the last request.
    :param float waited_until: time until which that wait is evidence.
    """

    starts: float = 0.0
    counted_at: float = 0.0
    waited_seconds: float = 0.0
    waited_until: float = 0.0

    def decayed(self, now):
        """Return the starts, decayed to a later time."""
        return self.starts * math.exp((self.counted_at - now) / PACE_SECONDS)

    def started(self, seconds, now):
        """Return the pace after a request that started after some seconds."""
        return Pace(self.decayed(now) + 1.0, now, seconds, now + seconds)

    def given_up(self, seconds, now):
        """Return the pace after a request that ended without a start.

        It shows only that a start takes at least as long.
        """
        if seconds < self.waited(now):
            return self
        return dataclasses.replace(
            self, waited_seconds=seconds, waited_until=now + seconds
        )

    def waited(self, now):
        """Return the wait of the last request while it is evidence."""
        return self.waited_seconds if now < self.waited_until else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitedStart:
    """A request that was sent and has not started, as far as is known.

    :param int number: rises with each request.
    """

    endpoint: str
    urgency: int
    number: int
    sent_at: float


class StartEstimates:
    """Estimates of starts, by endpoint and urgency.

    :param clock: function that returns seconds; they stand still while this
        process does.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.paces = collections.defaultdict(dict)
        self.waiting = collections.defaultdict(dict)
        self.numbers = itertools.count()

    def begin(self, endpoint, urgency):
        """Return the :class:`AwaitedStart` of a request that is sent now."""
        start = AwaitedStart(
            endpoint, urgency, next(self.numbers), self.clock()
        )
        self.waiting[endpoint, urgency][start.number] = start
        return start

    def end(self, start, has_started=False):
        """Record that a request has started, or ended without; once."""
        key = (start.endpoint, start.urgency)
        requests = self.waiting.get(key, {})
        if requests.pop(start.number, None) is None:
            return
        if not requests:
            del self.waiting[key]
        now = self.clock()
        pace = self.pace(*key)
        record = pace.started if has_started else pace.given_up
        self.paces[start.endpoint][start.urgency] = record(
            now - start.sent_at, now
        )

    def pace(self, endpoint, urgency):
        """Return the :class:`Pace` of an urgency at an endpoint."""
        return self.paces.get(endpoint, {}).get(urgency, Pace())

    def wait_seconds(self, endpoint, urgency):
        """Return how long requests of an urgency lately wait at least."""
        now = self.clock()
        waited = self.pace(endpoint, urgency).waited(now)
        requests = self.waiting.get((endpoint, urgency))
        if requests:
            # Numbers rise, so that the first one is the oldest.
            waited = max(waited, now - next(iter(requests.values())).sent_at)
        return waited

    def can_start(self, endpoint, urgency, seconds_left):
        """Return whether a request sent now may start within some seconds.

        It may if none waits: one at a time shows that the endpoint has time
        again. Otherwise those that wait start first, at the latest pace.
        """
        ahead = len(self.waiting.get((endpoint, urgency), ()))
        if not ahead:
            return True
        waited = self.wait_seconds(endpoint, urgency)
        if waited < LONG_WAIT_SHARE * seconds_left:
            return True
        starts = self.pace(endpoint, urgency).decayed(self.clock())
        return ahead * PACE_SECONDS <= starts * seconds_left

    def forget(self, endpoint):
        """Drop the paces and requests at an endpoint that is gone."""
        self.paces.pop(endpoint, None)
        for key in tuple(self.waiting):
            if key[0] == endpoint:
                del self.waiting[key]
