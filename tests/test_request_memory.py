"""Bodies of requests that a daemon keeps, and what it answers without room."""

import curio
import msgspec

from celeryward import body_memory
from celeryward import errors
from celeryward.operators import demo
from celeryward.standins import engine

EXAMPLE = demo.chat_example('Any', 'small', 'Which size fits?')


class TestDaemon:
    """Guards against bodies that are kept without being counted."""

    def test_body_without_room_is_refused_as_not_run(
        self, with_cluster, monkeypatch
    ):
        """It was answered as an internal error."""

        async def test(cluster):
            monkeypatch.setattr(body_memory.REQUESTS, 'limit', 20)
            head, body = await demo.send_example(
                cluster.daemon.listener.port, EXAMPLE
            )
            assert head.status == 503
            assert int(head.headers['retry-after']) >= 1
            refusal = msgspec.json.decode(body)['error']
            assert refusal['code'] == 'overloaded'

        with_cluster(test)

    def test_body_counts_until_its_response_is_complete(
        self, with_cluster, monkeypatch
    ):
        used = []
        respond = engine.EngineStandIn.send_stream

        async def count(*args):
            used.append(body_memory.REQUESTS.used)
            await respond(*args)

        async def test(cluster):
            monkeypatch.setattr(engine.EngineStandIn, 'send_stream', count)
            example = demo.chat_example('Any', 'small', 'Why?', stream=True)
            port = cluster.daemon.listener.port
            head, _ = await demo.send_example(port, example)
            assert head.status == 200
            assert used == [len(msgspec.json.encode(example.body))]
            await curio.sleep(0)
            assert body_memory.REQUESTS.used == 0

        with_cluster(test)


class Body:
    """An object that can be told to be gone."""

    kept = 0

    def __init__(self):
        Body.kept += 1

    def __del__(self):
        Body.kept -= 1


class TestDroppedTracebacks:
    """Guards against bodies that live as long as the error of a request."""

    def fail(self, body):
        try:
            raise ValueError(str(body))
        except ValueError as error:
            raise errors.BadInput('no body', step='s', peer='p') from error

    def test_body_is_released_before_the_error(self):
        try:
            self.fail(Body())
        except errors.BadInput as error:
            assert Body.kept == 1
            errors.drop_tracebacks(error)
            assert Body.kept == 0
            assert error.message == 'no body'
