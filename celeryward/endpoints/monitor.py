"""Detects unreachable endpoints, with one task for each endpoint in use.

An endpoint sends nothing while a request is in its queue, nor while a network
partition separates it. Opening a connection distinguishes the two at once,
and costs less than a health check, which takes a slot of the endpoint.
"""

import time

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import logs

TICK_SECONDS = 0.2
# Time without input, with requests in flight, after which a connection is
# tried.
SILENCE_SECONDS = 0.4
# Delay between two connection attempts to an unreachable endpoint.
RETRY_SECONDS = 0.5
# Time without a connection, and without a part of the answer, after which
# retryable exchanges are aborted, so that callers without a replacement may
# come back themselves.
ABANDON_SECONDS = 2.5


class Monitor:
    """Runs a task for each endpoint in use or in a lost failure domain.

    :param table: :class:`runners.RunnerTable`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    :param connections: :class:`pool.EndpointPool`.
    :param forwarder: :class:`forwarding.Forwarder`, which can abort exchanges
        with an endpoint.
    """

    def __init__(self, table, outcomes, connections, forwarder):
        self.table = table
        self.outcomes = outcomes
        self.connections = connections
        self.forwarder = forwarder
        self.tasks = {}

    async def run(self):
        """Start and stop tasks as endpoints are added and removed."""
        while True:
            listed = {each.key for each in self.table.runners.values()}
            for key, task in tuple(self.tasks.items()):
                if task.terminated:
                    del self.tasks[key]
                elif key not in listed:
                    await self.tasks.pop(key).cancel()
            for runner in tuple(self.endpoints_to_watch()):
                if runner.key not in self.tasks:
                    self.tasks[runner.key] = await curio.spawn(
                        self.watch_endpoint, runner, daemon=True
                    )
            await curio.sleep(TICK_SECONDS)

    def endpoints_to_watch(self):
        """Yield the endpoints that need a task."""
        runners = self.table.runners
        for runner_id in self.outcomes.in_flight:
            if runner_id in runners:
                yield runners[runner_id]
        domains = self.outcomes.lost_domains(runners.values())
        if domains:
            for runner in runners.values():
                if runner.failure_domain in domains:
                    yield runner

    async def watch_endpoint(self, runner):
        """Watch an endpoint while it is in use or its domain is lost."""
        while True:
            in_lost_domain = self.in_lost_domain(runner)
            if not (in_lost_domain or self.is_used(runner)):
                return
            if in_lost_domain or self.is_silent(runner):
                if await self.can_connect(runner):
                    self.outcomes.record_activity(runner.id)
                else:
                    await self.handle_loss(runner)
            await curio.sleep(TICK_SECONDS)

    def is_used(self, runner):
        """Return whether this router has requests in flight there."""
        return bool(self.outcomes.in_flight.get(runner.id))

    def is_silent(self, runner):
        """Return whether requests are in flight and no input has arrived."""
        if not self.is_used(runner):
            return False
        silent_since = self.outcomes.silent_since.get(runner.id, 0.0)
        return time.monotonic() - silent_since > SILENCE_SECONDS

    def in_lost_domain(self, runner):
        """Return whether the failure domain of the endpoint is lost."""
        domains = self.outcomes.lost_domains(self.table.runners.values())
        return runner.failure_domain in domains

    async def can_connect(self, runner):
        """Return whether a connection can be opened; it joins the pool."""
        limit = deadlines.Deadline.after(self.connections.connect_seconds)
        try:
            connection = await self.connections.open(runner, limit)
        except errors.ConnectionFailed as error:
            logs.bind_error(error, endpoint=runner.id).debug(
                'endpoint is unreachable: {}', error.message
            )
            return False
        self.connections.keep_unused(runner, connection)
        return True

    async def handle_loss(self, runner):
        """Hedge exchanges until the endpoint is reachable again.

        They are kept while the endpoint may still go on.
        """
        self.outcomes.set_lost(runner.id, True)
        try:
            await self.hedge_until_reachable(runner)
        finally:
            # Also when the run has ended: the next one may have the same id.
            self.outcomes.set_lost(runner.id, False)
        self.outcomes.record_activity(runner.id)
        logs.bind(
            step='monitor', peer=runner.address, endpoint=runner.id
        ).info('endpoint regained')

    async def hedge_until_reachable(self, runner):
        """Hedge the exchanges with a lost endpoint while it is lost."""
        abandon_at = deadlines.Deadline.after(ABANDON_SECONDS)
        closed = await self.connections.close_idle(runner)
        await self.forwarder.hedge_exchanges(runner)
        logs.bind(
            step='monitor',
            peer=runner.address,
            endpoint=runner.id,
            idle_closed=closed,
            kept=len(self.forwarder.exchanges_with(runner)),
        ).warning('endpoint lost')
        await self.wait_until_reachable(runner, abandon_at)

    async def wait_until_reachable(self, runner, abandon_at):
        """Hedge exchanges, and later abort them, until a connection opens.

        They are aborted right after a failed attempt only: while this process
        stood still, the endpoint may have become reachable again.

        :param deadlines.Deadline abandon_at: from when they are aborted.
        """
        connected = await self.can_connect(runner)
        while not connected:
            await curio.sleep(RETRY_SECONDS)
            connected = await self.can_connect(runner)
            if connected:
                return
            if abandon_at.expired():
                await self.forwarder.abort_silent(runner, ABANDON_SECONDS)
            else:
                await self.forwarder.hedge_exchanges(runner)
