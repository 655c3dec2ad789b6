"""Drained failure domains; no test uses a network."""

import pytest

from celeryward.endpoints import drains
from celeryward.endpoints import runners
from celeryward.endpoints import selection
from tests import fakes


def runner(name, failure_domain):
    return runners.Runner(name, 'app', '10.0.0.1', 80, failure_domain)


class TestDrains:
    """Guards against drains that end early, late or with a burst."""

    def make_drains(self):
        self.clock = fakes.CallableClock(100.0)
        return drains.FailureDomainDrains(self.clock)

    def returned(self, state):
        """Return the share of requests that may go to domain 'a'."""
        ids = [f'request-{number}' for number in range(2000)]
        return 1 - sum('a' in state.avoided(each) for each in ids) / len(ids)

    def test_two_are_in_effect_at_once_and_end_apart(self):
        state = self.make_drains()
        assert state.begin('a')
        assert state.begin('b')
        assert state.drained == {'a', 'b'}
        assert state.end('a')
        assert not state.is_drained('a')
        assert state.is_drained('b')

    def test_repeated_order_does_not_restart_the_drain(self):
        state = self.make_drains()
        state.begin('a')
        assert not state.begin('a')
        assert state.count == 1
        assert state.end('a')
        assert not state.end('a')

    def test_last_known_state_has_no_limit_of_time(self):
        state = self.make_drains()
        state.begin('a')
        self.clock.now += 1e6
        assert state.is_drained('a')

    def test_requests_return_gradually_and_the_same_ones_at_all_routers(self):
        state = self.make_drains()
        state.begin('a')
        self.clock.now += 60.0
        state.end('a')
        shares = []
        for _ in range(5):
            shares.append(self.returned(state))
            self.clock.now += drains.RETURN_SECONDS / 4
        expected = [0.0, 0.25, 0.5, 0.75, 1.0]
        assert shares == pytest.approx(expected, abs=0.05)
        assert not state.returns

    def test_drain_removed_before_it_took_effect_changes_nothing(self):
        state = self.make_drains()
        state.begin('a')
        state.end('a')
        assert self.returned(state) == 1.0

    def test_return_takes_no_longer_than_the_drain(self):
        state = self.make_drains()
        state.begin('a')
        self.clock.now += 2.0
        state.end('a')
        self.clock.now += 1.0
        assert self.returned(state) == pytest.approx(0.5, abs=0.05)
        self.clock.now += 1.0
        assert self.returned(state) == 1.0

    def test_short_drain_in_a_return_does_not_cut_the_return_short(self):
        state = self.make_drains()
        state.begin('a')
        self.clock.now += 60.0
        state.end('a')
        state.begin('a')
        self.clock.now += 0.1
        state.end('a')
        self.clock.now += 1.0
        assert self.returned(state) == pytest.approx(0.1, abs=0.03)


class TestSelection:
    """Guards against requests in a drained failure domain."""

    both = (runner('one', 'a'), runner('two', 'b'))

    def chosen(self, **more):
        query = selection.Query(self.both, 'a', **more)
        found = (selection.select(query) for _ in range(20))
        return {each and each.id for each in found}

    def test_drained_endpoint_is_no_last_resort(self):
        assert self.chosen(drained=frozenset('a')) == {'two'}
        assert self.chosen(
            drained=frozenset('a'), suspects=frozenset(('two',))
        ) == {'two'}
        assert self.chosen(
            drained=frozenset('a'), too_late=frozenset(('two',))
        ) == {None}
        query = selection.Query(self.both, 'a', drained=frozenset('ab'))
        assert selection.eligible(query) == ()

    def test_request_that_has_not_returned_uses_the_domain_last(self):
        assert self.chosen(avoided=frozenset('a')) == {'two'}
        assert self.chosen(
            avoided=frozenset('a'), closed=frozenset(('two',))
        ) == {'one'}
        assert self.chosen(
            avoided=frozenset('a'), suspects=frozenset(('two',))
        ) == {'one'}


class TestTable:
    """Guards against requests and connections that a drain finds waiting."""

    def test_drained_endpoint_stays_listed_and_gets_nothing(self):
        table = runners.RunnerTable()
        one = runner('one', 'a')
        table.put(one)
        assert table.may_send(one)
        table.drains.begin('a')
        assert not table.may_send(one)
        assert table.available_addresses() == frozenset()
        # Crashes of its running work still count.
        assert table.is_available(one)
        table.drains.end('a')
        assert table.may_send(one)
        assert table.available_addresses() == {one.address}
