"""The report that says whether the day went well."""

import collections
import dataclasses

from celeryward import metrics
from celeryward.operators import burn
from celeryward.operators import windows

DAY_SECONDS = 24 * 3600
MAX_LISTED_FINDINGS = 3
# Below this share of the daily budget an objective is no finding.
MIN_REPORTED_SPENT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerDay:
    """What one customer received in the last 24 hours.

    :param float strong_cost: cost if the strongest tier of each cascade
        had run alone.
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
    """Check of the bills at the platform against the requests served.

    :param int served: billable requests that the daemons recorded.
    :param int bills: bills at the platform.
    :param int doubled: bills whose request has another bill.
    """

    served: int
    bills: int
    doubled: int

    @property
    def missing(self):
        """Served requests without a bill."""
        return max(0, self.served - (self.bills - self.doubled))

    @property
    def ok(self):
        """Whether each served request has exactly one bill."""
        return not self.doubled and not self.missing


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that did not go well.

    :param float weight: higher is worse; 1.0 and more spoils the day.
    :param str command: the command that shows more.
    """

    weight: float
    text: str
    command: str


@dataclasses.dataclass(frozen=True, slots=True)
class HourSummary:
    """Requests and failures in one hour."""

    start: float
    requests: int
    failures: int
    late: int
    p95: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The whole report; times are UTC seconds."""

    made_at: float
    verdict: str
    worst: tuple[Finding, ...]
    customers: tuple[CustomerDay, ...]
    burns: tuple[burn.Burn, ...]
    bills: Reconciliation
    rollouts: tuple[str, ...]
    hours: tuple[HourSummary, ...]
    newest_window_age: float


def build(catalog, service_windows, bill_ids, now, customer=''):
    """Return the :class:`Report` of the 24 hours before a time.

    :param catalog: the :class:`catalog.Catalog` in force.
    :param service_windows: all :class:`windows.Window` of the daemons.
    :param bill_ids: identities of all bills of the same time.
    :param float now: UTC seconds.
    :param str customer: report on this customer only; empty for all.
    """
    buckets = [
        bucket
        for window in service_windows
        for bucket in window.buckets
        if now - DAY_SECONDS <= bucket.start <= now
        and customer in ('', bucket.customer)
    ]
    grouped = group_by(buckets, lambda bucket: bucket.customer)
    customers = tuple(
        summarize_customer(name, customer_buckets)
        for name, customer_buckets in sorted(grouped.items())
    )
    burns = tuple(
        burn.measure(
            name, objective, catalog.service_level(name), customer_buckets, now
        )
        for name, customer_buckets in sorted(grouped.items())
        for objective in burn.OBJECTIVES
    )
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


def group_by(items, key):
    """Return the items as lists by key."""
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
    """Return one histogram of the first tokens of all buckets."""
    latency = metrics.Latency()
    for bucket in buckets:
        if bucket.first_token:
            latency.add_encoded(bucket.first_token)
    return latency


def reconcile(customers, bill_ids):
    """Return the :class:`Reconciliation` of bills and requests."""
    counted = collections.Counter(bill_ids)
    total = sum(counted.values())
    served = sum(customer.billed for customer in customers)
    return Reconciliation(served, total, total - len(counted))


def burn_findings(burns):
    """Yield a finding for each objective that uses up its budget."""
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
    """Yield a finding if bills are doubled or missing."""
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
    """Yield a finding where cascades cost more than the strong model."""
    for customer in customers:
        if customer.cost > customer.strong_cost > 0.0:
            yield Finding(
                customer.cost / customer.strong_cost,
                f'customer {customer.name}: cascades cost '
                f'{customer.cost:.2f}, the strong model alone '
                f'{customer.strong_cost:.2f}',
                'celeryward list Cascade',
            )


def rollout_findings(catalog):
    """Yield a finding for each halted roll-out."""
    for rollout in catalog.rollouts.values():
        if rollout.state.value == 'halted':
            yield Finding(
                0.9,
                f'roll-out {rollout.name} is halted',
                f'celeryward get Rollout {rollout.name}',
            )


def stale_window_findings(buckets, now):
    """Yield a finding if no daemon has reported lately."""
    age = newest_window_age(buckets, now)
    if age > 2 * windows.BUCKET_SECONDS:
        yield Finding(
            1.0,
            f'the newest report of a daemon is {age / 60:.0f} minutes old',
            'celeryward status',
        )


def newest_window_age(buckets, now):
    """Return the age in seconds of the newest bucket's end."""
    starts = [bucket.start for bucket in buckets]
    if not starts:
        return float(DAY_SECONDS)
    return max(0.0, now - max(starts) - windows.BUCKET_SECONDS)


def describe_rollouts(catalog):
    """Yield a line for each roll-out."""
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
    """Return the first line of the report."""
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
