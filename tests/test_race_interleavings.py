"""Dispatches of one request that meet at the worst moment."""

import collections
import random
import re
import time

import curio
import h11
import pytest

from celeryward.callers import endpoint_timeouts
from celeryward.callers import races
from celeryward.callers import replacements
from celeryward import deadlines
from celeryward.endpoints import fleet_retries
from celeryward.endpoints import waits
from celeryward import http
from tests import platform_standins as standins
from tests import test_once
from tests import test_planned_stop as planned_stop

EVENTS = 8
REQUESTS = 15
SEEDS = 4
KINDS = ('sound', 'sound', 'mute', 'error', 'refusal', 'break', 'silent')
# Longer than any part of these tests takes.
LONG_SECONDS = 10.0
# More than the sockets between router and caller keep.
LARGE_EVENT_BYTES = 30_000
LARGE_EVENTS = 500


@pytest.fixture
def site():
    runners = [
        standins.RunnerStandIn(f'llm-{number}', events=EVENTS)
        for number in (1, 2, 3)
    ]
    return standins.Site(runners)


def set_actions(site, *actions):
    """Let the endpoints take these actions, in the order of arrivals."""
    planned_stop.set_actions(site, *actions)


def make_event(number, size=0):
    """Return an event with at least some bytes."""
    return f'id: {number}\ndata: piece {number}{"x" * size}\n\n'.encode()


def numbers_of(body):
    """Return the ids of the events in a body."""
    return list(map(int, re.findall(rb'id: (\d+)', body)))


async def send_events(connection, first, last, size=0, pause=0.01):
    """Send events, each in a write of its own."""
    for number in range(first, last + 1):
        data = make_event(number, size)
        await connection.send('answer', h11.Data(data=data))
        await curio.sleep(pause)


async def change_route(site, name, **fields):
    """Write a configuration with other fields of one route."""
    spec = standins.configuration(2)
    for route in spec['routes']:
        if route['name'] == name:
            route.update(fields)
    await site.store.put('config', 'main', spec)
    await standins.wait_until(
        lambda: site.router.configuration.current.version == 2
    )


class TestOrder:
    """Guards against events that are lost between two runs."""

    @pytest.mark.parametrize('breaks_off', (True, False))
    @standins.on_site
    async def test_event_that_is_kept_is_not_skipped_by_the_next_run(
        self, site, breaks_off
    ):
        await planned_stop.raise_timeouts(site)
        kept = curio.Event()

        async def break_off(runner, connection, arrival):
            await standins.send_stream(runner, connection, arrival, 1)

        async def go_on_late(runner, connection, arrival):
            await standins.begin_stream(runner, connection, arrival)
            await send_events(connection, 2, 2)
            await standins.wait_until(lambda: len(site.arrivals()) == 3)
            await send_events(connection, 3, 3)
            await kept.set()
            if breaks_off:
                await curio.sleep(0.05)
                raise http.Disconnected('broken', step='send', peer='test')
            await connection.wait_closed()

        async def rest(runner, connection, arrival):
            await kept.wait()
            await curio.sleep(0.02)
            await standins.begin_stream(runner, connection, arrival)
            await curio.sleep(0.1)
            first = int(arrival.head.headers['last-event-id']) + 1
            await send_events(connection, first, EVENTS)
            await connection.send('answer', h11.EndOfMessage())

        set_actions(site, break_off, go_on_late, rest)
        head, body, _ = await planned_stop.ask(site, '/stream/')
        assert numbers_of(body) == list(range(1, EVENTS + 1))


class TestHeldAnswer:
    """Guards against an answer at hand that is held until it is too late."""

    def hold(self, site):
        """Let all small models ask for a larger one, which is silent."""

        async def act(runner, connection, arrival):
            if arrival.model == 'large':
                await standins.never_respond(runner, connection, arrival)
            else:
                await standins.send_stream(runner, connection, arrival)

        for runner in site.runners.values():
            runner.confidence = {'small': 0}
            runner.default_action = act

    @standins.on_site
    async def test_silent_larger_model_takes_the_last_attempt(self, site):
        await change_route(site, 'stream', maxAttempts=2)
        self.hold(site)
        began = time.monotonic()
        head, body = await site.request('/stream/')
        assert (head.status, numbers_of(body)) == (
            200,
            list(range(1, EVENTS + 1)),
        )
        assert time.monotonic() - began < 1.5

    @standins.on_site
    async def test_deadline_comes_before_the_larger_model_is_late(self, site):
        self.hold(site)
        head, body = await site.request(
            '/stream/', celeryward_deadline_ms='700'
        )
        assert (head.status, numbers_of(body)) == (
            200,
            list(range(1, EVENTS + 1)),
        )


class TestSameMoment:
    """Guards against two answers that arrive at once and are both taken."""

    @pytest.mark.parametrize('stream_first', (True, False))
    @pytest.mark.parametrize('late_first', (True, False))
    @standins.on_site
    async def test_whole_answer_beside_a_stream(
        self, site, stream_first, late_first
    ):
        await planned_stop.raise_timeouts(site)
        late = []

        async def wait(runner, connection, arrival):
            late.append((runner, connection, arrival))
            await curio.sleep(LONG_SECONDS)

        async def begin(runner, connection, arrival):
            await standins.begin_stream(runner, connection, arrival)
            data = make_event(1)
            await connection.send('answer', h11.Data(data=data))

        async def answer_both(runner, connection, arrival):
            await curio.sleep(0.1)
            exchanges = [*late, (runner, connection, arrival)]
            if not late_first:
                exchanges.reverse()
            kinds = [begin, standins.respond_with(404, b'none')]
            if not stream_first:
                kinds.reverse()
            for action, exchange in zip(kinds, exchanges):
                await action(*exchange)
            _, connection, _ = exchanges[kinds.index(begin)]
            await send_events(connection, 2, EVENTS)
            await connection.send('answer', h11.EndOfMessage())

        set_actions(site, wait, answer_both)
        head, body, _ = await planned_stop.ask(site, '/stream/')
        assert (head.status, numbers_of(body)) in (
            (200, list(range(1, EVENTS + 1))),
            (404, []),
        )


class TestSlowCaller:
    """Guards against a write that another dispatch cuts off inside."""

    @standins.on_site
    async def test_endpoint_is_lost_while_its_events_are_written(self, site):
        await planned_stop.raise_timeouts(site)

        async def send_all(runner, connection, arrival):
            first = int(arrival.head.headers.get('last-event-id', '0')) + 1
            await standins.begin_stream(runner, connection, arrival)
            await send_events(
                connection, first, LARGE_EVENTS, LARGE_EVENT_BYTES, 0.0
            )
            await connection.send('answer', h11.EndOfMessage())

        set_actions(site, send_all)
        connection = await site.connect()
        headers = standins.request_headers(
            '/stream/', celeryward_deadline_ms='15000'
        )
        await http.send_request(connection, 'GET', '/stream/', headers, b'')
        await standins.wait_until(site.arrivals)
        await standins.wait_until(
            lambda: any(each.writing for each in site.router.gateway.active)
        )
        first = next(r for r in site.runners.values() if r.arrivals)
        await site.router.forwarder.hedge_exchanges(
            site.router.runners.runners[first.id]
        )
        await standins.wait_until(lambda: len(site.arrivals()) == 2)
        await curio.sleep(0.6)
        deadline = deadlines.Deadline.after(LONG_SECONDS)
        await connection.receive_response(deadline)
        body = await connection.receive_body('read body', deadline, 2**30)
        assert numbers_of(body) == list(range(1, LARGE_EVENTS + 1))
        await connection.close()


class TestSeeds:
    """Guards against answers that mix, lose or leave parts of their runs."""

    def make_action(self, generator, ran):
        """Return an action that does one of many things at random times."""
        kind = generator.choice(KINDS)
        pauses = [
            generator.choice((0.0, 0.002, 0.01, 0.03, 0.08))
            for _ in range(EVENTS + 2)
        ]
        last = generator.randrange(0, EVENTS + 1)

        async def act(runner, connection, arrival):
            request_id = arrival.head.headers['celeryward-attempt-id']
            ran[request_id] += kind != 'refusal'
            await curio.sleep(pauses[-1])
            if kind == 'mute':
                await standins.never_respond(runner, connection, arrival)
            elif kind == 'error':
                await standins.respond_with(500)(runner, connection, arrival)
            elif kind == 'refusal':
                await standins.respond_with(503, celeryward_not_executed='1')(
                    runner, connection, arrival
                )
            await standins.begin_stream(runner, connection, arrival)
            first = int(arrival.head.headers.get('last-event-id', '0')) + 1
            for number in range(first, EVENTS + 1):
                await curio.sleep(pauses[number])
                data = make_event(number)
                await connection.send('answer', h11.Data(data=data))
                if kind == 'break' and number >= last:
                    raise http.Disconnected('broken', step='', peer='test')
                if kind == 'silent' and number >= last:
                    await connection.wait_closed()
                    raise http.Disconnected('closed', step='', peer='test')
            await connection.send('answer', h11.EndOfMessage())

        return act

    async def ask(self, site, number):
        """Send one request; check what its caller gets."""
        connection = await site.connect()
        body = b''
        complete = False
        headers = standins.request_headers('/stream/', request_id=f'r{number}')
        await http.send_request(connection, 'GET', '/stream/', headers, b'')
        deadline = deadlines.Deadline.after(LONG_SECONDS)
        try:
            head = await connection.receive_response(deadline)
            chunks = connection.receive_chunks('read', lambda: deadline)
            async for chunk in chunks:
                body += chunk
            complete = head.status == 200
        except http.Disconnected:
            pass
        finally:
            await connection.close()
        numbers = numbers_of(body)
        assert numbers == list(range(1, len(numbers) + 1)), numbers
        assert not complete or len(numbers) == EVENTS, numbers

    def shorten_waits(self, monkeypatch):
        """Let requests be raced and given up after short waits."""
        monkeypatch.setattr(replacements, 'LATE_STREAM_SECONDS', 0.05)
        monkeypatch.setattr(races, 'CONFIRMATION_SECONDS', 0.03)
        monkeypatch.setattr(waits, 'NOTICE_INTERVAL_SECONDS', 0.02)
        monkeypatch.setattr(endpoint_timeouts, 'MIN_HEAD_SECONDS', 0.02)
        monkeypatch.setattr(endpoint_timeouts, 'HEAD_OBJECTIVE_FRACTION', 0.05)
        monkeypatch.setattr(endpoint_timeouts, 'PAUSE_FACTOR', 0.1)

    @pytest.mark.filterwarnings(test_once.UNRAISABLE_WARNINGS)
    @pytest.mark.parametrize('seed', range(SEEDS))
    @standins.on_site
    async def test_whatever_endpoints_do_at_once(
        self, site, seed, monkeypatch
    ):
        generator = random.Random(seed)
        self.shorten_waits(monkeypatch)
        ran = collections.Counter()
        monkeypatch.setattr(
            fleet_retries.FleetBudget, 'try_take', lambda self: True
        )
        for runner in site.runners.values():
            for _ in range(6 * REQUESTS):
                runner.scripted_actions.append(
                    self.make_action(generator, ran)
                )
            runner.confidence = {'small': generator.choice((0, 100))}

        async def report():
            while True:
                await curio.sleep(generator.choice((0.02, 0.05, 0.1)))
                lost = generator.choice(list(site.runners))
                await site.router.forwarder.hedge_exchanges(
                    site.router.runners.runners[lost]
                )

        reporting = await curio.spawn(report)
        async with curio.TaskGroup() as group:
            for number in range(REQUESTS):
                await group.spawn(self.ask, site, number)
                await curio.sleep(0.02)
        await reporting.cancel()
        assert not any(group.exceptions)
        await curio.sleep(0.05)
        assert not site.router.forwarder.exchanges
        assert not site.router.closures.places
        assert not any(site.router.outcomes.in_flight.values())
        assert not site.router.releases.runs.runs
        assert max(ran.values()) <= 3
