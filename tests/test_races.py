"""Dispatches of one request that are under way at the same time."""

import re
import time

import curio
import h11
import pytest

from celeryward.endpoints import closures
from celeryward import http
from tests import platform_standins as standins
from tests import test_silent_endpoints as silent_endpoints

# Time in which a run has to end after the run that replaces it has begun.
REPLACED_SECONDS = 0.4


@pytest.fixture
def site():
    return standins.default_site()


async def send_named_events(runner, connection, arrival):
    """Send events with the name of the endpoint; the first run is silent."""
    first = await standins.begin_stream(runner, connection, arrival)
    for number in range(first, runner.events + 1):
        data = f'id: {number}\ndata: {runner.id}\n\n'.encode()
        await connection.send('answer', h11.Data(data=data))
        if first == 1:
            await connection.wait_closed()
            raise http.Disconnected('closed', step='answer', peer='test')
        await curio.sleep(0.02)
    await connection.send('answer', h11.EndOfMessage())


def close(site, runner):
    """Close an endpoint for longer than any test."""
    listed = site.router.runners.runners[runner.id]
    site.router.closures.close(listed, 60.0, 1)


def open_one_place(site, runner):
    """Let an endpoint that is closed take one request."""
    listed = site.router.runners.runners[runner.id]
    site.router.closures.states[listed.address] = closures.Closure(
        listed.key,
        time.time(),
        shared_until=0.0,
        opens_at=site.router.closures.clock(),
        threshold=1.0,
    )


class TestHedgedStreams:
    """Guards against hedged streams that mix runs, or run twice for long."""

    @standins.on_site
    async def test_stream_never_returns_to_a_run_that_was_replaced(self, site):
        silent_endpoints.set_action(site, lambda: send_named_events)
        silent, other = site.runners['llm-1'], site.runners['llm-2']
        close(site, other)
        request = await curio.spawn(site.request, '/stream/')
        await standins.wait_until(lambda: silent.arrivals)
        site.router.closures.states.clear()
        head, body = await request.join()
        names = re.findall(rb'data: (.*)', body)
        assert names == [b'llm-1'] + [b'llm-2'] * 3

    @standins.on_site
    async def test_run_that_was_replaced_ends_at_its_endpoint(self, site):
        silent_endpoints.set_action(site, lambda: send_named_events)
        silent, other = site.runners['llm-1'], site.runners['llm-2']
        close(site, other)
        request = await curio.spawn(site.request, '/stream/')
        await standins.wait_until(lambda: silent.arrivals)
        site.router.closures.states.clear()
        await standins.wait_until(lambda: other.arrivals)
        await standins.wait_until(lambda: silent.ended, REPLACED_SECONDS)
        await request.join()

    @standins.on_site
    async def test_silent_answer_of_a_larger_model_is_hedged(self, site):
        """It only let the small answer go on, which had ended."""
        actions = [
            silent_endpoints.silence_in_stream_for(10.0),
            standins.send_stream,
        ]

        async def act(runner, connection, arrival):
            if arrival.model == 'large':
                await actions.pop(0)(runner, connection, arrival)
            else:
                await standins.send_stream(runner, connection, arrival)

        silent_endpoints.set_action(site, lambda: act)
        for runner in site.runners.values():
            runner.confidence = {'small': 0}
        head, body = await site.request('/stream/')
        assert (head.status, body) == (200, standins.events(4))

    @standins.on_site
    async def test_endpoint_that_goes_on_meanwhile_ends_the_hedge(self, site):
        silent_endpoints.set_action(
            site,
            lambda: silent_endpoints.silence_in_stream_for(
                silent_endpoints.LONG_SILENCE_SECONDS
            ),
        )
        await site.request('/stream/')
        assert len(site.arrivals()) == 2
        assert not site.router.forwarder.exchanges
        assert not site.router.closures.places
        assert not site.router.outcomes.in_flight


class TestPlaces:
    """Guards against a place at an endpoint that several requests get."""

    @standins.on_site
    async def test_streams_that_are_moved_at_once_do_not_share_a_place(
        self, site
    ):
        """All but one got 502 or were cut off."""
        silent, filling = site.runners['llm-1'], site.runners['llm-2']
        close(site, filling)
        silent.default_action = silent_endpoints.silence_before_head
        filling.default_action = silent_endpoints.silence_before_head
        bodies = []

        async def read_stream(number):
            _, body = await site.request('/stream/', request_id=f's{number}')
            bodies.append(body)

        async with curio.TaskGroup() as group:
            for number in range(4):
                await group.spawn(read_stream, number)
            await standins.wait_until(lambda: len(silent.arrivals) == 4)
            open_one_place(site, filling)
            await site.router.forwarder.hedge_exchanges(
                site.router.runners.runners['llm-1']
            )
        assert bodies == [standins.events(4)] * 4

    @standins.on_site
    async def test_request_is_hedged_at_an_endpoint_that_was_closed_before(
        self, site
    ):
        """Whether it can be late was decided once, at the dispatch."""
        mute, closed = site.runners['app-1'], site.runners['app-2']
        close(site, closed)
        mute.default_action = standins.never_respond
        request = await curio.spawn(site.request, '/whole/')
        await standins.wait_until(lambda: mute.arrivals)
        site.router.closures.states.clear()
        head, body = await request.join()
        assert (head.status, body) == (200, b'whole answer')
