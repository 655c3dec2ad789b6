"""Goodput under overload, and how exactly limits are divided.

A simulated engine of 32 slots serves one large and four small customers in
virtual time, at its capacity and at twice its capacity: without admission
control, with a first-in first-out queue, and with the queue in force. A
request counts if it is answered before its deadline; at its deadline it is
cancelled. Then the shares of limits are measured, see benchmarks.shares.
Usage: python -m benchmarks.overload --seed N
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random

from benchmarks import shares
from celeryward.callers import queues
from celeryward import deadlines

SLOTS = 32
MEAN_SECONDS = 1.0
SERVICE_SIGMA = 0.8
DURATION_SECONDS = 300.0
DEADLINE_SECONDS = (3.0, 10.0)
LARGE = 'large'
SMALL = ('small-1', 'small-2', 'small-3', 'small-4')
# At twice the capacity each small customer asks for 0.15 of the slots,
# which is below a fifth, its fair share.
SMALL_PART = 0.075


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request.

    :param float seconds: time that it takes if the engine is not full.
    """

    number: int
    at: float
    customer: str
    seconds: float
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Outcomes of the requests of one run."""

    per_second: float
    large_answered: float
    small_answered: float
    refused: int
    wasted: int


def make_arrivals(seed, load):
    """Return the requests at a multiple of the engine's capacity."""
    rng = random.Random(seed)
    rate = load * SLOTS / MEAN_SECONDS
    mu = -(SERVICE_SIGMA**2) / 2
    names = (LARGE, *SMALL)
    weights = (1 - SMALL_PART * len(SMALL), *(SMALL_PART,) * len(SMALL))
    arrivals = []
    at = rng.expovariate(rate)
    while at < DURATION_SECONDS:
        arrivals.append(
            Arrival(
                len(arrivals),
                at,
                rng.choices(names, weights)[0],
                MEAN_SECONDS * rng.lognormvariate(mu, SERVICE_SIGMA),
                at + rng.uniform(*DEADLINE_SECONDS),
            )
        )
        at += rng.expovariate(rate)
    return arrivals


class Engine:
    """Runs requests; more than its slots share its speed.

    Progress is counted in seconds of a request that has a slot of its own,
    so that one heap orders all completions.
    """

    def __init__(self):
        self.progress = 0.0
        self.now = 0.0
        self.heap = []
        self.running = {}

    @property
    def speed(self):
        """Progress of each request in a second."""
        return min(1.0, SLOTS / max(1, len(self.running)))

    def advance(self, now):
        """Move on to a time before the next event."""
        self.progress += (now - self.now) * self.speed
        self.now = now

    def start(self, arrival):
        """Begin a request."""
        self.running[arrival.number] = arrival, self.now
        done = self.progress + arrival.seconds
        heapq.heappush(self.heap, (done, arrival.number))

    def next_end(self):
        """Return time and number of the next completion."""
        while self.heap and self.heap[0][1] not in self.running:
            heapq.heappop(self.heap)
        if not self.heap:
            return float('inf'), None
        done, number = self.heap[0]
        left = max(0.0, done - self.progress)
        return self.now + left / self.speed, number

    def end(self, number):
        """Remove a request; return it and the seconds since its start."""
        arrival, started = self.running.pop(number)
        return arrival, self.now - started


class NoControl:
    """Starts each request at once."""

    def __init__(self, engine):
        self.engine = engine
        self.refused = 0

    def arrive(self, arrival):
        """Take a request."""
        self.engine.start(arrival)

    def ended(self, arrival, seconds):
        """Note the end of a request."""


class FirstIn(NoControl):
    """Starts requests in the order of their arrival."""

    def __init__(self, engine):
        super().__init__(engine)
        self.waiting = collections.deque()

    def arrive(self, arrival):
        """Take a request."""
        self.waiting.append(arrival)
        self.start()

    def ended(self, arrival, seconds):
        """Start the next request."""
        self.start()

    def start(self):
        """Start requests while there are slots."""
        while self.waiting and len(self.engine.running) < SLOTS:
            arrival = self.waiting.popleft()
            if arrival.deadline <= self.engine.now:
                self.refused += 1
            else:
                self.engine.start(arrival)


class InForce(NoControl):
    """The queue of celeryward."""

    def __init__(self, engine):
        super().__init__(engine)
        self.queue = queues.ModelQueue('m')
        self.queue.slots = SLOTS
        self.arrivals = {}
        self.tickets = {}

    def arrive(self, arrival):
        """Take a request."""
        ticket = queues.Ticket(
            arrival.number,
            arrival.customer,
            0,
            deadlines.Deadline(arrival.deadline),
        )
        offered = self.queue.offer(ticket, 1.0, self.engine.now)
        if offered.is_err():
            self.refused += 1
            return
        self.refused += offered.unwrap() is not None
        self.arrivals[arrival.number] = arrival
        self.start()

    def ended(self, arrival, seconds):
        """Free the slot and start the next request."""
        self.queue.finish(self.tickets.pop(arrival.number), seconds)
        self.start()

    def start(self):
        """Start what the queue lets start."""
        while True:
            ticket, late = self.queue.start_next(self.engine.now)
            self.refused += len(late)
            if ticket is None:
                return
            self.tickets[ticket.number] = ticket
            self.engine.start(self.arrivals.pop(ticket.number))


def run(arrivals, kind):
    """Return the :class:`Figures` of one kind of control."""
    engine = Engine()
    control = kind(engine)
    coming = collections.deque(arrivals)
    limits = sorted((arrival.deadline, arrival.number) for arrival in arrivals)
    limits = collections.deque(limits)
    answered = collections.Counter()
    wasted = 0
    while coming or engine.running:
        end_at, number = engine.next_end()
        arrive_at = coming[0].at if coming else float('inf')
        limit_at = limits[0][0] if limits else float('inf')
        engine.advance(min(end_at, arrive_at, limit_at))
        if end_at <= min(arrive_at, limit_at):
            arrival, seconds = engine.end(number)
            answered[arrival.customer] += 1
            control.ended(arrival, seconds)
        elif arrive_at <= limit_at:
            control.arrive(coming.popleft())
        else:
            number = limits.popleft()[1]
            if number in engine.running:
                wasted += 1
                control.ended(*engine.end(number))
    return make_figures(arrivals, answered, control.refused, wasted)


def make_figures(arrivals, answered, refused, wasted):
    """Return the :class:`Figures` of counted answers."""
    asked = collections.Counter(arrival.customer for arrival in arrivals)
    return Figures(
        round(sum(answered.values()) / DURATION_SECONDS, 2),
        round(answered[LARGE] / asked[LARGE], 3),
        round(min(answered[name] / asked[name] for name in SMALL), 3),
        refused,
        wasted,
    )


def main():
    """Read the arguments and print one line for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    goodput = {}
    for kind, load in itertools.product((NoControl, FirstIn, InForce), (1, 2)):
        figures = run(make_arrivals(seed, load), kind)
        goodput[kind, load] = figures.per_second
        print(f'{kind.__name__} at {load} x capacity: {figures}')
    for kind in (NoControl, FirstIn, InForce):
        ratio = goodput[kind, 2] / goodput[kind, 1]
        print(f'{kind.__name__}: goodput at 2 x / at 1 x = {ratio:.3f}')
    shares.measure(seed)


if __name__ == '__main__':
    main()
