"""Queues in which requests wait for a slot of their model."""

import contextlib
import itertools
import time

import curio

from celeryward import awake_clock
from celeryward.callers import queues
from celeryward import errors

# Time between two looks for slots that were added while requests wait.
FOLLOW_SECONDS = 0.1


class Waiter:
    """Wakes the task of one queued request.

    :param queues.Ticket ticket: its place in the queue.
    :param calls.Call call: the request.
    :param str model: name of the model that it waits for.
    :ivar error: why the request can't start; None if it has a slot.
    """

    def __init__(self, ticket, call, model):
        self.ticket = ticket
        self.call = call
        self.model = model
        self.event = curio.Event()
        self.error = None

    async def wake(self, error=None):
        """Let the request start, or fail it with an error."""
        self.error = error
        await self.event.set()


class ModelQueues:
    """The queue of each model at this daemon.

    :param configuration: :class:`ConfigurationStore`.
    :param limits.Shares shares: computes this daemon's share of the slots of
        each model.
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
        """Return the queue of a model, with an updated number of slots."""
        queue = self.queues.get(model)
        if queue is None:
            queue = self.queues[model] = queues.ModelQueue(model)
        total = total_slots(self.configuration.catalog(), model, self.liveness)
        queue.slots = self.shares.cached(self.shares.slots, model, total)
        return queue

    def outstanding_by_model(self):
        """Yield pairs of model and number of requests that run or wait."""
        for model, queue in self.queues.items():
            if queue.outstanding:
                yield model, float(queue.outstanding)

    @contextlib.asynccontextmanager
    async def slot(self, call, model):
        """Wait for a slot of a model and occupy it within the context.

        :raises errors.Overloaded: if no slot is expected to become free in
            time, or the queue is full.
        :raises errors.DeadlineExceeded: if the deadline passes in the queue.
        """
        ticket = queues.Ticket(
            next(self.ticket_numbers),
            call.customer.name,
            call.priority,
            call.deadline,
        )
        await self.wait_for_slot(ticket, call, model)
        started = awake_clock.CLOCK()
        queue = self.queues[model]
        try:
            yield
        except BaseException:
            queue.release(ticket, awake_clock.CLOCK() - started)
            raise
        else:
            queue.finish(ticket, awake_clock.CLOCK() - started)
        finally:
            await self.start_ready(model)

    async def wait_for_slot(self, ticket, call, model):
        """Queue a ticket and return once it has a slot.

        :raises errors.Overloaded: if the queue rejects it, now or later.
        :raises errors.DeadlineExceeded: if the deadline passes in the queue.
        """
        queue = self.queue(model)
        now = time.monotonic()
        weight = queues.share_weight(call.customer.priority)
        displaced = errors.unwrap(queue.offer(ticket, weight, now))
        waiter = self.waiters[ticket.number] = Waiter(ticket, call, model)
        if displaced is not None:
            wait = queue.mean_seconds or 0.0
            await self.wake(displaced, queue.queue_full_error(wait, now))
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
        """Remove a ticket from the queue, or free the slot that it has."""
        queue = self.queues[model]
        if self.waiters.pop(ticket.number, None) is not None:
            queue.cancel(ticket)
        elif waiter.error is None:
            queue.release(ticket)
            await self.start_ready(model)

    async def start_ready(self, model):
        """Start the next requests, and fail those that are too late."""
        queue = self.queue(model)
        while True:
            ticket, late = queue.start_next(time.monotonic())
            for refused, error in late:
                await self.wake(refused, error)
            if ticket is None:
                return
            await self.wake(ticket)

    async def follow_slots(self):
        """Start waiting requests when slots are added, until cancelled.

        Endpoints are added, or live again, while no request ends or arrives.
        """
        while True:
            await curio.sleep(FOLLOW_SECONDS)
            for model, queue in tuple(self.queues.items()):
                if queue.waiting:
                    await self.start_ready(model)

    async def refuse_waiting(self, check):
        """Refuse the waiting requests that can't be finished.

        :param check: function of a call and a model that raises
            :class:`errors.NotRun` for such a request.
        """
        for waiter in tuple(self.waiters.values()):
            try:
                check(waiter.call, waiter.model)
            except errors.NotRun as error:
                self.queues[waiter.model].cancel(waiter.ticket)
                await self.wake(waiter.ticket, error)

    async def wake(self, ticket, error=None):
        """Wake the task that waits with a ticket."""
        await self.waiters.pop(ticket.number).wake(error)


def total_slots(catalog, model, liveness):
    """Return the number of slots of all live endpoints of a model."""
    endpoints = {
        endpoint.name: endpoint
        for version in catalog.versions_by_model.get(model, ())
        if version.usable
        for endpoint in catalog.endpoints_by_version.get(version.name, ())
        if liveness.is_live(endpoint.name)
    }
    return sum(max(1, entry.capacity) for entry in endpoints.values())
