"""Rollouts of software versions: schedule, sessions and verdicts."""

import pytest

from celeryward import awake_clock
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from celeryward.raters import rollout_schedule
from tests import fakes

SERVICE = 'llm'
PRESENT = ('v1', 'v2')
# Good answers after which a version counts as good, with a margin.
ANSWERS_TO_COMPLETE = 12
PACE = rollout_orders.Criterion.PACE


def observe(rollouts, software, failed, pace, endpoint=''):
    """Report a run as the runs in flight do: its pace, then its outcome."""
    key = (SERVICE, software, 'k')
    rollouts.observe_time(*key, PACE, pace, endpoint)
    rollouts.observe(*key, failed, endpoint)


@pytest.fixture
def clock():
    return fakes.CallableClock()


@pytest.fixture
def rollouts(clock):
    instance = releases.Releases(0.15, 5.0, clock)
    instance.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
    return instance


def choose(rollouts, session='', request_id='r'):
    return rollouts.choose(SERVICE, PRESENT, 'v1', session, request_id)


def share(rollouts, prefix='s', count=2000):
    """Return the share of new sessions that get the new version."""
    chosen = [choose(rollouts, f'{prefix}{number}') for number in range(count)]
    return chosen.count('v2') / count


class TestTrafficShare:
    """Guards against a new version that gets too many requests too early."""

    def test_canary_share_is_below_the_bound(self, rollouts, clock):
        clock.now = 10.5
        assert 0.02 < share(rollouts) < 0.15

    def test_no_session_moves_in_the_first_half(self, rollouts, clock):
        for clock.now in (1.0, 6.0, 9.9):
            assert share(rollouts) == 0.0

    def test_requests_without_a_session_move_early(self, rollouts, clock):
        clock.now = 1.0
        chosen = [choose(rollouts, '', f'r{number}') for number in range(500)]
        assert 0 < chosen.count('v2') < 75

    def test_all_sessions_move_before_the_completion(self, rollouts, clock):
        clock.now = 20.0 * rollout_schedule.COMPLETION_START - 1.0
        assert share(rollouts) == 1.0

    def test_share_grows_evenly(self, rollouts, clock):
        """All requests moved at once, to endpoints with empty caches."""
        found = []
        for step in range(60):
            clock.now = 10.5 + step * 0.1
            found.append(share(rollouts, count=500))
        assert found == sorted(found)
        steps = [after - before for before, after in zip(found, found[1:])]
        assert max(steps) < 0.25

    @pytest.mark.parametrize('has_session', (True, False))
    @pytest.mark.parametrize('bound', (0.05, 0.0975, 0.15, 0.3))
    def test_bad_version_stays_within_its_share(self, bound, has_session):
        """A version that nobody found bad got more than a bad one may get."""
        schedule = rollout_schedule.Schedule(bound)
        completion = int(1000 * rollout_schedule.COMPLETION_START)
        exposed = sum(
            schedule.traffic_share(step / 1000, has_session)
            for step in range(completion)
        )
        assert 0.5 * bound < exposed / 1000 <= bound

    def test_version_without_an_order_gets_nothing(self, clock):
        rollouts = releases.Releases(0.15, 5.0, clock)
        assert share(rollouts) == 0.0

    def test_all_routers_choose_alike(self, rollouts, clock):
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
        clock.now = 10.5
        for number in range(200):
            session = f's{number}'
            assert choose(rollouts, session) == choose(other, session)


class TestSessions:
    """Guards against sessions that change their version."""

    def test_session_stays_on_the_old_version(self, rollouts, clock):
        first = {f's{n}': choose(rollouts, f's{n}') for n in range(200)}
        clock.now = 6.0
        for session, software in first.items():
            assert choose(rollouts, session) == software

    def test_long_run_keeps_its_session(self, rollouts, clock):
        """The pin of a session expired while its run was in flight."""
        for number in range(300):
            choose(rollouts, f's{number}')
        clock.now = 8.0
        for number in range(300):
            rollouts.record_session(SERVICE, f's{number}', 'v1')
        clock.now = 10.0
        for number in range(300):
            assert choose(rollouts, f's{number}') == 'v1'

    def test_routers_new_to_a_session_agree(self, rollouts, clock):
        """A session older than the order changed its version at a router."""
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
        first = [choose(rollouts, f's{n}') for n in range(300)]
        for clock.now in (4.0, 6.0, 8.0, 9.9):
            later = [choose(other, f's{n}') for n in range(300)]
            assert later == first

    def test_session_never_returns_from_the_new_version(self, rollouts, clock):
        clock.now = 10.5
        new = [
            f's{n}' for n in range(500) if choose(rollouts, f's{n}') == 'v2'
        ]
        assert new
        for clock.now in (11.0, 13.0, 15.0):
            assert all(choose(rollouts, session) == 'v2' for session in new)


class TestVerdict:
    """Guards against completing bad versions or rolling back good ones."""

    def run_old_version(self, rollouts, count=50):
        for number in range(count):
            observe(rollouts, 'v1', number % 25 == 0, 0.1)

    def test_failing_version_is_rolled_back(self, rollouts):
        self.run_old_version(rollouts)
        for number in range(8):
            observe(rollouts, 'v2', number % 2 == 0, 0.1)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )
        assert choose(rollouts, 'any') == 'v1'

    def test_slow_version_is_rolled_back(self, rollouts):
        self.run_old_version(rollouts)
        for _ in range(8):
            observe(rollouts, 'v2', False, 0.8)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_good_version_with_the_usual_failures_passes(
        self, rollouts, clock
    ):
        for number in range(100):
            observe(rollouts, 'v1', number % 7 == 0, 0.1)
        for number in range(200):
            observe(rollouts, 'v2', number % 7 == 0, 0.12)
        clock.now = 17.5
        rollouts.decide_due()
        assert rollouts.progress[SERVICE].verdict is rollout_orders.State.DONE

    def test_slow_runs_as_in_the_baseline_pass(self, rollouts):
        """Runs as slow as some of the old version rolled a good one back."""
        paces = (0.1, 0.1, 0.1, 0.9)
        for number in range(80):
            observe(rollouts, 'v1', False, paces[number % 4])
        for number in range(40):
            observe(rollouts, 'v2', False, paces[number % 4])
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_good_answer_is_no_evidence_against_it(self, rollouts):
        """While the old one failed, it counted against the new version."""
        for _ in range(500):
            observe(rollouts, 'v1', True, 0.1)
        for failed in (True, False):
            observe(rollouts, 'v2', failed, 0.1)
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )

    def test_one_busy_endpoint_causes_no_rollback(self, rollouts, clock):
        """Requests in the queue of one endpoint timed out together."""
        self.run_old_version(rollouts)
        for number in range(30):
            busy = number % 3 == 0
            name = 'e1' if busy else f'e{number}'
            observe(rollouts, 'v2', busy, 0.1, name)
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        for clock.now in (2.1, 4.2, 6.3, 8.4, 10.5):
            for name in ('e1', 'e2'):
                observe(rollouts, 'v2', True, 0.1, name)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_one_of_many_routers_needs_more_evidence(self, clock):
        verdicts = []
        for count in (1, 88):
            rollouts = releases.Releases(
                0.15, 5.0, clock, decider_count=lambda: count
            )
            rollouts.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
            self.run_old_version(rollouts)
            for number in range(6):
                observe(rollouts, 'v2', number % 2 == 0, 0.1)
            verdicts.append(rollouts.progress[SERVICE].verdict)
        assert verdicts == [
            rollout_orders.State.ROLLED_BACK,
            rollout_orders.State.RUNNING,
        ]

    def test_less_evidence_is_needed_once_the_share_is_used(self, rollouts):
        """A bad version got more than its share while evidence was scarce."""
        self.run_old_version(rollouts)
        for failed in (True, True):
            observe(rollouts, 'v2', failed, 0.1)
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        for _ in range(80):
            rollouts.record_dispatch(SERVICE, 'v1')
        for _ in range(20):
            rollouts.record_dispatch(SERVICE, 'v2')
        observe(rollouts, 'v2', False, 0.1)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_evidence_of_other_routers_counts(self, rollouts):
        seen = []
        self.run_old_version(rollouts)
        rollouts.outcome_listeners.append(seen.append)
        for number in range(3):
            observe(rollouts, 'v2', True, 0.1, f'e{number}')
        leader = releases.Releases(0.15, 5.0, rollouts.clock)
        leader.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
        for outcome in seen:
            leader.add_outcome(outcome)
        failed = [outcome.is_hit for outcome in seen]
        assert failed.count(True) == 3
        assert (
            leader.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_evidence_on_an_earlier_order_is_ignored(self, rollouts):
        old = rollout_orders.Outcome(
            SERVICE, 'v2', 7, 'e', rollout_orders.Criterion.FAILURE, True, 9.0
        )
        rollouts.add_outcome(old)
        assert rollouts.progress[SERVICE].tally.answers == 0

    def test_version_that_turns_bad_late_is_rolled_back(self, rollouts, clock):
        self.run_old_version(rollouts)
        for _ in range(200):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 14.0
        for number in range(10):
            observe(rollouts, 'v2', number % 2 == 0, 0.1)
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_verdict_is_not_replaced(self, rollouts, clock):
        self.run_old_version(rollouts)
        for _ in range(8):
            observe(rollouts, 'v2', True, 0.1)
        clock.now = 19.0
        rollouts.decide_due()
        assert [
            order.state for order in rollouts.orders_without_verdict()
        ] == [rollout_orders.State.ROLLED_BACK]

    def test_version_under_doubt_is_not_completed(self, rollouts, clock):
        """A version with one failure in a few answers was completed."""
        self.run_old_version(rollouts)
        for failed in (False, False, True):
            observe(rollouts, 'v2', failed, 0.1)
        clock.now = 17.5
        rollouts.decide_due()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        clock.now = 19.1
        rollouts.decide_due()
        assert (
            rollouts.progress[SERVICE].verdict
            is rollout_orders.State.ROLLED_BACK
        )

    def test_router_with_few_answers_waits_for_others(self, rollouts, clock):
        observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.5
        rollouts.decide_due()
        assert (
            rollouts.progress[SERVICE].verdict is rollout_orders.State.RUNNING
        )
        clock.now = 19.1
        rollouts.decide_due()
        assert rollouts.progress[SERVICE].verdict is rollout_orders.State.DONE

    def test_completion_waits_for_verdicts_from_an_outage(
        self, rollouts, clock
    ):
        """It was stored before rollbacks that other routers had decided."""
        for _ in range(ANSWERS_TO_COMPLETE):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.5
        rollouts.decide_due()
        clock.now += releases.COMPLETION_SETTLE_SECONDS
        assert not list(rollouts.orders_without_verdict(settled=False))
        assert list(rollouts.orders_without_verdict(settled=True))

    def test_completion_waits_for_verdicts_of_other_routers(
        self, rollouts, clock
    ):
        """A rollback decided a moment earlier lost to a completion."""
        for _ in range(ANSWERS_TO_COMPLETE):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.5
        rollouts.decide_due()
        assert not list(rollouts.orders_without_verdict())
        clock.now += releases.COMPLETION_SETTLE_SECONDS
        assert list(rollouts.orders_without_verdict())

    def test_pause_does_not_count_as_wait_for_verdicts(self, rollouts, clock):
        for _ in range(ANSWERS_TO_COMPLETE):
            observe(rollouts, 'v2', False, 0.1)
        rollouts.runs.clock = awake_clock.AwakeClock(clock)
        rollouts.runs.clock.readers = 1
        clock.now = 17.5
        rollouts.decide_due()
        clock.now += 2.0
        assert not list(rollouts.orders_without_verdict())
        for _ in range(5):
            clock.now += awake_clock.TICK_SECONDS
            found = list(rollouts.orders_without_verdict())
        assert found

    def test_completion_that_is_not_stored_can_be_undone(
        self, rollouts, clock
    ):
        self.run_old_version(rollouts)
        for _ in range(ANSWERS_TO_COMPLETE):
            observe(rollouts, 'v2', False, 0.1)
        clock.now = 17.5
        rollouts.decide_due()
        for _ in range(5):
            observe(rollouts, 'v2', True, 0.1)
        assert [
            order.state for order in rollouts.orders_without_verdict()
        ] == [rollout_orders.State.ROLLED_BACK]
