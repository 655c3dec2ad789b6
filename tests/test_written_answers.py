"""Answers that a router writes to callers that are slow, old or stalled."""

import contextlib
import signal
import socket
import subprocess
import time

import curio
import h11
import pytest

from celeryward.callers import server
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import sockets
from celeryward import transport
from tests import fakes
from tests import platform_standins as standins
from tests import test_pauses

# More than the kernel buffers for a caller with a small receive window.
LARGE_BODY = b'x' * (12 * 1024 * 1024)
SMALL_WINDOW_BYTES = 2048


@pytest.fixture
def site():
    return standins.default_site()


async def connect_slow(address):
    """Open a connection with a small receive window."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    await sock.connect(address)
    return http.Connection(sock, h11.CLIENT, 'router')


def router_address(site):
    """Return the address for callers of a router in this process."""
    return '127.0.0.1', site.router.listeners.callers.port


async def send_only(connection, path, method='GET', **headers):
    """Send a request without reading the response."""
    lines = standins.request_headers(path, **headers)
    await http.send_request(connection, method, path, lines, b'')


async def read_answer(connection):
    """Read an answer as a caller would; return its status and body."""
    deadline = deadlines.Deadline.after(10.0)
    head = await connection.receive_response(deadline)
    return head.status, await connection.receive_body('read body', deadline)


async def read_to_end(sock):
    """Return all bytes until the end of a connection."""
    received = []
    while data := await sock.recv(65536):
        received.append(data)
    return b''.join(received)


async def send_large_answer(runner, connection, arrival):
    """Send more than a slow caller takes."""
    await http.send_response(
        connection, 200, runner.response_headers(arrival), LARGE_BODY
    )


async def send_large_events(runner, connection, arrival):
    """Send events without end."""
    head = runner.response_headers(
        arrival,
        **{
            'content-type': 'text/event-stream',
            'transfer-encoding': 'chunked',
        },
    )
    lines = http.encode_headers(head)
    await connection.send(
        'answer', h11.Response(status_code=200, headers=lines)
    )
    number = int(arrival.head.headers.get('last-event-id', '0'))
    while True:
        number += 1
        event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 50000)
        await connection.send('answer', h11.Data(data=event))
        await curio.sleep(0)


async def break_stream(runner, connection, arrival):
    """Send two events and break off."""
    await standins.send_stream(runner, connection, arrival, last_event=2)


def set_actions(site, action):
    """Let all endpoints take an action for each request."""
    for runner in site.runners.values():
        runner.default_action = action


async def read_old_answer(site, path):
    """Send a request of HTTP/1.0; return what arrives, and how it ends."""
    headers = standins.request_headers(path)
    lines = ''.join(f'{name}: {headers[name]}\r\n' for name in headers)
    sock = await curio.open_connection(*router_address(site))
    await sock.sendall(f'GET {path} HTTP/1.0\r\n{lines}\r\n'.encode())
    received = b''
    try:
        while data := await sock.recv(65536):
            received += data
        return received, 'end'
    except ConnectionResetError:
        return received, 'reset'
    finally:
        await sock.close()


class TestOldCallers:
    """Guards against answers without a frame that look whole when cut."""

    @pytest.mark.parametrize('path', ('/stream/x', '/rigid/x'))
    @standins.on_site
    async def test_broken_stream_does_not_end_as_whole(self, site, path):
        set_actions(site, break_stream)
        received, end = await read_old_answer(site, path)
        assert received.startswith(b'HTTP/1.1 200')
        assert not received.endswith(standins.event(4))
        assert end == 'reset'

    @standins.on_site
    async def test_whole_stream_ends_as_whole(self, site):
        received, end = await read_old_answer(site, '/stream/x')
        assert received.endswith(standins.events(4))
        assert end == 'end'

    @standins.on_site
    async def test_whole_answer_states_its_length(self, site):
        received, end = await read_old_answer(site, '/whole/x')
        assert b'content-length: 12' in received.lower()
        assert received.endswith(b'whole answer') and end == 'end'


class TestKilledProcess:
    """Guards against an orderly end of connections of a killed process."""

    def test_connection_is_reset(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            caller = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        sockets.reset_on_close(accepted, True)
        holder = subprocess.Popen(
            ('sleep', '60'), pass_fds=(accepted.fileno(),)
        )
        accepted.sendall(b'part')
        accepted.close()
        holder.kill()
        holder.wait()
        caller.settimeout(5.0)
        with caller, pytest.raises(ConnectionResetError):
            while caller.recv(100):
                continue


class TestStalledCallers:
    """Guards against callers that don't read and hold others up."""

    STALL_SECONDS = 0.5

    @pytest.mark.parametrize(
        ('path', 'action'),
        (
            ('/whole/x', send_large_answer),
            ('/once/x', send_large_answer),
            ('/stream/x', send_large_events),
        ),
    )
    @standins.on_site
    async def test_stalled_caller_is_left(
        self, site, path, action, monkeypatch
    ):
        monkeypatch.setattr(
            transport, 'WRITE_STALL_SECONDS', self.STALL_SECONDS
        )
        set_actions(site, action)
        connection = await connect_slow(router_address(site))
        await send_only(connection, path)
        await standins.wait_until(site.arrivals)
        set_actions(site, standins.send_default_response)
        for number in range(5):
            started = time.monotonic()
            head, _ = await site.request('/whole/x', request_id=f'r{number}')
            assert head.status == 200
            assert time.monotonic() - started < 1.0
        await standins.wait_until(lambda: not site.router.gateway.active, 5.0)
        assert not any(site.router.outcomes.in_flight.values())
        with pytest.raises(http.Disconnected):
            await read_answer(connection)
        await connection.close()

    @standins.on_site
    async def test_caller_that_reads_slowly_gets_its_whole_answer(self, site):
        connection = await connect_slow(router_address(site))
        await send_only(connection, '/whole/x')
        received = b''
        while not received.endswith(b'whole answer'):
            received += await connection.sock.recv(1)
            await curio.sleep(0.001)
        assert received.startswith(b'HTTP/1.1 200')
        await connection.close()

    @standins.on_site
    async def test_caller_that_reads_slowly_is_not_left(
        self, site, monkeypatch
    ):
        monkeypatch.setattr(
            transport, 'WRITE_STALL_SECONDS', self.STALL_SECONDS
        )
        set_actions(site, send_large_answer)
        connection = await site.connect()
        await send_only(connection, '/whole/x')
        received = 0
        while received < len(LARGE_BODY):
            data = await connection.sock.recv(65536)
            assert data
            received += len(data)
            await curio.sleep(0.02)
        await connection.close()


async def read_cut(raw, position):
    """Read the first bytes of an answer as a caller would."""
    near, far = curio.socket.socketpair()
    async with near, far:
        connection = http.Connection(near, h11.CLIENT, 'router')
        await http.send_request(connection, 'GET', '/', {}, b'')
        await far.sendall(raw[:position])
        await far.shutdown(socket.SHUT_WR)
        return await read_answer(connection)


class TestCutOutput:
    """Guards against answers that look whole when the router is cut off."""

    @pytest.mark.parametrize(
        ('path', 'status'),
        (('/whole/x', 200), ('/stream/x', 200), ('/nowhere/x', 404)),
    )
    @standins.on_site
    async def test_no_part_of_an_answer_is_whole(self, site, path, status):
        headers = standins.request_headers(path, connection='close')
        lines = ''.join(f'{name}: {headers[name]}\r\n' for name in headers)
        sock = await curio.open_connection(*router_address(site))
        await sock.sendall(f'GET {path} HTTP/1.1\r\n{lines}\r\n'.encode())
        raw = await read_to_end(sock)
        await sock.close()
        assert (await read_cut(raw, len(raw)))[0] == status
        for position in range(len(raw)):
            with pytest.raises(http.Disconnected):
                await read_cut(raw, position)


class TestKilledRouter:
    """Guards against answers that look whole after a router was killed."""

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x'))
    def test_answer_is_recognisable_as_cut(self, run, tmp_path, path):
        async def test():
            site = test_pauses.PausedSite(tmp_path / 'settings.toml')
            try:
                await site.start()
                site.runner.default_action = send_large_answer
                connection = await connect_slow(test_pauses.ADDRESS)
                await send_only(connection, path)
                await curio.sleep(0.5)
                site.program.send_signal(signal.SIGKILL)
                with pytest.raises(http.Disconnected):
                    await read_answer(connection)
                await connection.close()
            finally:
                with contextlib.suppress(Exception):
                    await site.stop()

        run(test)


class TestInterruptedWrites:
    """Guards against messages that stand inside one that was cut off."""

    @fakes.in_kernel
    async def test_nothing_follows_a_piece_that_was_cut_off(self):
        near, far = curio.socket.socketpair()
        async with near, far:
            connection = http.Connection(near, h11.SERVER, 'caller')
            await far.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            deadline = deadlines.Deadline.after(1.0)
            await connection.receive_request(deadline)
            responder = server.Responder(connection, 'request-1')
            await responder.start_stream({})
            piece = await curio.spawn(responder.send, LARGE_BODY)
            await curio.sleep(0.1)
            reading = await curio.spawn(read_to_end, far)
            error = errors.OutcomeUnknown('stopped', step='stop', peer='-')
            with contextlib.suppress(errors.CallerDisconnected):
                await responder.send_error(error)
            await piece.join()
            await near.shutdown(socket.SHUT_WR)
            received = await reading.join()
            assert received.endswith(LARGE_BODY + b'\r\n')
