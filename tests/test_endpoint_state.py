"""What a router believes of endpoints, and how it chooses."""

import collections

import curio
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.endpoints import event_stream
from celeryward.endpoints import monitor
from celeryward.endpoints import outcomes
from celeryward.endpoints import runners
from celeryward.endpoints import selection
from celeryward import errors
from celeryward import ingress
from celeryward.raters import sizes
from tests import fakes
from tests import platform_standins as standins


def runner(name, domain='a', **more):
    return runners.Runner(name, 'llm', '127.0.0.1', 1, domain, **more)


class TestOutcomes:
    """Guards against endpoints that fail while they look healthy."""

    def made(self):
        self.clock = fakes.Clock()
        return outcomes.Outcomes(self.clock.monotonic)

    def test_endpoint_that_fails_more_is_avoided(self):
        known = self.made()
        for number in range(10):
            known.answered('good', 0.1, 1.0)
            known.answered('other', 0.1, 1.0)
            known.failed('grey') if number % 2 else known.answered(
                'grey', 0.1, 1.0
            )
        names = ('good', 'other', 'grey')
        assert known.suspects(names) == {'grey'}
        self.clock.now += 30.0
        assert known.suspects(names) == set()

    def test_failures_of_all_are_no_reason_to_avoid_one(self):
        known = self.made()
        for name in ('a', 'b', 'c'):
            for _ in range(5):
                known.failed(name)
        assert known.suspects(('a', 'b', 'c')) == set()

    def test_slow_endpoint_is_avoided(self):
        known = self.made()
        for _ in range(4):
            known.answered('a', 0.1, 1.0)
            known.answered('b', 0.1, 1.0)
            known.answered('slow', 0.5, 1.0)
        assert known.suspects(('a', 'b', 'slow')) == {'slow'}

    def test_unreachable_and_full_endpoints_are_avoided_for_a_while(self):
        known = self.made()
        known.unreachable('gone')
        known.full('full')
        assert known.suspects(('gone', 'full', 'x')) == {'gone', 'full'}
        self.clock.now += 0.5
        assert known.suspects(('gone', 'full', 'x')) == {'gone'}
        self.clock.now += 1.0
        assert known.suspects(('gone', 'full', 'x')) == set()


class TestSelection:
    """Guards against lost caches and overloaded homes."""

    def query(self, count=6, **more):
        endpoints = tuple(runner(f'r{number}') for number in range(count))
        return selection.Query(endpoints, 'a', **more)

    def test_equal_prompts_share_a_home(self):
        chosen = {
            selection.select(self.query(affinity='p')).id for _ in range(9)
        }
        assert len(chosen) == 1

    def test_prompts_spread_over_all(self):
        chosen = {
            selection.select(self.query(affinity=f'p{number}')).id
            for number in range(60)
        }
        assert len(chosen) == 6

    def test_busy_home_is_passed_over(self):
        home = selection.select(self.query(affinity='p')).id
        busy = collections.Counter({home: 9})
        other = selection.select(self.query(affinity='p', in_flight=busy))
        assert other.id != home

    def test_suspects_are_used_if_there_is_nothing_else(self):
        query = self.query(2, suspects=frozenset(('r0', 'r1')))
        assert selection.select(query) is not None
        query = self.query(2, suspects=frozenset(('r0',)))
        assert selection.select(query).id == 'r1'

    def test_tried_endpoints_are_not_used_again(self):
        query = self.query(2, tried=frozenset(('r0', 'r1')))
        assert selection.select(query) is None


class TestEventStream:
    """Guards against events that are torn, doubled or joined."""

    @hypothesis.given(strategies.lists(strategies.integers(0, 400)))
    def test_any_cut_gives_the_same_events(self, cuts):
        body = standins.events(12)
        places = sorted({0, len(body), *(min(cut, len(body)) for cut in cuts)})
        splitter = event_stream.Splitter('peer')
        found = [
            event
            for start, end in zip(places, places[1:], strict=False)
            for event in splitter.feed(body[start:end])
        ]
        assert [event.number for event in found] == list(range(1, 13))
        assert b''.join(event.raw for event in found) == body
        assert splitter.buffer == b''

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_events_or_rest(self, body):
        splitter = event_stream.Splitter('peer')
        found = list(splitter.feed(body))
        assert b''.join(event.raw for event in found) + splitter.buffer == body

    def test_repeated_events_are_dropped_and_gaps_refused(self):
        sequence = event_stream.EventSequence(2)
        wanted = [event_stream.Event(number, b'') for number in (1, 2, 3, 4)]
        taken = [event.number for event in sequence.filter_new(wanted, 'peer')]
        assert taken == [3, 4]
        with pytest.raises(errors.AnswerInvalid):
            list(sequence.filter_new([event_stream.Event(6, b'')], 'peer'))


class TestMonitor:
    """Guards against requests that wait for an endpoint that is gone."""

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
        """Counts how often exchanges are broken off."""

        def __init__(self):
            self.broken = 0

        async def abort_repeatable(self, endpoint):
            self.broken += 1
            return 1

    @fakes.in_kernel
    async def test_silent_endpoint_is_lost_and_found_again(self):
        table = runners.RunnerTable()
        known = outcomes.Outcomes()
        connections = self.Connections()
        forwarder = self.Forwarder()
        watching = monitor.Monitor(table, known, connections, forwarder)
        table.put(runner('r'))
        task = await curio.spawn(watching.run, daemon=True)
        await curio.sleep(0.7)
        assert forwarder.broken == 0
        known.started('r')
        await standins.until(lambda: forwarder.broken == 1, 1.5)
        assert known.suspects(('r', 'other')) == {'r'}
        connections.reachable = True
        await standins.until(lambda: not known.lost, 1.5)
        await task.cancel()

    @fakes.in_kernel
    async def test_endpoint_that_answers_others_is_not_tried(self):
        table = runners.RunnerTable()
        known = outcomes.Outcomes()
        watching = monitor.Monitor(
            table, known, self.Connections(), self.Forwarder()
        )
        known.started('r')
        known.heard('r')
        assert not watching.is_silent(runner('r'))


class TestLostDomains:
    """Guards against a cut that is found out one endpoint after the other."""

    def made(self):
        clock = fakes.Clock()
        known = outcomes.Outcomes(clock.monotonic)
        near = [runner(f'a{number}') for number in range(3)]
        far = [runner(f'b{number}', 'b') for number in range(3)]
        for each in near + far:
            known.heard(each.id)
        clock.now += 1.0
        return clock, known, near + far

    def test_two_lost_endpoints_put_the_others_under_suspicion(self):
        clock, known, listed = self.made()
        known.set_lost('b0', True)
        assert known.lost_domains(listed) == set()
        known.set_lost('b1', True)
        assert known.lost_domains(listed) == {'b'}

    def test_sign_of_life_ends_the_suspicion(self):
        clock, known, listed = self.made()
        known.set_lost('b0', True)
        known.set_lost('b1', True)
        clock.now += 0.1
        known.heard('b2')
        assert known.lost_domains(listed) == set()

    def test_a_dispatch_is_no_sign_of_life(self):
        clock, known, listed = self.made()
        known.set_lost('b0', True)
        known.set_lost('b1', True)
        clock.now += 0.1
        known.started('b2')
        assert known.lost_domains(listed) == {'b'}

    def test_regained_and_forgotten_endpoints_do_not_count(self):
        clock, known, listed = self.made()
        known.set_lost('b0', True)
        known.set_lost('b1', True)
        known.forget('b1')
        assert known.lost_domains(listed) == set()

    @fakes.in_kernel
    async def test_others_are_tried_before_requests_are_sent(self):
        table = runners.RunnerTable()
        known = outcomes.Outcomes()
        connections = TestMonitor.Connections()
        watching = monitor.Monitor(
            table, known, connections, TestMonitor.Forwarder()
        )
        for number in range(3):
            table.put(runner(f'b{number}', 'b'))
        known.set_lost('b0', True)
        known.set_lost('b1', True)
        assert watching.in_lost_domain(table.runners['b2'])
        connections.reachable = True
        task = await curio.spawn(watching.run, daemon=True)
        await standins.until(
            lambda: not watching.in_lost_domain(table.runners['b2']), 1.0
        )
        await task.cancel()


class TestSizes:
    """Guards against larger models that cost more than they bring."""

    SMALL, LARGE = sizes.Size('s', 0.01), sizes.Size('l', 0.2)
    ECONOMY = sizes.Economy(0.01)

    def larger(self, confidence, prompt=1000, answer=200, elapsed=0.1):
        ask = ingress.Ask(
            'r', prompt_tokens=prompt, answer_tokens=answer, any_size=True
        )
        return sizes.larger_size(
            (self.SMALL, sizes.Size('m', 0.1), self.LARGE),
            self.SMALL,
            ask,
            confidence,
            self.ECONOMY,
            sizes.Timing(1.0, elapsed, elapsed),
        )

    def test_doubt_decides(self):
        assert self.larger(0.99) is None
        assert self.larger(0.3) == self.LARGE

    def test_long_prompt_of_a_short_answer_is_not_worth_it(self):
        assert self.larger(0.3, prompt=9000, answer=20) is None

    def test_busy_endpoints_raise_the_bar(self):
        assert self.larger(0.6) == self.LARGE
        assert self.larger(0.6, elapsed=0.8) is None

    def test_answer_without_an_opinion_is_kept(self):
        assert self.larger(None) is None
