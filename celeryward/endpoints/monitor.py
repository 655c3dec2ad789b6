"""One task for each endpoint in use: notices when it has vanished.

A request gives no sign of life while it is queued, and neither does an
endpoint behind a partition. A new connection tells the two apart at once,
and costs less than a health check, which takes a slot.
"""

import time

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import logs

TICK_SECONDS = 0.2
# Silence with requests under way after which a connection is tried.
SILENCE_SECONDS = 0.4
# Pause between two tries at an endpoint that can't be reached.
RETRY_SECONDS = 0.5


class Monitor:
    """Runs the task of each endpoint that has requests or may be lost.

    :param table: :class:`runners.RunnerTable`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    :param connections: :class:`pool.EndpointPool`.
    :param forwarder: :class:`forwarding.Forwarder`, which can break off the
        exchanges with an endpoint.
    """

    def __init__(self, table, outcomes, connections, forwarder):
        self.table = table
        self.outcomes = outcomes
        self.connections = connections
        self.forwarder = forwarder
        self.tasks = {}

    async def run(self):
        """Start and stop tasks as endpoints come and go."""
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
        """Watch one endpoint as long as it needs it."""
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
        """Return whether the endpoint has requests of this router."""
        return bool(self.outcomes.in_flight.get(runner.id))

    def is_silent(self, runner):
        """Return whether requests wait and nothing has come for a while."""
        if not self.is_used(runner):
            return False
        silent_since = self.outcomes.silent_since.get(runner.id, 0.0)
        return time.monotonic() - silent_since > SILENCE_SECONDS

    def in_lost_domain(self, runner):
        """Return whether others of its failure domain have vanished."""
        domains = self.outcomes.lost_domains(self.table.runners.values())
        return runner.failure_domain in domains

    async def can_connect(self, runner):
        """Return whether a new connection can be opened; it is kept."""
        limit = deadlines.Deadline.after(self.connections.connect_seconds)
        try:
            connection = await self.connections.open(runner, limit)
        except errors.ConnectionFailed as error:
            logs.bind_error(error, endpoint=runner.id).debug(
                'endpoint not reached: {}', error.message
            )
            return False
        self.connections.keep_unused(runner, connection)
        return True

    async def handle_loss(self, runner):
        """Break off what waits for the endpoint until it is reached again."""
        self.outcomes.set_lost(runner.id, True)
        closed = await self.connections.close_idle(runner)
        broken = await self.forwarder.abort_repeatable(runner)
        logs.bind(
            step='monitor',
            peer=runner.address,
            endpoint=runner.id,
            idle_closed=closed,
            broken_off=broken,
        ).warning('endpoint lost')
        while not await self.can_connect(runner):
            await curio.sleep(RETRY_SECONDS)
        self.outcomes.set_lost(runner.id, False)
        self.outcomes.record_activity(runner.id)
        logs.bind(
            step='monitor', peer=runner.address, endpoint=runner.id
        ).info('endpoint regained')
