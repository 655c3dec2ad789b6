"""Routers on a store that returns from an older copy of its data."""

import curio
import loguru
import pytest

from celeryward import errors
from celeryward.objects import generations
from celeryward.objects import ignored
from celeryward.objects import pages
from celeryward.objects import protocol as objects
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    site = standins.Site(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('llm-1'),
        ]
    )
    site.store.generation = 4
    return site


class TestHeader:
    """Guards against a header that makes every later response unusable."""

    @pytest.mark.parametrize(
        'value',
        ('', '-1', '1.0', 'x', '²', '1_0', '9' * 5000, str(2**31)),
    )
    def test_odd_value_is_ignored_and_counted(self, value):
        counted = []
        state = generations.Generations(ignored.IgnoredEntries(counted.append))
        assert state.accept_head({'store-era': '7'}, 'store-era')
        assert state.accept_head({'store-era': value}, 'store-era')
        assert state.current == 7
        assert counted == ['generation']

    def test_absent_header_is_not_counted(self):
        counted = []
        state = generations.Generations(ignored.IgnoredEntries(counted.append))
        assert state.accept_head({}, 'store-era')
        assert state.accept_head({'store-era': 'x'}, '')
        assert state.current is None
        assert counted == []

    def test_only_a_higher_one_is_new(self):
        state = generations.Generations()
        changes = []
        state.listeners.append(lambda: changes.append(state.current))
        values = (0, 0, 2, 1, 2, 3)
        accepted = [state.accept(value) for value in values]
        assert accepted == [True, True, True, False, True, True]
        assert changes == [2, 3]


class TestRelist:
    """Guards against changes that are missed after a restore."""

    @standins.on_site
    async def test_reassigned_revision_causes_a_list(self, site):
        """A watch from it would miss the changes before it."""
        copy = site.store.copy()
        for load in range(5):
            entry = site.runners['llm-1'].entry() | {'load': load}
            await site.store.put('servers', 'llm-1', entry)
        table = site.router.runners
        await curio.sleep(0.5)
        await site.store.restore(copy)
        # The revision of this change is one that the router has read.
        runner = site.runners['app-1']
        await site.store.put('servers', 'app-1', runner.entry('draining'))
        await standins.wait_until(lambda: table.runners['app-1'].leaving, 2.0)
        watchers = site.router.view.watchers
        await standins.wait_until(
            lambda: {each.generation for each in watchers} == {5}, 2.0
        )

    @standins.on_site
    async def test_late_response_of_an_earlier_generation_is_discarded(
        self, site
    ):
        store = site.router.view.store
        site.store.generation = 3
        outcome = await store.list_pages('servers')
        assert isinstance(outcome.unwrap_err(), errors.PlatformUnavailable)
        stored = objects.StoredObject('servers', 'other', {})
        outcome = await store.create(stored)
        assert isinstance(outcome.unwrap_err(), errors.WriteUnknown)
        assert store.generations.current == 4

    @standins.on_site
    async def test_pages_of_two_generations_make_no_list(self, site):
        store = site.router.view.store
        site.store.page_size = 1

        async def read_page(after):
            outcome = await store.read_page('servers', after, False)
            site.store.generation += 1
            return outcome

        outcome = await pages.read_all(read_page, 'test')
        assert isinstance(outcome.unwrap_err(), errors.RevisionExpired)

    @fakes.in_kernel
    async def test_store_without_the_header_is_followed_as_before(self):
        site = standins.default_site()
        await site.start()
        before = len(site.store.requests)
        await site.store.put('config', 'main', standins.configuration(2))
        holder = site.router.configuration
        await standins.wait_until(lambda: holder.current.version == 2, 0.5)
        calls = site.store.requests[before:]
        assert all('watch=' in target for _, target in calls)
        watchers = site.router.view.watchers
        assert {each.generation for each in watchers} == {None}
        assert site.router.view.store.generations.current is None
        await site.stop()


class TestObservability:
    """Guards against a restore that operators can't see."""

    @standins.on_site
    async def test_new_generation_is_logged_and_counted(self, site):
        lines = []
        sink = loguru.logger.add(lines.append, format='{message} {extra}')
        await site.store.restore(site.store.copy())
        state = site.router.view.store.generations
        await standins.wait_until(lambda: state.current == 5, 2.0)
        await curio.sleep(0.5)
        loguru.logger.remove(sink)
        found = [
            line
            for line in lines
            if line.startswith('store data has a new generation')
        ]
        assert len(found) == 1
        assert "'old': 4" in found[0] and "'new': 5" in found[0]
        exposed = site.router.metrics.exposition()
        assert b'celeryward_router_store_generation 5.0' in exposed
        assert b'celeryward_router_store_generations_total 1.0' in exposed

    @standins.on_site
    async def test_odd_header_is_counted(self, site):
        site.store.generation = 'x'
        await site.router.view.store.list_pages('servers')
        exposed = site.router.metrics.exposition()
        assert b'entries_ignored_total{kind="generation"}' in exposed
        assert site.router.view.store.generations.current == 4
