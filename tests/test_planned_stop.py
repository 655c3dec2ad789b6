"""Work that begins while a router stops, and what its callers get."""

import time

import curio
import h11
import pytest

from celeryward import deadlines
from celeryward import http
from tests import platform_standins as standins

# Longer than the stop of the test site leaves, and shorter than the timeout.
LONG_SECONDS = 6.0
TIMEOUT_MILLISECONDS = 15000
# Time in which a refusal must arrive.
AT_ONCE_SECONDS = 0.5


@pytest.fixture
def site():
    return standins.default_site()


def after(seconds, action=standins.send_default_response):
    """Return an action that works for some seconds and then responds."""

    async def act(runner, connection, arrival):
        await curio.sleep(seconds)
        await action(runner, connection, arrival)

    return act


async def begin_stream_and_break(runner, connection, arrival):
    """Send one event, go on for a while, and break off."""
    await standins.send_stream(runner, connection, arrival, last_event=1)


async def raise_timeouts(site, **fields):
    """Write a configuration whose routes outlast the stop."""
    spec = standins.configuration(2)
    for route in spec['routes']:
        route |= {'timeoutMs': TIMEOUT_MILLISECONDS, **fields}
    await site.store.put('config', 'main', spec)
    await standins.wait_until(
        lambda: site.router.configuration.current.version == 2
    )


async def begin_stop(site):
    """Begin a stop; return its task once requests are affected by it."""
    stopping = await curio.spawn(site.router.stop)
    await standins.wait_until(lambda: site.router.gateway.draining)
    return stopping


async def ask(site, path, method='GET', **headers):
    """Send one request; return head, body and the seconds that it took."""
    began = time.monotonic()
    head, body = await site.request(
        path,
        method,
        celeryward_deadline_ms=str(TIMEOUT_MILLISECONDS),
        **headers,
    )
    return head, body, time.monotonic() - began


def set_actions(site, *actions):
    """Let the endpoints of all services take these actions in turn."""
    remaining = list(actions)

    async def take_next(runner, connection, arrival):
        action = remaining.pop(0) if remaining else actions[-1]
        await action(runner, connection, arrival)

    for runner in site.runners.values():
        runner.default_action = take_next


class TestRequests:
    """Guards against requests that a stopping router begins and cuts off."""

    @pytest.mark.parametrize(
        ('path', 'method'),
        (
            ('/whole/x', 'GET'),
            ('/once/x', 'POST'),
            ('/stream/x', 'GET'),
            ('/rigid/x', 'GET'),
        ),
    )
    @standins.on_site
    async def test_request_that_outlasts_the_stop_is_refused_as_not_run(
        self, site, path, method
    ):
        await raise_timeouts(site)
        set_actions(site, after(LONG_SECONDS))
        stopping = await begin_stop(site)
        head, _, seconds = await ask(site, path, method)
        assert (head.status, site.arrivals()) == (503, [])
        assert float(head.headers['retry-after']) < 1.0
        assert seconds < AT_ONCE_SECONDS
        await stopping.join()

    @standins.on_site
    async def test_connection_that_was_just_accepted_gets_an_answer(
        self, site
    ):
        """It was closed as idle while its request was on the way."""
        stopping = await begin_stop(site)
        accept_until = site.router.stop_state.schedule.accept_until
        await curio.sleep(accept_until.remaining() - 0.05)
        connection = await site.connect()
        await curio.sleep(0.2)
        head, _ = await standins.request(connection, '/whole/x')
        assert head.status == 503
        await connection.close()
        await stopping.join()

    @standins.on_site
    async def test_request_that_usually_ends_in_time_is_served(self, site):
        await raise_timeouts(site)
        await ask(site, '/whole/x', request_id='first')
        stopping = await begin_stop(site)
        head, body, _ = await ask(site, '/whole/x')
        assert (head.status, body) == (200, b'whole answer')
        await stopping.join()

    @pytest.mark.parametrize(
        ('path', 'method'), (('/once/x', 'POST'), ('/rigid/x', 'GET'))
    )
    @standins.on_site
    async def test_what_may_run_once_needs_its_whole_deadline(
        self, site, path, method
    ):
        """One that was longer than those before it was cut off."""
        await raise_timeouts(site)
        await ask(site, path, method, request_id='first')
        stopping = await begin_stop(site)
        head, _, _ = await ask(site, path, method)
        assert (head.status, len(site.arrivals())) == (503, 1)
        await stopping.join()


class TestFurtherWork:
    """Guards against further work on a request that the stop cuts off."""

    @standins.on_site
    async def test_request_is_not_retried_if_the_stop_cuts_the_retry(
        self, site
    ):
        await raise_timeouts(site)
        set_actions(site, after(0.3, standins.disconnect), after(LONG_SECONDS))
        request = await curio.spawn(ask, site, '/whole/x')
        await standins.wait_until(site.arrivals)
        stopping = await begin_stop(site)
        head, _, seconds = await request.join()
        assert (head.status, len(site.arrivals())) == (502, 1)
        assert seconds < 0.3 + AT_ONCE_SECONDS
        await stopping.join()

    @standins.on_site
    async def test_answer_is_kept_if_the_stop_cuts_the_larger_model(
        self, site
    ):
        await raise_timeouts(site)
        for runner in site.runners.values():
            runner.confidence = {'small': 0}
        set_actions(
            site, after(0.3, standins.send_stream), after(LONG_SECONDS)
        )
        request = await curio.spawn(ask, site, '/stream/x')
        await standins.wait_until(site.arrivals)
        stopping = await begin_stop(site)
        head, body, _ = await request.join()
        assert (head.status, body) == (200, standins.events(4))
        assert len(site.arrivals()) == 1
        await stopping.join()

    @standins.on_site
    async def test_answer_that_is_held_goes_on_before_the_stop_ends(
        self, site
    ):
        """It was cut off together with the larger model."""
        await raise_timeouts(site, goalMs=10000)
        for runner in site.runners.values():
            runner.confidence = {'small': 0}
        set_actions(site, standins.send_stream, standins.never_respond)
        request = await curio.spawn(ask, site, '/stream/x')
        await standins.wait_until(lambda: len(site.arrivals()) == 2)
        stopping = await begin_stop(site)
        head, body, _ = await request.join()
        assert (head.status, body) == (200, standins.events(4))
        await stopping.join()

    @standins.on_site
    async def test_request_that_waits_for_an_endpoint_is_refused_in_time(
        self, site
    ):
        await raise_timeouts(site)
        for runner in site.router.runners.of_service('app'):
            site.router.closures.close(runner, 0.3, 1)
        set_actions(site, after(LONG_SECONDS))
        request = await curio.spawn(ask, site, '/whole/x')
        await curio.sleep(0.02)
        stopping = await begin_stop(site)
        head, _, seconds = await request.join()
        assert (head.status, site.arrivals()) == (503, [])
        assert seconds < 1.0
        await stopping.join()

    @standins.on_site
    async def test_stream_is_not_resumed_if_the_stop_cuts_the_rest(self, site):
        await raise_timeouts(site)
        set_actions(
            site, after(0.3, begin_stream_and_break), after(LONG_SECONDS)
        )
        connection = await site.connect()
        await http.send_request(
            connection,
            'GET',
            '/stream/x',
            standins.request_headers(
                '/stream/x', celeryward_deadline_ms=str(TIMEOUT_MILLISECONDS)
            ),
            b'',
        )
        await standins.wait_until(site.arrivals)
        stopping = await begin_stop(site)
        began = time.monotonic()
        with pytest.raises(http.Disconnected):
            while True:
                event = await connection.receive(
                    'read', deadlines.Deadline.after(5.0)
                )
                assert not isinstance(event, h11.EndOfMessage)
        assert time.monotonic() - began < 0.3 + AT_ONCE_SECONDS
        assert len(site.arrivals()) == 1
        await connection.close()
        await stopping.join()
