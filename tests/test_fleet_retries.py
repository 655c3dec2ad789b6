"""Retry budgets that many routers share without communication."""

import hypothesis
from hypothesis import strategies

from celeryward.endpoints import fleet_retries

WINDOW_SECONDS = 10.0
ARRIVALS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 3.0),
        strategies.integers(0, 299),
        strategies.booleans(),
    ),
    max_size=300,
)


def allowance(count, slack=54.0):
    return fleet_retries.FleetAllowance(
        0.9, 0.72, slack, WINDOW_SECONDS, count
    )


def count_in(times, end):
    return sum(end - WINDOW_SECONDS < each <= end for each in times)


class TestFleetAllowance:
    """Guards against retries of many routers that add up to an overload."""

    @hypothesis.given(strategies.integers(1, 300), ARRIVALS)
    def test_fleet_stays_within_its_allowance_in_every_window(
        self, count, arrivals
    ):
        """A fleet used to have a burst of seven for each of its routers."""
        now = [100.0]
        shared = allowance(count)
        budgets = [
            fleet_retries.FleetBudget(shared, lambda: now[0])
            for _ in range(count)
        ]
        requests, retries = [], []
        for pause, number, fails in arrivals:
            now[0] += pause
            budget = budgets[number % count]
            budget.record_first_dispatch()
            requests.append(now[0])
            while fails and budget.try_take():
                retries.append(now[0])
        for end in retries:
            base = max(
                count_in(requests, end),
                count_in(requests, end - WINDOW_SECONDS),
                count_in(requests, end - WINDOW_SECONDS / 2),
            )
            assert count_in(retries, end) <= 0.9 * base + 54.0 + 1e-6

    def test_escalations_leave_a_reserve_for_failures(self):
        budget = fleet_retries.FleetBudget(allowance(7))
        while budget.try_take_for_escalation():
            pass
        assert budget.try_take()

    def test_router_of_a_large_fleet_can_escalate_every_second_request(self):
        """A burst below two tokens used to refuse most escalations."""
        now = [0.0]
        budget = fleet_retries.FleetBudget(
            allowance(195, 430.0), lambda: now[0]
        )
        granted = 0
        for number in range(200):
            now[0] += 1.0
            budget.record_first_dispatch()
            if number % 2:
                granted += budget.try_take_for_escalation()
        assert granted >= 95

    def test_budget_follows_the_number_of_routers(self):
        budget = fleet_retries.FleetBudget(allowance(7))
        assert budget.capacity == 54.0 / 7
        budget.set_allowance(allowance(27))
        taken = 0
        while budget.try_take():
            taken += 1
        assert taken == 2
