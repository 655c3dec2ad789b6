"""Work that begins while a daemon stops, and what its callers get."""

import dataclasses
import functools
import time

import curio
import pytest

from celeryward import deadlines
from celeryward import errors
from celeryward.operators import demo
from celeryward import processor_share
from celeryward.standins import engine
from celeryward.standins import fleet
from celeryward import stopping
from tests import platform_standins as standins
from tests import test_once

VERSIONS = (fleet.VERSION.name,)
STOP_SECONDS = 2.0
# Seconds for each token of an answer that outlasts the stop.
SLOW_TOKEN_SECONDS = 1.0
# Time in which a refusal must arrive.
AT_ONCE_SECONDS = 0.5
# Longer than connections without a request stay open in a stop.
HELD_SECONDS = 1.0


def make_engine(**faults):
    """Return an engine with some attributes set."""
    made = engine.EngineStandIn(VERSIONS)
    for name, value in faults.items():
        setattr(made, name, value)
    return made


def begin_stop(started):
    """Begin a stop of the process that a dispatcher is part of."""
    until = deadlines.BootDeadline.after(STOP_SECONDS)
    schedule = stopping.StopSchedule(until, until)
    started.dispatcher.completion.stop.begin(schedule)


def chats(started):
    """Return how many chats each engine has started."""
    return [sum(each.chats_started.values()) for each in started.engines]


class TestDispatches:
    """Guards against work that a stop cuts off."""

    @pytest.mark.parametrize('stream', (False, True))
    def test_request_that_may_outlast_the_stop_is_refused_as_not_run(
        self, with_fleet, stream
    ):
        async def test(started):
            begin_stop(started)
            attempt = started.make_attempt('x', stream)
            run = started.stream if stream else started.complete_chat
            with pytest.raises(errors.ShuttingDown) as raised:
                await run(attempt)
            assert raised.value.retry_at is not None
            assert chats(started) == [0]

        with_fleet(test, make_engine(token_seconds=SLOW_TOKEN_SECONDS))

    @pytest.mark.parametrize('stream', (False, True))
    def test_request_that_usually_ends_in_time_is_served(
        self, with_fleet, stream
    ):
        async def test(started):
            run = started.stream if stream else started.complete_chat
            await run(started.make_attempt('x', stream))
            begin_stop(started)
            assert await run(started.make_attempt('xy', stream))

        with_fleet(test, make_engine())

    def test_retry_that_the_stop_would_cut_off_is_not_begun(self, with_fleet):
        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            running = await curio.spawn(started.stream, attempt)
            await standins.wait_until(lambda: chats(started)[0])
            begin_stop(started)
            with pytest.raises(curio.TaskError) as raised:
                await running.join()
            assert isinstance(raised.value.__cause__, errors.OutcomeUnknown)
            assert chats(started) == [1, 0]

        broken = make_engine(token_seconds=0.1, break_after=0)
        broken.first_token_seconds = 0.2
        slow = make_engine(token_seconds=SLOW_TOKEN_SECONDS)
        with_fleet(test, broken, slow)

    def test_stream_is_not_resumed_if_the_stop_cuts_the_rest(self, with_fleet):
        async def test(started):
            started.view.load.request_started('engine-1')
            attempt = started.make_attempt('x')
            running = await curio.spawn(started.stream, attempt)
            await standins.wait_until(lambda: attempt.emitted_tokens)
            begin_stop(started)
            with pytest.raises(curio.TaskError) as raised:
                await running.join()
            assert isinstance(raised.value.__cause__, errors.OutcomeUnknown)
            assert chats(started) == [1, 0]

        with_fleet(
            test,
            make_engine(token_seconds=0.1, break_after=3),
            make_engine(token_seconds=SLOW_TOKEN_SECONDS),
        )


class TestRequests:
    """Guards against requests of callers that a stopping daemon cuts off."""

    async def begin(self, cluster, *examples):
        """Send examples; return their tasks once all are with the daemon."""
        daemon = cluster.daemon
        timings = dataclasses.replace(
            daemon.settings.timings, drain_timeout=STOP_SECONDS
        )
        daemon.settings = dataclasses.replace(daemon.settings, timings=timings)
        tasks = []
        for number, example in enumerate(examples, 1):
            send = functools.partial(
                demo.send_example, daemon.listener.port, example
            )
            tasks.append(await curio.spawn(send))
            await standins.wait_until(
                lambda number=number: (
                    len(daemon.caller_server.active) == number
                )
            )
            await curio.sleep(0.1)
        return tasks

    @pytest.mark.parametrize('usual', (False, True))
    def test_request_in_a_queue_is_judged_again(self, with_cluster, usual):
        """It was begun once it had a slot, and cut off."""

        async def test(cluster):
            cluster.large.token_seconds = 0.03
            if usual:
                await demo.send_example(
                    cluster.daemon.listener.port,
                    demo.chat_example('', 'large', 'x'),
                )
            single_slot(cluster)
            example = demo.chat_example('', 'large', 'x')
            first, second = await self.begin(cluster, example, example)
            if not usual:
                cluster.large.token_seconds = SLOW_TOKEN_SECONDS
            began = time.monotonic()
            stopping_task = await curio.spawn(cluster.daemon.stop)
            head, _ = await second.join()
            if usual:
                assert head.status == 200
            else:
                assert head.status == 503
                assert head.headers['x-execution'] == 'not-run'
                assert 'retry-after' in head.headers
                assert time.monotonic() - began < AT_ONCE_SECONDS
            head, _ = await first.join()
            assert head.status == 200
            await stopping_task.join()

        with_cluster(test)

    def test_key_of_a_request_that_stays_in_its_queue_is_free(
        self, with_cluster
    ):
        """The claim of a request that did not run stayed open."""

        async def test(cluster):
            example = demo.chat_example('', 'large', 'x')
            keyed = dataclasses.replace(
                example, headers={'idempotency-key': 'k'}
            )
            await demo.send_example(cluster.daemon.listener.port, example)
            single_slot(cluster)
            token_seconds = cluster.large.token_seconds
            cluster.large.token_seconds = SLOW_TOKEN_SECONDS
            other = await test_once.start_second_host(cluster)
            first, second = await self.begin(cluster, example, keyed)
            stopping_task = await curio.spawn(cluster.daemon.stop)
            head, _ = await second.join()
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'
            cluster.large.token_seconds = token_seconds
            head, _ = await demo.send_example(other.listener.port, keyed)
            await first.join()
            await stopping_task.join()
            await other.stop()
            assert head.status == 200

        with_cluster(test)

    def test_answer_is_kept_if_the_stop_cuts_the_larger_model(
        self, with_cluster
    ):
        async def test(cluster):
            cluster.small.token_seconds = 0.03
            cluster.large.token_seconds = SLOW_TOKEN_SECONDS
            example = demo.chat_example('', 'auto', 'long ' * 60)
            (sending,) = await self.begin(cluster, example)
            assert await cluster.daemon.stop() == 0
            head, _ = await sending.join()
            assert head.status == 200
            assert head.headers['x-served-by'] == 'small@1'
            assert not cluster.large.chats_started

        with_cluster(test)

    def test_request_that_must_not_run_twice_is_not_begun(self, with_cluster):
        async def test(cluster):
            daemon = cluster.daemon
            open_connection = daemon.pool.open
            example = demo.Example(
                '', 'POST', '/v1/services/orders/reserve', {}
            )
            await demo.send_example(daemon.listener.port, example)
            cluster.orders.executed.clear()

            async def fail_slowly(endpoint, deadline, *rest):
                await curio.sleep(0.3)
                daemon.pool.open = open_connection
                raise errors.ConnectionFailed(
                    'refused', step='connect', peer='orders', sent=False
                )

            daemon.pool.open = fail_slowly
            (sending,) = await self.begin(cluster, example)
            stopping_task = await curio.spawn(daemon.stop)
            head, _ = await sending.join()
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'
            assert not cluster.orders.executed
            await stopping_task.join()

        with_cluster(test)


class TestAdmission:
    """Guards against refusals that don't say when to come back."""

    def test_request_to_a_stopping_daemon_may_come_back_at_once(
        self, with_cluster
    ):
        async def test(cluster):
            cluster.daemon.request_handler.stopping = True
            head, _ = await demo.send_example(
                cluster.daemon.listener.port,
                demo.chat_example('', 'small', 'x'),
            )
            assert head.status == 503
            assert head.headers['retry-after'] == '1'

        with_cluster(test)


def single_slot(cluster):
    """Let the daemon run one request of the large model at a time."""
    queues = cluster.daemon.request_handler.model_queues
    queue_of = queues.queue

    def queue(model):
        found = queue_of(model)
        found.slots = 1
        return found

    queues.queue = queue


class TestHeldInput:
    """Guards against a whole request that a stop takes for an idle caller."""

    def test_request_whose_input_is_held_back_is_answered(
        self, run, monkeypatch
    ):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            callers = cluster.daemon.caller_server.tasks
            held = []

            def delay(meter):
                """Hold a caller back whose head was read."""
                begun = [each.meter for each in callers if each.has_request()]
                if held or meter not in begun:
                    return None
                held.append(meter)
                return HELD_SECONDS

            monkeypatch.setattr(processor_share.InputMeter, 'delay', delay)
            sending = await curio.spawn(
                demo.send_example,
                cluster.daemon.listener.port,
                demo.chat_example('', 'large', 'x'),
            )
            await standins.wait_until(lambda: held)
            stopping_daemon = await curio.spawn(cluster.daemon.stop)
            head, _ = await sending.join()
            assert head.status in (200, 503)
            await stopping_daemon.join()
            await cluster.stop()

        run(test)
