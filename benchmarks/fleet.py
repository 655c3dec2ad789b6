"""Processes of daemons for benchmarks, against a stand-in platform.

Each process runs the control parts of several daemons. Bytes are those that
arrive at the connections between daemons; every byte that one daemon sends
another one receives, so the mean sent is the same.
"""

import dataclasses
import multiprocessing
import os
import resource
import socket
import time

import curio
from grpclib import protocol as grpclib_protocol

from celeryward.daemons import control
from celeryward.daemons import server
from celeryward import logs
from celeryward.objects import client
from celeryward.objects import configuration
from celeryward.objects import configuration_watcher
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import platform

WRITER = 'benchmark'
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
SETTLE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one run of a benchmark does.

    :param bool gossip: whether daemons gossip, or each holds a watch.
    :param float change_interval: seconds between writes, 0.0 for none.
    """

    daemons: int = 8
    processes: int = 4
    domains: int = 4
    endpoints: int = 60
    customers: int = 10
    versions: int = 26
    gossip: bool = True
    change_interval: float = 0.0
    warm_up: float = 12.0
    seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one process measured.

    :param tuple seen: pairs of revision and monotonic time, one for each
        daemon and change.
    """

    daemons: int
    bytes_received: int
    cpu_seconds: float
    rss_bytes: int
    base_rss_bytes: int
    seconds: float
    holders: int
    seen: tuple[tuple[int, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run, for one daemon unless stated otherwise.

    :param float rss_mb: memory that a daemon adds to its process.
    :param float base_rss_mb: memory of a process before its first daemon.
    """

    plan: Plan
    bytes_per_s: float
    cpu_percent: float
    rss_mb: float
    base_rss_mb: float
    platform_calls_per_s: float
    watches: int
    delays: tuple[float, ...]
    missed: int

    def percentile(self, share):
        """Return a percentile of the delays, in seconds."""
        if not self.delays:
            return 0.0
        position = min(len(self.delays) - 1, int(share * len(self.delays)))
        return self.delays[position]


class ByteCounter:
    """Counts what arrives at the connections between daemons."""

    def __init__(self):
        self.received = 0

    def install(self):
        """Count in grpclib's protocol class of this process."""
        original = grpclib_protocol.H2Protocol.data_received
        counter = self

        def data_received(connection, data):
            counter.received += len(data)
            original(connection, data)

        grpclib_protocol.H2Protocol.data_received = data_received


def rss_bytes():
    """Return the resident memory of this process."""
    with open('/proc/self/statm', encoding='ascii') as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def cpu_seconds():
    """Return the processor time of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def free_ports(count):
    """Return free loopback ports."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


class Daemon:
    """The control part of one daemon."""

    def __init__(self, number, plan, ports, platform_port):
        checked = settings.Settings(
            name=f'd{number}',
            failure_domain=f'f{number % plan.domains}',
            platform=settings.Address(port=platform_port),
            peers=settings.Address(port=ports[number]),
            seeds=[
                settings.Address(port=port)
                for port in ports[:3]
                if port != ports[number]
            ],
        )
        self.plan = plan
        self.seen = []
        self.store = configuration.ConfigurationStore()
        self.store.listeners.append(self.record_changes)
        calls = client.ObjectClient(checked.platform, 3.0, checked.name)
        self.watcher = configuration_watcher.ConfigurationWatcher(
            calls, self.store
        )
        self.control = control.ControlPlane(
            checked,
            f'{checked.name}-run',
            self.store,
            self.watcher,
            server.RefusingCopyHandler(),
        )
        self.task = None

    def record_changes(self, changes):
        """Record when changes take effect at this daemon."""
        now = time.monotonic()
        self.seen += [(change.revision, now) for change in changes]

    @property
    def watches(self):
        """Whether this daemon holds a watch."""
        return self.task is not None or self.control.watch_task is not None

    async def start(self):
        """Start to gossip, or to hold a watch."""
        if self.plan.gossip:
            await self.control.start()
        else:
            self.task = await curio.spawn(self.watcher.run, daemon=True)

    async def stop(self):
        """Stop all tasks."""
        if self.task is not None:
            await self.task.cancel()
        await self.control.stop()


async def run_process(pipe, plan, numbers, ports, platform_port):
    """Run some daemons and report what they cost."""
    counter = ByteCounter()
    counter.install()
    base = rss_bytes()
    daemons = [
        Daemon(number, plan, ports, platform_port) for number in numbers
    ]
    for daemon in daemons:
        await daemon.start()
    pipe.send(None)
    # All processes measure the same time, from the signal of the parent.
    await curio.run_in_thread(pipe.recv)
    await curio.sleep(plan.warm_up)
    started_at, cpu = time.monotonic(), cpu_seconds()
    received = counter.received
    await curio.sleep(plan.seconds)
    report = Report(
        len(daemons),
        counter.received - received,
        cpu_seconds() - cpu,
        rss_bytes(),
        base,
        time.monotonic() - started_at,
        sum(daemon.watches for daemon in daemons),
        (),
    )
    await curio.sleep(SETTLE_SECONDS)
    seen = [entry for daemon in daemons for entry in daemon.seen]
    pipe.send(dataclasses.replace(report, seen=tuple(seen)))
    for daemon in daemons:
        await daemon.stop()


def process_main(*arguments):
    """Run one process of daemons."""
    logs.configure('CRITICAL', 'text')
    curio.run(run_process, *arguments)


def records(plan):
    """Yield the configuration of a plan."""
    for number in range(plan.endpoints):
        spec = {
            'host': '10.0.0.1',
            'port': 8000 + number,
            'failure_domain': f'f{number % plan.domains}',
            'serves': [f'm{number % max(1, plan.versions)}@1'],
        }
        yield protocol.StoredObject('Endpoint', f'e{number}', spec)
    for number in range(plan.customers):
        spec = {'allowed': ['m0'], 'requests_per_s': 50.0}
        yield protocol.StoredObject('Customer', f'c{number}', spec)
    for number in range(plan.versions):
        spec = {'model': f'm{number}', 'version': '1', 'token_cost': 1.0}
        yield protocol.StoredObject('ModelVersion', f'm{number}@1', spec)


async def write_changes(standin, plan, writes):
    """Write changes at the interval of the plan; record their times."""
    await curio.sleep(plan.warm_up + 0.5)
    if plan.change_interval == 0.0:
        return
    end = time.monotonic() + plan.seconds - 1.0
    number = 0
    while time.monotonic() < end:
        spec = {'allowed': ['m0'], 'requests_per_s': float(number)}
        stored = protocol.StoredObject('Customer', f'c{number % 7}', spec)
        stored = await standin.put(stored)
        writes[stored.revision] = time.monotonic()
        number += 1
        await curio.sleep(plan.change_interval)


async def run(plan):
    """Run one plan and return its :class:`Result`."""
    standin = platform.PlatformStandIn()
    await standin.start()
    for stored in records(plan):
        await standin.put(stored)
    ports = free_ports(plan.daemons)
    context = multiprocessing.get_context('spawn')
    started = []
    for index in range(plan.processes):
        numbers = tuple(range(index, plan.daemons, plan.processes))
        ours, theirs = context.Pipe()
        process = context.Process(
            target=process_main,
            args=(theirs, plan, numbers, ports, standin.port),
        )
        process.start()
        started.append((process, ours))
    for _, pipe in started:
        await curio.run_in_thread(pipe.recv)
    for _, pipe in started:
        pipe.send(None)
    writes = {}
    writing = await curio.spawn(write_changes, standin, plan, writes)
    await curio.sleep(plan.warm_up)
    calls = standin.calls
    await curio.sleep(plan.seconds)
    calls = standin.calls - calls
    reports = [await curio.run_in_thread(pipe.recv) for _, pipe in started]
    await writing.join()
    for process, _ in started:
        await curio.run_in_thread(process.join)
    await standin.stop()
    return summarise(plan, reports, writes, calls)


def summarise(plan, reports, writes, calls):
    """Return the :class:`Result` of the reports of all processes."""
    count = sum(report.daemons for report in reports)
    seconds = max(report.seconds for report in reports)
    delays = sorted(
        seen_at - writes[revision]
        for report in reports
        for revision, seen_at in report.seen
        if revision in writes
    )
    memory = sum(
        report.rss_bytes - report.base_rss_bytes for report in reports
    )
    cpu = sum(report.cpu_seconds for report in reports)
    received = sum(report.bytes_received for report in reports)
    return Result(
        plan,
        received / seconds / count,
        100.0 * cpu / seconds / count,
        memory / count / 1e6,
        max(report.base_rss_bytes for report in reports) / 1e6,
        calls / seconds,
        sum(report.holders for report in reports),
        tuple(delays),
        count * len(writes) - len(delays),
    )
