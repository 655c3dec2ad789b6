"""Answers of endpoints without a length that end with their connection."""

import contextlib
import socket

import pytest

from celeryward import http
from celeryward import sockets
from tests import platform_standins as standins

BODY = b'the answer of an endpoint'
EVENT_STREAM = b'text/event-stream'


@pytest.fixture
def site():
    return standins.default_site()


def unframed(body, end, sealed=True, content_type=b'text/plain'):
    """Return an action that writes a body without a length and ends.

    :param str end: ``close``, ``reset`` or ``half-close``.
    """

    async def action(runner, connection, arrival):
        lines = runner.response_headers(arrival) if sealed else {}
        head = b''.join(f'{n}: {lines[n]}\r\n'.encode() for n in lines)
        head += b'content-type: ' + content_type + b'\r\n'
        with contextlib.suppress(OSError):
            await connection.sock.sendall(
                b'HTTP/1.1 200 OK\r\n' + head + b'\r\n' + body
            )
        if end == 'reset':
            sockets.reset_on_close(connection.sock, True)
        if end == 'half-close':
            await connection.sock.shutdown(socket.SHUT_WR)
            await connection.wait_closed()
        raise http.Disconnected('ended', step='answer', peer='test')

    return action


def set_actions(site, action, first_only=False):
    """Let the endpoints take an action, each time or for one request."""
    remaining = [action]

    async def choose(runner, connection, arrival):
        chosen = action
        if first_only:
            default = standins.send_default_response
            chosen = remaining.pop() if remaining else default
        await chosen(runner, connection, arrival)

    for runner in site.runners.values():
        runner.default_action = choose


class TestWholeAnswers:
    """Guards against parts of answers that are relayed as whole."""

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x', '/stream/x'))
    @pytest.mark.parametrize('end', ('close', 'half-close'))
    @standins.on_site
    async def test_orderly_end_is_the_end_of_the_answer(self, site, path, end):
        set_actions(site, unframed(BODY, end))
        head, body = await site.request(path)
        assert (head.status, body) == (200, BODY)
        assert head.headers['content-length'] == str(len(BODY))

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x', '/stream/x'))
    @pytest.mark.parametrize('body', (b'', BODY[:9], BODY))
    @standins.on_site
    async def test_reset_is_no_end(self, site, path, body):
        set_actions(site, unframed(body, 'reset'))
        head, received = await site.request(path)
        assert (head.status, received) == (502, b'')

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x', '/stream/x'))
    @pytest.mark.parametrize('end', ('close', 'reset', 'half-close'))
    @standins.on_site
    async def test_unsigned_answer_is_not_relayed(self, site, path, end):
        set_actions(site, unframed(BODY, end, sealed=False))
        head, received = await site.request(path)
        assert (head.status, received) == (502, b'')

    @standins.on_site
    async def test_next_endpoint_gives_the_whole_answer(self, site):
        set_actions(site, unframed(BODY[:9], 'reset'), first_only=True)
        head, received = await site.request('/whole/x')
        assert (head.status, received) == (200, b'whole answer')


class TestStreams:
    """Guards against parts of streams that end as complete."""

    EVENTS = standins.events(2)

    @standins.on_site
    async def test_orderly_end_after_an_event_is_the_end(self, site):
        action = unframed(standins.events(4), 'close', True, EVENT_STREAM)
        set_actions(site, action)
        head, body = await site.request('/stream/x')
        assert (head.status, body) == (200, standins.events(4))

    @pytest.mark.parametrize(
        ('body', 'end'),
        (
            (EVENTS, 'reset'),
            (EVENTS + b'id: 3\nda', 'close'),
            (EVENTS + b'id: 3\ndata: x\n', 'half-close'),
            (b'', 'reset'),
            (b'id: 1\n', 'close'),
        ),
    )
    @pytest.mark.parametrize('path', ('/stream/x', '/rigid/x'))
    @standins.on_site
    async def test_cut_stream_does_not_end_as_complete(
        self, site, path, body, end
    ):
        set_actions(site, unframed(body, end, True, EVENT_STREAM))
        try:
            head, _ = await site.request(path)
        except http.Disconnected:
            return
        assert head.status == 502

    @standins.on_site
    async def test_cut_stream_goes_on_at_the_next_endpoint(self, site):
        body = self.EVENTS + b'id: 3\nda'
        action = unframed(body, 'close', True, EVENT_STREAM)
        set_actions(site, action, first_only=True)
        head, received = await site.request('/stream/x')
        assert (head.status, received) == (200, standins.events(4))

    @pytest.mark.parametrize('path', ('/stream/x', '/rigid/x'))
    @standins.on_site
    async def test_stream_without_an_event_is_not_complete(self, site, path):
        set_actions(site, unframed(b'', 'close', True, EVENT_STREAM))
        with pytest.raises(http.Disconnected):
            await site.request(path)

    @standins.on_site
    async def test_stream_without_an_event_goes_on_elsewhere(self, site):
        action = unframed(b'', 'close', True, EVENT_STREAM)
        set_actions(site, action, first_only=True)
        _, received = await site.request('/stream/x')
        assert received == standins.events(4)

    @standins.on_site
    async def test_rest_that_a_caller_asks_for_may_be_empty(self, site):
        set_actions(site, unframed(b'', 'close', True, EVENT_STREAM))
        head, received = await site.request('/stream/x', last_event_id='4')
        assert (head.status, received) == (200, b'')
