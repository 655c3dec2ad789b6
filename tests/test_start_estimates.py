"""Requests that would wait at an endpoint until their deadlines."""

import contextlib
import heapq
import random

import curio
import pytest

from celeryward.endpoints import start_estimates
from celeryward import http
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def clock():
    return fakes.CallableClock(100.0)


@pytest.fixture
def starts(clock):
    return start_estimates.StartEstimates(clock)


class TestEstimates:
    """Guards against requests that wait in vain, and refusals in vain."""

    def test_burst_at_an_idle_endpoint_is_not_refused(self, starts):
        for _ in range(100):
            assert starts.can_start('e1', 2, 1.0)
            starts.begin('e1', 2)

    def test_request_behind_one_that_does_not_start_is_not_sent(
        self, starts, clock
    ):
        """Less urgent requests were sent to a queue that stood still."""
        starts.begin('e1', 2)
        clock.now += 1.2
        assert not starts.can_start('e1', 2, 4.0)
        assert starts.can_start('e1', 2, 20.0)
        assert starts.can_start('e1', 0, 4.0)
        assert starts.can_start('e2', 2, 4.0)

    def test_one_request_at_a_time_shows_whether_the_queue_moves(
        self, starts, clock
    ):
        start = starts.begin('e1', 2)
        clock.now += 4.0
        starts.end(start)
        assert starts.can_start('e1', 2, 4.0)
        starts.begin('e1', 2)
        assert not starts.can_start('e1', 2, 4.0)

    def test_quick_start_ends_the_refusals(self, starts, clock):
        start = starts.begin('e1', 2)
        clock.now += 4.0
        starts.end(start)
        start = starts.begin('e1', 2)
        clock.now += 0.05
        starts.end(start, has_started=True)
        starts.begin('e1', 2)
        assert starts.can_start('e1', 2, 4.0)

    def test_long_queue_that_moves_takes_what_it_can_start_in_time(
        self, starts, clock
    ):
        sent = [starts.begin('e1', 2) for _ in range(40)]
        clock.now += 1.2
        for start in sent[:20]:
            starts.end(start, has_started=True)
        taken = 0
        for _ in range(100):
            if starts.can_start('e1', 2, 4.0):
                starts.begin('e1', 2)
                taken += 1
        assert 15 <= taken <= 25

    def test_quick_refusal_does_not_hide_a_long_wait(self, starts, clock):
        start = starts.begin('e1', 2)
        clock.now += 4.0
        starts.end(start)
        start = starts.begin('e1', 2)
        clock.now += 0.01
        starts.end(start)
        starts.begin('e1', 2)
        assert not starts.can_start('e1', 2, 4.0)

    def test_old_wait_is_no_evidence(self, starts, clock):
        start = starts.begin('e1', 2)
        clock.now += 2.0
        starts.end(start)
        clock.now += 60.0
        starts.begin('e1', 2)
        assert starts.can_start('e1', 2, 4.0)

    def test_state_of_an_endpoint_that_is_gone_is_dropped(self, starts, clock):
        first, second = (starts.begin('e1', 2) for _ in range(2))
        clock.now += 2.0
        starts.end(first)
        starts.end(first)
        starts.forget('e1')
        starts.end(second)
        assert not starts.paces and not starts.waiting


class PriorityEndpoint:
    """Starts the most urgent request first; its queue is bounded."""

    PLACES = 130
    WORK_SECONDS = 0.05

    def __init__(self):
        self.waiting = []
        self.free_at = 0.0

    def advance(self, now):
        """Yield the router's number, and the requests that end by a time."""
        while self.waiting and self.free_at <= now:
            *_, router, start, deadline = heapq.heappop(self.waiting)
            starts_at = max(self.free_at, start.sent_at)
            in_time = starts_at <= deadline
            if in_time:
                self.free_at = starts_at + self.WORK_SECONDS
            yield router, start, in_time

    def add(self, router, start, deadline):
        """Queue a request; return whether there is a place."""
        has_place = len(self.waiting) < self.PLACES
        if has_place:
            entry = (start.urgency, start.sent_at, router, start, deadline)
            heapq.heappush(self.waiting, entry)
        return has_place


class TestOverload:
    """Guards against urgent requests that find no place at an endpoint."""

    SECONDS = 30.0
    ROUTERS = 7
    # Requests a second by urgency; the endpoint can do 20.
    RATES = {0: 18, 2: 30}
    URGENT = SECONDS * RATES[0]

    def arrivals(self):
        """Return the sorted times, urgencies and routers of all requests."""
        generator = random.Random(1)
        return sorted(
            (
                generator.uniform(0.0, self.SECONDS),
                urgency,
                generator.randrange(self.ROUTERS),
            )
            for urgency, rate in self.RATES.items()
            for _ in range(int(rate * self.SECONDS))
        )

    def served(self, use_estimates):
        """Return how many requests start in time, by urgency."""
        clock = fakes.CallableClock()
        views = [
            start_estimates.StartEstimates(clock) for _ in range(self.ROUTERS)
        ]
        endpoint = PriorityEndpoint()
        served = dict.fromkeys(self.RATES, 0)
        for clock.now, urgency, router in self.arrivals():
            for view, start, in_time in endpoint.advance(clock.now):
                served[start.urgency] += in_time
                views[view].end(start, in_time)
            view = views[router]
            if use_estimates and not view.can_start('e1', urgency, 5.0):
                continue
            start = view.begin('e1', urgency)
            if not endpoint.add(router, start, clock.now + 5.0):
                view.end(start)
        return served

    def test_urgent_requests_find_places(self):
        """Requests that waited in vain filled the queue of an endpoint."""
        before, after = self.served(False), self.served(True)
        assert before[0] < 0.95 * self.URGENT
        assert after[0] >= 0.95 * self.URGENT
        assert sum(after.values()) >= sum(before.values())


class BusyEndpoint(standins.RunnerStandIn):
    """Runs urgent requests only, and has few places in its queue."""

    PLACES = 4
    URGENT_PATH = '/open/'

    def __init__(self):
        super().__init__('app-1', 'app')
        self.default_action = self.act
        self.is_busy = True
        self.queued = 0

    async def act(self, runner, connection, arrival):
        """Queue a request that is not urgent, if there is a place."""
        action = standins.send_default_response
        if self.queued >= self.PLACES:
            action = standins.refuse_unexecuted()
        elif self.is_busy and not arrival.head.target.startswith(
            self.URGENT_PATH
        ):
            action = standins.never_respond
        self.queued += 1
        try:
            await action(runner, connection, arrival)
        finally:
            self.queued -= 1


class TestRequests:
    """Guards against callers that wait in vain and keep others out."""

    @pytest.fixture
    def site(self):
        site = standins.Site([BusyEndpoint()])
        site.endpoint = site.runners['app-1']
        return site

    @contextlib.asynccontextmanager
    async def waiting_requests(self, site):
        """Keep requests waiting until they show that none starts."""
        async with curio.TaskGroup() as group:
            for number in range(2):
                await group.spawn(self.ask, site, f'first-{number}')
            await curio.sleep(0.7)
            yield
            await group.cancel_remaining()

    async def ask(self, site, name, path='/once/x'):
        with contextlib.suppress(http.Disconnected):
            return await site.request(path, 'POST', request_id=name)

    @standins.on_site
    async def test_request_that_cannot_start_is_refused_at_once(self, site):
        """Its caller got a 504 at the end of its time."""
        async with self.waiting_requests(site):
            async with curio.timeout_after(0.5):
                head, _ = await self.ask(site, 'late')
            assert head.status == 503
            assert float(head.headers['retry-after']) > 0.0
            assert len(site.endpoint.arrivals) == 2

    @standins.on_site
    async def test_urgent_request_is_not_kept_out_by_those_that_wait(
        self, site
    ):
        """Requests that waited in vain had all places of the endpoint."""
        async with self.waiting_requests(site):
            async with curio.TaskGroup() as group:
                for number in range(4):
                    await group.spawn(self.ask, site, f'more-{number}')
                await curio.sleep(0.2)
                head, body = await self.ask(site, 'urgent', '/open/x')
                await group.cancel_remaining()
            assert (head.status, body) == (200, b'whole answer')

    @standins.on_site
    async def test_requests_are_sent_again_once_one_has_started(self, site):
        async with self.waiting_requests(site):
            head, _ = await self.ask(site, 'refused')
            assert head.status == 503
        site.endpoint.is_busy = False
        for number in range(3):
            head, _ = await self.ask(site, f'later-{number}')
            assert head.status == 200
