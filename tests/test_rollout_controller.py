"""The controller of roll-outs, and roll-outs in one daemon."""

import dataclasses

import curio
import pytest
import result

from celeryward.endpoints import orders
from celeryward.objects import leases
from celeryward.objects import protocol
from celeryward.operators import demo
from celeryward.raters import controller
from celeryward.raters import rollouts
from tests import fakes
from tests import rollout_counts


class Killed(Exception):
    """Simulates a daemon that is killed in the middle of a step."""


class Orders:
    """Stands in for :class:`order_sender.OrderSender` and records orders."""

    def __init__(self):
        self.sent = []
        self.refused = False

    async def execute(self, endpoint, kind, model, version):
        if self.refused:
            error = orders.OrderDeferred('fake', step='fake', peer='fake')
            return result.Err(error)
        self.sent.append((endpoint.name, kind, f'{model}@{version}'))
        return result.Ok(None)


class Platform:
    """Objects of one rollout, and daemons that compete for its lease."""

    def __init__(self, clock):
        self.clock = clock
        self.objects = fakes.ObjectClient()
        self.orders = Orders()
        self.daemons = 0
        version = {'model': 'm', 'version': '2', 'state': 'staged'}
        endpoint = {
            'host': '127.0.0.1',
            'port': 1,
            'failure_domain': 'd',
            'serves': ['m@2'],
        }
        spec = {'model': 'm', 'from_version': '1', 'to_version': '2'}
        self.add('ModelVersion', 'm@2', version, 2)
        self.add('Endpoint', 'e', endpoint)
        self.add('Rollout', 'r', spec)

    def add(self, kind, name, spec, schema_version=1):
        self.objects.force_put(
            protocol.StoredObject(
                kind, name, spec, schema_version=schema_version
            )
        )

    async def new_holder(self):
        """Let the lease expire and a new daemon acquire it."""
        self.clock.now += leases.DURATION_SECONDS * 1.1
        self.daemons += 1
        name = f'daemon-{self.daemons}'
        lease = leases.Leadership(self.objects, 'rollouts', name)
        await lease.renew_or_acquire()
        self.clock.now += leases.DURATION_SECONDS * 1.1
        await lease.renew_or_acquire()
        assert lease.current_grant(1.0).is_ok()
        return controller.Controller(
            self.objects, lease, self.orders, rollouts.Comparisons(), name
        )

    def kill_after(self, writes):
        """Allow so many writes, then kill the daemon before its next one."""
        remaining = [writes]

        def count(stored):
            remaining[0] -= stored.kind != leases.LEASE_KIND
            if remaining[0] < 0:
                self.objects.before_write = lambda stored: None
                raise Killed

        self.objects.before_write = count

    def report(self, counts):
        """Store the counts of another daemon for the current epoch."""
        fields = {
            name: dataclasses.asdict(found) for name, found in counts.items()
        }
        epoch = self.rollout().status['epoch']
        spec = {'rollout': 'r', 'epoch': epoch, 'counts': fields}
        self.add(controller.REPORT_KIND, 'r.other', spec)

    def rollout(self):
        return self.objects.stored['Rollout', 'r']

    def edit(self, **changes):
        """Change the rollout as an operator does."""
        stored = self.rollout()
        spec = {**stored.spec, **changes}
        self.objects.force_put(dataclasses.replace(stored, spec=spec))

    def version_state(self):
        return self.objects.stored['ModelVersion', 'm@2'].spec['state']


@pytest.fixture
def platform(clock):
    return Platform(clock)


class TestController:
    """Guards against lost lease holders, lost responses and edits."""

    @fakes.in_kernel
    async def test_good_version_is_finished(self, platform):
        leader = await platform.new_holder()
        shares = []
        for _ in range(7):
            await leader.reconcile_all()
            await leader.leadership.renew_or_acquire()
            shares.append(platform.rollout().spec.get('share', 0.0))
            platform.report(rollout_counts.PASSED)
        assert shares == [*rollouts.STAGE_SHARES, 1.0, 1.0, 1.0]
        assert platform.rollout().spec['state'] == 'finished'
        assert platform.version_state() == 'live'

    @pytest.mark.parametrize('allowed_writes', range(7))
    @fakes.in_kernel
    async def test_new_holder_continues_after_a_killed_one(
        self, platform, allowed_writes
    ):
        leader = await platform.new_holder()
        platform.kill_after(allowed_writes)
        for _ in range(8):
            try:
                await leader.reconcile_all()
            except Killed:
                leader = await platform.new_holder()
            await leader.leadership.renew_or_acquire()
            if platform.rollout().status.get('epoch'):
                platform.report(rollout_counts.WORSE)
        status = platform.rollout().status
        grant = leader.leadership.current_grant(1.0).unwrap()
        assert platform.rollout().spec['state'] == 'halted'
        assert (status['cause'], status['epoch']) == ('rating', 1)
        assert status['fence'] == grant.fence
        assert platform.version_state() == 'withdrawn'
        assert platform.orders.sent[-1] == ('e', 'unload', 'm@2')

    @fakes.in_kernel
    async def test_bad_version_is_withdrawn_in_the_same_round(self, platform):
        leader = await platform.new_holder()
        await leader.reconcile_all()
        platform.report(rollout_counts.WORSE)
        await leader.reconcile_all()
        assert platform.version_state() == 'withdrawn'
        assert platform.orders.sent[-1] == ('e', 'unload', 'm@2')

    @fakes.in_kernel
    async def test_version_that_no_endpoint_loads_is_not_used(self, platform):
        platform.orders.refused = True
        leader = await platform.new_holder()
        await leader.reconcile_all()
        assert platform.rollout().status['waiting_for'] == 'load'
        assert platform.rollout().spec.get('share', 0.0) == 0.0
        assert platform.version_state() == 'staged'

    @fakes.in_kernel
    async def test_former_holder_writes_nothing(self, platform):
        old = await platform.new_holder()
        await old.reconcile_all()
        await platform.new_holder()
        before = platform.objects.revision
        await old.reconcile_all()
        assert platform.objects.revision == before

    @fakes.in_kernel
    async def test_edit_by_an_operator_wins_over_a_decision(self, platform):
        leader = await platform.new_holder()
        await leader.reconcile_all()
        await leader.reconcile_all()
        platform.report(rollout_counts.PASSED)

        def edit_first(stored):
            platform.objects.before_write = lambda stored: None
            platform.edit(state='halted', share=0.0)

        platform.objects.before_write = edit_first
        await leader.reconcile_all()
        await leader.reconcile_all()
        assert platform.rollout().spec['state'] == 'halted'
        assert platform.rollout().spec['share'] == 0.0
        assert platform.version_state() == 'live'

    @fakes.in_kernel
    async def test_lost_response_repeats_no_step(self, platform):
        leader = await platform.new_holder()
        await leader.reconcile_all()
        await leader.reconcile_all()
        platform.report(rollout_counts.PASSED)
        platform.objects.lost_responses = 1
        await leader.reconcile_all()
        await leader.reconcile_all()
        assert platform.rollout().spec['share'] == rollouts.STAGE_SHARES[1]
        assert platform.rollout().status['epoch'] == 2

    @fakes.in_kernel
    async def test_counts_of_an_earlier_epoch_are_dropped(self, platform):
        leader = await platform.new_holder()
        await leader.reconcile_all()
        await leader.reconcile_all()
        platform.report(rollout_counts.PASSED)
        await leader.reconcile_all()
        await leader.reconcile_all()
        assert platform.rollout().spec['share'] == rollouts.STAGE_SHARES[1]
        kinds = [kind for kind, _ in platform.objects.stored]
        assert controller.REPORT_KIND not in kinds

    @pytest.mark.parametrize(
        'counts', [None, 1, {'rating': 1}, {'rating': {'odd': 1}}]
    )
    @fakes.in_kernel
    async def test_malformed_report_is_ignored(self, platform, counts):
        leader = await platform.new_holder()
        await leader.reconcile_all()
        spec = {'rollout': 'r', 'epoch': 1, 'counts': counts}
        platform.add(controller.REPORT_KIND, 'r.odd', spec)
        platform.add(controller.REPORT_KIND, 'r.old', {'rollout': 'r'})
        platform.report(rollout_counts.PASSED)
        await leader.reconcile_all()
        assert platform.rollout().spec['share'] == rollouts.STAGE_SHARES[1]

    @fakes.in_kernel
    async def test_report_is_written_once_for_the_same_counts(self, platform):
        leader = await platform.new_holder()
        leader.comparisons.begin_epoch('r', 1)
        leader.comparisons.observe('r', 'error', 'k', True, False)
        leader.comparisons.observe('r', 'error', 'k', False, False)
        await leader.report()
        before = platform.objects.revision
        await leader.report()
        assert platform.objects.revision == before
        leader.comparisons.observe('r', 'error', 'k', True, True)
        leader.comparisons.observe('r', 'error', 'k', False, False)
        await leader.report()
        name = f'r.{leader.source}'
        spec = platform.objects.stored[controller.REPORT_KIND, name].spec
        assert spec['counts']['error'] == {
            'worse': 1,
            'better': 0,
            'ties': 1,
        }


class TestObservation:
    """Guards the path from a request to the comparison, in one daemon."""

    @fakes.in_kernel
    async def test_requests_of_both_versions_are_compared(self):
        cluster = demo.Cluster()
        cluster.small.versions = ('small@1', 'small@2')
        await cluster.start()
        await add_rollout(cluster)
        for _ in range(40):
            example = demo.chat_example('', 'small', 'x')
            await demo.send_example(cluster.daemon.listener.port, example)
        while cluster.daemon.rating_sampler.queue:
            await curio.sleep(0.01)
        counts = cluster.daemon.comparisons.counts['r']
        assert counts['error'].ties > 0
        assert counts['rating'].ties > 0
        assert counts['latency'] != rollouts.Counts()
        await cluster.stop()

    @fakes.in_kernel
    async def test_bad_version_is_loaded_halted_and_unloaded(self):
        cluster = demo.Cluster()
        await cluster.start()
        daemon = cluster.daemon
        daemon.order_sender.bucket = orders.TokenBucket(1e6, 1)
        await add_rollout(cluster, epoch=0)
        while daemon.leadership.current_grant(1.0).is_err():
            await curio.sleep(0.01)
        for _ in range(2):
            await daemon.controller.reconcile_all()
        assert cluster.small.versions == ('small@1', 'small@2')
        stored = cluster.platform.objects['Rollout', 'r']
        assert stored.status['epoch'] == 1
        daemon.comparisons.begin_epoch('r', 1)
        for _ in range(100):
            for is_new in (True, False):
                daemon.comparisons.observe('r', 'error', 'k', is_new, is_new)
        await daemon.controller.report()
        for _ in range(3):
            await daemon.controller.reconcile_all()
        stored = cluster.platform.objects['ModelVersion', 'small@2']
        assert stored.spec['state'] == 'withdrawn'
        assert cluster.small.versions == ('small@1',)
        assert {one['fence'] for one in cluster.small.orders} == {1}
        await cluster.stop()


async def add_rollout(cluster, epoch=1):
    """Add a second version of a model, with a rollout at a share of 0.5."""
    version = {'model': 'small', 'version': '2'}
    stored = demo.stored_record('ModelVersion', 'small@2', version)
    await cluster.platform.put(stored)
    serves = ['small@1', 'small@2']
    await cluster.platform.put(
        cluster.endpoint_record(
            'engine-1', cluster.small, serves=serves, fencing='enforced'
        )
    )
    spec = {
        'model': 'small',
        'from_version': '1',
        'to_version': '2',
        'share': 0.5,
    }
    stored = demo.stored_record('Rollout', 'r', spec)
    status = {'epoch': epoch, 'to_version': '2'}
    await cluster.platform.put(dataclasses.replace(stored, status=status))
    while 'r' not in cluster.daemon.configuration.catalog().rollouts:
        await curio.sleep(0.01)
