"""Runs the tiers of a cascade for one request."""

import dataclasses

from celeryward import calls
from celeryward.endpoints import attempts
from celeryward import errors
from celeryward.raters import cascades
from celeryward.raters import protocol
from celeryward.raters import quality
from celeryward.raters import sampler
from celeryward.raters import texts

# Failures of one tier after which another tier may still answer.
UNFINISHED = (errors.NotRun, errors.OutcomeUnknown)


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeOutcome:
    """The answer that a cascade settled on, and all of its runs."""

    payload: bytes
    attempt: attempts.Attempt
    runs: tuple[calls.Run, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """How a request begins its cascade.

    :param rule: function from :data:`cascades.RULES`.
    :param Step step: the first step.
    """

    choice: quality.Choice
    rule: object
    query: cascades.Query
    step: cascades.Step


@dataclasses.dataclass(frozen=True, slots=True)
class TierRun:
    """One tier's whole answer.

    :param int tier: index of the tier.
    """

    tier: int
    attempt: attempts.Attempt
    payload: bytes

    @property
    def cost(self):
        """What the runs of the tier cost."""
        return sum(run.cost for run in self.attempt.runs)


class CascadeRunner:
    """Runs tiers until the cascade's rule is satisfied.

    :param learner: :class:`quality.Learner`.
    :param ratings: :class:`sampler.Sampler`.
    """

    def __init__(self, configuration, dispatcher, learner, ratings):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.learner = learner
        self.ratings = ratings

    def begin(self, call, route):
        """Return the :class:`Start` of a request.

        Without ratings, a rule that needs them is replaced by the
        strongest tier.
        """
        cascade = self.configuration.catalog().cascades[route.cascade]
        target = max(cascade.quality_target, call.customer.quality_target)
        kind = cascades.classify(call, cascade)
        choice = self.learner.choose(kind, len(route.models), target)
        rule = cascades.RULES.get(cascade.rule)
        query = cascades.Query(route.models, target, choice.plan)
        step = rule(query, ())
        if not step.final and not self.learner.health.available:
            rule = cascades.RULES.get('strong')
            step = rule(query, ())
        return Start(choice, rule, query, step)

    async def finish_single(self, start, attempt):
        """Note a request that one tier has answered to the caller."""
        payload = b''.join(attempt.emitted)
        run = TierRun(start.step.tier, attempt, payload)
        self.learner.spent(start.choice, ((run.tier, run.cost),))
        if start.choice.rate:
            request = rating_request(run, start.choice.scope.kind)
            choice = learned_from(start, run.tier)
            await self.ratings.offer(sampler.Sample(request, choice))

    async def run(self, call, route, begin, start):
        """Return the :class:`CascadeOutcome` of a request.

        The answer of each tier is held until it is accepted, because a
        rejected answer must not reach the caller.

        :param begin: function of a model that returns a context manager,
            which holds a slot and yields the placed
            :class:`attempts.Attempt`.
        """
        kind = start.choice.scope.kind
        step = start.step
        scores = ()
        done = ()
        while step is not None:
            try:
                async with begin(route.models[step.tier]) as attempt:
                    done += (await self.run_tier(step, attempt),)
            except UNFINISHED:
                if done:
                    # An answer below the threshold is better than none,
                    # and "not run" would no longer be true.
                    break
                if step.tier == start.query.strongest:
                    raise
                step = cascades.Step(start.query.strongest, final=True)
                continue
            if step.final:
                break
            request = rating_request(done[-1], kind)
            scores += (await self.ratings.rate(request, call.deadline),)
            step = start.rule(start.query, scores)
        await self.learn(start, done, scores)
        last = done[-1]
        runs = tuple(run for tier in done for run in tier.attempt.runs)
        return CascadeOutcome(last.payload, last.attempt, runs)

    async def learn(self, start, done, scores):
        """Pass costs and scores on; the last answer is rated beside."""
        choice = start.choice
        costs = tuple((one.tier, one.cost) for one in done)
        self.learner.spent(choice, costs)
        learned = learned_from(start, done[0].tier)
        if learned is None or not scores or None in scores:
            return
        if len(scores) == len(done):
            self.learner.learn(learned, scores)
            return
        request = rating_request(done[-1], choice.scope.kind)
        await self.ratings.offer(sampler.Sample(request, learned, scores))

    async def run_tier(self, step, attempt):
        """Return the :class:`TierRun` of one tier's whole answer."""
        if not attempt.call.request.stream:
            chunk = await self.dispatcher.complete_chat(attempt)
            return TierRun(step.tier, attempt, chunk.payload)
        async for _ in self.dispatcher.stream(attempt):
            pass
        payload = b''.join(attempt.emitted)
        return TierRun(step.tier, attempt, payload)


def learned_from(start, first_tier):
    """Return the choice that a rating teaches about, or None.

    Only a request that followed the plan of the choice does: another rule
    rejects answers by another threshold.
    """
    if start.rule is not cascades.RULES.get('learned'):
        return None
    same = first_tier == start.choice.plan.start
    return start.choice if same else None


def rating_request(run, kind):
    """Return the request to rate one tier's answer."""
    last = run.attempt.runs[-1]
    model, _, version = last.version.partition('@')
    return protocol.RatingRequest(
        run.attempt.call.request_id,
        model,
        version,
        kind.task,
        last.usage.prompt_tokens,
        texts.answer_text(run.attempt.call, run.payload),
    )
