"""Admission to the slots of a model."""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import queues
from celeryward import deadlines
from celeryward import durations
from celeryward import errors
from tests import test_withdrawal

cluster_run = test_withdrawal.cluster_run


class QueueHarness:
    """A queue, with numbering of tickets."""

    def __init__(self, slots=1, seconds=1.0):
        self.queue = queues.ModelQueue('m')
        self.queue.slots = slots
        self.queue.mean_seconds = seconds
        self.number = 0

    def offer(self, customer, deadline=1e9, priority=0, weight=1.0):
        self.number += 1
        ticket = queues.Ticket(
            self.number, customer, priority, deadlines.Deadline(deadline)
        )
        return self.queue.offer(ticket, weight, 0.0)

    def serve(self, count, seconds=1.0):
        """Run requests one after the other; return their customers."""
        served = []
        for _ in range(count):
            ticket, _ = self.queue.start_next(0.0)
            served.append(ticket.customer)
            used = seconds.get(ticket.customer) if seconds != 1.0 else 1.0
            self.queue.finish(ticket, used)
        return served


class TestFairness:
    """Guards against a customer with high load that starves a small one."""

    def test_customer_that_arrives_late_gets_its_share(self):
        harness = QueueHarness()
        for _ in range(10):
            harness.offer('large')
        harness.serve(5)
        for _ in range(3):
            harness.offer('small')
        assert harness.serve(6).count('small') == 3

    def test_long_requests_are_charged_more(self):
        harness = QueueHarness()
        for _ in range(12):
            harness.offer('long')
            harness.offer('short')
        served = harness.serve(12, {'long': 5.0, 'short': 1.0})
        assert served.count('short') >= 8

    def test_weight_gives_a_share_and_no_precedence(self):
        harness = QueueHarness()
        for _ in range(12):
            harness.offer('heavy', weight=queues.share_weight(2))
            harness.offer('light', weight=queues.share_weight(0))
        served = harness.serve(12)
        assert 2 <= served.count('light') <= 4

    def test_idle_customer_accumulates_no_credit(self):
        harness = QueueHarness()
        for _ in range(16):
            harness.offer('busy')
        harness.serve(10)
        for _ in range(4):
            harness.offer('idle')
        assert harness.serve(6).count('busy') >= 2

    def test_full_queue_displaces_from_the_longest_queue(self):
        harness = QueueHarness()
        for _ in range(queues.MAX_WAITING_PER_SLOT):
            assert harness.offer('large').unwrap() is None
        assert harness.offer('small').unwrap().customer == 'large'
        assert harness.offer('large').is_err()
        assert harness.queue.waiting == queues.MAX_WAITING_PER_SLOT


class TestPriorities:
    """Guards against a low priority that is served first."""

    def test_priority_then_age(self):
        harness = QueueHarness()
        for priority in (0, 5, 0, 5):
            harness.offer('a', priority=priority)
        harness.queue.slots = 4
        started = [harness.queue.start_next(0.0)[0] for _ in range(4)]
        assert [ticket.number for ticket in started] == [2, 4, 1, 3]

    def test_higher_priority_displaces_in_a_full_queue(self):
        harness = QueueHarness()
        for _ in range(queues.MAX_WAITING_PER_SLOT):
            harness.offer('a')
        displaced = harness.offer('a', priority=1).unwrap()
        assert displaced.number == queues.MAX_WAITING_PER_SLOT


class TestDeadlines:
    """Guards against running requests that can't be answered in time."""

    def test_refused_when_the_wait_is_too_long(self):
        harness = QueueHarness()
        for _ in range(5):
            harness.offer('a')
        refused = harness.offer('a', deadline=2.0).unwrap_err()
        assert isinstance(refused, errors.Overloaded)
        assert refused.execution is errors.Execution.NOT_RUN
        assert refused.retry_at.at == pytest.approx(4.0)

    def test_expected_wait_counts_the_fair_share_only(self):
        harness = QueueHarness()
        for _ in range(10):
            harness.offer('large')
        assert harness.offer('small', deadline=4.0).is_ok()

    def test_late_ticket_is_not_started(self):
        harness = QueueHarness()
        harness.offer('a', deadline=5.0)
        harness.offer('a', deadline=50.0)
        ticket, late = harness.queue.start_next(6.0)
        assert ticket.number == 2
        assert [each.number for each, _ in late] == [1]

    def test_idle_queue_refuses_no_request(self):
        harness = QueueHarness(seconds=10.0)
        harness.queue.duration_estimates['a'] = durations.DurationEstimate(
            10.0
        )
        assert harness.offer('a', deadline=1.0).is_ok()

    def test_varying_durations_leave_a_margin(self):
        harness = QueueHarness()
        harness.queue.duration_estimates['a'] = durations.DurationEstimate(
            1.0, 0.5
        )
        harness.offer('a')
        assert harness.offer('a', deadline=3.9).is_err()
        assert harness.offer('a', deadline=4.1).is_ok()

    def test_failures_lengthen_but_never_shorten_the_wait(self):
        harness = QueueHarness(seconds=10.0)
        harness.queue.duration_estimates['a'] = durations.DurationEstimate(
            10.0
        )
        means = []
        for seconds in (0.001, 30.0):
            harness.offer('a')
            harness.queue.release(harness.queue.start_next(0.0)[0], seconds)
            means.append(harness.queue.mean_seconds)
        assert means == pytest.approx([10.0, 12.0])

    def test_slots_are_freed(self):
        harness = QueueHarness(slots=3)
        for _ in range(3):
            harness.offer('a')
        started = [harness.queue.start_next(0.0)[0] for _ in range(3)]
        harness.queue.finish(started[0], 1.0)
        harness.queue.release(started[1])
        harness.queue.finish(started[2], 1.0)
        assert (harness.queue.running, harness.queue.outstanding) == (0, 0)


class TestAccounting:
    """Guards against tickets that are lost, doubled or never started."""

    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                (*['offer'] * 4, 'start', 'finish', 'cancel')
            ),
            strategies.sampled_from('abc'),
            strategies.integers(0, 2),
        ),
        max_size=120,
    )

    @hypothesis.given(steps)
    def test_each_ticket_ends_once(self, steps):
        harness = QueueHarness(slots=2)
        waiting, running = {}, []
        for step, customer, priority in steps:
            if step == 'offer':
                offered = harness.offer(customer, priority=priority)
                if offered.is_ok():
                    waiting[harness.number] = customer
                    displaced = offered.unwrap()
                    if displaced is not None:
                        waiting.pop(displaced.number)
            elif step == 'start':
                ticket, late = harness.queue.start_next(0.0)
                assert not late
                assert (ticket is None) == (
                    not waiting or len(running) == harness.queue.slots
                )
                if ticket is not None:
                    waiting.pop(ticket.number)
                    running.append(ticket)
            elif step == 'finish' and running:
                harness.queue.finish(running.pop(0), 1.0 + priority)
            elif step == 'cancel' and customer in waiting.values():
                ticket = harness.queue.customer_queues[customer].last()
                harness.queue.cancel(ticket)
                waiting.pop(ticket.number)
            assert harness.queue.waiting == len(waiting)
            assert harness.queue.running == len(running)


class TestRequestPath:
    """Guards against request handling that bypasses the queue."""

    def occupy(self, cluster):
        """Occupy all slots of the small model; return its queue."""
        queue = cluster.daemon.request_handler.model_queues.queue('small')
        queue.running = queue.slots
        return queue

    async def send_queued_request(self, cluster):
        """Send a request that is queued; return the queue and the task."""
        queue = self.occupy(cluster)
        request = await curio.spawn(cluster.ask, 'small')
        while not queue.waiting:
            await curio.sleep(0.005)
        return queue, request

    def test_waiting_request_leaves_a_withdrawn_version(self, cluster_run):
        async def test(cluster):
            queue, request = await self.send_queued_request(cluster)
            cluster.withdraw('small@1')
            queue.running = 0
            await cluster.daemon.request_handler.model_queues.start_ready(
                'small'
            )
            head, _, _ = await request.join()
            assert head.headers['x-served-by'] == 'small@2'
            assert cluster.small.chats_started == {'small@2': 1}
            assert queue.outstanding == 0

        cluster_run(test)

    def test_waiting_request_gets_a_slot_that_is_added(self, cluster_run):
        async def test(cluster):
            queue, request = await self.send_queued_request(cluster)
            cluster.change('Endpoint', 'small-a', capacity=9)
            head, _, _ = await curio.timeout_after(1.0, request.join)
            assert head.status == 200
            assert queue.running == queue.slots - 1

        cluster_run(test)

    def test_waiting_request_gets_a_slot_of_an_endpoint_that_is_live_again(
        self, cluster_run
    ):
        async def test(cluster):
            cluster.daemon.liveness.set_leaving('small-b', True)
            queue, request = await self.send_queued_request(cluster)
            cluster.daemon.liveness.set_leaving('small-b', False)
            head, _, _ = await curio.timeout_after(1.0, request.join)
            assert head.status == 200
            assert queue.running == queue.slots - 8

        cluster_run(test)

    def test_deadline_in_the_queue_removes_the_ticket(self, cluster_run):
        async def test(cluster):
            queue = self.occupy(cluster)
            timeout = {'x-timeout-ms': '500'}
            head, _, error = await cluster.ask('small', **timeout)
            assert (head.status, error['execution']) == (504, 'not-run')
            assert head.headers['retry-after'] == '1'
            assert queue.waiting == 0
            assert not cluster.daemon.request_handler.model_queues.waiters
            assert not cluster.small.chats_started

        cluster_run(test)

    def test_displaced_request_reports_that_it_did_not_run(self, cluster_run):
        async def test(cluster):
            queue, request = await self.send_queued_request(cluster)
            model_queues = cluster.daemon.request_handler.model_queues
            ticket = queue.customer_queues['workshop'].last()
            queue.cancel(ticket)
            await model_queues.wake(ticket, queue.queue_full_error(1.0, 0.0))
            head, _, error = await request.join()
            assert (head.status, error['execution']) == (503, 'not-run')
            assert queue.waiting == 0

        cluster_run(test)

    def test_slots_are_the_sum_over_live_endpoints(self, cluster_run):
        async def test(cluster):
            queue = cluster.daemon.request_handler.model_queues.queue
            assert queue('small').slots == 16
            cluster.change('Endpoint', 'small-a', capacity=3)
            assert queue('small').slots == 11
            cluster.daemon.liveness.set_leaving('small-b', True)
            assert queue('small').slots == 3

        cluster_run(test)

    def test_refused_request_did_not_run_and_can_be_retried(self, cluster_run):
        async def test(cluster):
            queue = self.occupy(cluster)
            queue.mean_seconds = 3_000.0
            timeout = {'x-timeout-ms': '5000'}
            head, _, error = await cluster.ask('small', **timeout)
            assert (head.status, error['execution']) == (503, 'not-run')
            assert int(head.headers['retry-after']) > 1
            assert not cluster.small.chats_started

        cluster_run(test)

    def test_customer_limit_is_applied(self, cluster_run):
        async def test(cluster):
            cluster.change(
                'Customer', 'workshop', limits={'requests_per_s': 0.01}
            )
            assert (await cluster.ask('small'))[0].status == 200
            head, _, error = await cluster.ask('small')
            assert (head.status, error['execution']) == (429, 'not-run')
            assert int(head.headers['retry-after']) > 1

        cluster_run(test)

    def test_cost_is_charged(self, cluster_run):
        async def test(cluster):
            limited = {'cost_per_day': 0.001}
            cluster.change('Customer', 'workshop', limits=limited)
            assert (await cluster.ask('small'))[0].status == 200
            head, _, error = await cluster.ask('small')
            assert (head.status, error['code']) == (429, 'limit_exceeded')
            demand = cluster.daemon.request_handler.demand()
            assert demand.of_customer('workshop').cost > 0.001

        cluster_run(test)
