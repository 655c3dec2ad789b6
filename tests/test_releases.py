"""Roll-outs of software versions: the plan, sessions and verdicts."""

import pytest

from celeryward.raters import releases

SERVICE = 'llm'
PRESENT = ('v1', 'v2')


class Clock:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def rating(clock):
    made = releases.Releases(0.15, 5.0, clock)
    made.accept(releases.Order(SERVICE, 'v2', 20.0))
    return made


def choose(rating, session='', request_id='r'):
    return rating.choose(SERVICE, PRESENT, 'v1', session, request_id)


def share(rating, prefix='s', count=2000):
    """Return the share of new sessions that get the new version."""
    chosen = [choose(rating, f'{prefix}{number}') for number in range(count)]
    return chosen.count('v2') / count


class TestExposure:
    """Guards against a new version that gets too much too early."""

    def test_trial_share_is_below_the_bound(self, rating, clock):
        clock.now = 10.5
        assert 0.02 < share(rating) < 0.15

    def test_sessions_from_before_the_order_stay(self, rating, clock):
        for clock.now in (1.0, 6.0, 9.9):
            assert share(rating) == 0.0

    def test_requests_without_a_session_take_part_early(self, rating, clock):
        clock.now = 1.0
        chosen = [choose(rating, '', f'r{number}') for number in range(500)]
        assert 0 < chosen.count('v2') < 75

    def test_all_follow_after_the_trial(self, rating, clock):
        clock.now = 14.0
        assert share(rating) == 1.0

    def test_share_grows_in_steps(self, rating, clock):
        found = []
        for clock.now in (10.5, 12.6, 14.0):
            found.append(share(rating))
        assert found == sorted(found)
        assert found[1] < 0.3

    def test_version_that_nobody_ordered_gets_nothing(self, clock):
        rating = releases.Releases(0.15, 5.0, clock)
        assert share(rating) == 0.0

    def test_all_routers_choose_alike(self, rating, clock):
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(releases.Order(SERVICE, 'v2', 20.0))
        clock.now = 10.5
        for number in range(200):
            session = f's{number}'
            assert choose(rating, session) == choose(other, session)


class TestSessions:
    """Guards against sessions that change their version."""

    def test_session_stays_on_the_old_version_in_the_trial(
        self, rating, clock
    ):
        first = {f's{n}': choose(rating, f's{n}') for n in range(200)}
        clock.now = 6.0
        for session, software in first.items():
            assert choose(rating, session) == software

    def test_long_run_keeps_its_session(self, rating, clock):
        """A session was forgotten while its run went on."""
        for number in range(300):
            choose(rating, f's{number}')
        clock.now = 8.0
        for number in range(300):
            rating.record_session(SERVICE, f's{number}', 'v1')
        clock.now = 10.0
        for number in range(300):
            assert choose(rating, f's{number}') == 'v1'

    def test_routers_that_meet_a_session_first_agree(self, rating, clock):
        """A session from before the order changed with its router."""
        other = releases.Releases(0.15, 5.0, clock)
        other.accept(releases.Order(SERVICE, 'v2', 20.0))
        first = [choose(rating, f's{n}') for n in range(300)]
        for clock.now in (4.0, 6.0, 8.0, 9.9):
            later = [choose(other, f's{n}') for n in range(300)]
            assert later == first

    def test_session_never_returns_from_the_new_version(self, rating, clock):
        clock.now = 10.5
        new = [f's{n}' for n in range(500) if choose(rating, f's{n}') == 'v2']
        assert new
        for clock.now in (11.0, 13.0, 15.0):
            assert all(choose(rating, session) == 'v2' for session in new)


class TestVerdict:
    """Guards against bad versions that stay and good ones that go."""

    def usual(self, rating, count=50):
        for number in range(count):
            rating.observe(SERVICE, 'v1', 'k', number % 25 == 0, 0.1)

    def test_failing_version_is_rolled_back(self, rating):
        self.usual(rating)
        for number in range(8):
            rating.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
        assert rating.progress[SERVICE].verdict is releases.State.ROLLED_BACK
        assert choose(rating, 'any') == 'v1'

    def test_slow_version_is_rolled_back(self, rating):
        self.usual(rating)
        for _ in range(8):
            rating.observe(SERVICE, 'v2', 'k', False, 0.8)
        assert rating.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_good_version_with_the_usual_failures_passes(self, rating, clock):
        for number in range(100):
            rating.observe(SERVICE, 'v1', 'k', number % 7 == 0, 0.1)
        for number in range(200):
            rating.observe(SERVICE, 'v2', 'k', number % 7 == 0, 0.12)
        clock.now = 17.5
        rating.decide_due()
        assert rating.progress[SERVICE].verdict is releases.State.DONE

    def test_slow_runs_that_are_usual_pass(self, rating):
        """A few slow runs at one of many routers undid a good roll-out."""
        paces = (0.1, 0.1, 0.1, 0.9)
        for number in range(80):
            rating.observe(SERVICE, 'v1', 'k', False, paces[number % 4])
        for number in range(40):
            rating.observe(SERVICE, 'v2', 'k', False, paces[number % 4])
        assert rating.progress[SERVICE].verdict is releases.State.RUNNING

    def test_good_answer_beside_failing_old_ones_is_no_proof(self, rating):
        """A good answer then counted as proof against the new version."""
        for _ in range(500):
            rating.observe(SERVICE, 'v1', 'k', True, 0.1)
        for failed in (True, False):
            rating.observe(SERVICE, 'v2', 'k', failed, 0.1)
        assert rating.progress[SERVICE].verdict is releases.State.RUNNING

    def test_one_busy_endpoint_does_not_undo_a_roll_out(self, rating, clock):
        """Requests in one queue timed out together."""
        self.usual(rating)
        for number in range(30):
            busy = number % 3 == 0
            name = 'e1' if busy else f'e{number}'
            rating.observe(SERVICE, 'v2', 'k', busy, 0.1, name)
        assert rating.progress[SERVICE].verdict is releases.State.RUNNING
        for clock.now in (2.1, 4.2, 6.3, 8.4, 10.5):
            for name in ('e1', 'e2'):
                rating.observe(SERVICE, 'v2', 'k', True, 0.1, name)
        assert rating.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_one_of_many_routers_has_to_be_surer(self, clock):
        verdicts = []
        for count in (1, 88):
            rating = releases.Releases(
                0.15, 5.0, clock, router_count=lambda: count
            )
            rating.accept(releases.Order(SERVICE, 'v2', 20.0))
            self.usual(rating)
            for number in range(6):
                rating.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
            verdicts.append(rating.progress[SERVICE].verdict)
        assert verdicts == [
            releases.State.ROLLED_BACK,
            releases.State.RUNNING,
        ]

    def test_version_that_turns_bad_late_is_rolled_back(self, rating, clock):
        self.usual(rating)
        for _ in range(200):
            rating.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 14.0
        for number in range(10):
            rating.observe(SERVICE, 'v2', 'k', number % 2 == 0, 0.1)
        assert rating.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_verdict_is_not_replaced(self, rating, clock):
        self.usual(rating)
        for _ in range(8):
            rating.observe(SERVICE, 'v2', 'k', True, 0.1)
        clock.now = 19.0
        rating.decide_due()
        assert [order.state for order in rating.orders_without_verdict()] == [
            releases.State.ROLLED_BACK
        ]

    def test_version_under_doubt_is_not_completed(self, rating, clock):
        """One failure in a few answers was no obstacle to its completion."""
        self.usual(rating)
        for failed in (False, False, True):
            rating.observe(SERVICE, 'v2', 'k', failed, 0.1)
        clock.now = 17.5
        rating.decide_due()
        assert rating.progress[SERVICE].verdict is releases.State.RUNNING
        clock.now = 19.1
        rating.decide_due()
        assert rating.progress[SERVICE].verdict is releases.State.ROLLED_BACK

    def test_router_that_saw_little_leaves_it_to_others(self, rating, clock):
        rating.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        rating.decide_due()
        assert rating.progress[SERVICE].verdict is releases.State.RUNNING
        clock.now = 19.1
        rating.decide_due()
        assert rating.progress[SERVICE].verdict is releases.State.DONE

    def test_completion_waits_for_verdicts_from_an_outage(self, rating, clock):
        """It was written before the roll-backs that others had decided."""
        for _ in range(5):
            rating.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        rating.decide_due()
        assert not list(rating.orders_without_verdict(settled=False))
        assert list(rating.orders_without_verdict(settled=True))

    def test_completion_that_is_not_stored_can_be_undone(self, rating, clock):
        self.usual(rating)
        for _ in range(5):
            rating.observe(SERVICE, 'v2', 'k', False, 0.1)
        clock.now = 17.5
        rating.decide_due()
        for _ in range(5):
            rating.observe(SERVICE, 'v2', 'k', True, 0.1)
        assert [order.state for order in rating.orders_without_verdict()] == [
            releases.State.ROLLED_BACK
        ]


class TestInFlightRuns:
    """Guards against a slow version that is judged by its few fast runs."""

    def begin(self, rating, software, number=0):
        return rating.runs.begin(SERVICE, software, 'k', f'e{number}', 1.0)

    def usual(self, rating, clock, head=0.2, events=10, pace=0.05):
        """Let runs at the old version end."""
        for _ in range(10):
            run = self.begin(rating, 'v1')
            clock.now += head
            run.record_head(clock.now)
            run.record_events(events)
            clock.now += events * pace
            rating.runs.end(run)

    def verdict(self, rating):
        return rating.progress[SERVICE].verdict

    def test_runs_without_an_answer_roll_it_back(self, rating, clock):
        self.usual(rating, clock)
        for number in range(4):
            self.begin(rating, 'v2', number)
        clock.now += 0.7
        rating.runs.report_overdue()
        assert self.verdict(rating) is releases.State.RUNNING
        clock.now += 0.2
        rating.runs.report_overdue()
        assert self.verdict(rating) is releases.State.ROLLED_BACK

    def test_streams_that_creep_roll_it_back(self, rating, clock):
        self.usual(rating, clock)
        for number in range(4):
            run = self.begin(rating, 'v2', number)
            run.record_head(clock.now)
            run.record_events(2)
        clock.now += 0.7
        rating.runs.report_overdue()
        assert self.verdict(rating) is releases.State.ROLLED_BACK

    def test_end_of_an_overdue_run_says_nothing_new(self, rating, clock):
        self.usual(rating, clock)
        run = self.begin(rating, 'v2')
        clock.now += 1.0
        rating.runs.report_overdue()
        before = rating.progress[SERVICE].tally
        assert before.failures == 1
        rating.runs.end(run)
        assert rating.progress[SERVICE].tally == before

    def test_one_endpoint_counts_once_for_a_while(self, rating, clock):
        self.usual(rating, clock)
        for _ in range(6):
            self.begin(rating, 'v2')
        clock.now += 1.0
        rating.runs.report_overdue()
        assert rating.progress[SERVICE].tally.failures == 1

    def test_old_heads_say_nothing_about_the_load_now(self, rating, clock):
        self.usual(rating, clock)
        clock.now += 6.0
        for number in range(4):
            self.begin(rating, 'v2', number)
        clock.now += 1.0
        rating.runs.report_overdue()
        assert self.verdict(rating) is releases.State.RUNNING

    def test_slow_heads_of_the_old_version_are_usual(self, rating, clock):
        self.usual(rating, clock, head=1.0)
        for number in range(4):
            self.begin(rating, 'v2', number)
        clock.now += 1.0
        rating.runs.report_overdue()
        assert self.verdict(rating) is releases.State.RUNNING

    def test_callers_that_leave_say_nothing(self, rating, clock):
        self.usual(rating, clock)
        run = self.begin(rating, 'v2')
        rating.runs.drop(run)
        clock.now += 5.0
        rating.runs.report_overdue()
        assert rating.progress[SERVICE].tally.answers == 0
        assert not rating.runs.runs
