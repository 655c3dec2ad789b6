"""Streams that broke off, and what the next endpoint sends instead."""

import curio
import h11
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


async def send_head_only(runner, connection, arrival):
    """Send a stream that ends without any event, in chunks."""
    head = runner.response_headers(
        arrival, **{'content-type': SSE, 'transfer-encoding': 'chunked'}
    )
    await connection.send(
        'answer',
        h11.Response(status_code=200, headers=http.encode_headers(head)),
        h11.EndOfMessage(),
    )


async def repeat_events(runner, connection, arrival):
    """Send the events that the caller has already."""
    last = int(arrival.head.headers.get('last-event-id', '0'))
    action = respond(200, standins.events(last), content_type=SSE)
    await action(runner, connection, arrival)


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
    '200 without a byte': respond(200, content_type=SSE),
    '200 with old events only': repeat_events,
    'stream without an event': send_head_only,
    '204': respond(204),
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
    """Guards against errors in a stream, and lost rests that look complete."""

    @pytest.mark.parametrize('name', INSTEAD_OF_THE_REST)
    @pytest.mark.parametrize(
        'last, partial', ((0, b''), (1, b''), (2, b'id: 3\ndata: pie'))
    )
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
    async def test_second_break_and_lost_rest_do_not_end_the_stream(
        self, site
    ):
        run_in_turn(site, break_off(1), break_off(3), send_head_only)
        _, body, ended = await read_all(site)
        assert (body, ended) == (standins.events(3), False)
        assert len(site.arrivals()) == 3

    @standins.on_site
    async def test_larger_model_that_loses_the_rest_does_not_end_the_stream(
        self, site
    ):
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        run_in_turn(site, standins.send_stream, break_off(2), send_head_only)
        _, body, ended = await read_all(site)
        assert (body, ended) == (standins.events(2), False)
        models = [each.model for each in site.arrivals()]
        assert sorted(models) == ['large', 'large', 'small']

    @standins.on_site
    async def test_stream_whose_rest_arrives_is_complete(self, site):
        run_in_turn(site, break_off(1), break_off(3), standins.send_stream)
        _, body, ended = await read_all(site)
        assert (body, ended) == (standins.events(4), True)

    @pytest.mark.parametrize(
        'name', ('500', '404', '204', 'stream without an event')
    )
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

    @standins.on_site
    async def test_empty_rest_that_the_caller_asks_for_is_complete(self, site):
        for runner in site.runners.values():
            runner.default_action = send_head_only
        head, body, ended = await read_all(site, last_event_id='4')
        assert (head.status, body, ended) == (200, b'', True)


class TestFirstAnswer:
    """Guards against answers on stream routes that are no event streams."""

    ANSWERS = {
        '400': (400, ERROR_TEXT, 'text/plain'),
        '404': (404, ERROR_TEXT, 'text/plain'),
        '404 without a type': (404, ERROR_TEXT, None),
        '302': (302, ERROR_TEXT, 'text/html'),
        '200 with a text': (200, ERROR_TEXT, 'text/plain'),
        '200 with a head': (200, ERROR_HEAD, 'application/octet-stream'),
        '204': (204, b'', None),
        '206': (206, standins.events(1), SSE),
    }

    @pytest.mark.parametrize('name', ANSWERS)
    @pytest.mark.parametrize('path', ('/stream/x', '/rigid/x'))
    @standins.on_site
    async def test_answer_is_relayed_whole(self, site, name, path):
        status, content, content_type = self.ANSWERS[name]
        more = {'content_type': content_type} if content_type else {}
        for runner in site.runners.values():
            runner.default_action = respond(status, content, **more)
        head, body, ended = await read_all(site, path)
        assert (head.status, body, ended) == (status, content, True)
        assert head.headers['celeryward-response-seal'].startswith('seal-llm')
        assert len(site.arrivals()) == 1
