"""Evidence of crashes over a long time, at many parts and at two hosts."""

import pytest

from celeryward.endpoints import answered_traits
from celeryward.endpoints import crash_reports
from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
from tests import fakes

PARTS = 100000
PARTS_OF_ANSWER = 8


def make_host(now=100.0, place=0):
    """Return the evidence of a host.

    :param int place: of the host in each order of all hosts.
    """
    clock = fakes.CallableClock(now)
    return harmful_requests.HarmfulRequests(lambda text: place, clock)


def request(number, *parts):
    return crashes.RequestTraits(f'request-{number}', parts)


def crash(host, number, *requests, is_trial=False):
    """Record a crash at a host, a second before the next one."""
    host.record(
        crashes.Crash(
            f'e{number}', 1.0, 'llm', host.clock.now, requests, is_trial
        )
    )
    host.clock.now += 1.0


def answer(host, *traits):
    for each in host.clearances('llm', traits):
        host.record(each)


def tell(sender, receiver):
    """Let a host tell another one all that it knows."""
    report = crash_reports.make_report(
        's', sender.evidence(), sender.clock.now
    )
    for each in crash_reports.read_evidence(report, receiver.clock.now):
        receiver.record(each)


def is_refused(host, *parts):
    return host.find('llm', frozenset(parts)) is not None


class TestRepairedEngine:
    """Guards against a part that stays refused long after a repair."""

    @pytest.mark.parametrize('trials', (0, 1, 2, 5, 20))
    @pytest.mark.parametrize('place', (0, 3))
    def test_next_trial_comes_within_the_longest_pause(self, trials, place):
        host = make_host(place=place)
        for number in range(3 + trials):
            crash(host, number, request(number, 'bad'), is_trial=number >= 3)
        culprit = host.find('llm', {'bad'})
        assert not host.begin_trial('llm', culprit)
        host.clock.now += (
            harmful_requests.MAX_TRIAL_SECONDS
            + place * harmful_requests.TRIAL_LEAD_SECONDS
        )
        assert host.begin_trial('llm', culprit)

    def test_first_answer_to_a_trial_ends_all_refusals(self):
        host, other = make_host(), make_host(5000.0)
        for number in range(4):
            crash(host, number, request(number, 'bad'))
        tell(host, other)
        assert is_refused(host, 'bad') and is_refused(other, 'bad')
        answer(host, 'bad', 'request-9')
        tell(host, other)
        assert not is_refused(host, 'bad')
        assert not is_refused(other, 'bad')


class TestDomainCutOff:
    """Guards against hosts that keep to their own evidence after a cut."""

    @pytest.fixture
    def hosts(self):
        """Two hosts that were cut off from each other; clocks differ."""
        one, other = make_host(), make_host(7000.0)
        for number in range(4):
            crash(one, number, request(number, 'aa', 'bad'))
        for number in range(10, 14):
            crash(other, number, request(number, 'aa', 'worse'))
        return one, other

    @pytest.mark.parametrize('first', (0, 1))
    def test_both_refuse_what_either_has_found(self, hosts, first):
        tell(hosts[first], hosts[1 - first])
        tell(hosts[1 - first], hosts[first])
        for host in hosts:
            answer(host, 'aa')
            assert is_refused(host, 'aa', 'bad')
            assert is_refused(host, 'aa', 'worse')
            assert not is_refused(host, 'aa', 'bb')

    @pytest.mark.parametrize('first', (0, 1))
    def test_answers_of_either_count_at_both(self, hosts, first):
        answer(hosts[1], 'aa', 'request-10', 'request-11')
        tell(hosts[first], hosts[1 - first])
        tell(hosts[1 - first], hosts[first])
        for host in hosts:
            assert ('llm', 'aa') not in host.accused
            assert ('llm', 'request-10') not in host.accused
            assert is_refused(host, 'bad')
            assert is_refused(host, 'worse')

    def test_host_that_starts_learns_what_is_sound_and_what_is_not(
        self, hosts
    ):
        started = make_host(1.0e6)
        answer(hosts[0], 'aa', 'request-0', 'request-1')
        tell(hosts[0], started)
        assert is_refused(started, 'bad')
        assert not is_refused(started, 'aa')


class TestManyParts:
    """Guards against memory and time that grow with the parts."""

    def test_parts_of_answers_are_bounded(self):
        host = make_host()
        crash(host, 0, request(0, 'p0'))
        for number in range(0, PARTS, PARTS_OF_ANSWER):
            parts = [f'p{number + n}' for n in range(PARTS_OF_ANSWER)]
            traits = request(number, *parts)
            host.answered.record('llm', traits)
            answer(host, *traits.all())
        assert len(host.answered.parts) == answered_traits.MAX_ANSWERED
        assert len(host.answered.fingerprints) == answered_traits.MAX_ANSWERED
        assert len(host.cleared) <= harmful_requests.MAX_CLEARED

    def test_parts_of_crashes_are_bounded(self):
        host = make_host()
        for number in range(0, PARTS, crashes.MAX_MERGED_REQUESTS):
            requests = [
                request(number + n, f'p{number + n}')
                for n in range(crashes.MAX_MERGED_REQUESTS)
            ]
            crash(host, number, *requests)
        most = harmful_requests.MAX_CRASHES * crashes.MAX_MERGED_REQUESTS
        assert len(host.accused) == 2 * most
        assert host.culprits('llm') == ()

    def test_answer_costs_as_much_as_it_has_traits(self):
        """Counts the look-ups of an answer, which has no loop over crashes."""
        host = make_host()
        for number in range(harmful_requests.MAX_CRASHES):
            crash(host, number, request(number, 'bad', f'p{number}'))
        looked_up = []

        class Accused(type(host.accused)):
            def __contains__(self, key):
                looked_up.append(key)
                return super().__contains__(key)

        host.accused = Accused(set, host.accused)
        answer(host, 'a', 'b', 'request-sound')
        assert len(looked_up) == 3
