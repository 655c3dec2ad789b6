"""Routers that follow operators' drains, with a stand-in for the store."""

import dataclasses
import itertools

import curio
import loguru
import pytest

from celeryward import connection_limits
from celeryward import http
from celeryward import router_settings
from tests import fakes
from tests import platform_standins as standins
from tests import test_passed_changes as followers

KIND = 'evacuations'
# Polls wait 1 s: the bound less timeout, retry, propagation and follower.
BOUNDS = dataclasses.replace(standins.BOUNDS, domain_drain_seconds=2.8)
TUNING = router_settings.Tuning(
    configuration_wait=0.3,
    object_wait=5.0,
    stop_accepting_after=0.3,
    store_timeout=0.3,
)


def make_site(bounds=BOUNDS, zones='ab'):
    """Return a site with one endpoint in each failure domain."""
    runners = [
        standins.RunnerStandIn(f'{service}-{zone}', service, zone=zone)
        for service in ('app', 'llm')
        for zone in zones
    ]
    return standins.Site(runners, TUNING, bounds)


@pytest.fixture
def site():
    return make_site()


async def drain(site, *zones):
    """Drain failure domains, and wait until the router knows."""
    for zone in zones:
        await site.store.put(KIND, zone, {})
    state = site.router.runners.drains
    await standins.wait_until(lambda: state.drained >= set(zones), 0.5)


def poll_count(requests):
    """Return the number of calls to the store for the kind."""
    return sum(KIND in target for _, target in requests)


def arrivals(site, name):
    """Return the number of requests that arrived at an endpoint."""
    return len(site.runners[name].arrivals)


class TestDisabled:
    """Guards against any effect where the platform has no such bound."""

    @fakes.in_kernel
    async def test_nothing_changes_without_the_bound(self):
        site = make_site(standins.BOUNDS)
        await site.store.put(KIND, 'a', {})
        await site.start()
        for _ in range(20):
            head, _ = await site.request('/whole/x')
            assert head.status == 200
        await curio.sleep(0.5)
        assert poll_count(site.store.requests) == 0
        assert arrivals(site, 'app-a') > 0
        view = site.router.view
        assert len(view.watchers) == 3
        assert KIND not in view.change_logs
        status, _ = await view.publisher.answer(f'/objects/{KIND}')
        assert status == 400
        await site.stop()


class TestConnectionsOfFollowers:
    """Guards against a kind that the limit for other routers leaves out."""

    @standins.on_site
    async def test_each_followed_kind_counts(self, site):
        watchers = site.router.view.watchers
        assert len(watchers) == connection_limits.FOLLOWED_KINDS


class TestDispatch:
    """Guards against requests in a drained failure domain."""

    @standins.on_site
    async def test_nothing_arrives_until_the_drain_ends(self, site):
        await drain(site, 'a')
        for path in ('/whole/x', '/once/x', '/stream/x') * 5:
            head, _ = await site.request(path)
            assert head.status == 200
        assert arrivals(site, 'app-a') == arrivals(site, 'llm-a') == 0
        await site.store.delete(KIND, 'a')
        state = site.router.runners.drains
        await standins.wait_until(lambda: not state.drained, 0.5)
        for number in itertools.count():
            await site.request('/whole/x', request_id=f'r{number}')
            if arrivals(site, 'app-a'):
                break

    @standins.on_site
    async def test_drain_during_connecting_sends_it_elsewhere(self, site):
        pool = site.router.connections
        open_connection = pool.open
        drained = []

        async def open_late(endpoint, deadline):
            connection = await open_connection(endpoint, deadline)
            if not drained:
                drained.append(endpoint.id)
                await drain(site, endpoint.failure_domain)
            return connection

        pool.open = open_late
        head, _ = await site.request('/once/x', 'POST')
        assert head.status == 200
        assert arrivals(site, drained[0]) == 0

    @pytest.mark.parametrize('path', ('/whole/x', '/stream/x'))
    @standins.on_site
    async def test_retry_and_resumed_stream_stay_away(self, site, path):
        await drain(site, 'a')

        async def break_off(runner, connection, arrival):
            last = 2 if arrival.model else None
            if last:
                await standins.send_stream(runner, connection, arrival, last)
            raise http.Disconnected('broken', step='answer', peer='test')

        for name in ('app-b', 'llm-b'):
            site.runners[name].default_action = break_off
        try:
            head, _ = await site.request(path)
        except http.Disconnected:
            assert path == '/stream/x'
        else:
            assert head.status in (502, 503)
        assert arrivals(site, 'app-a') == arrivals(site, 'llm-a') == 0

    @standins.on_site
    async def test_late_answer_is_not_hedged_there(self, site):
        await drain(site, 'a')
        site.runners['app-b'].default_action = standins.never_respond
        head, _ = await site.request('/whole/x', celeryward_deadline_ms='900')
        assert head.status >= 500
        assert arrivals(site, 'app-a') == 0

    @standins.on_site
    async def test_running_work_ends_and_idle_connections_close(self, site):
        begun = curio.Event()

        async def slow(runner, connection, arrival):
            await begun.set()
            await curio.sleep(0.6)
            await standins.send_default_response(runner, connection, arrival)

        site.runners['app-a'].default_action = slow
        async with curio.TaskGroup() as group:
            while not begun.is_set():
                task = await group.spawn(site.request, '/once/x', 'POST')
                await curio.sleep(0.05)
            await drain(site, 'a')
        assert task.result[0].status == 200
        runner = site.router.runners.runners['app-a']
        idle = site.router.connections
        await curio.sleep(0.5)
        assert await idle.close_idle(runner) == 0

    @pytest.mark.parametrize('zones', ('a', 'ab'))
    @standins.on_site
    async def test_waiting_request_is_refused_at_once(self, site, zones):
        table, closures = site.router.runners, site.router.closures
        closures.close(table.runners['app-a'], 0.4, 8)
        closures.close(table.runners['app-b'], 30.0, 8)
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(site.request, '/whole/x') for _ in range(3)
            ]
            await standins.wait_until(site.router.relay.waiter.kept.count)
            await drain(site, *zones)
            async with curio.timeout_after(0.25):
                await group.join()
        assert {task.result[0].status for task in tasks} == {503}
        assert site.arrivals() == []


class TestRefusals:
    """Guards against requests that wait in vain or return in one step."""

    @standins.on_site
    async def test_all_domains_drained(self, site):
        await drain(site, 'a', 'b')
        delays = set()
        async with curio.timeout_after(1.0):
            for _ in range(20):
                head, _ = await site.request('/once/x', 'POST')
                assert head.status == 503
                delays.add(float(head.headers['retry-after']))
        assert 0.3 < min(delays) < max(delays) <= 4.0
        assert max(delays) - min(delays) > 1.0
        assert site.arrivals() == []
        text = site.router.metrics.exposition().decode()
        assert (
            'failures_total{code="endpoints_drained",route="once"} 20' in text
        )
        assert 'failure_domains_drained 2.0' in text

    @fakes.in_kernel
    async def test_one_drained_and_one_lost_while_the_rest_is_full(self):
        site = make_site(zones='abc')
        await site.start()
        await drain(site, 'a')
        await site.runners['app-c'].stop()
        site.runners['app-b'].retry_after = '5'
        for number in range(6):
            async with curio.timeout_after(0.5):
                head, _ = await site.request('/whole/x')
            assert head.status == 503
            assert float(head.headers['retry-after']) > 0
        assert arrivals(site, 'app-a') == 0
        await site.stop()


class TestFollowing:
    """Guards against drains that are lost, late or made up."""

    @standins.on_site
    async def test_object_that_can_not_be_read_counts_by_its_name(self, site):
        site.store.revision += 1
        entry = {'meta': {'name': 'a', 'revision': None}, 'spec': 7}
        await site.store.store(KIND, 'a', entry, False)
        state = site.router.runners.drains
        await standins.wait_until(lambda: state.is_drained('a'), 0.5)
        text = site.router.metrics.exposition().decode()
        assert f'entries_ignored_total{{kind="{KIND}"}} 1.0' in text

    @standins.on_site
    async def test_domain_that_does_not_exist_has_no_effect(self, site):
        lines = []
        sink = loguru.logger.add(lines.append, level='WARNING')
        await drain(site, 'nowhere')
        # The same order once more is no news.
        await site.store.put(KIND, 'nowhere', {})
        await curio.sleep(0.1)
        loguru.logger.remove(sink)
        assert sum('has no endpoint' in line for line in lines) == 1
        for _ in range(10):
            head, _ = await site.request('/whole/x')
            assert head.status == 200

    @standins.on_site
    async def test_drain_removed_in_the_same_answer_has_no_effect(self, site):
        site.store.revision += 1
        entry = (await site.store.put('other', 'a', {})) | {}
        events = site.store.history
        events.append((site.store.revision, KIND, {'object': entry}))
        site.store.objects[(KIND, 'a')] = entry
        await site.store.delete(KIND, 'a')
        await curio.sleep(0.3)
        state = site.router.runners.drains
        assert state.count == 1
        assert not state.drained
        assert not state.avoided('request-1')

    @standins.on_site
    async def test_state_outlives_an_outage_and_a_list_replaces_it(self, site):
        await drain(site, 'a')
        site.store.unavailable = True
        await curio.sleep(1.5)
        state = site.router.runners.drains
        assert state.drained == {'a'}
        await site.store.delete(KIND, 'a')
        await site.store.put(KIND, 'b', {})
        await site.store.compact()
        site.store.unavailable = False
        await standins.wait_until(lambda: state.drained == {'b'}, 3.0)

    @fakes.in_kernel
    async def test_router_is_not_ready_without_the_list(self, site):
        site.store.unresponsive_kinds = frozenset((KIND,))
        await site.store.put(KIND, 'a', {})
        starting = await curio.spawn(site.start)
        await curio.sleep(1.0)
        assert site.router.configuration.current is not None
        assert site.router.runners.runners
        assert not site.router.is_ready()
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0
        site.store.unresponsive_kinds = frozenset()
        await starting.join()
        assert site.router.runners.drains.drained == {'a'}
        assert site.arrivals() == []
        await site.stop()

    @standins.on_site
    async def test_silent_connection_delays_it_within_the_bound(self, site):
        site.store.stalled_watch_kinds = frozenset((KIND,))
        await site.store.put(KIND, 'a', {})
        state = site.router.runners.drains
        await standins.wait_until(
            lambda: state.is_drained('a'), BOUNDS.domain_drain_seconds
        )

    @standins.on_site
    async def test_changed_bound_changes_the_wait(self, site):
        view = site.router.view
        wait = view.watchers[-1].timings.wait_seconds
        view.set_bounds(dataclasses.replace(BOUNDS, domain_drain_seconds=3.3))
        assert view.watchers[-1].timings.wait_seconds == pytest.approx(
            wait + 0.5
        )
        view.set_bounds(standins.BOUNDS)
        assert view.watchers[-1].timings.wait_seconds == wait

    @standins.on_site
    async def test_one_waiting_call_and_none_to_catch_up(self, site):
        site.store.requests.clear()
        runner = site.runners['app-a']
        for _ in range(12):
            # Each new revision makes the other watchers catch up.
            await site.store.put('servers', runner.id, runner.entry())
            await curio.sleep(0.25)
        assert 1 <= poll_count(site.store.requests) <= 4


def on_pair(test):
    """Run a coroutine test on a leader and its follower with drains."""

    @fakes.in_kernel
    async def run(self):
        pair = followers.Pair(make_site())
        await pair.start()
        try:
            await test(self, pair)
        finally:
            await pair.stop()

    return run


class TestFollowers:
    """Guards against drains that reach followers late or by the store."""

    @on_pair
    async def test_drain_reaches_the_follower_by_few_messages(self, pair):
        state = pair.follower.runners.drains
        answer, seen = pair.leader.view.publisher.answer, []

        async def count(target, body=b''):
            seen.append(target)
            return await answer(target, body)

        pair.leader.view.publisher.answer = count
        before = pair.follower.view.store.calls
        await pair.site.store.put(KIND, 'a', {})
        await standins.wait_until(lambda: state.is_drained('a'), 0.5)
        await pair.site.store.delete(KIND, 'a')
        await standins.wait_until(lambda: not state.drained, 0.5)
        seen.clear()
        await curio.sleep(2.7)
        assert pair.follower.view.store.calls == before
        assert sum(KIND in target for target in seen) <= 4

    @on_pair
    async def test_leader_with_old_state_relays_nothing(self, pair):
        publisher = pair.leader.view.publisher
        drains = pair.leader.runners.drains
        drains.freshness.confirmed_at -= 5.0
        assert publisher.is_current('config')
        status, _ = await publisher.answer(f'/changes/{KIND}?since=1&wait=0')
        assert status == 503

    @on_pair
    async def test_leader_without_the_kind_is_still_followed(self, pair):
        """One of an earlier release used to be avoided for all kinds."""
        del pair.leader.view.change_logs[KIND]
        pair.site.store.requests.clear()
        await curio.sleep(2.0)
        await pair.site.store.put(KIND, 'a', {})
        state = pair.follower.runners.drains
        await standins.wait_until(lambda: state.is_drained('a'), 0.5)
        assert pair.follower.view.members.leader() is not None
        # Both routers wait at the store, for 1 s each.
        assert poll_count(pair.site.store.requests) <= 9
