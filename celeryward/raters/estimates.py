"""Estimates of a plan's mean score, with confidence bounds."""

import dataclasses
import math
import statistics

# One-sided 95% normal quantile.
CONFIDENCE_Z = 1.645
# The normal approximation of the mean is not used below this count.
MIN_SAMPLES = 40
# Other customers with enough samples below which no prior is formed.
MIN_CUSTOMERS = 3
# The variance between customers is estimated from few of them, so it is
# doubled, and the standard deviation is taken as at least 0.01.
SPREAD_FACTOR = 2.0
MIN_SPREAD_VARIANCE = 0.01**2
# Widens the margin by half a sample at the lowest or highest score, so that
# equal samples, with a variance of 0, do not look certain.
MARGIN_CORRECTION_SAMPLES = 0.5
COST_WINDOW = 200
# Number of recent samples that are compared with the older ones, and the
# distance in standard errors that counts as a change. The comparison is
# repeated often, so the distance is far larger than for a single test.
RECENT_SAMPLES = 60
SHIFT_Z = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A rated request; samples are grouped by the tier at which it started.

    :param float score: score of the start tier's answer.
    :param float threshold: score below which the request was escalated.
    :param float escalated_score: score of the strongest tier's answer, if
        it ran and was rated.
    """

    score: float
    threshold: float
    escalated_score: float | None = None

    def score_at(self, threshold):
        """Return the score that the request would have at a threshold.

        An unrated answer of the strongest tier gets the score of the
        rejected one: to leave such samples out would bias the mean upwards.

        :param float threshold: at most the threshold of the sample.
        """
        if self.score >= threshold or self.escalated_score is None:
            return self.score
        return self.escalated_score


@dataclasses.dataclass(frozen=True, slots=True)
class Mean:
    """A moving average with exponential decay once the window is full."""

    count: int = 0
    value: float = 0.0

    def add(self, value):
        """Return the mean with one more value."""
        count = min(self.count + 1, COST_WINDOW)
        return Mean(count, self.value + (value - self.value) / count)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Statistics of the scores of one plan for one kind of request.

    :param float escalation_rate: fraction of the requests escalated.
    """

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0
    escalation_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Lower and upper confidence bound of a mean score."""

    lower: float = 0.0
    upper: float = 1.0


UNKNOWN = Bounds()


def has_mean_shift(scores):
    """Return whether the mean of the newest scores differs from the rest."""
    recent = scores[-RECENT_SAMPLES:]
    older = scores[:-RECENT_SAMPLES]
    if len(older) < RECENT_SAMPLES:
        return False
    distance = abs(statistics.fmean(recent) - statistics.fmean(older))
    variance = max(MIN_SPREAD_VARIANCE, statistics.pvariance(older))
    return distance > SHIFT_Z * math.sqrt(variance / RECENT_SAMPLES)


def collect_evidence(samples, threshold):
    """Return the :class:`Evidence` of samples for a threshold."""
    usable = [one for one in samples if one.threshold >= threshold]
    if len(usable) < 2:
        return Evidence()
    values = [one.score_at(threshold) for one in usable]
    escalated = sum(one.score < threshold for one in usable)
    mean = statistics.fmean(values)
    squares = sum((value - mean) ** 2 for value in values)
    count = len(values)
    return Evidence(count, mean, squares / (count - 1), escalated / count)


def bounds(own, others):
    """Return the :class:`Bounds` of a plan's mean score.

    With enough other customers, the distribution of their means is the prior
    for this one (empirical Bayes with normal prior and likelihood); without
    them only its own samples count.

    :param Evidence own: evidence of this customer.
    :param list others: evidence of other customers for the same plan.
    """
    known = [one for one in others if one.count >= MIN_SAMPLES]
    if len(known) < MIN_CUSTOMERS:
        if own.count < MIN_SAMPLES:
            return UNKNOWN
        return confidence_interval(
            own.mean, own.variance / own.count, own.count
        )
    prior_mean, prior_variance = prior(known)
    spread = statistics.fmean(one.variance for one in known)
    if own.count >= MIN_SAMPLES:
        spread = max(own.variance, MIN_SPREAD_VARIANCE)
    weight = own.count / max(spread, MIN_SPREAD_VARIANCE)
    precision = 1 / prior_variance + weight
    mean = (prior_mean / prior_variance + own.mean * weight) / precision
    count = own.count + sum(one.count for one in known)
    return confidence_interval(mean, 1 / precision, count)


def prior(known):
    """Return mean and variance of the prior for another customer's mean."""
    means = [one.mean for one in known]
    noise = statistics.fmean(one.variance / one.count for one in known)
    spread = max(MIN_SPREAD_VARIANCE, statistics.variance(means) - noise)
    widened = SPREAD_FACTOR * spread * (1 + 1 / len(known))
    return statistics.fmean(means), widened


def confidence_interval(mean, variance, count):
    """Return the confidence bounds around a mean."""
    margin = (
        CONFIDENCE_Z * math.sqrt(variance) + MARGIN_CORRECTION_SAMPLES / count
    )
    return Bounds(mean - margin, mean + margin)
