"""Which size of a model runs a request, by price and the model's opinion.

A small model answers first and says how sure it is. A larger one is asked
when the expected loss of a poor answer exceeds its price. No rating service
is needed, because the confidence comes with the head of the answer.
"""

import dataclasses
import math

# A prompt token costs a quarter of a generated one.
PROMPT_TOKEN_SHARE = 0.25
TOKENS_OF_PRICE = 1000.0
# A poor answer still has this share of its value.
POOR_ANSWER_SHARE = 0.05
# A late answer has this share of its value.
LATE_ANSWER_SHARE = 0.35
# A run holds up the others at busy endpoints. Its price rises by this factor
# for each objective that the small answer took.
CONGESTION_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Economy:
    """What answers are worth, in the cost units of the models.

    :param float value_per_token: worth of a good answer for each token that
        it is expected to have.
    :param float confidence_midpoint: confidence at which half of the answers
        are poor.
    :param float confidence_width: change of confidence around the midpoint
        that multiplies the odds of a poor answer by e.
    """

    value_per_token: float
    confidence_midpoint: float = 0.5
    confidence_width: float = 0.06

    def doubt(self, confidence):
        """Return the probability that an answer is poor."""
        exponent = (
            confidence - self.confidence_midpoint
        ) / self.confidence_width
        return 1.0 / (1.0 + math.exp(exponent))


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A model that may serve a request, with its cost for 1,000 tokens."""

    model: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How a request stands in time.

    :param float elapsed_seconds: time since it came.
    :param float expected_seconds: time that a larger model will take.
    """

    objective_seconds: float
    elapsed_seconds: float
    expected_seconds: float

    @property
    def late(self):
        """Whether the larger model would answer too late."""
        total = self.elapsed_seconds + self.expected_seconds
        return total > self.objective_seconds

    @property
    def congestion(self):
        """How many objectives the small answer took."""
        return self.elapsed_seconds / self.objective_seconds


def price(size, ask):
    """Return what one run of a request costs at a size."""
    tokens = expected_tokens(ask) + PROMPT_TOKEN_SHARE * ask.prompt_tokens
    return size.cost * tokens / TOKENS_OF_PRICE


def expected_tokens(ask):
    """Return how many tokens the answer is expected to have."""
    if ask.expected_tokens and ask.max_tokens:
        return min(ask.expected_tokens, ask.max_tokens)
    return ask.expected_tokens or ask.max_tokens


def first_size(sizes):
    """Return the size that runs a request first."""
    return sizes[0]


def larger_size(sizes, current, ask, confidence, economy, timing):
    """Return the size to ask instead, or None to keep the answer.

    Sizes in between are passed over: an answer that a small model is unsure
    of is seldom good enough from a slightly larger one, and each further
    run reads the prompt again.

    :param tuple sizes: all sizes, smallest first.
    :param Size current: the size that gave the answer.
    :param float | None confidence: its opinion, 0 to 1.
    :param Timing timing: how the request stands in time.
    """
    largest = sizes[-1]
    if confidence is None or largest.model == current.model:
        return None
    value = economy.value_per_token * expected_tokens(ask)
    gain = economy.doubt(confidence) * (1.0 - POOR_ANSWER_SHARE) * value
    if timing.late:
        gain *= LATE_ANSWER_SHARE
    cost = price(largest, ask)
    cost *= 1.0 + CONGESTION_FACTOR * timing.congestion
    return largest if gain > cost else None
