"""Departures of endpoints, tested with a stand-in for the store."""

import dataclasses

import curio
import pytest

from celeryward.objects import outages
from tests import fakes
from tests import platform_standins as standins
from tests import test_passed_changes as passed_changes

LEAVE_SECONDS = standins.BOUNDS.leave_seconds
# From this time after its connection to the store is restored, a router must
# act on the state of the store.
CONTACT_SECONDS = 3.0
# Longer than the pause of a router after a change.
PAUSE_SECONDS = 0.6
KINDS = frozenset(('config', 'servers', 'rollouts', 'routers'))


@pytest.fixture
def site():
    runners = (standins.RunnerStandIn(name, 'app') for name in ('a-1', 'a-2'))
    site = standins.Site(list(runners))
    site.tuning = dataclasses.replace(site.tuning, object_wait=0.4)
    return site


def available_ids(router):
    """Return the ids of the endpoints that may receive requests."""
    return {each.id for each in router.runners.of_service('app')}


async def interrupt_store(site, seconds):
    """Stop the store from responding; return just after a call was sent.

    That call gets no response, although the store may respond again then.
    """
    site.store.unresponsive_kinds = KINDS
    primary = site.router.view.watchers[0]
    await standins.wait_until(lambda: not primary.reachable)
    await curio.sleep(seconds)
    calls = site.router.view.store.calls
    await standins.wait_until(lambda: site.router.view.store.calls > calls)


async def stall_watch(site, router):
    """Stop the current watch of endpoints from receiving a response."""
    watcher = router.view.watchers[1]
    watcher.timings = dataclasses.replace(watcher.timings, wait_seconds=10.0)
    await curio.sleep(PAUSE_SECONDS)
    site.store.stalled_watch_kinds = frozenset(('servers',))


class TestDepartures:
    """Guards against requests to endpoints that have left."""

    @standins.on_site
    async def test_departure_in_an_outage_applies_within_the_contact_time(
        self, site
    ):
        await interrupt_store(site, 2.0)
        await site.store.delete('servers', 'a-1')
        site.store.unresponsive_kinds = frozenset()
        await curio.sleep(CONTACT_SECONDS)
        assert available_ids(site.router) == {'a-2'}

    @standins.on_site
    async def test_departure_after_an_outage_applies_in_time(self, site):
        site.store.unavailable = True
        primary = site.router.view.watchers[0]
        await standins.wait_until(lambda: not primary.reachable)
        site.store.unavailable = False
        await standins.wait_until(lambda: primary.reachable)
        await curio.sleep(CONTACT_SECONDS)
        # The pause after this change delays the next one.
        await site.store.put('servers', 'a-2', site.runners['a-2'].entry())
        await curio.sleep(0.05)
        await site.store.delete('servers', 'a-1')
        await curio.sleep(LEAVE_SECONDS)
        assert available_ids(site.router) == {'a-2'}

    @standins.on_site
    async def test_expired_history_does_not_count_as_an_outage(self, site):
        del site.store.objects[('servers', 'a-1')]
        await site.store.compact()
        await standins.wait_until(
            lambda: 'a-1' not in available_ids(site.router), 1.5
        )

    @standins.on_site
    async def test_entries_that_expire_in_an_outage_stay_in_use(self, site):
        site.store.unavailable = True
        primary = site.router.view.watchers[0]
        await standins.wait_until(lambda: not primary.reachable)
        await curio.sleep(1.0)
        site.store.unavailable = False
        for name in ('a-1', 'a-2'):
            await site.store.delete('servers', name)
        await standins.wait_until(lambda: primary.reachable)
        await curio.sleep(0.5)
        assert available_ids(site.router) == {'a-1', 'a-2'}

    @standins.on_site
    async def test_stalled_watch_does_not_hide_a_departure(self, site):
        await stall_watch(site, site.router)
        await site.store.delete('servers', 'a-1')
        await curio.sleep(LEAVE_SECONDS)
        assert available_ids(site.router) == {'a-2'}

    @standins.on_site
    async def test_late_response_does_not_restore_an_endpoint(self, site):
        await stall_watch(site, site.router)
        runner = site.runners['a-1']
        await site.store.put('servers', 'a-1', runner.entry())
        await site.store.put('servers', 'a-1', runner.entry('draining'))
        await curio.sleep(LEAVE_SECONDS)
        # The watch is now answered with its first change only.
        site.store.stalled_watch_kinds = frozenset()
        await curio.sleep(0.2)
        assert available_ids(site.router) == {'a-2'}

    @standins.on_site
    async def test_request_is_not_sent_to_an_endpoint_that_just_left(
        self, site
    ):
        await site.store.delete('servers', 'a-2')
        await standins.wait_until(
            lambda: available_ids(site.router) == {'a-1'}
        )
        pool = site.router.connections
        open_connection = pool.open

        async def open_slowly(endpoint, deadline):
            connection = await open_connection(endpoint, deadline)
            await site.store.delete('servers', 'a-1')
            await standins.wait_until(lambda: not available_ids(site.router))
            return connection

        pool.open = open_slowly
        head, _ = await site.request('/once/x', method='POST')
        assert head.status == 503
        assert site.arrivals() == []


class TestOutageTracker:
    """Guards against entries that are kept for too long after an outage."""

    def make_tracker(self, **bounds):
        self.clock = fakes.Clock()
        return outages.OutageTracker(
            dataclasses.replace(standins.BOUNDS, **bounds),
            self.clock.monotonic,
        )

    def test_without_an_outage_nothing_is_kept(self):
        assert self.make_tracker().keep_until().remaining() == 0.0

    @pytest.mark.parametrize('contact', (2.0, 3.0, 4.0))
    @pytest.mark.parametrize('delay', (0.0, 0.5, 1.2))
    def test_kept_entries_are_dropped_before_the_contact_time(
        self, contact, delay
    ):
        tracker = self.make_tracker(contact_seconds=contact)
        tracker.record_failure(self.clock.now)
        self.clock.now += delay
        kept = tracker.keep_until().remaining()
        assert delay + kept < contact

    def test_late_change_does_not_extend_the_time(self):
        tracker = self.make_tracker()
        tracker.record_failure(self.clock.now)
        self.clock.now += outages.REREGISTRATION_SECONDS
        assert tracker.keep_until().remaining() == 0.0

    def test_failed_call_counts_from_its_start(self):
        tracker = self.make_tracker()
        tracker.record_failure(self.clock.now - 14.0)
        assert tracker.keep_until().remaining() == 0.0

    def test_response_of_the_store_clears_a_reported_outage(self):
        tracker = self.make_tracker()
        tracker.record_report(0.1)
        assert tracker.keep_until().remaining() > 1.0
        tracker.record_report(None)
        assert tracker.keep_until().remaining() == 0.0


class TestDeparturesThroughAnotherRouter:
    """Guards against outdated endpoints that another router relays."""

    @passed_changes.on_pair
    async def test_stalled_watch_of_the_leader_delays_no_departure(self, pair):
        await stall_watch(pair.site, pair.leader)
        await pair.site.store.delete('servers', 'app-1')
        await curio.sleep(LEAVE_SECONDS)
        assert available_ids(pair.follower) == set()

    @passed_changes.on_pair
    async def test_leader_with_outdated_endpoints_relays_none(self, pair):
        view = pair.leader.view
        view.watchers[1].receiver.freshness.confirmed_at -= 10.0
        status, _ = await view.publisher.answer(
            f'/changes/servers?since={view.change_logs["servers"].revision}'
            '&wait=0'
        )
        assert status == 503
