"""Probes endpoints and closes stale connections, with a task for each."""

import dataclasses
import math
import time

import curio

from celeryward import awake_clock
from celeryward import deadlines
from celeryward.endpoints import management
from celeryward import errors
from celeryward import http
from celeryward import logs
from celeryward import supervision

PROBE_ERRORS = (errors.EndpointFailure, *http.EXCHANGE_ERRORS)

# A probe takes about 1 ms of CPU time, and the whole control plane of a daemon
# may use 2.3% of a core. Up to 40 endpoints are probed at the full rate.
IDLE_PROBES_PER_SECOND = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe.

    :param float at: monotonic seconds of the start of the probe.
    """

    at: float
    alive: bool


class Prober:
    """Runs a task for each endpoint in the catalog.

    :param candidates.EndpointView view: updated by the probes.
    :param supervisor: :class:`supervision.Supervisor`.
    """

    def __init__(self, configuration, pool, view, timings, supervisor=None):
        self.supervisor = supervisor or supervision.Supervisor()
        self.configuration = configuration
        self.pool = pool
        self.load = view.load
        self.liveness = view.liveness
        self.prefixes = view.prefixes
        self.timings = timings
        self.tasks = {}
        self.locks = {}
        self.last_results = {}
        # Endpoints whose last probe got no answer in time.
        self.silent = set()

    async def run(self):
        """Reconcile the tasks with the catalog until cancelled."""
        while True:
            await self.reconcile_tasks()
            await curio.sleep(self.timings.probe_interval / 2)

    async def reconcile_tasks(self):
        """Start and stop tasks to match the endpoints in the catalog."""
        wanted = self.configuration.catalog().endpoints
        for name in wanted.keys() - self.tasks.keys():
            self.tasks[name] = await self.supervisor.spawn(
                'probe', name, self.watch_endpoint, name
            )
        for name in self.tasks.keys() - wanted.keys():
            await self.tasks.pop(name).cancel()
            self.load.forget(name)
            self.liveness.forget(name)
            self.locks.pop(name, None)
            self.last_results.pop(name, None)
            self.silent.discard(name)

    async def watch_endpoint(self, name):
        """Probe one endpoint until it leaves the catalog."""
        while True:
            endpoint = self.configuration.catalog().endpoints.get(name)
            if endpoint is None:
                return
            started = time.monotonic()
            await self.probe(endpoint)
            await self.close_idle(endpoint)
            await curio.sleep(self.seconds_until_probe(name, started))

    async def close_idle(self, endpoint):
        """Close stale idle connections; all if the endpoint is leaving."""
        oldest = time.monotonic() - self.timings.idle_timeout
        if self.liveness.is_leaving(endpoint.name):
            oldest = math.inf
        await self.pool.close_idle(endpoint, before=oldest)

    def seconds_until_probe(self, name, started):
        """Return the seconds until the next probe.

        :param float started: monotonic seconds of the start of the last one.
            Probes start at a fixed rate, so that a slow response doesn't
            delay the detection of an announced departure.
        """
        due = started + self.interval(name) - time.monotonic()
        retry_at = self.liveness.retry_at.get(name)
        if retry_at is None:
            return max(0.0, due)
        return max(0.0, due, retry_at.remaining())

    def interval(self, name):
        """Return the seconds between the starts of two probes.

        Endpoints without requests of this daemon share a limit on the rate of
        probes. In a fleet that exceeds it, departures arrive by gossip from
        whichever daemon probed first.
        """
        if self.load.in_flight[name]:
            return self.timings.probe_interval
        shared = len(self.tasks) / IDLE_PROBES_PER_SECOND
        return max(self.timings.probe_interval, shared)

    async def probe_after_failure(self, endpoint, failed_at):
        """Probe at once; requests that failed together share one probe.

        :param float failed_at: monotonic seconds of the failure; the
            result of a probe that began later is reused.
        :returns: whether the endpoint responded.
        """
        lock = self.locks.setdefault(endpoint.name, curio.Lock())
        async with lock:
            last = self.last_results.get(endpoint.name)
            if last is not None and last.at >= failed_at:
                return last.alive
            started = time.monotonic()
            alive = await self.probe(endpoint)
            self.last_results[endpoint.name] = ProbeResult(started, alive)
            return alive

    def is_silent(self, name):
        """Return whether the last probe of an endpoint got no answer in time.

        Its process, or the way to it, may stand still and go on.
        """
        return name in self.silent

    def set_silent(self, name, silent):
        """Store whether the last probe of an endpoint got no answer."""
        if silent:
            self.silent.add(name)
        else:
            self.silent.discard(name)

    async def probe(self, endpoint):
        """Read the load of an endpoint over a new connection.

        :returns: whether the endpoint responded.
        """
        try:
            report, asked_at = await self.read_report(endpoint)
        except PROBE_ERRORS as error:
            self.set_silent(endpoint.name, is_silence(error))
            self.liveness.record_failure(
                endpoint.name, self.timings.probe_interval
            )
            logs.bind_error(error).warning('probe failed: {}', error.message)
            return False
        self.set_silent(endpoint.name, False)
        self.liveness.record_success(endpoint.name)
        self.liveness.set_leaving(endpoint.name, report.leaving, asked_at)
        self.load.record_report(endpoint.name, report)
        return True

    async def read_report(self, endpoint):
        """Return the load report of an endpoint, and when it was asked.

        An answer that is late while this process stands still is no evidence,
        so that the endpoint is asked again.
        """
        paused_before = awake_clock.CLOCK.paused()
        try:
            return await self.ask(endpoint)
        except PROBE_ERRORS as error:
            paused = awake_clock.CLOCK.paused() - paused_before
            if not (paused and is_silence(error)):
                raise
        return await self.ask(endpoint)

    async def ask(self, endpoint):
        """Ask an endpoint once; the result is as for :meth:`read_report`."""
        deadline = deadlines.Deadline.after(self.timings.probe_timeout)
        asked_at = time.monotonic()
        connection = await http.connect(endpoint.host, endpoint.port, deadline)
        try:
            report = await management.read_load(connection, deadline)
            await self.read_cache_events(endpoint, connection, deadline)
        finally:
            await connection.close()
        return report, asked_at

    async def read_cache_events(self, endpoint, connection, deadline):
        """Read the cache events of an engine on the probe's connection.

        A failure doesn't count against the endpoint: the events only improve
        the selection.
        """
        if not endpoint.serves or not connection.reusable():
            return
        connection.start_next_cycle()
        since = self.prefixes.last_event_number(endpoint.name)
        try:
            answer = await management.read_cache_events(
                connection, since, deadline
            )
        except PROBE_ERRORS as error:
            logs.bind_error(error).debug(
                'cache events not read: {}', error.message
            )
            return
        self.prefixes.apply_answer(endpoint.name, answer.events)


def is_silence(error):
    """Return whether a probe failed for want of an answer in time."""
    if isinstance(error, errors.ConnectionRefused):
        return False
    return isinstance(error, (http.ReadTimeout, errors.ConnectionFailed))
