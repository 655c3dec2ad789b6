"""Builds the daily report on service levels, costs, bills and rollouts."""

import collections
import dataclasses
import math

from celeryward import metrics
from celeryward.operators import burn
from celeryward.operators import windows

DAY_SECONDS = 24 * 3600
# A bill is recorded up to this long before the end of its request, after which
# the request is counted.
BILL_LEAD_SECONDS = 10.0
MAX_LISTED_FINDINGS = 3
# Objectives that spent less of the daily budget and raised no alert are not
# reported.
MIN_REPORTED_SPENT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerDay:
    """Requests and costs of one customer in the last 24 hours.

    :param dict codes: number of requests by result code.
    :param int billed: number of billable requests.
    :param float strong_cost: cost if the strongest tier of each cascade
        had run alone.
    :param first_token: seconds to the first token.
    """

    name: str
    requests: int
    codes: dict[str, int]
    billed: int
    cost: float
    strong_cost: float
    first_token: metrics.Summary


@dataclasses.dataclass(frozen=True, slots=True)
class Reconciliation:
    """Comparison of the bills at the platform with the served requests.

    :param int served: billable requests that the daemons recorded.
    :param int bills: bills at the platform.
    :param int doubled: bills beyond the first of their request.
    """

    served: int
    bills: int
    doubled: int

    @property
    def missing(self):
        """Number of served requests without a bill."""
        return max(0, self.served - (self.bills - self.doubled))

    @property
    def ok(self):
        """Whether each served request has exactly one bill."""
        return not self.doubled and not self.missing


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem that the report points out.

    :param float weight: severity; a finding of 1.0 or more makes the
        verdict negative.
    :param str command: command that shows details.
    """

    weight: float
    text: str
    command: str


@dataclasses.dataclass(frozen=True, slots=True)
class HourSummary:
    """Requests of all customers in one hour.

    :param float start: UTC seconds.
    :param int late: requests whose first token came too late.
    :param float p95: 95th percentile of the seconds to the first token.
    """

    start: float
    requests: int
    failures: int
    late: int
    p95: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The daily report.

    :param float made_at: UTC seconds.
    :param worst: findings with the highest weights, the highest first.
    :param float newest_window_age: seconds since the end of the newest
        bucket.
    """

    made_at: float
    verdict: str
    worst: tuple[Finding, ...]
    customers: tuple[CustomerDay, ...]
    burns: tuple[burn.Burn, ...]
    bills: Reconciliation
    rollouts: tuple[str, ...]
    hours: tuple[HourSummary, ...]
    newest_window_age: float


def first_bucket_start(now):
    """Return the start of the first whole bucket of the last 24 hours."""
    buckets = math.ceil((now - DAY_SECONDS) / windows.BUCKET_SECONDS)
    return buckets * windows.BUCKET_SECONDS


def first_bill_time(now):
    """Return the time from which bills belong to the counted requests."""
    return first_bucket_start(now) - BILL_LEAD_SECONDS


def build(catalog, service_windows, bill_ids, now, customer=''):
    """Return the :class:`Report` of the 24 hours before a time.

    :param catalog: the :class:`catalog.Catalog` in force.
    :param service_windows: all :class:`windows.Window` of the daemons.
    :param bill_ids: ids of all bills of the same period.
    :param float now: UTC seconds.
    :param str customer: report on this customer only; empty for all.
    """
    buckets = select_buckets(service_windows, now, customer)
    grouped = group_by(buckets, lambda bucket: bucket.customer)
    customers = tuple(
        summarize_customer(name, customer_buckets)
        for name, customer_buckets in sorted(grouped.items())
    )
    burns = tuple(measure_burns(catalog, grouped, now))
    bills = reconcile(customers, bill_ids)
    findings = [
        *burn_findings(burns),
        *bill_findings(bills),
        *cost_findings(customers),
        *rollout_findings(catalog),
        *stale_window_findings(buckets, now),
    ]
    findings.sort(key=lambda finding: finding.weight, reverse=True)
    return Report(
        now,
        decide_verdict(findings, customers),
        tuple(findings[:MAX_LISTED_FINDINGS]),
        customers,
        burns,
        bills,
        tuple(describe_rollouts(catalog)),
        tuple(summarize_hours(buckets)),
        newest_window_age(buckets, now),
    )


def select_buckets(service_windows, now, customer):
    """Return the buckets of the report, as :func:`build` is told."""
    return [
        bucket
        for window in service_windows
        for bucket in window.buckets
        if first_bucket_start(now) <= bucket.start <= now
        and customer in ('', bucket.customer)
    ]


def measure_burns(catalog, grouped, now):
    """Yield the :class:`burn.Burn` of each customer and objective.

    :param dict grouped: buckets by customer.
    """
    for name, buckets in sorted(grouped.items()):
        level = catalog.service_level(name)
        for objective in burn.OBJECTIVES:
            yield burn.measure(name, objective, level, buckets, now)


def group_by(items, key):
    """Return a dictionary of lists of the items with equal keys."""
    grouped = collections.defaultdict(list)
    for item in items:
        grouped[key(item)].append(item)
    return grouped


def summarize_customer(name, buckets):
    """Return the :class:`CustomerDay` of a customer's buckets."""
    codes = collections.Counter()
    for bucket in buckets:
        codes.update(bucket.codes)
    return CustomerDay(
        name,
        sum(codes.values()),
        dict(codes.most_common()),
        sum(bucket.billed for bucket in buckets),
        sum(bucket.cost for bucket in buckets),
        sum(bucket.strong_cost for bucket in buckets),
        merge_latency(buckets).summary(),
    )


def merge_latency(buckets):
    """Return the merged first-token histogram of all buckets."""
    latency = metrics.LatencyHistogram()
    for bucket in buckets:
        if bucket.first_token:
            latency.add_encoded(bucket.first_token)
    return latency


def reconcile(customers, bill_ids):
    """Return the :class:`Reconciliation` of bills with requests."""
    counted = collections.Counter(bill_ids)
    total = sum(counted.values())
    served = sum(customer.billed for customer in customers)
    return Reconciliation(served, total, total - len(counted))


def burn_findings(burns):
    """Yield a finding for each objective with an alert or a spent budget."""
    for each in burns:
        if each.spent < MIN_REPORTED_SPENT and not each.severity:
            continue
        alert = f', alert: {each.severity}' if each.severity else ''
        yield Finding(
            max(each.spent, 1.0 if each.severity else 0.0),
            f'customer {each.customer}: {each.objective} missed by '
            f'{each.day.bad} of {each.day.total} requests, '
            f'{each.spent:.0%} of the error budget{alert}',
            f'celeryward report --customer={each.customer}',
        )


def bill_findings(bills):
    """Yield a finding for duplicate bills and one for missing bills."""
    if bills.doubled:
        yield Finding(
            1000.0 + bills.doubled,
            f'{bills.doubled} requests are billed more than once',
            'celeryward list BillBatch',
        )
    if bills.missing:
        yield Finding(
            500.0 + bills.missing,
            f'{bills.missing} served requests have no bill yet',
            'celeryward status',
        )


def cost_findings(customers):
    """Yield a finding where cascades cost more than the strongest tier."""
    for customer in customers:
        if customer.cost > customer.strong_cost > 0.0:
            yield Finding(
                customer.cost / customer.strong_cost,
                f'customer {customer.name}: cascades cost '
                f'{customer.cost:.2f}, the strongest tier alone '
                f'{customer.strong_cost:.2f}',
                'celeryward list Cascade',
            )


def rollout_findings(catalog):
    """Yield a finding for each halted rollout."""
    for rollout in catalog.rollouts.values():
        if rollout.state.value == 'halted':
            yield Finding(
                0.9,
                f'rollout {rollout.name} is halted',
                f'celeryward get Rollout {rollout.name}',
            )


def stale_window_findings(buckets, now):
    """Yield a finding if no daemon has written a window recently."""
    age = newest_window_age(buckets, now)
    if age > 2 * windows.BUCKET_SECONDS:
        yield Finding(
            1.0,
            f'the newest report of a daemon is {age / 60:.0f} minutes old',
            'celeryward status',
        )


def newest_window_age(buckets, now):
    """Return the seconds since the end of the newest bucket."""
    starts = [bucket.start for bucket in buckets]
    if not starts:
        return float(DAY_SECONDS)
    return max(0.0, now - max(starts) - windows.BUCKET_SECONDS)


def describe_rollouts(catalog):
    """Yield a line of text for each rollout."""
    for rollout in catalog.rollouts.values():
        yield (
            f'{rollout.name}: {rollout.model} {rollout.from_version} to '
            f'{rollout.to_version}, {rollout.state.value}, '
            f'share {rollout.share:.0%}'
        )


def summarize_hours(buckets):
    """Yield a :class:`HourSummary` for each hour, the oldest first."""
    grouped = group_by(
        buckets, lambda bucket: windows.hour_number(bucket.start)
    )
    for hour, hour_buckets in sorted(grouped.items()):
        yield HourSummary(
            hour * windows.HOUR_SECONDS,
            sum(bucket.requests for bucket in hour_buckets),
            sum(bucket.failures for bucket in hour_buckets),
            sum(bucket.late for bucket in hour_buckets),
            merge_latency(hour_buckets).percentile(95.0),
        )


def decide_verdict(findings, customers):
    """Return the verdict, which is the first line of the report."""
    requests = sum(customer.requests for customer in customers)
    if not requests:
        return 'No verdict: no request was recorded in the last 24 hours.'
    severe = sum(1 for finding in findings if finding.weight >= 1.0)
    if severe:
        plural = 'thing' if severe == 1 else 'things'
        return f'The day did not go well: {severe} {plural} to look at.'
    if findings:
        return f'The day went well, with {len(findings)} minor remarks.'
    return f'The day went well: {requests} requests, nothing to look at.'
