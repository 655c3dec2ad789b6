"""Chats that broke off at a daemon, and what the next engine sends instead."""

import collections

import h11
import pytest

from celeryward import http
from celeryward.operators import demo
from celeryward.standins import engine

SSE = 'text/event-stream'
FOREIGN = b'foreign'
ERROR_OBJECT = b'{"error": {"message": "foreign"}}'
DONE = b'data: [DONE]\n\n'
TOKENS_BEFORE_THE_BREAK = 3
# More than the runs of one request.
MAX_RUNS = 10


class ScriptedEngine(engine.EngineStandIn):
    """An engine that runs the next of the actions it shares with others.

    An action is an async function of the engine, the connection, the headers
    that echo the request's id, and the received request.
    """

    def __init__(self, actions):
        super().__init__(('large@1',))
        self.actions = actions

    async def answer_chat(self, connection, received):
        """Run the next action, or answer as usual."""
        if not self.actions:
            await super().answer_chat(connection, received)
            return
        request_id = received.head.headers['x-request-id']
        await self.actions.popleft()(
            self, connection, {'x-request-id': request_id}, received
        )


class TwoEngines(demo.Cluster):
    """A cluster with a second engine for the large model."""

    def __init__(self, *actions):
        super().__init__()
        shared = collections.deque(actions)
        self.large = ScriptedEngine(shared)
        self.other = ScriptedEngine(shared)

    def all_standins(self):
        """Return every stand-in."""
        return (*super().all_standins(), self.other)

    def records(self):
        """Return the declared records."""
        engines = [
            self.endpoint_record(
                name, standin, serves=['large@1'], can_resume=True
            )
            for name, standin in (
                ('engine-2', self.large),
                ('engine-3', self.other),
            )
        ]
        names = [each.name for each in engines]
        others = [each for each in super().records() if each.name not in names]
        return (*others, *engines)


async def break_off(standin, connection, echo, received):
    """Send the first tokens of a stream and close the connection."""
    head = {'content-type': SSE, 'transfer-encoding': 'chunked', **echo}
    await connection.send(
        'answer',
        h11.Response(status_code=200, headers=http.encode_headers(head)),
    )
    prompt = received.json()['messages'][0]['content']
    for word in standin.words(prompt, TOKENS_BEFORE_THE_BREAK):
        event = engine.encode_event(
            {'choices': [{'delta': {'content': word}}]}
        )
        await connection.send('answer', h11.Data(data=event))
    raise http.Disconnected('broken off', step='answer', peer='test')


def respond(status, body=b'', content_type=SSE, **more):
    """Return an action that sends a fixed answer to the request."""

    async def action(standin, connection, echo, received):
        more_headers = {key.replace('_', '-'): more[key] for key in more}
        headers = {'content-type': content_type, **echo, **more_headers}
        await http.send_response(connection, status, headers, body)

    return action


INSTEAD_OF_THE_REST = {
    '500': respond(500, FOREIGN, 'text/plain'),
    '404': respond(404, FOREIGN, 'text/plain'),
    '503 not run': respond(503, FOREIGN, x_execution='not-run'),
    '200 with a text': respond(200, FOREIGN, 'text/plain'),
    '200 with a text of blocks': respond(
        200, FOREIGN + b'\n\n' + FOREIGN, 'text/plain'
    ),
    '200 with a text that ends like a stream': respond(
        200, FOREIGN + b'\n\n' + DONE, 'text/plain'
    ),
    'stream with a text': respond(200, FOREIGN + b'\n\n'),
    'stream with a text and its end': respond(200, FOREIGN + b'\n\n' + DONE),
    'stream with a head': respond(
        200, b'HTTP/1.1 500 foreign\r\nforeign: 0\n\n'
    ),
    'stream with an error event': respond(
        200, b'event: error\ndata: ' + ERROR_OBJECT + b'\n\n'
    ),
    'stream with an error object': respond(
        200, b'data: ' + ERROR_OBJECT + b'\n\n'
    ),
    'stream with an error object and its end': respond(
        200, b'data: ' + ERROR_OBJECT + b'\n\n' + DONE
    ),
    'stream without an event': respond(200),
    '204': respond(204),
}


def run_chat(run, cluster):
    """Send a streamed chat to the daemon; return status and body."""

    async def test():
        await cluster.start()
        try:
            example = demo.chat_example('', 'large', 'x', stream=True)
            port = cluster.daemon.listener.port
            return await demo.send_example(port, example)
        finally:
            await cluster.stop()

    return run(test)


class TestRestOfChat:
    """Guards against errors in a chat, and lost rests that look complete."""

    @pytest.mark.parametrize('name', INSTEAD_OF_THE_REST)
    def test_lost_rest_is_neither_filled_nor_ended(self, run, name):
        lost = [INSTEAD_OF_THE_REST[name]] * MAX_RUNS
        head, body = run_chat(run, TwoEngines(break_off, *lost))
        assert head.status == 200
        assert body.count(b'"content"') == TOKENS_BEFORE_THE_BREAK
        assert FOREIGN not in body
        assert DONE not in body
        assert b'event: error' in body

    @pytest.mark.parametrize('name', INSTEAD_OF_THE_REST)
    def test_rest_that_arrives_later_completes_the_chat(self, run, name):
        _, unbroken = run_chat(run, TwoEngines())
        cluster = TwoEngines(break_off, INSTEAD_OF_THE_REST[name])
        head, body = run_chat(run, cluster)
        assert (head.status, body) == (200, unbroken)


class TestFirstAnswer:
    """Guards against an error of an engine that is relayed as a chat."""

    @pytest.mark.parametrize('name', INSTEAD_OF_THE_REST)
    def test_chat_is_sent_to_the_next_engine(self, run, name):
        head, body = run_chat(run, TwoEngines(INSTEAD_OF_THE_REST[name]))
        assert head.status == 200
        assert FOREIGN not in body
        assert body.endswith(DONE)
