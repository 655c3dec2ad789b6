"""What the log tells of requests that are sent despite crashes."""

import loguru
import pytest

from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
from celeryward.endpoints import held_evidence
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def harmful():
    clock = fakes.CallableClock(100.0)
    return harmful_requests.HarmfulRequests(clock=clock)


def crash(harmful, count, *parts):
    """Record crashes a second apart, the last one a second ago."""
    for number in range(count):
        at = harmful.clock.now
        request = crashes.RequestTraits(f'request-{at}', parts)
        harmful.record(crashes.Crash(f'e{number}', at, 'llm', at, (request,)))
        harmful.clock.now += 1.0


def find(harmful, *traits, **more):
    return held_evidence.find_evidence(
        harmful, 'llm', frozenset(traits), **more
    )


class TestReasons:
    """Guards against crashes whose log doesn't tell hypotheses apart."""

    def test_request_without_evidence_has_none(self, harmful):
        crash(harmful, 2, 'bad')
        assert find(harmful, 'aa') is None

    def test_too_few_crashes(self, harmful):
        crash(harmful, 2, 'bad')
        assert find(harmful, 'aa', 'bad') == held_evidence.HeldEvidence(
            'bad', 2, 2, 1.0, 'too few crashes'
        )

    def test_answered_before(self, harmful):
        harmful.answered.record_parts('llm', ('bad',))
        crash(harmful, 4, 'bad')
        assert find(harmful, 'bad').allowed == 'answered before'

    def test_trial(self, harmful):
        crash(harmful, 4, 'bad')
        assert find(harmful, 'bad', is_trial=True).allowed == 'trial'

    def test_other_suspects(self, harmful):
        crash(harmful, 7, 'bad', 'aa')
        held = find(harmful, 'bad')
        assert held.allowed == 'other suspects at these crashes'

    def test_cleared_by_an_answer(self, harmful):
        crash(harmful, 2, 'bad')
        for each in harmful.clearances('llm', ('bad',)):
            harmful.record(each)
        harmful.clock.now += 2.0
        held = find(harmful, 'bad')
        assert (held.allowed, held.age_seconds) == (
            'cleared by an answer',
            2.0,
        )
        harmful.clock.now += held_evidence.CLEARED_SECONDS
        assert find(harmful, 'bad') is None


class TestLineLimit:
    """Guards against a line for each request of a busy service."""

    def test_lines_are_bounded(self):
        clock = fakes.CallableClock(100.0)
        limit = held_evidence.LineLimit(clock)
        allowed = [limit.allows(str(n)) for n in range(100)]
        assert sum(allowed) == held_evidence.MAX_LINES_PER_SECOND
        clock.now += held_evidence.TRAIT_PAUSE_SECONDS
        assert [limit.allows('0') for _ in range(3)] == [True, False, False]


class TestDispatch:
    """Guards against requests that are sent without the line."""

    @standins.on_site
    async def test_line_names_the_evidence(self, site):
        lines = []
        sink = loguru.logger.add(
            lambda message: lines.append(message.record['extra']),
            level='INFO',
        )
        router = site.router
        now = router.guard.harmful.clock()
        lost = crashes.RequestTraits('request-x', ('bb',))
        await router.guard.record(
            crashes.Crash('e', 1.0, 'llm', now - 2.0, (lost,))
        )
        await site.request('/stream/x', 'POST')
        loguru.logger.remove(sink)
        (line,) = [each for each in lines if 'trait' in each]
        assert (line['trait'], line['allowed']) == ('bb', 'too few crashes')
        assert line['age'] >= 2.0
        assert line['request_id'] == 'request-1'

    @pytest.fixture
    def site(self):
        return standins.default_site()
