"""Estimates of queues, and the choice of endpoints by them."""

import heapq

import pytest

from celeryward.endpoints import queueing
from celeryward.endpoints import runners
from celeryward.endpoints import selection
from tests import fakes


@pytest.fixture
def clock():
    return fakes.CallableClock(100.0)


@pytest.fixture
def queues(clock):
    return queueing.QueueEstimates(clock)


class TestQueueEstimates:
    """Guards against requests for an endpoint whose queue is known."""

    def test_unknown_endpoint_has_no_queue(self, queues):
        assert queues.seconds('e1') == 0.0

    def test_measured_wait_decays(self, queues, clock):
        queues.record('e1', 1.0)
        assert queues.seconds('e1') == queueing.SAMPLE_WEIGHT
        clock.now += 20.0
        assert queues.seconds('e1') < 0.1

    def test_request_without_an_answer_shows_the_queue(self, queues, clock):
        """Requests went on to an endpoint that had not answered for 2 s."""
        number = queues.begin('e1')
        later = queues.begin('e1')
        clock.now += 2.0
        assert queues.seconds('e1') == 2.0 - queueing.USUAL_HEAD_SECONDS
        queues.end('e1', number)
        queues.end('e1', later)
        queues.end('e1', later)
        assert queues.seconds('e1') == 0.0
        assert not queues.unanswered


class TestSelection:
    """Guards against a queue at the endpoint that all routers prefer."""

    ENDPOINTS = tuple(
        runners.Runner(f'e{number}', 'llm', '127.0.0.1', number, 'a')
        for number in range(1, 6)
    )

    def select(self, queues, use_estimates=True):
        query = selection.Query(
            self.ENDPOINTS,
            'a',
            affinity='prompt',
            in_flight={
                name: len(requests)
                for name, requests in queues.unanswered.items()
            },
            queue_seconds=(
                queues.seconds if use_estimates else selection.no_queue
            ),
        )
        return selection.select(query).id

    def test_preferred_endpoint_is_left_while_its_queue_is_long(
        self, queues, clock
    ):
        home = self.select(queues)
        queues.record(home, 0.1)
        assert self.select(queues) == home
        queues.record(home, 3.0)
        second = self.select(queues)
        assert second != home
        queues.record(second, 3.0)
        chosen = {self.select(queues) for _ in range(50)}
        assert len(chosen) == 3 and not chosen & {home, second}
        clock.now += 20.0
        assert self.select(queues) == home

    def test_long_queues_are_taken_less_often(self, queues):
        """A prompt that all endpoints serve went to the longest queue."""
        for each in self.ENDPOINTS[:-1]:
            queues.record(each.id, 9.0)
        chosen = [self.select(queues) for _ in range(200)]
        assert chosen.count(self.ENDPOINTS[-1].id) > 200 / 5

    def test_routers_spread_a_hot_prompt(self):
        """All routers sent the requests of one prompt to one endpoint."""
        with_estimates = self.waits_of_a_hot_prompt(True)
        without = self.waits_of_a_hot_prompt(False)
        assert with_estimates[1330] < 0.75 * without[1330]
        assert with_estimates[700] < 0.5 * without[700]

    def waits_of_a_hot_prompt(self, use_estimates):
        """Return the sorted waits of 1,400 requests from seven routers.

        The endpoints are used to 80%.
        """
        clock = fakes.CallableClock(100.0)
        work_seconds = 0.05
        free_at = dict.fromkeys((each.id for each in self.ENDPOINTS), 0.0)
        views = [queueing.QueueEstimates(clock) for _ in range(7)]
        waits = []
        unanswered = []
        for number in range(1400):
            clock.now += 0.2 * work_seconds / 0.8
            while unanswered and unanswered[0][0] <= clock.now:
                _, view, chosen, token, wait = heapq.heappop(unanswered)
                views[view].end(chosen, token)
                if use_estimates:
                    views[view].record(chosen, wait)
            view = number % len(views)
            chosen = self.select(views[view], use_estimates)
            wait = max(0.0, free_at[chosen] - clock.now)
            free_at[chosen] = clock.now + wait + work_seconds
            token = views[view].begin(chosen)
            heapq.heappush(
                unanswered, (free_at[chosen], view, chosen, token, wait)
            )
            waits.append(wait)
        return sorted(waits)
