"""Rollouts of software versions: evidence of runs in flight."""

import pytest

from celeryward import awake_clock
from celeryward.raters import evidence
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from tests import fakes

SERVICE = 'llm'


@pytest.fixture
def clock():
    return fakes.CallableClock()


@pytest.fixture
def rollouts(clock):
    instance = releases.Releases(0.15, 5.0, clock)
    instance.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
    return instance


class TestInFlightRuns:
    """Guards against judging a slow version by its few fast runs."""

    def begin(self, rollouts, software, number=0):
        return rollouts.runs.begin(SERVICE, software, 'k', f'e{number}', 1.0)

    def run_old_version(
        self, rollouts, clock, head=0.2, events=10, seconds_per_event=0.05
    ):
        """Complete runs at the old version."""
        for _ in range(10):
            run = self.begin(rollouts, 'v1')
            clock.now += head
            run.record_head(clock.now)
            run.record_events(events)
            clock.now += events * seconds_per_event
            rollouts.runs.end(run)

    def test_runs_without_an_answer_cause_a_rollback(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        for number in range(4):
            self.begin(rollouts, 'v2', number)
        clock.now += 0.2 * evidence.MIN_OVERDUE_FACTOR - 0.1
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        clock.now += 0.2
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_pause_of_the_router_causes_no_rollback(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        rollouts.runs.clock = awake_clock.AwakeClock(clock)
        rollouts.runs.clock.readers = 1
        for number in range(4):
            self.begin(rollouts, 'v2', number)
        clock.now += 2.6
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        for _ in range(10):
            clock.now += awake_clock.TICK_SECONDS
            rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_slow_streams_cause_a_rollback(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        for number in range(4):
            run = self.begin(rollouts, 'v2', number)
            run.record_head(clock.now)
            run.record_events(2)
        clock.now += 0.7
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_slow_heads_cause_a_rollback(self, rollouts, clock):
        """A head between two checks of the runs in flight passed as fast."""
        self.run_old_version(rollouts, clock)
        for number in range(4):
            run = self.begin(rollouts, 'v2', number)
            clock.now += 0.2 * evidence.MIN_OVERDUE_FACTOR + 0.1
            run.record_head(clock.now)
            rollouts.runs.end(run)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_long_answers_count_from_their_heads(self, rollouts, clock):
        """Slow runs counted at once, good ones only after their last event."""
        self.run_old_version(rollouts, clock)
        for number in range(40):
            run = self.begin(rollouts, 'v2', number)
            clock.now += 0.1
            if number % 5:
                rollouts.runs.head_arrived(run)
                # Its events go on after the end of the test.
                rollouts.runs.drop(run)
            rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        assert rollouts.progress[SERVICE].tally.slow >= 6

    def test_queues_at_both_versions_are_no_evidence(self, rollouts, clock):
        """Runs in the queues of the new version alone counted as slow."""
        self.run_old_version(rollouts, clock)
        for number in range(24):
            software = ('v1', 'v1', 'v2')[number % 3]
            run = self.begin(rollouts, software, number)
            slow = number % 4 == 0
            clock.now += 0.2 * (
                3 * evidence.MIN_OVERDUE_FACTOR if slow else 1.0
            )
            rollouts.runs.report_overdue()
            run.record_head(clock.now)
            rollouts.runs.end(run)
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_end_of_an_overdue_run_is_not_counted(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        run = self.begin(rollouts, 'v2')
        clock.now += 1.0
        rollouts.runs.report_overdue()
        before = rollouts.progress[SERVICE].tally
        assert before.slow == 1
        rollouts.runs.end(run)
        assert rollouts.progress[SERVICE].tally == before

    def test_slow_runs_of_one_endpoint_count_as_two_at_most(
        self, rollouts, clock
    ):
        self.run_old_version(rollouts, clock)
        for _ in range(6):
            self.begin(rollouts, 'v2')
        clock.now += 1.0
        rollouts.runs.report_overdue()
        tally = rollouts.progress[SERVICE].tally
        single = evidence.MAX_SPEED_LOG_RATIO
        assert tally.slow == 6
        assert tally.log_odds <= evidence.MAX_EFFECTIVE_RUNS * single + 0.001
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_busy_endpoint_outweighs_no_others(self, rollouts, clock):
        """Many good answers hid a version of which half of the runs failed."""
        self.run_old_version(rollouts, clock)
        for _ in range(4):
            for number in range(32):
                run = self.begin(rollouts, 'v2', number % 8)
                slow = number % 16 < 8
                clock.now += 0.0001
                run.record_head(clock.now)
                rollouts.runs.end(run, failed=slow)
            clock.now += 0.5
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_outdated_head_times_are_not_used(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        clock.now += 6.0
        for number in range(4):
            self.begin(rollouts, 'v2', number)
        clock.now += 1.0
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_slow_heads_as_in_the_baseline_pass(self, rollouts, clock):
        self.run_old_version(rollouts, clock, head=1.0)
        for number in range(4):
            self.begin(rollouts, 'v2', number)
        clock.now += 1.0
        rollouts.runs.report_overdue()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_disconnected_callers_are_no_evidence(self, rollouts, clock):
        self.run_old_version(rollouts, clock)
        run = self.begin(rollouts, 'v2')
        rollouts.runs.drop(run)
        clock.now += 5.0
        rollouts.runs.report_overdue()
        assert rollouts.progress[SERVICE].tally.answers == 0
        assert not rollouts.runs.runs
