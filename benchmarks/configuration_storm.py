"""Looks for whole requests that get neither an answer nor a refusal.

``python -m benchmarks.configuration_storm`` stops and restarts routers in turn
while configurations change routes, timeouts, weights, idle times and sizes
several times a second, under callers that keep their connections and write
their requests in pieces. It prints what the checks of the soak find.
"""

import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile

import curio
import fire
import h11

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks.soak import callers as soak_callers  # noqa: E402
from benchmarks.soak import checks  # noqa: E402
from benchmarks.soak import configuration_faults  # noqa: E402
from benchmarks.soak import fleet as fleets  # noqa: E402
from benchmarks.soak import lateness  # noqa: E402
from benchmarks.soak import observations  # noqa: E402
from celeryward import http  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_configurations as configurations  # noqa: E402

BODY_SIZES_BYTES = (4, 900, 1100, 49000, 60000)
MAX_PIECES = 3
MAX_PIECE_DELAY_SECONDS = 0.03
MIN_CHANGE_SECONDS = 0.005
MAX_CHANGE_SECONDS = 0.3
RESTART_SECONDS = 1.5
RELOAD_SECONDS = 0.7
ENDPOINTS = 8
SETTINGS = {
    'idle_ms': (60, 150, 400, 1500, 5000),
    'header_timeout_ms': configuration_faults.HEADER_TIMEOUTS_MS,
    'body_bytes': (1000, 50000, 100000),
    'timeout_ms': (1600, 2000, 3000),
    'added_routes': (0, 20, 300),
    'weights': (None, *configuration_faults.WEIGHTS),
    'priority': (0, 1, 2),
}


class Caller(soak_callers.Caller):
    """Caller that writes bodies of different sizes in pieces."""

    async def write_request(self, target, headers):
        """Write a head, and after some milliseconds its body in pieces."""
        body = bytes(self.generator.choice(BODY_SIZES_BYTES))
        lines = http.encode_headers(
            {'content-length': str(len(body)), **headers}
        )
        head = h11.Request(method='POST', target=target, headers=lines)
        await self.connection.send('send head', head)
        step = len(body) // self.generator.randint(1, MAX_PIECES) + 1
        for begin in range(0, len(body), step):
            await curio.sleep(
                self.generator.uniform(0.0, MAX_PIECE_DELAY_SECONDS)
            )
            piece = h11.Data(data=body[begin : begin + step])
            await self.connection.send('send body', piece)
        await self.connection.send('send body', h11.EndOfMessage())


async def change_configurations(fleet, generator):
    """Write configurations with a few changed settings until cancelled."""
    while True:
        names = generator.sample(sorted(SETTINGS), generator.randint(1, 4))
        changes = {name: generator.choice(SETTINGS[name]) for name in names}
        fleet.settings = dataclasses.replace(
            configurations.DEFAULTS, **changes
        )
        await fleet.write_configuration()
        await curio.sleep(
            generator.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)
        )


async def reload_routers(fleet, generator):
    """Send reload signals with changed settings until cancelled."""
    while True:
        router = generator.choice(fleet.routers)
        fleet.write_settings(router, slack=generator.randint(20, 60))
        router.signal(signal.SIGHUP)
        await curio.sleep(RELOAD_SECONDS)


async def run(seed, seconds, routers, callers):
    """Play one storm; return its observations."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f'storm-{seed}-'))
    generator = random.Random(seed)
    fleet = fleets.Fleet(seed, directory, routers, ENDPOINTS)
    fleet.work_seconds = 0.03
    try:
        await fleet.start()
        tasks = [
            await curio.spawn(lateness.watch, fleet.observed, daemon=True),
            await curio.spawn(
                change_configurations, fleet, generator, daemon=True
            ),
            await curio.spawn(reload_routers, fleet, generator, daemon=True),
        ]
        for number in range(callers):
            caller = Caller(fleet, seed, number)
            tasks.append(await curio.spawn(caller.run, daemon=True))
        await restart_in_turn(fleet, seconds)
        for task in tasks:
            await task.cancel()
    finally:
        await fleet.stop()
    print(f'logs in {directory}')
    return fleet.observed


async def restart_in_turn(fleet, seconds):
    """Stop and start one router after the other for some time."""
    began = observations.now()
    while True:
        for router in fleet.routers:
            await curio.sleep(RESTART_SECONDS)
            if observations.now() - began > seconds:
                return
            await fleet.stop_router(router)
            fleet.start_router(router)


def print_report(seed, observed):
    """Print what the requests got, and what the checks find."""
    reached = checks.executions_by_request(observed)
    counts = collections.Counter()
    for outcome in observed.outcomes:
        executions = reached.get(outcome.request_id, ())
        if outcome.whole:
            counts[str(outcome.status)] += 1
        elif outcome.left_early:
            counts['caller left'] += 1
        elif outcome.written_at is None:
            counts['not written whole'] += 1
        elif checks.crossed_close(outcome, executions):
            counts['crossed a close, not passed on'] += 1
        else:
            counts['no answer'] += 1
    versions = len(observed.timeouts)
    stops = len(observed.stops)
    print(
        f'seed {seed}: {len(observed.outcomes)} requests, {versions}'
        f' configurations, {stops} stops,'
        f' harness up to {lateness.longest_seconds(observed):.1f} s late:'
        f' {dict(counts)}'
    )
    for name, request_id, text in checks.find_violations(observed):
        print(f'  {name}: {request_id} {text}')


def main(seed=1, seconds=40.0, routers=3, callers=24):
    """Play one storm and print its report."""
    logs.configure('CRITICAL', 'text')
    signal.signal(signal.SIGTERM, fleets.exit_on_signal)
    print_report(seed, curio.run(run, seed, seconds, routers, callers))


if __name__ == '__main__':
    fire.Fire(main)
