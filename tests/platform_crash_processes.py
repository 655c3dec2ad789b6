"""Router processes on runners that crash late in an answer.

Like the stand-ins, this module contains the wire format of the platform.
"""

import os
import signal
import subprocess
import sys

import curio

from celeryward import errors
from celeryward import http
from celeryward.standins import base
from tests import platform_crashes as crashing
from tests import platform_processes as processes
from tests import platform_standins as standins

START_SECONDS = 30.0
KNOWN_METRIC = 'celeryward_router_routers '
# Longer than the answers of all tests take with two repetitions.
ROUTE_SECONDS = 8
RETRY_SLACK = 54


class ProcessFleet(crashing.Fleet):
    """A store, runners and several routers, each in a process of its own.

    Runners crash after the last event but one of an answer on a harmful part.

    :param pathlib.Path directory: where settings files and logs go.
    """

    def __init__(self, directory, routers, runners=16, event_seconds=0.35):
        super().__init__(routers, runners)
        self.directory = directory
        self.event_seconds = event_seconds
        self.crash_event = crashing.EVENTS - 1
        self.restart_seconds = 1.0
        self.deadline_ms = ROUTE_SECONDS * 1000
        number = os.getpid()
        self.network = f'127.{1 + number % 250}.{1 + number // 250 % 250}'

    async def start(self):
        """Start all parts and wait until the routers know each other."""
        await self.store.start()
        for runner in self.runners:
            await runner.start()
            await self.store.put('servers', runner.id, runner.entry())
        spec = standins.configuration()
        spec['routes'] = [
            each | {'timeoutMs': ROUTE_SECONDS * 1000}
            for each in spec['routes']
        ]
        await self.store.put('config', 'main', spec)
        self.routers = [None] * self.router_count
        for number in range(self.router_count):
            self.start_process(number)
        async with curio.timeout_after(START_SECONDS):
            for number in range(self.router_count):
                await self.wait_until_known(number)

    def start_process(self, number):
        """Start the process of a router."""
        path = self.directory / f'router-{number}.toml'
        path.write_text(
            processes.settings_text(
                f'router-{number}',
                self.host(number),
                self.store.port,
                RETRY_SLACK,
                'ab'[number % 2],
            )
        )
        with (self.directory / f'router-{number}.log').open('ab') as log:
            self.routers[number] = subprocess.Popen(
                [sys.executable, processes.PROGRAM],
                cwd=processes.ROOT,
                env={**os.environ, **processes.environment(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def restart(self, number):
        """Kill the process of a router and start another one."""
        self.routers[number].send_signal(signal.SIGKILL)
        await curio.run_in_thread(self.routers[number].wait)
        self.start_process(number)

    async def wait_until_known(self, number):
        """Wait until a router is ready and knows all routers."""
        expected = f'{KNOWN_METRIC}{float(self.router_count)}'
        while not (
            await self.get(number, processes.READINESS_PORT, '/') is not None
            and expected
            in (
                await self.get(number, processes.METRICS_PORT, '/metrics')
                or ''
            )
        ):
            await curio.sleep(0.1)

    async def get(self, number, port, path):
        """Return the body of a GET to a router; None unless it succeeds."""
        deadline = base.deadlines.Deadline.after(2.0)
        try:
            connection = await http.connect(self.host(number), port, deadline)
        except errors.ConnectionFailed:
            return None
        try:
            head, body = await http.exchange(
                connection, 'GET', path, {}, b'', deadline
            )
        except errors.CelerywardError:
            return None
        finally:
            await connection.close()
        return body.decode() if head.status == 200 else None

    async def stop(self):
        """Kill the routers; stop all other parts."""
        for each in self.routers:
            if each is not None:
                each.kill()
                each.wait()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()

    def host(self, number):
        """Return the address of a router's host."""
        return f'{self.network}.{number + 1}'

    def caller_address(self, index):
        """Return host and port at which a router serves callers."""
        return self.host(index), processes.CALLER_PORT
