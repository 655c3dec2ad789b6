"""A router process that is stopped for seconds and then continues."""

import contextlib
import functools
import os
import pathlib
import signal
import subprocess
import sys

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import fakes
from tests import platform_processes
from tests import platform_standins as standins

# The ports are fixed, so that runs beside each other need different hosts.
HOST = f'127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}'
START_SECONDS = 20.0
# Longer than the time after which a revoked key is refused.
KEY_PAUSE_SECONDS = 5.2
# Longer than the time after which an endpoint that leaves gets no requests.
ENDPOINT_PAUSE_SECONDS = 2.5
ADDRESS = (HOST, platform_processes.CALLER_PORT)


class PausedSite:
    """A store, an endpoint, and a router in a process of its own."""

    def __init__(self, path):
        self.path = path
        self.store = standins.StoreStandIn()
        self.runner = standins.RunnerStandIn('app-1', 'app')
        self.program = None

    async def start(self):
        """Start all parts and wait until the router serves a request."""
        await self.store.start()
        await self.runner.start()
        await self.store.put('servers', self.runner.id, self.runner.entry())
        await self.put_keys(1, [standins.KEY])
        self.write_settings(platform_processes.STOP_SECONDS)
        self.program = subprocess.Popen(
            [sys.executable, platform_processes.PROGRAM],
            cwd=platform_processes.ROOT,
            env={**os.environ, **platform_processes.environment(self.path)},
            stdout=subprocess.DEVNULL,
        )
        limit = deadlines.Deadline.after(START_SECONDS)
        while await self.status_of_new_connection() != 200:
            assert not limit.expired()
            await curio.sleep(0.05)

    def write_settings(self, stop_seconds):
        """Write the settings file of the router."""
        text = platform_processes.settings_text(
            'r', HOST, self.store.port, 54, stop_seconds=stop_seconds
        )
        self.path.write_text(text)

    async def put_keys(self, version, keys):
        """Write a configuration with the given API keys."""
        spec = platform_processes.configuration(version, keys)
        await self.store.put('config', 'main', spec)

    async def status_of_new_connection(self):
        """Return the status of a request; 0 if there is no response."""
        limit = deadlines.Deadline.after(1.0)
        with contextlib.suppress(
            *http.EXCHANGE_ERRORS, errors.ConnectionFailed
        ):
            connection = await http.connect(*ADDRESS, limit)
            try:
                head, _ = await standins.request(connection, '/whole/x')
                return head.status
            finally:
                await connection.close()
        return 0

    async def pause(self):
        """Stop the process; return once all its threads have stopped."""
        self.program.send_signal(signal.SIGSTOP)
        stat = pathlib.Path(f'/proc/{self.program.pid}/stat')
        while stat.read_text().rpartition(') ')[2][0] != 'T':
            await curio.sleep(0.001)

    async def stop(self):
        """End all parts."""
        if self.program is not None:
            self.program.kill()
            self.program.wait()
        await self.runner.stop()
        await self.store.stop()


def paused_site(test):
    """Decorator that runs a coroutine test on a started site."""

    @fakes.in_kernel
    async def run(self, tmp_path):
        site = PausedSite(tmp_path / 'router.toml')
        try:
            await site.start()
            await test(self, site)
        finally:
            await site.stop()

    return run


class TestPausedRouter:
    """Guards against permissions that ran out while the process was paused."""

    async def request_in_pause(self, site, seconds, change, path, **headers):
        """Change the store in a pause in which a request arrives.

        The request is on a connection from before the pause. Returns the head
        of its response and the number of requests that the endpoint got.
        """
        limit = deadlines.Deadline.after(10.0)
        connection = await http.connect(*ADDRESS, limit)
        head, _ = await standins.request(connection, '/whole/x')
        assert head.status == 200
        connection.start_next_cycle()
        await site.pause()
        await change
        await curio.sleep(seconds)
        before = len(site.runner.arrivals)
        send = functools.partial(standins.request, **headers)
        pending = await curio.spawn(send, connection, path)
        await curio.sleep(0.05)
        site.program.send_signal(signal.SIGCONT)
        head, _ = await pending.join()
        await connection.close()
        return head, len(site.runner.arrivals) - before

    @paused_site
    async def test_key_that_was_revoked_in_a_pause_is_refused(self, site):
        """The store's answers are missing, too: only the age can tell."""
        site.store.stalled_watch_kinds = frozenset(('config',))
        head, arrivals = await self.request_in_pause(
            site,
            KEY_PAUSE_SECONDS,
            site.put_keys(2, ['another']),
            '/whole/x',
        )
        assert head.status in (401, 403, 503)
        assert arrivals == 0

    @paused_site
    async def test_endpoint_that_left_in_a_pause_gets_no_request(self, site):
        head, arrivals = await self.request_in_pause(
            site,
            ENDPOINT_PAUSE_SECONDS,
            site.store.delete('servers', 'app-1'),
            '/open/x',
            authorization=None,
        )
        assert head.status == 503
        assert arrivals == 0
