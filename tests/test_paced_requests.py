"""Connections with limits: what their clients may do, and what they lose."""

import contextlib
import socket
import time

import curio
import pytest

from celeryward import client_waits
from celeryward import closings
from celeryward import connection_limits
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import listener
from celeryward import open_connections
from celeryward import paced_input
from celeryward import router_settings
from celeryward import transport
from tests import fakes
from tests import platform_standins as standins

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
LAST_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
# More than the buffers of both kernels.
LONG_BYTES = 1_000_000
LIMITS = connection_limits.ListenerLimits(3, 3, write_seconds=0.5)


class Server:
    """A listener with limits, whose responses have a given size."""

    def __init__(self, size=100, read_seconds=1.0):
        self.size = size
        self.read_seconds = read_seconds
        self.answered = 0
        self.causes = []
        self.listener = listener.Listener(
            '127.0.0.1',
            0,
            self.handle,
            LIMITS,
            closings.Closings('test', lambda _, c: self.causes.append(c)),
        )

    async def handle(self, connection):
        async def answer(head):
            self.answered += 1
            await http.send_response(connection, 200, {}, bytes(self.size))

        await listener.serve_ignoring_bodies(
            connection, answer, 30.0, self.read_seconds
        )

    async def connect(self):
        """Return a socket whose kernel holds little that isn't read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(('127.0.0.1', self.listener.port))
        return curio.io.Socket(sock)


@contextlib.asynccontextmanager
async def serving(size=100, read_seconds=1.0):
    """Yield a started server."""
    server = Server(size, read_seconds)
    await server.listener.start()
    try:
        yield server
    finally:
        await server.listener.stop_accepting()
        await server.listener.drain(deadlines.Deadline.after(0.0))


async def read_to_end(sock, pause=0.0):
    """Return all that is received until the connection ends."""
    received = []
    while data := await sock.recv(65536):
        received.append(data)
        await curio.sleep(pause)
    return b''.join(received)


class TestLogOfClosings:
    """Guards against the end of a burst that is never logged."""

    @pytest.mark.parametrize('seconds', (0.0, 0.3))
    @fakes.in_kernel
    async def test_all_are_logged_after_a_while_or_at_the_stop(
        self, monkeypatch, seconds
    ):
        monkeypatch.setattr(closings, 'LOG_SECONDS', seconds or 60.0)
        lines = []
        sink = closings.logs.logger.add(lines.append, level='WARNING')
        try:
            async with serving() as server:
                connected = [await server.connect() for _ in range(13)]
                while len(server.causes) < 10:
                    await curio.sleep(0.01)
                await curio.sleep(2 * seconds)
                assert len(lines) == (2 if seconds else 1)
            for sock in connected:
                await sock.close()
        finally:
            closings.logs.logger.remove(sink)
        logged = [line.record['extra']['address'] for line in lines]
        assert logged == [1, 9]


class TestSoundClients:
    """Guards against limits that cost clients that read their responses."""

    @fakes.in_kernel
    async def test_pipelined_requests_are_answered_to_one_that_reads_late(
        self,
    ):
        async with serving(2000) as server:
            sock = await server.connect()
            await sock.sendall(REQUEST * 99 + LAST_REQUEST)
            await curio.sleep(1.0)
            assert server.answered < 100
            received = await read_to_end(sock)
            assert received.count(b'HTTP/1.1 200') == 100
            assert not server.causes

    @fakes.in_kernel
    async def test_slow_reader_gets_a_long_response_as_a_whole(self):
        """It reads for longer than the time of a write on its own."""
        async with serving(LONG_BYTES) as server:
            sock = await server.connect()
            started = time.monotonic()
            await sock.sendall(LAST_REQUEST)
            received = await read_to_end(sock, 0.01)
            assert len(received) > LONG_BYTES
            assert time.monotonic() - started > LIMITS.write_seconds

    @fakes.in_kernel
    async def test_connections_under_way_stay_and_a_new_one_is_refused(self):
        async with serving(LONG_BYTES) as server:
            busy = [await server.connect() for _ in range(3)]
            for sock in busy:
                await sock.sendall(LAST_REQUEST)
            while server.answered < 3:
                await curio.sleep(0.01)
            await curio.sleep(open_connections.MIN_WAIT_SECONDS)
            refused = await read_to_end(await server.connect())
            assert refused.startswith(b'HTTP/1.1 503 ')
            assert b'\r\nretry-after: ' in refused
            assert server.answered == 3 and server.causes == ['address']
            for sock in busy:
                assert len(await read_to_end(sock)) > LONG_BYTES

    @fakes.in_kernel
    async def test_idle_connection_makes_room_but_no_unread_response(self):
        async with serving(30_000) as server:
            unread = await server.connect()
            await unread.sendall(REQUEST)
            idle = [await server.connect() for _ in range(2)]
            await curio.sleep(open_connections.MIN_WAIT_SECONDS + 0.1)
            sock = await server.connect()
            await sock.sendall(LAST_REQUEST)
            assert (await read_to_end(sock)).startswith(b'HTTP/1.1 200')
            assert await idle[0].recv(1) == b''
            await unread.sendall(LAST_REQUEST)
            received = await read_to_end(unread)
            assert received.count(b'HTTP/1.1 200') == 2
            assert server.causes == ['idle']


async def send_before_eviction(server):
    """Send on three idle connections before a fourth is accepted."""
    idle = [await server.connect() for _ in range(3)]
    await curio.sleep(open_connections.MIN_WAIT_SECONDS + 0.1)
    new = await server.connect()
    for sock in (*idle, new):
        # Nothing here lets the task of the listener run.
        await sock.sendall(LAST_REQUEST)
    return [await read_to_end(sock) for sock in (*idle, new)]


class TestRequestsAtEviction:
    """Guards against requests that run while their responses are lost."""

    @fakes.in_kernel
    async def test_idle_connections_with_requests_that_arrived_stay(self):
        async with serving() as server:
            *answers, refused = await send_before_eviction(server)
            assert all(each.startswith(b'HTTP/1.1 200') for each in answers)
            assert refused.startswith(b'HTTP/1.1 503')
            assert server.causes == ['address'] and server.answered == 3

    @fakes.in_kernel
    async def test_request_that_arrives_after_the_check_has_not_run(
        self, monkeypatch
    ):
        monkeypatch.setattr(
            http.Connection, 'close_reason', lambda self: 'idle'
        )
        async with serving() as server:
            *answers, new = await send_before_eviction(server)
            assert new.startswith(b'HTTP/1.1 200')
            statuses = sorted(each[:12] for each in answers)
            assert statuses == [b'HTTP/1.1 200'] * 2 + [b'HTTP/1.1 503']
            assert server.causes == ['idle'] and server.answered == 3


class TestClientsThatDoNotRead:
    """Guards against what is kept for clients that read little or nothing."""

    @fakes.in_kernel
    async def test_no_further_request_is_read(self, monkeypatch):
        monkeypatch.setattr(paced_input, 'UNREAD_STALL_SECONDS', 0.5)
        async with serving(5000) as server:
            sock = await server.connect()
            await sock.sendall(REQUEST * 500)
            while not server.causes:
                await curio.sleep(0.01)
            # The buffer of the client's kernel holds one or two.
            assert server.answered < 10
            assert server.causes == ['unread']
            await sock.close()

    @fakes.in_kernel
    async def test_reader_below_the_least_rate_is_left(self, monkeypatch):
        monkeypatch.setattr(transport, 'MIN_READER_BYTES_PER_SECOND', 1e9)
        async with serving(LONG_BYTES) as server:
            sock = await server.connect()
            await sock.sendall(LAST_REQUEST)
            while not server.causes:
                await sock.recv(16384)
                await curio.sleep(0.02)
            assert server.causes == ['unread']
            await sock.close()

    @fakes.in_kernel
    async def test_idle_connections_that_read_nothing_make_room(
        self, monkeypatch
    ):
        monkeypatch.setattr(client_waits, 'RESPONSE_STALL_SECONDS', 0.5)
        async with serving(30_000) as server:
            unread = [await server.connect() for _ in range(3)]
            for sock in unread:
                await sock.sendall(REQUEST)
            await curio.sleep(open_connections.MIN_WAIT_SECONDS + 0.1)
            refused = await read_to_end(await server.connect())
            assert refused.startswith(b'HTTP/1.1 503 ')
            await curio.sleep(0.6)
            sock = await server.connect()
            await sock.sendall(LAST_REQUEST)
            assert (await read_to_end(sock)).startswith(b'HTTP/1.1 200')
            assert server.causes == ['address', 'unread']


class TestCallerThatLeaves:
    """Guards against work for callers that left behind unread requests."""

    @standins.on_site
    async def test_request_ends_with_more_input_waiting_than_is_read(
        self, site
    ):
        runner = site.runners['app-1']
        runner.default_action = standins.never_respond
        connection = await site.connect()
        head = standins.request_headers('/whole/x')
        lines = ''.join(f'{name}: {value}\r\n' for name, value in head.items())
        data = f'GET /whole/x HTTP/1.1\r\n{lines}\r\n'.encode()
        await connection.sock.sendall(data * 200)
        await standins.wait_until(lambda: runner.arrivals)
        await connection.close()
        await standins.wait_until(lambda: not site.router.gateway.active, 1.8)
        assert len(runner.arrivals) == 1


@pytest.fixture
def site():
    return standins.default_site()


class TestSettings:
    """Guards against limits that are out of range and found out later."""

    def test_router_does_not_start_with_a_limit_of_0(self):
        site = standins.Site([], router_settings.Tuning(router_connections=0))

        async def start():
            await site.store.start()
            try:
                await site.start_router()
            finally:
                await site.store.stop()

        with pytest.raises(errors.BadInput, match='router_connections: 0'):
            curio.run(start)
