"""Cascades: learning, the rules, and outages of the rating service."""

import dataclasses
import random

import curio

from celeryward import deadlines
from celeryward.operators import demo
from celeryward.raters import cascades
from celeryward.raters import estimates
from celeryward.raters import quality
from tests import fakes

KIND = cascades.RequestKind('workshop', 'auto', 'short', 'chat')
SCOPE = quality.Scope(KIND, 2, 0.8)
STRONG = cascades.Plan(1)
COSTS = (1.0, 10.0)


def train(learner, score, count=300):
    """Serve requests whose cheap answers get a score; return all choices."""
    choices = []
    for _ in range(count):
        choice = learner.choose(KIND, 2, 0.8)
        context = cascades.RuleContext(('small', 'large'), 0.8, choice.plan)
        step = cascades.step_by_plan(context, ())
        runs = [(step.tier, COSTS[step.tier])]
        scores = () if step.tier else (score,)
        if not step.final and score < choice.plan.threshold:
            runs.append((1, COSTS[1]))
            scores = (score, 0.95)
        learner.record_costs(choice, runs)
        learner.learn(choice, scores)
        choices.append(choice)
    return choices


def trained_learner(score):
    learner = quality.Learner(random.Random(1))
    train(learner, score)
    return learner


class TestLearner:
    """Guards against plans below the target or with needless cost."""

    def test_good_cheap_tier_is_used_alone(self):
        assert trained_learner(0.9).plans[SCOPE] == cascades.Plan(0)

    def test_bad_cheap_tier_is_not_used(self):
        assert trained_learner(0.5).plans[SCOPE] == STRONG

    def test_without_evidence_the_strongest_tier_runs(self):
        learner = quality.Learner(random.Random(1))
        assert learner.choose(KIND, 2, 0.8).plan == STRONG

    def test_exploration_keeps_to_its_budget(self):
        learner = quality.Learner(random.Random(1))
        choices = train(learner, 0.5, 2000)
        extra = sum(COSTS[0] for choice in choices if choice.explored)
        base = COSTS[1] * len(choices)
        # One request may start while the balance is just above zero.
        assert extra <= quality.EXPLORATION_BUDGET * (base + extra) + 1.0

    def test_loss_of_quality_ends_a_plan(self):
        learner = trained_learner(0.9)
        train(learner, 0.6, 3000)
        assert learner.plans[SCOPE].start == 1

    def test_unrated_strong_answer_does_not_favour_the_plan(self):
        sample = estimates.Sample(0.3, threshold=0.8)
        assert sample.score_at(0.8) == 0.3

    def test_few_samples_give_no_bound(self):
        few = estimates.Evidence(estimates.MIN_SAMPLES - 1, 0.99)
        assert estimates.bounds(few, []) == estimates.UNKNOWN


class TestRatingOutage:
    """Guards against waiting for a rating service that is unavailable."""

    def test_plan_without_ratings_stays_in_use(self):
        learner = trained_learner(0.9)
        learner.health.failed()
        assert learner.choose(KIND, 2, 0.8).plan == cascades.Plan(0)

    def test_plan_with_ratings_becomes_the_strongest_tier(self):
        learner = trained_learner(0.9)
        learner.plans[SCOPE] = cascades.Plan(0, 0.5)
        learner.health.failed()
        assert learner.choose(KIND, 2, 0.8).plan == STRONG

    def test_expired_plan_becomes_the_strongest_tier(self):
        learner = trained_learner(0.9)
        learner.health.failed()
        learner.health.plans_valid_until = deadlines.Deadline(0.0)
        assert learner.choose(KIND, 2, 0.8).plan == STRONG

    @fakes.in_kernel
    async def test_unavailable_service_is_tried_by_one_request(self):
        cluster = demo.Cluster()
        await cluster.start()
        await cluster.rater.stop()
        for _ in range(3):
            example = demo.chat_example('', 'auto', 'x')
            head, _ = await demo.send_example(
                cluster.daemon.listener.port, example
            )
            assert head.headers['x-served-by'] == 'large@1'
        assert cluster.small.chats_started['small@1'] == 1
        assert cluster.large.chats_started['large@1'] == 3
        await cluster.stop()


class TestStreams:
    """Guards against buffering an answer that needs no rating."""

    @fakes.in_kernel
    async def test_single_tier_streams_before_the_answer_is_complete(self):
        cluster = demo.Cluster()
        more = curio.Event()

        async def wait_after_four(connection, index):
            if index == 4:
                await more.wait()

        cluster.large.inject_fault = wait_after_four
        await cluster.start()
        await set_rule(cluster, 'learned')
        port = cluster.daemon.listener.port
        sock = await curio.open_connection('127.0.0.1', port)
        body = (
            b'{"model":"auto","stream":true,"messages":'
            b'[{"role":"user","content":"x"}]}'
        )
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {demo.KEY}\r\n'
            f'content-length: {len(body)}\r\n\r\n'
        )
        await sock.sendall(head.encode() + body)
        received = b''
        while received.count(b'"delta"') < 4:
            received += await sock.recv(65536)
        assert cluster.rater.rating_count == 0
        await more.set()
        while b'[DONE]' not in received:
            received += await sock.recv(65536)
        await sock.close()
        await cluster.stop()


class TestServing:
    """Guards the path from served requests to a learned plan."""

    @fakes.in_kernel
    async def test_good_cheap_tier_takes_over(self):
        cluster = demo.Cluster()
        await cluster.start()
        await set_rule(cluster, 'learned')
        port = cluster.daemon.listener.port
        for _ in range(300):
            head, _ = await demo.send_example(
                port, demo.chat_example('', 'auto', 'x')
            )
        assert head.headers['x-served-by'] == 'small@1'
        large = cluster.large.chats_started['large@1']
        assert large < cluster.small.chats_started['small@1']
        await cluster.stop()


class TestCapacity:
    """Guards against errors to the caller while one tier can answer."""

    @fakes.in_kernel
    async def test_refused_cheap_tier_is_replaced_by_the_strongest(self):
        cluster = demo.Cluster()
        await cluster.start()
        await set_rule(cluster, 'cheap')
        cluster.small.refusing = True
        port = cluster.daemon.listener.port
        head, _ = await demo.send_example(
            port, demo.chat_example('', 'auto', 'x')
        )
        assert head.headers['x-served-by'] == 'large@1'
        await cluster.stop()

    @fakes.in_kernel
    async def test_rejected_answer_is_kept_if_no_stronger_tier_runs(self):
        cluster = demo.Cluster()
        await cluster.start()
        cluster.large.refusing = True
        port = cluster.daemon.listener.port
        example = demo.chat_example('', 'auto', 'long ' * 60)
        head, _ = await demo.send_example(port, example)
        assert head.status == 200
        assert head.headers['x-served-by'] == 'small@1'
        await cluster.stop()


async def set_rule(cluster, rule):
    """Change the rule of the demo's cascade and wait until it applies."""
    configuration = cluster.daemon.configuration
    stored = cluster.platform.objects['Cascade', 'auto']
    spec = {**stored.spec, 'rule': rule}
    await cluster.platform.put(dataclasses.replace(stored, spec=spec))
    while configuration.catalog().cascades['auto'].rule != rule:
        await curio.sleep(0.01)
