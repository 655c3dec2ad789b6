"""What a router knew stays in effect when the store returns from a copy."""

import dataclasses

from adapter import translator
import curio
import pytest

from celeryward import deadlines
from celeryward.endpoints import runners
from celeryward.objects import ignored
from celeryward.objects import protocol
from celeryward.objects import receivers
from celeryward.raters import releases
from celeryward.raters import restored_orders
from celeryward.raters import rollout_orders
from tests import platform_standins as standins

State = rollout_orders.State
KEEP_SECONDS = 0.05
ORDER = rollout_orders.Order('llm', 'v2', 60.0, revision=9, created=8)
READY = {
    'service': 'app',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'state': 'ready',
    'slots': 8,
    'born': 1700000000000,
}
DRAINING = READY | {'state': 'draining'}
ROLLOUT = {'service': 'llm', 'target': 'v2', 'durationS': 60}


class Outages:
    """Has just seen an outage."""

    def keep_until(self):
        """Return the deadline to which an entry missing now is kept."""
        return deadlines.Deadline.after(KEEP_SECONDS)


@pytest.fixture
def site():
    site = standins.default_site()
    site.store.generation = 1
    return site


class TestOrders:
    """Guards against verdicts that are lost with the status of an order."""

    @pytest.fixture
    def restored(self):
        found = releases.Releases(0.15, 5.0)
        found.accept(ORDER)
        found.decide('llm', State.ROLLED_BACK)
        restored = restored_orders.RestoredOrders(found, Outages())
        restored.begin_generation()
        return restored

    @pytest.mark.parametrize('verdict', (State.ROLLED_BACK, State.DONE))
    def test_order_without_status_keeps_its_verdict(self, restored, verdict):
        restored.releases.decide('llm', verdict)
        again = dataclasses.replace(ORDER, revision=4, created=3)
        restored.accept_listed(again)
        due = restored.releases.orders_without_verdict()
        if verdict is State.ROLLED_BACK:
            assert list(due) == [dataclasses.replace(again, state=verdict)]
        assert restored.releases.progress['llm'].verdict is verdict
        assert not restored.outdated

    @pytest.mark.parametrize('state', (State.ROLLED_BACK, State.DONE))
    def test_stored_state_is_final_and_written_again(self, state):
        """New evidence on a completed version could roll it back."""
        found = releases.Releases(0.15, 5.0)
        found.accept(dataclasses.replace(ORDER, state=state))
        restored = restored_orders.RestoredOrders(found, Outages())
        restored.begin_generation()
        again = dataclasses.replace(ORDER, revision=4, created=3)
        restored.accept_listed(again)
        final = dataclasses.replace(again, state=state)
        assert found.progress['llm'].order == final
        assert found.progress['llm'].verdict is state
        assert restored.due_writes(is_leader=False) == ()
        assert restored.due_writes(is_leader=True) == (final,)
        restored.accept(final)
        assert restored.due_writes(is_leader=True) == ()

    def test_missing_order_that_is_written_again_keeps_it(self, restored):
        restored.remove_unlisted('llm')
        restored.remove_unlisted('llm')
        assert restored.outdated == {'llm'}
        restored.accept(dataclasses.replace(ORDER, revision=4, created=4))
        assert restored.releases.progress['llm'].verdict is State.ROLLED_BACK
        assert not restored.kept

    def test_missing_order_is_kept_for_a_while_only(self, restored):
        restored.remove_unlisted('llm')
        assert 'llm' in restored.releases.progress
        deadlines.time.sleep(KEEP_SECONDS)
        restored.remove_expired()
        assert 'llm' not in restored.releases.progress

    def test_replaced_order_of_the_copy_takes_effect_later(self, restored):
        """It would move all requests back to the version before."""
        before = dataclasses.replace(ORDER, target='v1', state=State.DONE)
        restored.accept_listed(before)
        assert restored.releases.progress['llm'].order == ORDER
        deadlines.time.sleep(KEEP_SECONDS)
        restored.remove_expired()
        assert restored.releases.progress['llm'].order == before

    def test_order_that_was_written_replaces_another_at_once(self, restored):
        later = dataclasses.replace(ORDER, target='v3', created=5)
        restored.accept(later)
        progress = restored.releases.progress['llm']
        assert (progress.order, progress.verdict) == (later, State.RUNNING)


class TestEndpoints:
    """Guards against endpoints that return to an earlier state."""

    def listed(self, known, *entries):
        """Return the table after a list of a new generation."""
        table = runners.RunnerTable()
        receiver = receivers.EndpointReceiver(
            table,
            translator.Translator(),
            Outages(),
            None,
            ignored.IgnoredEntries(),
        )
        receiver.on_list([stored('servers', 'app-1', known)])
        receiver.on_restored_list(
            [stored('servers', 'app-1', entry) for entry in entries]
        )
        return table

    def test_missing_endpoint_is_kept_for_a_while(self):
        table = self.listed(READY)
        assert list(table.of_service('app'))
        deadlines.time.sleep(KEEP_SECONDS)
        assert not list(table.of_service('app'))

    def test_missing_endpoint_that_was_leaving_is_removed(self):
        assert not self.listed(DRAINING).runners

    def test_endpoint_that_was_leaving_does_not_return(self):
        assert self.listed(DRAINING, READY).runners['app-1'].leaving

    def test_later_run_is_not_replaced_by_an_earlier_one(self):
        later = READY | {'born': READY['born'] + 5000}
        table = self.listed(later, READY)
        born = later['born'] / 1000
        assert table.runners['app-1'].started_at == born


class TestDrains:
    """Guards against a drain that ends because its order was lost."""

    @pytest.fixture
    def receiver(self):
        made = receivers.DrainReceiver(
            runners.RunnerTable(),
            translator.Translator(),
            ignored.IgnoredEntries(),
            Outages(),
        )
        made.on_list([stored('evacuations', 'a')])
        made.on_restored_list([stored('evacuations', 'b')])
        return made

    def test_missing_drain_is_kept_for_a_while(self, receiver):
        drains = receiver.table.drains
        receiver.on_list([stored('evacuations', 'b')])
        assert drains.drained == {'a', 'b'}
        deadlines.time.sleep(KEEP_SECONDS)
        assert not drains.is_drained('a')
        assert drains.drained == {'b'}

    def test_drain_that_is_written_again_goes_on(self, receiver):
        again = stored('evacuations', 'a')
        receiver.on_change(protocol.Change('put', 3, again))
        deadlines.time.sleep(KEEP_SECONDS)
        assert receiver.table.drains.is_drained('a')
        receiver.on_change(protocol.Change('delete', 4, again))
        assert not receiver.table.drains.is_drained('a')


class TestRestoredStore:
    """Guards against what callers see of a restore."""

    @standins.on_site
    async def test_lost_writes_change_nothing_until_they_return(self, site):
        store = site.store
        config = store.objects[('config', 'main')]
        await write_lost_state(site)
        # The copy has an old configuration, and no endpoint and no order.
        await store.restore(({('config', 'main'): config}, 1, []))
        generations = site.router.view.store.generations
        await standins.wait_until(lambda: generations.current == 2, 2.0)
        await curio.sleep(1.0)
        holder = site.router.configuration
        assert holder.current.version == 3
        head, _ = await site.request('/whole/x')
        assert head.status == 200
        for runner in site.runners.values():
            await store.put('servers', runner.id, runner.entry())
        await store.put('rollouts', 'llm', ROLLOUT)
        await store.put('config', 'main', standins.configuration(4))
        await standins.wait_until(lambda: has_status(site))
        status = store.objects[('rollouts', 'llm')]['status']
        assert status == {'state': 'rolled_back', 'target': 'v2'}
        await standins.wait_until(lambda: holder.current.version == 4)
        # Longer than a missing endpoint is kept.
        await curio.sleep(1.0)
        assert len(site.router.runners.runners) == 4


class TestOwnEntry:
    """Guards against a router that the others no longer find."""

    @standins.on_site
    async def test_entry_is_written_again(self, site):
        listed = site.router.view.discovery
        key = ('routers', 'router-1')
        await standins.wait_until(lambda: listed.entry.revision > 0)
        written = site.store.objects.pop(key)
        other = {'zone': 'a', 'address': '127.0.0.9:80', 'linkMbps': 10}
        await site.store.put('routers', 'router-9', other)
        await listed.read_members()
        del site.store.objects[('routers', 'router-9')]
        await site.store.restore(site.store.copy())
        # The list lacks routers whose entry is not written again yet.
        await listed.read_members()
        assert 'router-9' in listed.members.known
        await standins.wait_until(lambda: key in site.store.objects, 3.0)
        assert site.store.objects[key]['spec'] == written['spec']

    @standins.on_site
    async def test_revision_of_the_lost_data_deletes_nothing(self, site):
        listed = site.router.view.discovery
        key = ('routers', 'router-1')
        await standins.wait_until(lambda: listed.entry.revision > 0)
        spec = site.store.objects[key]['spec']
        await site.store.put(*key, spec)
        await site.store.restore(site.store.copy())
        await site.router.view.store.list_pages('routers')
        await listed.deregister()
        assert key not in site.store.objects


async def write_lost_state(site):
    """Write a configuration and an order that is rolled back."""
    await site.store.put('config', 'main', standins.configuration(3))
    await site.store.put('rollouts', 'llm', ROLLOUT)
    found = site.router.releases
    await standins.wait_until(lambda: 'llm' in found.progress)
    found.decide('llm', State.ROLLED_BACK)
    await standins.wait_until(lambda: has_status(site))


def has_status(site):
    """Return whether the stored order has a status."""
    return bool(site.store.objects[('rollouts', 'llm')]['status'])


def stored(kind, name, spec=None):
    """Return an object as the store has it."""
    return protocol.StoredObject(kind, name, spec or {}, 1)
