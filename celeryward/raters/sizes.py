"""Selection of the model size for a request, by value and confidence.

A small model answers first and reports its confidence. The request is
repeated at the largest model if what a better answer is expected to add
exceeds the cost of that run. No rating service is needed, because the
confidence arrives with the head of the answer.

What an answer is worth doesn't follow from its length: a report of a few
tokens on a long prompt matters as much as a long chat. Operators set the
value of a good answer as a multiple of what the largest model costs for the
same request. The price of the models therefore cancels out, and each route
gets a bound on the probability that a poor answer is kept.

The rule answers both light and heavy load: a run delays others at busy
endpoints, so that with growing queues only the poorest answers are still
repeated.
"""

import dataclasses
import math

# Share of its value that a poor answer still has.
POOR_ANSWER_VALUE_SHARE = 0.05
# Share of its value that an answer after the latency objective has.
LATE_ANSWER_VALUE_SHARE = 0.35
# A run of the largest model delays several others at a busy endpoint. For each
# latency objective that a request waited in a queue, the cost of the next run
# rises by this many times itself.
CONGESTION_FACTOR = 20.0
# Part of the latency objective that a request may wait at an endpoint that is
# not busy, because prompts are processed in chunks with others.
USUAL_QUEUE_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class ValueModel:
    """The value of answers, and how often confidence is misplaced.

    :param float value_factor: value of a good answer on a route of the most
        urgent priority, as a multiple of what the largest model costs for it.
    :param float priority_value_ratio: factor by which that value changes with
        each less urgent priority.
    :param float confidence_midpoint: confidence at which half of the answers
        are poor.
    :param float confidence_width: decrease of confidence that multiplies
        the odds of a poor answer by e.
    """

    value_factor: float
    priority_value_ratio: float = 0.5
    confidence_midpoint: float = 0.5
    confidence_width: float = 0.06

    def value(self, priority):
        """Return the value of a good answer in runs of the largest model.

        :param int priority: priority of the route; 0 is the most urgent.
        """
        return self.value_factor * self.priority_value_ratio ** max(
            0, priority
        )

    def poor_answer_probability(self, confidence):
        """Return the probability that an answer is poor."""
        exponent = (
            confidence - self.confidence_midpoint
        ) / self.confidence_width
        return 1.0 / (1.0 + math.exp(exponent))


def make_value_model(tuning):
    """Return the model of the value of answers that operators configured."""
    return ValueModel(
        tuning.value_factor,
        tuning.priority_value_ratio,
        tuning.confidence_midpoint,
        tuning.confidence_width,
    )


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
    :param float queue_seconds: time that it waited in a queue.
    """

    objective_seconds: float
    elapsed_seconds: float
    expected_seconds: float
    queue_seconds: float = 0.0

    @property
    def late(self):
        """Whether a larger model would miss the latency objective."""
        total = self.elapsed_seconds + self.expected_seconds
        return total > self.objective_seconds

    @property
    def congestion(self):
        """Unusual wait in the queue, in latency objectives."""
        if self.objective_seconds <= 0.0:
            return math.inf
        share = self.queue_seconds / self.objective_seconds
        return max(0.0, share - USUAL_QUEUE_SHARE)


def first_size(sizes):
    """Return the size that runs a request first."""
    return sizes[0]


def larger_size(sizes, current, priority, confidence, value_model, timing):
    """Return the size to run instead, or None to keep the answer.

    Intermediate sizes are skipped: if a small model has little confidence in
    its answer, a slightly larger one is seldom good enough, and each further
    run processes the prompt again.

    :param tuple sizes: all sizes, smallest first.
    :param Size current: the size that gave the answer.
    :param int priority: priority of the route; 0 is the most urgent.
    :param float | None confidence: confidence of the current size in its
        answer, 0 to 1; None if it reported none, and the answer is kept.
    :param ValueModel value_model: the value of answers.
    :param Timing timing: the time that the request has taken.
    """
    largest = sizes[-1]
    if confidence is None or largest.model == current.model:
        return None
    gain = expected_gain(
        value_model.poor_answer_probability(confidence), timing.late
    )
    cost = 1.0 + CONGESTION_FACTOR * timing.congestion
    return largest if gain * value_model.value(priority) > cost else None


def expected_gain(poor_probability, late):
    """Return what a run of the largest model adds to an answer's value.

    The result is a share of the value of a good answer in time. It is
    negative if the delay loses more than the better answer adds.

    :param float poor_probability: probability that the answer at hand is
        poor.
    :param bool late: whether the other answer would miss the objective.
    """
    kept = 1.0 - (1.0 - POOR_ANSWER_VALUE_SHARE) * poor_probability
    replaced = LATE_ANSWER_VALUE_SHARE if late else 1.0
    return replaced - kept
