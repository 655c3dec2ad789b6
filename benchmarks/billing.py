"""Bills and keyed calls under killed owners, outages and lost answers.

Run as ``python -m benchmarks.billing --seed N``. One tick is one flush
interval. The same requests and faults go through a baseline: one write for
each bill under a new name with plain retries, and calls that are repeated
until they are answered.

The stated limit of exactly-once billing is that the owner and both holders
of the copies are killed within one flush interval. Bills whose last 3
holders were killed in one tick are counted apart. Killed hosts are detected
at the start of the next tick.
"""

import argparse
import collections
import dataclasses
import itertools
import random
import sys
import tracemalloc

import curio

from benchmarks import claims
from benchmarks import fakes
from celeryward import calls
from celeryward import logs
from celeryward.objects import batches
from celeryward.objects import billing
from celeryward.objects import flusher
from celeryward.objects import protocol
from celeryward.objects import replicas

HOSTS = 12
TICKS = 150
OUTAGE_TICKS = range(50, 80)
REQUESTS = 12_000
LOST_ANSWERS = 1 / 3
KILLS = 0.3
PAUSES = 0.1
SAME_REQUEST = 0.01
MEMORY_BILLS = 20_000
LIMIT_SECONDS = 110.0
# Small, so that the outage of the run passes the first bound.
BOUNDS = billing.Bounds(detailed=100, pending=100_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one billing method.

    :param int beyond_limit: bills whose last 3 holders were killed in one
        tick; not included in ``lost``.
    """

    lost: int
    beyond_limit: int
    duplicates: int
    calls_per_1000: float


class PlainLedger:
    """Baseline: one write for each bill, retried until it is answered."""

    def __init__(self, platform, names):
        self.platform = platform
        self.names = names
        self.pending = []

    async def record(self, bill):
        """Keep the bill in the memory of the owner."""
        self.pending.append(bill)

    async def flush(self):
        """Write each bill once; those without an answer remain."""
        self.pending = [
            bill for bill in self.pending if not await self.write(bill)
        ]

    async def write(self, bill):
        """Write one bill; return whether the write was answered."""
        spec = {'bills': [batches.encode_bill(bill)]}
        name = f'bill-{next(self.names)}'
        stored = protocol.StoredObject(batches.BATCH_KIND, name, spec)
        return (await self.platform.create(stored)).is_ok()


class Host:
    """One daemon: its ledger, replicas, flusher, and the baseline."""

    def __init__(self, name, fleet):
        self.name = name
        self.silent_ticks = 0
        peers = fakes.FakePeers(
            name, fleet.network, fleet.shuffled_names, fleet.record_holders
        )
        self.ledger = billing.Ledger(name, peers, BOUNDS)
        self.replicas = replicas.Replicas(bounds=BOUNDS)
        self.flusher = flusher.Flusher(
            self.ledger, fleet.platform, 1.0, self.replicas
        )
        self.plain = PlainLedger(fleet.plain_platform, fleet.names)


class Fleet:
    """All hosts, both platforms, and the requests that were answered."""

    def __init__(self, random_source):
        self.random = random_source
        self.platform = fakes.FakePlatform()
        self.plain_platform = fakes.FakePlatform()
        for platform in (self.platform, self.plain_platform):
            platform.lose_answer = self.answer_is_lost
        self.names = itertools.count()
        self.network = {}
        self.hosts = []
        self.silent = []
        self.killed = {}
        self.answered = set()
        self.holders = collections.defaultdict(set)
        self.runs = collections.Counter()
        self.tick = 0
        for _ in range(HOSTS):
            self.add_host()

    def answer_is_lost(self):
        """Return whether the next write answer is lost."""
        return self.random.random() < LOST_ANSWERS

    def record_holders(self, bill, names):
        """Record the hosts that hold a bill, with those of the past."""
        self.holders[bill.id].update(names)

    def shuffled_names(self, names):
        """Return names in a random order."""
        return self.random.sample(sorted(names), len(names))

    def add_host(self):
        """Add a host under a name that was never used."""
        host = Host(f'host-{next(self.names)}', self)
        self.network[host.name] = host.replicas
        self.hosts.append(host)

    def remove(self, host):
        """Remove a host; the others detect it in the next tick."""
        del self.network[host.name]
        self.hosts.remove(host)
        self.killed[host.name] = self.tick
        self.silent.append(host.name)
        self.add_host()

    async def report_deaths(self):
        """Tell the remaining hosts of those that stopped responding.

        Hosts that have a share in their bills flush at once.
        """
        affected = {}
        for name in self.silent:
            for host in self.hosts:
                owned = host.replicas.owner_died(name)
                held = host.ledger.peer_died(name)
                if owned or held:
                    affected[host.name] = host
        self.silent.clear()
        for host in affected.values():
            await host.flusher.flush()

    async def serve(self, number):
        """Answer one request at a random host, sometimes at two."""
        same = self.random.random() < SAME_REQUEST
        for host in self.random.sample(self.hosts, 2 if same else 1):
            bill = make_bill(number, self.random)
            await host.ledger.record(bill)
            await host.plain.record(bill)
            self.runs[bill.id] += 1
            self.answered.add(bill.id)

    async def flush(self, host):
        """Flush a host; a killed one stops before, inside or after it."""
        fate = self.random.random()
        if fate < KILLS / HOSTS:
            batch = host.ledger.next_batch()
            if batch is not None and self.random.random() < 0.5:
                # The owner dies between its write and the release.
                await host.flusher.write(batch)
                await host.plain.flush()
            self.remove(host)
            return
        if fate < (KILLS + PAUSES) / HOSTS:
            # A paused host is reported dead, and goes on in the next tick.
            self.silent.append(host.name)
            return
        await host.flusher.flush()
        await host.plain.flush()

    async def run(self, requests):
        """Run all ticks, then flush until nothing is left."""
        number = 0
        for tick in range(TICKS):
            self.tick = tick
            is_outage = tick in OUTAGE_TICKS
            self.platform.unavailable = is_outage
            self.plain_platform.unavailable = is_outage
            await self.report_deaths()
            while number * TICKS < requests * (tick + 1):
                await self.serve(number)
                number += 1
            for host in self.shuffled_hosts():
                await self.flush(host)
        await self.report_deaths()
        for host in self.hosts:
            host.replicas.mark_all_due()
            while not await host.flusher.flush() or host.replicas.count:
                pass
            while host.plain.pending:
                await host.plain.flush()

    def shuffled_hosts(self):
        """Return the present hosts in a random order."""
        return self.random.sample(self.hosts, len(self.hosts))

    def rows(self):
        """Return the results of the product and of the baseline."""
        stored = [
            batches.from_object(each)
            for each in self.platform.of_kind(batches.BATCH_KIND)
        ]
        self.check_entries(stored)
        chosen = [bill.id for bill in batches.deduplicate(stored)]
        plain = [
            bill['id']
            for each in self.plain_platform.of_kind(batches.BATCH_KIND)
            for bill in each.spec['bills']
        ]
        return (
            self.row(chosen, self.platform.calls),
            self.row(plain, self.plain_platform.calls),
        )

    def check_entries(self, stored):
        """Check that each host's bill of a request is stored once.

        :raises AssertionError: if the reader had to hide another duplicate.
        """
        entries = collections.Counter(
            bill.id for batch in stored for bill in batch.all_bills()
        )
        for bill_id, count in entries.items():
            if count > self.runs[bill_id]:
                raise AssertionError(f'bill {bill_id} is stored {count} times')

    def beyond_limit(self, bill_id):
        """Return whether the last 3 holders were killed in one tick."""
        holders = self.holders[bill_id]
        if not holders <= set(self.killed):
            return False
        ticks = collections.Counter(self.killed[name] for name in holders)
        return ticks[max(ticks)] >= 3

    def row(self, billed, platform_calls):
        """Compare the billed ids with the answered requests."""
        unknown = set(billed) - self.answered
        if unknown:
            raise AssertionError(f'{len(unknown)} bills of no request')
        lost = self.answered - set(billed)
        allowed = {each for each in lost if self.beyond_limit(each)}
        return Row(
            len(lost - allowed),
            len(allowed),
            len(billed) - len(set(billed)),
            1000 * platform_calls / len(self.answered),
        )


def make_bill(number, random_source):
    """Return a bill as the path of a request makes it."""
    versions = random_source.choice((('small@1',), ('small@1', 'large@1')))
    runs = tuple(
        calls.Run(
            version,
            f'engine-{random_source.randrange(600)}',
            calls.Usage(random_source.randrange(9000), 300 + number % 500),
            random_source.random(),
        )
        for version in versions
    )
    request_id = f'{number:032x}'
    customer = f'customer-{number % 10}'
    return calls.Bill(
        request_id,
        customer,
        'auto',
        runs,
        1e9 + number,
        batches.bill_id(customer, request_id, 'digest'),
    )


def memory_per_1000(record, random_source):
    """Return the KiB that 1,000 pending bills take."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(MEMORY_BILLS):
        record(make_bill(number, random_source))
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size / 1024 / (MEMORY_BILLS / 1000)


def measure_full(random_source):
    """Return the peak MiB of a ledger that is filled to its last bound."""
    ledger = billing.Ledger('a')
    tracemalloc.start()
    number = 0
    while ledger.admit().is_ok():
        ledger.add(make_bill(number, random_source))
        number += 1
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 1024 / 1024


def measure_memory(seed):
    """Return KiB for 1,000 bills: aggregated, in detail, and plain."""
    detailed = billing.Bounds(MEMORY_BILLS, MEMORY_BILLS)
    ledgers = (billing.Ledger('a'), billing.Ledger('a', bounds=detailed))
    sizes = [
        memory_per_1000(ledger.add, random.Random(seed)) for ledger in ledgers
    ]
    plain = []
    return (*sizes, memory_per_1000(plain.append, random.Random(seed)))


async def measure(seed, requests):
    """Run everything and print the results; return the misses."""
    fleet = Fleet(random.Random(seed))
    await fleet.run(requests)
    print(
        f'seed {seed}: {len(fleet.answered)} billed requests, '
        f'{len(fleet.killed)} owners killed, platform unavailable for '
        f'{len(OUTAGE_TICKS)} of {TICKS} ticks'
    )
    misses = 0
    for name, row in zip(('chosen', 'baseline'), fleet.rows(), strict=True):
        print(
            f'  {name:9} bills lost {row.lost}, beyond the limit '
            f'{row.beyond_limit}, duplicates {row.duplicates}, '
            f'platform calls per 1,000 requests {row.calls_per_1000:.1f}'
        )
        if name == 'chosen':
            misses += row.lost + row.duplicates
    sizes = measure_memory(seed)
    print(
        '  memory of 1,000 of {} pending bills in KiB: with default bounds '
        '{:.0f}, in detail {:.0f}, baseline {:.0f}'.format(
            MEMORY_BILLS, *sizes
        )
    )
    return misses + await claims.measure(seed)


def main():
    """Run the benchmark; exit with 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--requests', type=int, default=REQUESTS)
    parser.add_argument(
        '--full-memory',
        action='store_true',
        help='only fill one ledger to its last bound and print its memory',
    )
    arguments = parser.parse_args()
    if arguments.full_memory:
        full = measure_full(random.Random(arguments.seed))
        print(f'peak memory of a full ledger in MiB: {full:.1f}')
        return
    logs.configure('CRITICAL', 'text')

    async def bounded():
        return await curio.timeout_after(
            LIMIT_SECONDS, measure, arguments.seed, arguments.requests
        )

    sys.exit(1 if curio.run(bounded) else 0)


if __name__ == '__main__':
    main()
