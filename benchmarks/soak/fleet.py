"""Router processes, stand-in store and stand-in endpoints of a run."""

import atexit
import os
import random
import select
import signal
import subprocess
import sys

import curio
import msgspec

from benchmarks.soak import endpoints as stand_in_endpoints
from benchmarks.soak import observations
from benchmarks.soak import process_endpoints as process_servers
from benchmarks.soak import proxy
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.standins import base
from tests import platform_configurations as configurations
from tests import platform_processes as processes
from tests import platform_standins as standins

STARTUP_SECONDS = 10.0
POLL_SECONDS = 0.25
HANDLING_POLL_SECONDS = 0.01
# Signals that a process ignores and catches, in its status in /proc.
HANDLED_MASKS = ('SigIgn', 'SigCgt')
MILLISECONDS = 1000
# Routers per failure domain; with this many, some routers follow a leader
# instead of the store.
DOMAIN_ROUTERS = 4
VERSION_METRIC = 'celeryward_router_configuration_version '


class Store(standins.StoreStandIn):
    """Stand-in store that can answer a share of its calls with 503."""

    def __init__(self, generator):
        super().__init__()
        self.generator = generator
        self.refused_share = 0.0

    async def answer(self, connection, received):
        """Answer one call, or reply 503 with the configured probability."""
        if self.generator.random() < self.refused_share:
            await base.send_json(connection, 503, {})
            return
        await super().answer(connection, received)


class RouterProcess:
    """A router and its current process; each start makes a new one."""

    def __init__(self, name, host, failure_domain):
        self.name = name
        self.host = host
        self.failure_domain = failure_domain
        self.proxy = proxy.Proxy()
        self.popen = None
        self.start_count = 0
        self.killed = False
        self.stopping = False

    @property
    def alive(self):
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.alive:
            self.popen.send_signal(number)

    def handles(self, number):
        """Return whether the process runs and a signal does not end it."""
        return self.alive and is_handled(self.popen.pid, number)

    async def signal_handled(self, number):
        """Send a signal once the program handles it; return the process.

        One that comes before the first line of a program ends its interpreter,
        whatever the program does later.
        """
        process = self.popen
        while process.poll() is None:
            if is_handled(process.pid, number):
                process.send_signal(number)
                break
            await curio.sleep(HANDLING_POLL_SECONDS)
        return process


class Fleet:
    """The store, endpoints and routers of one run.

    :param pathlib.Path directory: where settings files and logs go.
    :param int process_endpoints: how many of the endpoints are processes.
    """

    def __init__(
        self, seed, directory, routers=4, endpoints=8, process_endpoints=0
    ):
        self.directory = directory
        self.observed = observations.Observations()
        self.events_per_answer = 6
        # Long enough that faults hit requests in progress.
        self.work_seconds = 0.1
        self.store = Store(random.Random(seed))
        self.endpoints = [
            make(self, number, 'llm' if number % 2 else 'app')
            for number, make in enumerate(
                [stand_in_endpoints.Endpoint] * (endpoints - process_endpoints)
                + [process_servers.ProcessEndpoint] * process_endpoints
            )
        ]
        # Processes of endpoints.
        self.children = []
        # Each run has its own loopback network, derived from its process id,
        # so that several runs on one machine do not share addresses.
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
        self.settings = configurations.DEFAULTS
        self.keys = [standins.KEY]
        # What starts a router, after the interpreter.
        self.command = (processes.PROGRAM,)

    async def start(self):
        """Start the store, the endpoints and the routers."""
        # An interrupted run must not leave router processes running.
        atexit.register(self.kill_processes)
        await self.store.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.write_configuration()
        for router in self.routers:
            router.proxy.target = self.store.port
            await router.proxy.start()
            self.start_router(router)
        await self.wait_until_ready(STARTUP_SECONDS)

    async def write_configuration(self):
        """Write the next version with the current keys and settings."""
        self.version += 1
        spec = configurations.write_spec(
            self.version, self.keys, self.settings
        )
        self.observed.timeouts.append(
            observations.Timeout(
                observations.now(), self.settings.timeout_seconds
            )
        )
        await self.store.put('config', 'main', spec)

    def write_settings(self, router, slack=54):
        """Write the settings file of a router and return its path."""
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
        """Start a new process of a router with its own log file."""
        router.start_count += 1
        router.stopping = router.killed = False
        path = self.write_settings(router)
        log = self.directory / f'{router.name}-{router.start_count}.log'
        with log.open('wb') as output:
            router.popen = subprocess.Popen(
                [sys.executable, *self.command],
                cwd=processes.ROOT,
                env={**os.environ, **processes.environment(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def stop_router(self, router):
        """Stop a router with SIGTERM and record how it exited."""
        if not router.alive or router.stopping:
            return
        router.stopping = True
        # Another fault may start the router again as soon as it has exited.
        process = await router.signal_handled(signal.SIGTERM)
        ordered_at = observations.now()
        ended_at = await self.wait_for_exit(
            process, processes.STOP_SECONDS + 1.0
        )
        status = process.poll()
        if router.killed and status == -signal.SIGKILL:
            # Another fault killed it meanwhile, which is not a failed stop.
            return
        self.observed.stops.append(
            observations.Stop(router.name, ordered_at, ended_at, status)
        )
        if status is None:
            await self.kill_router(router)

    async def wait_for_exit(self, process, seconds):
        """Return when a process has exited, or the time-out has passed.

        A thread waits, so that a busy harness doesn't delay the time.
        """
        return await curio.run_in_thread(wait_for_exit, process.pid, seconds)

    async def kill_router(self, router):
        """Kill the process of a router with SIGKILL."""
        router.killed = True
        router.signal(signal.SIGKILL)
        await self.wait_for_exit(router.popen, processes.STOP_SECONDS)

    async def is_ready(self, router):
        """Return whether the readiness check of a router succeeds."""
        answer = await self.get(router, processes.READINESS_PORT, '/')
        return answer is not None and answer[0].status == 200

    async def wait_until_ready(self, seconds):
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
        """Return head and body of a GET to a router, or None on failure."""
        deadline = deadlines.Deadline.after(1.0)
        try:
            connection = await http.connect(router.host, port, deadline)
        except errors.ConnectionFailed:
            # The router is down or paused, as planned by the faults.
            return None
        try:
            return await http.exchange(
                connection, 'GET', path, {}, b'', deadline
            )
        except errors.CelerywardError:
            # The router exited or was paused during its answer.
            return None
        finally:
            await connection.close()

    async def poll_versions(self):
        """Record configuration versions of all processes until cancelled."""
        while True:
            for router in self.routers:
                process = f'{router.name}-{router.start_count}'
                answer = await self.get(
                    router, processes.METRICS_PORT, '/metrics'
                )
                if answer is not None:
                    self.record_version(process, answer[1].decode())
            await curio.sleep(POLL_SECONDS)

    def record_version(self, process, exposition):
        """Record the configuration version in the metrics of a process."""
        for line in exposition.splitlines():
            if line.startswith(VERSION_METRIC):
                version = int(float(line.rpartition(' ')[2]))
                self.observed.versions.append(
                    observations.Version(process, version)
                )

    def kill_processes(self):
        """Kill all processes that this run started."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for router in self.routers:
            if router.alive:
                router.popen.kill()
                router.popen.wait()

    async def stop(self):
        """Stop all processes, proxies and stand-ins of this run."""
        for endpoint in self.endpoints:
            await endpoint.server.stop()
        self.kill_processes()
        atexit.unregister(self.kill_processes)
        for each in (*self.routers, *self.endpoints):
            await each.proxy.stop()
        await self.store.stop()

    def find_log_lines(self, request_id):
        """Return the log lines of a request, sorted by timestamp."""
        found = [
            line
            for path in self.directory.glob('*.log')
            for line in path.read_text(errors='replace').splitlines()
            if f'"{request_id}"' in line
        ]
        return sorted(found, key=log_timestamp)


def is_handled(process_id, number):
    """Return whether a process catches or ignores a signal."""
    try:
        with open(f'/proc/{process_id}/status', encoding='ascii') as file:
            fields = dict(line.split(':', 1) for line in file)
    except OSError:
        # The process has ended.
        return False
    masks = (int(fields.get(name, '0'), 16) for name in HANDLED_MASKS)
    return any(mask >> number - 1 & 1 for mask in masks)


def wait_for_exit(process_id, seconds):
    """Wait until a process has exited; return the monotonic time."""
    try:
        descriptor = os.pidfd_open(process_id)
    except ProcessLookupError:
        # Its status has been read.
        return observations.now()
    try:
        ended = select.poll()
        ended.register(descriptor, select.POLLIN)
        ended.poll(seconds * MILLISECONDS)
        return observations.now()
    finally:
        os.close(descriptor)


def log_timestamp(line):
    """Return the timestamp of a log line, or '' if it has none."""
    try:
        return msgspec.json.decode(line).get('time', '')
    except msgspec.DecodeError:
        # curio reports some of its errors as plain text.
        return ''


def exit_on_signal(number, frame):
    """Exit normally, so that exit handlers kill the router processes."""
    sys.exit(128 + number)
