"""Counts requests that a silence of all endpoints leaves without an answer.

``python -m benchmarks.silent_endpoints --silence=1.3`` sends streams and whole
requests through one router to stand-in endpoints, each of which is silent once
in every answer and then goes on. Run at an earlier commit, it shows what that
one lost.
"""

import argparse
import collections
import pathlib
import sys
import time

import curio
import h11

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from celeryward import http  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_standins as standins  # noqa: E402

REQUESTS = 64
TIMEOUT_MILLISECONDS = 8000
PAUSE_SECONDS = 0.005
EXPECTED = {'/stream/': standins.events(4), '/whole/': b'whole answer'}


def silent_for(seconds):
    """Return an action that is silent once in its answer."""

    async def action(runner, connection, arrival):
        if arrival.model:
            await send_stream(runner, connection, arrival, seconds)
            return
        await curio.sleep(seconds)
        await standins.send_default_response(runner, connection, arrival)

    return action


async def send_stream(runner, connection, arrival, seconds):
    """Send the events of a stream, with a silence after the first one."""
    first = await standins.begin_stream(runner, connection, arrival)
    for number in range(first, runner.events + 1):
        data = standins.event(number)
        await connection.send('answer', h11.Data(data=data))
        if number == first:
            await curio.sleep(seconds)
    await connection.send('answer', h11.EndOfMessage())


async def ask(site, path, number, outcomes):
    """Send one request; count its outcome and return its seconds."""
    started = time.monotonic()
    try:
        head, body = await site.request(
            path,
            request_id=f'request-{number}',
            celeryward_deadline_ms=str(TIMEOUT_MILLISECONDS),
        )
        whole = 'whole' if body == EXPECTED[path] else 'not whole'
        outcomes[f'{head.status} {whole}'] += 1
    except http.Disconnected:
        outcomes['cut off'] += 1
    return time.monotonic() - started


async def measure(path, seconds):
    """Print the outcomes of all requests to one route."""
    site = standins.default_site()
    spec = standins.configuration()
    for route in spec['routes']:
        route['timeoutMs'] = TIMEOUT_MILLISECONDS
    await site.start(spec)
    for runner in site.runners.values():
        runner.default_action = silent_for(seconds)
    outcomes = collections.Counter()
    async with curio.TaskGroup() as group:
        for number in range(REQUESTS):
            await group.spawn(ask, site, path, number, outcomes)
            await curio.sleep(PAUSE_SECONDS)
    print(
        f'{path:9} silence {seconds} s: {dict(outcomes)},'
        f' {len(site.arrivals())} arrivals, slowest {max(group.results):.1f} s'
    )
    await site.stop()


async def main(seconds):
    """Measure both kinds of routes."""
    for path in EXPECTED:
        await measure(path, seconds)


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--silence', type=float, default=1.3)
    logs.configure('ERROR', 'text')
    curio.run(main, parser.parse_args().silence)
