"""Waits of a request that had no end, or one that came too late."""

import dataclasses
import time

import curio
import pytest

from celeryward import deadlines
from celeryward import http
from celeryward import listener
from tests import fakes
from tests import platform_standins as standins
from tests import test_two_changes as two_changes


@pytest.fixture
def site():
    return standins.default_site()


class TestWatchedCaller:
    """Guards against requests that end with the watch on their caller."""

    @standins.on_site
    async def test_request_ends_unanswered_with_the_watch_on_its_caller(
        self, site, monkeypatch
    ):
        """It was cancelled as if the caller had left."""

        async def fail(connection):
            raise curio.ReadResourceBusy('another task reads the socket')

        two_changes.set_action(site, two_changes.answer_late)
        monkeypatch.setattr(http.Connection, 'wait_closed', fail)
        head, body = await site.request('/whole/')
        assert (head.status, body) == (200, two_changes.WHOLE)


class TestReading:
    """Guards against requests whose reading fails without an answer."""

    @standins.on_site
    async def test_unexpected_error_of_reading_closes_the_connection(
        self, site
    ):
        async def fail(connection, hold):
            raise curio.ReadResourceBusy('another task reads the socket')

        site.router.gateway.reader.read = fail
        head, _ = await site.request('/whole/')
        assert head.status == 503
        assert not site.arrivals()


class TestVersions:
    """Guards against requests behind one that waits for another version."""

    @standins.on_site
    async def test_closed_version_holds_back_requests_of_another(self, site):
        """They waited for half of their objective beside open endpoints."""
        changes = two_changes.Changes(site)
        new = standins.RunnerStandIn('app-3', 'app', software='v2')
        site.runners[new.id] = new
        await new.start()
        await changes.add_endpoints(new.id)
        site.router.releases.choose = choose_by_request_id
        await two_changes.close_all(changes)
        first = await curio.spawn(request_named, site, 'v2-request')
        await two_changes.wait_until_kept(site)
        second = await curio.spawn(request_named, site, 'v1-request')
        await two_changes.wait_until_kept(site, 2)
        open_version(site, 'v1')
        opened_at = time.monotonic()
        head, body = await second.join()
        assert time.monotonic() - opened_at < two_changes.AT_ONCE_SECONDS
        assert (head.status, body) == (200, two_changes.WHOLE)
        head, body = await first.join()
        assert (head.status, body) == (200, two_changes.WHOLE)
        assert len(new.arrivals) == 1
        two_changes.check_nothing_is_left(site)


def choose_by_request_id(service, present, initial, session, request_id):
    """Return the version that the id of a request begins with."""
    return request_id[:2]


def open_version(site, software):
    """Open the endpoints of a version that are closed."""
    router = site.router
    for runner in router.runners.of_service('app'):
        if runner.software == software:
            del router.closures.states[runner.address]


async def request_named(site, request_id):
    """Send a request with an id of its own."""
    return await site.request('/whole/', request_id=request_id)


class TestRetryBudget:
    """Guards against kept requests that a refused one does not wake."""

    @standins.on_site
    async def test_request_behind_a_refused_retry_waits_on(self, site):
        """It waited for half of its objective beside open endpoints."""
        for each in ('app-1', 'app-2'):
            site.runners[each].scripted_actions.append(
                standins.turn_away(str(two_changes.PAUSE_SECONDS))
            )
        changes = two_changes.Changes(site)
        routes = standins.configuration()['routes']
        objective = {'goalMs': two_changes.OBJECTIVE_MS}
        await changes.apply(routes=[each | objective for each in routes])
        tokens = [True, False]
        budget = site.router.relay.retries.budgets['app']
        budget.take_above = lambda reserve: tokens.pop(0)
        first = await curio.spawn(request_named, site, 'first')
        await two_changes.wait_until_kept(site)
        second = await curio.spawn(request_named, site, 'second')
        await two_changes.wait_until_kept(site, 2)
        head, _ = await first.join()
        assert head.status == 503
        refused_at = time.monotonic()
        head, body = await second.join()
        assert time.monotonic() - refused_at < two_changes.AT_ONCE_SECONDS
        assert (head.status, body) == (200, two_changes.WHOLE)
        two_changes.check_nothing_is_left(site)


class TestProbe:
    """Guards against requests that the probe of an endpoint holds up."""

    def probe_slowly(self, site, runner):
        """Let connections to an endpoint time out once it has a request."""
        pool = site.router.connections
        open_connection = pool.open

        async def open_slowly(endpoint, deadline):
            if endpoint.id != runner.id or not runner.arrivals:
                return await open_connection(endpoint, deadline)
            await curio.sleep(deadline.remaining())
            raise standins.connect_timeout(endpoint)

        pool.timings = dataclasses.replace(site.tuning, connect_timeout=2.0)
        pool.open = open_slowly

    @standins.on_site
    async def test_probe_of_an_endpoint_outlasts_the_deadline(self, site):
        for runner in tuple(site.runners.values()):
            runner.default_action = disconnect_late
        await two_changes.Changes(site).remove_endpoints('app-2')
        self.probe_slowly(site, site.runners['app-1'])
        started = time.monotonic()
        head, _ = await site.request('/once/', celeryward_deadline_ms='500')
        assert head.status in (502, 504)
        assert time.monotonic() - started < 0.5 + two_changes.LATE_SECONDS

    @standins.on_site
    async def test_answer_of_a_hedge_waits_for_the_probe_of_another_endpoint(
        self, site
    ):
        broken, sound = site.runners['app-1'], site.runners['app-2']
        broken.default_action = disconnect_late
        sound.default_action = two_changes.answer_late
        self.probe_slowly(site, broken)
        routes = two_changes.Changes(site)
        await routes.apply_route(goalMs=100)
        site.router.outcomes.set_lost('app-2', True)
        request = await curio.spawn(site.request, '/whole/')
        await two_changes.wait_for_arrivals(site, 1)
        site.router.outcomes.set_lost('app-2', False)
        await standins.wait_until(lambda: sound.ended)
        ended_at = time.monotonic()
        head, body = await request.join()
        assert time.monotonic() - ended_at < two_changes.AT_ONCE_SECONDS
        assert (head.status, body) == (200, two_changes.WHOLE)
        assert len(broken.arrivals) == 1
        two_changes.check_nothing_is_left(site)


async def disconnect_late(runner, connection, arrival):
    """Close the connection just before the deadline."""
    await curio.sleep(0.3)
    await standins.disconnect(runner, connection, arrival)


class TestIdleEnd:
    """Guards against requests that the end of their idle time cuts."""

    @fakes.in_kernel
    async def test_connection_closes_inside_a_head_at_its_idle_end(self):
        async def serve(connection):
            async def answer(head):
                await http.send_response(
                    connection, 200, {}, two_changes.WHOLE
                )

            await listener.serve_ignoring_bodies(connection, answer, 0.4, 1.0)

        accepting = listener.Listener('127.0.0.1', 0, serve)
        await accepting.start()
        limit = deadlines.Deadline.after(2.0)
        connection = await http.connect('127.0.0.1', accepting.port, limit)
        await curio.sleep(0.2)
        await connection.send_bytes('send', b'GET / HTTP/1.1\r\n')
        await curio.sleep(0.4)
        await connection.send_bytes('send', b'host: x\r\n\r\n')
        answer, content = await two_changes.receive(connection)
        assert (answer.status, content) == (200, two_changes.WHOLE)
        await connection.close()
        await accepting.stop_accepting()


class TestKeptBesideOthers:
    """Guards against refusals because of one that can use less endpoints."""

    @standins.on_site
    async def test_retry_that_finds_no_opening_refuses_kept_requests(
        self, site
    ):
        """All of them got 503, although an endpoint opened in time."""
        await raise_objective(two_changes.Changes(site))
        failing, closed = site.runners['app-1'], site.runners['app-2']
        failing.scripted_actions.append(disconnect_late)
        close(site, closed, 60.0)
        retried = await curio.spawn(request_named, site, 'retried')
        await two_changes.wait_for_arrivals(site, 1)
        close(site, failing, 1.0)
        kept = await curio.spawn(request_named, site, 'kept')
        await two_changes.wait_until_kept(site)
        head, _ = await retried.join()
        assert head.status == 502
        head, body = await kept.join()
        assert (head.status, body) == (200, two_changes.WHOLE)

    @standins.on_site
    async def test_version_that_opens_late_refuses_requests_of_another(
        self, site
    ):
        new = standins.RunnerStandIn('app-3', 'app', software='v2')
        site.runners[new.id] = new
        await new.start()
        changes = two_changes.Changes(site)
        await changes.add_endpoints(new.id)
        site.router.releases.choose = choose_by_request_id
        await two_changes.close_all(changes)
        close(site, new, 60.0)
        kept = await curio.spawn(request_named, site, 'v1-request')
        await two_changes.wait_until_kept(site)
        head, _ = await request_named(site, 'v2-request')
        assert head.status == 503
        head, body = await kept.join()
        assert (head.status, body) == (200, two_changes.WHOLE)


async def raise_objective(changes):
    """Let requests be kept for long."""
    objective = {'goalMs': two_changes.OBJECTIVE_MS}
    await changes.apply_route(**objective)


def close(site, runner, seconds):
    """Close an endpoint."""
    listed = site.router.runners.runners[runner.id]
    site.router.closures.close(listed, seconds, 1)
