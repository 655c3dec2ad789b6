"""Admission to the slots of a model."""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import queues
from celeryward import deadlines
from celeryward import errors
from tests import test_withdrawal

cluster_run = test_withdrawal.cluster_run


class Bench:
    """A queue, and counters for tickets."""

    def __init__(self, slots=1, seconds=1.0):
        self.queue = queues.ModelQueue('m')
        self.queue.slots = slots
        self.queue.mean_seconds = seconds
        self.number = 0

    def offer(self, customer, deadline=1e9, priority=0, share=1.0):
        self.number += 1
        ticket = queues.Ticket(
            self.number, customer, priority, deadlines.Deadline(deadline)
        )
        return self.queue.offer(ticket, share, 0.0)

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
    """Guards against a large customer that starves a small one."""

    def test_late_small_customer_takes_turns(self):
        bench = Bench()
        for _ in range(10):
            bench.offer('large')
        bench.serve(5)
        for _ in range(3):
            bench.offer('small')
        assert bench.serve(6).count('small') == 3

    def test_long_requests_count_for_more(self):
        bench = Bench()
        for _ in range(12):
            bench.offer('long')
            bench.offer('short')
        served = bench.serve(12, {'long': 5.0, 'short': 1.0})
        assert served.count('short') >= 8

    def test_weight_is_a_share_and_not_a_precedence(self):
        bench = Bench()
        for _ in range(12):
            bench.offer('heavy', share=queues.weight(2))
            bench.offer('light', share=queues.weight(0))
        served = bench.serve(12)
        assert 2 <= served.count('light') <= 4

    def test_idle_customer_saves_no_credit(self):
        bench = Bench()
        for _ in range(16):
            bench.offer('busy')
        bench.serve(10)
        for _ in range(4):
            bench.offer('idle')
        assert bench.serve(6).count('busy') >= 2

    def test_full_queue_displaces_the_longest_line(self):
        bench = Bench()
        for _ in range(queues.WAITING_PER_SLOT):
            assert bench.offer('large').unwrap() is None
        assert bench.offer('small').unwrap().customer == 'large'
        assert bench.offer('large').is_err()
        assert bench.queue.waiting == queues.WAITING_PER_SLOT


class TestPriorities:
    """Guards against a low priority that goes first."""

    def test_priority_then_age(self):
        bench = Bench()
        for priority in (0, 5, 0, 5):
            bench.offer('a', priority=priority)
        bench.queue.slots = 4
        started = [bench.queue.start_next(0.0)[0] for _ in range(4)]
        assert [ticket.number for ticket in started] == [2, 4, 1, 3]

    def test_higher_priority_displaces_in_a_full_queue(self):
        bench = Bench()
        for _ in range(queues.WAITING_PER_SLOT):
            bench.offer('a')
        displaced = bench.offer('a', priority=1).unwrap()
        assert displaced.number == queues.WAITING_PER_SLOT


class TestDeadlines:
    """Guards against work that can't be answered in time."""

    def test_refused_when_the_wait_is_too_long(self):
        bench = Bench()
        for _ in range(5):
            bench.offer('a')
        refused = bench.offer('a', deadline=2.0).unwrap_err()
        assert isinstance(refused, errors.Overloaded)
        assert refused.execution is errors.Execution.NOT_RUN
        assert refused.retry_at.at == pytest.approx(4.0)

    def test_fair_turn_is_counted_and_not_the_whole_queue(self):
        bench = Bench()
        for _ in range(10):
            bench.offer('large')
        assert bench.offer('small', deadline=4.0).is_ok()

    def test_late_ticket_is_not_started(self):
        bench = Bench()
        bench.offer('a', deadline=5.0)
        bench.offer('a', deadline=50.0)
        ticket, late = bench.queue.start_next(6.0)
        assert ticket.number == 2
        assert [each.number for each, _ in late] == [1]

    def test_idle_queue_refuses_nobody(self):
        bench = Bench(seconds=10.0)
        bench.queue.usual['a'] = queues.Usual(10.0)
        assert bench.offer('a', deadline=1.0).is_ok()

    def test_varying_durations_leave_a_margin(self):
        bench = Bench()
        bench.queue.usual['a'] = queues.Usual(1.0, 0.5)
        bench.offer('a')
        assert bench.offer('a', deadline=3.9).is_err()
        assert bench.offer('a', deadline=4.1).is_ok()

    def test_failures_lengthen_but_never_shorten_the_wait(self):
        bench = Bench(seconds=10.0)
        bench.queue.usual['a'] = queues.Usual(10.0)
        means = []
        for seconds in (0.001, 30.0):
            bench.offer('a')
            bench.queue.release(bench.queue.start_next(0.0)[0], seconds)
            means.append(bench.queue.mean_seconds)
        assert means == pytest.approx([10.0, 12.0])

    def test_slots_are_given_back(self):
        bench = Bench(slots=3)
        for _ in range(3):
            bench.offer('a')
        started = [bench.queue.start_next(0.0)[0] for _ in range(3)]
        bench.queue.finish(started[0], 1.0)
        bench.queue.release(started[1])
        bench.queue.finish(started[2], 1.0)
        assert (bench.queue.running, bench.queue.wanted) == (0, 0)


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
        bench = Bench(slots=2)
        waiting, running = {}, []
        for step, customer, priority in steps:
            if step == 'offer':
                offered = bench.offer(customer, priority=priority)
                if offered.is_ok():
                    waiting[bench.number] = customer
                    displaced = offered.unwrap()
                    if displaced is not None:
                        waiting.pop(displaced.number)
            elif step == 'start':
                ticket, late = bench.queue.start_next(0.0)
                assert not late
                assert (ticket is None) == (
                    not waiting or len(running) == bench.queue.slots
                )
                if ticket is not None:
                    waiting.pop(ticket.number)
                    running.append(ticket)
            elif step == 'finish' and running:
                bench.queue.finish(running.pop(0), 1.0 + priority)
            elif step == 'cancel' and customer in waiting.values():
                ticket = bench.queue.lines[customer].last()
                bench.queue.cancel(ticket)
                waiting.pop(ticket.number)
            assert bench.queue.waiting == len(waiting)
            assert bench.queue.running == len(running)


class TestOnThePath:
    """Guards against a queue that the path of a request goes around."""

    def occupy(self, cluster):
        """Occupy all slots of the small model; return its queue."""
        queue = cluster.daemon.request_handler.model_queues.queue('small')
        queue.running = queue.slots
        return queue

    async def ask_and_wait(self, cluster):
        """Send a request that waits; return the queue and the task."""
        queue = self.occupy(cluster)
        asking = await curio.spawn(cluster.ask, 'small')
        while not queue.waiting:
            await curio.sleep(0.005)
        return queue, asking

    def test_waiting_request_leaves_a_withdrawn_version(self, cluster_run):
        async def test(cluster):
            queue, asking = await self.ask_and_wait(cluster)
            cluster.withdraw('small@1')
            queue.running = 0
            await cluster.daemon.request_handler.model_queues.start_ready(
                'small'
            )
            head, _, _ = await asking.join()
            assert head.headers['x-served-by'] == 'small@2'
            assert cluster.small.started == {'small@2': 1}
            assert queue.wanted == 0

        cluster_run(test)

    def test_deadline_in_the_queue_frees_the_place(self, cluster_run):
        async def test(cluster):
            queue = self.occupy(cluster)
            timeout = {'x-timeout-ms': '500'}
            head, _, error = await cluster.ask('small', **timeout)
            assert (head.status, error['execution']) == (504, 'not-run')
            assert head.headers['retry-after'] == '1'
            assert queue.waiting == 0
            assert not cluster.daemon.request_handler.model_queues.waiters
            assert not cluster.small.started

        cluster_run(test)

    def test_displaced_request_is_told_that_it_did_not_run(self, cluster_run):
        async def test(cluster):
            queue, asking = await self.ask_and_wait(cluster)
            model_queues = cluster.daemon.request_handler.model_queues
            ticket = queue.lines['workshop'].last()
            queue.cancel(ticket)
            await model_queues.wake(ticket, queue.full(1.0, 0.0))
            head, _, error = await asking.join()
            assert (head.status, error['execution']) == (503, 'not-run')
            assert queue.waiting == 0

        cluster_run(test)

    def test_slots_are_those_of_live_endpoints(self, cluster_run):
        async def test(cluster):
            queue = cluster.daemon.request_handler.model_queues.queue
            assert queue('small').slots == 16
            cluster.change('Endpoint', 'small-a', capacity=3)
            assert queue('small').slots == 11
            cluster.daemon.liveness.set_leaving('small-b', True)
            assert queue('small').slots == 3

        cluster_run(test)

    def test_refusal_is_true_and_says_when_to_retry(self, cluster_run):
        async def test(cluster):
            queue = self.occupy(cluster)
            queue.mean_seconds = 3_000.0
            timeout = {'x-timeout-ms': '5000'}
            head, _, error = await cluster.ask('small', **timeout)
            assert (head.status, error['execution']) == (503, 'not-run')
            assert int(head.headers['retry-after']) > 1
            assert not cluster.small.started

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
