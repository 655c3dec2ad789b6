"""Router processes, the store and the endpoints of a soak."""

import atexit
import os
import random
import signal
import subprocess
import sys

import curio
import msgspec

from benchmarks.soak import observations
from benchmarks.soak import proxy
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.standins import base
from tests import platform_processes as processes
from tests import platform_standins as standins

STARTUP_SECONDS = 10.0
POLL_SECONDS = 0.25
# Routers of a failure domain; with so many, some follow others.
DOMAIN_ROUTERS = 4
VERSION_METRIC = 'celeryward_router_configuration_version '


class Store(standins.StoreStandIn):
    """The store, which may also refuse a part of its calls."""

    def __init__(self, generator):
        super().__init__()
        self.generator = generator
        self.refused_share = 0.0

    async def answer(self, connection, received):
        """Answer one call, or refuse it."""
        if self.generator.random() < self.refused_share:
            await base.send_json(connection, 503, {})
            return
        await super().answer(connection, received)


class Endpoint:
    """One endpoint behind a proxy, with a new id after each restart."""

    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.number = number
        self.service = service
        self.generation = 0
        self.proxy = proxy.Proxy()
        self.disturbed_until = 0.0
        self.server = None

    async def start(self):
        """Start the server and list it in the store."""
        self.generation += 1
        name = f'e{self.number}-{self.generation}'
        self.server = standins.RunnerStandIn(
            name, self.service, events=self.fleet.events
        )
        self.server.confidence = {'small': 100}
        self.server.default_action = self.answer
        await self.server.start()
        self.proxy.target = self.server.port
        if self.proxy.listener.sock is None:
            await self.proxy.start()
        await self.list_as('ready')

    async def list_as(self, state):
        """Write the entry of the endpoint to the store."""
        entry = self.server.entry(state)
        entry['address'] = f'127.0.0.1:{self.proxy.port}'
        await self.fleet.store.put('servers', self.server.id, entry)

    async def answer(self, server, connection, arrival):
        """Note a request and answer it as an endpoint usually does."""
        conditions = self.proxy.conditions
        self.fleet.seen.executions.append(
            observations.Execution(
                processes.request_id(arrival),
                server.id,
                observations.now(),
                conditions == proxy.CLEAR
                and observations.now() > self.disturbed_until,
            )
        )
        await curio.sleep(self.fleet.work_seconds)
        await standins.send_default_response(server, connection, arrival)

    async def crash(self):
        """Break off everything; the entry stays until it lapses."""
        await self.server.stop()

    async def restart(self):
        """Replace the ended server by a new one."""
        await self.unlist()
        await self.start()

    async def unlist(self):
        """Remove the entry from the store."""
        if ('servers', self.server.id) in self.fleet.store.objects:
            await self.fleet.store.delete('servers', self.server.id)

    async def leave(self, says_so=True):
        """List the endpoint as leaving, or no longer at all."""
        if says_so:
            await self.list_as('draining')
        else:
            await self.unlist()
        self.fleet.seen.left_at[self.server.id] = observations.now()


class RouterProcess:
    """One router, which is started again with a new process."""

    def __init__(self, name, host, failure_domain):
        self.name = name
        self.host = host
        self.failure_domain = failure_domain
        self.proxy = proxy.Proxy()
        self.popen = None
        self.started = 0
        self.killed = False
        self.stopping = False

    @property
    def alive(self):
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.alive:
            self.popen.send_signal(number)


class Fleet:
    """Everything that one run starts.

    :param pathlib.Path directory: for settings files and logs.
    """

    def __init__(self, seed, directory, routers=4, endpoints=8):
        self.directory = directory
        self.seen = observations.Observations()
        self.events = 6
        # Long enough that faults meet requests under way.
        self.work_seconds = 0.1
        self.store = Store(random.Random(seed))
        self.endpoints = [
            Endpoint(self, number, 'llm' if number % 2 else 'app')
            for number in range(endpoints)
        ]
        # Processes of several runs on one machine have networks of their own.
        network = f'127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}'
        self.routers = [
            RouterProcess(
                f'router-{number}',
                f'{network}.{number + 1}',
                'ab'[number // DOMAIN_ROUTERS % 2],
            )
            for number in range(routers)
        ]
        self.version = 1
        self.keys = [standins.KEY]

    async def start(self):
        """Start the store, the endpoints and the routers."""
        # An interrupted run must not leave processes behind.
        atexit.register(self.end_processes)
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.write_configuration()
        for router in self.routers:
            router.proxy.target = self.store.port
            await router.proxy.start()
            self.start_router(router)
        await self.until_ready(STARTUP_SECONDS)

    async def write_configuration(self):
        """Write a newer configuration with the present keys."""
        self.version += 1
        spec = processes.configuration(self.version, self.keys)
        await self.store.put('config', 'main', spec)

    def write_settings(self, router, slack=54):
        """Write the settings file of a router."""
        path = self.directory / f'{router.name}.toml'
        path.write_text(
            processes.settings_text(
                router.name,
                router.host,
                router.proxy.port,
                slack,
                router.failure_domain,
            )
        )
        return path

    def start_router(self, router):
        """Start the process of a router."""
        router.started += 1
        router.stopping = router.killed = False
        path = self.write_settings(router)
        log = self.directory / f'{router.name}-{router.started}.log'
        with log.open('wb') as output:
            router.popen = subprocess.Popen(
                [sys.executable, processes.PROGRAM],
                cwd=processes.ROOT,
                env={**os.environ, **processes.environment(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def stop_router(self, router):
        """Stop a router as an operator does, and note how it ended."""
        if not router.alive or router.stopping:
            return
        router.stopping = True
        ordered_at = observations.now()
        router.signal(signal.SIGTERM)
        status = await self.wait_ended(router, processes.STOP_SECONDS + 1.0)
        if router.killed and status == -signal.SIGKILL:
            # Another fault ended it first; that is no failed stop.
            return
        self.seen.stops.append(
            observations.Stop(
                router.name, ordered_at, observations.now(), status
            )
        )
        if status is None:
            await self.kill_router(router)

    async def wait_ended(self, router, seconds):
        """Return the exit status of a process, None if it runs on."""
        deadline = deadlines.Deadline.after(seconds)
        while router.popen.poll() is None and not deadline.expired():
            await curio.sleep(0.02)
        return router.popen.poll()

    async def kill_router(self, router):
        """End a process without notice."""
        router.killed = True
        router.signal(signal.SIGKILL)
        await self.wait_ended(router, processes.STOP_SECONDS)

    async def is_ready(self, router):
        """Return whether a router says that it is ready."""
        answer = await self.get(router, processes.READINESS_PORT, '/')
        return answer is not None and answer[0].status == 200

    async def until_ready(self, seconds):
        """Wait until all routers are ready; return those that are not."""
        deadline = deadlines.Deadline.after(seconds)
        waiting = list(self.routers)
        while waiting and not deadline.expired():
            waiting = [
                each for each in waiting if not await self.is_ready(each)
            ]
            await curio.sleep(0.05)
        return waiting

    async def get(self, router, port, path):
        """Return head and body of a GET at a router, None if it fails."""
        deadline = deadlines.Deadline.after(1.0)
        try:
            connection = await http.connect(router.host, port, deadline)
        except errors.ConnectionFailed:
            # It is down or frozen, which callers also meet.
            return None
        try:
            return await http.exchange(
                connection, 'GET', path, {}, b'', deadline
            )
        except errors.CelerywardError:
            # It ended or froze while it answered.
            return None
        finally:
            await connection.close()

    async def watch_versions(self):
        """Note the configuration version of each process, until cancelled."""
        while True:
            for router in self.routers:
                process = f'{router.name}-{router.started}'
                answer = await self.get(
                    router, processes.METRICS_PORT, '/metrics'
                )
                if answer is not None:
                    self.note_version(process, answer[1].decode())
            await curio.sleep(POLL_SECONDS)

    def note_version(self, process, exposition):
        """Note the version that a process exposes."""
        for line in exposition.splitlines():
            if line.startswith(VERSION_METRIC):
                version = int(float(line.rpartition(' ')[2]))
                self.seen.versions.append(
                    observations.Version(process, version)
                )

    def end_processes(self):
        """End all processes that this run started, by their ids."""
        for router in self.routers:
            if router.alive:
                router.popen.kill()
                router.popen.wait()

    async def stop(self):
        """End everything that this run started."""
        self.end_processes()
        atexit.unregister(self.end_processes)
        for router in self.routers:
            await router.proxy.stop()
        for endpoint in self.endpoints:
            await endpoint.server.stop()
            await endpoint.proxy.stop()
        await self.store.stop()

    def lines_about(self, request_id):
        """Return the log lines of a request, in the order of their time."""
        found = [
            line
            for path in self.directory.glob('*.log')
            for line in path.read_text(errors='replace').splitlines()
            if request_id in line
        ]
        return sorted(found, key=line_time)


def line_time(line):
    """Return the time in a log line; lines without one come first."""
    try:
        return msgspec.json.decode(line).get('time', '')
    except msgspec.DecodeError:
        # curio writes plain text on some of its errors.
        return ''
