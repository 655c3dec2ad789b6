"""A stand-in of a runner, as a process of its own.

``python3 -m review.standins.runner ID HOST PORT WORK_MS FAIL_EACH`` prints a
JSON line once it listens, one when it begins to run a request, and one when
it has answered it. Each FAIL_EACH-th request fails; 0 for none. A request
whose body is CRASH_BODY, if that is given, ends the process when it begins to
run.

From SIGUSR1 to SIGUSR2 a share of the requests hangs: nothing of them is read
behind their heads, and nothing is answered. Others are served as before.
"""

import asyncio
import hashlib
import json
import os
import signal
import socket
import sys
import time

from review.standins import wire

BACKLOG = 128
CRASH_STATUS = 70
HANGING_SHARE = 0.45
# Links have small windows, so that a peer that doesn't read blocks the writer.
WINDOW_BYTES = 65536
READ_AHEAD_BYTES = 16384


class Runner:
    """Answers requests after some work.

    :param str name: the id of this runner.
    :param float work_seconds: how long a request runs.
    :param int fail_each: each request of this number fails; 0 for none.
    :param bytes crash_body: body of the requests that end the process.
    """

    def __init__(self, name, work_seconds, fail_each=0, crash_body=b''):
        self.crash_body = crash_body
        self.name = name
        self.work_seconds = work_seconds
        self.fail_each = fail_each
        self.count = 0
        self.hanging = False
        self.offered = 0
        self.recovered = asyncio.Event()

    def report(self, event, **fields):
        """Print what has happened."""
        line = {'at': time.time(), 'runner': self.name, 'event': event}
        print(json.dumps(line | fields), flush=True)

    def begin_hanging(self):
        """Let a share of the requests hang from now on."""
        self.hanging = True
        self.report('hangs')

    def end_hanging(self):
        """Go on with the requests that hang."""
        self.hanging = False
        self.recovered.set()
        self.report('recovers')

    def next_hangs(self):
        """Return whether the next request hangs, one after the other."""
        if not self.hanging:
            return False
        before = int(self.offered * HANGING_SHARE)
        self.offered += 1
        return int(self.offered * HANGING_SHARE) > before

    async def serve(self, reader, writer):
        """Answer the requests on one connection."""
        try:
            while (request := await wire.read_head(reader)) is not None:
                hangs = self.next_hangs()
                name = request.headers.get('celeryward-attempt-id')
                self.report('head', id=name, hangs=hangs)
                if hangs:
                    await self.recovered.wait()
                request.body = await wire.read_body(reader, request.headers)
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def is_crashed_by(self, request):
        """Return whether a request ends the process."""
        return bool(self.crash_body) and request.body == self.crash_body

    async def answer(self, request):
        """Run one request; return the bytes of its response."""
        request_id = request.headers.get('celeryward-attempt-id')
        if request_id is None:
            not_run = {'Celeryward-Not-Executed': '1'}
            return wire.response_bytes(400, not_run)
        echoed = {'Celeryward-Attempt-Id': request_id}
        expected = request.headers.get('celeryward-expect-instance')
        if expected not in (None, self.name):
            return wire.response_bytes(
                421, echoed | {'Celeryward-Not-Executed': '1'}
            )
        self.report(
            'run',
            id=request_id,
            method=request.start[0],
            target=request.start[1],
            tenant=request.headers.get('celeryward-tenant'),
            bytes=len(request.body),
            crashes=self.is_crashed_by(request),
        )
        if self.is_crashed_by(request):
            os._exit(CRASH_STATUS)
        self.count += 1
        fails = bool(self.fail_each) and self.count % self.fail_each == 0
        await asyncio.sleep(self.work_seconds)
        self.report('answered', id=request_id, fails=fails)
        body = b'answer to ' + request_id.encode()
        seal = hashlib.sha256(body).hexdigest()[:16]
        headers = echoed | {
            'Celeryward-Response-Seal': f'{self.name}.{seal}',
            'Keep-Alive': 'timeout=10',
        }
        return wire.response_bytes(500 if fails else 200, headers, body)


async def main(name, host, port, work_ms, fail_each, crash_body=''):
    """Serve until the process is ended."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.bind((host, int(port)))
    runner = Runner(
        name, int(work_ms) / 1000, int(fail_each), crash_body.encode()
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, runner.begin_hanging)
    loop.add_signal_handler(signal.SIGUSR2, runner.end_hanging)
    server = await asyncio.start_server(
        runner.serve, sock=sock, backlog=BACKLOG, limit=READ_AHEAD_BYTES
    )
    runner.report('listens', port=sock.getsockname()[1])
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
