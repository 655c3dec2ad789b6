"""Selection of endpoints by load reports, prefixes and failure domains."""

import dataclasses

import pytest

from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward.endpoints import candidates
from celeryward.endpoints import liveness
from celeryward.endpoints import load
from celeryward.endpoints import prefixes

VERSION = catalog.ModelVersion('large', '1')
CUSTOMER = catalog.Customer('c', allowed=('large',))
DIGESTS = tuple(range(1, 21))


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_endpoint(name, domain='domain-1', capacity=8):
    return catalog.Endpoint(
        name, '127.0.0.1', 1, domain, (VERSION.name,), capacity=capacity
    )


class Router:
    """One daemon's view of three endpoints; ``r`` is remote."""

    def __init__(self, ranking='prefix-aware'):
        self.clock = Clock()
        self.load = load.LoadView(self.clock)
        self.prefixes = prefixes.PrefixView(self.clock)
        self.endpoints = {
            'a': make_endpoint('a'),
            'b': make_endpoint('b'),
            'r': make_endpoint('r', 'domain-2'),
        }
        self.view = candidates.EndpointView(
            'domain-1',
            self.load,
            liveness.Liveness(),
            ranking,
            self.prefixes,
        )

    def choose(self, digests=(), priority=0):
        current = catalog.Catalog(
            customers={'c': CUSTOMER},
            versions={VERSION.name: VERSION},
            endpoints=self.endpoints,
        )
        call = calls.Call(
            'r',
            CUSTOMER,
            deadlines.NEVER,
            calls.ChatRequest('large', ()),
            priority=priority,
        )
        query = candidates.Query(
            current, call, 'large', self.view, digests=digests
        )
        return candidates.select(query).endpoint.name

    def dispatch(self, digests=(), priority=0):
        name = self.choose(digests, priority)
        self.load.request_started(name, priority)
        self.prefixes.record_dispatch(name, digests)
        return name


class TestLoadReports:
    """Guards against a burst to one endpoint after a stale report."""

    def test_own_dispatches_since_the_report_are_added(self):
        router = Router()
        for name in 'ab':
            router.load.record_report(name, load.LoadReport(running=2))
        chosen = [router.dispatch() for _ in range(10)]
        assert abs(chosen.count('a') - chosen.count('b')) <= 1

    def test_own_requests_in_a_report_are_not_counted_twice(self):
        router = Router()
        for _ in range(4):
            router.load.request_started('a')
        router.clock.now += load.REPORT_LAG_SECONDS + 1
        router.load.record_report('a', load.LoadReport(running=6))
        assert router.load.estimated_requests(router.endpoints['a']) == 6
        for _ in range(4):
            router.load.request_finished('a')
        assert router.load.estimated_requests(router.endpoints['a']) == 2

    def test_queued_requests_of_lower_priority_are_not_ahead(self):
        router = Router()
        for _ in range(20):
            router.load.request_started('a', priority=0)
        endpoint = router.endpoints['a']
        assert router.load.requests_ahead(endpoint, priority=0) == 20
        assert (
            router.load.requests_ahead(endpoint, priority=1)
            == endpoint.capacity
        )


class TestRefusals:
    """Guards against an endpoint that refuses requests but reports idle."""

    def test_a_refusing_endpoint_counts_as_full_for_a_while(self):
        router = Router()
        first = router.choose()
        router.load.record_refusal(first)
        assert router.choose() != first
        router.clock.now += load.REFUSED_SECONDS + 0.1
        assert router.choose() == first


class TestFirstByteTimeout:
    """Guards against silence detected late and queueing taken for it."""

    def timeout(self, router):
        endpoint = router.endpoints['a']
        return router.load.first_byte_timeout(endpoint, 10.0, 60.0)

    def test_timeout_follows_the_time_to_first_token(self):
        router = Router()
        assert self.timeout(router) == 60.0
        for _ in range(load.MIN_SAMPLES):
            router.load.record_first_token(
                'a', 0.5, load.Expectation(0, False)
            )
        assert self.timeout(router) == 10.0

    def test_queue_extends_the_timeout(self):
        router = Router()
        for _ in range(load.MIN_SAMPLES):
            router.load.record_first_token(
                'a', 0.5, load.Expectation(0, False)
            )
        router.load.record_report('a', load.LoadReport(running=8, waiting=80))
        assert self.timeout(router) > 30.0


class TestFailureDomains:
    """Guards against remote work below capacity and overload above it."""

    def test_requests_spill_over_before_the_own_domain_is_overloaded(self):
        router = Router()
        chosen = [router.dispatch() for _ in range(18)]
        assert 'r' not in chosen[:8]
        assert 'r' in chosen[:16]


class TestPrefixes:
    """Guards against cache misses and stale cache entries."""

    def test_prompt_goes_to_the_endpoint_with_its_prefix(self):
        router = Router()
        first = router.dispatch(DIGESTS)
        assert router.choose((*DIGESTS, 99)) == first

    def test_full_endpoint_is_skipped_despite_its_cache(self):
        router = Router()
        first = router.dispatch(DIGESTS)
        for _ in range(40):
            router.load.request_started(first)
        assert router.choose(DIGESTS) != first

    def test_daemons_prefer_the_same_endpoint_for_a_new_prompt(self):
        assert Router().choose(DIGESTS) == Router().choose(DIGESTS)

    def apply(self, router, first, kind, digests):
        events = [
            prefixes.CacheEvent(first + index, kind, f'{digest:x}')
            for index, digest in enumerate(digests)
        ]
        router.prefixes.apply_events('a', events)

    def test_late_removal_does_not_undo_an_own_dispatch(self):
        router = Router()
        router.prefixes.record_dispatch('a', DIGESTS)
        self.apply(router, 0, 'removed', DIGESTS)
        assert router.prefixes.cached_blocks('a', DIGESTS) == 20

    def test_removal_and_repeated_events(self):
        router = Router()
        self.apply(router, 0, 'stored', DIGESTS)
        router.clock.now += prefixes.EVENT_LAG_SECONDS + 1
        self.apply(router, 20, 'removed', DIGESTS[10:])
        self.apply(router, 0, 'stored', DIGESTS)
        assert router.prefixes.cached_blocks('a', DIGESTS) == 10

    def test_lost_event_keeps_most_of_the_prefix(self):
        router = Router()
        self.apply(router, 0, 'stored', DIGESTS[:5])
        self.apply(router, 6, 'stored', DIGESTS[6:])
        assert router.prefixes.cached_blocks('a', DIGESTS) > 15

    def test_events_of_a_restarted_engine_are_not_taken_as_old(self):
        """Its empty cache was believed to hold what it held before."""
        view = Router().prefixes
        before = [prefixes.CacheEvent(n, 'stored', f'{n:x}') for n in range(9)]
        view.apply_answer('a', before)
        view.apply_answer('a', before[view.last_event_number('a') :])
        assert view.cached_blocks('a', tuple(range(9))) == 9
        view.apply_answer('a', [])
        assert view.cached_blocks('a', tuple(range(9))) == 0
        assert view.last_event_number('a') == 0
        after = [prefixes.CacheEvent(n, 'stored', 'ff') for n in range(20)]
        view.apply_answer('a', after)
        assert view.cached_blocks('a', (255,)) == 1
        view.apply_answer('a', [dataclasses.replace(after[-1], prefix='1')])
        assert view.cached_blocks('a', (255,)) == 0

    def test_lost_last_event_is_no_restart(self):
        view = Router().prefixes
        events = [prefixes.CacheEvent(n, 'stored', f'{n:x}') for n in range(9)]
        view.apply_answer('a', events[:5])
        view.apply_answer('a', events[5:])
        assert view.cached_blocks('a', tuple(range(9))) == 9

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(prefixes, 'MAX_PREFIXES', 10)
        view = prefixes.PrefixView()
        view.record_dispatch('a', range(100))
        assert len(view.entries_by_prefix) == view.entry_counts['a'] == 10

    def test_digests_name_whole_blocks_of_the_text(self):
        block = 'x' * prefixes.BLOCK_CHARACTERS
        long = prefixes.digest_prefixes(block * 2 + 'question')
        assert len(long) == 2
        assert prefixes.digest_prefixes(block) == long[:1]


class TestBaselines:
    """Guards against baselines that differ from their algorithm."""

    @pytest.mark.parametrize(
        'name', ['random', 'two-choices', 'least-connections']
    )
    def test_every_endpoint_gets_requests(self, name):
        router = Router(name)
        chosen = {router.dispatch() for _ in range(200)}
        assert chosen == {'a', 'b', 'r'}

    def test_round_robin_cycles_through_the_endpoints(self):
        router = Router('round-robin')
        chosen = [router.dispatch() for _ in range(6)]
        assert chosen == ['a', 'b', 'r', 'a', 'b', 'r']
