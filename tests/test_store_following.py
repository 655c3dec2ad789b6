"""How a router keeps up with the store, tested with a stand-in for it."""

import dataclasses
import math

import curio
import pytest

from celeryward import deadlines
from celeryward import http
from celeryward.objects import client
from celeryward.objects import confirmations
from celeryward.objects import freshness
from celeryward.objects import kind_watcher
from celeryward.objects import protocol as objects
from celeryward.raters import rollout_orders
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.Site(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('llm-1'),
        ]
    )


class TestConfiguration:
    """Guards against configuration that is late or reverts."""

    @standins.on_site
    async def test_new_version_is_in_force_at_once(self, site):
        spec = standins.configuration(7, routes=[])
        await site.store.put('config', 'main', spec)
        holder = site.router.configuration
        await standins.wait_until(lambda: holder.current.version == 7, 0.5)
        head, _ = await site.request('/whole/x')
        assert head.status == 404

    @standins.on_site
    async def test_older_version_never_replaces_a_newer_one(self, site):
        holder = site.router.configuration
        await site.store.put('config', 'main', standins.configuration(9))
        await standins.wait_until(lambda: holder.current.version == 9)
        await site.store.put('config', 'main', standins.configuration(3))
        await curio.sleep(0.2)
        assert holder.current.version == 9

    @standins.on_site
    async def test_expired_revision_causes_a_list(self, site):
        # No watch reports this change.
        stored = site.store.objects[('config', 'main')]
        stored['spec'] = standins.configuration(5)
        site.store.compacted = site.store.revision + 1
        holder = site.router.configuration
        await standins.wait_until(lambda: holder.current.version == 5, 3.0)

    @standins.on_site
    async def test_malformed_configuration_keeps_the_last(self, site):
        await site.store.put('config', 'main', {'version': 'x'})
        await curio.sleep(0.2)
        head, _ = await site.request('/whole/x')
        assert head.status == 200

    @fakes.in_kernel
    async def test_requests_get_503_without_configuration(self, site):
        await site.start(spec=False)
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0
        assert not site.router.is_ready()
        await site.stop()


class TestKeys:
    """Guards against API keys that are accepted after their revocation."""

    @standins.on_site
    async def test_old_confirmation_rejects_requests_with_keys(self, site):
        site.store.unavailable = True
        site.router.freshness.confirmed_at -= 4.0
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0
        head, _ = await site.request('/open/x', authorization=None)
        assert head.status == 200
        head, _ = await site.request('/nowhere/x')
        assert head.status == 503
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_end_of_an_outage_is_detected(self, site):
        site.store.unavailable = True
        await standins.wait_until(
            lambda: not site.router.view.watchers[0].reachable
        )
        site.store.unavailable = False
        await standins.wait_until(
            lambda: site.router.view.watchers[0].reachable, 3.0
        )
        head, _ = await site.request('/whole/x')
        assert head.status == 200

    @standins.on_site
    async def test_change_does_not_age_the_confirmation(self, site):
        """A response with a change confirms nothing after that change.

        Without the short watch after it, the confirmation became older than
        the wait of two watches.
        """
        for version in range(2, 6):
            spec = standins.configuration(version)
            await site.store.put('config', 'main', spec)
            await curio.sleep(0.25)
            age = site.router.freshness.age()
            wait = site.tuning.configuration_wait
            assert age < wait + kind_watcher.CONFIRM_WAIT_SECONDS

    def test_age_counts_from_the_last_confirmation(self):
        now = [100.0]
        fresh = freshness.Freshness(3.0, lambda: now[0])
        assert not fresh.is_fresh()
        fresh.confirm(100.0)
        fresh.confirm(90.0)
        now[0] = 102.9
        assert fresh.is_fresh()
        # The clock also runs while the host is suspended.
        now[0] = 103.1
        assert not fresh.is_fresh()


class TestEndpoints:
    """Guards against endpoints that are used after they have left."""

    @standins.on_site
    async def test_leaving_endpoint_gets_no_new_requests(self, site):
        runner = site.runners['app-1']
        await site.store.put('servers', 'app-1', runner.entry('draining'))
        table = site.router.runners
        await standins.wait_until(lambda: table.runners['app-1'].leaving, 0.5)
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert runner.arrivals == []

    @standins.on_site
    async def test_removed_entry_is_dropped_at_once(self, site):
        # After a failed call to the store, the entry would be kept for 1.4 s.
        assert site.router.view.outages.age() is None
        await site.store.delete('servers', 'app-1')
        table = site.router.runners
        await standins.wait_until(lambda: 'app-1' not in table.runners, 0.5)

    @standins.on_site
    async def test_entry_missing_after_an_outage_is_kept_for_a_while(
        self, site
    ):
        site.store.unavailable = True
        watcher = site.router.view.watchers[0]
        await standins.wait_until(lambda: not watcher.reachable)
        site.store.unavailable = False
        await standins.wait_until(lambda: watcher.reachable, 3.0)
        await site.store.delete('servers', 'app-1')
        await curio.sleep(0.3)
        head, _ = await site.request('/whole/x')
        assert head.status == 200
        await curio.sleep(1.6)
        head, _ = await site.request('/whole/x')
        assert head.status == 503

    @standins.on_site
    async def test_entries_of_other_writers_are_ignored(self, site):
        for number, spec in enumerate(
            (
                {},
                {'service': 'app'},
                {'service': 'app', 'state': 'odd', 'address': 'x'},
                site.runners['app-1'].entry() | {'address': 'nowhere'},
                site.runners['app-1'].entry() | {'slots': 'many'},
                site.runners['app-1'].entry() | {'state': 7},
            )
        ):
            await site.store.put('servers', f'odd-{number}', spec)
        await curio.sleep(0.3)
        assert set(site.router.runners.runners) == {'app-1', 'llm-1'}

    @standins.on_site
    async def test_long_list_is_read_page_by_page(self, site):
        site.store.page_size = 2
        for number in range(7):
            entry = site.runners['app-1'].entry()
            await site.store.put('servers', f'more-{number}', entry)
        outcome = await site.router.view.store.list_pages('servers')
        assert len(outcome.unwrap().items) == 9


class TestVerdicts:
    """Guards against verdicts that are lost, duplicated or overwritten."""

    @standins.on_site
    async def test_verdict_is_written_once(self, site):
        order = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        await site.store.put('rollouts', 'llm', order)
        router_releases = site.router.releases
        await standins.wait_until(lambda: 'llm' in router_releases.progress)
        router_releases.decide('llm', rollout_orders.State.ROLLED_BACK)
        stored = site.store.objects[('rollouts', 'llm')]
        await standins.wait_until(
            lambda: (
                site.store.objects[('rollouts', 'llm')]['status'] is not None
            )
        )
        await curio.sleep(0.4)
        stored = site.store.objects[('rollouts', 'llm')]
        assert stored['status'] == {'state': 'rolled_back', 'target': 'v2'}
        writes = [each for each in site.store.requests if each[0] == 'PUT']
        assert len(writes) == 1

    @standins.on_site
    async def test_router_that_starts_later_has_the_same_schedule(self, site):
        """A restarted router began the schedule of a roll-out again."""
        order = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        await site.store.put('rollouts', 'llm', order)
        key = ('rollouts', 'llm')
        await standins.wait_until(
            lambda: site.store.objects[key]['status'] is not None
        )
        status = site.store.objects[key]['status']
        assert status['state'] == 'running'
        status['startedMs'] -= 20000
        first = site.router
        await site.start_router()
        router_releases = site.router.releases
        await standins.wait_until(lambda: 'llm' in router_releases.progress)
        elapsed = router_releases.progress['llm'].elapsed(
            router_releases.clock()
        )
        assert 19 / 60 < elapsed < 25 / 60
        for task in first.tasks:
            await task.cancel()

    @standins.on_site
    async def test_verdict_of_another_router_is_adopted(self, site):
        order = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        await site.store.put('rollouts', 'llm', order)
        router_releases = site.router.releases
        await standins.wait_until(lambda: 'llm' in router_releases.progress)
        status = {'state': 'done', 'target': 'v2'}
        await site.store.put('rollouts', 'llm', order, status)
        await standins.wait_until(
            lambda: (
                router_releases.progress['llm'].verdict
                is rollout_orders.State.DONE
            )
        )

    @standins.on_site
    async def test_status_of_an_earlier_target_is_not_a_verdict(self, site):
        order = {'service': 'llm', 'target': 'v3', 'durationS': 60}
        status = {'state': 'rolled_back', 'target': 'v2'}
        await site.store.put('rollouts', 'llm', order, status)
        router_releases = site.router.releases
        await standins.wait_until(lambda: 'llm' in router_releases.progress)
        assert (
            router_releases.progress['llm'].verdict
            is rollout_orders.State.RUNNING
        )


class TestOutage:
    """Guards against an outage that multiplies the calls to the store."""

    @standins.on_site
    async def test_only_the_primary_watcher_calls_in_an_outage(self, site):
        site.store.unavailable = True
        primary = site.router.view.watchers[0]
        await standins.wait_until(lambda: not primary.reachable)
        for runner in site.runners.values():
            await site.store.put('servers', runner.id, runner.entry())
        await curio.sleep(1.0)
        site.store.requests.clear()
        await curio.sleep(2.0)
        kinds = {target.split('/')[3] for _, target in site.store.requests}
        kinds = {kind.partition('?')[0] for kind in kinds}
        # The list of routers is read once in that time, without a watch.
        assert kinds - {'routers'} == {'config'}
        site.store.unavailable = False
        await standins.wait_until(
            lambda: all(each.reachable for each in site.router.view.watchers),
            3.0,
        )


class TestMetrics:
    """Guards against metrics that differ from the state of the router."""

    @standins.on_site
    async def test_configuration_and_endpoints_are_exported(self, site):
        connection = await http.connect(
            '127.0.0.1',
            site.router.listeners.metrics.port,
            deadlines.Deadline.after(2.0),
        )
        _, body = await standins.request(connection, '/metrics')
        assert b'celeryward_router_configuration_version 1.0' in body
        assert b'celeryward_router_endpoints 2.0' in body
        await connection.close()


class TestCallRate:
    """Guards against more calls to the store than necessary."""

    @standins.on_site
    async def test_idle_router_watches_only_the_configuration(self, site):
        await curio.sleep(0.2)
        before = site.router.view.store.calls
        await curio.sleep(1.0)
        wait = site.tuning.configuration_wait
        assert site.router.view.store.calls - before <= 1.0 / wait + 2

    def test_timings_are_frozen(self):
        timings = kind_watcher.WatchTimings(1.0)
        with pytest.raises(dataclasses.FrozenInstanceError):
            timings.wait_seconds = 2.0


class TestLateCopies:
    """Guards against a second copy of an answer taken for the next one."""

    @standins.on_site
    async def test_idle_connection_with_input_is_not_reused(self, site):
        """A late copy on a kept connection answered the next call."""
        view = site.router.view
        store = client.ObjectClient(
            view.store.address, 1.0, 'test', view.translator.dialect
        )
        assert (await store.changes('config', 0, 0.0)).is_ok()
        connection = store.connections.idle['config'][0]
        connection.has_input = lambda: True
        assert (await store.changes('config', 0, 0.0)).is_ok()
        assert connection not in store.connections.idle['config']

    @pytest.mark.parametrize(
        ('elapsed', 'confirmed'),
        ((0.0, -math.inf), (1.5, -math.inf), (1.95, 1.95), (2.1, 2.0)),
    )
    def test_early_answer_without_changes_confirms_nothing(
        self, elapsed, confirmed
    ):
        """It made keys look fresher than the store had confirmed."""
        answer = objects.ChangeList((), 7)
        found = confirmations.add_confirmation(answer, 2.0, elapsed)
        assert found.confirmed_seconds == confirmed
