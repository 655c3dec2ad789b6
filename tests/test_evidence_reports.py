"""Reports of evidence from a router to the next one."""

import types

import pytest
import result

from celeryward import errors
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from celeryward.routers import departure_news
from celeryward.routers import evidence
from celeryward.routers import members
from tests import fakes

SERVICE = 'llm'
LEADER = members.Member('leader', 'a', '127.0.0.1', 1)
STANDBY = members.Member('standby', 'a', '127.0.0.1', 2)


class Receivers:
    """Routers that take reports; the responses of silent ones are lost."""

    def __init__(self):
        self.own = members.Member('own', 'a', '127.0.0.1', 3)
        self.silent = set()
        self.taken = {}

    def reports_to(self):
        return LEADER

    def avoid(self, member, seconds):
        pass

    def client_of(self, member):
        async def report(sent):
            self.taken[(member.name, sent.number)] = sent
            if member.name in self.silent:
                return result.Err(
                    errors.PlatformUnavailable('x', step='x', peer='x')
                )
            return result.Ok(b'')

        return types.SimpleNamespace(report=report)

    def hits(self):
        """Return the endpoints in all outcomes that were taken, in order."""
        return [
            outcome.endpoint
            for sent in self.taken.values()
            for outcome in sent.outcomes
        ]

    def requests(self):
        """Return the sum of the requests that were taken."""
        return sum(
            counts.exposure.requests
            for sent in self.taken.values()
            for counts in sent.exposures
        )


@pytest.fixture
def receivers():
    return Receivers()


@pytest.fixture
def reporter(receivers):
    instance = releases.Releases(0.15, 5.0)
    instance.accept(rollout_orders.Order(SERVICE, 'v2', 20.0))
    return evidence.EvidenceReporter(
        instance, receivers, receivers, departure_news.DepartureNews()
    )


def add(reporter, endpoint):
    """Add a request and its outcome at a new version."""
    reporter.releases.record_dispatch(SERVICE, 'v2')
    criterion = rollout_orders.Criterion.FAILURE
    reporter.add_outcome(
        rollout_orders.Outcome(
            SERVICE, 'v2', 0, endpoint, criterion, False, -0.1
        )
    )


class TestReceiverThatStandsStill:
    """Guards against evidence that counts twice or is lost."""

    @fakes.in_kernel
    async def test_evidence_is_not_sent_to_another_router_meanwhile(
        self, reporter, receivers
    ):
        receivers.silent = {'leader'}
        add(reporter, 'e1')
        await reporter.report(LEADER)
        add(reporter, 'e2')
        await reporter.report(STANDBY)
        receivers.silent = set()
        for _ in range(2):
            await reporter.report(LEADER)
        assert receivers.hits() == ['e1', 'e2']
        assert receivers.requests() == 2

    def test_evidence_is_sent_to_another_router_in_the_end(
        self, reporter, receivers, clock
    ):
        @fakes.in_kernel
        async def test():
            receivers.silent = {'leader'}
            add(reporter, 'e1')
            await reporter.report(LEADER)
            clock.now += evidence.HOLD_SECONDS
            await reporter.report(STANDBY)
            await reporter.report(LEADER)
            assert ('standby', 2) in receivers.taken
            assert receivers.taken[('standby', 2)].outcomes[0].endpoint == 'e1'
            assert len(receivers.taken) == 2

        test()
