"""Errors and exposure of roll-outs that have little time.

Several routers send requests of three kinds to an old and a new version, and
the first of them judges the evidence of all, as on a platform. Times are
simulated and vary by the request, not by the load. No network is used.

``python -m benchmarks.short_rollouts --rate=45 --seeds=100`` prints a line for
each length of an order and each behaviour of the new version: how many were
rolled back and completed, and what they got of the requests.
"""

import dataclasses
import heapq
import itertools
import math
import random
import statistics

import fire

from celeryward.raters import releases
from celeryward.raters import rollout_orders

SERVICE = 'llm'
OLD, NEW = 'v1', 'v2'
PRESENT = (OLD, NEW)
BOUND = 0.15
SLACK = 30.0
SESSION_SECONDS = 5.0
ROUTERS = 7
ENDPOINTS = 6
POLL_SECONDS = 0.25
REPORT_SECONDS = 0.3
# From the write of a verdict until all routers know it.
STORE_SECONDS = 0.2
# Traffic before the order, from which the routers know the old version.
BEFORE_SECONDS = 4.0
SLOW_FACTOR = 8.0
FAILURE_SECONDS = 0.05
# A version that turns bad does so this long after the order.
LATE_SECONDS = 3.0
BEHAVIOURS = ('good', 'errors', 'slow', 'late', 'one-kind')


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests and its usual times at the old version."""

    name: str
    head_seconds: float
    seconds_per_event: float
    events: int


KINDS = (
    Kind('long', 0.25, 0.033, 76),
    Kind('chat', 0.12, 0.033, 58),
    Kind('short', 0.15, 0.033, 5),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How a roll-out ended.

    :param float seconds: from the order to its verdict in the store.
    """

    state: rollout_orders.State
    exposure: rollout_orders.Exposure
    seconds: float

    @property
    def allowed(self):
        """Requests that a bad version may get."""
        return BOUND * self.exposure.requests + SLACK


class Simulation:
    """One roll-out, from the traffic before it to its end.

    :param float rate: requests a second.
    :param float order_seconds: time that the order allows.
    :param str behaviour: one of ``BEHAVIOURS``.
    :param float bad_share: share of its requests that a bad version fails, or
        answers slowly.
    """

    def __init__(self, seed, rate, order_seconds, behaviour, bad_share=0.5):
        self.chance = random.Random(f'{seed} {rate} {order_seconds}')
        self.rate = rate
        self.order_seconds = order_seconds
        self.behaviour = behaviour
        self.bad_share = bad_share
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.routers = [self.make_router(n) for n in range(ROUTERS)]
        self.judge = self.routers[0]
        self.requests = self.exposed = 0
        self.state = rollout_orders.State.RUNNING
        self.stored_at = BEFORE_SECONDS + order_seconds

    def make_router(self, number):
        """Return the releases of a router; the first is the judge."""
        made = releases.Releases(
            BOUND,
            SESSION_SECONDS,
            lambda: self.now,
            lambda: self.now,
            (lambda: 1) if number == 0 else (lambda: ROUTERS),
            SLACK,
        )
        if number:
            made.outcome_listeners.append(self.report)
        return made

    def report(self, outcome):
        """Report an outcome to the judge with the next report."""
        self.at(
            self.now + REPORT_SECONDS * self.chance.random(),
            lambda: self.judge.add_outcome(outcome),
        )

    def at(self, when, action):
        """Call a function at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self):
        """Return the :class:`Result`."""
        self.at(self.next_arrival(), self.arrive)
        self.at(BEFORE_SECONDS, self.order)
        self.at(POLL_SECONDS, self.poll)
        end = BEFORE_SECONDS + self.order_seconds
        while self.events and self.now < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return Result(
            self.state,
            rollout_orders.Exposure(self.requests, self.exposed),
            self.stored_at - BEFORE_SECONDS,
        )

    def order(self):
        """Order the new version at all routers."""
        for router in self.routers:
            router.accept(
                rollout_orders.Order(SERVICE, NEW, self.order_seconds)
            )

    def poll(self):
        """Do what routers do regularly."""
        for router in self.routers:
            router.runs.report_overdue()
            router.decide_due()
        self.store()
        self.at(self.now + POLL_SECONDS, self.poll)

    def store(self):
        """Store the first verdict, which all routers adopt."""
        for router in self.routers:
            for order in router.orders_without_verdict():
                if self.state is rollout_orders.State.RUNNING:
                    self.state = order.state
                    self.stored_at = self.now
                    self.at(self.now + STORE_SECONDS, self.adopt)

    def adopt(self):
        """Apply the stored verdict at all routers."""
        for router in self.routers:
            router.accept(
                dataclasses.replace(
                    router.progress[SERVICE].order, state=self.state
                )
            )

    def next_arrival(self):
        """Return the time of the next request."""
        return self.now + self.chance.expovariate(self.rate)

    def arrive(self):
        """Send one request, and plan what becomes of it."""
        self.at(self.next_arrival(), self.arrive)
        router = self.chance.choice(self.routers)
        number = next(self.numbers)
        ordered = SERVICE in router.progress
        software = (
            router.choose(SERVICE, PRESENT, OLD, f's{number}', f'r{number}')
            if ordered
            else OLD
        )
        self.requests += ordered
        self.exposed += software == NEW
        endpoint = f'{software}-{self.chance.randrange(ENDPOINTS)}'
        kind = self.chance.choice(KINDS)
        run = router.runs.begin(SERVICE, software, kind.name, endpoint, 1.0)
        self.plan(router, run, kind, software)

    def is_bad(self, kind, software):
        """Return whether a run is one of the bad ones of a bad version."""
        if software == OLD or self.behaviour == 'good':
            return False
        if self.behaviour == 'late':
            if self.now < BEFORE_SECONDS + LATE_SECONDS:
                return False
        if self.behaviour == 'one-kind' and kind is not KINDS[-1]:
            return False
        return self.chance.random() < self.bad_share

    def plan(self, router, run, kind, software):
        """Plan head, events and end of a run."""
        bad = self.is_bad(kind, software)
        if bad and self.behaviour != 'slow':
            self.at(
                self.now + FAILURE_SECONDS,
                lambda: router.runs.end(run, failed=True),
            )
            return
        factor = SLOW_FACTOR if bad else 1.0
        head = factor * kind.head_seconds
        head *= math.exp(self.chance.gauss(0.0, 0.8))
        pace = factor * kind.seconds_per_event
        pace *= math.exp(self.chance.gauss(0.0, 0.45))
        head_at = self.now + head
        self.at(head_at, lambda: router.runs.head_arrived(run))
        for count in range(1, min(kind.events, 5) + 1):
            self.at(
                head_at + count * pace,
                lambda count=count: router.runs.events_arrived(run, count),
            )
        self.at(head_at + kind.events * pace, lambda: router.runs.end(run))


def report(rate, order_seconds, behaviour, seeds, bad_share):
    """Print one line for an order and a behaviour."""
    results = [
        Simulation(seed, rate, order_seconds, behaviour, bad_share).run()
        for seed in range(seeds)
    ]
    rolled_back = sum(
        each.state is rollout_orders.State.ROLLED_BACK for each in results
    )
    done = sum(each.state is rollout_orders.State.DONE for each in results)
    beyond = sum(each.exposure.exposed > each.allowed for each in results)
    exposed = sorted(each.exposure.exposed / rate for each in results)
    decided = statistics.median(each.seconds for each in results)
    print(
        f'{order_seconds:g} s at {rate:g}/s {behaviour}:'
        f' rolled back {rolled_back} completed {done} of {seeds}'
        f' beyond allowed {beyond}'
        f' exposed median {statistics.median(exposed):.2f} s'
        f' p95 {exposed[int(0.95 * seeds)]:.2f} s of all requests'
        f' stored after {decided:.1f} s',
        flush=True,
    )


def main(
    rate=45.0, seeds=100, lengths=(5, 7, 9, 12, 16, 24, 60), bad_share=0.5
):
    """Print the errors and the exposure for each length and behaviour.

    :param float rate: requests a second.
    :param int seeds: roll-outs of each length and behaviour.
    :param tuple lengths: seconds that orders allow.
    :param float bad_share: share of bad runs at a bad version.
    """
    for order_seconds in lengths:
        for behaviour in BEHAVIOURS:
            report(rate, order_seconds, behaviour, seeds, bad_share)


if __name__ == '__main__':
    fire.Fire(main)
