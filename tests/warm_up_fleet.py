"""Routers that share cold endpoints, simulated without a network."""

import bisect
import random
import types

from celeryward.endpoints import runners
from celeryward.endpoints import warm_up_shares
from celeryward.endpoints import warm_ups
from celeryward.routers import members
from tests import fakes

RULE = warm_up_shares.ColdRule(3.0, 10.0, 20.0)
UTC = 1_700_000_000.0
STEP_SECONDS = 0.01


def runner(name='a', **more):
    return runners.Runner(name, 'llm', '10.0.0.1', 80, 'a', **more)


def rules(rule=RULE):
    """Return the rules of a deployment with one service, None for none."""
    return types.SimpleNamespace(
        is_enabled=lambda: rule is not None,
        is_loaded=lambda: True,
        of_service=lambda name: rule,
    )


def known(own, names, clock):
    """Return the routers as one of them knows them.

    :param names: None if it has not read the list of routers.
    """
    found = {
        name: members.Member(name, 'a', '10.0.0.1', 1)
        for name in (own, *(names or ()))
    }
    table = members.Members(found[own], clock)
    if names is not None:
        table.replace(found.values())
    return table


def make(rule=RULE, first_start=False):
    """Return the state of a single router whose quiet time is over."""
    clock = fakes.CallableClock(100.0)
    state = warm_ups.WarmUps(
        rules(rule),
        runners.RunnerTable(),
        known('r0', (), clock),
        first_start=first_start,
        clock=clock,
        utc_clock=lambda: UTC + clock(),
    )
    state.quiet_until = 0.0
    return state, clock


class Fleet:
    """Routers that share a cold endpoint, and the requests it gets."""

    def __init__(self, count, seed):
        self.generator = random.Random(seed)
        warm_ups.GENERATOR.seed(seed)
        self.clock = fakes.CallableClock(100.0)
        self.names = [f'r{number}' for number in range(count)]
        self.routers = {}
        self.writes = []
        self.arrivals = []
        self.started_at = 0.0
        self.write_seconds = 0.6
        self.endpoint = runner()
        for name in self.names:
            self.start(name, self.names)
        self.clock.now += warm_ups.QUIET_SECONDS

    def start(self, name, names):
        """Start a router, or start it anew."""
        self.routers[name] = warm_ups.WarmUps(
            rules(warm_up_shares.ColdRule(600.0, 10.0, 20.0)),
            runners.RunnerTable(),
            known(name, names, self.clock),
            7,
            clock=self.clock,
            utc_clock=lambda: UTC,
        )
        self.routers[name].table.put(self.endpoint)

    def list_endpoint(self):
        """Let all routers learn within 0.5 s that the endpoint is cold."""
        self.started_at = self.clock()
        for name in self.names:
            self.routers[name].states.clear()
            self.routers[name].record_listed(self.endpoint, None)

    def replace_endpoint(self):
        """Let all routers learn of the next run of the endpoint."""
        self.endpoint = runner(started_at=self.endpoint.started_at + UTC)
        for state in self.routers.values():
            state.table.put(self.endpoint)

    def play(self, seconds, probability, absent=()):
        """Offer requests to each router at random, and write them later."""
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            for name, state in self.routers.items():
                if name in absent or self.generator.random() >= probability:
                    continue
                slot = state.take(self.endpoint)
                if slot:
                    due = self.clock() + self.generator.uniform(
                        0.0, self.write_seconds
                    )
                    self.writes.append((due, name, slot))
            self.write(absent)

    def write(self, absent):
        """Write the requests that are due, but not those of absent routers."""
        waiting = []
        for due, name, slot in self.writes:
            if slot.key != self.endpoint.key:
                # The forwarder writes nothing to a run that is over.
                continue
            if due > self.clock() or name in absent:
                waiting.append((due, name, slot))
            elif self.routers[name].may_write(self.endpoint, slot):
                transit = self.generator.uniform(
                    0.0, warm_up_shares.TRANSIT_SECONDS
                )
                self.arrivals.append(self.clock() + transit)
        self.writes = waiting

    def most_in_a_second(self):
        """Return the largest number of requests in any one second."""
        times = sorted(self.arrivals)
        return max(
            bisect.bisect_left(times, at + 1.0) - number
            for number, at in enumerate(times)
        )

    def rate(self):
        """Return the requests a second since the endpoint became cold."""
        return len(self.arrivals) / (self.clock() - self.started_at)
