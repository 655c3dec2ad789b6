"""Distributed limits of customers and their division among daemons."""

import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import demand
from celeryward.callers import limits
from celeryward import catalog

DAY = 20_000
NOW = DAY * 86_400.0 + 1_000.0
TOMORROW = NOW + 86_400.0
NAMES = ('d-1', 'd-2', 'd-3')


def customer(**fields):
    return catalog.Customer('a', limits=catalog.Limits(**fields))


def summary(daemon, sequence=1, day=DAY, **fields):
    entry = demand.CustomerDemand('a', **fields)
    return demand.Demand(daemon, sequence, day, (entry,))


def fleet(*summaries, reachable=NAMES, expected=3):
    by_daemon = {name: limits.Shares(name) for name in reachable}
    for daemon_shares in by_daemon.values():
        daemon_shares.start_day(DAY)
        for each in summaries:
            daemon_shares.accept(each)
        daemon_shares.set_members(reachable, expected)
    return by_daemon


demands = strategies.dictionaries(
    strategies.text('abc', min_size=1),
    strategies.floats(0, 1e6),
    min_size=1,
)


class TestDivision:
    """Guards against shares that don't add up to the limit."""

    @hypothesis.given(demands, strategies.integers(0, 20))
    def test_rates_add_up_to_the_reachable_part(self, wanted, missing):
        expected = len(wanted) + missing
        shares = [
            limits.divide(60.0, name, wanted, expected, 60.0)
            for name in wanted
        ]
        part = 60.0 * len(wanted) / expected
        assert sum(shares) == pytest.approx(part)

    @hypothesis.given(
        demands, strategies.integers(1, 50), strategies.integers(0, 20)
    )
    def test_whole_shares_add_up_exactly(self, wanted, limit, missing):
        expected = len(wanted) + missing
        shares = [
            limits.apportion(limit, name, wanted, expected) for name in wanted
        ]
        assert sum(shares) == max(1, limit * len(wanted) // expected)

    def test_share_follows_demand(self):
        by_daemon = fleet(summary('d-1', rate=30.0), summary('d-2', rate=10.0))
        shares = [
            daemon_shares.rate('a', 100.0)
            for daemon_shares in by_daemon.values()
        ]
        assert shares[0] > 2 * shares[1] > 4 * shares[2] > 0.0

    def test_partitions_divide_only_their_part(self):
        busy = summary('d-1', rate=30.0)
        majority = fleet(busy, reachable=('d-1', 'd-2'))
        minority = fleet(busy, reachable=('d-3',))
        sides = (majority, minority)
        sums = [
            sum(
                daemon_shares.rate('a', 90.0)
                for daemon_shares in side.values()
            )
            for side in sides
        ]
        assert sums == pytest.approx([60.0, 30.0])

    def test_decayed_demand_does_not_change_shares(self):
        by_daemon = fleet(summary('d-1', rate=0.01))
        shares = [
            daemon_shares.rate('a', 90.0)
            for daemon_shares in by_daemon.values()
        ]
        assert shares == pytest.approx([30.0] * 3, rel=0.01)

    def test_older_summary_does_not_replace_a_newer_one(self):
        daemon_shares = limits.Shares('d-1')
        daemon_shares.accept(summary('d-2', 2, rate=5.0))
        daemon_shares.accept(summary('d-2', 1, rate=9.0))
        assert daemon_shares.summaries['d-2'].of_customer('a').rate == 5.0


class TestDailyCost:
    """Guards against a cost budget that is spent more than once."""

    LIMIT = 100.0

    def remaining_budget(self, by_daemon):
        return sum(
            daemon_shares.cost('a', self.LIMIT)
            for daemon_shares in by_daemon.values()
        )

    def test_remaining_budget_is_divided(self):
        by_daemon = fleet(summary('d-1', cost=40.0), summary('d-2', cost=20.0))
        assert self.remaining_budget(by_daemon) == pytest.approx(40.0)

    def test_cost_of_a_daemon_that_has_ended_counts(self):
        gone = summary('d-0', cost=70.0)
        assert self.remaining_budget(fleet(gone)) == pytest.approx(30.0)

    def test_costs_of_an_earlier_day_do_not_count(self):
        old = summary('d-1', day=DAY - 1, cost=90.0)
        assert self.remaining_budget(fleet(old)) == pytest.approx(100.0)

    def test_daemons_that_ended_on_an_earlier_day_are_dropped(self):
        by_daemon = fleet(summary('d-0', cost=70.0))
        daemon_shares = by_daemon['d-1']
        daemon_shares.start_day(DAY + 1)
        assert set(daemon_shares.summaries) == {'d-1'}
        assert daemon_shares.by_customer['a'] == {}

    def test_both_sides_of_a_partition_stay_within_the_budget(self):
        before = [summary(name, cost=10.0) for name in NAMES]
        sides = (('d-1', 'd-2'), ('d-3',))
        total = 30.0
        for side in sides:
            by_daemon = fleet(*before)
            for daemon_shares in by_daemon.values():
                daemon_shares.set_members(side, 3)
            members = [by_daemon[name] for name in side]
            spent = dict.fromkeys(side, 10.0)
            # Each round spends what the shares allow, then announces it.
            for sequence in range(2, 30):
                for daemon_shares in members:
                    spent[daemon_shares.daemon] += daemon_shares.cost(
                        'a', self.LIMIT
                    )
                for daemon_shares in members:
                    for name, cost in spent.items():
                        daemon_shares.accept(
                            summary(name, sequence, cost=cost)
                        )
            total += sum(spent.values()) - 10.0 * len(side)
        assert total <= self.LIMIT + 1e-6

    def test_too_low_count_of_daemons_is_no_change_each_time(self):
        """Each call set the baseline anew, as a partition would."""
        daemon_shares = fleet(expected=2)['d-1']
        daemon_shares.accept(summary('d-1', cost=40.0))
        daemon_shares.set_members(NAMES, 2)
        assert daemon_shares.spending_baselines == {}

    def test_running_requests_count_with_their_mean_cost(self):
        limiter = limits.Limiter('d-1')
        paying = customer(cost_per_day=10.0)
        assert limiter.acquire(paying, 0.0, NOW).is_ok()
        limiter.charge('a', 4.0, DAY)
        limiter.release(paying, 1.0)
        assert limiter.acquire(paying, 1.0, NOW).is_ok()
        assert limiter.acquire(paying, 1.0, NOW).is_err()

    def test_new_day_resets_the_budget(self):
        limiter = limits.Limiter('d-1')
        paying = customer(cost_per_day=10.0)
        limiter.charge('a', 10.0, DAY)
        limiter.summary(0.0, DAY)
        refused = limiter.acquire(paying, 0.0, NOW).unwrap_err()
        assert refused.retry_at.at == pytest.approx(86_400.0 - 1_000.0)
        assert limiter.acquire(paying, 0.0, TOMORROW).is_ok()


class TestRate:
    """Guards against a request rate above the limit."""

    def admitted(self, limiter, limited, times):
        return sum(limiter.acquire(limited, now, NOW).is_ok() for now in times)

    def test_sustained_rate(self):
        limiter = limits.Limiter('d-1')
        times = [n / 100 for n in range(1000)]
        count = self.admitted(limiter, customer(requests_per_s=5.0), times)
        assert count == 5 * 10 + 4

    def test_refusal_says_when_to_retry(self):
        limiter = limits.Limiter('d-1')
        limited = customer(requests_per_s=0.5)
        assert limiter.acquire(limited, 10.0, NOW).is_ok()
        refused = limiter.acquire(limited, 10.0, NOW).unwrap_err()
        assert refused.retry_at.at == pytest.approx(12.0)
        assert limiter.acquire(limited, 12.0, NOW).is_ok()

    def test_no_limit(self):
        limiter = limits.Limiter('d-1')
        assert self.admitted(limiter, customer(), [0.0] * 50) == 50


class TestConcurrency:
    """Guards against more concurrent requests than the share."""

    def test_release_admits_another_request(self):
        limiter = limits.Limiter('d-1')
        limited = customer(concurrent=2)
        admissions = [limiter.acquire(limited, 0.0, NOW) for _ in range(3)]
        assert [each.is_ok() for each in admissions] == [True, True, False]
        limiter.release(limited, 1.0)
        assert limiter.acquire(limited, 0.0, NOW).is_ok()


class TestSummaries:
    """Guards against summaries that miss demand or are sent needlessly."""

    def test_refused_requests_count_as_demand(self):
        limiter = limits.Limiter('d-1')
        limited = customer(requests_per_s=1.0)
        for n in range(600):
            limiter.acquire(limited, n / 10, NOW)
        rate = limiter.summary(60.0, DAY).of_customer('a').rate
        assert rate == pytest.approx(10.0, rel=0.1)

    def test_demand_that_ends_is_not_reported(self):
        meter = demand.DemandMeter('d-1')
        meter.record_request('a', 0.0)
        assert meter.summary(120.0, DAY).customers == ()

    def test_noise_of_a_low_rate_is_not_sent(self):
        before = summary('d-1', rate=1.0)
        assert not summary('d-1', rate=1.5).differs(before)
        assert summary('d-1', rate=4.0).differs(before)

    def test_small_changes_are_not_sent(self):
        before = summary('d-1', rate=100.0)
        assert not summary('d-1', rate=110.0).differs(before)
        assert summary('d-1', rate=150.0).differs(before)
        assert demand.Demand('d-1', day=DAY).differs(before)
