"""Distributed limits of customers, divided among daemons by demand.

All daemons compute the shares from the same summaries, so that the shares
add up to the limit once gossip has spread the summaries. In a network
partition, the daemons of each side divide only their part of the limit.
"""

import collections
import dataclasses
import math

import result

from celeryward.callers import demand
from celeryward import deadlines
from celeryward import errors

# Demand that is added to the measured one, as a fraction of the limit, in
# equal parts for all daemons. It gives a share to a daemon that had no
# requests yet, and keeps shares from following the noise of a demand near
# zero.
ASSUMED_FRACTION = 0.1
# Capacity of a token bucket, in seconds of its rate.
BURST_SECONDS = 1.0
CONCURRENCY_RETRY_SECONDS = 1.0
DAY_SECONDS = 86_400


def divide(limit, daemon, demands, daemon_count, scale):
    """Return this daemon's share of a limit, in proportion to its demand.

    :param str daemon: name of this daemon.
    :param dict demands: demand by name of each reachable daemon, this one
        included.
    :param int daemon_count: number of daemons, reachable or not.
    :param float scale: demand that would use up the limit.
    """
    part = limit * min(1.0, len(demands) / max(1, daemon_count))
    weights = add_assumed_demand(demands, scale)
    return part * weights[daemon] / sum(weights.values())


def apportion(limit, daemon, demands, daemon_count):
    """Return this daemon's share of a limit as an integer.

    Uses the largest remainder method: the shares of the daemons that reach
    each other add up to their part of the limit, rounded down. A partition
    whose part is less than one gets one, so that it can serve requests; the
    limit is exceeded by at most one for each such partition.
    """
    fraction = min(1.0, len(demands) / max(1, daemon_count))
    part = max(1, math.floor(limit * fraction))
    weights = add_assumed_demand(demands, limit)
    total = sum(weights.values())
    exact = {name: part * value / total for name, value in weights.items()}
    rounded_down = {name: math.floor(value) for name, value in exact.items()}
    remaining = part - sum(rounded_down.values())
    by_remainder = sorted(
        exact, key=lambda name: (rounded_down[name] - exact[name], name)
    )
    return rounded_down[daemon] + (daemon in by_remainder[:remaining])


def add_assumed_demand(demands, scale):
    """Return the demand of each daemon plus its assumed demand.

    :param float scale: demand that would use up the limit.
    """
    assumed = max(ASSUMED_FRACTION * scale, 1e-6) / len(demands)
    return {name: value + assumed for name, value in demands.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """Cost of a customer on the current day, in cost units.

    :param float all_daemons: sum over all daemons with a summary.
    :param float reachable: sum over the reachable daemons.
    """

    all_daemons: float
    reachable: float


class Shares:
    """Demand of all daemons, and this daemon's shares of the limits.

    :param str daemon: name of this run of the daemon; a restarted daemon
        has another.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.summaries = {daemon: demand.Demand(daemon)}
        self.reachable = frozenset((daemon,))
        self.daemon_count = 1
        self.day = 0
        self.spending_baselines = {}
        self.by_customer = {}
        self.by_model = {}
        self.cache = {}

    def accept(self, summary):
        """Store a summary of any daemon, unless a newer one is known."""
        previous = self.summaries.get(summary.daemon)
        if previous is not None and summary.sequence <= previous.sequence:
            return
        self.summaries[summary.daemon] = summary
        if summary.daemon == self.daemon:
            self.cache.clear()
        for entries in (*self.by_customer.values(), *self.by_model.values()):
            entries.pop(summary.daemon, None)
        for entry in summary.customers:
            entries = self.by_customer.setdefault(entry.customer, {})
            entries[summary.daemon] = entry
        for entry in summary.models:
            entries = self.by_model.setdefault(entry.model, {})
            entries[summary.daemon] = entry

    def set_members(self, reachable, daemon_count):
        """Set which daemons are reachable, and how many there are.

        A change sets the spending baseline of each customer: only the
        budget that remains at this moment is divided. Without a baseline,
        a partition would divide the rest of a budget again each time it
        has spent its part.
        """
        reachable = frozenset(reachable) | {self.daemon}
        daemon_count = max(daemon_count, len(reachable))
        if reachable != self.reachable or daemon_count != self.daemon_count:
            self.cache.clear()
            self.reachable = reachable
            self.daemon_count = daemon_count
            self.spending_baselines = {
                name: self.spending(name) for name in self.by_customer
            }

    def start_day(self, day):
        """Begin a new day, unless it has begun already.

        Drops the summaries of unreachable daemons from earlier days. Until
        then the costs of daemons that have ended count towards the day.
        """
        if day <= self.day:
            return
        self.day = day
        self.spending_baselines = {}
        self.cache.clear()
        for name in list(self.summaries):
            ended = name not in self.reachable
            if ended and self.summaries[name].day < day:
                self.drop_daemon(name)

    def drop_daemon(self, name):
        """Delete the summary of a daemon."""
        del self.summaries[name]
        for entries in (*self.by_customer.values(), *self.by_model.values()):
            entries.pop(name, None)

    def cached(self, function, name, limit):
        """Return a share, computed once for each summary of this daemon.

        With 340 daemons, computing shares anew for each summary of a peer
        takes 2.9% of a core, which is more than the control loops of a
        daemon may take.

        :param function: a method of this object that returns a share.
        """
        key = (function, name, limit)
        if key not in self.cache:
            self.cache[key] = function(name, limit)
        return self.cache[key]

    def demand_by_daemon(self, entries, field):
        """Return the demand of each reachable daemon by its name.

        :param dict entries: by name of daemon, as far as there is one.
        :param str field: name of the field of an entry.
        """
        return {
            name: getattr(entries[name], field) if name in entries else 0.0
            for name in self.reachable
        }

    def customer_demand_by_daemon(self, name, field):
        """Return a customer's demand at each reachable daemon by its name."""
        return self.demand_by_daemon(self.by_customer.get(name, {}), field)

    def rate(self, name, limit):
        """Return this daemon's share of a rate limit, in requests/s."""
        demands = self.customer_demand_by_daemon(name, 'rate')
        return divide(limit, self.daemon, demands, self.daemon_count, limit)

    def concurrent(self, name, limit):
        """Return this daemon's share of a limit of concurrent requests."""
        demands = self.customer_demand_by_daemon(name, 'concurrent')
        return apportion(limit, self.daemon, demands, self.daemon_count)

    def slots(self, model, total):
        """Return this daemon's share of a model's slots, at least one."""
        demands = self.demand_by_daemon(self.by_model.get(model, {}), 'wanted')
        return max(
            1, apportion(total, self.daemon, demands, self.daemon_count)
        )

    def cost(self, name, limit):
        """Return this daemon's share of the rest of a cost budget.

        The costs up to the daemon's last summary are subtracted already.
        """
        baseline = self.spending_baselines.get(name, Spending(0.0, 0.0))
        spent = self.spending(name).reachable - baseline.reachable
        part = len(self.reachable) / max(1, self.daemon_count)
        remaining = part * (limit - baseline.all_daemons) - spent
        demands = self.customer_demand_by_daemon(name, 'rate')
        # The number of demands as the number of daemons: the part of the
        # reachable daemons is already computed above.
        total = sum(demands.values())
        return divide(
            max(0.0, remaining), self.daemon, demands, len(demands), total
        )

    def spending(self, name):
        """Return the :class:`Spending` of a customer, from the summaries."""
        costs = {
            daemon: entry.cost
            for daemon, entry in self.by_customer.get(name, {}).items()
            if self.summaries[daemon].day == self.day
        }
        return Spending(
            sum(costs.values()),
            sum(costs.get(daemon, 0.0) for daemon in self.reachable),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBucket:
    """Token bucket of a rate limit.

    :param float updated_at: seconds on the monotonic clock.
    """

    tokens: float
    updated_at: float

    def refilled(self, rate, now):
        """Return the bucket as it is at a later time.

        :param float rate: tokens a second.
        """
        capacity = max(1.0, rate * BURST_SECONDS)
        tokens = self.tokens + rate * max(0.0, now - self.updated_at)
        return TokenBucket(min(capacity, tokens), now)


class Limiter:
    """Enforces this daemon's shares of the limits of each customer.

    :param str daemon: name of this run of the daemon.
    """

    def __init__(self, daemon):
        self.shares = Shares(daemon)
        self.meter = demand.DemandMeter(daemon)
        self.buckets = {}
        self.running = collections.Counter()

    def acquire(self, customer, now, utc_seconds):
        """Admit one request, or return ``Err(LimitExceeded)``.

        :param float now: seconds on the monotonic clock.
        :param float utc_seconds: time that determines the day of budgets.
        """
        day = day_of(utc_seconds)
        self.shares.start_day(day)
        self.meter.start_day(day)
        self.meter.record_request(customer.name, now)
        # A token is taken last, so that a refusal costs none.
        refusal = (
            self.check_concurrent(customer, now)
            or self.check_cost(customer, now, utc_seconds)
            or self.take_token(customer, now)
        )
        if refusal is not None:
            return result.Err(refusal)
        self.running[customer.name] += 1
        return result.Ok(None)

    def release(self, customer, seconds):
        """Record the end of an admitted request.

        :param float seconds: its duration.
        """
        self.running[customer.name] -= 1
        self.meter.record_duration(customer.name, seconds)

    def charge(self, customer_name, cost, day):
        """Charge the cost of a request to the customer's daily budget."""
        self.meter.charge(customer_name, cost, day)

    def check_concurrent(self, customer, now):
        """Return the error if all of the customer's share runs, or None."""
        if not customer.limits.concurrent:
            return None
        share = self.shares.cached(
            self.shares.concurrent, customer.name, customer.limits.concurrent
        )
        if self.running[customer.name] < share:
            return None
        return _exceeded(
            customer,
            f'{share} requests of the customer may run at this daemon',
            now + CONCURRENCY_RETRY_SECONDS,
        )

    def check_cost(self, customer, now, utc_seconds):
        """Return the error if the daily budget is used up, or None.

        Running requests count with the mean cost of the customer's
        requests, because their actual cost is not known yet.
        """
        if not customer.limits.cost_per_day:
            return None
        name = customer.name
        announced = self.shares.summaries[self.meter.daemon]
        announced_cost = 0.0
        if announced.day == self.meter.day:
            announced_cost = announced.of_customer(name).cost
        mean = self.meter.mean_costs.get(name, 0.0)
        spent = self.meter.costs_today.get(name, 0.0) - announced_cost
        running_cost = (self.running[name] + 1) * mean
        share = self.shares.cached(
            self.shares.cost, name, customer.limits.cost_per_day
        )
        if spent + running_cost <= share:
            return None
        used = self.shares.spending(name).all_daemons + spent
        if used >= customer.limits.cost_per_day:
            return _exceeded(
                customer,
                'the cost budget of the day is used up',
                now + DAY_SECONDS - utc_seconds % DAY_SECONDS,
            )
        return _exceeded(
            customer,
            'the rest of the cost budget is held by running requests or '
            'other daemons',
            now + demand.HALF_LIFE_SECONDS,
        )

    def take_token(self, customer, now):
        """Take a token, or return the error that the rate is exceeded."""
        if not customer.limits.requests_per_s:
            return None
        rate = self.shares.cached(
            self.shares.rate, customer.name, customer.limits.requests_per_s
        )
        bucket = self.buckets.get(customer.name, TokenBucket(math.inf, now))
        bucket = bucket.refilled(rate, now)
        self.buckets[customer.name] = bucket
        if bucket.tokens < 1.0:
            return _exceeded(
                customer,
                f'{customer.limits.requests_per_s:g} requests a second are '
                'allowed over all daemons',
                now + (1.0 - bucket.tokens) / rate,
            )
        self.buckets[customer.name] = TokenBucket(bucket.tokens - 1.0, now)
        return None

    def summary(self, now, day, models=()):
        """Return this daemon's next :class:`demand.Demand`, and accept it.

        Shares are computed from summaries only. A daemon that used its own
        figures before they are announced would compute a share that its
        peers don't account for.
        """
        self.shares.start_day(day)
        summary = self.meter.summary(now, day, models)
        self.shares.accept(summary)
        return summary


def day_of(utc_seconds):
    """Return the number of days from 1970 to a time, in UTC."""
    return int(utc_seconds // DAY_SECONDS)


def _exceeded(customer, message, retry_at):
    return errors.LimitExceeded(
        message,
        step='admit',
        peer=customer.name,
        retry_at=deadlines.Deadline(retry_at),
    )
