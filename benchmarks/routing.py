"""Compares rankings on a queueing model of endpoints.

``python -m benchmarks.routing --seed N`` runs every ranking on the same
arrivals for several seeds, in virtual time. Load reports and cache events
arrive 2 s late, a tenth of the events is lost, one endpoint is slow, and
three daemons share the endpoints without knowing of each other.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random

from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward.endpoints import candidates
from celeryward.endpoints import liveness
from celeryward.endpoints import load
from celeryward.endpoints import prefixes
from celeryward.endpoints import ranking

ENDPOINTS = 8
CAPACITY = 8
DAEMONS = 3
DOMAINS = ('domain-1', 'domain-2')
SLOW_FACTOR = 3.0
LAG_SECONDS = 2.0
REPORT_SECONDS = 1.0
LOST_EVENTS = 0.1
DOCUMENTS = 120
MEMORY_BLOCKS = 400
PREFILL_SECONDS = 0.03
ANSWER_SECONDS = 1.2
RUN_SECONDS = 240.0
WARM_UP_SECONDS = 40.0
BASELINES = ('round-robin', 'random', 'least-connections', 'two-choices')
RANKINGS = (*BASELINES, 'least-load', 'prefix-aware')
PERFECT = 'perfect knowledge'
VERSION = catalog.ModelVersion('large', '1')


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the workload."""

    at: float
    daemon: int
    digests: tuple[int, ...]
    answer_seconds: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one run."""

    first_tokens: tuple[float, ...]
    hit_blocks: int
    all_blocks: int


def make_arrivals(seed, rate):
    """Return arrivals with skewed documents and unique questions."""
    source = random.Random(seed)
    sizes = [source.randint(8, 32) for _ in range(DOCUMENTS)]
    weights = [1 / (rank + 1) for rank in range(DOCUMENTS)]
    arrivals = []
    at = 0.0
    while at < RUN_SECONDS:
        at += source.expovariate(rate)
        document = source.choices(range(DOCUMENTS), weights)[0]
        shared = [
            document * 1000 + block + 1 for block in range(sizes[document])
        ]
        question = source.getrandbits(60)
        arrivals.append(
            Arrival(
                at,
                source.randrange(DAEMONS),
                (*shared, question),
                source.expovariate(1 / ANSWER_SECONDS),
                source.choice((0, 0, 0, 1)),
            )
        )
    return arrivals


class EndpointModel:
    """Slots, a queue by priority, and a prefix cache of limited size."""

    def __init__(self, endpoint, slowness):
        self.endpoint = endpoint
        self.slowness = slowness
        self.running = 0
        self.queue = []
        self.cache = collections.OrderedDict()
        self.unpublished = []
        self.logged = 0

    def touch(self, digests):
        """Return the cached leading blocks, then cache all of them."""
        cached = self.cached(digests)
        # The last block of a prompt is evicted first, as in a radix tree.
        for digest in reversed(digests):
            if digest not in self.cache:
                self.log('stored', digest)
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > MEMORY_BLOCKS:
            self.log('removed', self.cache.popitem(last=False)[0])
        return cached

    def cached(self, digests):
        """Return the number of cached leading blocks."""
        found = itertools.takewhile(self.cache.__contains__, digests)
        return sum(1 for _ in found)

    def log(self, kind, digest):
        """Add a cache event."""
        event = prefixes.CacheEvent(self.logged, kind, f'{digest:x}')
        self.unpublished.append(event)
        self.logged += 1

    def report(self):
        """Return the load report of this moment."""
        return load.LoadReport(self.running, len(self.queue), CAPACITY)


class PerfectLoad(load.LoadView):
    """Reads queues and speeds from the model itself."""

    def __init__(self, models, clock):
        super().__init__(clock)
        self.models = models

    def estimated_requests(self, endpoint):
        """Return the true number of requests at an endpoint."""
        model = self.models[endpoint.name]
        return model.running + len(model.queue)

    def latency_averages(self, name):
        """Return the true speed of an endpoint."""
        slowness = self.models[name].slowness
        hold = (ANSWER_SECONDS + 5 * PREFILL_SECONDS) * slowness
        return load.LatencyAverages(hold, PREFILL_SECONDS * slowness)


class PerfectPrefixes(prefixes.PrefixView):
    """Reads caches from the model itself."""

    def __init__(self, models, clock):
        super().__init__(clock)
        self.models = models

    def cached_blocks(self, name, digests):
        """Return the true number of cached leading blocks."""
        return self.models[name].cached(digests)


class Simulation:
    """One run of one ranking on a list of arrivals."""

    def __init__(self, name, arrivals, seed):
        self.now = 0.0
        self.source = random.Random(seed)
        ranking.GENERATOR.seed(seed)
        self.arrivals = arrivals
        self.models = {model.endpoint.name: model for model in make_models()}
        self.catalog = catalog.Catalog(
            customers={'c': catalog.Customer('c', allowed=('large',))},
            versions={VERSION.name: VERSION},
            endpoints={
                name: model.endpoint for name, model in self.models.items()
            },
        )
        self.views = [self.make_view(name, index) for index in range(DAEMONS)]
        self.agenda = []
        self.order = itertools.count()
        self.first_tokens = []
        self.hit_blocks = 0
        self.all_blocks = 0

    def clock(self):
        """Return the virtual time."""
        return self.now

    def make_view(self, name, index):
        """Return the view of one daemon."""
        perfect = name == PERFECT
        loads = load.LoadView(self.clock)
        cached = prefixes.PrefixView(self.clock)
        if perfect:
            loads = PerfectLoad(self.models, self.clock)
            cached = PerfectPrefixes(self.models, self.clock)
        return candidates.EndpointView(
            DOMAINS[index % len(DOMAINS)],
            loads,
            liveness.Liveness(),
            'prefix-aware' if perfect else name,
            cached,
        )

    def at(self, time, function, *arguments):
        """Run a function at a virtual time."""
        entry = (time, next(self.order), function, arguments)
        heapq.heappush(self.agenda, entry)

    def run(self):
        """Return the :class:`Outcome`."""
        for arrival in self.arrivals:
            self.at(arrival.at, self.arrive, arrival)
        self.at(0.0, self.publish)
        while self.agenda:
            self.now, _, function, arguments = heapq.heappop(self.agenda)
            function(*arguments)
        return Outcome(
            tuple(self.first_tokens), self.hit_blocks, self.all_blocks
        )

    def publish(self):
        """Take reports and events now and deliver them late."""
        for name, model in self.models.items():
            events = [
                event
                for event in model.unpublished
                if self.source.random() > LOST_EVENTS
            ]
            model.unpublished.clear()
            for view in self.views:
                self.at(
                    self.now + LAG_SECONDS,
                    self.deliver,
                    view,
                    name,
                    model.report(),
                    events,
                )
        if self.now < RUN_SECONDS:
            self.at(self.now + REPORT_SECONDS, self.publish)

    def deliver(self, view, name, report, events):
        """Hand a late report and late events to one daemon."""
        view.load.record_report(name, report)
        view.prefixes.apply_events(name, events)

    def arrive(self, arrival):
        """Choose an endpoint for a request and queue it there."""
        view = self.views[arrival.daemon]
        call = calls.Call(
            'r',
            self.catalog.customers['c'],
            deadlines.NEVER,
            calls.ChatRequest('large', ()),
            priority=arrival.priority,
        )
        query = candidates.Query(
            self.catalog, call, 'large', view, digests=arrival.digests
        )
        chosen = candidates.select(query).endpoint
        expected = load.Expectation.of(
            view.load, chosen, view.prefixes, arrival.digests
        )
        view.load.request_started(chosen.name, arrival.priority)
        view.prefixes.record_dispatch(chosen.name, arrival.digests)
        model = self.models[chosen.name]
        entry = (-arrival.priority, next(self.order), arrival, expected)
        heapq.heappush(model.queue, entry)
        self.start(model)

    def start(self, model):
        """Start waiting requests while there are free slots."""
        while model.queue and model.running < CAPACITY:
            _, _, arrival, expected = heapq.heappop(model.queue)
            model.running += 1
            hits = model.touch(arrival.digests)
            missing = len(arrival.digests) - hits
            prefill = (missing + 1) * PREFILL_SECONDS * model.slowness
            first = self.now + prefill
            end = first + arrival.answer_seconds * model.slowness
            self.at(first, self.first_token, model, arrival, expected)
            self.at(end, self.finish, model, arrival)
            if arrival.at >= WARM_UP_SECONDS:
                self.hit_blocks += hits
                self.all_blocks += len(arrival.digests)

    def first_token(self, model, arrival, expected):
        """Note the time to first token."""
        waited = self.now - arrival.at
        view = self.views[arrival.daemon]
        view.load.record_first_token(model.endpoint.name, waited, expected)
        if arrival.at >= WARM_UP_SECONDS:
            self.first_tokens.append(waited)

    def finish(self, model, arrival):
        """Free the slot of a finished request."""
        name = model.endpoint.name
        model.running -= 1
        loads = self.views[arrival.daemon].load
        loads.request_finished(name, arrival.priority)
        loads.record_service_time(name, self.now - arrival.at)
        self.start(model)


def make_models():
    """Return the endpoints; the first one is slow."""
    for index in range(ENDPOINTS):
        endpoint = catalog.Endpoint(
            f'engine-{index}',
            '127.0.0.1',
            0,
            DOMAINS[index % len(DOMAINS)],
            serves=(VERSION.name,),
            capacity=CAPACITY,
        )
        yield EndpointModel(endpoint, SLOW_FACTOR if index == 0 else 1.0)


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare(seeds, rate):
    """Return all outcomes of each ranking, by its name."""
    found = collections.defaultdict(list)
    for seed in seeds:
        arrivals = make_arrivals(seed, rate)
        for name in (*RANKINGS, PERFECT):
            found[name].append(Simulation(name, arrivals, seed).run())
    return found


def main():
    """Print one line for each ranking."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--rate', type=float, default=24.0)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    found = compare(seeds, options.rate)
    perfect = sum(outcome.hit_blocks for outcome in found[PERFECT])
    print(f'seeds {list(seeds)}, {options.rate} requests/s')
    print('ranking             p95 s   p99 s  hits  of perfect  p99 by seed')
    for name, outcomes in found.items():
        times = [time for each in outcomes for time in each.first_tokens]
        hits = sum(each.hit_blocks for each in outcomes)
        share = hits / sum(each.all_blocks for each in outcomes)
        tails = ' '.join(
            f'{percentile(each.first_tokens, 0.99):.2f}' for each in outcomes
        )
        print(
            f'{name:18} {percentile(times, 0.95):6.2f} '
            f'{percentile(times, 0.99):7.2f} {share:5.1%} '
            f'{hits / perfect:10.1%}   {tails}'
        )


if __name__ == '__main__':
    main()
