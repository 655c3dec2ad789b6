"""Peers, or this process itself, that stand still for a second or two."""

import dataclasses
import functools
import math
import socket
import time
import types

import curio
import h11
import pytest

from celeryward import awake_clock
from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward.endpoints import monitor
from celeryward.endpoints import outcomes
from celeryward.endpoints import runners
from celeryward.endpoints import waits
from celeryward import http
from celeryward.objects import client
from celeryward.standins import engine
from celeryward.standins import fleet
from celeryward import transport
from tests import fakes
from tests import platform_standins as standins
from tests import test_endpoint_state

# Shorter than the time after which a peer that takes no byte is left.
STANDSTILL_SECONDS = 3.5
SMALL_WINDOW_BYTES = 2048
# More than the kernel buffers for a peer with a small receive window.
LARGE_MESSAGE = b'x' * (8 * 1024 * 1024)


class TestStandingPeer:
    """Guards against sound peers that are left while they stand still."""

    @fakes.in_kernel
    async def test_kernel_resets_no_connection_with_a_full_window(self):
        listener = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        sock = await transport.open_socket(
            *listener.getsockname(), deadlines.Deadline.after(2.0)
        )
        peer, _ = await listener.accept()
        sending = await curio.spawn(
            transport.Transport(sock, 'peer').send_bytes, 'send', LARGE_MESSAGE
        )
        await curio.sleep(STANDSTILL_SECONDS)
        received = 0
        while received < len(LARGE_MESSAGE):
            data = await peer.recv(1024 * 1024)
            assert data
            received += len(data)
        await sending.join()
        for each in (sock, peer, listener):
            await each.close()


class RecordingForwarder(test_endpoint_state.TestMonitor.Forwarder):
    """Records the endpoints whose exchanges are aborted."""

    def __init__(self):
        super().__init__()
        self.aborted = []

    async def abort_silent(self, endpoint, seconds):
        self.aborted.append(endpoint.id)


class TestLostEndpoint:
    """Guards against answers that are given up for a pause of this process."""

    @fakes.in_kernel
    async def test_endpoint_that_came_back_in_a_pause_is_asked_first(self):
        connections = test_endpoint_state.TestMonitor.Connections()
        forwarder = RecordingForwarder()
        tracker = outcomes.OutcomeTracker()
        health_monitor = monitor.Monitor(
            runners.RunnerTable(), tracker, connections, forwarder
        )
        runner = test_endpoint_state.runner('r')
        task = await curio.spawn(health_monitor.handle_loss, runner)
        await standins.wait_until(lambda: forwarder.hedged, 1.0)
        await curio.sleep(0.1)
        time.sleep(monitor.ABANDON_SECONDS)
        connections.reachable = True
        await task.join()
        assert not forwarder.aborted

    @fakes.in_kernel
    async def test_answer_that_arrived_in_a_pause_is_not_aborted(self):
        forwarder = forwarding.Forwarder(
            *[None] * 5, types.SimpleNamespace(closures=None)
        )
        near, far = curio.socket.socketpair()
        connection = http.Connection(near, h11.CLIENT, 'endpoint')
        wait = waits.Wait(waits.ignore_late, deadlines.NEVER)
        exchange = forwarding.Exchange('r', True, connection, wait)
        forwarder.exchanges[connection] = exchange
        runner = test_endpoint_state.runner('r')
        await far.send(b'HTTP/1.1 200 OK\r\n')
        assert await forwarder.abort_silent(runner, 0.0) == 0
        await near.recv(100)
        assert await forwarder.abort_silent(runner, 0.0) == 1
        await near.close()
        await far.close()


class TestAwakeClock:
    """Guards against a pause that counts as work, and work as a pause."""

    @fakes.in_kernel
    async def test_clock_stands_still_in_a_pause(self):
        clock = awake_clock.AwakeClock()
        running = await curio.spawn(clock.run)
        await curio.sleep(0)
        started = clock()
        time.sleep(1.0)
        assert clock() - started <= awake_clock.TICK_SECONDS + 0.05
        await running.cancel()

    def test_clock_that_nobody_reads_regularly_goes_on(self):
        now = fakes.CallableClock()
        clock = awake_clock.AwakeClock(now)
        started = clock()
        now.now += 10.0
        assert clock() - started == 10.0


class TestPausedRouter:
    """Guards against a pause of the router that counts as slow endpoints."""

    REQUESTS = 12
    PAUSE_SECONDS = 1.2

    @pytest.fixture
    def site(self):
        return standins.default_site()

    async def pause_under_requests(self, site):
        """Stop the process for a while with requests at the endpoints."""

        async def respond_later(runner, connection, arrival):
            await curio.sleep(0.3)
            await standins.send_default_response(runner, connection, arrival)

        for runner in site.runners.values():
            runner.default_action = respond_later
        waiting = []
        for number in range(self.REQUESTS):
            send = functools.partial(site.request, request_id=f'r{number}')
            waiting.append(await curio.spawn(send, '/whole/x'))
        await standins.wait_until(
            lambda: len(site.arrivals()) == self.REQUESTS
        )
        time.sleep(self.PAUSE_SECONDS)
        for task in waiting:
            head, _ = await task.join()
            assert head.status == 200

    @standins.on_site
    async def test_pause_does_not_count_as_time_of_the_endpoints(self, site):
        router = site.router
        run = router.releases.runs.begin('app', 'v1', 'k', 'app-1', 1.0)
        await self.pause_under_requests(site)
        router.releases.runs.head_arrived(run)
        (mean,) = router.relay.timeouts.mean_head_seconds.values()
        usual = [
            run.head_seconds,
            mean * relayed_requests.MIN_WORK_UNITS,
            router.estimates.seconds('app'),
            *(each.mean for each in router.completion.estimates.values()),
            *map(router.queues.seconds, ('app-1', 'app-2')),
        ]
        assert max(usual) < self.PAUSE_SECONDS * 0.7

    @standins.on_site
    async def test_answer_is_not_late_for_a_pause_before_its_request_is_sent(
        self, site, monkeypatch
    ):
        send = forwarding.Forwarder.send

        async def pause_and_send(*arguments):
            time.sleep(self.PAUSE_SECONDS)
            await send(*arguments)

        async def respond_later(runner, connection, arrival):
            await curio.sleep(0.3)
            await standins.send_default_response(runner, connection, arrival)

        for runner in site.runners.values():
            runner.default_action = respond_later
        monkeypatch.setattr(forwarding.Forwarder, 'send', pause_and_send)
        head, _ = await site.request('/whole/x')
        assert head.status == 200
        assert len(site.arrivals()) == 1


class TestPausedWatch:
    """Guards against a pause that counts as the wait of a long poll."""

    @pytest.fixture
    def site(self):
        return standins.default_site()

    @standins.on_site
    async def test_early_answer_that_is_read_after_a_pause_confirms_nothing(
        self, site
    ):
        view = site.router.view
        store = client.ObjectClient(
            view.store.address, 1.0, 'test', view.translator.dialect
        )
        call = store.call

        async def answer_early(method, path, **options):
            answer = await call(method, path, **options)
            time.sleep(1.2)
            return answer

        at_once = await store.changes('config', 10**6, 0.0)
        assert at_once.unwrap().confirmed_seconds >= 0.0
        store.call = answer_early
        store.dialect = types.SimpleNamespace(
            generation_header=view.translator.dialect.generation_header,
            long_poll_path=lambda kind, since, wait: (
                view.translator.dialect.long_poll_path(kind, since, 0.0)
            ),
            decode_changes=view.translator.dialect.decode_changes,
        )
        answer = (await store.changes('config', 10**6, 1.0)).unwrap()
        assert answer.confirmed_seconds == -math.inf


class TestPausedDaemon:
    """Guards against a pause of the daemon that counts as slow endpoints."""

    REQUESTS = 4
    PAUSE_SECONDS = 1.2

    def test_pause_does_not_count_as_time_of_the_endpoints(self, with_fleet):
        slow = engine.EngineStandIn((fleet.VERSION.name,))
        slow.first_token_seconds = 0.3

        async def test(started):
            reading = await curio.spawn(awake_clock.CLOCK.run)
            waiting = [
                await curio.spawn(started.stream, started.make_attempt('x'))
                for _ in range(self.REQUESTS)
            ]
            await standins.wait_until(
                lambda: slow.chats_started.total() == self.REQUESTS
            )
            time.sleep(self.PAUSE_SECONDS)
            for task in waiting:
                assert await task.join()
            await reading.cancel()
            averages = started.view.load.latency_averages('engine-0')
            assert averages.first_token < self.PAUSE_SECONDS * 0.7
            assert averages.service_time < self.PAUSE_SECONDS * 0.7

        with_fleet(test, slow)

    def test_probe_in_a_pause_accuses_no_endpoint(
        self, with_fleet, monkeypatch
    ):
        connect = http.connect
        pauses = [self.PAUSE_SECONDS]

        async def connect_and_pause(*arguments):
            connection = await connect(*arguments)
            time.sleep(pauses.pop() if pauses else 0.0)
            return connection

        async def test(started):
            reading = await curio.spawn(awake_clock.CLOCK.run)
            endpoint = started.catalog().endpoints['engine-0']
            monkeypatch.setattr(http, 'connect', connect_and_pause)
            assert await started.prober.probe(endpoint)
            assert not started.view.liveness.failures
            await reading.cancel()

        timings = dataclasses.replace(fleet.TIMINGS, probe_timeout=0.5)
        with_fleet(
            test, engine.EngineStandIn((fleet.VERSION.name,)), timings=timings
        )

    def test_daemon_measures_its_pauses(self, with_cluster):
        async def test(cluster):
            await standins.wait_until(lambda: awake_clock.CLOCK.readers)

        with_cluster(test)
