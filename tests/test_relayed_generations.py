"""Generations of the store's data between routers."""

import curio
import msgspec
import pytest
import result

from celeryward import errors
from celeryward.objects import protocol as objects
from celeryward.routers import protocol
from tests import fakes
from tests import platform_standins as standins
from tests import test_other_routers
from tests import test_passed_changes as followers
from tests import test_relayed_changes as relayed

DIALECT = protocol.RouterDialect()
POLL = '/changes/config?since=5&wait=0.5'


def read_members(view):
    """Return the names of the endpoints of which a router has entries."""
    return set(view.change_logs['servers'].objects)


class TestPublisher:
    """Guards against lists and polls that mix two generations."""

    async def publisher(self):
        """Return a publisher of generation 4, and its log."""
        now = [100.0]
        made, log, fresh = relayed.TestPublisher().made(now)
        made.generations.accept(4)
        fresh.confirm(100.0)
        await log.reset(5, (), 4)
        return made, log

    @fakes.in_kernel
    async def test_generation_is_passed_on(self):
        made, _ = await self.publisher()
        _, body = await made.answer('/objects/config')
        assert DIALECT.decode_page('config', body).generation == 4
        _, body = await made.answer('/changes/config?since=5&wait=0.01')
        assert DIALECT.decode_changes('config', body).generation == 4

    @fakes.in_kernel
    async def test_list_of_an_earlier_generation_is_not_passed_on(self):
        made, log = await self.publisher()
        made.generations.accept(5)
        assert await made.answer('/objects/config') == (404, b'')
        assert await made.answer(POLL) == (410, b'')
        await log.reset(3, (), 5)
        status, _ = await made.answer('/objects/config')
        assert status == 200

    @fakes.in_kernel
    async def test_open_poll_ends_with_a_new_generation(self):
        made, log = await self.publisher()
        poll = await curio.spawn(made.answer, POLL)
        await curio.sleep(0.05)
        made.generations.accept(5)
        await log.reset(3, (), 5)
        async with curio.timeout_after(0.2):
            assert await poll.join() == (410, b'')

    @fakes.in_kernel
    async def test_nothing_is_added_without_a_generation(self):
        made, log, fresh = relayed.TestPublisher().made([100.0])
        fresh.confirm(100.0)
        await log.reset(5)
        for target in ('/objects/config', POLL):
            _, body = await made.answer(target)
            assert 'generation' not in msgspec.json.decode(body)


class TestSource:
    """Guards against data of a leader that has not seen a restore."""

    @pytest.mark.parametrize(
        ('known', 'relayed', 'is_used'),
        (
            (None, None, True),
            (None, 2, True),
            (2, 2, True),
            (2, 3, True),
            (2, 1, False),
            (2, None, False),
        ),
    )
    def test_lower_generation_is_not_used(self, known, relayed, is_used):
        made = test_other_routers.TestSource().made(None)
        if known is not None:
            made.generations.accept(known)
        answer = objects.ChangeList((), 1, generation=relayed)
        leader = test_other_routers.member(1)
        outcome = made.check_generation(leader, result.Ok(answer))
        assert outcome.is_ok() == is_used
        if not is_used:
            assert isinstance(outcome.unwrap_err(), errors.StateOutdated)

    @pytest.mark.parametrize('value', ('-1', '"x"', '1.5', str(2**31)))
    def test_odd_generation_is_an_error_of_the_response(self, value):
        body = (
            '{"items": [], "revision": 1, "confirmed_seconds": 0,'
            f' "generation": {value}}}'
        )
        with pytest.raises(msgspec.DecodeError):
            DIALECT.decode_page('config', body.encode())


class TestPair:
    """Guards against followers that miss a restore."""

    async def restore(self, pair):
        """Restore the store to a copy that lacks later endpoints."""
        store = pair.site.store
        store.generation = 1
        entry = pair.site.runners['app-1'].entry()
        logs = pair.follower.view.change_logs
        await store.put('servers', 'app-2', entry)
        await standins.wait_until(lambda: logs['servers'].generation == 1)
        copy = store.copy()
        for _ in range(9):
            await store.put('servers', 'app-3', entry)
        await standins.wait_until(lambda: 'app-3' in logs['servers'].objects)
        await store.restore(copy)
        await store.put('servers', 'app-4', entry)

    @followers.on_pair
    async def test_follower_reads_the_lists_of_its_leader_again(self, pair):
        view = pair.follower.view
        await self.restore(pair)
        reads = []
        read = view.source.call_store

        async def call_store(call):
            reads.append(call)
            return await read(call)

        view.source.call_store = call_store
        await standins.wait_until(
            lambda: {each.generation for each in view.watchers} == {2}
        )
        expected = {'app-1', 'app-2', 'app-4'}
        await standins.wait_until(lambda: read_members(view) == expected)
        # The follower's own entry is written by other calls.
        assert reads == []

    @followers.on_pair
    async def test_restore_while_the_leader_restarts(self, pair):
        view = pair.follower.view
        for task in pair.leader.tasks:
            await task.cancel()
        await pair.leader.listeners.routers.stop_accepting()
        await self.restore(pair)
        expected = {'app-1', 'app-2', 'app-4'}
        await standins.wait_until(lambda: read_members(view) == expected)
        await pair.site.start_router()
        restarted = pair.site.router
        await standins.wait_until(restarted.is_ready)
        assert read_members(restarted.view) == expected
        assert restarted.view.store.generations.current == 2
        for task in restarted.tasks:
            await task.cancel()
        await restarted.listeners.routers.stop_accepting()
