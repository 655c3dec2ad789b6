"""Answers that a router writes to callers that are slow, old or stalled."""

import contextlib
import signal
import socket
import subprocess
import time

import curio
import h11
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import responses
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
    return '127.0.0.1', site.router.caller_listener.port


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
        await standins.wait_until(lambda: site.router.gateway.active)
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


HEADER_NAMES = (
    b'a',
    b'Connection',
    b'Content-Length',
    b'content-length',
    b'Transfer-Encoding',
    b'Upgrade',
    b'x!#$',
)
HEADER_VALUES = (
    b'',
    b'5',
    b'5, 5',
    b'05',
    b'99999999999999999999',
    b'chunked',
    b'Chunked',
    b'identity',
    b'close, content-length',
    b'upgrade',
    b'a\r\n folded',
    b'a\x0bb',
    b'\x1c\x7f',
    b'\xa0\xff',
    b'a\rb',
)
STATUSES = (b'200', b'201', b'204', b'205', b'304', b'404', b'599', b'999')
FRAMES = (b'', b'hello', b'5\r\nhello\r\n0\r\n\r\n')


def heads():
    """Return a strategy for answers of endpoints with odd heads."""
    line = strategies.tuples(
        strategies.sampled_from(HEADER_NAMES),
        strategies.sampled_from((b':', b': ', b':\t', b' : ')),
        strategies.sampled_from(HEADER_VALUES) | strategies.binary(max_size=5),
        strategies.sampled_from((b'\r\n', b'\n')),
    ).map(b''.join)
    return strategies.builds(
        lambda version, status, reason, lines, body: (
            b''.join(
                (b'HTTP/', version, b' ', status, reason, b'\r\n', *lines)
            )
            + b'\r\n'
            + body
        ),
        strategies.sampled_from((b'1.1', b'1.0')),
        strategies.sampled_from(STATUSES),
        strategies.sampled_from((b'', b' ', b' OK', b' \xff')),
        strategies.lists(line, max_size=4),
        strategies.sampled_from(FRAMES),
    )


async def read_raw(raw, method):
    """Return head and body of an answer; None if it isn't accepted."""
    near, far = curio.socket.socketpair()
    async with near, far:
        connection = http.Connection(near, h11.CLIENT, 'endpoint')
        await http.send_request(connection, method, '/', {}, b'')
        await far.sendall(raw)
        await far.shutdown(socket.SHUT_WR)
        deadline = deadlines.Deadline.after(1.0)
        try:
            head = await connection.receive_response(deadline)
            return head, await connection.receive_body('read', deadline)
        except http.EXCHANGE_ERRORS:
            return None


async def relay(head, body, method, streamed):
    """Return what a caller gets for an answer of an endpoint."""
    near, far = curio.socket.socketpair()
    async with near, far:
        caller = http.Connection(far, h11.CLIENT, 'router')
        await http.send_request(caller, method, '/', {}, b'')
        connection = http.Connection(near, h11.SERVER, 'caller')
        deadline = deadlines.Deadline.after(1.0)
        await connection.receive_request(deadline)
        responder = responses.Responder(connection, method)
        try:
            if streamed:
                await responder.start_stream(head)
                await responder.send(body)
                await responder.finish()
            else:
                await responder.send_response(head, body)
        except errors.OutcomeUnknown as error:
            await responder.send_error(error)
        assert responder.finished
        found = await caller.receive_response(deadline)
        return found.status, await caller.receive_body('read', deadline)


class TestHeads:
    """Guards against answers that can't be written and get no error."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        heads(), strategies.sampled_from(('GET', 'HEAD', 'POST'))
    )
    def test_accepted_answer_is_relayed(self, raw, method):
        async def test():
            accepted = await read_raw(raw, method)
            if accepted is None:
                return
            head, body = accepted
            for streamed in {False, head.status == 200}:
                found = await relay(head, body, method, streamed)
                assert found == (head.status, body)

        curio.run(test)

    @pytest.mark.parametrize(
        'line',
        (
            (b'a b', b'x'),
            (b'', b'x'),
            (b'a', b'x\r\ny'),
            (b'a', b'x '),
            (b'a', b'\x00'),
        ),
    )
    @pytest.mark.parametrize('streamed', (False, True))
    @fakes.in_kernel
    async def test_refused_head_becomes_an_error(self, line, streamed):
        """The connection was closed without an answer."""
        head = http.Response(200, {}, (line,))
        found = await relay(head, b'hello', 'GET', streamed)
        assert found == (502, b'')
