"""Passive health checks, selection and monitoring of endpoints."""

import collections

import curio
import h11
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.endpoints import event_stream
from celeryward.endpoints import monitor
from celeryward.endpoints import outcomes
from celeryward.endpoints import runners
from celeryward.endpoints import selection
from celeryward import errors
from celeryward import http
from celeryward.raters import sizes
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.Site([standins.RunnerStandIn('app-1', 'app')])


def runner(name, domain='a', **more):
    return runners.Runner(name, 'llm', '127.0.0.1', 1, domain, **more)


class TestOutcomeTracker:
    """Guards against partial failures that active probes don't find."""

    def make_tracker(self):
        self.clock = fakes.Clock()
        return outcomes.OutcomeTracker(self.clock.monotonic)

    def test_endpoint_that_fails_more_is_avoided(self):
        tracker = self.make_tracker()
        for number in range(10):
            tracker.record_response('good', 0.1, 1.0)
            tracker.record_response('other', 0.1, 1.0)
            tracker.record_failure(
                'grey'
            ) if number % 2 else tracker.record_response('grey', 0.1, 1.0)
        names = ('good', 'other', 'grey')
        assert tracker.suspects(names) == {'grey'}
        self.clock.now += 30.0
        assert tracker.suspects(names) == set()

    def test_failures_at_all_endpoints_suspect_none(self):
        tracker = self.make_tracker()
        for name in ('a', 'b', 'c'):
            for _ in range(5):
                tracker.record_failure(name)
        assert tracker.suspects(('a', 'b', 'c')) == set()

    def test_slow_endpoint_is_avoided(self):
        tracker = self.make_tracker()
        for _ in range(4):
            tracker.record_response('a', 0.1, 1.0)
            tracker.record_response('b', 0.1, 1.0)
            tracker.record_response('slow', 0.5, 1.0)
        assert tracker.suspects(('a', 'b', 'slow')) == {'slow'}

    def test_unreachable_and_full_endpoints_are_avoided_for_a_while(self):
        tracker = self.make_tracker()
        tracker.record_connect_failure('gone')
        tracker.record_refusal('full')
        assert tracker.suspects(('gone', 'full', 'x')) == {'gone', 'full'}
        self.clock.now += 0.5
        assert tracker.suspects(('gone', 'full', 'x')) == {'gone'}
        self.clock.now += 1.0
        assert tracker.suspects(('gone', 'full', 'x')) == set()


class TestSelection:
    """Guards against cache misses and against hot spots by affinity."""

    def query(self, count=6, **more):
        endpoints = tuple(runner(f'r{number}') for number in range(count))
        return selection.Query(endpoints, 'a', **more)

    def test_equal_affinity_selects_one_endpoint(self):
        chosen = {
            selection.select(self.query(affinity='p')).id for _ in range(9)
        }
        assert len(chosen) == 1

    def test_affinities_spread_over_all_endpoints(self):
        chosen = {
            selection.select(self.query(affinity=f'p{number}')).id
            for number in range(60)
        }
        assert len(chosen) == 6

    def test_busy_preferred_endpoint_is_skipped(self):
        preferred = selection.select(self.query(affinity='p')).id
        busy = collections.Counter({preferred: 9})
        other = selection.select(self.query(affinity='p', in_flight=busy))
        assert other.id != preferred

    def test_suspects_are_used_if_all_are_suspected(self):
        query = self.query(2, suspects=frozenset(('r0', 'r1')))
        assert selection.select(query) is not None
        query = self.query(2, suspects=frozenset(('r0',)))
        assert selection.select(query).id == 'r1'

    def test_tried_endpoints_are_not_used_again(self):
        query = self.query(2, tried=frozenset(('r0', 'r1')))
        assert selection.select(query) is None


class TestEventStream:
    """Guards against events that are split, repeated or joined."""

    @hypothesis.given(strategies.lists(strategies.integers(0, 400)))
    def test_any_chunking_gives_the_same_events(self, cuts):
        body = standins.events(12)
        offsets = sorted(
            {0, len(body), *(min(cut, len(body)) for cut in cuts)}
        )
        splitter = event_stream.Splitter('peer')
        found = [
            event
            for start, end in zip(offsets, offsets[1:], strict=False)
            for event in splitter.feed(body[start:end])
        ]
        assert [event.number for event in found] == list(range(1, 13))
        assert b''.join(event.raw for event in found) == body
        assert splitter.buffer == b''

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_events_or_remainder(self, body):
        splitter = event_stream.Splitter('peer')
        found = list(splitter.feed(body))
        assert b''.join(event.raw for event in found) + splitter.buffer == body

    def test_repeated_events_are_dropped_and_gaps_refused(self):
        sequence = event_stream.EventSequence(2)
        received = [event_stream.Event(number, b'') for number in (1, 2, 3, 4)]
        accepted = [
            event.number for event in sequence.filter_new(received, 'peer')
        ]
        assert accepted == [3, 4]
        with pytest.raises(errors.AnswerInvalid):
            list(sequence.filter_new([event_stream.Event(6, b'')], 'peer'))


class TestMonitor:
    """Guards against requests that wait for an unreachable endpoint."""

    class Connections:
        """A pool in which no connection can be opened."""

        connect_seconds = 0.1

        def __init__(self):
            self.reachable = False
            self.closed = 0

        async def open(self, endpoint, deadline):
            if not self.reachable:
                raise errors.ConnectionFailed(
                    'timed out', step='connect', peer='x', sent=False
                )
            return object()

        def keep_unused(self, endpoint, connection):
            pass

        async def close_idle(self, endpoint):
            self.closed += 1
            return 0

    class Forwarder:
        """Counts how often exchanges are hedged."""

        def __init__(self):
            self.hedged = 0

        async def hedge_exchanges(self, endpoint):
            self.hedged += 1

        def exchanges_with(self, endpoint):
            return ()

    @fakes.in_kernel
    async def test_silent_endpoint_is_lost_and_regained(self):
        table = runners.RunnerTable()
        tracker = outcomes.OutcomeTracker()
        connections = self.Connections()
        forwarder = self.Forwarder()
        health_monitor = monitor.Monitor(
            table, tracker, connections, forwarder
        )
        table.put(runner('r'))
        task = await curio.spawn(health_monitor.run, daemon=True)
        await curio.sleep(0.7)
        assert forwarder.hedged == 0
        tracker.request_started('r')
        await standins.wait_until(lambda: forwarder.hedged == 1, 1.5)
        assert tracker.suspects(('r', 'other')) == {'r'}
        connections.reachable = True
        await standins.wait_until(lambda: not tracker.lost, 1.5)
        await task.cancel()

    @fakes.in_kernel
    async def test_loss_found_as_a_run_ends_does_not_stay_with_the_next(self):
        table = runners.RunnerTable()
        tracker = outcomes.OutcomeTracker()
        table.listeners.append(lambda ended: tracker.forget(ended.id))
        connections = self.Connections()
        refuse = connections.open

        async def refuse_former_run(endpoint, deadline):
            if not endpoint.started_at:
                table.put(runner('r', started_at=1.0))
            connections.reachable = endpoint.started_at > 0.0
            return await refuse(endpoint, deadline)

        connections.open = refuse_former_run
        forwarder = self.Forwarder()
        health_monitor = monitor.Monitor(
            table, tracker, connections, forwarder
        )
        table.put(runner('r'))
        tracker.request_started('r')
        task = await curio.spawn(health_monitor.run, daemon=True)
        await standins.wait_until(lambda: forwarder.hedged, 1.5)
        await standins.wait_until(lambda: not tracker.lost, 1.5)
        assert tracker.suspects(('r', 'other')) == frozenset()
        await task.cancel()

    @fakes.in_kernel
    async def test_recent_activity_prevents_a_probe(self):
        table = runners.RunnerTable()
        tracker = outcomes.OutcomeTracker()
        health_monitor = monitor.Monitor(
            table, tracker, self.Connections(), self.Forwarder()
        )
        tracker.request_started('r')
        tracker.record_activity('r')
        assert not health_monitor.is_silent(runner('r'))


class TestActivity:
    """Guards against endpoints that count as silent while they answer."""

    @standins.on_site
    async def test_body_that_arrives_in_pieces_is_activity(self, site):
        """Only the head was, so that a long body looked like silence."""

        async def send_slowly(runner, connection, arrival):
            head = runner.response_headers(arrival)
            lines = http.encode_headers({**head, 'content-length': '40'})
            response = h11.Response(status_code=200, headers=lines)
            await connection.send('answer', response)
            for _ in range(4):
                await curio.sleep(0.1)
                seen.append(site.router.outcomes.silent_since[runner.id])
                await connection.send('answer', h11.Data(data=b'x' * 10))
            await connection.send('answer', h11.EndOfMessage())

        seen = []
        site.runners['app-1'].default_action = send_slowly
        _, body = await site.request('/whole/x')
        assert body == b'x' * 40
        assert seen == sorted(set(seen))


class TestLostDomains:
    """Guards against a partition that is detected endpoint by endpoint."""

    def make_tracker(self):
        clock = fakes.Clock()
        tracker = outcomes.OutcomeTracker(clock.monotonic)
        near = [runner(f'a{number}') for number in range(3)]
        far = [runner(f'b{number}', 'b') for number in range(3)]
        for each in near + far:
            tracker.record_activity(each.id)
        clock.now += 1.0
        return clock, tracker, near + far

    def test_two_lost_endpoints_mark_the_domain_as_lost(self):
        clock, tracker, endpoints = self.make_tracker()
        tracker.set_lost('b0', True)
        assert tracker.lost_domains(endpoints) == set()
        tracker.set_lost('b1', True)
        assert tracker.lost_domains(endpoints) == {'b'}

    def test_activity_ends_the_loss_of_the_domain(self):
        clock, tracker, endpoints = self.make_tracker()
        tracker.set_lost('b0', True)
        tracker.set_lost('b1', True)
        clock.now += 0.1
        tracker.record_activity('b2')
        assert tracker.lost_domains(endpoints) == set()

    def test_a_dispatch_is_no_activity(self):
        clock, tracker, endpoints = self.make_tracker()
        tracker.set_lost('b0', True)
        tracker.set_lost('b1', True)
        clock.now += 0.1
        tracker.request_started('b2')
        assert tracker.lost_domains(endpoints) == {'b'}

    def test_regained_and_forgotten_endpoints_do_not_count(self):
        clock, tracker, endpoints = self.make_tracker()
        tracker.set_lost('b0', True)
        tracker.set_lost('b1', True)
        tracker.forget('b1')
        assert tracker.lost_domains(endpoints) == set()

    @fakes.in_kernel
    async def test_other_endpoints_of_a_lost_domain_are_probed(self):
        table = runners.RunnerTable()
        tracker = outcomes.OutcomeTracker()
        connections = TestMonitor.Connections()
        health_monitor = monitor.Monitor(
            table, tracker, connections, TestMonitor.Forwarder()
        )
        for number in range(3):
            table.put(runner(f'b{number}', 'b'))
        tracker.set_lost('b0', True)
        tracker.set_lost('b1', True)
        assert health_monitor.in_lost_domain(table.runners['b2'])
        connections.reachable = True
        task = await curio.spawn(health_monitor.run, daemon=True)
        await standins.wait_until(
            lambda: not health_monitor.in_lost_domain(table.runners['b2']), 1.0
        )
        await task.cancel()


class TestSizes:
    """Guards against poor answers that are kept, and needless larger runs."""

    SMALL, LARGE = sizes.Size('s', 0.01), sizes.Size('l', 0.2)
    VALUE_MODEL = sizes.ValueModel(10.0, 0.5)

    def larger(self, confidence, priority=0, queue=0.0, expected=0.1):
        return sizes.larger_size(
            (self.SMALL, sizes.Size('m', 0.1), self.LARGE),
            self.SMALL,
            priority,
            confidence,
            self.VALUE_MODEL,
            sizes.Timing(1.0, 0.1 + queue, expected, queue),
        )

    def test_low_confidence_selects_a_larger_model(self):
        assert self.larger(0.99) is None
        assert self.larger(0.3) == self.LARGE

    @pytest.mark.parametrize('priority', (0, 1, 2))
    def test_answer_that_is_probably_poor_is_never_kept(self, priority):
        """An answer used to be kept if it was short, however poor."""
        assert self.larger(0.4, priority) == self.LARGE

    def test_urgent_route_requires_higher_confidence(self):
        assert self.larger(0.6, priority=0) == self.LARGE
        assert self.larger(0.6, priority=2) is None

    def test_priority_out_of_the_usual_range_is_handled(self):
        assert self.larger(0.3, priority=-1) == self.LARGE
        assert self.larger(0.3, priority=50) is None

    def test_busy_endpoints_require_lower_confidence(self):
        assert self.larger(0.6) == self.LARGE
        assert self.larger(0.6, queue=0.1) is None
        assert self.larger(0.4, queue=0.1) == self.LARGE
        assert self.larger(0.2, queue=0.5) is None

    def test_late_answer_replaces_only_one_that_is_almost_surely_poor(self):
        assert self.larger(0.52, expected=2.0) is None
        assert self.larger(0.2, expected=2.0) == self.LARGE

    def test_answer_without_confidence_is_kept(self):
        assert self.larger(None) is None

    def test_route_without_an_objective_keeps_the_answer(self):
        timing = sizes.Timing(0.0, 0.1, 0.1)
        assert (
            sizes.larger_size(
                (self.SMALL, self.LARGE),
                self.SMALL,
                0,
                0.1,
                self.VALUE_MODEL,
                timing,
            )
            is None
        )
