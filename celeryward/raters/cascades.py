"""Cascades: which tiers of models run, and when to stop."""

import dataclasses

from celeryward import registry

RULES = registry.Registry('cascade rule')


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The tier that a rule proposes next.

    :param int tier: index of the tier.
    :param bool final: whether its answer is taken without a rating.
    """

    tier: int
    final: bool


@RULES.register('threshold')
def step_by_threshold(cascade, tiers, scores):
    """Start at the cheapest tier and go up until a score is good enough.

    :param tuple tiers: models from cheap to strong.
    :param tuple scores: scores of the tiers that have run; None for a
        missing rating, which leads to the strongest tier.
    :returns: the next :class:`Step`, or None to keep the last answer.
    """
    last = len(tiers) - 1
    if not scores:
        return Step(0, final=last == 0)
    if scores[-1] is None:
        return Step(last, final=True)
    if scores[-1] >= cascade.quality_target:
        return None
    following = len(scores)
    return Step(following, final=following == last)


@RULES.register('strong')
def step_strong(cascade, tiers, scores):
    """Run the strongest tier only; a baseline for measurements."""
    if scores:
        return None
    return Step(len(tiers) - 1, final=True)


@RULES.register('cheap')
def step_cheap(cascade, tiers, scores):
    """Run the cheapest tier only; a baseline for measurements."""
    return None if scores else Step(0, final=True)
