"""Receive buffers of connections with limits, and the account of memory."""

import contextlib
import socket

import curio
import pytest

from celeryward import bodies
from celeryward import connection_limits
from celeryward import http
from celeryward import listener
from celeryward import memory_account
from celeryward import receive_buffers
from celeryward import sockets
from tests import fakes

LIMITS = connection_limits.ListenerLimits(8, 8)
# The kernel keeps up to one and a half times the size of the buffer.
MOST_UNREAD = LIMITS.unread_input_bytes * 3 // 2
LONG_BYTES = 4 * 1024 * 1024


@contextlib.asynccontextmanager
async def serving(handler):
    """Yield a started listener that doesn't read by itself."""
    made = listener.Listener('127.0.0.1', 0, handler, LIMITS)
    await made.start()
    try:
        yield made
    finally:
        await made.stop_accepting()


async def wait_without_reading(connection):
    """Keep a connection open."""
    await curio.Event().wait()


async def fill(port):
    """Return a connected socket that has sent what its peer has room for."""
    sock = socket.create_connection(('127.0.0.1', port))
    sock.setblocking(False)
    for _ in range(10):
        with contextlib.suppress(BlockingIOError):
            while True:
                sock.send(bytes(65536))
        await curio.sleep(0.01)
    return sock


class TestUnreadInput:
    """Guards against a kernel that keeps much for each connection."""

    @fakes.in_kernel
    async def test_input_of_accepted_connections_is_bounded(self):
        accepted = []

        async def handle(connection):
            accepted.append(connection)
            await wait_without_reading(connection)

        async with serving(handle) as made:
            sock = await fill(made.port)
            assert sockets.query_unread(accepted[0].sock) <= MOST_UNREAD
            sock.close()

    @fakes.in_kernel
    async def test_input_of_waiting_connections_is_bounded(self):
        async with serving(wait_without_reading) as made:
            await made.accept_task.cancel()
            sock = await fill(made.port)
            accepted, _ = await made.sock.accept()
            assert sockets.query_unread(accepted) <= MOST_UNREAD
            sock.close()


class Connection:
    """A connection as the account of large buffers sees it."""

    def __init__(self, length):
        self.stated_length = length
        self.limits = LIMITS
        self.sock = socket.socket()

    @property
    def size(self):
        """The size of the receive buffer, which the kernel doubles."""
        return self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) // 2


class TestLargeBuffers:
    """Guards against slow uploads, and buffers that many connections keep."""

    @pytest.fixture
    def buffers(self):
        return receive_buffers.LargeBuffers(2)

    @pytest.mark.parametrize('length', (LONG_BYTES, None))
    def test_long_body_and_one_without_a_length_get_one(self, buffers, length):
        connection = Connection(length)
        buffers.begin_body(connection)
        assert connection.size == memory_account.LARGE_BUFFER_BYTES

    @pytest.mark.parametrize(
        'headers,length',
        (
            ({}, 0),
            ({'content-length': '9'}, 9),
            ({'transfer-encoding': 'chunked'}, None),
        ),
    )
    def test_request_without_a_body_has_no_long_one(self, headers, length):
        """Each GET searched all connections for a large buffer."""
        assert bodies.request_length(headers) == length

    def test_short_body_gets_none(self, buffers):
        buffers.begin_body(Connection(1000))
        assert not buffers.connections

    def test_bodies_that_are_read_keep_theirs(self, buffers):
        for _ in range(3):
            buffers.begin_body(Connection(LONG_BYTES))
        assert len(buffers.connections) == 2

    def test_connection_whose_body_was_read_first_gives_its_buffer(
        self, buffers
    ):
        first, second, third = (Connection(LONG_BYTES) for _ in range(3))
        for each in (first, second):
            buffers.begin_body(each)
            buffers.end_body(each)
        buffers.begin_body(first)
        buffers.end_body(first)
        buffers.begin_body(third)
        assert list(buffers.connections) == [first, third]
        assert second.size == LIMITS.unread_input_bytes

    @fakes.in_kernel
    async def test_closed_connection_is_not_counted(self):
        async def handle(connection):
            await connection.receive_request(http.deadlines.NEVER)
            await connection.receive_body('read', http.deadlines.NEVER)

        async with serving(handle) as made:
            sock = socket.create_connection(('127.0.0.1', made.port))
            sock.sendall(
                b'POST / HTTP/1.1\r\nhost: x\r\n'
                b'content-length: %d\r\n\r\n' % LONG_BYTES
            )
            large = receive_buffers.LARGE_BUFFERS
            while not large.connections:
                await curio.sleep(0.01)
            sock.close()
            while large.connections:
                await curio.sleep(0.01)


class TestMemoryAccount:
    """Guards against parts that together exceed the memory of a host."""

    @pytest.mark.parametrize('megabytes', (160.0, 300.0, 440.0, 552.0))
    def test_all_parts_are_within_the_host(self, megabytes):
        account = memory_account.derive(megabytes)
        buffers = account.large_buffers * memory_account.LARGE_BUFFER_BYTES
        held = account.request_bytes + account.answer_bytes + buffers * 1.5
        left = megabytes - memory_account.OWN_MEGABYTES
        assert held < left * memory_account.MEGABYTE / 2

    def test_unknown_host_has_the_largest_parts(self):
        assert memory_account.derive(0.0) == memory_account.MemoryAccount()
