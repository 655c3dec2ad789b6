"""Waiting of requests for a slot of their model."""

import contextlib
import itertools
import time

import curio

from celeryward.callers import queues
from celeryward import errors


class Waiter:
    """Wakes the task of one waiting request."""

    def __init__(self):
        self.event = curio.Event()
        self.error = None

    async def wake(self, error=None):
        """Let the request start, or end it with an error."""
        self.error = error
        await self.event.set()


class ModelQueues:
    """The queue of each model at this daemon.

    :param configuration: :class:`ConfigurationStore`.
    :param Shares shares: this daemon's part of each model's slots.
    :param liveness: :class:`liveness.Liveness`.
    """

    def __init__(self, configuration, shares, liveness):
        self.configuration = configuration
        self.shares = shares
        self.liveness = liveness
        self.queues = {}
        self.waiters = {}
        self.ticket_numbers = itertools.count()

    def queue(self, model):
        """Return the queue of a model with its present number of slots."""
        queue = self.queues.get(model)
        if queue is None:
            queue = self.queues[model] = queues.ModelQueue(model)
        total = total_slots(self.configuration.catalog(), model, self.liveness)
        queue.slots = self.shares.once(self.shares.slots, model, total)
        return queue

    def outstanding_by_model(self):
        """Yield the pairs of model and requests that run or wait."""
        for model, queue in self.queues.items():
            if queue.wanted:
                yield model, float(queue.wanted)

    @contextlib.asynccontextmanager
    async def slot(self, call, model):
        """Hold a slot of a model, after waiting for it.

        :raises errors.Overloaded: if it can't be had before the deadline.
        :raises errors.DeadlineExceeded: if the deadline passes meanwhile.
        """
        ticket = queues.Ticket(
            next(self.ticket_numbers),
            call.customer.name,
            call.priority,
            call.deadline,
        )
        await self.wait_for_slot(ticket, call, model)
        started = time.monotonic()
        queue = self.queues[model]
        try:
            yield
        except BaseException:
            queue.release(ticket, time.monotonic() - started)
            raise
        else:
            queue.finish(ticket, time.monotonic() - started)
        finally:
            await self.start_ready(model)

    async def wait_for_slot(self, ticket, call, model):
        """Return once the ticket has a slot."""
        queue = self.queue(model)
        now = time.monotonic()
        weight = queues.weight(call.customer.priority)
        displaced = errors.unwrap(queue.offer(ticket, weight, now))
        waiter = self.waiters[ticket.number] = Waiter()
        if displaced is not None:
            wait = queue.mean_seconds or 0.0
            await self.wake(displaced, queue.full(wait, now))
        await self.start_ready(model)
        try:
            await curio.timeout_after(
                call.deadline.remaining(), waiter.event.wait
            )
        except curio.TaskTimeout as error:
            await self.cancel_ticket(ticket, waiter, model)
            wait = queue.mean_seconds or 0.0
            raise errors.DeadlineExceeded(
                'deadline passed in the queue',
                step='queue',
                peer=model,
                retry_at=queues.retry_at(time.monotonic(), wait),
            ) from error
        except curio.CancelledError:
            await self.cancel_ticket(ticket, waiter, model)
            raise
        if waiter.error is not None:
            raise waiter.error

    async def cancel_ticket(self, ticket, waiter, model):
        """Take a ticket out of the queue, or give back its slot."""
        queue = self.queues[model]
        if self.waiters.pop(ticket.number, None) is not None:
            queue.cancel(ticket)
        elif waiter.error is None:
            queue.release(ticket)
            await self.start_ready(model)

    async def start_ready(self, model):
        """Wake each request that can start, or can't start in time."""
        queue = self.queue(model)
        while True:
            ticket, late = queue.start_next(time.monotonic())
            for refused, error in late:
                await self.wake(refused, error)
            if ticket is None:
                return
            await self.wake(ticket)

    async def wake(self, ticket, error=None):
        """Wake the task of a ticket."""
        await self.waiters.pop(ticket.number).wake(error)


def total_slots(catalog, model, liveness):
    """Return the slots of all live endpoints that run a model."""
    endpoints = {
        endpoint.name: endpoint
        for version in catalog.versions_by_model.get(model, ())
        if version.usable
        for endpoint in catalog.endpoints_by_version.get(version.name, ())
        if liveness.is_live(endpoint.name)
    }
    return sum(max(1, entry.capacity) for entry in endpoints.values())
