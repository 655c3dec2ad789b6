"""How exactly daemons divide a limit while demand moves or a link is cut.

Summaries reach each peer after a random delay. The demand of one customer
moves from the first daemons to the last ones, then one failure domain is
cut off, which the daemons notice later, and comes back.
"""

import dataclasses
import random
import time

import msgspec

from celeryward.callers import demand
from celeryward.callers import limits

LIMIT_PER_SECOND = 1_000.0
LIMIT_CONCURRENT = 500
SECONDS = 120
MOVE_AT = 30
CUT_AT = 60
HEAL_AT = 90
NOTICE_SECONDS = 3
OFFERED_PER_SECOND = 1_500.0
CUSTOMERS = 10
LARGE_FLEET = 340
# 1 KB/s brings about this many summaries of 200 bytes.
SUMMARIES_PER_SECOND = 5
ROUNDS = 200
PEAK_PER_SECOND = 2_300
RESEND_SECONDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet.

    :param int cut: number of daemons in the failure domain that is cut.
    :param float longest_delay: seconds that a summary takes at most.
    """

    daemons: int
    cut: int
    longest_delay: float


SCENARIOS = (Scenario(7, 2, 2.0), Scenario(40, 5, 5.0))


class Fleet:
    """The shares of all daemons, computed from delayed summaries."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.names = [f'daemon-{n:03d}' for n in range(scenario.daemons)]
        self.shares = {name: limits.Shares(name) for name in self.names}
        self.sequence = 0
        self.last = {}
        self.under_way = []

    def side(self, name, second, delay=0):
        """Return the daemons that one can reach."""
        cut = CUT_AT + delay <= second < HEAL_AT + delay
        if not cut:
            return self.names
        behind = self.names[-self.scenario.cut :]
        before = self.names[: -self.scenario.cut]
        return behind if name in behind else before

    def offered(self, second):
        """Return the demand at each daemon: at a third of them."""
        third = max(1, len(self.names) // 3)
        busy = self.names[:third]
        if second >= MOVE_AT:
            busy = self.names[-third:]
        return {
            name: OFFERED_PER_SECOND / third if name in busy else 0.0
            for name in self.names
        }

    def step(self, second):
        """Send, deliver and apply the summaries of one second."""
        offered = self.offered(second)
        for name in self.names:
            # The measured rate follows the offered one with its half-life.
            before = self.last.get(name)
            rate = before.customers[0].rate if before else 0.0
            rate += (offered[name] - rate) * demand.DECAY_PER_SECOND
            self.send(name, rate, second)
        for arrival in [each for each in self.under_way if each[0] <= second]:
            self.under_way.remove(arrival)
            _, source, target, summary = arrival
            if source in self.side(target, second):
                self.shares[target].accept(summary)
        for name, held in self.shares.items():
            side = self.side(name, second, NOTICE_SECONDS)
            held.set_members(side, len(self.names))
        return offered

    def send(self, name, rate, second):
        """Send a summary to every peer if it is worth sending."""
        self.sequence += 1
        entry = demand.CustomerDemand('customer', rate, rate * 0.5)
        summary = demand.Demand(name, self.sequence, 0, (entry,))
        before = self.last.get(name)
        self.last[name] = summary
        sent = self.shares[name].summaries[name]
        if before is not None and not summary.differs(sent):
            return
        self.shares[name].accept(summary)
        for target in self.names:
            if target != name:
                delay = self.rng.uniform(0.0, self.scenario.longest_delay)
                self.under_way.append((second + delay, name, target, summary))

    def sums(self):
        """Return the sums of the rate and of the concurrent shares."""
        rate = sum(
            held.rate('customer', LIMIT_PER_SECOND)
            for held in self.shares.values()
        )
        concurrent = sum(
            held.concurrent('customer', LIMIT_CONCURRENT)
            for held in self.shares.values()
        )
        return rate / LIMIT_PER_SECOND, concurrent / LIMIT_CONCURRENT

    def used(self, offered):
        """Return the part of the limit that is used, of what could be."""
        used = sum(
            min(offered[name], held.rate('customer', LIMIT_PER_SECOND))
            for name, held in self.shares.items()
        )
        return used / LIMIT_PER_SECOND

    def used_static(self, offered):
        """Return the same for equal, fixed shares."""
        share = LIMIT_PER_SECOND / len(self.names)
        used = sum(min(value, share) for value in offered.values())
        return used / LIMIT_PER_SECOND


def measure(seed):
    """Print sums of shares and the used part of the limit."""
    periods = (
        ('steady', 15, MOVE_AT),
        ('demand moves', MOVE_AT, CUT_AT),
        ('cut off', CUT_AT, HEAL_AT),
        ('joined again', HEAL_AT, SECONDS),
    )
    for scenario in SCENARIOS:
        fleet = Fleet(scenario, seed)
        rows = []
        for second in range(SECONDS):
            offered = fleet.step(second)
            rows.append(
                (
                    *fleet.sums(),
                    fleet.used(offered),
                    fleet.used_static(offered),
                )
            )
        print(f'{scenario}')
        for title, first, last in periods:
            print(f'  {title}: {describe(rows[first:last])}')
    print_size()
    print_cost()
    print_resends(seed)


def describe(rows):
    """Return the figures of one period as a line."""
    rates, concurrents, used, static = zip(*rows)
    beyond = sum(abs(value - 1.0) > 0.1 for value in rates)
    return (
        f'sum of rates / limit {min(rates):.2f} to {max(rates):.2f}, '
        f'{beyond} s beyond 10%; '
        f'concurrent {min(concurrents):.2f} to {max(concurrents):.2f}; '
        f'limit used {sum(used) / len(used):.2f}, '
        f'by static shares {sum(static) / len(static):.2f}'
    )


def make_summary(name, sequence):
    """Return a summary of all customers."""
    entries = tuple(
        demand.CustomerDemand(f'customer-{n}', 12.345, 6.789, 1234.567)
        for n in range(CUSTOMERS)
    )
    return demand.Demand(name, sequence, 0, entries)


def print_cost():
    """Print the part of a core that shares take in a large fleet."""
    names = [f'daemon-{n:03d}' for n in range(LARGE_FLEET)]
    held = limits.Shares(names[0])
    held.set_members(names, LARGE_FLEET)
    for name in names:
        held.accept(make_summary(name, 1))
    started = time.process_time()
    for number in range(ROUNDS):
        # Each round stands for a second: one summary is the daemon's own.
        for peer in range(SUMMARIES_PER_SECOND):
            name = names[peer * number % LARGE_FLEET]
            held.accept(make_summary(name, 5 * number + peer + 2))
        for customer in range(CUSTOMERS):
            name = f'customer-{customer}'
            held.cached(held.rate, name, 100.0)
            held.cached(held.concurrent, name, 100)
            held.cached(held.cost, name, 100.0)
    seconds = (time.process_time() - started) / ROUNDS
    print(
        f'shares of {CUSTOMERS} customers with {LARGE_FLEET} daemons: '
        f'{seconds:.2%} of a core at '
        f'{SUMMARIES_PER_SECOND} summaries a second'
    )


def print_resends(seed):
    """Print how many summaries a large fleet sends under steady demand."""
    rng = random.Random(seed)
    names = [f'customer-{n}' for n in range(CUSTOMERS)]
    meters = [demand.DemandMeter(f'd-{n}') for n in range(LARGE_FLEET)]
    sent = {}
    resent = 0
    for second in range(RESEND_SECONDS):
        for _ in range(PEAK_PER_SECOND):
            rng.choice(meters).record_request(rng.choice(names), second)
        for meter in meters:
            summary = meter.summary(second, 0)
            before = sent.get(meter.daemon, demand.Demand(''))
            if summary.differs(before):
                sent[meter.daemon] = summary
                resent += second >= RESEND_SECONDS // 2
    per_second = resent / (RESEND_SECONDS - RESEND_SECONDS // 2)
    print(
        f'{LARGE_FLEET} daemons at a steady {PEAK_PER_SECOND} requests/s '
        f'send {per_second:.1f} summaries a second'
    )


def print_size():
    """Print the size of a summary of all customers, encoded compactly."""
    summary = make_summary('host-1-0123456789ab', 12345)
    compact = msgspec.msgpack.encode(
        [
            summary.daemon,
            summary.sequence,
            summary.day,
            [
                [each.customer, int(each.rate * 10), int(each.concurrent * 10)]
                + [int(each.cost)]
                for each in summary.customers
            ],
        ]
    )
    print(
        f'summary of {CUSTOMERS} customers: {len(compact)} bytes compact; '
        f'340 of them at 1 KB/s take {340 * len(compact) / 1000:.0f} s'
    )
