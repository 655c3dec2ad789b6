"""Cascades: which tiers of models run, and when to stop.

A rule is a pure function of a :class:`RuleContext` and the scores so far. The
result of learning is passed to it as the context's :class:`Plan`.
"""

import dataclasses

from celeryward import registry

RULES = registry.Registry('cascade rule')

# Length classes, with the largest number of prompt tokens of each.
LENGTH_CLASSES = ((200, 'short'), (2000, 'medium'))
LONGEST_CLASS = 'long'
# A request for an answer of at most this many tokens is classified as tagging.
TAGGING_TOKENS = 32
CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of requests that share one plan.

    :param str length: length class of the prompt.
    :param str task: kind of request, such as ``chat``.
    """

    customer: str
    cascade: str
    length: str
    task: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A start tier and the threshold of escalation.

    :param int start: index of the first tier.
    :param float threshold: a request whose answer from the start tier has a
        lower score is escalated to the strongest tier; 0 accepts every
        answer without a rating.
    """

    start: int
    threshold: float = 0.0

    @property
    def needs_rating(self):
        """Whether an answer must be rated before it can be accepted."""
        return self.threshold > 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RuleContext:
    """The input of a rule for one request.

    :param tuple tiers: permitted models from cheapest to strongest.
    :param float target: mean score that the answers must reach.
    :param Plan plan: the plan learned for the kind of request.
    """

    tiers: tuple[str, ...]
    target: float
    plan: Plan

    @property
    def strongest(self):
        """Index of the strongest tier."""
        return len(self.tiers) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The tier that a rule selects to run next.

    :param int tier: index of the tier.
    :param bool final: whether its answer is accepted without a rating.
    """

    tier: int
    final: bool


@RULES.register('learned')
def step_by_plan(context, scores):
    """Follow the plan learned for this kind of request.

    A missing rating escalates to the strongest tier.

    :returns: the next :class:`Step`, or None to accept the last answer.
    """
    plan = context.plan
    if not scores:
        final = plan.start == context.strongest or not plan.needs_rating
        return Step(plan.start, final)
    if scores[-1] is not None and scores[-1] >= plan.threshold:
        return None
    return Step(context.strongest, final=True)


@RULES.register('threshold')
def step_by_threshold(context, scores):
    """Escalate from the cheapest tier until a score meets the target.

    :param tuple scores: scores of the tiers that have run; None for a
        missing rating, which escalates to the strongest tier.
    :returns: the next :class:`Step`, or None to accept the last answer.
    """
    last = context.strongest
    if not scores:
        return Step(0, final=last == 0)
    if scores[-1] is None:
        return Step(last, final=True)
    if scores[-1] >= context.target:
        return None
    following = len(scores)
    return Step(following, final=following == last)


@RULES.register('strong')
def step_strong(context, scores):
    """Run the strongest tier only; a baseline for measurements."""
    return None if scores else Step(context.strongest, final=True)


@RULES.register('cheap')
def step_cheap(context, scores):
    """Run the cheapest tier only; a baseline for measurements."""
    return None if scores else Step(0, final=True)


def classify_length(tokens):
    """Return the length class of a prompt."""
    for limit, name in LENGTH_CLASSES:
        if tokens <= limit:
            return name
    return LONGEST_CLASS


def classify_request(request):
    """Return the length class and the task of a request."""
    characters = sum(len(message.content) for message in request.messages)
    tagging = 0 < request.max_tokens <= TAGGING_TOKENS
    return (
        classify_length(characters // CHARACTERS_PER_TOKEN),
        'tagging' if tagging else 'chat',
    )


def classify(call, cascade):
    """Return the :class:`RequestKind` of a call to a cascade."""
    length, task = classify_request(call.request)
    return RequestKind(call.customer.name, cascade.name, length, task)
