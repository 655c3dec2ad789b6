"""Pauses that a process asks for while another is listed at its address."""

import time

import curio
import pytest

from celeryward import awake_clock
from celeryward.endpoints import closures
from tests import fakes
from tests import platform_standins as standins
from tests import test_closures
from tests import test_notices as notices

make_runner = test_closures.runner


@pytest.fixture
def site():
    return standins.default_site()


class TestRunsAtOneAddress:
    """Guards against a pause that the wrong process at an address keeps."""

    TOLD_AT = 1_700_000_000.0

    def make_closures(self, seconds=5.0, started_at=TOLD_AT - 600.0):
        """Return closures with a pause that a run asked for just now."""
        self.clock = fakes.CallableClock(100.0)
        self.utc_clock = fakes.CallableClock(self.TOLD_AT)
        state = closures.Closures(self.clock, self.utc_clock)
        state.close(make_runner(started_at=started_at), seconds, 4)
        return state

    def successor(self, seconds, name='a', **more):
        """Return a run that started some seconds after the refusal."""
        started_at = self.TOLD_AT + seconds
        return make_runner(name, started_at=started_at, **more)

    @pytest.mark.parametrize('name', ('a', 'b'))
    def test_process_that_ran_at_the_refusal_is_closed(self, name):
        state = self.make_closures()
        own = self.successor(-2.0, name)
        assert state.is_closed(own)
        assert state.blocked_ids((own,)) == {name}
        self.clock.now += 4.9
        assert not state.may_start(own)
        assert state.closed_count() == 1

    @pytest.mark.parametrize('name', ('a', 'b'))
    def test_process_that_started_after_the_refusal_is_open(self, name):
        state = self.make_closures()
        later = self.successor(2.0, name)
        assert not state.is_closed(later)
        assert state.may_start(later)
        assert state.blocked_ids((later,)) == frozenset()

    def test_clocks_that_differ_a_little_end_no_pause(self):
        state = self.make_closures()
        assert state.is_closed(self.successor(0.9))
        assert not state.is_closed(self.successor(1.1))

    def test_clock_that_was_set_opens_no_run_that_refused(self):
        state = self.make_closures(started_at=self.TOLD_AT + 3600.0)
        assert state.is_closed(self.successor(3600.0))
        assert not state.is_closed(self.successor(3600.0, 'b'))

    def test_clock_that_is_far_ahead_closes_a_ready_process_for_seconds_only(
        self,
    ):
        state = self.make_closures(60.0, started_at=self.TOLD_AT - 720.0)
        ready = self.successor(-115.0, 'b')
        assert state.is_closed(ready)
        self.clock.now += closures.SHARED_SECONDS
        assert state.may_start(ready)
        assert state.is_closed(self.successor(-720.0))

    def test_process_whose_start_is_unknown_is_closed(self):
        assert self.make_closures().is_closed(make_runner('b'))

    def test_another_address_is_open(self):
        state = self.make_closures()
        assert state.may_start(self.successor(-2.0, 'b', port=81))

    def test_process_is_open_when_the_pause_has_ended(self):
        state = self.make_closures(1.0)
        own = self.successor(-2.0, 'b')
        self.clock.now += 1.2
        assert not state.is_closed(own)
        assert state.may_start(own)
        self.clock.now += closures.FILL_SECONDS
        assert state.state_of(own) is None

    def test_process_is_filled_gradually_after_its_pause(self):
        state = self.make_closures(1.0)
        own = self.successor(-2.0, 'b')
        self.clock.now += 1.2
        place = state.take_place(own)
        assert not state.may_start(own)
        state.give_back(place)
        assert state.may_start(own)

    def test_pause_of_the_predecessor_does_not_lengthen_its_own(self):
        state = self.make_closures(60.0)
        later = self.successor(5.0, 'b')
        self.clock.now += 10.0
        self.utc_clock.now += 10.0
        state.close(later, 1.0, 4)
        assert state.is_closed(later)
        self.clock.now += 1.2
        assert not state.is_closed(later)

    def test_refusal_read_late_after_a_pause_of_the_router_closes_no_successor(
        self, monkeypatch
    ):
        clock = fakes.CallableClock(10.0)
        slept = awake_clock.AwakeClock(clock)
        slept.readers = 1
        monkeypatch.setattr(awake_clock, 'CLOCK', slept)
        clock.now += 8.0
        state = self.make_closures()
        assert state.is_closed(self.successor(-9.0))
        assert not state.is_closed(self.successor(-4.0))


class TestListedSuccessors:
    """Guards against requests in a pause that was booked to a predecessor."""

    async def list_successor(self, site, name, started_at):
        """List another run at the address of app-1, in place of it."""
        entry = site.runners['app-1'].entry()
        entry['born'] = int(started_at * 1000)
        await site.store.put('servers', name, entry)
        if name != 'app-1':
            await site.store.delete('servers', 'app-1')
        key = (name, entry['born'] / 1000)
        table = site.router.runners
        await standins.wait_until(
            lambda: key in {each.key for each in table.runners.values()}
        )

    @pytest.mark.parametrize('name', ('app-1', 'app-3'))
    @standins.on_site
    async def test_process_that_refused_before_it_was_listed_gets_nothing(
        self, site, name
    ):
        closed = site.runners['app-1']
        closed.scripted_actions.append(standins.turn_away('1'))
        await notices.ask_until_arrival(site, 'app-1')
        ends = time.monotonic() + 0.9
        before = len(closed.arrivals)
        await self.list_successor(site, name, time.time() - 2.0)
        while time.monotonic() < ends:
            head, _ = await site.request('/whole/x')
            assert head.status == 200
        assert len(closed.arrivals) == before
        await curio.sleep(0.3)
        await notices.ask_until_arrival(site, 'app-1')

    @pytest.mark.parametrize('name', ('app-1', 'app-3'))
    @standins.on_site
    async def test_process_that_started_after_the_refusal_is_used_at_once(
        self, site, name
    ):
        closed = site.runners['app-1']
        closed.scripted_actions.append(standins.turn_away('60'))
        await notices.ask_until_arrival(site, 'app-1')
        await self.list_successor(site, name, time.time() + 2.0)
        await notices.ask_until_arrival(site, 'app-1')
