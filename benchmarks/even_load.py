"""Compares how routers with old knowledge spread load over endpoints.

``python -m benchmarks.even_load --seeds N`` plays the same arrivals with each
policy, in virtual time. Many routers send few requests each; endpoints differ
in speed, run requests in batches that slow down as they fill, and cache the
prefixes of prompts. Demand comes in waves and clumps, and one prefix becomes
hot for a while. Routers learn of endpoints by the answers to their own
requests.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics

from celeryward.endpoints import queueing
from celeryward.endpoints import ranking
from celeryward.endpoints import runners
from celeryward.endpoints import selection
from celeryward import registry

ROUTERS = 64
ENDPOINTS = 56
SLOTS = 12
DOMAINS = ('a', 'b', 'c', 'd')
SPEEDS = (0.6, 1.0, 1.0, 1.0, 1.6)
# Each further request in a batch slows all of them by this part.
BATCH_SLOWDOWN = 0.05
PREFIXES = 460
PREFIX_SKEW = 0.3
CACHED_PREFIXES = 60
# Seconds at an idle endpoint of speed 1.0.
PREFIX_SECONDS = 0.09
PROMPT_SECONDS = 0.08
GENERATION_SECONDS = 1.2
RUN_SECONDS = 60.0
WARM_UP_SECONDS = 10.0
RATE = 190.0
WAVE_SWING = 0.55
WAVE_SECONDS = 13.0
CLUMP = 3
HOT_FROM_SECONDS = 30.0
HOT_UNTIL_SECONDS = 40.0
HOT_SHARE = 0.25

POLICIES = registry.Registry('policy')


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the workload; times are at an idle endpoint."""

    at: float
    router: int
    prefix: int
    prompt_seconds: float
    answer_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What came of one play.

    :param tuple waits: seconds that each request waited for a slot.
    :param tuple heads: seconds to the first token.
    :param float uneven: share of the time in which one endpoint has a queue
        while another one has a free slot.
    :param float hits: share of requests that found their prefix.
    """

    waits: tuple[float, ...]
    heads: tuple[float, ...]
    uneven: float
    hits: float


def make_arrivals(seed):
    """Return the arrivals of one play, in order."""
    source = random.Random(seed)
    weights = [(rank + 1) ** -PREFIX_SKEW for rank in range(PREFIXES)]
    cumulative = list(itertools.accumulate(weights))
    arrivals = []
    at = 0.0
    while at < RUN_SECONDS:
        wave = 1 + WAVE_SWING * math.sin(2 * math.pi * at / WAVE_SECONDS)
        at += source.expovariate(RATE / CLUMP * wave)
        for _ in range(CLUMP):
            prefix = source.choices(range(PREFIXES), cum_weights=cumulative)[0]
            hot = HOT_FROM_SECONDS <= at < HOT_UNTIL_SECONDS
            if hot and source.random() < HOT_SHARE:
                prefix = 0
            arrivals.append(
                Arrival(
                    at,
                    source.randrange(ROUTERS),
                    prefix,
                    PROMPT_SECONDS * source.lognormvariate(-0.5, 1.0),
                    source.expovariate(1 / GENERATION_SECONDS),
                )
            )
    return arrivals


@dataclasses.dataclass(slots=True)
class Request:
    """One request at an endpoint."""

    arrival: Arrival
    number: int
    began_at: float = 0.0
    first_token_at: float = 0.0


class EndpointModel:
    """Slots, a queue, a batch that slows down, and a prefix cache.

    ``progress`` is the work in seconds that each running request has got.
    """

    def __init__(self, number):
        self.runner = runners.Runner(
            f'e{number}',
            's',
            '10.0.0.1',
            number + 1,
            DOMAINS[number % len(DOMAINS)],
            slots=SLOTS,
        )
        self.speed = SPEEDS[number % len(SPEEDS)]
        self.cache = collections.OrderedDict()
        self.queue = collections.deque()
        self.marks = []
        self.running = 0
        self.progress = 0.0
        self.at = 0.0

    def rate(self):
        """Return the work that each running request gets a second."""
        return self.speed / (1 + BATCH_SLOWDOWN * max(0, self.running - 1))

    def advance(self, now):
        """Let the running requests go on until a time."""
        self.progress += (now - self.at) * self.rate()
        self.at = now

    def next_at(self):
        """Return when the next request has a token or its end."""
        if not self.marks:
            return math.inf
        return self.at + (self.marks[0][0] - self.progress) / self.rate()

    def begin(self, request, now):
        """Start a request; return whether its prefix was cached."""
        arrival = request.arrival
        hit = arrival.prefix in self.cache
        self.cache[arrival.prefix] = None
        self.cache.move_to_end(arrival.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        request.began_at = now
        prompt = arrival.prompt_seconds + PREFIX_SECONDS * (not hit)
        first = self.progress + prompt
        self.running += 1
        heapq.heappush(self.marks, (first, request.number, 'head', request))
        end = first + arrival.answer_seconds
        heapq.heappush(self.marks, (end, request.number, 'end', request))
        return hit


class RouterModel:
    """What one router knows: its own requests and the answers to them."""

    def __init__(self, number, clock):
        self.failure_domain = DOMAINS[number % len(DOMAINS)]
        self.in_flight = collections.Counter()
        self.queues = queueing.QueueEstimates(clock)
        self.unqueued = PROMPT_SECONDS


class Play:
    """One play of a policy on a list of arrivals."""

    def __init__(self, policy, arrivals, seed):
        self.policy = POLICIES.get(policy)
        self.arrivals = arrivals
        self.source = random.Random(seed)
        ranking.GENERATOR.seed(seed)
        self.now = 0.0
        self.models = {
            model.runner.id: model
            for model in map(EndpointModel, range(ENDPOINTS))
        }
        self.endpoints = tuple(model.runner for model in self.models.values())
        self.routers = [
            RouterModel(number, self.clock) for number in range(ROUTERS)
        ]
        self.waits = []
        self.heads = []
        self.hits = 0
        self.uneven_seconds = 0.0

    def clock(self):
        """Return the virtual time."""
        return self.now

    def run(self):
        """Play all arrivals; return the :class:`Figures`."""
        upcoming = collections.deque(self.arrivals)
        numbers = itertools.count()
        while upcoming:
            model = min(self.models.values(), key=EndpointModel.next_at)
            at = min(model.next_at(), upcoming[0].at)
            if self.now > WARM_UP_SECONDS and self.is_uneven():
                self.uneven_seconds += at - self.now
            self.now = at
            if at == upcoming[0].at:
                self.place(Request(upcoming.popleft(), next(numbers)))
            else:
                self.pass_mark(model)
        measured = RUN_SECONDS - WARM_UP_SECONDS
        return Figures(
            tuple(self.waits),
            tuple(self.heads),
            self.uneven_seconds / measured,
            self.hits / max(1, len(self.waits)),
        )

    def is_uneven(self):
        """Return whether one endpoint queues while another has room."""
        models = self.models.values()
        return any(each.queue for each in models) and any(
            each.running < SLOTS for each in models
        )

    def place(self, request):
        """Send an arrived request to the endpoint that the policy names."""
        router = self.routers[request.arrival.router]
        runner = self.policy(self, router, request.arrival)
        router.in_flight[runner.id] += 1
        router.queues.begin(runner.id)
        model = self.models[runner.id]
        model.advance(self.now)
        if model.running < SLOTS:
            self.begin(model, request)
        else:
            model.queue.append(request)

    def begin(self, model, request):
        """Start a request, and count its wait."""
        hit = model.begin(request, self.now)
        if request.arrival.at >= WARM_UP_SECONDS:
            self.hits += hit
            self.waits.append(self.now - request.arrival.at)

    def pass_mark(self, model):
        """Pass the first token or the end of a request."""
        model.advance(self.now)
        _, _, kind, request = heapq.heappop(model.marks)
        router = self.routers[request.arrival.router]
        if kind == 'head':
            self.record_head(router, model, request)
            return
        router.in_flight[model.runner.id] -= 1
        model.running -= 1
        if model.queue:
            self.begin(model, model.queue.popleft())

    def record_head(self, router, model, request):
        """Let a router learn from the first token of an answer."""
        seconds = self.now - request.arrival.at
        if request.arrival.at >= WARM_UP_SECONDS:
            self.heads.append(seconds)
        weight = 0.2 if seconds < router.unqueued else 0.02
        router.unqueued += weight * (seconds - router.unqueued)
        unanswered = router.queues.unanswered[model.runner.id]
        router.queues.end(model.runner.id, next(iter(unanswered)))
        router.queues.record(
            model.runner.id, max(0.0, seconds - router.unqueued)
        )


@POLICIES.register('random')
def choose_random(play, router, arrival):
    """Choose any endpoint."""
    return play.source.choice(play.endpoints)


@POLICIES.register('two choices')
def choose_of_two(play, router, arrival):
    """Choose the one of two with fewer own requests in flight."""
    sampled = play.source.sample(play.endpoints, 2)
    return min(sampled, key=lambda each: router.in_flight[each.id])


@POLICIES.register('least connections')
def choose_least(play, router, arrival):
    """Choose the fewest own requests in flight."""
    return min(
        play.endpoints,
        key=lambda each: (router.in_flight[each.id], play.source.random()),
    )


@POLICIES.register('perfect knowledge')
def choose_perfect(play, router, arrival):
    """Choose the earliest first token, by the endpoints' true state."""

    def seconds(runner):
        model = play.models[runner.id]
        missing = PREFIX_SECONDS * (arrival.prefix not in model.cache)
        ahead = max(0, model.running + len(model.queue) - SLOTS + 1)
        wait = ahead * GENERATION_SECONDS / SLOTS
        slowdown = 1 + BATCH_SLOWDOWN * min(SLOTS, model.running)
        work = arrival.prompt_seconds + missing
        return (wait + work * slowdown) / model.speed

    return min(play.endpoints, key=seconds)


@POLICIES.register('preferred endpoints')
def choose_preferred(play, router, arrival):
    """Choose as routers do without news of others."""
    return selection.select(make_query(play, router, arrival))


def make_query(play, router, arrival):
    """Return the :class:`selection.Query` of a request."""
    return selection.Query(
        play.endpoints,
        router.failure_domain,
        affinity=f'p{arrival.prefix}',
        in_flight=router.in_flight,
        queue_seconds=router.queues.seconds,
    )


def quantile(values, share):
    """Return a quantile of values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def describe(name, plays):
    """Return the mean figures of some plays as a line."""
    columns = [
        statistics.mean(quantile(each.waits, share) for each in plays)
        for share in (0.5, 0.95, 0.99)
    ]
    columns += [
        statistics.mean(quantile(each.heads, share) for each in plays)
        for share in (0.5, 0.95, 0.99)
    ]
    uneven = statistics.mean(each.uneven for each in plays)
    hits = statistics.mean(each.hits for each in plays)
    times = ' '.join(f'{seconds:7.3f}' for seconds in columns)
    return f'{name:22} {times}  {uneven:6.3f} {hits:6.3f}'


def main():
    """Play all policies and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    print('policy: wait p50 p95 p99, first token p50 p95 p99, uneven, hits')
    for name in POLICIES.entries:
        plays = [Play(name, make_arrivals(seed), seed).run() for seed in seeds]
        print(describe(name, plays), flush=True)


if __name__ == '__main__':
    main()
