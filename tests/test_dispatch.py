"""Dispatch, retry and resume, from a caller to the endpoints."""

import dataclasses

import curio
import msgspec
import pytest

from celeryward.callers import protocol
from celeryward import catalog
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.operators import demo

# Responses after which a load has reached its rate.
MIN_LOAD_RESULTS = 200


@pytest.fixture
def with_cluster(run):
    """Return a function that runs a test against a started cluster."""

    def run_with(test, prepare=lambda cluster: None):
        async def body():
            cluster = demo.Cluster()
            prepare(cluster)
            await cluster.start()
            try:
                return await test(cluster)
            finally:
                await cluster.stop()

        return run(body)

    return run_with


async def send(cluster, example, **headers):
    example = dataclasses.replace(example, headers=headers)
    return await demo.send_example(cluster.daemon.listener.port, example)


class TestRefusals:
    """Guards against wrong status codes and wrong ``x-execution`` headers."""

    @pytest.mark.parametrize(
        ('example', 'status', 'code'),
        [
            (demo.chat_example('', 'absent', 'x'), 404, 'unknown_target'),
            (demo.Example('', 'POST', '/none', {}), 404, 'unknown_target'),
            (
                demo.Example('', 'POST', '/v1/chat/completions', {'a': 1}),
                400,
                'bad_input',
            ),
            (
                demo.Example('', 'GET', '/v1/chat/completions', {}),
                400,
                'bad_input',
            ),
        ],
    )
    def test_refusal(self, with_cluster, example, status, code):
        async def test(cluster):
            head, body = await send(cluster, example)
            assert head.status == status
            assert head.headers['x-execution'] == 'not-run'
            assert msgspec.json.decode(body)['error']['code'] == code

        with_cluster(test)

    def test_wrong_key(self, with_cluster):
        async def test(cluster):
            head, _ = await send(
                cluster,
                demo.chat_example('', 'small', 'x'),
                authorization='Bearer wrong',
            )
            assert head.status == 401

        with_cluster(test)


class TestNumbersInHeaders:
    """Guards against integers of thousands of digits in a request."""

    @pytest.mark.parametrize('digits', [400, 5000])
    def test_long_timeout_is_the_longest_allowed(self, digits):
        """It raised an error that no handler of bad input expects."""
        headers = {'x-timeout-ms': '9' * digits}
        deadline = protocol.decode_deadline(headers, 5.0, 'caller')
        assert 4.0 < deadline.remaining() <= 5.0

    def test_long_priority_is_refused(self):
        customer = catalog.Customer('c')
        for text in ('-' + '9' * 4000, '9' * 5000, 'high'):
            with pytest.raises(errors.BadInput):
                headers = {'x-priority': text}
                protocol.decode_priority(headers, customer, 'caller')


class TestDepartures:
    """Guards against requests to endpoints that leave once selected."""

    def test_request_is_not_sent_to_a_leaving_endpoint(self, with_cluster):
        async def test(cluster):
            daemon = cluster.daemon
            open_connection = daemon.pool.open

            async def open_slowly(endpoint, deadline):
                connection = await open_connection(endpoint, deadline)
                daemon.liveness.set_leaving(endpoint.name, True)
                return connection

            daemon.pool.open = open_slowly
            example = demo.Example(
                '', 'POST', '/v1/services/orders/reserve', {}
            )
            head, _ = await send(cluster, example)
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'
            assert not cluster.orders.executed

        with_cluster(test)


class TestInternalErrors:
    """Guards against an internal error that leaves a caller waiting."""

    def test_exception_is_reported_as_internal(self, with_cluster):
        async def test(cluster):
            cluster.daemon.request_handler.serve_chat = None
            head, body = await send(
                cluster, demo.chat_example('', 'small', 'x')
            )
            assert head.status == 500
            assert msgspec.json.decode(body)['error']['code'] == 'internal'

        with_cluster(test)


class TestStreams:
    """Guards against truncated answers that look complete."""

    def test_interrupted_stream_ends_with_an_error(self, with_cluster):
        async def test(cluster):
            cluster.large.break_after = 4
            example = demo.chat_example('', 'large', 'x', stream=True)
            head, body = await send(cluster, example)
            assert head.status == 200
            assert b'event: error' in body
            assert b'[DONE]' not in body

        with_cluster(test)

    def test_session_token_keeps_the_version(self, with_cluster):
        async def test(cluster):
            example = demo.chat_example('', 'small', 'x')
            head, _ = await send(cluster, example)
            token = head.headers['x-session']
            session = cluster.daemon.request_handler.signer.verify(token)
            assert session.versions == {'small': '1'}

        with_cluster(test)


class TestPlainServices:
    """Guards against a service request that runs more than once."""

    def test_request_is_not_repeated_after_a_lost_response(self, with_cluster):
        async def test(cluster):
            cluster.orders.lose_answers = True
            example = demo.Example(
                '', 'POST', '/v1/services/orders/reserve', {}
            )
            head, body = await send(cluster, example)
            error = msgspec.json.decode(body)['error']
            assert head.status == 502
            assert error['execution'] == 'unknown'
            assert sum(cluster.orders.executed.values()) == 1

        with_cluster(test)


class TestShutdown:
    """Guards against a graceful stop that interrupts a request."""

    def test_open_stream_is_finished(self, with_cluster, run):
        async def test(cluster):
            cluster.large.token_seconds = 0.02
            port = cluster.daemon.listener.port
            example = demo.chat_example('', 'large', 'x', stream=True)
            sending = await curio.spawn(demo.send_example, port, example)
            await curio.sleep(0.06)
            assert await cluster.daemon.stop() == 0
            _, body = await sending.join()
            assert body.endswith(b'data: [DONE]\n\n')

        with_cluster(test)

    @pytest.mark.parametrize('stream', [False, True])
    def test_request_that_outlasts_the_stop_gets_an_answer(
        self, with_cluster, stream
    ):
        """Its connection was closed without one."""

        async def test(cluster):
            cluster.large.token_seconds = 0.2
            daemon = cluster.daemon
            daemon.settings = dataclasses.replace(
                daemon.settings,
                timings=dataclasses.replace(
                    daemon.settings.timings, drain_timeout=0.3
                ),
            )
            port = daemon.listener.port
            example = demo.chat_example('', 'large', 'x', stream=stream)
            sending = await curio.spawn(demo.send_example, port, example)
            while not daemon.caller_server.active:
                await curio.sleep(0.01)
            await curio.sleep(0.3)
            assert await daemon.stop() == 1
            head, body = await sending.join()
            assert head.status == (200 if stream else 502)
            assert b'"execution":"unknown"' in body
            assert b'[DONE]' not in body

        with_cluster(test)

    async def call_until_closed(self, port, results, pause, kept):
        """Send requests until the port is closed; record their results.

        :param bool kept: whether to keep the connection until a response
            announces its close.
        """
        deadline = deadlines.Deadline.after(10.0)
        connection = None
        while not deadline.expired():
            await curio.sleep(pause)
            try:
                connection = connection or await http.connect(
                    '127.0.0.1', port, deadline
                )
            except errors.ConnectionFailed:
                return
            try:
                response, _ = await http.exchange(
                    connection, 'GET', '/v1/services/none/x', {}, b'', deadline
                )
                results.append(response.status)
            except http.EXCHANGE_ERRORS:
                results.append('no answer')
                return
            if kept and connection.reusable():
                connection.start_next_cycle()
            else:
                await connection.close()
                connection = None

    @pytest.mark.parametrize('kept', [False, True])
    def test_accepted_requests_are_answered_in_a_stop_under_load(
        self, with_cluster, kept
    ):
        """Connections were closed without an answer to their request."""

        async def test(cluster):
            port = cluster.daemon.listener.port
            results = []
            async with curio.TaskGroup() as group:
                for number in range(20):
                    await group.spawn(
                        self.call_until_closed,
                        port,
                        results,
                        0.002 * number,
                        kept,
                    )
                while len(results) < MIN_LOAD_RESULTS:
                    await curio.sleep(0.01)
                await cluster.daemon.stop()
            assert 'no answer' not in results

        with_cluster(test)
