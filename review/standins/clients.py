"""A stand-in of a client, which sends one attempt and waits for its end."""

import asyncio
import dataclasses
import itertools
import os
import time

from review.standins import wire

NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """One client attempt and what became of it.

    Times are seconds of ``time.monotonic``. ``status`` is None if the
    connection ended without a complete answer, or the client left.
    """

    id: str
    sent_at: float
    written_at: float | None = None
    ended_at: float | None = None
    status: int | None = None
    body: bytes = b''
    note: str = ''

    @property
    def seconds(self):
        """Time from the first byte sent to the end of the attempt."""
        return self.ended_at - self.sent_at


async def send(deployment, address, method, target, **options):
    """Send one attempt on a new connection; return the :class:`Attempt`.

    :param options: ``host`` of the route, ``key``, ``deadline_ms``, ``body``
        and further ``headers``.
    """
    name = f'{os.getpid():x}-{next(NUMBERS)}'
    deadline_ms = options['deadline_ms']
    headers = {
        'Host': options['host'],
        'Celeryward-Attempt-Id': name,
        'Celeryward-Deadline-Ms': str(deadline_ms),
    } | options.get('headers', {})
    if options.get('key'):
        headers['Authorization'] = f'Bearer {options["key"]}'
    body = options.get('body', b'')
    attempt = Attempt(name, time.monotonic())
    deployment.note(f'sent {name} {method} {target} {len(body)} bytes')
    data = wire.request_bytes(method, target, headers, body)
    try:
        await asyncio.wait_for(
            exchange(attempt, address, data), deadline_ms / 1000
        )
    except asyncio.TimeoutError:
        attempt.note = 'client left at its deadline'
    except (OSError, asyncio.IncompleteReadError) as error:
        attempt.note = f'connection ended: {error!r}'
    attempt.ended_at = time.monotonic()
    deployment.note(
        f'ended {name} status {attempt.status} after '
        f'{attempt.seconds:.3f} s {attempt.note}'
    )
    return attempt


async def exchange(attempt, address, data):
    """Send the bytes of a request and read its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        await writer.drain()
        attempt.written_at = time.monotonic()
        answer = await wire.read_message(reader)
        if answer is None:
            attempt.note = 'connection closed without an answer'
            return
        attempt.status, attempt.body = answer.status, answer.body
    finally:
        writer.close()
