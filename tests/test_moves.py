"""Decisions on answers that are late or dropped."""

import dataclasses
import time
import types

import pytest

from celeryward.callers import moves
from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward.endpoints import waits
from celeryward import ingress
from tests import fakes
from tests import platform_standins as standins

SILENCE_SECONDS = moves.SOUND_SILENCE_SECONDS
ROUTE = ingress.Route(
    'r',
    'h',
    '/',
    ingress.RouteKind.STREAM,
    (ingress.WeightedService('s', 1.0),),
    timeout_seconds=25.0,
    max_attempts=3,
    resumable=True,
)


class Retries:
    """Plans one replacement and holds some tokens."""

    def __init__(self, plan, tokens=1):
        self.plan = plan
        self.tokens = tokens

    def plan_retry(self, relayed):
        return self.plan

    def take(self, service):
        self.tokens -= 1
        return self.tokens >= 0


def make_plan(suspected=False):
    """Return the plan of a replacement at another endpoint."""
    runner = types.SimpleNamespace(id='other')
    return relayed_requests.Plan('s', runner, suspected=suspected)


def make_policy(plan, tokens=1, queue_seconds=0.0, usual_seconds=0.1):
    """Return a policy and the retries that it asks."""
    retries = Retries(plan, tokens)
    queues = types.SimpleNamespace(seconds=lambda endpoint: queue_seconds)
    timeouts = types.SimpleNamespace(
        usual_head_seconds=lambda relayed: usual_seconds
    )
    return moves.MovePolicy(queues, timeouts, retries), retries


def make_request(seconds=25.0, **route_fields):
    """Return a request with some time until its deadline."""
    route = dataclasses.replace(ROUTE, **route_fields)
    relayed = relayed_requests.RelayedRequest(
        ingress.RequestMetadata('id'),
        route,
        None,
        None,
        b'',
        deadlines.Deadline.after(seconds),
    )
    relayed.running = frozenset(('first',))
    return relayed


class TestMayLeave:
    """Guards against answers that are given up with nothing in their place."""

    @pytest.mark.parametrize(
        'plan, tokens, queue_seconds',
        (
            (None, 1, 0.0),
            (make_plan(suspected=True), 1, 0.0),
            (make_plan(), 0, 0.0),
            (make_plan(), 1, 0.9),
        ),
        ids=('no endpoint', 'suspected', 'no token', 'queue'),
    )
    def test_request_stays_without_a_replacement(
        self, plan, tokens, queue_seconds
    ):
        policy, _ = make_policy(plan, tokens, queue_seconds)
        relayed = make_request()
        assert not policy.may_leave(relayed, SILENCE_SECONDS, True)
        assert not relayed.budget_charged

    @pytest.mark.parametrize(
        'fields',
        ({'max_attempts': 1}, {'resumable': False}),
        ids=('attempts used', 'may not run again'),
    )
    def test_request_stays_if_it_may_not_run_again(self, fields):
        policy, retries = make_policy(make_plan())
        relayed = make_request(**fields)
        assert not policy.may_leave(relayed, SILENCE_SECONDS, True)
        assert retries.tokens == 1

    def test_stream_under_way_stays_during_a_sound_silence(self):
        policy, _ = make_policy(make_plan())
        relayed = make_request()
        assert not policy.may_leave(relayed, SILENCE_SECONDS - 0.1, True)
        assert policy.may_leave(relayed, SILENCE_SECONDS, True)
        assert relayed.budget_charged

    def test_request_without_time_for_a_second_silence_stays(self):
        policy, _ = make_policy(make_plan())
        relayed = make_request(seconds=SILENCE_SECONDS - 0.1)
        assert not policy.may_leave(relayed, 0.9, False)
        assert policy.may_leave(relayed, SILENCE_SECONDS, False)

    def test_request_without_time_for_another_answer_stays(self):
        policy, _ = make_policy(make_plan(), usual_seconds=1.0)
        relayed = make_request(seconds=0.5)
        assert not policy.may_leave(relayed, SILENCE_SECONDS, False)

    def test_attempts_that_are_under_way_count(self):
        policy, _ = make_policy(make_plan(), tokens=5)
        relayed = make_request(max_attempts=2)
        relayed.running = frozenset(('first', 'second'))
        assert policy.secure_replacement(relayed) is None


class TestWait:
    """Guards against waits that spin, or that outlast their deadline."""

    @fakes.in_kernel
    async def test_a_late_part_asks_at_a_bounded_rate(self):
        asked = []

        async def on_late(waited_seconds, head_arrived):
            asked.append(head_arrived)
            return False

        wait = waits.Wait(on_late, deadlines.Deadline.after(10.0))
        later = [await wait.extend() for _ in range(50)]
        assert asked == [False]
        assert all(each.remaining() > 0.1 for each in later)

    @fakes.in_kernel
    async def test_the_deadline_ends_the_wait_unasked(self):
        wait = waits.Wait(None, deadlines.Deadline(time.monotonic()))
        assert await wait.extend() is None

    @fakes.in_kernel
    async def test_each_part_begins_a_wait_of_its_own(self):
        waited = []

        async def on_late(waited_seconds, head_arrived):
            waited.append(waited_seconds)
            return True

        wait = waits.Wait(on_late, deadlines.Deadline.after(10.0))
        wait.began_at -= 5.0
        assert await wait.is_given_up()
        wait.begin_next()
        assert await wait.is_given_up()
        assert waited[0] > 4.9 and waited[1] < 1.0


class TestEscalation:
    """Guards against answers that are dropped for one that nobody gives."""

    @pytest.fixture
    def site(self):
        return standins.default_site()

    @standins.on_site
    async def test_answer_is_kept_if_no_endpoint_has_the_larger_model(
        self, site
    ):
        for runner in site.runners.values():
            runner.confidence = {'small': 0}
            entry = runner.entry()
            entry['models'] = entry['models'][:1]
            await site.store.put('servers', runner.id, entry)
        await standins.wait_until(
            lambda: all(
                'large' not in runner.models
                for runner in site.router.runners.runners.values()
            )
        )
        head, body = await site.request('/stream/')
        assert (head.status, body) == (200, standins.events(4))

    @pytest.mark.parametrize(
        'failure',
        (
            standins.disconnect,
            standins.respond_with(500),
            standins.refuse_unexecuted(),
            standins.never_respond,
        ),
        ids=('breaks off', '500', 'refuses', 'mute'),
    )
    @standins.on_site
    async def test_answer_is_kept_until_the_larger_model_answers(
        self, site, failure
    ):
        """The caller got 502 or 504 although an answer was there."""

        async def fail_if_large(runner, connection, arrival):
            large = arrival.model == 'large'
            action = failure if large else standins.send_stream
            await action(runner, connection, arrival)

        for runner in site.runners.values():
            runner.confidence = {'small': 0}
            runner.default_action = fail_if_large
        head, body = await site.request('/stream/')
        assert (head.status, body) == (200, standins.events(4))
