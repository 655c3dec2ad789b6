"""Goodput where endpoints turn requests away and ask for a pause.

Routers, endpoints with slots and a short queue, and callers that return after
a refusal run in this process. Requests arrive at twice the capacity, then at
four fifths of it. In one run, routers that ignore the pauses are compared
with routers that comply. An answer is in time within the objective, counted
from the first attempt of its caller.
Usage: python -m benchmarks.closed_endpoints --seed N
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
import time

from adapter import translator
import curio

from celeryward import errors
from celeryward import http
from celeryward import logs
from celeryward import router
from celeryward import router_settings
from celeryward.standins import base
from tests import platform_standins as standins

ROUTERS = 3
ENDPOINTS = 3
SLOTS = 3
QUEUE_PLACES = 3
SERVICE_SECONDS = 0.4
PAUSE_SECONDS = 1.0
OBJECTIVE_SECONDS = 1.0
TIMEOUT_SECONDS = 2.0
PRIORITIES = (0, 1, 2)
CAPACITY = ENDPOINTS * SLOTS / SERVICE_SECONDS
OVERLOAD_SECONDS = 10.0
RECOVERY_SECONDS = 5.0
OVERLOAD = 2.0
RECOVERY_LOAD = 0.8
# Callers follow a time to return up to this part of the time they have left.
RETURN_SHARE = 1 / 3
SENDER = 'x-sender'
FAILURES = (errors.CelerywardError, http.ReadTimeout, http.Disconnected)


class SheddingEndpoint(standins.RunnerStandIn):
    """An endpoint that serves the most urgent first and turns others away."""

    def __init__(self, name):
        super().__init__(name, 'app')
        self.running = 0
        self.waiting = []
        self.numbers = itertools.count()
        self.closed_until = collections.defaultdict(list)
        self.in_closed_time = 0
        self.in_closed_time_later = 0
        self.default_action = SheddingEndpoint.serve

    def entry(self, state='ready'):
        """Return the entry with the slots of this benchmark."""
        return super().entry(state) | {'slots': SLOTS}

    def count_arrival(self, sender):
        """Count an arrival of a router that should have waited."""
        now = time.monotonic()
        pauses = [each for each in self.closed_until[sender] if each > now]
        self.closed_until[sender] = pauses
        if pauses:
            self.in_closed_time += 1
            began = min(pauses) - PAUSE_SECONDS
            self.in_closed_time_later += now - began > 0.5

    async def serve(self, connection, arrival):
        """Serve one request, or turn it away if the queue is full."""
        sender = arrival.head.headers[SENDER]
        self.count_arrival(sender)
        if self.running >= SLOTS and len(self.waiting) >= QUEUE_PLACES:
            self.closed_until[sender].append(time.monotonic() + PAUSE_SECONDS)
            await standins.turn_away(f'{PAUSE_SECONDS:g}')(
                self, connection, arrival
            )
            return
        if self.running < SLOTS:
            self.running += 1
        elif not await self.wait_for_slot(connection, arrival):
            return
        try:
            if await connected(connection, curio.sleep, SERVICE_SECONDS):
                await standins.respond_with(200, b'whole')(
                    self, connection, arrival
                )
        finally:
            await self.free_slot()

    async def wait_for_slot(self, connection, arrival):
        """Wait in the queue; return whether the request got a slot."""
        urgency = int(arrival.head.headers['celeryward-request-urgency'])
        turn = curio.Event()
        entry = (urgency, next(self.numbers), turn)
        heapq.heappush(self.waiting, entry)
        if await connected(connection, turn.wait):
            return True
        if turn.is_set():
            await self.free_slot()
        else:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
        return False

    async def free_slot(self):
        """Give the slot to the next request that waits."""
        if self.waiting:
            await heapq.heappop(self.waiting)[2].set()
        else:
            self.running -= 1


async def connected(connection, function, *arguments):
    """Await a call; return whether the connection stayed open."""
    async with curio.TaskGroup(wait=any) as group:
        work = await group.spawn(function, *arguments)
        await group.spawn(connection.wait_closed)
    return group.completed is work


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller with all its attempts.

    :param str phase: ``overload`` or ``recovery``.
    """

    priority: int
    phase: str
    began: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a call.

    :param bool served: whether it was answered with success at all.
    :param int refusals: attempts that were refused.
    """

    call: Call
    served: bool
    seconds: float
    refusals: int
    attempts: int

    @property
    def in_time(self):
        """Whether the answer came within the objective."""
        return self.served and self.seconds <= OBJECTIVE_SECONDS


class Trial:
    """One run of callers against routers.

    :param bool complies: whether the routers follow the pauses.
    """

    def __init__(self, seed, complies):
        self.rng = random.Random(seed)
        self.complies = complies
        self.endpoints = [
            SheddingEndpoint(f'app-{each}') for each in range(ENDPOINTS)
        ]
        self.site = standins.Site(self.endpoints)
        self.routers = []
        self.results = []
        self.numbers = itertools.count()

    def configuration(self):
        """Return a route for each priority."""
        return standins.configuration() | {
            'routes': [
                standins.route(
                    f'p{each}',
                    'idempotent',
                    'app',
                    priority=each,
                    goalMs=OBJECTIVE_SECONDS * 1000,
                    timeoutMs=TIMEOUT_SECONDS * 1000,
                    maxAttempts=2,
                )
                for each in PRIORITIES
            ]
        }

    async def start(self):
        """Start store, endpoints and routers."""
        await self.site.start(self.configuration())
        self.routers.append(self.site.router)
        for number in range(1, ROUTERS):
            self.site.name = f'router-{number + 1}'
            another = router.Router(
                self.site.placement(),
                router_settings.Tuning(),
                translator.Translator(),
            )
            await another.start()
            self.routers.append(another)
        for each in self.routers:
            await standins.wait_until(each.is_ready)
            if not self.complies:
                each.closures.close = lambda *arguments: None

    async def run(self):
        """Return the results of all calls."""
        await self.start()
        async with curio.TaskGroup() as group:
            for phase, load, seconds in (
                ('overload', OVERLOAD, OVERLOAD_SECONDS),
                ('recovery', RECOVERY_LOAD, RECOVERY_SECONDS),
            ):
                ends = time.monotonic() + seconds
                at = time.monotonic()
                while at < ends:
                    at += self.rng.expovariate(load * CAPACITY)
                    await curio.sleep(max(0.0, at - time.monotonic()))
                    call = Call(self.rng.choice(PRIORITIES), phase, at)
                    await group.spawn(self.ask, call)
        for each in self.routers:
            for task in each.tasks:
                await task.cancel()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.site.store.stop()
        return self.results

    async def ask(self, call):
        """Send a request until it is answered or its time is over."""
        refusals = attempts = 0
        ends = call.began + TIMEOUT_SECONDS
        while True:
            attempts += 1
            head = await self.attempt(call, ends)
            now = time.monotonic()
            served = head is not None and head.status == 200
            left = ends - now
            if served or left < 0.05:
                break
            refusals += head is not None and head.status == 503
            wait = 0.1
            if head is not None:
                wait = float(head.headers.get('retry-after', '0.1'))
            wait = min(wait, left * RETURN_SHARE)
            await curio.sleep(max(0.02, wait))
        self.results.append(
            Result(call, served, now - call.began, refusals, attempts)
        )

    async def attempt(self, call, ends):
        """Send one attempt to a random router; return its answer's head."""
        number = self.rng.randrange(ROUTERS)
        left = ends - time.monotonic()
        headers = standins.request_headers(
            f'/p{call.priority}/x',
            request_id=f'request-{next(self.numbers)}',
            celeryward_deadline_ms=str(int(left * 1000)),
        )
        deadline = base.deadlines.Deadline.after(left + 0.5)
        connection = None
        try:
            connection = await http.connect(
                '127.0.0.1',
                self.routers[number].listeners.callers.port,
                deadline,
            )
            head, _ = await http.exchange(
                connection,
                'GET',
                f'/p{call.priority}/x',
                headers | {SENDER: str(number)},
                b'',
                deadline,
            )
            return head
        except FAILURES:
            return None
        finally:
            if connection is not None:
                await connection.close()


def share(results, wanted):
    """Return the share of results for which a function is true."""
    return sum(map(wanted, results)) / max(1, len(results))


def report(trial):
    """Print the figures of one trial; return its goodput under overload."""
    overload = [
        each for each in trial.results if each.call.phase == 'overload'
    ]
    arrivals = sum(len(each.arrivals) for each in trial.endpoints)
    in_closed_time = sum(each.in_closed_time for each in trial.endpoints)
    later = sum(each.in_closed_time_later for each in trial.endpoints)
    attempts = sum(each.attempts for each in trial.results)
    goodput = sum(each.in_time for each in overload) / OVERLOAD_SECONDS
    print('complies' if trial.complies else 'ignores the pauses')
    print(f'  arrivals in closed time: {in_closed_time}, {later} after 0.5 s')
    print(f'  in time a second under overload: {goodput:.1f} of {CAPACITY:g}')
    for priority in PRIORITIES:
        own = [each for each in overload if each.call.priority == priority]
        print(
            f'  priority {priority}: in time'
            f' {share(own, lambda each: each.in_time):.3f}, served'
            f' {share(own, lambda each: each.served):.3f}'
        )
    print(f'  refusals: {sum(each.refusals for each in trial.results)}')
    print(f'  arrivals for each attempt: {arrivals / attempts:.3f}')
    print(f'  attempts for each call: {attempts / len(trial.results):.3f}')
    print(f'  in time in each second after it: {recovery_shares(trial)}')
    return goodput


def recovery_shares(trial):
    """Return the share of answers in time in each second of the recovery."""
    recovery = [
        each for each in trial.results if each.call.phase == 'recovery'
    ]
    began = min(each.call.began for each in recovery)
    seconds = collections.defaultdict(list)
    for each in recovery:
        seconds[int(each.call.began - began)].append(each)
    return ' '.join(
        f'{share(seconds[second], lambda each: each.in_time):.2f}'
        for second in sorted(seconds)
    )


async def measure(seed):
    """Print the figures of both kinds of routers and their ratio."""
    goodput = []
    for complies in (False, True):
        trial = Trial(seed, complies)
        await trial.run()
        goodput.append(report(trial))
    print(f'goodput after / before = {goodput[1] / goodput[0]:.3f}')


def main():
    """Read the seed from the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    logs.configure('CRITICAL', 'text')
    curio.run(measure, parser.parse_args().seed)


if __name__ == '__main__':
    main()
