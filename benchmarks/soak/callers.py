"""Load generator: callers that reuse their connection to a router."""

import random

import curio
import h11

from benchmarks import reusing_callers
from benchmarks.soak import endpoints
from benchmarks.soak import observations
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import platform_processes as processes
from tests import platform_standins as standins

DEADLINE_SECONDS = 3.0
# How much longer than the deadline it names a caller waits.
PATIENCE_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = DEADLINE_SECONDS + PATIENCE_SECONDS
MILLISECONDS = 1000
PAUSE_SECONDS = 0.05
KINDS = ('whole', 'once', 'stream', 'rigid')
BODY = b'body'
UNKNOWN_KEY = 'key-unknown'
UNKNOWN_KEY_SHARE = 0.03
# Share of requests whose caller disconnects early, and the latest time.
EARLY_CLOSE_SHARE = 0.03
MAX_EARLY_CLOSE_SECONDS = 0.1
# Share of requests whose body follows their head later, and the longest time.
SLOW_BODY_SHARE = 0.15
MAX_BODY_DELAY_SECONDS = 0.4
FAILURES = (errors.CelerywardError, OSError)


class Caller(reusing_callers.ReusingCaller):
    """A caller that sends requests over one connection at a time.

    :param fleet: the :class:`fleet.Fleet` whose routers it calls.
    :param only_router: the router that it calls; None for all in turn.
    """

    def __init__(self, fleet, seed, number, only_router=None):
        super().__init__()
        self.fleet = fleet
        self.number = number
        self.generator = random.Random(f'{seed}-{number}')
        self.only_router = only_router
        self.sent = 0

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                await self.send_next()
                await curio.sleep(PAUSE_SECONDS)
        finally:
            await self.close()

    async def send_next(self):
        """Send one request of a random kind and record its outcome."""
        kind = self.generator.choice(KINDS)
        timeout = RESPONSE_TIMEOUT_SECONDS
        if self.generator.random() < EARLY_CLOSE_SHARE:
            timeout = self.generator.random() * MAX_EARLY_CLOSE_SECONDS
        outcome = await self.send(kind, self.pick_key(), timeout)
        if outcome is not None:
            self.fleet.observed.outcomes.append(outcome)

    def pick_key(self):
        """Return a random key, which may be valid, revoked or unknown."""
        if self.generator.random() < UNKNOWN_KEY_SHARE:
            return UNKNOWN_KEY
        return self.generator.choice(
            [*self.fleet.keys, *self.fleet.observed.revoked_at]
        )

    async def send_and_record(
        self,
        kind,
        work=endpoints.USUAL_WORK,
        deadline_seconds=DEADLINE_SECONDS,
    ):
        """Send one request with a valid key and record its outcome."""
        outcome = await self.send(
            kind,
            standins.KEY,
            deadline_seconds + PATIENCE_SECONDS,
            work,
            deadline_seconds,
        )
        if outcome is not None:
            self.fleet.observed.outcomes.append(outcome)

    async def send(
        self,
        kind,
        key,
        timeout=RESPONSE_TIMEOUT_SECONDS,
        work=endpoints.USUAL_WORK,
        deadline_seconds=DEADLINE_SECONDS,
    ):
        """Return the :class:`observations.Outcome` of one request.

        None if the router did not accept the connection.

        :param float timeout: seconds after which the caller disconnects.
        :param str work: last part of the path.
        :param float deadline_seconds: deadline that the request names.
        """
        if not await self.connect():
            return None
        self.sent += 1
        request_id = f'c{self.number}-{self.sent}'
        started_at = observations.now()
        path = f'/{kind}/{work}'
        head = self.request_headers(path, request_id, key, deadline_seconds)
        fields = await self.observe(path, head, timeout)
        outcome = observations.Outcome(
            request_id,
            kind,
            self.router.name,
            key,
            started_at,
            observations.now(),
            left_early=timeout < RESPONSE_TIMEOUT_SECONDS,
            reused=self.reused,
            deadline_seconds=deadline_seconds,
            **fields,
        )
        await self.end_exchange(outcome.whole)
        return outcome

    def request_headers(self, path, request_id, key, deadline_seconds):
        """Return the headers of a request of this caller."""
        return standins.request_headers(
            path,
            request_id=request_id,
            authorization=f'Bearer {key}',
            session=f's{self.number}',
            celeryward_deadline_ms=str(int(deadline_seconds * MILLISECONDS)),
        )

    async def observe(self, path, head, timeout):
        """Send a request; return its results as fields of the outcome.

        What arrived before an error is included.
        """
        fields = {}
        try:
            await self.exchange(path, head, timeout, fields)
        except FAILURES as error:
            fields['error'] = f'{type(error).__name__}: {error}'
        return fields

    async def exchange(self, path, head, timeout, fields):
        """Send a request and store the parts of its answer in ``fields``."""
        deadline = deadlines.Deadline.after(timeout)
        await self.write_request(path, head)
        fields['written_at'] = observations.now()
        answer = await self.connection.receive_response(deadline)
        fields['status'] = answer.status
        fields['not_run'] = processes.is_not_run(answer)
        fields['body'] = b''
        async for chunk in self.connection.receive_chunks(
            'read body', lambda: deadline
        ):
            fields['body'] += chunk
        fields['whole'] = True

    async def write_request(self, target, headers):
        """Write a request at once, or its body some time after its head."""
        if self.generator.random() >= SLOW_BODY_SHARE:
            await http.send_request(
                self.connection, 'POST', target, headers, BODY
            )
            return
        lines = http.encode_headers(
            {'content-length': str(len(BODY)), **headers}
        )
        await self.connection.send(
            'send head',
            h11.Request(method='POST', target=target, headers=lines),
        )
        await curio.sleep(self.generator.random() * MAX_BODY_DELAY_SECONDS)
        await self.connection.send(
            'send body', h11.Data(data=BODY), h11.EndOfMessage()
        )

    def choose_router(self):
        """Return the router of the next connection."""
        return self.only_router or self.generator.choice(self.fleet.routers)
