"""Complete responses, resumed streams and silent connections."""

import contextlib
import dataclasses

import curio
import h11
import pytest

from celeryward import errors
from celeryward import http
from celeryward.standins import engine
from celeryward.standins import fleet

VERSIONS = (fleet.VERSION.name,)
TOKENS = 16
SHORT = fleet.SILENCE_TIMINGS
SHORT_PROBE_SECONDS = 0.25


class FaultyEngine(engine.EngineStandIn):
    """Corrupts its next complete response as ``fault`` says."""

    def __init__(self):
        super().__init__(VERSIONS)
        self.fault = ''

    async def send_whole(self, connection, echo, words, usage):
        fault, self.fault = self.fault, ''
        if fault == 'crossed':
            echo = {'x-request-id': 'another'}
        if fault == 'no id':
            echo = {}
        if fault in ('short', 'unframed'):
            await self.send_part(connection, echo, fault)
        if fault == 'duplicate':
            late = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
            await super().send_whole(connection, echo, words, usage)
            await connection.sock.sendall(late)
            return
        await super().send_whole(connection, echo, words, usage)

    async def send_part(self, connection, echo, fault):
        if fault == 'short':
            echo = {**echo, 'content-length': '9999'}
        head = ''.join(f'{name}: {value}\r\n' for name, value in echo.items())
        await connection.sock.sendall(
            f'HTTP/1.1 200 OK\r\n{head}\r\n{{"choices": []}}'.encode()
        )
        raise http.Disconnected('cut', step='test', peer=connection.peer)


def make_engine():
    return engine.EngineStandIn(VERSIONS, tokens=TOKENS)


def expected_text(prompt):
    return ''.join(make_engine().words(prompt, TOKENS))


class TestCompleteResponses:
    """Guards against responses to other requests and truncated ones."""

    @pytest.mark.parametrize(
        'fault', ['crossed', 'no id', 'short', 'unframed', 'duplicate']
    )
    def test_corrupted_response_never_reaches_a_caller(
        self, with_fleet, fault
    ):
        faulty = FaultyEngine()

        async def test(started):
            for prompt in ('x', 'xy', 'xyz'):
                faulty.fault = fault
                text = await started.complete_chat(
                    started.make_attempt(prompt, False)
                )
                assert text == expected_text(prompt)

        with_fleet(test, faulty)

    def test_every_dispatch_has_a_unique_id(self):
        attempt = fleet.Fleet([]).make_attempt('x')
        ids = {attempt.dispatched_call().request_id for _ in range(100)}
        assert len(ids) == 100


class TestResumedStreams:
    """Guards against tokens that are lost, repeated or billed twice."""

    @pytest.mark.parametrize('inside', [False, True])
    @pytest.mark.parametrize('after', [0, 1, 7, TOKENS - 1])
    def test_resumed_stream_equals_an_uninterrupted_one(
        self, with_fleet, after, inside
    ):
        broken = make_engine()
        broken.break_after = after
        broken.break_inside_event = inside

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            runs = attempt.runs
            assert attempt.dispatches == 2
            assert sum(run.usage.answer_tokens for run in runs) == TOKENS
            assert sum(run.usage.prompt_tokens for run in runs) == 1
            assert len(runs) == (2 if after else 1)

        with_fleet(test, broken, make_engine())

    def test_stream_that_is_interrupted_twice(self, with_fleet):
        engines = [make_engine() for _ in range(3)]
        engines[0].break_after = 3
        engines[1].break_after = 9

        async def test(started):
            started.view.load.request_started('engine-1')
            for _ in range(2):
                started.view.load.request_started('engine-2')
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            used = [run.usage.answer_tokens for run in attempt.runs]
            assert used == [3, 6, 7]

        with_fleet(test, *engines)

    def test_caller_that_disconnects_after_a_resume_pays_what_it_received(
        self, with_fleet
    ):
        broken = make_engine()
        broken.break_after = 5
        slow = make_engine()
        slow.token_seconds = 0.005

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            chunks = started.dispatcher.stream(attempt)
            async with contextlib.aclosing(chunks):
                async for _ in chunks:
                    if attempt.emitted_tokens >= 8:
                        break
            for _ in range(2):
                attempt.add_partial_run()
            received = attempt.resume_point().tokens
            used = [run.usage.answer_tokens for run in attempt.runs]
            assert used == [5, received - 5]
            assert not attempt.finished

        with_fleet(test, broken, slow)

    def test_stream_fails_if_no_engine_can_resume_it(self, with_fleet):
        broken = make_engine()
        broken.break_after = 5

        async def test(started):
            started.view.load.request_started('engine-1')
            with pytest.raises(errors.OutcomeUnknown):
                await started.stream(started.make_attempt('x'))

        with_fleet(test, broken, make_engine(), can_resume=False)

    def test_sent_request_without_other_candidates_may_have_run(
        self, with_fleet
    ):
        only = make_engine()
        only.break_after = 0

        async def test(started):
            attempt = started.make_attempt('x')
            with pytest.raises(errors.OutcomeUnknown) as caught:
                await started.stream(attempt)
            assert caught.value.execution is errors.Execution.UNKNOWN

        with_fleet(test, only)


class TestSilentConnections:
    """Guards against a silent connection taken for a failed endpoint."""

    async def fill_pool(self, started, count):
        tasks = [
            await curio.spawn(started.stream, started.make_attempt('x'))
            for _ in range(count)
        ]
        for task in tasks:
            await task.join()

    def test_silent_connection_is_replaced(self, with_fleet):
        only = make_engine()

        async def test(started):
            await self.fill_pool(started, 5)
            only.silence_connections()
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            assert started.view.liveness.is_live('engine-0')
            idle = started.pool.idle[
                started.current_catalog.endpoints['engine-0'].address
            ]
            assert len(idle) == 1

        with_fleet(test, only, timings=SHORT)

    def test_stream_is_resumed_after_silence(self, with_fleet):
        silent = make_engine()
        silent.silent_after = 6

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            assert started.view.liveness.is_live('engine-0')

        with_fleet(test, silent, make_engine(), timings=SHORT)

    def test_early_response_head_does_not_shorten_the_first_byte_timeout(
        self, with_fleet
    ):
        queueing = make_engine()
        queueing.first_token_seconds = 0.8
        timings = dataclasses.replace(
            fleet.TIMINGS, progress_timeout=0.5, first_byte_timeout=10.0
        )

        async def test(started):
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            assert attempt.dispatches == 1

        with_fleet(test, queueing, timings=timings)

    def test_silence_inside_a_complete_response_is_detected(self, with_fleet):
        class HalfSilent(engine.EngineStandIn):
            async def send_whole(self, connection, echo, words, usage):
                head = {**echo, 'content-length': '100'}
                await connection.send(
                    'test',
                    h11.Response(
                        status_code=200, headers=http.encode_headers(head)
                    ),
                )
                await curio.sleep(3600)

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x', False)
            assert await started.complete_chat(attempt) == expected_text('x')

        engines = (HalfSilent(VERSIONS), make_engine())
        with_fleet(test, *engines, timings=SHORT)

    def test_endpoint_that_fails_the_probe_is_suspected(self, with_fleet):
        class Frozen(engine.EngineStandIn):
            async def answer(self, connection, received):
                await curio.sleep(3600)

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            assert not started.view.liveness.is_live('engine-0')

        engines = (Frozen(VERSIONS), make_engine())
        timings = dataclasses.replace(SHORT, probe_timeout=SHORT_PROBE_SECONDS)
        with_fleet(test, *engines, timings=timings)

    @pytest.mark.parametrize('ended', [False, True])
    def test_request_is_not_accused_by_an_endpoint_that_stands_still(
        self, with_fleet, ended
    ):
        class Broken(engine.EngineStandIn):
            async def answer(self, connection, received):
                if received.head.path != '/v1/chat/completions':
                    await curio.sleep(3600)
                if ended:
                    await self.listener.stop_accepting()
                raise http.Disconnected(
                    'cut', step='test', peer=connection.peer
                )

        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            assert await started.stream(attempt) == expected_text('x')
            assert started.recovery.suspects.has_evidence() == ended

        engines = (Broken(VERSIONS), make_engine())
        timings = dataclasses.replace(SHORT, probe_timeout=SHORT_PROBE_SECONDS)
        with_fleet(test, *engines, timings=timings)

    def test_requests_that_fail_together_share_a_probe(self, with_fleet):
        only = make_engine()
        probes = []

        async def test(started):
            probe = started.prober.probe

            async def counted(endpoint):
                probes.append(endpoint.name)
                return await probe(endpoint)

            started.prober.probe = counted
            endpoint = started.current_catalog.endpoints['engine-0']
            checks = [
                await curio.spawn(
                    started.prober.probe_after_failure, endpoint, 0.0
                )
                for _ in range(5)
            ]
            assert all([await check.join() for check in checks])
            assert len(probes) == 1

        with_fleet(test, only)


class TestStandIn:
    """Guards against a stand-in that accepts a wrong text to resume."""

    def test_wrong_resume_text_is_refused(self, with_fleet):
        async def test(started):
            body = (
                b'{"messages": [{"role": "user", "content": "x"}],'
                b'"stream": true, "resume": {"tokens": 2, "text": "no"}}'
            )
            endpoint = started.current_catalog.endpoints['engine-0']
            attempt = started.make_attempt('x')
            async with started.pool.lease(
                endpoint, attempt.call.deadline
            ) as connection:
                response, _ = await http.exchange(
                    connection,
                    'POST',
                    '/v1/chat/completions',
                    {'x-model-version': VERSIONS[0]},
                    body,
                    attempt.call.deadline,
                )
            assert response.status == 400

        with_fleet(test, make_engine())
