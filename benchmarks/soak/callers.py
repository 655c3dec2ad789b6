"""Callers that keep their connections until the process is gone."""

import random

import curio

from benchmarks.soak import observations
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import platform_processes as processes
from tests import platform_standins as standins

PATIENCE_SECONDS = 4.0
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.05
KINDS = ('whole', 'once', 'stream', 'rigid')
UNKNOWN_KEY = 'key-unknown'
UNKNOWN_KEY_SHARE = 0.03
# Callers that leave early, and when.
LEAVING_SHARE = 0.03
MAX_EARLY_SECONDS = 0.1
FAILURES = (errors.CelerywardError, OSError)


class Caller:
    """One caller, with one connection at a time.

    :param Fleet fleet: the routers to ask.
    """

    def __init__(self, fleet, seed, number):
        self.fleet = fleet
        self.number = number
        self.generator = random.Random(f'{seed}-{number}')
        self.connection = None
        self.router = None
        self.sent = 0

    async def run(self):
        """Send requests until cancelled."""
        try:
            while True:
                await self.send_next()
                await curio.sleep(PAUSE_SECONDS)
        finally:
            await self.leave()

    async def send_next(self):
        """Send one request of a random kind, and note how it ended."""
        kind = self.generator.choice(KINDS)
        wait = PATIENCE_SECONDS
        if self.generator.random() < LEAVING_SHARE:
            wait = self.generator.random() * MAX_EARLY_SECONDS
        outcome = await self.send(kind, self.pick_key(), wait)
        if outcome is not None:
            self.fleet.seen.outcomes.append(outcome)

    def pick_key(self):
        """Return a key that may be good, taken away or unknown."""
        if self.generator.random() < UNKNOWN_KEY_SHARE:
            return UNKNOWN_KEY
        return self.generator.choice(
            [*self.fleet.keys, *self.fleet.seen.revoked_at]
        )

    async def send(self, kind, key, wait=PATIENCE_SECONDS):
        """Return the :class:`observations.Outcome` of one request.

        None if no router took the connection.

        :param float wait: seconds after which the caller leaves.
        """
        if not await self.connect():
            return None
        self.sent += 1
        request_id = f'c{self.number}-{self.sent}'
        started_at = observations.now()
        fields = {'error': '', 'status': 0}
        try:
            await self.exchange(kind, key, request_id, wait, fields)
        except FAILURES as error:
            fields['error'] = f'{type(error).__name__}: {error}'
        outcome = observations.Outcome(
            request_id,
            kind,
            self.router.name,
            key,
            started_at,
            observations.now(),
            **fields,
        )
        if not outcome.whole or not self.connection.reusable():
            await self.leave()
        else:
            self.connection.start_next_cycle()
        return outcome

    async def exchange(self, kind, key, request_id, wait, fields):
        """Send a request and put what comes back into ``fields``."""
        deadline = deadlines.Deadline.after(wait)
        head = standins.request_headers(
            f'/{kind}/x',
            request_id=request_id,
            authorization=f'Bearer {key}',
            session=f's{self.number}',
        )
        await http.send_request(
            self.connection, 'POST', f'/{kind}/x', head, b'body'
        )
        answer = await self.connection.receive_response(deadline)
        fields['status'] = answer.status
        fields['not_run'] = processes.is_not_run(answer)
        fields['body'] = await self.connection.receive_body(
            'read body', deadline
        )
        fields['whole'] = True

    async def connect(self):
        """Open a connection to a router that takes it, unless one is open."""
        if self.connection is not None:
            return True
        self.router = self.generator.choice(self.fleet.routers)
        try:
            self.connection = await http.connect(
                self.router.host,
                processes.CALLER_PORT,
                deadlines.Deadline.after(CONNECT_SECONDS),
            )
        except errors.ConnectionFailed:
            # The router is down; the next try may choose another one.
            return False
        return True

    async def leave(self):
        """Close the connection."""
        if self.connection is not None:
            await self.connection.close()
            self.connection = None
