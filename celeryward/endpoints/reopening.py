"""Estimates when endpoints that are closed can start requests again.

Answers overload in which all endpoints of a service are closed: a request is
kept only if its turn comes early enough, and callers that are refused return
one after another at the pace at which the endpoints will take requests. Needs
no network.
"""

import dataclasses
import heapq
import itertools
import math
import random

# Time that a request takes at a service without any answer so far.
DEFAULT_ANSWER_SECONDS = 0.2
# Weight of a new answer in the mean time of its service.
SAMPLE_WEIGHT = 0.1
MIN_ANSWER_SECONDS = 0.001
# Callers are told to return at most this long after the first opening. Those
# that find no turn within it return at random times.
MAX_RETURN_SECONDS = 4.0
GENERATOR = random.Random()


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """When an endpoint starts requests of this router.

    :param float at: when it can start the next one, on the boot-time clock.
    :param float interval: seconds between two requests from then on.
    :param float slow_interval: seconds between two requests before
        ``slow_until``, where requests are limited until then.
    :param float slow_until: end of that time, on the boot-time clock.
    """

    at: float
    interval: float
    slow_interval: float = 0.0
    slow_until: float = -math.inf

    def starts(self):
        """Yield the estimated starts of requests, without end."""
        at = self.at
        while at < self.slow_until:
            yield at
            at += self.slow_interval
        yield from itertools.count(
            max(self.at, self.slow_until), self.interval
        )

    def interval_at(self, at):
        """Return the seconds between two requests at some time."""
        return self.slow_interval if at < self.slow_until else self.interval


def start_times(openings):
    """Yield the estimated starts of requests at any of the endpoints.

    :param openings: iterable of :class:`Opening`, at least one.
    """
    return heapq.merge(*(opening.starts() for opening in openings))


class ReopeningEstimates:
    """Estimates of when endpoints can start requests.

    :param closures: :class:`closures.Closures`.
    :param count_routers: function that returns the number of routers that
        share the endpoints.
    """

    def __init__(self, closures, count_routers):
        self.closures = closures
        self.count_routers = count_routers
        self.answer_seconds = {}

    def record(self, service, seconds):
        """Record how long the answer to a request of a service took."""
        mean = self.answer_seconds.get(service, seconds)
        mean += SAMPLE_WEIGHT * (seconds - mean)
        self.answer_seconds[service] = max(MIN_ANSWER_SECONDS, mean)

    def seconds(self, service):
        """Return the mean time that an answer of a service takes."""
        return self.answer_seconds.get(service, DEFAULT_ANSWER_SECONDS)

    def opening(self, runner):
        """Return the :class:`Opening` of an endpoint.

        An endpoint that is being filled can start a request when one of those
        that run there has ended.
        """
        seconds = self.seconds(runner.service)
        places = max(1.0, runner.slots / self.count_routers())
        at = self.closures.clock()
        state = self.closures.state_of(runner)
        if state is not None:
            places = max(places, state.threshold)
            if state.running >= int(state.limit):
                at += seconds / state.limit
            at = max(at, state.opens_at)
        return Opening(at, seconds / places)


class ReturnSchedule:
    """Gives each refused caller of a service a time to return.

    :param clock: function that returns seconds on the boot-time clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.next_at = {}

    def next_return(self, service, openings, waiting):
        """Return the seconds after which one more caller may return.

        :param openings: the :class:`Opening` of each endpoint, at least one.
        :param int waiting: requests that are kept, which go before.
        """
        first = min(opening.at for opening in openings)
        turn = next(itertools.islice(start_times(openings), waiting, None))
        at = max(turn, self.next_at.get(service, 0.0))
        pace = 1.0 / sum(1.0 / each.interval_at(at) for each in openings)
        if at > first + MAX_RETURN_SECONDS:
            at = first + GENERATOR.uniform(0.0, MAX_RETURN_SECONDS)
        else:
            self.next_at[service] = at + pace
            at += GENERATOR.uniform(0.0, pace)
        return max(0.0, at - self.clock())
