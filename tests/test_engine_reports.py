"""What a daemon reads of its engines' load, cache events and usage."""

import curio
import h11
import pytest

from celeryward.endpoints import prefixes
from celeryward import http
from celeryward.standins import engine
from celeryward.standins import fleet

VERSIONS = (fleet.VERSION.name,)
TOKENS = 16


def make_engine():
    return engine.EngineStandIn(VERSIONS)


class LateEndEngine(engine.EngineStandIn):
    """Sends the usage of a stream in a piece of its own, before the end."""

    async def send_stream(self, connection, echo, words, first, usage):
        send = connection.send

        async def send_apart(step, *events):
            data = getattr(events[0], 'data', b'')
            usage_event, _, end = data.partition(b'data: [DONE]')
            if end:
                await send(step, h11.Data(data=usage_event))
                await curio.sleep(0.05)
                events = (h11.Data(data=b'data: [DONE]' + end), *events[1:])
            await send(step, *events)

        connection.send = send_apart
        await super().send_stream(connection, echo, words, first, usage)


class TestEndOfStreams:
    """Guards against bills that miss the usage which the engine reported."""

    def test_usage_that_arrives_before_the_end_marker_is_billed(
        self, with_fleet
    ):
        """Its prompt tokens were not billed, and it counted as a token."""

        async def test(started):
            attempt = started.make_attempt('a')
            chunks = [
                each async for each in started.dispatcher.stream(attempt)
            ]
            assert [run.usage.prompt_tokens for run in attempt.runs] == [1]
            assert sum(each.tokens for each in chunks) == TOKENS
            assert b'usage' not in b''.join(
                each.payload for each in chunks[:-1]
            )

        with_fleet(test, LateEndEngine(VERSIONS))


class TestMalformedReports:
    """Guards against a report that ends the probes or fails requests."""

    async def probe(self, started):
        (endpoint,) = started.current_catalog.endpoints.values()
        return await started.prober.probe(endpoint)

    @pytest.mark.parametrize(
        'body',
        [
            b'{"running": %s}' % (b'9' * 400),
            b'{"capacity": -1}',
            b'{"more": %s%s}' % (b'[' * 5000, b']' * 5000),
            b'{"running": "',
            b'[]',
        ],
    )
    def test_malformed_load_report_is_a_failed_probe(
        self, with_fleet, monkeypatch, body
    ):
        """One with a huge count failed each choice of an endpoint."""
        faulty = make_engine()

        async def answer(connection, received):
            await http.send_response(connection, 200, {}, body)

        async def test(started):
            monkeypatch.setattr(faulty, 'answer', answer)
            assert not await self.probe(started)

        with_fleet(test, faulty)

    def test_malformed_cache_events_are_left_out(self, with_fleet):
        """One ended the task that probes its endpoint."""
        faulty = make_engine()
        faulty.cache_events = [
            prefixes.CacheEvent(0, 'stored', 'not hexadecimal'),
            prefixes.CacheEvent(1, 'stored', 'ff'),
            prefixes.CacheEvent(2, 'stored', 'f' * 17),
            prefixes.CacheEvent(10**400, 'stored', '1'),
            prefixes.CacheEvent(-(10**400), 'stored', '1'),
        ]

        async def test(started):
            assert await self.probe(started)
            view = started.view.prefixes
            assert view.cached_blocks('engine-0', (0xFF,)) == 1
            assert view.cached_blocks('engine-0', (1,)) == 0

        with_fleet(test, faulty)
