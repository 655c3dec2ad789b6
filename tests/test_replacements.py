"""Decisions on answers that are late or dropped."""

import dataclasses
import functools
import time
import types

import pytest

from celeryward.callers import relayed_requests
from celeryward.callers import replacements
from celeryward import deadlines
from celeryward.endpoints import waits
from celeryward import ingress
from tests import fakes
from tests import platform_standins as standins

LATE_SECONDS = replacements.LATE_STREAM_SECONDS
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


class Planner:
    """Reserves places; keeps what it reserved."""

    def __init__(self):
        self.reserved = []
        self.suspected = False

    def is_suspected(self, relayed):
        return self.suspected

    def reserve(self, plan):
        self.reserved.append(plan)
        return plan


class Retries:
    """Plans one replacement and holds some tokens."""

    def __init__(self, plan, tokens=1):
        self.plan = plan
        self.tokens = tokens
        self.planner = Planner()

    def plan_retry(self, relayed, least_seconds):
        late = relayed.deadline.remaining() < least_seconds
        return None if late else self.plan

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
    policy = replacements.ReplacementPolicy(queues, timeouts, retries)
    return policy, retries


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
    relayed.running = ('first',)
    return relayed


class TestSecure:
    """Guards against further runs that can't answer or are not allowed."""

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
    def test_request_has_no_replacement(self, plan, tokens, queue_seconds):
        policy, retries = make_policy(plan, tokens, queue_seconds)
        assert policy.secure(make_request()) is None
        assert not retries.planner.reserved

    @pytest.mark.parametrize(
        'fields',
        ({'max_attempts': 1}, {'resumable': False}),
        ids=('attempts used', 'may not run again'),
    )
    def test_request_has_none_if_it_may_not_run_again(self, fields):
        policy, retries = make_policy(make_plan())
        assert policy.secure(make_request(**fields)) is None
        assert retries.tokens == 1

    def test_request_that_may_crash_endpoints_has_none(self):
        policy, retries = make_policy(make_plan())
        retries.planner.suspected = True
        assert policy.secure(make_request()) is None
        assert retries.tokens == 1

    def test_replacement_has_a_token_and_a_place(self):
        policy, retries = make_policy(make_plan())
        plan = policy.secure(make_request())
        assert retries.planner.reserved == [plan]
        assert retries.tokens == 0

    def test_request_without_time_for_another_answer_has_none(self):
        policy, retries = make_policy(make_plan(), usual_seconds=1.0)
        assert policy.secure(make_request(seconds=0.5)) is None
        assert policy.secure(make_request(seconds=1.5)) is not None

    def test_another_answer_takes_a_least_time(self):
        policy, _ = make_policy(make_plan(), usual_seconds=0.0)
        seconds = replacements.MIN_REPLACEMENT_SECONDS - 0.05
        assert policy.secure(make_request(seconds=seconds)) is None

    def test_attempts_that_are_under_way_count(self):
        policy, _ = make_policy(make_plan(), tokens=5)
        relayed = make_request(max_attempts=2)
        relayed.running = ('first', 'second')
        assert policy.secure(relayed) is None

    def test_attempt_that_ended_counts_before_its_failure_is_recorded(self):
        """One attempt too many was begun meanwhile."""
        policy, retries = make_policy(make_plan(), tokens=5)
        relayed = make_request(max_attempts=2)
        relayed.dispatches = 2
        assert policy.secure(relayed) is None
        assert retries.tokens == 5
        relayed.refusals = 1
        assert policy.secure(relayed) is not None


class TestIsLate:
    """Guards against hedges that a sound silence starts for nothing."""

    def test_stream_under_way_is_not_late_during_a_sound_silence(self):
        assert not replacements.is_late(True, LATE_SECONDS - 0.1, True, False)
        assert replacements.is_late(True, LATE_SECONDS, True, False)

    def test_stream_of_an_unreachable_endpoint_is_late_at_once(self):
        assert replacements.is_late(True, 0.1, True, True)

    @pytest.mark.parametrize(
        'is_stream, head_arrived',
        ((True, False), (False, False), (False, True)),
    )
    def test_other_parts_are_late_when_their_wait_is_over(
        self, is_stream, head_arrived
    ):
        assert replacements.is_late(is_stream, 0.1, head_arrived, False)


class TestRunning:
    """Guards against dispatches that are forgotten while they run."""

    def test_two_dispatches_at_one_endpoint_count_twice(self):
        relayed = make_request()
        relayed.running = ('one', 'one')
        relayed.end_running('one')
        assert relayed.running == ('one',)


class TestWait:
    """Guards against waits that spin, or that outlast their deadline."""

    @fakes.in_kernel
    async def test_a_late_part_is_reported_at_a_bounded_rate(self):
        reported = []

        async def on_late(waited_seconds, head_arrived):
            reported.append(head_arrived)

        wait = waits.Wait(on_late, deadlines.Deadline.after(10.0))
        later = [await wait.extend() for _ in range(50)]
        assert reported == [False]
        assert all(each.remaining() > 0.1 for each in later)

    @fakes.in_kernel
    async def test_the_deadline_ends_the_wait_unreported(self):
        wait = waits.Wait(None, deadlines.Deadline(time.monotonic()))
        assert await wait.extend() is None

    @fakes.in_kernel
    async def test_each_part_begins_a_wait_of_its_own(self):
        waited = []

        async def on_late(waited_seconds, head_arrived, is_lost):
            assert is_lost
            waited.append(waited_seconds)

        wait = waits.Wait(on_late, deadlines.Deadline.after(10.0))
        wait.began_at -= 5.0
        await wait.report_loss()
        wait.begin_next()
        await wait.report_loss()
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
            functools.partial(standins.send_stream, last_event=0),
            standins.respond_with(200, content_type='text/event-stream'),
        ),
        ids=(
            'breaks off',
            '500',
            'refuses',
            'mute',
            'breaks off after its head',
            'no event',
        ),
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
