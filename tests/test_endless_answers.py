"""Endpoints whose responses never end, in the head or in the body."""

import contextlib
import resource
import time

import curio
import pytest

from celeryward import deadlines
from celeryward.endpoints import protocol
from celeryward import errors
from celeryward import http
from celeryward import sockets
from tests import fakes
from tests import platform_standins as standins

PIECE = b'x' * 65536
HEAD = b'HTTP/1.1 200 OK\r\n'
# More than one response may take, and far less than a router may use.
MEMORY_BYTES = 48 * 1024 * 1024
# The deadline of the routes of the test site, and 1 s for a busy host.
DEADLINE_SECONDS = 2.0 + 1.0


def endless(start, piece=PIECE, pause=0.0, sealed=True):
    """Return an action that sends a piece until the connection closes.

    :param bytes start: sent first, before the signed header lines of the
        endpoint.
    :param bool sealed: whether those lines follow.
    """

    async def action(runner, connection, arrival):
        lines = b''
        if sealed:
            lines = b''.join(
                f'{name}: {value}\r\n'.encode()
                for name, value in runner.response_headers(arrival).items()
            )
        try:
            await connection.sock.sendall(start + lines)
            if sealed:
                await connection.sock.sendall(b'\r\n')
            while True:
                await connection.sock.sendall(piece)
                await curio.sleep(pause)
        except OSError as error:
            raise http.Disconnected(
                str(error), step='answer', peer='test'
            ) from error

    return action


async def send_bytewise(sock, data):
    """Send bytes so that the peer reads one at a time."""
    for position in range(len(data)):
        await sock.sendall(data[position : position + 1])
        await curio.sleep(0)


def chunk(data):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


CHUNKED = HEAD + b'transfer-encoding: chunked\r\n'
STREAM = CHUNKED + b'content-type: text/event-stream\r\n'
ENDLESS = {
    'no line': endless(b'', sealed=False),
    'header lines': endless(HEAD, b'a: b\r\n' * 1000, sealed=False),
    'slow header lines': endless(HEAD, b'a: b\r\n', 0.01, sealed=False),
    'interim answers': endless(
        b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100, sealed=False
    ),
    'body without length': endless(HEAD),
    'chunks': endless(CHUNKED, chunk(PIECE)),
    'slow chunks': endless(CHUNKED, chunk(b'x'), 0.01),
    'chunk that never begins': endless(CHUNKED, b'0'),
}


@pytest.fixture
def site():
    return standins.default_site()


def run_on_first_request(site, action):
    """Run an action for the first request at any endpoint."""
    arrived = []

    async def choose(runner, connection, arrival):
        arrived.append(arrival)
        chosen = (
            action if len(arrived) == 1 else standins.send_default_response
        )
        await chosen(runner, connection, arrival)

    for runner in site.runners.values():
        runner.default_action = choose


def grown_bytes(before):
    """Return by how many bytes the peak memory of this process has grown.

    :param int before: earlier peak in KiB.
    """
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return (peak - before) * 1024


async def wait_until_ended(site):
    """Wait until each endpoint has ended all its requests."""
    await standins.wait_until(
        lambda: all(
            len(runner.ended) == len(runner.arrivals)
            for runner in site.runners.values()
        ),
        1.0,
    )


class TestWholeAnswers:
    """Guards against endless responses that hold requests or memory."""

    @pytest.mark.parametrize('name', ENDLESS)
    @standins.on_site
    async def test_single_request_ends_in_time(self, site, name):
        for runner in site.runners.values():
            runner.default_action = ENDLESS[name]
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started = time.monotonic()
        head, _ = await site.request('/once/x', method='POST')
        assert head.status in (502, 504)
        assert time.monotonic() - started < DEADLINE_SECONDS
        assert grown_bytes(before) < MEMORY_BYTES
        await wait_until_ended(site)

    @pytest.mark.parametrize('name', ENDLESS)
    @standins.on_site
    async def test_repeatable_request_is_served_elsewhere(self, site, name):
        run_on_first_request(site, ENDLESS[name])
        _, body = await site.request('/whole/x')
        assert body == b'whole answer'
        await wait_until_ended(site)

    @standins.on_site
    async def test_others_are_served_meanwhile(self, site):
        site.runners['app-1'].default_action = ENDLESS['chunks']
        site.runners['app-2'].default_action = ENDLESS['interim answers']
        requests = [
            await curio.spawn(site.request, '/once/x', 'POST', daemon=True)
            for _ in range(6)
        ]
        for _ in range(5):
            started = time.monotonic()
            head, _ = await site.request('/stream/x', method='POST')
            assert head.status == 200
            assert time.monotonic() - started < 1.0
        for task in requests:
            head, _ = await task.join()
            assert head.status in (502, 504)


class TestStreams:
    """Guards against streams that send bytes but no complete event."""

    @pytest.mark.parametrize(
        'action',
        (
            endless(STREAM, chunk(PIECE)),
            endless(STREAM, chunk(b'x'), 0.01),
            endless(STREAM, chunk(b'id: 1\n'), 0.01),
        ),
        ids=('fast', 'slow', 'never a whole event'),
    )
    @standins.on_site
    async def test_stream_is_resumed_elsewhere(self, site, action):
        run_on_first_request(site, action)
        head, body = await site.request('/stream/x', method='POST')
        assert head.status == 200
        assert body == standins.events(4)
        await wait_until_ended(site)


class TestStore:
    """Guards against a response of the store that never ends."""

    @standins.on_site
    async def test_watch_that_never_ends_counts_as_an_outage(self, site):
        answer = site.store.answer

        async def go_on(connection, received):
            if 'config' not in received.head.target:
                await answer(connection, received)
                return
            try:
                await connection.sock.sendall(CHUNKED + b'\r\n')
                while True:
                    await connection.sock.sendall(chunk(b' ' * 4096))
                    await curio.sleep(0.01)
            except OSError as error:
                raise http.Disconnected(
                    str(error), step='store', peer='test'
                ) from error

        site.store.answer = go_on
        first = site.router.view.watchers[0]
        await standins.wait_until(lambda: not first.reachable, 3.0)
        site.store.answer = answer
        await standins.wait_until(lambda: first.reachable, 3.0)


class TestDaemonProtocol:
    """Guards against endless events and bodies in the daemon's protocol."""

    def test_event_without_an_end_is_refused(self):
        splitter = protocol.EventSplitter('peer')
        with pytest.raises(errors.AnswerInvalid):
            for _ in range(100):
                splitter.split(PIECE)

    @fakes.in_kernel
    async def test_input_without_end_is_not_read_beyond_the_deadline(self):
        near, far = curio.socket.socketpair()
        past = deadlines.Deadline.after(0.0)
        async with near, far:
            await far.sendall(PIECE[:100])
            connection = http.Connection(near, http.h11.CLIENT, 'peer')
            # What had arrived by then is read once, and nothing later.
            assert await connection.read('read', past) == PIECE[:100]
            await far.sendall(PIECE[:100])
            with pytest.raises(http.ReadTimeout):
                await connection.read('read', past)

    @fakes.in_kernel
    async def test_peer_that_never_pauses_is_left_at_the_deadline(self):
        near, far = curio.socket.socketpair()
        past = deadlines.Deadline.after(0.0)

        async def send_on():
            while True:
                await far.sendall(PIECE)

        async with near, far:
            sending = await curio.spawn(send_on)
            await curio.sleep(0.05)
            connection = http.Connection(near, http.h11.CLIENT, 'peer')
            held = sockets.count_readable(near)
            with pytest.raises(http.ReadTimeout):
                while True:
                    await connection.read('read', past)
            assert connection.bytes_read == held > 0
            await sending.cancel()

    @pytest.mark.parametrize(
        'start',
        (b'', b'1\r\nx\r\n', b'1;', b'0\r\n', b'0\r\na: b\r\n'),
        ids=('size', 'later size', 'extension', 'trailer', 'later trailer'),
    )
    @fakes.in_kernel
    async def test_line_of_a_body_without_an_end_is_refused_early(self, start):
        """Each byte cost a read, up to the 32 KB of the longest head."""
        near, far = curio.socket.socketpair()
        async with near, far:
            connection = http.Connection(near, http.h11.CLIENT, 'peer')
            await http.send_request(connection, 'GET', '/', {}, b'')
            line = b'0' * (http.MAX_BODY_LINE_BYTES + 1)
            await far.sendall(CHUNKED + b'\r\n' + start + line)
            soon = deadlines.Deadline.after(1.0)
            await connection.receive_response(soon)
            with pytest.raises(errors.ProtocolError):
                await connection.receive_body('read', soon)

    @pytest.mark.parametrize('end', (b'0\r\n\r\n', b'0\r\na: b\r\n\r\n'))
    @fakes.in_kernel
    async def test_long_lines_of_a_body_are_read_in_any_pieces(self, end):
        near, far = curio.socket.socketpair()
        async with near, far:
            connection = http.Connection(near, http.h11.CLIENT, 'peer')
            await http.send_request(connection, 'GET', '/', {}, b'')
            body = b'1;a=%s\r\nx\r\n' % (b'y' * 4000) + end
            sending = await curio.spawn(
                send_bytewise, far, CHUNKED + b'\r\n' + body
            )
            soon = deadlines.Deadline.after(5.0)
            await connection.receive_response(soon)
            assert await connection.receive_body('read', soon) == b'x'
            await sending.join()

    @fakes.in_kernel
    async def test_draining_an_endless_body_ends(self):
        """Such a body delayed the last chunk of a complete answer."""

        async def go_on():
            while True:
                yield PIECE

        async with contextlib.aclosing(go_on()) as pieces:
            async with curio.timeout_after(1.0):
                await protocol.drain_body(pieces)
