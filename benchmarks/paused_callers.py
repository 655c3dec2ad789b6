"""Callers of benchmarks.paused_processes, and what their requests got."""

import dataclasses
import random

import curio
import h11

from celeryward import deadlines
from celeryward import http
from tests import platform_processes as processes
from tests import platform_standins as standins

PATIENCE_SECONDS = 14.0
PATHS = ('/whole/', '/once/', '/stream/', '/rigid/', '/open/')
STREAMS = ('/stream/', '/rigid/')
BODY_SIZES_BYTES = (0, 4, 900, 60000)
HALF_SENT_SHARE = 0.2
MAX_BODY_DELAY_SECONDS = 0.4
KEPT_SHARE = 0.5
LOST = ('nothing: read response', 'nothing: read body')
FAILURES = (*http.EXCHANGE_ERRORS, http.errors.ConnectionFailed)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What happens in a play.

    :param str target: endpoints, one or router.
    :param bool stop: whether a planned stop of the router begins in the first
        pause.
    :param bool change: whether configurations change in the pauses.
    :param int headers: lines that callers add to each head, so that parsing
        takes a larger part of the time.
    :param float settle_seconds: time from the start to the first request;
        routers keep to a shorter idle limit only after a while.
    """

    target: str
    pause_seconds: float
    pauses: int
    stop: bool
    change: bool
    headers: int
    events: int
    idle_milliseconds: int
    timeout_milliseconds: int
    settle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one request got: a whole answer, a refusal, a failure, nothing.

    :param float whole_at: when its last byte was sent; 0.0 if that failed.
    """

    request_id: str
    kind: str
    sent_at: float
    ended_at: float
    what: str
    refused: bool
    reused: bool
    whole_at: float


class Callers:
    """Callers of one router.

    :param Case case: what happens beside them.
    :param int port: the port of the router.
    """

    def __init__(self, case, port, seed):
        self.case = case
        self.port = port
        self.generator = random.Random(seed)
        self.kept = []
        self.outcomes = []
        self.pending = set()

    async def ask(self, number):
        """Send one request and record its outcome."""
        path = self.generator.choice(PATHS)
        request_id = f'request-{number}'
        sent_at = deadlines.Deadline.now()
        self.pending.add((request_id, sent_at))
        refused = reused = False
        whole_at = 0.0
        connection = None
        try:
            connection, reused = await self.take_connection()
            await self.write_request(connection, path, request_id)
            whole_at = deadlines.Deadline.now()
            what, refused = await self.read_answer(connection, path)
        except FAILURES as error:
            what = f'nothing: {error.step}'
        await self.keep_or_close(connection)
        self.pending.discard((request_id, sent_at))
        self.outcomes.append(
            Outcome(
                request_id,
                path,
                sent_at,
                deadlines.Deadline.now(),
                what,
                refused,
                reused,
                whole_at,
            )
        )

    async def read_answer(self, connection, path):
        """Return what a request got, and whether it is said not to have run.

        :raises http.Disconnected: if it gets nothing whole.
        """
        deadline = deadlines.Deadline.after(PATIENCE_SECONDS)
        head = await connection.receive_response(deadline)
        body = await connection.receive_body('read body', deadline)
        return self.judge(path, head, body), processes.is_not_run(head)

    async def keep_or_close(self, connection):
        """Keep a connection for other requests if it can carry them."""
        if connection is None:
            return
        if connection.reusable():
            connection.start_next_cycle()
            self.kept.append(connection)
        else:
            await connection.close()

    def judge(self, path, head, body):
        """Return what an answer is."""
        if processes.is_not_run(head):
            return f'refused {head.status}'
        if head.status != 200:
            return f'failed {head.status}'
        expected = b'whole answer'
        if path in ('/stream/', '/rigid/'):
            expected = standins.events(self.case.events)
        return 'whole' if body == expected else 'nothing: wrong body'

    async def take_connection(self):
        """Return a kept connection or a new one, and which it is."""
        if self.kept and self.generator.random() < KEPT_SHARE:
            return self.kept.pop(), True
        deadline = deadlines.Deadline.after(PATIENCE_SECONDS)
        opened = await http.connect('127.0.0.1', self.port, deadline)
        return opened, False

    async def write_request(self, connection, path, request_id):
        """Write a request at once, or half of its body some time later."""
        body = bytes(self.generator.choice(BODY_SIZES_BYTES))
        added = {f'x-added-{n}': str(n) for n in range(self.case.headers)}
        headers = standins.request_headers(
            path,
            request_id=request_id,
            celeryward_deadline_ms=str(self.case.timeout_milliseconds),
        )
        lines = {'content-length': str(len(body)), **headers, **added}
        head = h11.Request(
            method='POST', target=path, headers=http.encode_headers(lines)
        )
        half = len(body) // 2
        await connection.send('send', head, h11.Data(data=body[:half]))
        if half and self.generator.random() < HALF_SENT_SHARE:
            seconds = self.generator.uniform(0.0, MAX_BODY_DELAY_SECONDS)
            await curio.sleep(seconds)
        rest = h11.Data(data=body[half:])
        await connection.send('send', rest, h11.EndOfMessage())
