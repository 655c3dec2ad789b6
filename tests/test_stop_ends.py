"""What a stop leaves of the requests that it can't finish, and in the log."""

import dataclasses
import functools
import json
import time

import curio
import pytest

from celeryward.endpoints import recovery
from celeryward import http
from celeryward import logs
from celeryward.operators import demo
from tests import platform_standins as standins


# Within which a router that has 1 s to stop has to be done.
STOP_SECONDS = 1.5


@pytest.fixture
def site():
    return standins.default_site()


@pytest.fixture
def log_lines():
    """Return the log records of the test, as dictionaries."""
    lines = []

    def keep(message):
        lines.append(json.loads(logs.encode_json(message.record)))

    sink = logs.logger.add(keep, level='INFO')
    yield lines
    logs.logger.remove(sink)


def shorten_stop(site, seconds):
    """Set how much time the platform gives the router to stop."""
    placement = site.router.placement
    bounds = dataclasses.replace(placement.bounds, stop_seconds=seconds)
    site.router.placement = dataclasses.replace(placement, bounds=bounds)


def mute(site):
    """Let no endpoint respond."""
    for runner in site.runners.values():
        runner.default_action = standins.never_respond


class TestLog:
    """Guards against cut-off requests that the log doesn't explain."""

    @standins.on_site
    async def test_stop_and_request_that_it_cuts_off_are_explained(
        self, site, log_lines
    ):
        shorten_stop(site, 1.0)
        mute(site)
        pending = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(site.arrivals)
        await site.router.stop()
        await pending.join()
        stops = next(
            line
            for line in log_lines
            if line['message'].startswith('router stops')
        )
        assert 0.2 < stops['accept_until'] <= 0.3
        assert 0.5 < stops['finish_by'] <= 0.6
        assert stops['late'] == 0.0
        cut_off = next(
            line
            for line in log_lines
            if line['message'] == 'request cut off by the stop'
        )
        assert cut_off['request_id'] == 'request-1'
        assert cut_off['stop_left'] is None
        assert cut_off['seconds'] >= 0.5
        assert not cut_off['answer_begun']
        ended = next(
            line for line in log_lines if line['message'] == 'request ended'
        )
        assert ended['status'] == 502


class TestAnswers:
    """Guards against cut-off requests that get a wrong answer or none."""

    @standins.on_site
    async def test_caller_that_does_not_read_holds_up_no_answer(self, site):
        """The requests were answered one after the other, without a limit."""
        shorten_stop(site, 1.0)
        mute(site)
        blocked = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(site.arrivals)
        (connection,) = site.router.gateway.active
        connection.send = never_end
        pending = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(lambda: len(site.arrivals()) == 2)
        began = time.monotonic()
        stopping = await curio.spawn(site.router.stop)
        head, _ = await curio.timeout_after(
            STOP_SECONDS, functools.partial(pending.join)
        )
        assert head.status == 502
        await curio.timeout_after(STOP_SECONDS, stopping.join)
        assert time.monotonic() - began < STOP_SECONDS
        await blocked.cancel()

    @pytest.mark.parametrize(('dispatches', 'status'), ((0, 503), (1, 502)))
    @standins.on_site
    async def test_only_a_request_that_was_not_passed_on_is_refused(
        self, site, dispatches, status
    ):
        """Both were told that nothing is known of them."""
        shorten_stop(site, 1.0)
        site.router.gateway.relay = StuckRelay(site.router.relay, dispatches)
        pending = await curio.spawn(site.request, '/once/x', 'POST')
        await standins.wait_until(lambda: site.router.gateway.active)
        await site.router.stop()
        head, _ = await pending.join()
        assert head.status == status
        assert ('retry-after' in head.headers) == (status == 503)

    @standins.on_site
    async def test_refused_request_is_not_passed_on_later(self, site):
        shorten_stop(site, 0.6)
        relay = StuckRelay(site.router.relay, 0)
        site.router.gateway.relay = relay
        pending = await curio.spawn(site.request, '/once/x', 'POST')
        await standins.wait_until(lambda: site.router.gateway.active)
        await site.router.stop()
        await pending.join()
        assert relay.ended

    @standins.on_site
    async def test_request_that_is_being_read_is_refused(self, site):
        """Its connection was closed without an answer."""
        shorten_stop(site, 1.0)
        connection = await site.connect()
        await connection.sock.sendall(b'POST /once/x HTTP/1.1\r\nHost: ')
        await standins.wait_until(lambda: site.router.gateway.active)
        await site.router.stop()
        received = await curio.timeout_after(1.0, connection.sock.recv, 4096)
        assert received.startswith(b'HTTP/1.1 503')
        await connection.close()


class StuckRelay:
    """Relay that keeps each request until it is cancelled.

    :param int dispatches: dispatches that each request has had.
    """

    def __init__(self, relay, dispatches):
        self.admission = relay.admission
        self.dispatches = dispatches
        self.ended = False

    async def serve(self, head, body, responder):
        responder.relayed = self
        try:
            await curio.Event().wait()
        finally:
            self.ended = True


async def never_end(*arguments):
    """Behave as a write to a caller that doesn't read."""
    await curio.Event().wait()


class TestDaemon:
    """Guards against cut-off requests that get a wrong answer or none."""

    async def cut_off(self, cluster, prepare, example):
        """Return head and body of a request that a stop cuts off."""
        daemon = cluster.daemon
        timings = dataclasses.replace(
            daemon.settings.timings, drain_timeout=0.3
        )
        daemon.settings = dataclasses.replace(daemon.settings, timings=timings)
        sending = await curio.spawn(
            demo.send_example, daemon.listener.port, example
        )
        await standins.wait_until(lambda: daemon.caller_server.active)
        await prepare(daemon)
        await daemon.stop()
        try:
            return await sending.join()
        except curio.TaskError as error:
            raise error.__cause__ from error

    @pytest.mark.parametrize('dispatched', (False, True))
    def test_only_a_request_that_was_not_passed_on_is_refused(
        self, with_cluster, dispatched
    ):
        async def test(cluster):
            cluster.large.token_seconds = 5.0
            if not dispatched:
                cluster.daemon.recovery.isolation = undecided
            example = demo.chat_example('', 'large', 'x')
            head, _ = await self.cut_off(cluster, settle, example)
            assert head.status == (502 if dispatched else 503)
            execution = 'unknown' if dispatched else 'not-run'
            assert head.headers['x-execution'] == execution

        with_cluster(test)

    def test_caller_that_does_not_read_holds_up_no_answer(self, with_cluster):
        async def test(cluster):
            cluster.large.token_seconds = 5.0
            example = demo.chat_example('', 'large', 'x')

            async def block(daemon):
                (responder,) = daemon.caller_server.active
                responder.connection.send = never_end
                self.second = await curio.spawn(
                    demo.send_example, daemon.listener.port, example
                )
                await standins.wait_until(
                    lambda: len(daemon.caller_server.active) == 2
                )

            first = await curio.spawn(self.cut_off, cluster, block, example)
            await curio.sleep(0.1)
            head, _ = await curio.timeout_after(2.0, self.second.join)
            assert head.status == 502
            await first.cancel()

        with_cluster(test)

    def test_nothing_is_written_behind_a_write_that_was_cancelled(
        self, with_cluster
    ):
        """The error could follow a part of a chunk."""

        async def test(cluster):
            cluster.large.token_seconds = 0.05
            writes = []

            async def block(*arguments):
                writes.append(arguments)
                await never_end()

            async def block_writes(daemon):
                (responder,) = daemon.caller_server.active
                await standins.wait_until(lambda: responder.started)
                responder.connection.send = block
                await standins.wait_until(lambda: writes)

            example = demo.chat_example('', 'large', 'x', stream=True)
            with pytest.raises(http.Disconnected):
                await self.cut_off(cluster, block_writes, example)
            assert len(writes) == 1

        with_cluster(test)


def undecided(attempt):
    """Return an isolation in which a request waits for a verdict."""
    return recovery.Isolation(undecided=True)


async def settle(daemon):
    """Let a request get to the place at which it is cut off."""
    await curio.sleep(0.2)
