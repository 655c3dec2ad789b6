"""Heads of endpoints that a router writes again to its callers."""

import socket

import curio
import h11
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import responses
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import fakes

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
