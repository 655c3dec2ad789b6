"""Time that a router adds to the first event of a stream.

Store, endpoint and router are processes or tasks of their own; the same
stream is asked for in turn directly and through the router, so that both
meet the same load of the host.
"""

import pathlib
import statistics
import sys
import tempfile
import time

import curio
import fire

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks.soak import fleet as fleets  # noqa: E402
from celeryward import deadlines  # noqa: E402
from celeryward import http  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_processes as processes  # noqa: E402
from tests import platform_standins as standins  # noqa: E402

WARM_UP = 20
DEADLINE_SECONDS = 5.0


async def first_event_seconds(connection, headers):
    """Return the time from the request to the first bytes of the body."""
    deadline = deadlines.Deadline.after(DEADLINE_SECONDS)
    started = time.perf_counter()
    await http.send_request(connection, 'POST', '/stream/x', headers, b'')
    await connection.receive_response(deadline)
    first = None
    async for _ in connection.receive_chunks('read', lambda: deadline):
        first = first or time.perf_counter() - started
    connection.start_next_cycle()
    return first


async def measure(requests, directory):
    """Return the times of direct and routed requests, in seconds."""
    fleet = fleets.Fleet(0, directory, routers=1, endpoints=2)
    fleet.work_seconds = 0.0
    await fleet.start()
    deadline = deadlines.Deadline.after(DEADLINE_SECONDS)
    direct = await http.connect(
        '127.0.0.1', fleet.endpoints[1].proxy.port, deadline
    )
    routed = await http.connect(
        fleet.routers[0].host, processes.CALLER_PORT, deadline
    )
    found = {'direct': [], 'routed': []}
    for number in range(requests + WARM_UP):
        headers = standins.request_headers(
            '/stream/x', request_id=f'r{number}'
        )
        pair = (
            ('direct', direct, processes.direct_headers(headers, 'small')),
            ('routed', routed, headers),
        )
        for name, connection, sent in pair:
            seconds = await first_event_seconds(connection, sent)
            if number >= WARM_UP:
                found[name].append(seconds)
    await direct.close()
    await routed.close()
    await fleet.stop()
    return found


def main(requests=500):
    """Print the percentiles of both, and the added time.

    :param int requests: measured requests of each kind.
    """
    logs.configure('CRITICAL', 'text')
    directory = pathlib.Path(tempfile.mkdtemp(prefix='first-event-'))
    found = curio.run(measure, requests, directory)
    found['added'] = [
        routed - direct
        for direct, routed in zip(
            found['direct'], found['routed'], strict=True
        )
    ]
    for name, seconds in found.items():
        cuts = statistics.quantiles(seconds, n=100)
        shown = ' '.join(
            f'p{part} {cuts[part - 1] * 1000:.2f} ms' for part in (50, 95, 99)
        )
        print(f'{name:8} {shown}')


if __name__ == '__main__':
    fire.Fire(main)
