"""Selection of the model size for a request, by cost and confidence.

A small model answers first and reports its confidence. The request is
repeated at the largest model if the expected loss from a poor answer exceeds
the cost of the run. No rating service is needed, because the confidence
arrives with the head of the answer.
"""

import dataclasses
import math

# A prompt token costs a quarter of a generated one.
PROMPT_TOKEN_RELATIVE_COST = 0.25
COST_UNIT_TOKENS = 1000.0
# Share of its value that a poor answer still has.
POOR_ANSWER_VALUE_SHARE = 0.05
# Share of its value that an answer after the latency objective has.
LATE_ANSWER_VALUE_SHARE = 0.35
# A run delays others at busy endpoints. For each latency objective that the
# small model took, the cost of the next run rises by this many times itself.
CONGESTION_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ValueModel:
    """The value of answers, in the cost units of the models.

    :param float value_per_token: value of a good answer for each token that
        it is expected to have.
    :param float confidence_midpoint: confidence at which half of the answers
        are poor.
    :param float confidence_width: decrease of confidence that multiplies
        the odds of a poor answer by e.
    """

    value_per_token: float
    confidence_midpoint: float = 0.5
    confidence_width: float = 0.06

    def poor_answer_probability(self, confidence):
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
    """The time that a request has taken and may still take.

    :param float objective_seconds: latency objective of its route.
    :param float elapsed_seconds: time since it arrived.
    :param float expected_seconds: time that a larger model would take.
    """

    objective_seconds: float
    elapsed_seconds: float
    expected_seconds: float

    @property
    def late(self):
        """Whether a larger model would miss the latency objective."""
        total = self.elapsed_seconds + self.expected_seconds
        return total > self.objective_seconds

    @property
    def congestion(self):
        """Time that the small model took, in latency objectives."""
        return self.elapsed_seconds / self.objective_seconds


def run_cost(size, request):
    """Return the cost of one run of a request at a size."""
    tokens = (
        expected_tokens(request)
        + PROMPT_TOKEN_RELATIVE_COST * request.prompt_tokens
    )
    return size.cost * tokens / COST_UNIT_TOKENS


def expected_tokens(request):
    """Return the expected number of tokens of the answer."""
    if request.expected_tokens and request.answer_tokens:
        return min(request.expected_tokens, request.answer_tokens)
    return request.expected_tokens or request.answer_tokens


def first_size(sizes):
    """Return the size that runs a request first."""
    return sizes[0]


def larger_size(sizes, current, request, confidence, value_model, timing):
    """Return the size to run instead, or None to keep the answer.

    Intermediate sizes are skipped: if a small model has little confidence in
    its answer, a slightly larger one is seldom good enough, and each further
    run processes the prompt again.

    :param tuple sizes: all sizes, smallest first.
    :param Size current: the size that gave the answer.
    :param request: the parsed head of the request.
    :param float | None confidence: confidence of the current size in its
        answer, 0 to 1; None if it reported none.
    :param ValueModel value_model: the value of answers.
    :param Timing timing: the time that the request has taken.
    """
    largest = sizes[-1]
    if confidence is None or largest.model == current.model:
        return None
    value = value_model.value_per_token * expected_tokens(request)
    gain = (
        value_model.poor_answer_probability(confidence)
        * (1.0 - POOR_ANSWER_VALUE_SHARE)
        * value
    )
    if timing.late:
        gain *= LATE_ANSWER_VALUE_SHARE
    cost = run_cost(largest, request)
    cost *= 1.0 + CONGESTION_FACTOR * timing.congestion
    return largest if gain > cost else None
