"""Requests that wait while two changes come, and end in exactly one way.

Each ends in one of: whole answer, true refusal, stated failure.
"""

import time

import curio
import h11
import pytest

from celeryward import deadlines
from celeryward.endpoints import closures
from tests import platform_standins as standins

# Until an endpoint that closes in a test opens again.
PAUSE_SECONDS = 1.0
# A decision that needs no answer of an endpoint is made within this time.
AT_ONCE_SECONDS = 0.5
# Requests are kept for up to half of it.
OBJECTIVE_MS = 4000
# By which an answer may come after the timeout of its route.
LATE_SECONDS = 0.25
WHOLE = b'whole answer'


@pytest.fixture
def site():
    return standins.default_site()


class Changes:
    """Changes of one site, each applied when its call returns."""

    def __init__(self, site):
        self.site = site
        self.version = 1

    async def apply(self, **more):
        """Put the next configuration into force."""
        self.version += 1
        spec = standins.configuration(self.version, **more)
        await self.site.store.put('config', 'main', spec)
        holder = self.site.router.configuration
        await standins.wait_until(
            lambda: holder.current.version == self.version
        )

    async def apply_route(self, **fields):
        """Change fields of the route ``whole``."""
        routes = standins.configuration()['routes']
        routes[0] = routes[0] | fields
        await self.apply(routes=routes)

    async def remove_endpoints(self, *names):
        """Remove endpoints from the list."""
        listed = self.site.router.runners.runners
        for name in names:
            await self.site.store.delete('servers', name)
        await standins.wait_until(lambda: not set(names) & set(listed))

    async def add_endpoints(self, *names):
        """List endpoints."""
        for name in names:
            entry = self.site.runners[name].entry()
            await self.site.store.put('servers', name, entry)
        await self.wait_listed(*names)

    async def wait_listed(self, *names):
        """Wait until endpoints are listed."""
        listed = self.site.router.runners.runners
        await standins.wait_until(lambda: set(names) <= set(listed))


def set_action(site, action):
    """Let all endpoints answer with an action."""
    for runner in site.runners.values():
        runner.default_action = action


def next_of(actions):
    """Return an action that takes the next of some actions."""

    async def action(runner, connection, arrival):
        await actions.pop(0)(runner, connection, arrival)

    return action


async def close_all(changes):
    """Close all endpoints of the routes of whole answers for a while."""
    routes = standins.configuration()['routes']
    objective = {'goalMs': OBJECTIVE_MS}
    await changes.apply(routes=[each | objective for each in routes])
    router = changes.site.router
    for runner in router.runners.of_service('app'):
        router.closures.close(runner, PAUSE_SECONDS, 1)


async def wait_until_kept(site, count=1):
    """Wait until requests are kept for an endpoint that opens."""
    kept = site.router.relay.waiter.kept
    await standins.wait_until(lambda: kept.count() == count)


async def wait_for_arrivals(site, count):
    """Wait until endpoints have got a number of requests or more."""
    await standins.wait_until(lambda: len(site.arrivals()) >= count)


def check_nothing_is_left(site):
    """Check that no request holds anything at the router."""
    assert not site.router.relay.waiter.kept.count()
    assert not site.router.closures.places
    assert not site.router.outcomes.in_flight
    assert not site.router.forwarder.exchanges


async def answer_late(runner, connection, arrival):
    """Answer after two changes."""
    await curio.sleep(0.4)
    await standins.send_default_response(runner, connection, arrival)


async def fail_late(runner, connection, arrival):
    """Answer with an error after two changes."""
    await curio.sleep(0.3)
    await standins.respond_with(500, b'failed')(runner, connection, arrival)


class TestService:
    """Guards against requests that wait on for a service that is gone."""

    @standins.on_site
    async def test_kept_requests_wait_on_after_their_service_is_gone(
        self, site
    ):
        changes = Changes(site)
        await close_all(changes)
        requests = [
            await curio.spawn(site.request, '/whole/') for _ in range(4)
        ]
        await wait_until_kept(site, 4)
        await changes.remove_endpoints('app-1', 'app-2')
        gone_at = time.monotonic()
        answers = [await each.join() for each in requests]
        assert time.monotonic() - gone_at < AT_ONCE_SECONDS
        assert [head.status for head, _ in answers] == [503] * 4
        assert all('retry-after' in head.headers for head, _ in answers)
        assert not site.arrivals()
        check_nothing_is_left(site)

    @standins.on_site
    async def test_kept_request_gets_an_endpoint_that_came_back(self, site):
        changes = Changes(site)
        await close_all(changes)
        request = await curio.spawn(site.request, '/whole/')
        await wait_until_kept(site)
        await changes.remove_endpoints('app-2')
        # It started after its former run refused, whatever clocks differ by.
        started_at = time.time() + 2 * closures.CLOCK_ERROR_SECONDS
        restarted = site.runners['app-2'].entry()
        restarted['born'] = int(started_at * 1000)
        await site.store.put('servers', 'app-2', restarted)
        await changes.wait_listed('app-2')
        back_at = time.monotonic()
        head, body = await request.join()
        assert time.monotonic() - back_at < AT_ONCE_SECONDS
        assert (head.status, body) == (200, WHOLE)
        assert len(site.runners['app-2'].arrivals) == 1
        check_nothing_is_left(site)

    @standins.on_site
    async def test_request_at_an_endpoint_that_left_and_came_back(self, site):
        set_action(site, answer_late)
        changes = Changes(site)
        request = await curio.spawn(site.request, '/once/')
        await wait_for_arrivals(site, 1)
        await changes.remove_endpoints('app-1', 'app-2')
        await changes.add_endpoints('app-1', 'app-2')
        head, body = await request.join()
        assert (head.status, body) == (200, WHOLE)
        assert len(site.arrivals()) == 1
        check_nothing_is_left(site)

    @standins.on_site
    async def test_retry_after_all_endpoints_have_left(self, site):
        set_action(site, fail_late)
        changes = Changes(site)
        request = await curio.spawn(site.request, '/whole/')
        await wait_for_arrivals(site, 1)
        await changes.apply(services=[{'name': 'llm'}])
        await changes.remove_endpoints('app-1', 'app-2')
        head, body = await request.join()
        assert (head.status, body) == (500, b'failed')
        assert len(site.arrivals()) == 1
        check_nothing_is_left(site)


class TestRoute:
    """Guards against requests that a moved route leaves without an answer."""

    @pytest.mark.parametrize('path', ('/whole/', '/once/', '/stream/'))
    @standins.on_site
    async def test_route_moves_and_returns_under_a_request(self, site, path):
        set_action(site, answer_late)
        changes = Changes(site)
        request = await curio.spawn(site.request, path)
        await wait_for_arrivals(site, 1)
        routes = standins.configuration()['routes']
        moved = [
            each | {'service': 'app' if each['service'] == 'llm' else 'llm'}
            for each in routes
        ]
        await changes.apply(routes=moved)
        await changes.apply(routes=routes)
        head, body = await request.join()
        whole = standins.events(4) if path == '/stream/' else WHOLE
        assert (head.status, body) == (200, whole)
        assert len(site.arrivals()) == 1
        check_nothing_is_left(site)

    @standins.on_site
    async def test_route_is_removed_and_moved_under_a_kept_request(self, site):
        changes = Changes(site)
        await close_all(changes)
        request = await curio.spawn(site.request, '/whole/')
        await wait_until_kept(site)
        await changes.apply(routes=standins.configuration()['routes'][1:])
        await changes.apply_route(service='llm')
        head, body = await request.join()
        assert (head.status, body) == (200, WHOLE)
        assert len(site.arrivals()) == 1
        check_nothing_is_left(site)

    @standins.on_site
    async def test_route_changes_before_and_after_a_refused_dispatch(
        self, site
    ):
        """The request waits, is turned away, and waits again."""
        for each in ('app-1', 'app-2'):
            site.runners[each].scripted_actions.append(
                standins.turn_away('0.1')
            )
        changes = Changes(site)
        await close_all(changes)
        request = await curio.spawn(site.request, '/whole/')
        await wait_until_kept(site)
        await changes.apply_route(service='llm', maxAttempts=1)
        await wait_for_arrivals(site, 1)
        await changes.apply_route(kind='non_idempotent')
        head, body = await request.join()
        assert (head.status, body) == (200, WHOLE)
        check_nothing_is_left(site)


class TestTimeout:
    """Guards against requests that no deadline ends after a change."""

    @pytest.mark.parametrize('timeout_ms', (100, 60000))
    @standins.on_site
    async def test_timeout_changes_before_and_during_a_retry(
        self, site, timeout_ms
    ):
        started = time.monotonic()
        actions = [fail_late, standins.never_respond]
        for runner in site.runners.values():
            runner.default_action = next_of(actions)
        changes = Changes(site)
        request = await curio.spawn(site.request, '/whole/')
        await wait_for_arrivals(site, 1)
        await changes.apply_route(timeoutMs=timeout_ms, goalMs=50)
        await wait_for_arrivals(site, 2)
        await changes.apply_route(timeoutMs=timeout_ms + 10, goalMs=20)
        head, _ = await request.join()
        assert head.status in (500, 502, 504)
        seconds = time.monotonic() - started
        assert 2.0 <= seconds < 2.0 + LATE_SECONDS
        check_nothing_is_left(site)

    @standins.on_site
    async def test_timeout_changes_under_a_kept_request(self, site):
        changes = Changes(site)
        await close_all(changes)
        set_action(site, standins.never_respond)
        started = time.monotonic()
        request = await curio.spawn(site.request, '/once/')
        await wait_until_kept(site)
        routes = standins.configuration()['routes']
        for seconds in (60, 0.05):
            limits = {'timeoutMs': int(seconds * 1000)}
            await changes.apply(routes=[each | limits for each in routes])
        head, _ = await request.join()
        assert head.status == 504
        seconds = time.monotonic() - started
        assert 2.0 <= seconds < 2.0 + LATE_SECONDS
        check_nothing_is_left(site)


class TestKey:
    """Guards against requests that are lost with the key of their caller."""

    @pytest.mark.parametrize('is_kept', (True, False))
    @standins.on_site
    async def test_key_is_revoked_and_given_to_another_customer(
        self, site, is_kept
    ):
        set_action(site, answer_late)
        changes = Changes(site)
        if is_kept:
            await close_all(changes)
        request = await curio.spawn(site.request, '/whole/')
        await standins.wait_until(lambda: site.router.gateway.active)
        await curio.sleep(0.05)
        other = {'name': 'customer-b', 'apiKeys': [standins.KEY]}
        await changes.apply(tenants=[])
        await changes.apply(tenants=[other | {'priority': 0}])
        head, body = await request.join()
        assert (head.status, body) == (200, WHOLE)
        tenants = {
            each.head.headers['celeryward-tenant'] for each in site.arrivals()
        }
        assert tenants == {'customer-a'}
        check_nothing_is_left(site)


class TestLimits:
    """Guards against requests that a smaller limit cuts while they come."""

    @standins.on_site
    async def test_limits_shrink_under_a_head_and_under_its_body(self, site):
        changes = Changes(site)
        connection = await site.connect()
        body = b'x' * 400
        head = standins.request_headers('/whole/')
        head['content-length'] = str(len(body))
        lines = [f'{name}: {value}' for name, value in head.items()]
        text = '\r\n'.join(['POST /whole/ HTTP/1.1', *lines, '', ''])
        data = text.encode() + body
        smaller = {'idleTimeoutMs': 100, 'headerTimeoutMs': 100}
        await connection.send_bytes('send', data[:20])
        await curio.sleep(0.1)
        await changes.apply(limits=smaller | {'maxBodyBytes': 500})
        await curio.sleep(0.3)
        await connection.send_bytes('send', data[20:-100])
        await changes.apply(limits=smaller | {'maxBodyBytes': 1})
        await curio.sleep(0.3)
        await connection.send_bytes('send', data[-100:])
        answer, content = await receive(connection)
        assert (answer.status, content) == (200, WHOLE)
        await connection.close()


async def receive(connection):
    """Return head and body of an answer to bytes that were sent."""
    connection.h11.send(
        h11.Request(method='GET', target='/', headers=[('host', 'x')])
    )
    connection.h11.send(h11.EndOfMessage())
    deadline = deadlines.Deadline.after(5.0)
    head = await connection.receive_response(deadline)
    return head, await connection.receive_body('read body', deadline)
