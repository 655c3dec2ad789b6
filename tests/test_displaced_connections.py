"""Connections that give their place at a full listener to a new one."""

import contextlib
import dataclasses

import curio
import pytest

from celeryward import client_waits
from celeryward import connection_limits
from celeryward import open_connections
from celeryward import paced_input
from celeryward import registry
from tests import fakes
from tests import test_paced_requests as paced

# No request of these clients is idle for so long that it makes room.
WAIT_SECONDS = open_connections.MIN_WAIT_SECONDS + 0.4
PLACES = paced.LIMITS.total
POST = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 90000\r\n\r\n'
# What clients send that make no progress then.
STALLED = {
    'half head': paced.REQUEST[:-2],
    'half body': POST + bytes(100),
    'pipelined requests': paced.REQUEST * 2000,
}
# Time that the server gives a body.
BODY_SECONDS = 10.0
STEP_SECONDS = 0.05
PROGRESS = registry.Registry('client that goes on')


@pytest.fixture(autouse=True)
def long_writes(monkeypatch):
    """Let no write end a connection before a new one needs its place."""
    limits = dataclasses.replace(paced.LIMITS, write_seconds=20.0)
    monkeypatch.setattr(paced, 'LIMITS', limits)


@pytest.fixture
def short_stall(monkeypatch):
    """Let a client stand still for less within a response."""
    monkeypatch.setattr(client_waits, 'RESPONSE_STALL_SECONDS', 0.5)


async def fill(server, sent):
    """Return clients that hold all places and have sent something."""
    clients = [await server.connect() for _ in range(PLACES)]
    for sock in clients:
        async with curio.ignore_after(0.2):
            await sock.sendall(sent)
    return clients


async def answer_of_new_client(server):
    """Return what a new client receives."""
    sock = await server.connect()
    # A refused connection may be reset while the request is sent.
    with contextlib.suppress(OSError):
        await sock.sendall(paced.LAST_REQUEST)
    return await paced.read_to_end(sock)


class TestClientsWithoutProgress:
    """Guards against clients that hold all places and keep others out."""

    @pytest.mark.parametrize('sent', STALLED.values(), ids=STALLED)
    @fakes.in_kernel
    async def test_new_connection_takes_the_place(self, sent):
        async with paced.serving(5000, BODY_SECONDS) as server:
            clients = await fill(server, sent)
            await curio.sleep(WAIT_SECONDS)
            received = await answer_of_new_client(server)
            assert received.startswith(b'HTTP/1.1 200')
            assert len(server.causes) == 1
            for sock in clients:
                await sock.close()

    @fakes.in_kernel
    async def test_unread_rest_of_a_response_makes_room(self, short_stall):
        async with paced.serving(paced.LONG_BYTES) as server:
            clients = await fill(server, paced.REQUEST)
            await curio.sleep(WAIT_SECONDS)
            # The first look begins to measure.
            await answer_of_new_client(server)
            await curio.sleep(0.6)
            sock = await server.connect()
            await sock.sendall(paced.REQUEST)
            assert (await sock.recv(12)) == b'HTTP/1.1 200'
            assert server.causes[-1] == 'unread'
            for each in (sock, *clients):
                await each.close()

    @pytest.mark.parametrize('begun', ('half head', 'half body'))
    @fakes.in_kernel
    async def test_displaced_request_is_refused_as_not_run(self, begun):
        async with paced.serving(100, BODY_SECONDS) as server:
            clients = await fill(server, STALLED[begun])
            await curio.sleep(WAIT_SECONDS)
            await answer_of_new_client(server)
            assert server.answered == 1
            assert server.causes == ['slow']
            async with curio.ignore_after(2.0):
                # The one that has waited for longest is closed.
                received = await paced.read_to_end(clients[0])
            assert received.startswith(b'HTTP/1.1 503')
            assert b'\r\nretry-after: ' in received
            for sock in clients:
                await sock.close()


@PROGRESS.register('body')
async def send_body(sock):
    """Send a long body slowly, but fast enough."""
    await sock.sendall(POST)
    for _ in range(90):
        await sock.sendall(bytes(1000))
        await curio.sleep(STEP_SECONDS)


@PROGRESS.register('response')
async def read_response(sock):
    """Read a long response slowly."""
    await sock.sendall(paced.REQUEST)
    while await sock.recv(4096):
        await curio.sleep(STEP_SECONDS)


@PROGRESS.register('pipelined responses')
async def read_responses(sock):
    """Send requests ahead, and read their responses slowly."""
    await sock.sendall(paced.REQUEST * 10)
    while await sock.recv(4096):
        await curio.sleep(STEP_SECONDS)


class TestRequestsAhead:
    """Guards against clients whose many requests keep others waiting."""

    @fakes.in_kernel
    async def test_client_that_sends_on_gives_its_place(self):
        """It reads each response, so that it never stalls."""
        async with paced.serving(100, BODY_SECONDS) as server:
            clients = [await server.connect() for _ in range(PLACES)]
            tasks = [
                await curio.spawn(send_on_and_read, sock) for sock in clients
            ]
            await curio.sleep(WAIT_SECONDS)
            received = await answer_of_new_client(server)
            assert received.startswith(b'HTTP/1.1 200')
            assert server.causes == ['ahead']
            for task in tasks:
                await task.cancel()
            for sock in clients:
                await sock.close()


async def send_on_and_read(sock):
    """Send requests without end, and read their responses."""
    reading = await curio.spawn(paced.read_to_end, sock, daemon=True)
    try:
        with contextlib.suppress(OSError):
            while True:
                await sock.sendall(paced.REQUEST * 1000)
    finally:
        await reading.cancel()


class TestClientsWithProgress:
    """Guards against closes that cut a slow but sound client off."""

    @pytest.mark.parametrize('kind', PROGRESS.entries)
    @fakes.in_kernel
    async def test_its_place_is_kept(self, short_stall, kind):
        async with paced.serving(300_000, BODY_SECONDS) as server:
            clients = [await server.connect() for _ in range(PLACES)]
            tasks = [
                await curio.spawn(PROGRESS.get(kind), sock) for sock in clients
            ]
            await curio.sleep(WAIT_SECONDS)
            for _ in range(8):
                refused = await answer_of_new_client(server)
                assert refused.startswith(b'HTTP/1.1 503')
                await curio.sleep(2 * STEP_SECONDS)
            assert set(server.causes) == {'address'}
            for task in tasks:
                assert not task.terminated
                await task.cancel()
            for sock in clients:
                await sock.close()


class TestStandstill:
    """Guards against requests that are taken for slow after a pause."""

    @fakes.in_kernel
    async def test_pause_of_the_process_is_not_counted(self, monkeypatch):
        clock = fakes.CallableClock(10.0)
        monkeypatch.setattr(client_waits.awake_clock, 'CLOCK', clock)
        connection = await self.connection_that_waits()
        assert client_waits.close_reason(connection) == ''
        clock.now += client_waits.REQUEST_SECONDS
        assert client_waits.close_reason(connection) == 'slow'
        connection.bytes_read += 10_000
        assert client_waits.close_reason(connection) == ''

    async def connection_that_waits(self):
        """Return a connection of which half a head was read."""
        own, _ = curio.socket.socketpair()
        connection = paced_input.PacedInput(own, 'client')
        connection.begin_wait(client_waits.Wait.REST)
        return connection

    def test_limits_leave_time_for_a_request(self):
        assert (
            client_waits.REQUEST_SECONDS >= open_connections.MIN_WAIT_SECONDS
        )
        assert connection_limits.RETRY_SECONDS[0] >= 1.0
