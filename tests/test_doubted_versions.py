"""Rollouts of software versions: versions under doubt."""

import pytest

from celeryward.raters import releases
from celeryward.raters import rollout_orders
from tests import fakes
from tests import rollout_runs

SERVICE = rollout_runs.SERVICE
observe = rollout_runs.observe
choose = rollout_runs.choose


@pytest.fixture
def clock():
    return fakes.CallableClock()


@pytest.fixture
def rollouts(clock):
    instance = releases.Releases(0.15, 5.0, clock)
    instance.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
    return instance


class TestDoubt:
    """Guards against completing a version that is bad only at times."""

    def run_old_version(self, rollouts, count=50):
        for number in range(count):
            observe(rollouts, 'v1', number % 25 == 0, 0.1)

    def test_router_with_little_evidence_completes_no_doubted_version(
        self, rollouts, clock
    ):
        """The router with all evidence was still in doubt."""
        judge = rollouts
        other = releases.Releases(0.15, 5.0, clock, decider_count=lambda: 7)
        other.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
        self.run_old_version(judge)
        for failed in (False, False, False, True):
            observe(judge, 'v2', failed, 0.1)
            observe(other, 'v2', False, 0.1)
        written = []
        while not written:
            clock.now += 0.05
            for router in (other, judge):
                router.decide_due()
                written.extend(router.orders_without_verdict())
        assert written[0].state is rollout_orders.State.ROLLED_BACK

    @pytest.mark.parametrize('per_second', (20, 60, 100, 200))
    def test_doubted_version_gets_no_more_than_a_bad_one_may(
        self, clock, per_second
    ):
        """It got all requests until its time was nearly over."""
        rollouts = releases.Releases(0.15, 5.0, clock, bad_version_slack=30.0)
        rollouts.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
        self.run_old_version(rollouts)
        for number in range(20 * per_second):
            clock.now = number / per_second
            software = choose(rollouts, '', f'r{number}')
            rollouts.record_dispatch(SERVICE, software)
            if number == 16 * per_second:
                observe(rollouts, 'v2', True, 0.1)
            rollouts.decide_due()
        exposure = rollouts.progress[SERVICE].exposure
        assert exposure.requests == 20 * per_second
        assert exposure.exposed <= 0.15 * exposure.requests + 30.0

    def test_completion_under_doubt_is_not_stored(self, rollouts, clock):
        """Its evidence was good for a moment, and bad before and after it."""
        self.run_old_version(rollouts)
        for _ in range(5):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.1
        rollouts.decide_due()
        assert rollouts.progress[SERVICE].verdict is rollout_orders.State.DONE
        observe(rollouts, 'v2', True, 0.1)
        clock.now += releases.COMPLETION_SETTLE_SECONDS
        rollouts.decide_due()
        assert not list(rollouts.orders_without_verdict())

    def test_version_is_not_completed_between_two_bad_moments(
        self, rollouts, clock
    ):
        """Some good answers brought the evidence below the bound of doubt."""
        self.run_old_version(rollouts)
        clock.now = 16.5
        for failed in (False, False, True, False, False):
            observe(rollouts, 'v2', failed, 0.1)
        tally = rollouts.progress[SERVICE].tally
        assert 0.0 < tally.failure_log_odds < 1.5
        clock.now = 17.1
        rollouts.decide_due()
        clock.now += releases.COMPLETION_SETTLE_SECONDS
        rollouts.decide_due()
        assert not list(rollouts.orders_without_verdict())

    def test_completion_is_stored_once_the_doubt_is_over(
        self, rollouts, clock
    ):
        self.run_old_version(rollouts)
        for _ in range(5):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.1
        rollouts.decide_due()
        observe(rollouts, 'v2', True, 0.1)
        clock.now += 0.1
        rollouts.decide_due()
        for _ in range(10):
            observe(rollouts, 'v2', False, 0.1)
        rollouts.decide_due()
        assert not list(rollouts.orders_without_verdict())
        clock.now += releases.COMPLETION_SETTLE_SECONDS
        rollouts.decide_due()
        assert [
            order.state for order in rollouts.orders_without_verdict()
        ] == [rollout_orders.State.DONE]

    def test_outweighed_doubt_rolls_nothing_back_for_its_allowance(
        self, rollouts, clock
    ):
        """A good version was rolled back while its evidence got better."""
        self.run_old_version(rollouts)
        for _ in range(80):
            rollouts.record_dispatch(SERVICE, 'v1')
        clock.now = 17.1
        for failed in (True, False, False):
            observe(rollouts, 'v2', failed, 0.1)
        for _ in range(20):
            rollouts.record_dispatch(SERVICE, 'v2')
        rollouts.decide_due()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        for _ in range(5):
            observe(rollouts, 'v2', False, 0.1)
        rollouts.decide_due()
        assert rollouts.progress[SERVICE].verdict is rollout_orders.State.DONE
