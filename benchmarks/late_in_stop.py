"""Counts what callers lose while routers stop one after the other.

``python -m benchmarks.late_in_stop --policies=unchanged,nothing`` starts
routers as processes of their own, sends them work that is short, medium and
longer than a planned stop, and stops them in turn under that load. The callers
retry elsewhere, as the users' protocol says; half of them keep a connection.
"""

import collections
import dataclasses
import pathlib
import signal
import statistics
import sys
import tempfile

import curio
import fire
import h11

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks import retrying_callers  # noqa: E402
from benchmarks.soak import endpoints  # noqa: E402
from benchmarks.soak import fleet as fleets  # noqa: E402
from benchmarks import stop_policies  # noqa: E402
from celeryward import deadlines  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_processes as processes  # noqa: E402
from tests import platform_standins as standins  # noqa: E402

WORKS = (
    retrying_callers.Work('short', 0.05, 4.0, 1.0, 0.5),
    retrying_callers.Work('medium', 1.5, 8.0, 3.0, 0.35),
    retrying_callers.Work('long', 9.0, 25.0, 12.0, 0.15),
)
WORK_BY_NAME = {each.name: each for each in WORKS}
MAX_TIMEOUT_SECONDS = 25.0
ENDPOINTS = 8
EVENTS = 18
MILLISECONDS = 1000
# Long enough for the routers to learn how long work takes.
WARM_UP_SECONDS = 14.0
AFTER_RESTART_SECONDS = 2.0
READY_SECONDS = 10.0
# The load balancer asks this often, and takes out a router that missed two.
QUESTION_SECONDS = 1.0
MAX_MISSES = 2
# The objective of streams counts until their first event.
COLUMNS = (
    'requests',
    'sent in a stop',
    'served',
    'late',
    'refused, then served',
    'refused for good',
    'cut off, sent before',
    'cut off, sent in a stop',
    'lost',
    'outcome unknown',
    'arrivals',
    'ms added in a stop',
)


class StopFleet(fleets.Fleet):
    """Fleet whose endpoints work as long as a request's path says.

    :param str policy: entry of :data:`stop_policies.POLICIES`.
    :param bool mixed: whether work of all lengths shares a route.
    """

    def __init__(self, seed, directory, routers, policy, mixed):
        super().__init__(seed, directory, routers, ENDPOINTS)
        self.command = ('benchmarks/stop_policies.py', policy)
        self.events_per_answer = EVENTS
        self.mixed = mixed
        self.outcomes = []
        self.finished = False
        self.misses = collections.Counter()
        for endpoint in self.endpoints:
            endpoint.answer_fault = self

    async def write_configuration(self):
        """Write a configuration with a route for each kind and work."""
        self.version += 1
        spec = processes.configuration(self.version, self.keys)
        timeout = int(MAX_TIMEOUT_SECONDS * MILLISECONDS)
        for route in spec['routes']:
            route['timeoutMs'] = timeout
        if not self.mixed:
            spec['routes'] = [
                change_route(route, work)
                for route in spec['routes']
                for work in WORKS
            ]
        await self.store.put('config', 'main', spec)

    async def respond(self, endpoint, server, connection, arrival):
        """Work on a request as long as its path says, and answer it."""
        endpoint.record_execution(server, arrival)
        name = arrival.head.target.split('/')[2]
        seconds = WORK_BY_NAME[name].seconds
        if arrival.model:
            await self.send_events(server, connection, arrival, seconds)
            return
        await curio.sleep(seconds)
        await standins.send_default_response(server, connection, arrival)

    async def send_events(self, server, connection, arrival, seconds):
        """Send the events that the caller lacks, evenly spread."""
        headers = processes.stream_headers(100)
        await endpoints.send_head(server, connection, arrival, **headers)
        for number in range(processes.first_event(arrival), EVENTS + 1):
            await curio.sleep(seconds / EVENTS)
            event = h11.Data(data=standins.event(number))
            await connection.send('answer', event)
        await connection.send('answer', h11.EndOfMessage())

    def has_arrived(self, attempt_id):
        """Return whether an attempt has reached an endpoint."""
        return any(
            each.request_id == attempt_id for each in self.observed.executions
        )

    def in_rotation(self):
        """Return the routers that get new connections."""
        found = [
            each
            for each in self.routers
            if self.misses[each.name] < MAX_MISSES
        ]
        return found or self.routers

    async def ask_readiness(self):
        """Follow which routers are ready, as the load balancer does."""
        while True:
            for router in self.routers:
                ready = await self.is_ready(router)
                missed = self.misses[router.name] + 1
                self.misses[router.name] = 0 if ready else missed
            await curio.sleep(QUESTION_SECONDS)


def change_route(route, work):
    """Return a copy of a route for one work only."""
    return standins.narrow_route(
        route,
        work.name,
        timeoutMs=int(work.timeout_seconds * MILLISECONDS),
        goalMs=int(work.objective_seconds * MILLISECONDS),
    )


async def run(policy, seed, routers, callers, rounds, mixed):
    """Stop all routers in turn under load; return the fleet."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f'stops-{policy}-'))
    fleet = StopFleet(seed, directory, routers, policy, mixed)
    try:
        await fleet.start()
        asking = await curio.spawn(fleet.ask_readiness, daemon=True)
        async with curio.TaskGroup() as sending:
            for number in range(callers):
                caller = retrying_callers.Caller(
                    fleet, seed, number, works(mixed)
                )
                await sending.spawn(caller.run)
            await curio.sleep(WARM_UP_SECONDS)
            for router in fleet.routers * rounds:
                await restart(fleet, router)
            fleet.finished = True
        await asking.cancel()
    finally:
        await fleet.stop()
    print(f'logs in {directory}')
    return fleet


def works(mixed):
    """Return the work of the callers; on shared routes it has one timeout."""
    if not mixed:
        return WORKS
    return [
        dataclasses.replace(each, timeout_seconds=MAX_TIMEOUT_SECONDS)
        for each in WORKS
    ]


async def restart(fleet, router):
    """Stop a router as planned and start it again."""
    await fleet.stop_router(router)
    fleet.start_router(router)
    ready_by = deadlines.Deadline.after(READY_SECONDS)
    while not await fleet.is_ready(router) and not ready_by.expired():
        await curio.sleep(0.1)
    await curio.sleep(AFTER_RESTART_SECONDS)


def sent_in_stop(fleet, attempt):
    """Return whether an attempt was sent to a router that was stopping."""
    return any(
        stop.router == attempt.router
        and stop.ordered_at <= attempt.sent_at < stop.ended_at
        for stop in fleet.observed.stops
    )


def count(fleet, outcomes, arrivals):
    """Return the :data:`COLUMNS` of some requests as a counter."""
    counts = collections.Counter()
    for outcome in outcomes:
        last = outcome.attempts[-1]
        first = outcome.attempts[0]
        late = [each for each in outcome.attempts if sent_in_stop(fleet, each)]
        cut = [each for each in outcome.attempts if each.result == 'cut']
        cut_late = [each for each in late if each.result == 'cut']
        lost = last.result == 'cut'
        counts.update(
            {
                'requests': 1,
                'sent in a stop': bool(late),
                'served': outcome.served,
                'late': outcome.served and outcome.late,
                'refused, then served': outcome.served
                and first.result == 'refused',
                'refused for good': last.result in ('refused', 'rejected'),
                'cut off, sent before': len(cut) - len(cut_late),
                'cut off, sent in a stop': len(cut_late),
                'lost': lost,
                'outcome unknown': lost and not outcome.kind.repeatable,
                'arrivals': sum(
                    arrivals[each.id] for each in outcome.attempts
                ),
            }
        )
    counts['ms added in a stop'] = MILLISECONDS * added_seconds(
        fleet, outcomes
    )
    return counts


def added_seconds(fleet, outcomes):
    """Return the mean time that served requests of stops took too long."""
    added = [
        each.attempts[-1].ended_at - each.began_at - each.work.seconds
        for each in outcomes
        if each.served
        and any(sent_in_stop(fleet, attempt) for attempt in each.attempts)
    ]
    return statistics.fmean(added) if added else 0.0


def rows(fleet):
    """Yield (name, outcomes) for each kind and work, and for all."""
    for kind in retrying_callers.KINDS:
        for work in WORKS:
            yield (
                f'{kind.name} {work.name}',
                [
                    each
                    for each in fleet.outcomes
                    if each.kind is kind and each.work.name == work.name
                ],
            )
    yield 'all', fleet.outcomes


def print_report(policy, fleet):
    """Print the counts of one run as a table, and how the stops ended."""
    arrivals = collections.Counter(
        each.request_id for each in fleet.observed.executions
    )
    print(f'| {policy} |', ' | '.join(COLUMNS), '|')
    print('|---' * (len(COLUMNS) + 1) + '|')
    for name, outcomes in rows(fleet):
        counts = count(fleet, outcomes, arrivals)
        print(
            f'| {name} |',
            ' | '.join(str(int(counts[each])) for each in COLUMNS),
            '|',
        )
    stops = [
        f'{each.ended_at - each.ordered_at:.2f} s with {each.exit_status}'
        for each in fleet.observed.stops
    ]
    print('stops:', ', '.join(stops))


def main(
    policies='unchanged',
    seed=1,
    routers=4,
    callers=80,
    rounds=2,
    mixed=False,
):
    """Run each policy with the same callers and print its table.

    :param policies: names of :data:`stop_policies.POLICIES`.
    :param rounds: how often each router is stopped.
    :param bool mixed: let work of all lengths share a route.
    """
    logs.configure('CRITICAL', 'text')
    signal.signal(signal.SIGTERM, fleets.exit_on_signal)
    names = [policies] if isinstance(policies, str) else policies
    for name in names:
        stop_policies.POLICIES.get(name)
        print_report(
            name, curio.run(run, name, seed, routers, callers, rounds, mixed)
        )


if __name__ == '__main__':
    fire.Fire(main)
