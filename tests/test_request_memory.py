"""Bodies of requests that are kept, and what is answered without room."""

import gc
import tracemalloc

import msgspec
import pytest

from celeryward import body_memory
from celeryward.callers import protocol
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.operators import demo
from celeryward.standins import engine
from tests import platform_standins as standins

EXAMPLE = demo.chat_example('Any', 'small', 'Which size fits?')
LONG_BODY = bytes(90_000)
REQUESTS = 20


@pytest.fixture
def no_collection():
    """Let no cycle of references be freed by chance."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.fixture
def site():
    return standins.default_site()


class Growth:
    """The memory that is allocated in a block and still held."""

    def __enter__(self):
        tracemalloc.start()
        self.before, _ = tracemalloc.get_traced_memory()
        return self

    def __exit__(self, *_):
        tracemalloc.stop()

    def is_small(self):
        """Return whether it is less than a quarter of all bodies."""
        after, _ = tracemalloc.get_traced_memory()
        return after - self.before < REQUESTS * len(LONG_BODY) / 4


def forget_arrivals(site):
    """Drop the requests that the endpoints of a site keep."""
    for runner in site.runners.values():
        runner.arrivals.clear()
        runner.ended.clear()


class TestFailedRequests:
    """Guards against bodies that errors keep until garbage is collected.

    They counted no more, so that clients without a key or a route could make
    a process exceed its memory. Here no garbage is collected.
    """

    @pytest.mark.parametrize(
        ('path', 'key', 'action', 'status'),
        (
            ('/none/x', standins.KEY, None, 404),
            ('/once/x', 'unknown', None, 401),
            ('/once/x', standins.KEY, standins.turn_away('0'), 503),
            ('/once/x', standins.KEY, standins.disconnect, 502),
        ),
    )
    @standins.on_site
    async def test_router_keeps_no_body(
        self, site, no_collection, path, key, action, status
    ):
        for runner in site.runners.values():
            runner.default_action = action or runner.default_action
        with Growth() as growth:
            for _ in range(REQUESTS):
                head, _ = await site.request(
                    path, 'POST', LONG_BODY, authorization=f'Bearer {key}'
                )
                assert head.status == status
            forget_arrivals(site)
            await standins.wait_until(growth.is_small)

    @standins.on_site
    async def test_router_keeps_no_body_of_callers_that_leave(
        self, site, no_collection
    ):
        for runner in site.runners.values():
            runner.default_action = standins.never_respond
        headers = standins.request_headers('/once/x')
        sent = 0
        with Growth() as growth:
            for _ in range(REQUESTS):
                connection = await site.connect()
                await http.send_request(
                    connection, 'POST', '/once/x', headers, LONG_BODY
                )
                sent += 1
                await standins.wait_until(lambda: len(site.arrivals()) == sent)
                await connection.close()
            forget_arrivals(site)
            await standins.wait_until(growth.is_small)

    def test_daemon_keeps_no_body(self, with_cluster, no_collection):
        async def request(port):
            deadline = deadlines.Deadline.after(demo.CALL_SECONDS)
            connection = await http.connect('127.0.0.1', port, deadline)
            head, _ = await http.exchange(
                connection,
                'POST',
                protocol.CHAT_PATH,
                {'authorization': 'Bearer unknown'},
                LONG_BODY,
                deadline,
            )
            await connection.close()
            assert head.status == 401

        async def test(cluster):
            with Growth() as growth:
                for _ in range(REQUESTS):
                    await request(cluster.daemon.listener.port)
                await standins.wait_until(growth.is_small)

        with_cluster(test)


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
            await standins.wait_until(lambda: not body_memory.REQUESTS.used)

        with_cluster(test)


class Body:
    """Counts how many of its objects exist."""

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
