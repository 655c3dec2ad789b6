"""Which traits are guilty of crashes, and what clears them."""

import pytest

from celeryward.endpoints import answered_traits
from celeryward.endpoints import crashes
from celeryward.endpoints import culprits
from celeryward.endpoints import harmful_requests
from tests import fakes


def request(number, *parts):
    return crashes.RequestTraits(f'request-{number}', parts)


def crash(number, at, *requests, service='llm', is_trial=False):
    return crashes.Crash(
        f'e{number}', 1.0, service, at, tuple(requests), is_trial
    )


def find(*found, least=culprits.CRASHES_TO_REFUSE):
    return {each.traits for each in culprits.find_culprits(found, least)}


class TestCulprits:
    """Guards against parts that are accused for being somewhere."""

    def test_part_in_all_crashes_is_guilty(self):
        found = find(
            crash(1, 1.0, request(1, 'a', 'bad'), request(2, 'b')),
            crash(2, 2.0, request(3, 'c', 'bad'), request(4, 'a')),
            crash(3, 3.0, request(5, 'd', 'bad')),
        )
        assert found == {frozenset({'bad'})}

    def test_two_crashes_are_too_few(self):
        two = (
            crash(1, 1.0, request(1, 'bad')),
            crash(2, 2.0, request(2, 'bad')),
        )
        assert not find(*two)
        assert find(*two, least=culprits.CRASHES_TO_SUSPECT)

    def test_endpoints_that_end_at_the_same_moment_count_once(self):
        assert not find(
            *(crash(n, 1.0 + n / 100, request(n, 'a')) for n in range(8))
        )

    def test_parts_that_always_come_together_are_guilty_together(self):
        found = find(
            *(
                crash(n, n, request(n, 'a', 'bad'), request(n + 10, 'a'))
                for n in range(3)
            )
        )
        assert found == {frozenset({'a', 'bad'})}

    def test_part_that_comes_alone_once_is_guilty_alone(self):
        found = find(
            *(crash(n, n, request(n, 'a', 'bad')) for n in range(3)),
            crash(3, 3.0, request(3, 'b', 'bad')),
        )
        assert found == {frozenset({'bad'})}

    def test_repeated_request_accuses_only_itself(self):
        found = find(*(crash(n, n, request(1, 'a')) for n in range(3)))
        assert found == {frozenset({'a', 'request-1'})}

    def test_request_in_the_crashes_of_another_part_is_not_accused(self):
        repeated = request(99, 'own')
        found = find(
            *(
                crash(n, n, request(n, f'{n}', 'bad'), repeated)
                for n in range(3)
            ),
            crash(3, 3.0, request(3, 'bad')),
        )
        assert found == {frozenset({'bad'})}

    def test_two_parts_are_found_apart(self):
        found = find(
            *(crash(n, n, request(n, 'bad')) for n in range(4)),
            *(crash(n + 9, n, request(n, 'worse')) for n in range(3)),
        )
        assert found == {frozenset({'bad'}), frozenset({'worse'})}

    def test_request_without_parts_is_found_by_its_fingerprint(self):
        found = find(*(crash(n, n, request(1)) for n in range(3)))
        assert found == {frozenset({'request-1'})}


class TestRepeatedRequests:
    """Guards against a third endpoint for a request that ended two."""

    def test_request_that_was_in_two_crashes_is_accused(self, harmful):
        for number in range(2):
            harmful.record_crash(crash(number, 100.0, request(1, 'a')))
        assert harmful.find_repeated('llm', {'a', 'request-1'})

    def test_request_is_not_accused_of_crashes_of_others(self, harmful):
        for number in range(2):
            harmful.record_crash(
                crash(number, 100.0, request(1, 'a'), request(2 + number, 'b'))
            )
        harmful.record_crash(crash(9, 105.0, request(9, 'b')))
        assert not harmful.find_repeated('llm', {'a', 'request-1'})


@pytest.fixture
def harmful():
    clock = fakes.CallableClock(100.0)
    return harmful_requests.HarmfulRequests(clock=clock)


def convict(harmful):
    """Record three crashes under a part."""
    for number in range(3):
        harmful.record_crash(
            crash(number, harmful.clock.now, request(number, 'bad'))
        )
        harmful.clock.now += 1.0


def clear(harmful, *traits):
    for each in harmful.clearances('llm', traits):
        harmful.record_clearance(each)


class TestClearances:
    """Guards against sound parts that pay for being everywhere."""

    def test_answer_clears_the_part(self, harmful):
        convict(harmful)
        assert harmful.find('llm', {'bad'})
        clear(harmful, 'bad')
        assert not harmful.find('llm', {'bad'})

    def test_answer_between_crashes_starts_the_count_again(self, harmful):
        for number in range(8):
            harmful.record_crash(
                crash(number, harmful.clock.now, request(number, 'a'))
            )
            harmful.clock.now += 1.0
            clear(harmful, 'a')
        assert not harmful.find('llm', {'a'})
        assert ('llm', 'a') not in harmful.accused

    def test_clearance_that_arrives_before_its_crash_counts(self, harmful):
        at = harmful.clock.now
        harmful.record_clearance(
            harmful_requests.Clearance('llm', 'a', at + 1.0)
        )
        assert not harmful.record_crash(crash(1, at, request(1, 'a'))) or (
            'a' not in harmful.crashes[('e1', 1.0)].traits()
        )

    def test_cleared_fingerprint_leaves_the_parts(self, harmful):
        convict(harmful)
        clear(harmful, 'request-0', 'request-1', 'request-2')
        assert harmful.find('llm', {'bad'})
        assert ('llm', 'request-0') not in harmful.accused

    def test_cleared_part_leaves_the_fingerprint(self, harmful):
        for number in range(3):
            harmful.record_crash(
                crash(number, harmful.clock.now, request(1, 'a'))
            )
            harmful.clock.now += 1.0
        clear(harmful, 'a')
        assert harmful.find('llm', {'request-1'})

    def test_request_without_any_evidence_is_dropped(self, harmful):
        convict(harmful)
        clear(harmful, 'request-0', 'request-1', 'request-2', 'bad')
        assert not harmful.crashes and not harmful.accused

    def test_later_report_of_a_crash_does_not_accuse_again(self, harmful):
        convict(harmful)
        known = tuple(harmful.crashes.values())
        clear(harmful, 'request-0', 'request-1', 'request-2')
        for each in known:
            harmful.record_crash(each)
        assert ('llm', 'request-0') not in harmful.accused

    def test_part_of_another_service_is_not_accused(self, harmful):
        convict(harmful)
        assert not harmful.find('app', {'bad'})


class TestAnsweredParts:
    """Guards against sound parts that all crashes share by chance."""

    def test_part_of_earlier_answers_does_not_hide_the_harmful_ones(
        self, harmful
    ):
        harmful.answered.record_parts('llm', ('shared', 'sound'))
        for number in range(5):
            harmful.record_crash(
                crash(
                    number,
                    harmful.clock.now,
                    request(number, 'shared', f'bad{number % 2}'),
                    request(number + 10, 'shared', 'sound'),
                )
            )
            harmful.clock.now += 1.0
        assert not harmful.find('llm', {'shared', 'sound'})
        assert harmful.find('llm', {'shared', 'bad0'})

    def test_part_that_turns_harmful_is_accused_later(self, harmful):
        harmful.answered.record_parts('llm', ('bad',))
        convict(harmful)
        assert not harmful.find('llm', {'bad'})
        for number in range(3, 6):
            harmful.record_crash(
                crash(number, harmful.clock.now, request(number, 'bad'))
            )
            harmful.clock.now += 1.0
        assert harmful.find('llm', {'bad'})

    def test_answered_request_is_accused_later(self, harmful):
        traits = request(1)
        harmful.answered.record('llm', traits)
        for number in range(5):
            harmful.record_crash(crash(number, harmful.clock.now, traits))
            harmful.clock.now += 1.0
        assert not harmful.find('llm', traits.all())
        harmful.record_crash(crash(5, harmful.clock.now, traits))
        assert harmful.find('llm', traits.all())

    def test_answered_fingerprints_leave_the_parts(self, harmful):
        harmful.answered.record_parts('llm', ('shared',))
        for number in range(10000):
            harmful.answered.record('llm', request(number))
        assert harmful.answered.has('llm', 'shared')
        found = harmful.answered.fingerprints
        assert len(found) == answered_traits.MAX_ANSWERED

    def test_answered_parts_are_bounded(self, harmful):
        harmful.answered.record_parts('llm', map(str, range(10000)))
        assert len(harmful.answered.parts) == answered_traits.MAX_ANSWERED


class TestReports:
    """Guards against a crash that counts once for each report of it."""

    def test_reports_of_one_crash_are_merged(self, harmful):
        assert harmful.record_crash(crash(1, 100.0, request(1, 'a')))
        assert harmful.record_crash(crash(1, 100.3, request(2, 'b')))
        assert not harmful.record_crash(crash(1, 100.6, request(1, 'a')))
        assert len(harmful.crashes) == 1
        (merged,) = harmful.crashes.values()
        assert merged.at == 100.0
        assert {'a', 'b'} <= merged.traits()

    def test_state_is_bounded(self, harmful):
        for number in range(1000):
            harmful.record_crash(
                crash(number, 100.0 + number, request(number, f'{number}'))
            )
        assert len(harmful.crashes) == harmful_requests.MAX_CRASHES
        assert len(harmful.accused) == 2 * harmful_requests.MAX_CRASHES
        for number in range(5000):
            harmful.record_clearance(
                harmful_requests.Clearance('llm', f'x{number}', 1e6)
            )
        assert len(harmful.cleared) == harmful_requests.MAX_CLEARED

    def test_crash_counts_for_an_hour(self, harmful):
        convict(harmful)
        harmful.clock.now += harmful_requests.EVIDENCE_SECONDS + 4.0
        harmful.known_culprits.clear()
        assert not harmful.find('llm', {'bad'})


class TestTrials:
    """Guards against trials that come often, together or never."""

    def begin(self, harmful):
        culprit = harmful.find('llm', {'bad'})
        return harmful.begin_trial('llm', culprit)

    def test_one_trial_begins_after_a_while(self, harmful):
        convict(harmful)
        assert not self.begin(harmful)
        harmful.clock.now += harmful_requests.TRIAL_SECONDS
        assert self.begin(harmful)
        assert not self.begin(harmful)

    def test_trial_that_crashes_makes_the_next_one_wait_longer(self, harmful):
        convict(harmful)
        harmful.clock.now += harmful_requests.TRIAL_SECONDS
        culprit = harmful.find('llm', {'bad'})
        assert self.begin(harmful)
        harmful.record_crash(
            crash(9, harmful.clock.now, request(9, 'bad'), is_trial=True)
        )
        harmful.end_trial('llm', culprit)
        harmful.clock.now += harmful_requests.TRIAL_SECONDS * 2
        assert not self.begin(harmful)
        harmful.clock.now += (
            harmful_requests.TRIAL_SECONDS * harmful_requests.TRIAL_FACTOR
        )
        assert self.begin(harmful)

    def test_trial_at_another_host_postpones_the_own_one(self, harmful):
        convict(harmful)
        harmful.clock.now += harmful_requests.TRIAL_SECONDS
        harmful.record_trial(
            harmful_requests.Trial('llm', ('bad',), harmful.clock.now)
        )
        assert not self.begin(harmful)

    def test_later_hosts_wait_for_the_first_one(self, harmful):
        harmful.rank = lambda text: 2
        convict(harmful)
        harmful.clock.now += harmful_requests.TRIAL_SECONDS
        assert not self.begin(harmful)
        harmful.clock.now += 2 * harmful_requests.TRIAL_LEAD_SECONDS
        assert self.begin(harmful)
