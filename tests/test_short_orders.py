"""Rollouts that have little time to be judged."""

import math

import pytest

from benchmarks import short_rollouts
from celeryward.raters import evidence
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from celeryward.raters import rollout_schedule
from tests import fakes

SERVICE = 'llm'
ORDER_SECONDS = 20.0
HEAD_SECONDS = 0.2
SECONDS_PER_EVENT = 0.05
EVENTS = 10
OVERDUE_SECONDS = HEAD_SECONDS * evidence.MIN_OVERDUE_FACTOR
RUNNING = rollout_orders.State.RUNNING
DONE = rollout_orders.State.DONE
ROLLED_BACK = rollout_orders.State.ROLLED_BACK


@pytest.fixture
def clock():
    return fakes.CallableClock()


@pytest.fixture
def rollouts(clock):
    instance = releases.Releases(0.15, 5.0, clock)
    instance.accept(rollout_orders.Order(SERVICE, 'v2', ORDER_SECONDS))
    return instance


def begin(rollouts, software, number=0):
    """Begin a run at one of many endpoints."""
    return rollouts.runs.begin(SERVICE, software, 'k', f'e{number}', 1.0)


def run_whole(rollouts, clock, software, number=0):
    """Complete one stream that is as fast as usual."""
    run = begin(rollouts, software, number)
    clock.now += HEAD_SECONDS
    rollouts.runs.head_arrived(run)
    for count in range(1, EVENTS + 1):
        clock.now += SECONDS_PER_EVENT
        rollouts.runs.events_arrived(run, count)
    rollouts.runs.end(run)


def run_old_version(rollouts, clock, count=10):
    """Complete streams at the old version."""
    for _ in range(count):
        run_whole(rollouts, clock, 'v1')


def verdict(rollouts, clock, elapsed):
    """Return the verdict after a fraction of the time of the order."""
    progress = rollouts.progress[SERVICE]
    clock.now = progress.start_monotonic + elapsed * ORDER_SECONDS
    rollouts.decide_due()
    return rollouts.progress[SERVICE].verdict


class TestEvidenceUnderWay:
    """Guards against taking runs that have not ended for good ones."""

    def test_version_is_not_completed_by_heads_alone(self, rollouts, clock):
        """A version whose streams are slow was completed by its heads."""
        run_old_version(rollouts, clock)
        for number in range(20):
            rollouts.runs.head_arrived(begin(rollouts, 'v2', number))
        for _ in range(3):
            rollouts.observe(SERVICE, 'v2', 'k', False)
        assert verdict(rollouts, clock, 0.86) is RUNNING
        assert rollouts.progress[SERVICE].tally.answers == 3

    def test_version_without_a_judged_run_is_rolled_back(
        self, rollouts, clock
    ):
        """It was completed at the deadline, with all of its runs overdue."""
        for number in range(20):
            begin(rollouts, 'v2', number)
        assert verdict(rollouts, clock, 0.96) is ROLLED_BACK

    def test_one_late_head_does_not_outweigh_all_other_runs(
        self, rollouts, clock
    ):
        """At one request a second a good version in five was rolled back."""
        for number in range(30):
            run_whole(rollouts, clock, 'v1')
            rollouts.observe(SERVICE, 'v2', 'k', False, f'e{number}')
        run = begin(rollouts, 'v2')
        clock.now += 2 * OVERDUE_SECONDS
        rollouts.runs.head_arrived(run)
        rollouts.runs.report_overdue()
        assert rollouts.progress[SERVICE].tally.head.bad > 0
        assert verdict(rollouts, clock, 0.94) is DONE

    def test_version_without_requests_is_completed(self, rollouts, clock):
        assert verdict(rollouts, clock, 0.96) is DONE

    def test_version_that_is_shown_good_is_completed(self, rollouts, clock):
        for number in range(12):
            run_whole(rollouts, clock, 'v1')
            run_whole(rollouts, clock, 'v2', number)
        for number in range(5):
            run_whole(rollouts, clock, 'v2', number)
        rollouts.runs.report_overdue()
        assert verdict(rollouts, clock, 0.86) is DONE

    def test_judge_that_has_just_started_waits_for_the_times(
        self, rollouts, clock
    ):
        """It knew no times of the old version, and completed a slow one."""
        for number in range(12):
            rollouts.observe(SERVICE, 'v2', 'k', False, f'e{number}')
        rollouts.add_outcome(
            rollout_orders.Outcome(
                SERVICE,
                'v2',
                0,
                'e',
                rollout_orders.Criterion.PACE,
                True,
                2 * evidence.MAX_SPEED_LOG_RATIO,
            )
        )
        assert verdict(rollouts, clock, 0.86) is RUNNING
        assert verdict(rollouts, clock, 0.94) is ROLLED_BACK

    def test_times_count_when_a_slow_one_would_be_known(self, rollouts, clock):
        """Fast heads came first and hid the slow ones."""
        run_old_version(rollouts, clock)
        run = begin(rollouts, 'v2')
        began_at = clock.now
        clock.now += HEAD_SECONDS / 2
        rollouts.runs.head_arrived(run)
        rollouts.runs.report_overdue()
        assert not rollouts.progress[SERVICE].tally.head.runs
        clock.now = began_at + OVERDUE_SECONDS + 0.01
        rollouts.runs.report_overdue()
        assert rollouts.progress[SERVICE].tally.head.runs == 1

    def test_time_of_a_version_that_was_replaced_is_dropped(
        self, rollouts, clock
    ):
        """It went into the averages of the old version."""
        run_old_version(rollouts, clock)
        before = rollouts.baselines.of(SERVICE, 'k')
        rollouts.runs.head_arrived(begin(rollouts, 'v2'))
        rollouts.accept(rollout_orders.Order(SERVICE, 'v3', 20.0, created=2))
        clock.now += 10 * OVERDUE_SECONDS
        rollouts.runs.report_overdue()
        assert rollouts.baselines.of(SERVICE, 'k') == before


class TestUnknownTimes:
    """Guards against evidence from times that can't be compared."""

    def test_time_without_a_baseline_is_no_evidence(self, rollouts, clock):
        """Slow runs counted as good until the old version was known."""
        for number in range(5):
            run_whole(rollouts, clock, 'v2', number)
        rollouts.runs.report_overdue()
        tally = rollouts.progress[SERVICE].tally
        assert (tally.head.runs, tally.pace.runs) == (0, 0)
        assert tally.answers == 5

    def test_few_runs_of_a_kind_are_compared_with_all(self, rollouts, clock):
        """A router with few runs of each kind never judged a pace."""
        run_old_version(rollouts, clock)
        for number in range(4):
            run = rollouts.runs.begin(SERVICE, 'v2', 'rare', f'e{number}', 1.0)
            rollouts.runs.head_arrived(run)
        clock.now += 10 * SECONDS_PER_EVENT * EVENTS
        rollouts.runs.report_overdue()
        tally = rollouts.progress[SERVICE].tally
        assert tally.pace.runs == 4
        assert tally.pace.bad > 0

    def test_short_head_is_never_slow(self, rollouts, clock):
        """A head of 0.1 s was slow where 0.02 s are usual."""
        for software, seconds in (('v1', 0.02), ('v2', 0.1)):
            for number in range(10):
                run = begin(rollouts, software, number)
                clock.now += seconds
                rollouts.runs.head_arrived(run)
                rollouts.runs.drop(run)
        clock.now += evidence.MIN_SLOW_SECONDS
        rollouts.runs.report_overdue()
        tally = rollouts.progress[SERVICE].tally
        assert (tally.head.runs, tally.head.bad) == (10, 0.0)

    def test_completed_version_is_the_next_baseline(self, rollouts, clock):
        """Each later version was compared with the very first one."""
        run_old_version(rollouts, clock)
        done = rollout_orders.Order(SERVICE, 'v2', 20.0, DONE)
        rollouts.accept(done)
        assert not rollouts.baselines.of(SERVICE, 'k').head.samples
        run_whole(rollouts, clock, 'v2')
        assert rollouts.baselines.of(SERVICE, 'k').head.samples == 1

    def test_factor_counts_for_less_where_times_vary(self):
        """Long prompts in a queue made a good version look slow."""
        steady = varied = evidence.TimeBaseline()
        for number in range(50):
            steady = steady.with_sample(0.2, 0.0)
            varied = varied.with_sample((0.05, 0.8)[number % 2], 0.0)
        assert math.isclose(steady.usual_seconds, 0.2, rel_tol=0.01)
        assert 0 < varied.log_ratio(0.6) < steady.log_ratio(0.6)


class TestSchedule:
    """Guards against stages that are shorter than an answer takes."""

    @pytest.mark.parametrize('seconds', (9.0, 12.0, 16.0, 24.0))
    def test_canary_gets_as_many_requests_in_a_short_order(self, seconds):
        """In 9 s eight requests came before all of them moved."""
        schedule = rollout_schedule.Schedule(0.15, seconds)
        canary_seconds = seconds * (
            schedule.ramp_start - rollout_schedule.CANARY_START
        )
        found = canary_seconds * schedule.canary_share
        assert found >= rollout_schedule.CANARY_REQUEST_SECONDS - 0.001

    @pytest.mark.parametrize('seconds', (40.0, 60.0, 3600.0))
    def test_long_orders_have_the_share_of_the_bound(self, seconds):
        schedule = rollout_schedule.Schedule(0.15, seconds)
        assert schedule.canary_share == pytest.approx(0.075)

    @pytest.mark.parametrize('seconds', (5.0, 9.0, 12.0, 24.0, 3600.0))
    def test_decision_leaves_time_to_be_stored(self, seconds):
        """A good version was completed after its time had ended."""
        schedule = rollout_schedule.Schedule(0.15, seconds)
        for is_judge in (True, False):
            left = seconds * (1 - schedule.decision_deadline(is_judge))
            assert left > releases.COMPLETION_SETTLE_SECONDS + 0.4

    @pytest.mark.parametrize('seconds', (0.001, 1.0, 5.0, 9.0, 24.0, 1e7))
    def test_share_never_shrinks(self, seconds):
        """A session would return to the old version."""
        schedule = rollout_schedule.Schedule(0.15, seconds)
        shares = [
            schedule.traffic_share(step / 1000, True) for step in range(1001)
        ]
        assert shares == sorted(shares)
        assert shares[509] == 0.0
        assert shares[-1] == 1.0

    @pytest.mark.parametrize('seconds', (7.0, 9.0, 12.0, 16.0))
    def test_excess_of_a_short_order_is_a_fixed_time_of_requests(
        self, seconds
    ):
        """What a bad version gets in addition has to cover the excess."""
        schedule = rollout_schedule.Schedule(0.15, seconds)
        steps = int(1000 * schedule.completion_start())
        exposed = (
            seconds
            / 1000
            * sum(
                schedule.traffic_share(step / 1000, True)
                for step in range(steps)
            )
        )
        assert exposed <= 0.15 * seconds + 0.25


class TestShortOrders:
    """Guards against judging a version by the time that an order allows."""

    def play(self, behaviour, seeds):
        """Return the results of orders of 9 s at 45 requests a second."""
        return [
            short_rollouts.Simulation(seed, 45.0, 9.0, behaviour).run()
            for seed in range(seeds)
        ]

    @pytest.mark.parametrize('behaviour', ('errors', 'one-kind'))
    def test_failing_version_stays_within_its_share(self, behaviour):
        for played in self.play(behaviour, seeds=6):
            assert played.state is ROLLED_BACK
            assert played.exposure.exposed <= played.allowed

    def test_slow_version_is_rolled_back(self):
        """It was completed while most of its runs were under way."""
        results = self.play('slow', seeds=20)
        assert all(played.state is ROLLED_BACK for played in results)
        within = [
            played.exposure.exposed <= played.allowed for played in results
        ]
        assert within.count(True) >= 19

    def test_good_version_is_completed(self):
        states = [played.state for played in self.play('good', seeds=20)]
        assert states.count(DONE) >= 19
