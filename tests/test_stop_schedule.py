"""How much time a planned stop has, from the signal on."""

import contextlib
import dataclasses
import functools
import os
import signal
import time

from adapter import translator
import curio
import pytest

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.operators import demo
from celeryward import signals
from celeryward import stopping
from tests import fakes
from tests import platform_standins as standins
from tests import test_pauses

BUSY_SECONDS = 0.6
LATE_SECONDS = 2.0
SUSPENDED_SECONDS = 100.0
TIMEOUT_MILLISECONDS = 15000
SHORT_STOP_SECONDS = 4.0
PAUSE_SECONDS = 2.0


@pytest.fixture
def site():
    return standins.default_site()


class TestSignalReceiver:
    """Guards against a signal that is learned late and taken for new."""

    @fakes.in_kernel
    async def test_signal_in_a_busy_loop_is_not_later_than_the_last_look(self):
        with signals.signal_receiver() as receiver:
            looking = await curio.spawn(receiver.look_regularly)
            await curio.sleep(signals.LOOK_SECONDS + 0.1)
            os.kill(os.getpid(), signals.STOP_SIGNALS[0])
            sent_at = deadlines.BootDeadline.now()
            time.sleep(BUSY_SECONDS)
            await receiver.next_signal()
            await looking.cancel()
            assert receiver.none_before <= sent_at
            assert sent_at - receiver.none_before < signals.LOOK_SECONDS + 0.2

    @fakes.in_kernel
    async def test_looks_move_the_bound_while_no_signal_arrives(self):
        with signals.signal_receiver() as receiver:
            before = receiver.none_before
            receiver.look()
            assert receiver.none_before > before


class TestSchedule:
    """Guards against a stop that lasts longer than the platform allows."""

    @standins.on_site
    async def test_stop_counts_from_the_signal_that_was_learned_late(
        self, site
    ):
        began = time.monotonic()
        pending, stopping = await begin_mute_stop(
            site, deadlines.BootDeadline.now() - LATE_SECONDS
        )
        head, _ = await pending.join()
        await stopping.join()
        assert head.status == 502
        left = standins.BOUNDS.stop_seconds - LATE_SECONDS
        assert time.monotonic() - began < left

    @standins.on_site
    async def test_suspended_time_counts(self, site, monkeypatch):
        pending, stopping = await begin_mute_stop(site)
        await curio.sleep(0.1)
        began = time.monotonic()
        boot_seconds = deadlines.BootDeadline.now
        monkeypatch.setattr(
            deadlines.BootDeadline,
            'now',
            staticmethod(lambda: boot_seconds() + SUSPENDED_SECONDS),
        )
        head, _ = await pending.join()
        await stopping.join()
        assert head.status == 502
        assert time.monotonic() - began < 1.0

    @standins.on_site
    async def test_second_stop_and_changed_bounds_keep_the_schedule(
        self, site
    ):
        """A second signal, and SIGHUPs with other bounds, during a stop."""
        began = time.monotonic()
        pending, stopping = await begin_mute_stop(site)
        schedule = site.router.stop_state.schedule
        bounds = dataclasses.replace(site.bounds, stop_seconds=60.0)
        site.bounds = bounds
        site.router.reload()
        assert site.router.placement.bounds.stop_seconds == 60.0
        await curio.sleep(0.2)
        await site.router.stop()
        assert site.router.stop_state.schedule is schedule
        head, _ = await pending.join()
        await stopping.join()
        assert head.status == 502
        assert time.monotonic() - began < standins.BOUNDS.stop_seconds


class TestDaemon:
    """Guards against a daemon that outlasts its drain timeout."""

    def test_drain_timeout_counts_from_the_signal(self, run):
        async def test():
            cluster = demo.Cluster()
            cluster.large.token_seconds = 5.0
            await cluster.start()
            daemon = cluster.daemon
            example = demo.chat_example('', 'large', 'x')
            sending = await curio.spawn(
                demo.send_example, daemon.listener.port, example
            )
            await standins.wait_until(lambda: daemon.caller_server.active)
            drain_seconds = daemon.settings.timings.drain_timeout
            signalled_at = deadlines.BootDeadline.now() - drain_seconds + 0.2
            began = time.monotonic()
            assert await daemon.stop(signalled_at) == 1
            assert time.monotonic() - began < 1.5
            head, _ = await sending.join()
            assert head.status == 502
            await cluster.stop()

        run(test)


class StoppedSite(test_pauses.PausedSite):
    """A router in a process that has little time to stop."""

    def write_settings(self, stop_seconds):
        self.write_bounds(SHORT_STOP_SECONDS)

    def write_bounds(self, stop_seconds):
        """Write the settings file with another time to stop."""
        super().write_settings(stop_seconds)

    async def put_keys(self, version, keys):
        await self.store.put('config', 'main', patient_configuration(version))

    async def ask(self):
        """Send a request that outlasts the stop; return its response."""
        limit = deadlines.Deadline.after(20.0)
        connection = await http.connect(*test_pauses.ADDRESS, limit)
        try:
            return await standins.request(
                connection,
                '/once/x',
                'POST',
                celeryward_deadline_ms=str(TIMEOUT_MILLISECONDS),
            )
        finally:
            await connection.close()

    async def check_end(self, pending, killed_at):
        """Check that a request is answered and the process ends in time."""
        head, _ = await curio.timeout_after(
            killed_at.remaining(), pending.join
        )
        assert head.status == 502
        while self.program.poll() is None:
            assert not killed_at.expired()
            await curio.sleep(0.01)
        assert self.program.returncode == 0


@contextlib.asynccontextmanager
async def stopped_site(path):
    """Yield a started site whose endpoint doesn't respond."""
    site = StoppedSite(path / 'router.toml')
    try:
        await site.start()
        site.runner.default_action = standins.never_respond
        yield site
    finally:
        await site.stop()


class TestPausedProcess:
    """Guards against a process that learns late that it has to stop."""

    @fakes.in_kernel
    async def test_requests_are_answered_before_the_process_is_killed(
        self, tmp_path
    ):
        """SIGTERM came in a pause; the stop counted from its end."""
        async with stopped_site(tmp_path) as site:
            pending = await curio.spawn(site.ask)
            await standins.wait_until(lambda: len(site.runner.arrivals) == 2)
            await site.pause()
            site.program.send_signal(signal.SIGTERM)
            killed_at = deadlines.Deadline.after(SHORT_STOP_SECONDS)
            await curio.sleep(PAUSE_SECONDS)
            site.program.send_signal(signal.SIGCONT)
            await site.check_end(pending, killed_at)


class TestSignals:
    """Guards against signals in a stop that start it again or lose it."""

    @fakes.in_kernel
    async def test_further_signals_and_other_bounds_change_nothing(
        self, tmp_path
    ):
        async with stopped_site(tmp_path) as site:
            pending = await curio.spawn(site.ask)
            await standins.wait_until(lambda: len(site.runner.arrivals) == 2)
            site.program.send_signal(signal.SIGTERM)
            killed_at = deadlines.Deadline.after(SHORT_STOP_SECONDS)
            for stop_seconds in (60, 1, 30):
                await curio.sleep(0.5)
                site.write_bounds(stop_seconds)
                site.program.send_signal(signal.SIGHUP)
                site.program.send_signal(signal.SIGTERM)
            await site.check_end(pending, killed_at)


def patient_configuration(version):
    """Return a configuration whose routes outlast the stop."""
    spec = standins.configuration(version)
    for route in spec['routes']:
        route['timeoutMs'] = TIMEOUT_MILLISECONDS
    return spec


async def begin_mute_stop(site, *signalled_after):
    """Begin a stop while no endpoint responds to a request.

    Returns the tasks of the request and of the stop.
    """
    for runner in site.runners.values():
        runner.default_action = standins.never_respond
    await site.store.put('config', 'main', patient_configuration(2))
    await standins.wait_until(
        lambda: site.router.configuration.current.version == 2
    )
    pending = await curio.spawn(
        functools.partial(
            site.request,
            '/once/x',
            'POST',
            celeryward_deadline_ms=str(TIMEOUT_MILLISECONDS),
        )
    )
    await standins.wait_until(site.arrivals)
    stopping = await curio.spawn(site.router.stop, *signalled_after)
    await standins.wait_until(lambda: site.router.gateway.draining)
    return pending, stopping


class TestRemoval:
    """Guards against a slow store that shifts all steps of a stop."""

    @standins.on_site
    async def test_mute_store_does_not_prolong_the_accepting(self, site):
        """Connections were accepted until the call to the store timed out."""
        kind = translator.Translator().kinds.routers
        await standins.wait_until(
            lambda: (kind, site.name) in site.store.objects
        )
        site.store.unresponsive_kinds = frozenset((kind,))
        port = site.router.listeners.callers.port
        stopping = await curio.spawn(site.router.stop)
        await curio.sleep(site.tuning.stop_accepting_after + 0.2)
        with pytest.raises(errors.ConnectionFailed):
            await http.connect(
                '127.0.0.1',
                port,
                deadlines.Deadline.after(0.5),
            )
        await stopping.join()

    @standins.on_site
    async def test_router_is_removed_from_the_store(self, site):
        kind = translator.Translator().kinds.routers
        await standins.wait_until(
            lambda: (kind, site.name) in site.store.objects
        )
        await site.router.stop()
        assert (kind, site.name) not in site.store.objects


class TestStopState:
    """Guards against a stop whose schedule changes."""

    def test_first_schedule_stays(self):
        stop = stopping.StopState()
        first = stopping.StopSchedule.counted_from(100.0, 2.8, 7.6)
        stop.begin(first)
        stop.begin(stopping.StopSchedule.counted_from(200.0, 2.8, 7.6))
        assert stop.schedule is first

    def test_connections_are_not_accepted_beyond_the_end(self):
        schedule = stopping.StopSchedule.counted_from(100.0, 2.8, 1.0)
        assert schedule.accept_until == schedule.finish_by


class TestBorder:
    """Guards against a border that holds only once a task has run."""

    @standins.on_site
    async def test_request_after_the_border_is_refused(self, site):
        """After a suspension it was begun before the stop took its step."""
        now = deadlines.BootDeadline.now()
        schedule = stopping.StopSchedule.counted_from(now - 3.0, 2.8, 600.0)
        site.router.stop_state.begin(schedule)
        head, _ = await site.request('/whole/x')
        assert (head.status, site.arrivals()) == (503, [])
        assert float(head.headers['retry-after']) < 1.0

    @standins.on_site
    async def test_request_before_the_border_is_served(self, site):
        now = deadlines.BootDeadline.now()
        schedule = stopping.StopSchedule.counted_from(now, 2.8, 600.0)
        site.router.stop_state.begin(schedule)
        head, _ = await site.request('/whole/x')
        assert head.status == 200
