"""Limits on requests to endpoints that are warming up; without a network."""

import itertools
import math
import types

import pytest

from celeryward.endpoints import crashes
from celeryward.endpoints import reopening
from celeryward.endpoints import selection
from celeryward.endpoints import warm_up_shares
from celeryward.endpoints import warm_ups
from celeryward import ingress
from tests import fakes
from tests import warm_up_fleet

RULE = warm_up_fleet.RULE
UTC = warm_up_fleet.UTC
runner = warm_up_fleet.runner
make = warm_up_fleet.make


class TestDivision:
    """Guards against shares whose sum exceeds the bound, or uses little."""

    @pytest.mark.parametrize('router_count', (1, 2, 7, 9, 10, 30, 87, 195))
    @pytest.mark.parametrize('rate', (0.5, 1.0, 4.0, 10.0, 33.0))
    def test_sum_is_within_the_bound_and_uses_half_of_the_rate(
        self, rate, router_count
    ):
        bound = 1.5 * rate + 5.0
        rule = warm_up_shares.ColdRule(3.0, rate, bound)
        share = warm_up_shares.divide(rule, router_count)
        each = math.ceil(warm_up_shares.WINDOW_SECONDS / share.spacing)
        assert 1 <= share.senders <= router_count
        assert each * share.senders <= bound
        assert 0.5 * rate <= share.rate <= 1.000001 * rate

    def test_a_tenth_of_the_bound_is_kept(self):
        assert warm_up_shares.divide(RULE, 87) == warm_up_shares.Share(18, 1.8)

    def test_bound_below_one_allows_nothing(self):
        rule = warm_up_shares.ColdRule(3.0, 1.0, 0.9)
        assert warm_up_shares.divide(rule, 7).senders == 0


class TestColdTimes:
    """Guards against endpoints that are taken for warm too soon."""

    @pytest.mark.parametrize(
        ('age', 'seconds'),
        ((None, 3.0), (-50.0, 3.0), (0.5, 3.0), (2.0, 2.0), (4.1, 0.0)),
    )
    def test_new_run_is_cold_unless_its_start_is_long_ago(self, age, seconds):
        state, clock = make()
        started_at = 0.0 if age is None else UTC + clock() - age
        each = runner(started_at=started_at)
        state.record_listed(each, None)
        if not seconds:
            assert not state.is_cold(each)
            return
        clock.now += seconds - 0.01
        assert state.is_cold(each)
        clock.now += 0.02
        assert not state.is_cold(each)

    def test_first_list_of_a_deployment_that_starts_is_warm(self):
        state, _ = make(first_start=True)
        state.record_listed(runner(), None)
        assert not state.is_cold(runner())
        restarted = runner(started_at=UTC + 100.0)
        state.record_listed(restarted, runner())
        assert state.is_cold(restarted)
        state.take(restarted)
        state.record_listed(runner('b'), None)
        assert state.is_cold(runner('b'))

    def test_entry_makes_a_run_cold_and_no_later_one_shortens_it(self):
        state, clock = make()
        old = runner(started_at=UTC)
        state.record_listed(old, None)
        assert not state.is_cold(old)
        state.record_listed(runner(started_at=UTC, cold_seconds=2.0), old)
        state.record_listed(old, old)
        clock.now += 1.9
        assert state.is_cold(old)
        clock.now += 0.2
        assert not state.is_cold(old)

    @fakes.in_kernel
    async def test_process_that_ended_is_followed_by_a_cold_one(self):
        state, clock = make()
        listed = runner(started_at=UTC)
        state.table.put(listed)
        assert not state.is_cold(listed)
        for started_at in (UTC - 9.0, UTC):
            crash = crashes.Crash('a', started_at, 'llm', 0.0, ())
            await state.record_ends((crash, object()), 'r1')
            assert state.is_cold(listed) == (started_at == UTC)
        clock.now += 3.0 + warm_ups.RESTART_SECONDS
        assert not state.is_cold(listed)

    @pytest.mark.parametrize(
        ('stated', 'seconds'), ((None, 3.0), (1e9, 3600.0), (-1.0, 0.0))
    )
    def test_odd_time_has_a_bound(self, stated, seconds):
        state, clock = make()
        each = runner()
        state.extend(each, stated)
        assert state.is_cold(each) == bool(seconds)
        clock.now += seconds
        assert not state.is_cold(each)

    def test_odd_time_in_each_entry_ends(self):
        state, clock = make()
        odd = runner(started_at=UTC, cold_seconds=None)
        state.table.put(odd)
        for _ in range(4):
            assert state.is_cold(odd)
            clock.now += 0.9
            state.table.put(odd)
        assert not state.is_cold(odd)
        state.extend(odd, None, warm_ups.ANSWER)
        assert state.is_cold(odd)
        clock.now += 3.1
        state.table.put(runner(started_at=UTC))
        state.extend(odd, None, warm_ups.ANSWER)
        assert not state.is_cold(odd)
        state.table.put(odd)
        assert state.is_cold(odd)
        state.table.remove('a')
        assert not state.unreadable

    def test_state_is_deleted_when_it_is_of_no_use(self):
        state, clock = make()
        for each in (runner(), runner('b'), runner('c', started_at=UTC)):
            state.table.put(each)
        state.table.remove('b')
        clock.now += 3.0 + warm_ups.RAMP_SECONDS - 0.1
        state.delete_expired()
        assert state.states.keys() == {'a', 'b'}
        clock.now += 0.2
        state.table.put(runner('c', started_at=UTC))
        assert not (state.states or state.ranks)

    def test_entry_that_vanished_comes_back_cold(self):
        state, clock = make()
        listed = runner(started_at=UTC)
        state.table.put(listed)
        state.extend(listed, 30.0)
        clock.now += 1.0
        assert state.take(listed)
        state.table.remove('a')
        clock.now += 0.01
        state.table.put(listed)
        assert state.is_cold(listed)
        assert state.take(listed) is None


class TestUnlimitedEndpoints:
    """Guards against effects where no limit was configured."""

    @pytest.mark.parametrize(
        ('limits_cold', 'rate'), ((False, 10.0), (True, 0.0), (False, 0.0))
    )
    def test_no_rule_without_overage_or_rate(self, limits_cold, rate):
        service = ingress.Service('llm', (), 3.0, rate)
        holder = types.SimpleNamespace(
            current=types.SimpleNamespace(services={'llm': service})
        )
        bounds = types.SimpleNamespace(
            limits_cold=limits_cold, cold_overage=1.5, cold_slack=5.0
        )
        found = warm_up_shares.ColdRules(lambda: bounds, holder)
        assert found.of_service('llm') is None
        assert found.of_service('other') is None
        state, _ = make()
        state.rules = found
        each = runner(cold_seconds=9.0)
        state.record_listed(each, None)
        assert state.blocked_ids([each]) == frozenset()
        assert state.deferred_ids([each]) == frozenset()
        assert state.take(each) is None
        assert state.may_write(each, None)
        assert not state.states

    def test_cold_time_is_kept_until_the_services_are_known(self):
        holder = types.SimpleNamespace(current=None)
        bounds = types.SimpleNamespace(
            limits_cold=True, cold_overage=1.5, cold_slack=5.0
        )
        state, _ = make()
        state.rules = warm_up_shares.ColdRules(lambda: bounds, holder)
        state.record_listed(runner(started_at=UTC, cold_seconds=9.0), None)
        assert not state.is_cold(runner(started_at=UTC))
        service = ingress.Service('llm', (), 3.0, 10.0)
        holder.current = types.SimpleNamespace(services={'llm': service})
        assert state.is_cold(runner(started_at=UTC))


class TestSlots:
    """Guards against requests outside the slots of a router."""

    def cold(self):
        state, clock = make()
        state.record_listed(runner(), None)
        clock.now += warm_up_shares.divide(RULE, 1).spacing
        return state, clock

    def test_slot_that_passed_is_not_saved_up(self):
        state, clock = self.cold()
        clock.now += 1.0
        assert state.take(runner()) is not None
        assert state.take(runner()) is None
        assert state.blocked_ids([runner()]) == {'a'}
        clock.now += warm_up_shares.divide(RULE, 1).spacing
        assert state.take(runner()) is not None

    def test_late_request_is_not_written(self):
        state, clock = self.cold()
        slot = state.take(runner())
        clock.now += warm_up_shares.HOLD_SECONDS - 0.01
        assert state.may_write(runner(), slot)
        spacing = warm_up_shares.divide(RULE, 1).spacing
        assert spacing < warm_up_shares.HOLD_SECONDS
        state.take(runner())
        clock.now += 0.02
        assert not state.may_write(runner(), slot)
        assert state.refused_writes == 1

    def test_endpoint_that_became_cold_after_the_decision_needs_a_slot(self):
        state, clock = make()
        warm = runner(started_at=UTC)
        state.record_listed(warm, None)
        assert state.take(warm) is None
        state.extend(warm, 3.0)
        clock.now += 1.0
        assert state.may_write(warm, None)
        assert not state.may_write(warm, None)

    def test_slot_is_of_one_run(self):
        state, _ = self.cold()
        slot = state.take(runner())
        restarted = runner(started_at=UTC + 100.0)
        state.record_listed(restarted, runner())
        state.quiet_until = math.inf
        assert not state.may_write(restarted, slot)

    def test_router_that_just_started_has_no_slot(self):
        state, clock = self.cold()
        state.quiet_until = clock() + 1.0
        assert state.take(runner()) is None
        clock.now += 1.0
        assert state.take(runner()) is not None

    def test_request_waits_for_the_slot_or_the_end_of_the_warm_up(self):
        state, clock = self.cold()
        other = reopening.Opening(clock(), 0.01)
        state.take(runner())
        opening = state.limit_opening(runner(), other)
        spacing = warm_up_shares.divide(RULE, 1).spacing
        warm_at = state.warm_at(runner())
        assert opening == reopening.Opening(
            clock() + spacing, other.interval, spacing, warm_at
        )
        # Those that wait may start in slots, and all others after the end.
        count = math.ceil((warm_at - opening.at) / spacing)
        starts = list(itertools.islice(opening.starts(), count + 2))
        slots = [opening.at + number * spacing for number in range(count)]
        assert starts == pytest.approx(
            [*slots, warm_at, warm_at + other.interval]
        )
        assert opening.interval_at(warm_at - 0.1) == spacing
        assert opening.interval_at(warm_at) == other.interval
        state.quiet_until = math.inf
        opening = state.limit_opening(runner(), other)
        assert opening == reopening.Opening(
            state.warm_at(runner()), other.interval
        )


class TestPlacement:
    """Guards against cold endpoints that displace warm ones."""

    def select(self, deferred, **more):
        query = selection.Query(
            (runner(), runner('b')), 'a', deferred=frozenset(deferred), **more
        )
        return {selection.select(query).id for _ in range(30)}

    def test_warm_endpoint_goes_first(self):
        assert self.select('b') == {'a'}

    def test_cold_endpoint_serves_if_the_warm_one_does_not(self):
        assert self.select('b', closed=frozenset('a')) == {'b'}
        assert self.select('b', too_late=frozenset('a')) == {'b'}
        assert self.select('b', suspects=frozenset('a')) == {'b'}
        waits = {'a': 1.0, 'b': 0.0}.get
        assert 'b' in self.select('b', queue_seconds=waits)

    def test_share_rises_gradually_after_the_warm_up(self):
        state, clock = make()
        state.record_listed(runner(), None)
        clock.now += RULE.cold_seconds
        counts = []
        for _ in range(4):
            clock.now += warm_ups.RAMP_SECONDS / 5
            found = [state.deferred_ids([runner()]) for _ in range(400)]
            counts.append(sum(map(bool, found)))
        assert all(a > b for a, b in itertools.pairwise(counts))
        assert counts[0] < 360 and counts[-1] > 40
