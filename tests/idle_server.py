"""A program that answers requests on connections that may be idle for 1 s.

``python tests/idle_server.py`` prints its port and serves until its standard
input closes.
"""

import functools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from curio import io  # noqa: E402

from celeryward import event_loop  # noqa: E402
from celeryward import http  # noqa: E402
from celeryward import listener  # noqa: E402

IDLE_SECONDS = 1.0


async def handle(connection):
    """Serve one connection to its end."""
    answer = functools.partial(
        http.send_response, connection, 200, {}, b'whole'
    )

    async def ignore_head(head):
        await answer()

    await listener.serve_ignoring_bodies(
        connection, ignore_head, IDLE_SECONDS, IDLE_SECONDS
    )


async def main():
    """Serve until the standard input closes."""
    server = listener.Listener('127.0.0.1', 0, handle)
    await server.start()
    print(server.port, flush=True)
    await io.FileStream(sys.stdin.buffer.raw).read(1)
    await server.stop_accepting()


if __name__ == '__main__':
    event_loop.run(main)
