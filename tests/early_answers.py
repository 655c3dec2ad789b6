"""Servers that answer while a request is written, and odd answers."""

import contextlib
import functools
import inspect
import socket

import curio
import h11

from celeryward import deadlines
from celeryward import http
from celeryward import sockets
from celeryward.standins import base
from celeryward.standins import service
from celeryward import transport
from tests import fakes
from tests import platform_runners
from tests import platform_standins as standins

# The kernel takes the smallest at once; the others exceed what an endpoint
# that doesn't read takes.
SIZES = (1024, 1024 * 1024, 4 * 1024 * 1024)
RECEIVE_BUFFER_BYTES = 65536
IDLE_SECONDS = 120.0
PART = b'{"kind": "config", "name": "a", "spec": {}, "revision": 3}'
UNFRAMED = ('content-type: application/json',)
STREAM_LINES = ('content-type: text/event-stream',)
FRAMED = (*UNFRAMED, f'content-length: {len(PART)}')
# Statuses and heads that are no response.
NO_RESPONSES = {
    'status 000': b'HTTP/1.1 000 Odd\r\n',
    'status 099': b'HTTP/1.1 099 Odd\r\n',
    'status 1000': b'HTTP/1.1 1000 Odd\r\n',
    'status 20': b'HTTP/1.1 20 Odd\r\n',
    'status -20': b'HTTP/1.1 -20 Odd\r\n',
    '101 without upgrade': b'HTTP/1.1 101 Switching\r\n',
    '17 interim': b'HTTP/1.1 103 Hints\r\n\r\n' * 17 + b'HTTP/1.1 200 OK\r\n',
}
CHUNKED = (*UNFRAMED, 'transfer-encoding: chunked')
CHUNKS = b'%x\r\n%s\r\n0\r\n\r\n' % (len(PART), PART)
# Header lines and body of answers, and whether they are valid.
FRAMES = {
    'bytes after the last chunk': (
        CHUNKED,
        CHUNKS + b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx',
        True,
    ),
    'trailer': (CHUNKED, CHUNKS[:-2] + b'a: b\r\n\r\n', True),
    'length and chunks': ((*CHUNKED, 'content-length: 5'), CHUNKS, True),
    'bytes after the length': (FRAMED, PART + b'rest', True),
    'two equal lengths': ((*FRAMED, FRAMED[-1]), PART, True),
    'two lengths': ((*FRAMED, 'content-length: 5'), PART, False),
    'signed length': ((*UNFRAMED, 'content-length: +5'), PART, False),
    'unknown coding': ((*FRAMED, 'transfer-encoding: gzip'), PART, False),
    'no coding': ((*UNFRAMED, 'transfer-encoding: '), PART, False),
}
INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\na: b\r\n\r\n' * 3
)


class EarlyAnswers(base.StandIn):
    """A server that writes raw answers before or after it reads the upload.

    ``scripts`` has the next answers; ``default_script`` is used after them.
    ``received`` has the sizes of the uploads that were read to their end.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.scripts = []
        self.default_script = None
        self.received = []
        self.requests = 0

    async def start(self):
        """Start with a receive buffer that an upload exceeds."""
        await super().start()
        self.listener.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    async def handle(self, connection):
        """Run the script of each request, or answer as the base class."""

        async def handle_request(head):
            deadline = deadlines.Deadline.after(IDLE_SECONDS)
            script = self.default_script
            if head.path in ('/load', '/health'):
                script = None
            elif self.scripts:
                script = self.scripts.pop(0)
            if script is not None:
                self.requests += 1
                await script(self, connection, head)
                return
            body = await connection.receive_body('read', deadline)
            await self.answer(connection, base.ReceivedRequest(head, body))

        with contextlib.suppress(*http.EXCHANGE_ERRORS):
            await base.listener.serve_connection(
                connection, handle_request, IDLE_SECONDS
            )

    def identity(self, head):
        """Return the header lines that make an answer one to a request."""
        names = ('x-request-id', 'x-request-number')
        return [f'{n}: {head.headers[n]}' for n in names if n in head.headers]


class EarlyRunner(EarlyAnswers, standins.RunnerStandIn):
    """A runner of the platform that answers early."""

    def identity(self, head):
        """Return the lines that sign an answer."""
        lines = self.response_headers(platform_runners.Arrival(head, b''))
        return [f'{name}: {lines[name]}' for name in lines]


class EarlyService(EarlyAnswers, service.ServiceStandIn):
    """A plain service behind a daemon that answers early."""


def answer(
    moment, end, lines=UNFRAMED, start=b'HTTP/1.1 200 OK\r\n', body=PART
):
    """Return a script that writes an answer and ends the connection.

    :param str moment: ``early`` before the upload was read, or ``late``.
    :param str end: ``fin``, ``reset``, ``fin-reset`` or ``keep``.
    """

    async def script(server, connection, head):
        if moment == 'late':
            server.received.append(len(await read_upload(connection)))
        lines_sent = '\r\n'.join((*server.identity(head), *lines))
        raw = start + lines_sent.encode() + b'\r\n\r\n' + body
        await connection.sock.sendall(raw)
        if end.startswith('fin'):
            await connection.sock.shutdown(socket.SHUT_WR)
        if end.endswith('reset'):
            sockets.reset_on_close(connection.sock, True)
            raise http.Disconnected('reset', step='answer', peer='test')
        if moment == 'early':
            # The client runs before the rest of the upload is read.
            await curio.sleep(0.02)
            server.received.append(len(await read_upload(connection)))
        await connection.wait_closed()
        raise http.Disconnected('ended', step='answer', peer='test')

    return script


def odd_answer(name):
    """Return a script that answers with one of :data:`NO_RESPONSES`."""
    return answer('late', 'fin', FRAMED, NO_RESPONSES[name])


async def read_upload(connection):
    """Return the body of the request that is served."""
    deadline = deadlines.Deadline.after(IDLE_SECONDS)
    return await connection.receive_body('read', deadline)


async def answer_in_pieces(server, connection, head):
    """Send an answer with a length, 7 bytes at a time."""
    await read_upload(connection)
    head_lines = '\r\n'.join((*server.identity(head), *FRAMED))
    raw = f'HTTP/1.1 200 OK\r\n{head_lines}\r\n\r\n'.encode() + PART
    for start in range(0, len(raw), 7):
        await connection.sock.sendall(raw[start : start + 7])
        # The client reads each piece by itself.
        await curio.sleep(0)
    await connection.wait_closed()


async def never_read(server, connection, head):
    """Neither read the upload nor answer."""
    await curio.sleep(IDLE_SECONDS)


def let_writes_stall(monkeypatch):
    """Let only a deadline end a write to a peer that doesn't read."""
    monkeypatch.setattr(transport, 'WRITE_STALL_SECONDS', IDLE_SECONDS)
    milliseconds = int(IDLE_SECONDS * 1000)
    monkeypatch.setattr(sockets, 'USER_TIMEOUT_MILLISECONDS', milliseconds)


def once(script):
    """Return a script that is used for one request only."""
    remaining = [script]

    async def choose(server, connection, head):
        if remaining:
            await remaining.pop()(server, connection, head)
            return
        request = base.ReceivedRequest(head, await read_upload(connection))
        await server.answer(connection, request)

    return choose


def set_script(site, script):
    """Let all endpoints of a site use a script."""
    for runner in site.runners.values():
        runner.default_script = script


def has_part(forwarder):
    """Return whether a part of the body of an answer was read."""
    return any(
        exchange.connection.h11.their_state is h11.SEND_BODY
        and not exchange.connection.has_input()
        for exchange in forwarder.exchanges.values()
    )


def on_site(test):
    """Decorator that runs a coroutine test on a site that answers early."""

    @fakes.in_kernel
    @functools.wraps(test)
    async def run(self, **others):
        services = {'app-1': 'app', 'app-2': 'app', 'llm-1': 'llm'}
        services['llm-2'] = 'llm'
        site = standins.Site(
            [EarlyRunner(name, services[name]) for name in services]
        )
        limits = {'idleTimeoutMs': 5000, 'maxBodyBytes': 2 * SIZES[-1]}
        await site.start(standins.configuration(limits=limits))
        try:
            await test(self, site, **others)
        finally:
            await site.stop()

    # pytest takes no fixture for the site.
    del run.__wrapped__
    run.__signature__ = without_site(test)
    return run


def without_site(test):
    """Return the signature of a test without the site."""
    signature = inspect.signature(test)
    parameters = [
        parameter
        for name, parameter in signature.parameters.items()
        if name != 'site'
    ]
    return signature.replace(parameters=parameters)
