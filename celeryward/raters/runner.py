"""Execution of a cascade's tiers for one request."""

import dataclasses

from celeryward import calls
from celeryward.endpoints import attempts
from celeryward import errors
from celeryward.raters import cascades
from celeryward.raters import protocol
from celeryward.raters import quality
from celeryward.raters import sampler
from celeryward.raters import texts

# Failures of a tier after which another tier may still be run.
UNFINISHED = (errors.NotRun, errors.OutcomeUnknown)


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeOutcome:
    """The answer that a cascade accepted, and all of its runs."""

    payload: bytes
    attempt: attempts.Attempt
    runs: tuple[calls.Run, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeStart:
    """The plan, the rule and the first step for a request.

    :param rule: function from :data:`cascades.RULES`.
    :param Step step: the first step.
    """

    choice: quality.Choice
    rule: object
    context: cascades.RuleContext
    step: cascades.Step


@dataclasses.dataclass(frozen=True, slots=True)
class TierRun:
    """A completed run of one tier, with its whole answer.

    :param int tier: index of the tier.
    """

    tier: int
    attempt: attempts.Attempt
    payload: bytes

    @property
    def cost(self):
        """Total cost of the runs of the tier's attempt."""
        return sum(run.cost for run in self.attempt.runs)


class CascadeRunner:
    """Runs tiers until the cascade's rule accepts an answer.

    :param learner: :class:`quality.Learner`.
    :param ratings: :class:`sampler.Sampler`.
    """

    def __init__(self, configuration, dispatcher, learner, ratings):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.learner = learner
        self.ratings = ratings

    def begin(self, call, route):
        """Return the :class:`CascadeStart` of a request.

        While ratings are unavailable, a rule that needs them is replaced by
        one that runs the strongest tier.
        """
        cascade = self.configuration.catalog().cascades[route.cascade]
        target = max(cascade.quality_target, call.customer.quality_target)
        kind = cascades.classify(call, cascade)
        choice = self.learner.choose(kind, len(route.models), target)
        rule = cascades.RULES.get(cascade.rule)
        context = cascades.RuleContext(route.models, target, choice.plan)
        step = rule(context, ())
        if not step.final and not self.learner.health.available:
            rule = cascades.RULES.get('strong')
            step = rule(context, ())
        return CascadeStart(choice, rule, context, step)

    async def record_single_tier(self, start, attempt):
        """Record a request whose answer was sent without a rating."""
        payload = b''.join(attempt.emitted_payloads)
        run = TierRun(start.step.tier, attempt, payload)
        self.learner.record_costs(start.choice, ((run.tier, run.cost),))
        if start.choice.rate_afterwards:
            request = rating_request(run, start.choice.scope.kind)
            choice = choice_to_learn_from(start, run.tier)
            await self.ratings.enqueue(sampler.RatingTask(request, choice))

    async def run(self, call, route, begin, start):
        """Return the :class:`CascadeOutcome` of a request.

        The answer of each tier is buffered until it is accepted, because a
        rejected answer must not reach the caller.

        :param begin: function of a model that returns an asynchronous
            context manager, which holds a slot and yields the placed
            :class:`attempts.Attempt`.
        """
        kind = start.choice.scope.kind
        step = start.step
        scores = ()
        completed = ()
        while step is not None:
            try:
                async with begin(route.models[step.tier]) as attempt:
                    completed += (await self.run_tier(step, attempt),)
            except UNFINISHED:
                if completed:
                    # An answer below the threshold is better than none, and
                    # the error NotRun would be wrong: a tier has run.
                    break
                if step.tier == start.context.strongest:
                    raise
                step = cascades.Step(start.context.strongest, final=True)
                continue
            if step.final:
                break
            request = rating_request(completed[-1], kind)
            scores += (await self.ratings.rate(request, call.deadline),)
            step = start.rule(start.context, scores)
        await self.learn(start, completed, scores)
        last = completed[-1]
        runs = tuple(run for tier in completed for run in tier.attempt.runs)
        return CascadeOutcome(last.payload, last.attempt, runs)

    async def learn(self, start, completed, scores):
        """Record costs and scores, and have an unrated last answer rated."""
        choice = start.choice
        costs = tuple((one.tier, one.cost) for one in completed)
        self.learner.record_costs(choice, costs)
        learned = choice_to_learn_from(start, completed[0].tier)
        if learned is None or not scores or None in scores:
            return
        if len(scores) == len(completed):
            self.learner.learn(learned, scores)
            return
        request = rating_request(completed[-1], choice.scope.kind)
        await self.ratings.enqueue(
            sampler.RatingTask(request, learned, scores)
        )

    async def run_tier(self, step, attempt):
        """Return the :class:`TierRun` of one tier's whole answer."""
        if not attempt.call.request.stream:
            chunk = await self.dispatcher.complete_chat(attempt)
            return TierRun(step.tier, attempt, chunk.payload)
        async for _ in self.dispatcher.stream(attempt):
            pass
        payload = b''.join(attempt.emitted_payloads)
        return TierRun(step.tier, attempt, payload)


def choice_to_learn_from(start, first_tier):
    """Return the choice on which a rating is evidence, or None.

    A rating is evidence only if the request followed the plan of the choice:
    other rules reject answers at other thresholds.
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
