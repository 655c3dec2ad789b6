"""A router that follows another one, with a stand-in for the store."""

import dataclasses

import curio

from celeryward import deadlines
from celeryward.routers import members
from celeryward.routers import protocol
from tests import fakes
from tests import platform_standins as standins

# Longer than a router waits for the response to a report.
LATE_RESPONSE_SECONDS = 0.8
# Longer than a router that has not responded is avoided.
AVOIDED_SECONDS = 2.5


def other(number):
    """Return a router that is registered but does not run."""
    return members.Member(f'router-{number}', 'a', '127.0.0.1', 1, 10.0)


class Pair:
    """A leader and a follower that share a site."""

    def __init__(self, site):
        self.site = site
        self.leader = site.router

    async def start(self):
        """Start both routers, and give the follower its list of routers."""
        await self.site.start()
        self.leader = self.site.router
        self.site.name = 'router-2'
        await self.site.start_router()
        self.follower = self.site.router
        view = self.follower.view
        view.discovery.read_members = self.read_nothing
        listed = [other(each) for each in range(3, 6)]
        leader = members.Member(
            'router-1',
            'a',
            '127.0.0.1',
            self.leader.listeners.routers.port,
            100.0,
        )
        view.members.replace([leader, *listed])
        await standins.wait_until(self.follower.is_ready)
        # The watches that began at the start have to end first.
        await curio.sleep(self.site.tuning.configuration_wait + 0.1)

    async def read_nothing(self, allow_stale=True):
        """Do nothing, because the test sets the list of routers."""

    async def stop(self):
        """Stop both routers."""
        for router in (self.leader, self.follower):
            self.site.router = router
            for task in router.tasks:
                await task.cancel()
        self.site.router = self.leader
        await self.site.stop()
        for part in self.follower.listeners:
            await part.stop_accepting()
            await part.drain(deadlines.Deadline.after(0.0))


def on_pair(test):
    """Run a coroutine test on a leader and its follower."""

    @fakes.in_kernel
    async def run(self):
        site = standins.Site([standins.RunnerStandIn('app-1', 'app')])
        site.tuning = dataclasses.replace(site.tuning, object_wait=0.3)
        pair = Pair(site)
        await pair.start()
        try:
            await test(self, pair)
        finally:
            await pair.stop()

    return run


class TestPassedChanges:
    """Guards against needless calls to the store, and late changes."""

    @on_pair
    async def test_follower_stays_fresh_without_calls_to_the_store(self, pair):
        before = pair.follower.view.store.calls
        for _ in range(20):
            await curio.sleep(0.1)
            assert pair.follower.freshness.age() < 4.0
        assert pair.follower.view.store.calls == before

    @on_pair
    async def test_follower_reads_its_first_lists_from_the_leader(self, pair):
        """Each router used to list every kind at the store when it started."""
        follower = pair.follower.view
        before = follower.store.calls
        kinds = follower.translator.kinds
        for kind in (kinds.configuration, kinds.endpoints, kinds.orders):
            outcome = await follower.source.list_pages(kind)
            stored = pair.leader.view.change_logs[kind].objects
            assert outcome.unwrap().items == tuple(stored.values())
        assert follower.store.calls == before

    @on_pair
    async def test_change_reaches_the_follower_at_once(self, pair):
        spec = standins.configuration(7)
        await pair.site.store.put('config', 'main', spec)
        configuration = pair.follower.configuration
        await standins.wait_until(
            lambda: configuration.current.version == 7, 0.5
        )

    @on_pair
    async def test_endpoint_that_leaves_is_noticed(self, pair):
        runner = pair.site.runners['app-1']
        entry = runner.entry('draining')
        await pair.site.store.put('servers', 'app-1', entry)
        table = pair.follower.runners
        await standins.wait_until(
            lambda: not list(table.of_service('app')), 1.0
        )

    @on_pair
    async def test_follower_of_a_stopped_leader_falls_back_to_the_store(
        self, pair
    ):
        before = pair.follower.view.store.calls
        for task in pair.leader.tasks:
            await task.cancel()
        await pair.leader.listeners.routers.stop_accepting()
        await pair.leader.listeners.routers.drain(
            deadlines.Deadline.after(0.0)
        )
        spec = standins.configuration(8)
        await pair.site.store.put('config', 'main', spec)
        configuration = pair.follower.configuration
        await standins.wait_until(
            lambda: configuration.current.version == 8, 3.0
        )
        assert pair.follower.view.store.calls > before
        followed = pair.follower.view.members.leader()
        assert followed is None or followed.name != 'router-1'

    @on_pair
    async def test_hanging_leader_does_not_let_keys_lapse(self, pair):
        """A hanging leader must be avoided before keys become too old."""

        async def hang(target):
            await curio.sleep(100.0)

        pair.leader.view.publisher.answer = hang
        deadline = deadlines.Deadline.after(5.0)
        while not deadline.expired():
            await curio.sleep(0.05)
            assert pair.follower.freshness.is_fresh()

    @on_pair
    async def test_leader_judges_the_evidence_of_its_follower(self, pair):
        order = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        await pair.site.store.put('rollouts', 'llm', order)
        followed, leading = pair.follower.releases, pair.leader.releases
        await standins.wait_until(
            lambda: 'llm' in followed.progress and 'llm' in leading.progress
        )
        for number in range(9):
            followed.record_dispatch('llm', 'v2')
            followed.observe('llm', 'v2', 'k', False, f'e{number}')
        await standins.wait_until(
            lambda: leading.progress['llm'].tally.answers == 9, 2.0
        )
        assert leading.progress['llm'].exposure.exposed == 9

    @on_pair
    async def test_report_whose_response_is_lost_counts_once(self, pair):
        receiver = pair.leader.view.publisher
        accept = receiver.answer
        late = [LATE_RESPONSE_SECONDS]

        async def respond_late(target, body=b''):
            response = await accept(target, body)
            if target == protocol.EVIDENCE_PATH and late:
                await curio.sleep(late.pop())
            return response

        receiver.answer = respond_late
        order = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        await pair.site.store.put('rollouts', 'llm', order)
        followed, leading = pair.follower.releases, pair.leader.releases
        await standins.wait_until(
            lambda: 'llm' in followed.progress and 'llm' in leading.progress
        )
        followed.record_dispatch('llm', 'v2')
        followed.observe('llm', 'v2', 'k', False, 'e')
        await standins.wait_until(
            lambda: leading.progress['llm'].tally.answers == 1
        )
        await curio.sleep(AVOIDED_SECONDS)
        assert leading.progress['llm'].tally.answers == 1
        assert leading.progress['llm'].exposure.exposed == 1

    @on_pair
    async def test_large_change_comes_from_the_store(self, pair):
        spec = standins.configuration(9)
        limit = pair.leader.view.publisher.max_response_bytes()
        spec['note'] = 'x' * int(limit)
        await pair.site.store.put('config', 'main', spec)
        configuration = pair.follower.configuration
        await standins.wait_until(
            lambda: configuration.current.version == 9, 1.0
        )
        assert pair.follower.view.members.leader() is not None

    @on_pair
    async def test_leader_that_lost_the_store_relays_nothing(self, pair):
        view = pair.leader.view
        view.freshness.confirmed_at -= (
            view.publisher.pacing.max_leader_age + 1.0
        )
        status, _ = await view.publisher.answer(
            '/changes/config?since=1&wait=1'
        )
        assert status == 503

    @on_pair
    async def test_outage_seen_by_the_leader_keeps_entries(self, pair):
        """Entries that lapse in an outage may return soon after it."""
        away = pair.leader.view.outages
        away.record_failure(away.clock())
        await pair.site.store.delete('servers', 'app-1')
        await curio.sleep(0.8)
        assert list(pair.follower.runners.of_service('app'))
