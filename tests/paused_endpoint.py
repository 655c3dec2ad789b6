"""A program that pauses an endpoint of the soak until its parent has ended.

``python tests/paused_endpoint.py DIRECTORY`` prints a line once the endpoint
is paused, and at the end whether its process still runs.
"""

import os
import pathlib
import signal
import sys

import curio

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'platform')]

from benchmarks.soak import fleet as fleets  # noqa: E402
from celeryward import event_loop  # noqa: E402
from celeryward import logs  # noqa: E402

# Time for a signal that the end of the parent causes.
SIGNAL_SECONDS = 0.5
PARENT_SECONDS = 10.0


async def pause(directory):
    """Pause an endpoint, and report it when the parent has ended."""
    parent = os.getppid()
    fleet = fleets.Fleet(1, directory, 0, 1, process_endpoints=1)
    await fleet.start()
    try:
        server = fleet.endpoints[0].server
        server.signal(signal.SIGSTOP)
        print('paused', flush=True)
        async with curio.timeout_after(PARENT_SECONDS):
            while os.getppid() == parent:
                await curio.sleep(0.05)
        await curio.sleep(SIGNAL_SECONDS)
        status = server.process.poll()
        print('runs' if status is None else f'ended {status}', flush=True)
    finally:
        await fleet.stop()


if __name__ == '__main__':
    logs.configure('CRITICAL', 'text')
    event_loop.run(pause, pathlib.Path(sys.argv[1]))
