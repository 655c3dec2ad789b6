"""Rollouts of software versions: schedule, sessions and verdicts."""

import pytest

from celeryward.raters import releases

SERVICE = 'llm'
PRESENT = ('v1', 'v2')


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def versions(clock):
    made = releases.Releases(0.15, 5.0, clock)
    made.accept(releases.Order(SERVICE, 'v2', 20.0))
    return made


def choose(versions, session='', request_id='r'):
    return versions.choose(SERVICE, PRESENT, 'v1', session, request_id)


def share(versions, prefix='s', count=2000):
    """Return the share of new sessions that get the new version."""
    chosen = [choose(versions, f'{prefix}{number}') for number in range(count)]
    return chosen.count('v2') / count


class TestExposure:
    """Guards against a new version that gets too many requests too early."""

    def test_canary_share_is_below_the_bound(self, versions, clock):
        clock.now = 10.5
        assert 0.02 < share(versions) < 0.15

    def test_no_session_moves_in_the_first_half(self, versions, clock):
        for clock.now in (1.0, 6.0, 9.9):
            assert share(versions) == 0.0

    def test_requests_without_a_session_move_early(self, versions, clock):
        clock.now = 1.0
        chosen = [choose(versions, '', f'r{number}') for number in range(500)]
        assert 0 < chosen.count('v2') < 75

    def test_all_sessions_move_after_the_canary(self, versions, clock):
        clock.now = 14.0
        assert share(versions) == 1.0

    def test_share_grows_in_steps(self, versions, clock):
        found = []
        for clock.now in (10.5, 12.6, 14.0):
            found.append(share(versions))
        assert found == sorted(found)
        assert found[1] < 0.3

    def test_version_without_an_order_gets_nothing(self, clock):
        versions = releases.Releases(0.15, 5.0, clock)
        assert share(versions) == 0.0

    def test_all_routers_choose_alike(self, versions, clock):
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(releases.Order(SERVICE, 'v2', 20.0))
        clock.now = 10.5
        for number in range(200):
            session = f's{number}'
            assert choose(versions, session) == choose(other, session)


class TestSessions:
    """Guards against sessions that change their version."""

    def test_session_stays_on_the_old_version(self, versions, clock):
        first = {f's{n}': choose(versions, f's{n}') for n in range(200)}
        clock.now = 6.0
        for session, software in first.items():
            assert choose(versions, session) == software

    def test_long_run_keeps_its_session(self, versions, clock):
        """The pin of a session expired while its run was in flight."""
        for number in range(300):
            choose(versions, f's{number}')
        clock.now = 8.0
        for number in range(300):
            versions.record_session(SERVICE, f's{number}', 'v1')
        clock.now = 10.0
        for number in range(300):
            assert choose(versions, f's{number}') == 'v1'

    def test_routers_new_to_a_session_agree(self, versions, clock):
        """A session older than the order changed its version at a router."""
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(releases.Order(SERVICE, 'v2', 20.0))
        first = [choose(versions, f's{n}') for n in range(300)]
        for clock.now in (4.0, 6.0, 8.0, 9.9):
            later = [choose(other, f's{n}') for n in range(300)]
            assert later == first

    def test_session_never_returns_from_the_new_version(self, versions, clock):
        clock.now = 10.5
        new = [
            f's{n}' for n in range(500) if choose(versions, f's{n}') == 'v2'
        ]
        assert new
        for clock.now in (11.0, 13.0, 15.0):
            assert all(choose(versions, session) == 'v2' for session in new)


class TestVerdict:
    """Guards against completing bad versions or rolling back good ones."""

    def run_old_version(self, versions, count=50):
        for number in range(count):
            versions.observe(SERVICE, 'v1', 'k', number % 25 == 0, 0.1)

    def test_failing_version_is_rolled_back(self, versions):
        self.run_old_version(versions)
        for number in range(8):
            versions.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
        assert versions.progress[SERVICE].verdict is releases.State.ROLLED_BACK
        assert choose(versions, 'any') == 'v1'

    def test_slow_version_is_rolled_back(self, versions):
        self.run_old_version(versions)
        for _ in range(8):
            versions.observe(SERVICE, 'v2', 'k', False, 0.8)
        assert versions.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_good_version_with_the_usual_failures_passes(
        self, versions, clock
    ):
        for number in range(100):
            versions.observe(SERVICE, 'v1', 'k', number % 7 == 0, 0.1)
        for number in range(200):
            versions.observe(SERVICE, 'v2', 'k', number % 7 == 0, 0.12)
        clock.now = 17.5
        versions.decide_due()
        assert versions.progress[SERVICE].verdict is releases.State.DONE

    def test_slow_runs_as_in_the_baseline_pass(self, versions):
        """Runs as slow as some of the old version rolled a good one back."""
        paces = (0.1, 0.1, 0.1, 0.9)
        for number in range(80):
            versions.observe(SERVICE, 'v1', 'k', False, paces[number % 4])
        for number in range(40):
            versions.observe(SERVICE, 'v2', 'k', False, paces[number % 4])
        assert versions.progress[SERVICE].verdict is releases.State.RUNNING

    def test_good_answer_is_no_evidence_against_it(self, versions):
        """It counted against the new version while the old one failed."""
        for _ in range(500):
            versions.observe(SERVICE, 'v1', 'k', True, 0.1)
        for failed in (True, False):
            versions.observe(SERVICE, 'v2', 'k', failed, 0.1)
        assert versions.progress[SERVICE].verdict is releases.State.RUNNING

    def test_one_busy_endpoint_causes_no_rollback(self, versions, clock):
        """Requests in the queue of one endpoint timed out together."""
        self.run_old_version(versions)
        for number in range(30):
            busy = number % 3 == 0
            name = 'e1' if busy else f'e{number}'
            versions.observe(SERVICE, 'v2', 'k', busy, 0.1, name)
        assert versions.progress[SERVICE].verdict is releases.State.RUNNING
        for clock.now in (2.1, 4.2, 6.3, 8.4, 10.5):
            for name in ('e1', 'e2'):
                versions.observe(SERVICE, 'v2', 'k', True, 0.1, name)
        assert versions.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_one_of_many_routers_needs_more_evidence(self, clock):
        verdicts = []
        for count in (1, 88):
            versions = releases.Releases(
                0.15, 5.0, clock, router_count=lambda: count
            )
            versions.accept(releases.Order(SERVICE, 'v2', 20.0))
            self.run_old_version(versions)
            for number in range(6):
                versions.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
            verdicts.append(versions.progress[SERVICE].verdict)
        assert verdicts == [
            releases.State.ROLLED_BACK,
            releases.State.RUNNING,
        ]

    def test_version_that_turns_bad_late_is_rolled_back(self, versions, clock):
        self.run_old_version(versions)
        for _ in range(200):
            versions.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 14.0
        for number in range(10):
            versions.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
        assert versions.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_verdict_is_not_replaced(self, versions, clock):
        self.run_old_version(versions)
        for _ in range(8):
            versions.observe(SERVICE, 'v2', 'k', True, 0.1)
        clock.now = 19.0
        versions.decide_due()
        assert [
            order.state for order in versions.orders_without_verdict()
        ] == [releases.State.ROLLED_BACK]

    def test_version_under_doubt_is_not_completed(self, versions, clock):
        """A version with one failure in a few answers was completed."""
        self.run_old_version(versions)
        for failed in (False, False, True):
            versions.observe(SERVICE, 'v2', 'k', failed, 0.1)
        clock.now = 17.5
        versions.decide_due()
        assert versions.progress[SERVICE].verdict is releases.State.RUNNING
        clock.now = 19.1
        versions.decide_due()
        assert versions.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_router_with_few_answers_waits_for_others(self, versions, clock):
        versions.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        versions.decide_due()
        assert versions.progress[SERVICE].verdict is releases.State.RUNNING
        clock.now = 19.1
        versions.decide_due()
        assert versions.progress[SERVICE].verdict is releases.State.DONE

    def test_completion_waits_for_verdicts_from_an_outage(
        self, versions, clock
    ):
        """It was stored before rollbacks that other routers had decided."""
        for _ in range(5):
            versions.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        versions.decide_due()
        assert not list(versions.orders_without_verdict(settled=False))
        assert list(versions.orders_without_verdict(settled=True))

    def test_completion_that_is_not_stored_can_be_undone(
        self, versions, clock
    ):
        self.run_old_version(versions)
        for _ in range(5):
            versions.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        versions.decide_due()
        for _ in range(5):
            versions.observe(SERVICE, 'v2', 'k', True, 0.1)
        assert [
            order.state for order in versions.orders_without_verdict()
        ] == [releases.State.ROLLED_BACK]


class TestInFlightRuns:
    """Guards against judging a slow version by its few fast runs."""

    def begin(self, versions, software, number=0):
        return versions.runs.begin(SERVICE, software, 'k', f'e{number}', 1.0)

    def run_old_version(
        self, versions, clock, head=0.2, events=10, seconds_per_event=0.05
    ):
        """Complete runs at the old version."""
        for _ in range(10):
            run = self.begin(versions, 'v1')
            clock.now += head
            run.record_head(clock.now)
            run.record_events(events)
            clock.now += events * seconds_per_event
            versions.runs.end(run)

    def verdict(self, versions):
        return versions.progress[SERVICE].verdict

    def test_runs_without_an_answer_cause_a_rollback(self, versions, clock):
        self.run_old_version(versions, clock)
        for number in range(4):
            self.begin(versions, 'v2', number)
        clock.now += 0.7
        versions.runs.report_overdue()
        assert self.verdict(versions) is releases.State.RUNNING
        clock.now += 0.2
        versions.runs.report_overdue()
        assert self.verdict(versions) is releases.State.ROLLED_BACK

    def test_slow_streams_cause_a_rollback(self, versions, clock):
        self.run_old_version(versions, clock)
        for number in range(4):
            run = self.begin(versions, 'v2', number)
            run.record_head(clock.now)
            run.record_events(2)
        clock.now += 0.7
        versions.runs.report_overdue()
        assert self.verdict(versions) is releases.State.ROLLED_BACK

    def test_end_of_an_overdue_run_is_not_counted(self, versions, clock):
        self.run_old_version(versions, clock)
        run = self.begin(versions, 'v2')
        clock.now += 1.0
        versions.runs.report_overdue()
        before = versions.progress[SERVICE].tally
        assert before.failures == 1
        versions.runs.end(run)
        assert versions.progress[SERVICE].tally == before

    def test_failures_of_one_endpoint_count_once(self, versions, clock):
        self.run_old_version(versions, clock)
        for _ in range(6):
            self.begin(versions, 'v2')
        clock.now += 1.0
        versions.runs.report_overdue()
        assert versions.progress[SERVICE].tally.failures == 1

    def test_outdated_head_times_are_not_used(self, versions, clock):
        self.run_old_version(versions, clock)
        clock.now += 6.0
        for number in range(4):
            self.begin(versions, 'v2', number)
        clock.now += 1.0
        versions.runs.report_overdue()
        assert self.verdict(versions) is releases.State.RUNNING

    def test_slow_heads_as_in_the_baseline_pass(self, versions, clock):
        self.run_old_version(versions, clock, head=1.0)
        for number in range(4):
            self.begin(versions, 'v2', number)
        clock.now += 1.0
        versions.runs.report_overdue()
        assert self.verdict(versions) is releases.State.RUNNING

    def test_disconnected_callers_are_no_evidence(self, versions, clock):
        self.run_old_version(versions, clock)
        run = self.begin(versions, 'v2')
        versions.runs.drop(run)
        clock.now += 5.0
        versions.runs.report_overdue()
        assert versions.progress[SERVICE].tally.answers == 0
        assert not versions.runs.runs
