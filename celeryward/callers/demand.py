"""Measured demand of customers at one daemon, summarised for its peers."""

import dataclasses
import math

from celeryward import durations

# Short enough to follow a change of demand within seconds, long enough that
# a customer with one request each second is not taken to be idle.
HALF_LIFE_SECONDS = 5.0
DECAY_PER_SECOND = math.log(2) / HALF_LIFE_SECONDS
# A new summary is sent once an entry has changed by this fraction. Smaller
# changes alter the shares less than the delay of gossip does.
DEAD_BAND = 0.2
NOISE_DEVIATIONS = 3.0
# Bounds the size of a summary, which lists the customers with the highest
# cost and rate. Costs of the others are not counted at other daemons.
MAX_CUSTOMERS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerDemand:
    """Demand of one customer at one daemon.

    :param float rate: offered requests each second, refused ones included.
    :param float concurrent: requests that would run at once.
    :param float cost: cost units charged on the day of the summary.
    """

    customer: str
    rate: float = 0.0
    concurrent: float = 0.0
    cost: float = 0.0

    def differs(self, other):
        """Return whether the demand is outside another's dead band."""
        band = dead_band(max(self.rate, other.rate))
        return (
            _outside_band(self.rate, other.rate, band)
            or _outside_band(self.concurrent, other.concurrent, band)
            or _outside_band(self.cost, other.cost, DEAD_BAND)
        )


def dead_band(rate):
    """Return the fraction by which a rate may change unannounced.

    The relative noise of a rate that is measured from random arrivals grows
    as the rate falls. A difference of two measurements within three
    standard deviations is not significant.
    """
    if rate <= 0.0:
        return DEAD_BAND
    deviation = math.sqrt(DECAY_PER_SECOND / rate)
    return max(DEAD_BAND, NOISE_DEVIATIONS * deviation)


def _outside_band(ours, theirs, band):
    return abs(ours - theirs) > band * max(ours, theirs, 0.1)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for one model at one daemon.

    :param float wanted: requests that run or wait.
    """

    model: str
    wanted: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Summary of the demand at one daemon, spread by gossip.

    :param str daemon: name of this run of the daemon. A restarted daemon
        uses a new one, so that the costs before the restart still count.
    :param int sequence: grows with each summary of the daemon.
    :param int day: days since 1970 in UTC, to which the costs belong.
    """

    daemon: str
    sequence: int = 0
    day: int = 0
    customers: tuple[CustomerDemand, ...] = ()
    models: tuple[ModelDemand, ...] = ()

    def of_customer(self, name):
        """Return the demand of a customer, zero if it is not listed."""
        for entry in self.customers:
            if entry.customer == name:
                return entry
        return CustomerDemand(name)

    def of_model(self, name):
        """Return the requests for a model that run or wait."""
        return sum(
            entry.wanted for entry in self.models if entry.model == name
        )

    def differs(self, other):
        """Return whether this summary must be sent after another."""
        if self.day != other.day:
            return True
        names = {entry.customer for entry in self.customers + other.customers}
        moved = any(
            self.of_customer(name).differs(other.of_customer(name))
            for name in names
        )
        models = {entry.model for entry in self.models + other.models}
        return moved or any(
            abs(self.of_model(name) - other.of_model(name))
            > DEAD_BAND * max(self.of_model(name), other.of_model(name), 1.0)
            for name in models
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DecayingCount:
    """A count of events that decays exponentially.

    :param float updated_at: seconds on the monotonic clock.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now):
        """Return the decayed value at a later time."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-DECAY_PER_SECOND * elapsed)

    def add(self, now, amount=1.0):
        """Return the count with an amount added."""
        return DecayingCount(self.value_at(now) + amount, now)

    def per_second(self, now):
        """Return the rate of events in steady state with this count."""
        return self.value_at(now) * DECAY_PER_SECOND


class DemandMeter:
    """Measures the demand of each customer at this daemon."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.sequence = 0
        self.day = 0
        self.request_counts = {}
        self.mean_durations = {}
        self.mean_costs = {}
        self.costs_today = {}

    def record_request(self, customer, now):
        """Count a request, whether it is admitted or not."""
        count = self.request_counts.get(customer, DecayingCount())
        self.request_counts[customer] = count.add(now)

    def record_duration(self, customer, seconds):
        """Update the mean duration of a customer's admitted requests."""
        mean = self.mean_durations.get(customer)
        self.mean_durations[customer] = durations.updated_mean(mean, seconds)

    def charge(self, customer, cost, day):
        """Add the cost of a request to the customer's costs of the day."""
        self.start_day(day)
        self.costs_today[customer] = self.costs_today.get(customer, 0.0) + cost
        mean = self.mean_costs.get(customer)
        self.mean_costs[customer] = durations.updated_mean(mean, cost)

    def start_day(self, day):
        """Clear the costs of an earlier day."""
        if day > self.day:
            self.day = day
            self.costs_today = {}

    def summary(self, now, day, models=()):
        """Return the next :class:`Demand`.

        :param tuple models: a :class:`ModelDemand` for each queue.
        """
        self.start_day(day)
        self.sequence += 1
        names = self.request_counts.keys() | self.costs_today.keys()
        entries = [self.of_customer(name, now) for name in names]
        entries = sorted(
            (entry for entry in entries if entry.rate or entry.cost),
            key=lambda entry: (-entry.cost, -entry.rate, entry.customer),
        )
        return Demand(
            self.daemon,
            self.sequence,
            day,
            tuple(entries[:MAX_CUSTOMERS]),
            tuple(models),
        )

    def of_customer(self, name, now):
        """Return the :class:`CustomerDemand` of one customer.

        By Little's law, the requests that would run at once are the offered
        rate times the mean duration. The rate includes refused requests.
        """
        rate = self.request_counts.get(name, DecayingCount()).per_second(now)
        rate = rate if rate > 0.001 else 0.0
        concurrent = rate * self.mean_durations.get(name, 0.0)
        cost = self.costs_today.get(name, 0.0)
        return CustomerDemand(
            name, round(rate, 3), round(concurrent, 3), round(cost, 3)
        )
