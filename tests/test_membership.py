"""Liveness of endpoints: departures, the host list, probes and retries."""

import curio
import pytest

from celeryward import catalog
from celeryward.endpoints import liveness
from celeryward.endpoints import retries
from celeryward import errors
from celeryward.objects import client
from celeryward.objects import hosts
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import engine
from celeryward.standins import fleet
from celeryward.standins import platform

VERSIONS = (fleet.VERSION.name,)
ENDPOINTS = (
    catalog.Endpoint('a', '10.0.0.1', 80, 'domain-1'),
    catalog.Endpoint('b', '10.0.0.2', 80, 'domain-1'),
)


def host(address, state='live'):
    return protocol.Host(address, address, state)


class TestHostList:
    """Guards against new work for hosts that the list shows as leaving."""

    def test_leaving_host(self):
        live = liveness.Liveness()
        live.apply_hosts(ENDPOINTS, [host('10.0.0.1', 'leaving')])
        assert not live.is_live('a') and live.is_live('b')
        live.apply_hosts(ENDPOINTS, [host('10.0.0.1')])
        assert live.is_live('a')

    def test_a_late_list_does_not_overrule_an_announcement(self):
        live = liveness.Liveness()
        live.set_leaving('a', True)
        live.apply_hosts(ENDPOINTS, [host('10.0.0.1')])
        assert not live.is_live('a')

    def test_a_probe_does_not_overrule_the_list(self):
        live = liveness.Liveness()
        live.apply_hosts(ENDPOINTS, [host('10.0.0.1:80', 'leaving')])
        live.set_leaving('a', False)
        live.record_success('a')
        assert not live.is_live('a')

    def test_a_host_that_disappears_needs_one_failure(self):
        live = liveness.Liveness()
        live.apply_hosts(ENDPOINTS, [host('10.0.0.1')])
        live.apply_hosts(ENDPOINTS, [])
        assert live.is_live('a')
        for name in 'ab':
            live.record_failure(name, 1.0)
        assert not live.is_live('a')
        assert live.is_live('b')

    def test_an_outage_leaves_the_last_list_in_force(self, run):
        live = liveness.Liveness()
        stand_in = platform.PlatformStandIn()
        stand_in.hosts = (host('127.0.0.1', 'leaving'),)

        async def test():
            started = fleet.Fleet([engine.EngineStandIn(VERSIONS)])
            await started.start()
            await stand_in.start()
            address = settings.Address(port=stand_in.port)
            watcher = hosts.HostWatcher(
                client.ObjectClient(address, 1.0, 'test'), started, live
            )
            await watcher.read()
            assert not live.is_live('engine-0')
            stand_in.hosts = ()
            await stand_in.set_unavailable(True)
            await watcher.read()
            assert not live.is_live('engine-0')
            await stand_in.stop()
            await started.stop()

        run(test)


class TestAnnouncements:
    """Guards against departures that other daemons don't hear of."""

    def test_peers_learn_of_a_departure(self):
        one, two = liveness.Liveness(lambda: 9.0), liveness.Liveness()
        one.set_leaving('a', True)
        two.merge(one.export())
        assert not two.is_live('a')

    def test_an_old_announcement_does_not_overrule_a_newer_probe(self):
        now = [10.0]
        one = liveness.Liveness(lambda: now[0])
        two = liveness.Liveness(lambda: now[0] + 50)
        one.set_leaving('a', True)
        now[0] = 12.0
        two.set_leaving('a', False)
        two.merge(one.export())
        assert two.is_live('a')

    def test_late_answer_does_not_overrule_an_announcement(self):
        """An answer to a probe sent before the announcement overruled it."""
        now = [10.0]
        live = liveness.Liveness(lambda: now[0])
        now[0] = 11.0
        live.merge([liveness.Announcement('a', True, 0.0)])
        live.set_leaving('a', False, requested_at=10.5)
        assert not live.is_live('a')
        live.set_leaving('a', False, requested_at=11.5)
        assert live.is_live('a')


class TestProbeRate:
    """Guards against probing a large fleet at the cost of a whole core."""

    def test_idle_endpoints_share_a_rate(self):
        started = fleet.Fleet([])
        prober = started.prober
        base = fleet.TIMINGS.probe_interval
        prober.tasks = {'a': None}
        assert prober.interval('a') == base
        prober.tasks = dict.fromkeys(range(600))
        assert prober.interval('a') == 30.0
        started.view.load.request_started('a')
        assert prober.interval('a') == base


class TestBackOff:
    """Guards against a long back-off from calls that fail together."""

    def test_simultaneous_failures_count_once(self):
        live = liveness.Liveness()
        for _ in range(20):
            live.record_failure('a', 1.0)
        assert live.retry_at['a'].remaining() <= 2.0


class TestDrain:
    """Guards against cutting streams of, or sending work to, leaving ones."""

    def test_leaving_endpoint_finishes_its_streams(self, run):
        engines = [
            engine.EngineStandIn(VERSIONS, token_seconds=0.02)
            for _ in range(2)
        ]

        async def test():
            started = fleet.Fleet(engines)
            await started.start()
            started.view.load.request_started('engine-1')
            running = started.make_attempt('x')
            task = await curio.spawn(started.stream, running)
            await curio.sleep(0.08)
            engines[0].leaving = True
            for endpoint in started.current_catalog.endpoints.values():
                await started.prober.probe(endpoint)
                await started.prober.close_idle(endpoint)
            later = started.make_attempt('y')
            await started.stream(later)
            await task.join()
            assert running.dispatches == 1
            assert running.candidate.endpoint.name == 'engine-0'
            assert later.candidate.endpoint.name == 'engine-1'
            await started.stop()

        run(test)


class TestRetryBudget:
    """Guards against retries that multiply an overload."""

    def test_retries_are_bounded_to_a_tenth(self):
        budget = retries.RetryBudget()
        retry_count = 0
        for _ in range(1000):
            budget.record_first_dispatch()
            while budget.try_take():
                retry_count += 1
        assert 99 <= retry_count <= 100

    def test_budget_is_bounded(self):
        budget = retries.RetryBudget()
        for _ in range(100000):
            budget.record_first_dispatch()
        assert budget.tokens == retries.MAX_TOKENS

    def test_without_budget_a_refusal_is_final(self, run):
        engines = [engine.EngineStandIn(VERSIONS) for _ in range(3)]
        for each in engines:
            each.refusing = True

        async def test():
            started = fleet.Fleet(engines)
            await started.start()
            started.recovery.budget.tokens = 0.0
            attempt = started.make_attempt('x')
            with pytest.raises(errors.Overloaded):
                await started.stream(attempt)
            assert attempt.dispatches == 1
            await started.stop()

        run(test)
