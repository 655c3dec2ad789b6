"""Burn rates of the error budgets over several windows.

The error budget of an objective is the share of requests that may miss it.
At a burn rate of 1 the budget lasts exactly for the period of the objective.
An alert requires a high burn rate in a long and in a short window: the long
window shows that the errors are significant, the short one that they continue.
"""

import dataclasses

MINUTE = 60
HOUR = 60 * MINUTE
WINDOW_SECONDS = {
    '5 min': 5 * MINUTE,
    '30 min': 30 * MINUTE,
    '1 h': HOUR,
    '6 h': 6 * HOUR,
    '24 h': 24 * HOUR,
}


@dataclasses.dataclass(frozen=True, slots=True)
class AlertRule:
    """Condition of an alert on two windows.

    :param float min_rate: burn rate that both windows must reach to raise
        the alert.
    """

    severity: str
    long_window: str
    short_window: str
    min_rate: float


# For an objective over 30 days: 14.4 spends 2% of its budget in an hour, 6.0
# spends 5% in six hours.
ALERT_RULES = (
    AlertRule('page', '1 h', '5 min', 14.4),
    AlertRule('ticket', '6 h', '30 min', 6.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCount:
    """Number of all requests and of those that missed the objective."""

    total: int = 0
    bad: int = 0

    def __add__(self, other):
        return RequestCount(self.total + other.total, self.bad + other.bad)

    @property
    def miss_ratio(self):
        """Share of requests that missed; 0.0 without requests."""
        return self.bad / self.total if self.total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """Burn rates of one objective of one customer.

    :param float target: share of requests that must meet the objective.
    :param RequestCount day: requests of the last 24 hours.
    :param dict rates: burn rate by name of the window.
    :param float spent: share of the budget of the last 24 hours that is
        spent; 1.0 is the whole budget.
    :param str severity: severity of the alert that is raised, or empty.
    """

    customer: str
    objective: str
    target: float
    day: RequestCount
    rates: dict[str, float]
    spent: float
    severity: str


OBJECTIVES = ('availability', 'in_time')


def count_bucket(bucket, objective):
    """Return the :class:`RequestCount` of a bucket for an objective.

    :param windows.Bucket bucket: bucket to count.
    :param str objective: one of ``OBJECTIVES``.
    """
    if objective == 'availability':
        return RequestCount(bucket.requests, bucket.failures)
    return RequestCount(bucket.requests, bucket.late)


def measure(customer, objective, level, buckets, now):
    """Return the :class:`Burn` of one objective of one customer.

    :param catalog.ServiceLevel level: targets agreed with the customer.
    :param buckets: buckets of this customer.
    :param float now: UTC seconds.
    """
    target = getattr(level, objective)
    budget = 1.0 - target
    counts = {
        name: sum(
            (
                count_bucket(bucket, objective)
                for bucket in buckets
                if now - seconds < bucket.start + 5 * MINUTE
                and bucket.start <= now
            ),
            start=RequestCount(),
        )
        for name, seconds in WINDOW_SECONDS.items()
    }
    rates = {name: count.miss_ratio / budget for name, count in counts.items()}
    return Burn(
        customer,
        objective,
        target,
        counts['24 h'],
        rates,
        rates['24 h'],
        alert_severity(rates),
    )


def alert_severity(rates):
    """Return the severity of the first rule that the rates meet, or empty."""
    for rule in ALERT_RULES:
        if (
            rates[rule.long_window] >= rule.min_rate
            and rates[rule.short_window] >= rule.min_rate
        ):
            return rule.severity
    return ''
