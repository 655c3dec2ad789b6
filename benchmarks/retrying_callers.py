"""Callers that retry as the users' protocol says, and what they got."""

import dataclasses
import random

import curio

from benchmarks import reusing_callers
from benchmarks.soak import observations
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import platform_standins as standins

MAX_ATTEMPTS = 5
# Pause before a retry that no answer gives a time for.
RETRY_SECONDS = 0.1
# Share of the remaining time that a caller waits as an answer tells it.
MAX_PAUSE_SHARE = 1 / 3
PAUSE_SECONDS = 0.02
BODY = b'body'
OK = 200
# Statuses which promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
# A connection that ends this soon after a request was written crossed it.
CROSSING_SECONDS = 0.2
FAILURES = (errors.CelerywardError, OSError)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """How callers treat the requests of a route.

    :param bool repeatable: whether they are retried after any failure.
    :param bool resumable: whether a retry asks for the rest of the answer.
    """

    name: str
    streamed: bool = False
    repeatable: bool = False
    resumable: bool = False


KINDS = (
    Kind('whole', repeatable=True),
    Kind('once'),
    Kind('stream', streamed=True, repeatable=True, resumable=True),
    Kind('rigid', streamed=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work that a request asks for, and what its route allows.

    :param float seconds: how long an endpoint works.
    :param float objective_seconds: within which an answer earns all credit;
        for streams until the first event.
    :param float weight: relative frequency.
    """

    name: str
    seconds: float
    timeout_seconds: float
    objective_seconds: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request.

    :param str result: 'whole', 'refused', 'crossed', 'rejected' or 'cut'.
    :param float retry_after: seconds that a refusal asks to wait.
    """

    id: str
    router: str
    sent_at: float
    ended_at: float
    result: str
    status: int = 0
    error: str = ''
    retry_after: float = RETRY_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A request with all of its attempts.

    :param float first_byte_at: when the body began; None if none came.
    """

    kind: Kind
    work: Work
    began_at: float
    attempts: tuple[Attempt, ...]
    first_byte_at: float | None
    body: bytes

    @property
    def served(self):
        """Whether the last attempt got the rest of a whole answer."""
        return bool(self.attempts) and self.attempts[-1].result == 'whole'

    @property
    def late(self):
        """Whether the answer came after the objective."""
        last = self.first_byte_at if self.kind.streamed else None
        last = last or self.attempts[-1].ended_at
        return last - self.began_at > self.work.objective_seconds


class Caller(reusing_callers.ReusingCaller):
    """Sends requests in turn, over one kept connection or many.

    :param fleet: has ``in_rotation()``, the routers for new connections, and
        ``outcomes``, to which each :class:`Outcome` is added.
    :param works: the :class:`Work` to choose from.
    """

    def __init__(self, fleet, seed, number, works):
        super().__init__()
        self.fleet = fleet
        self.works = works
        self.number = number
        self.generator = random.Random(f'{seed}-{number}')
        # Every other caller opens a connection for each request.
        self.keeps_connection = number % 2 == 0
        self.sent = 0
        self.body = b''
        self.first_byte_at = None

    async def run(self):
        """Send requests until the fleet takes no new ones."""
        while not self.fleet.finished:
            await self.send()
            await curio.sleep(PAUSE_SECONDS)
        await self.close()

    async def send(self):
        """Send one request with its retries and record the outcome."""
        kind = self.generator.choice(KINDS)
        weights = [each.weight for each in self.works]
        work = self.generator.choices(self.works, weights)[0]
        self.sent += 1
        self.body, self.first_byte_at = b'', None
        if not self.keeps_connection:
            await self.close()
        began_at = observations.now()
        deadline = deadlines.Deadline.after(work.timeout_seconds)
        attempts = []
        while len(attempts) < MAX_ATTEMPTS and not deadline.expired():
            if attempts:
                await self.pause(attempts[-1], deadline)
            attempt = await self.attempt(kind, work, len(attempts), deadline)
            attempts.append(attempt)
            if not may_retry(kind, attempt):
                break
        self.fleet.outcomes.append(
            Outcome(
                kind,
                work,
                began_at,
                tuple(attempts),
                self.first_byte_at,
                self.body,
            )
        )

    async def pause(self, attempt, deadline):
        """Wait before the next attempt as the last answer says."""
        longest = deadline.remaining() * MAX_PAUSE_SHARE
        await curio.sleep(max(0.0, min(attempt.retry_after, longest)))

    async def attempt(self, kind, work, number, deadline):
        """Make one attempt; retries use a new connection elsewhere."""
        attempt_id = f'c{self.number}-{self.sent}-{number}'
        if number:
            await self.close()
        began_at = observations.now()
        if not await self.connect():
            return Attempt(
                attempt_id,
                self.router.name,
                began_at,
                observations.now(),
                'crossed',
                error='not connected',
            )
        fields = await self.exchange(kind, work, attempt_id, deadline)
        ended_at = observations.now()
        result = self.judge(fields, attempt_id, ended_at - began_at)
        attempt = Attempt(
            attempt_id, self.router.name, began_at, ended_at, result, **fields
        )
        await self.end_exchange(result != 'cut')
        return attempt

    async def exchange(self, kind, work, attempt_id, deadline):
        """Send a request; return the status, or the error, of its answer."""
        path = f'/{kind.name}/{work.name}/'
        more = {}
        if kind.resumable and self.body:
            # Half an event at the end is sent again.
            self.body = self.body[: self.body.rfind(b'\n\n') + 2]
            more['last_event_id'] = str(self.body.count(b'\n\n'))
        headers = standins.request_headers(
            path,
            request_id=attempt_id,
            celeryward_deadline_ms=str(int(deadline.remaining() * 1000)),
            **more,
        )
        fields = {}
        try:
            await http.send_request(
                self.connection, 'POST', path, headers, BODY
            )
            head = await self.connection.receive_response(deadline)
            fields['status'] = head.status
            if 'retry-after' in head.headers:
                fields['retry_after'] = float(head.headers['retry-after'])
            await self.receive_body(head, deadline)
        except FAILURES as error:
            fields['error'] = f'{type(error).__name__}: {error}'
        return fields

    async def receive_body(self, head, deadline):
        """Add the body of a good answer to what arrived before."""
        async for chunk in self.connection.receive_chunks(
            'read body', lambda: deadline
        ):
            if head.status == OK:
                self.first_byte_at = self.first_byte_at or observations.now()
                self.body += chunk

    def judge(self, fields, attempt_id, seconds):
        """Return the result of an attempt."""
        status = fields.get('status', 0)
        if status in PROMISES:
            return 'refused'
        if status == OK and 'error' not in fields:
            return 'whole'
        if 400 <= status < 500:
            return 'rejected'
        crossed = self.reused and not status and seconds < CROSSING_SECONDS
        if crossed and not self.fleet.has_arrived(attempt_id):
            return 'crossed'
        return 'cut'

    def choose_router(self):
        """Return the router of the next connection, another if possible."""
        routers = self.fleet.in_rotation()
        others = [each for each in routers if each is not self.router]
        return self.generator.choice(others or routers)


def may_retry(kind, attempt):
    """Return whether a caller may make another attempt."""
    if attempt.result in ('refused', 'crossed'):
        return True
    return attempt.result == 'cut' and kind.repeatable
