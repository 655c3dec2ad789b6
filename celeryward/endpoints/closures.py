"""Endpoints that want no requests from this router for a while.

An endpoint that turns a request away for lack of capacity may state for how
long it wants no more. After that time it is filled gradually: the number of
requests that may run there at once starts at one, grows fast up to half of
what ran when the endpoint closed, and slowly from there on. Answers overload,
in which all routers would otherwise return to the endpoint in one step. Needs
no network.

A list of endpoints that is not up to date names the predecessor of the process
that refuses. One process listens at an address at a time, so that a refusal
also counts for other runs at its address that had started by then, or whose
start is unknown. It does so for a few seconds only, since times of day that
differ by more than is allowed for would close an endpoint that is ready.
"""

import dataclasses
import itertools
import random
import re
import time

from celeryward import awake_clock
from celeryward.endpoints import runners
from celeryward.objects import freshness

# A request to wait, as the number of seconds.
SECONDS_PATTERN = re.compile(r'\d+(\.\d*)?')
# Share of the closed time that is added at random, so that routers do not
# return at the same moment, and its upper bound.
SPREAD_SHARE = 0.1
MAX_SPREAD_SECONDS = 1.0
FIRST_LIMIT = 1.0
# Added to the limit for each accepted request while it grows fast.
FAST_GROWTH = 2.0
THRESHOLD_SHARE = 0.5
# An endpoint is no longer limited after this time without another refusal,
# and once the limit is this many times its slots.
FILL_SECONDS = 10.0
FULL_SLOTS_FACTOR = 2.0
# Within which the times of day of two hosts agree, unless one was set. The
# start of a process takes longer.
CLOCK_ERROR_SECONDS = 1.0
# For how long a refusal counts for other runs at its address. By then the list
# is up to date, and one of them that refused is sent a request of its own.
SHARED_SECONDS = 5.0
GENERATOR = random.Random()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedPause:
    """How long an endpoint wants no requests.

    :param bool is_odd: whether this differs from what the endpoint sent.
    """

    seconds: float
    is_odd: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PauseBounds:
    """Bounds on the time for which an endpoint may ask.

    :param float max_seconds: longest time that is complied with.
    :param float unreadable_seconds: time in place of an unreadable value.
    """

    max_seconds: float
    unreadable_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Closure:
    """The state of an endpoint that is closed or being filled.

    :param tuple key: key of the run that the refused request was sent to.
    :param float told_at: when the endpoint asked for it, in UTC seconds.
    :param float shared_until: time up to which it may be one of another run
        at the address, on the boot-time clock.
    :param float opens_at: end of the closed time, on the boot-time clock.
    :param float threshold: limit up to which it grows fast.
    :param float limit: requests that may run there at once after that.
    :param int running: requests that were sent since it opened and run.
    """

    key: tuple[str, float]
    told_at: float
    shared_until: float
    opens_at: float
    threshold: float
    limit: float = FIRST_LIMIT
    running: int = 0

    def may_be_of(self, runner, now):
        """Return whether a run of an endpoint may have asked for it.

        A process can't have answered before it started. A run whose start is
        unknown may have. For the run that the request was sent to no clock is
        asked, so that one that is set opens nothing.
        """
        if self.key == runner.key:
            return True
        earliest = runner.started_at - CLOCK_ERROR_SECONDS
        return now < self.shared_until and self.told_at >= earliest

    def grown(self):
        """Return the state after one more accepted request."""
        if self.limit < self.threshold:
            limit = min(self.threshold, self.limit + FAST_GROWTH)
        else:
            limit = self.limit + 1.0 / self.limit
        return dataclasses.replace(self, limit=limit)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The place of one request at an endpoint.

    :param int number: tells the places apart.
    :param opening: opening of the endpoint that the place belongs to, None if
        the endpoint is not limited.
    """

    runner: runners.Runner
    number: int
    opening: float | None


def read_pause(text, bounds):
    """Return the :class:`RequestedPause` in the value of a header.

    A time that can't be read, such as a date, still says that requests are
    not wanted; a time that is negative asks for nothing.

    :param str text: the value; empty if there is none.
    :param PauseBounds bounds: bounds on the result.
    """
    text = text.strip()
    if not text:
        return RequestedPause(0.0, False)
    if text.isascii() and SECONDS_PATTERN.fullmatch(text):
        seconds = float(text)
        return RequestedPause(
            min(seconds, bounds.max_seconds), seconds > bounds.max_seconds
        )
    if text.startswith('-') and SECONDS_PATTERN.fullmatch(text[1:]):
        return RequestedPause(0.0, True)
    return RequestedPause(
        min(bounds.unreadable_seconds, bounds.max_seconds), True
    )


class Closures:
    """The endpoints that are closed or being filled, by address.

    States end by themselves, so that their number is bounded by the addresses
    of endpoints in the longest pause.

    :param clock: function that returns seconds on a clock that also runs
        while the host is suspended.
    :param utc_clock: function that returns UTC seconds.
    """

    def __init__(self, clock=freshness.boot_seconds, utc_clock=time.time):
        self.clock = clock
        self.utc_clock = utc_clock
        self.states = {}
        self.places = set()
        self.numbers = itertools.count()

    def close(self, runner, seconds, in_flight):
        """Close an endpoint for some seconds; a later end stays in force.

        :param int in_flight: this router's requests that run there.
        """
        self.remove_ended()
        now = self.clock()
        spread = min(SPREAD_SHARE * seconds, MAX_SPREAD_SECONDS)
        closed = Closure(
            runner.key,
            self.utc_clock() - awake_clock.CLOCK.longest_unread(),
            now + SHARED_SECONDS,
            now + seconds + GENERATOR.uniform(0.0, spread),
            max(FIRST_LIMIT, THRESHOLD_SHARE * in_flight),
        )
        before = self.find(runner)
        if before is not None and before.opens_at > now:
            closed = dataclasses.replace(closed, threshold=before.threshold)
            closed = max(closed, before, key=lambda each: each.opens_at)
        self.states[runner.address] = closed

    def remove_ended(self):
        """Remove the states of endpoints that are no longer limited."""
        oldest = self.clock() - FILL_SECONDS
        for address, state in tuple(self.states.items()):
            if state.opens_at < oldest:
                del self.states[address]

    def find(self, runner):
        """Return what a run of an endpoint may have asked for, or None."""
        state = self.states.get(runner.address)
        if state is None or not state.may_be_of(runner, self.clock()):
            return None
        return state

    def state_of(self, runner):
        """Return the :class:`Closure` of an endpoint, or None."""
        state = self.find(runner)
        if state is None or state.opens_at < self.clock() - FILL_SECONDS:
            return None
        return state

    def is_closed(self, runner):
        """Return whether an endpoint wants no requests now."""
        state = self.find(runner)
        return state is not None and state.opens_at > self.clock()

    def may_start(self, runner):
        """Return whether an endpoint may be chosen for one more request."""
        state = self.state_of(runner)
        return state is None or (
            state.opens_at <= self.clock() and state.running < int(state.limit)
        )

    def blocked_ids(self, endpoints):
        """Return the ids of the endpoints that may get no request now."""
        if not self.states:
            return frozenset()
        return frozenset(
            runner.id for runner in endpoints if not self.may_start(runner)
        )

    def take_place(self, runner):
        """Return the :class:`Place` of a request that an endpoint will get.

        It is taken before the request is sent, so that no other request is
        promised the same one.
        """
        opening = None
        state = self.state_of(runner)
        if state is not None and state.opens_at <= self.clock():
            opening = state.opens_at
            self.states[runner.address] = dataclasses.replace(
                state, running=state.running + 1
            )
        place = Place(runner, next(self.numbers), opening)
        self.places.add(place.number)
        return place

    def give_back(self, place):
        """Give a place back; return False if that was done before."""
        if place.number not in self.places:
            return False
        self.places.remove(place.number)
        state = self.states.get(place.runner.address)
        if state is not None and place.opening == state.opens_at:
            self.states[place.runner.address] = dataclasses.replace(
                state, running=state.running - 1
            )
        return True

    def record_accepted(self, runner):
        """Raise the limit of an endpoint that has accepted a request."""
        state = self.state_of(runner)
        if state is None or state.opens_at > self.clock():
            return
        grown = state.grown()
        if grown.limit >= FULL_SLOTS_FACTOR * max(1, runner.slots):
            del self.states[runner.address]
        else:
            self.states[runner.address] = grown

    def closed_count(self):
        """Return the number of endpoints that are closed now."""
        now = self.clock()
        return sum(state.opens_at > now for state in self.states.values())
