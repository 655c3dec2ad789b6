"""Streams that broke off, and what the next endpoint sends instead."""

import curio
import pytest

from celeryward import http
from tests import platform_standins as standins

SSE = 'text/event-stream'
ERROR_TEXT = b'internal error'
ERROR_HEAD = b'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n'
ERROR_EVENT = b'event: error\ndata: internal error\n\n'


def respond(status, body=b'', seal=True, **headers):
    """Return an action that sends a fixed answer in one piece."""
    return standins.respond_with(status, body, seal, **headers)


def break_off(last, partial=b''):
    """Return an action that breaks the stream off after an event."""

    async def action(runner, connection, arrival):
        await standins.send_stream(runner, connection, arrival, last, partial)

    return action


# What the next endpoint sends instead of the rest of the stream.
INSTEAD_OF_THE_REST = {
    '500': respond(500, ERROR_TEXT),
    '500 unsigned': respond(500, ERROR_TEXT, seal=False),
    '400': respond(400, ERROR_TEXT),
    '404': respond(404, ERROR_TEXT),
    '429': respond(429, ERROR_TEXT, celeryward_not_executed='1'),
    '503': respond(503, ERROR_TEXT, celeryward_not_executed='1'),
    '503 that ran': respond(503, ERROR_TEXT),
    '302': respond(302, ERROR_TEXT, location='/other'),
    '200 with a text': respond(200, ERROR_TEXT, content_type='text/plain'),
    '200 with a text of blocks': respond(
        200, b'id: 3\ninternal error\n\n', content_type='text/plain'
    ),
    '200 with a text, unsigned': respond(200, ERROR_TEXT, seal=False),
    '200 with a head in the body': respond(200, ERROR_HEAD, content_type=SSE),
    '200 with an error event': respond(200, ERROR_EVENT, content_type=SSE),
    '206': respond(206, content_type=SSE),
}


@pytest.fixture
def site():
    """Return a site with as many endpoints as a stream may use."""
    return standins.Site(
        [standins.RunnerStandIn(f'llm-{number}') for number in range(1, 4)]
    )


def run_in_turn(site, *actions):
    """Run one action for each request, whichever endpoint gets it."""
    remaining = list(actions)

    async def run_next(runner, connection, arrival):
        await remaining.pop(0)(runner, connection, arrival)

    for runner in site.runners.values():
        runner.default_action = run_next


def break_then(site, last, partial, action):
    """Let the first request break off, and all later ones run an action."""
    arrived = []

    async def choose(runner, connection, arrival):
        arrived.append(arrival)
        if len(arrived) == 1:
            await break_off(last, partial)(runner, connection, arrival)
        await action(runner, connection, arrival)

    for runner in site.runners.values():
        runner.default_action = choose


async def read_all(site, path='/stream/x', **headers):
    """Request a stream; return head, bytes received and whether it ended."""
    connection = await site.connect()
    received = b''
    try:
        await http.send_request(
            connection,
            'POST',
            path,
            standins.request_headers(path, **headers),
            b'1',
        )
        deadline = standins.base.deadlines.Deadline.after(5.0)
        head = await connection.receive_response(deadline)
        chunks = connection.receive_chunks('read', lambda: deadline)
        async with curio.meta.finalize(chunks):
            async for chunk in chunks:
                received += chunk
        return head, received, True
    except http.Disconnected:
        return head, received, False
    finally:
        await connection.close()


class TestRestOfStream:
    """Guards against errors in the middle of a stream."""

    @pytest.mark.parametrize('name', INSTEAD_OF_THE_REST)
    @pytest.mark.parametrize('last', (0, 1, 2))
    @pytest.mark.parametrize('partial', (b'', b'id: 3\ndata: pie'))
    @standins.on_site
    async def test_lost_rest_is_neither_filled_nor_ended(
        self, site, name, last, partial
    ):
        break_then(site, last, partial, INSTEAD_OF_THE_REST[name])
        head, body, ended = await read_all(site)
        assert head.status == 200
        assert (body, ended) == (standins.events(last), False)
        assert len(site.arrivals()) == 3

    @standins.on_site
    async def test_stream_whose_rest_arrives_is_complete(self, site):
        run_in_turn(site, break_off(1), break_off(3), standins.send_stream)
        _, body, ended = await read_all(site)
        assert (body, ended) == (standins.events(4), True)

    @pytest.mark.parametrize('name', ('500', '404'))
    @pytest.mark.parametrize('last', (0, 2))
    @standins.on_site
    async def test_third_endpoint_sends_the_rest_after_an_error(
        self, site, name, last
    ):
        run_in_turn(
            site,
            break_off(last),
            INSTEAD_OF_THE_REST[name],
            standins.send_stream,
        )
        _, body, ended = await read_all(site)
        assert (body, ended) == (standins.events(4), True)
