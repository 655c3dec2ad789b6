"""Admission to the slots of one model, by deadline and by fair shares.

Customers are scheduled by start-time fair queueing: each has a virtual time,
which grows with the slot time that it used divided by its weight, and the
customer with the lowest virtual time is served next. The requests of one
customer are served by priority, then in order of arrival.
"""

import dataclasses
import heapq

import result

from celeryward import deadlines
from celeryward import durations
from celeryward import errors

# Maximum number of waiting requests for each slot. The last one starts after
# at most this many mean durations, which few deadlines allow.
MAX_WAITING_PER_SLOT = 16
MAX_RETRY_SECONDS = 60.0
# Mean deviations above the mean that a request's duration is planned with. A
# request that starts with just its mean duration left misses its deadline
# about every second time and wastes its slot.
UPPER_BOUND_DEVIATIONS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """One request that waits for a slot.

    :param int number: sequence number, in order of arrival.
    :param int priority: higher is served first.
    :param Deadline deadline: time at which its answer becomes useless.
    """

    number: int
    customer: str
    priority: int
    deadline: deadlines.Deadline

    @property
    def sort_key(self):
        """Sort key among the requests of one customer."""
        return -self.priority, self.number


def share_weight(priority):
    """Return the weight of a customer with a priority.

    Shares of slots are proportional to weights, so that a customer with a
    high priority can't starve one with a low priority.
    """
    return 1.0 + max(0, priority)


def retry_at(now, seconds):
    """Return when the caller may retry, 1 to 60 seconds from now."""
    seconds = min(MAX_RETRY_SECONDS, max(1.0, seconds))
    return deadlines.Deadline(now + seconds)


class CustomerQueue:
    """Priority queue of the waiting requests of one customer.

    Cancelled tickets stay in the heap until they are popped.

    :param float weight: weight of the customer.
    """

    def __init__(self, weight):
        self.weight = weight
        self.virtual_time = 0.0
        self.heap = []
        self.cancelled = set()

    def __len__(self):
        return len(self.heap) - len(self.cancelled)

    def push(self, ticket):
        """Add a ticket that is not in the queue."""
        heapq.heappush(self.heap, (ticket.sort_key, ticket))

    def pop(self):
        """Remove and return the first ticket."""
        while True:
            ticket = heapq.heappop(self.heap)[1]
            if ticket.number not in self.cancelled:
                return ticket
            self.cancelled.discard(ticket.number)

    def cancel(self, ticket):
        """Cancel a ticket that is in the queue."""
        self.cancelled.add(ticket.number)

    def last(self):
        """Return the ticket that is served last."""
        return max(
            (
                ticket
                for _, ticket in self.heap
                if ticket.number not in self.cancelled
            ),
            key=lambda ticket: ticket.sort_key,
        )

    def count_ahead(self, ticket):
        """Return how many tickets are served before this one."""
        return sum(
            order < ticket.sort_key
            for order, other in self.heap
            if other.number not in self.cancelled
        )


class ModelQueue:
    """Slots of one model at this daemon, and the requests that wait.

    Times are passed in as seconds on the monotonic clock.

    :param str model: name of the model.
    """

    def __init__(self, model):
        self.model = model
        self.slots = 1
        self.running = 0
        self.waiting = 0
        self.customer_queues = {}
        self.virtual_time = 0.0
        self.mean_seconds = None
        self.duration_estimates = {}

    @property
    def outstanding(self):
        """Number of requests that run or wait."""
        return self.running + self.waiting

    def offer(self, ticket, weight, now):
        """Add a request to the queue.

        :param float weight: weight of the customer.
        :returns: ``Ok`` with the ticket that was displaced by this one, or
            None; ``Err(Overloaded)`` if this one can't be answered in time,
            or the queue is full.
        """
        queue = self.customer_queues.setdefault(
            ticket.customer, CustomerQueue(weight)
        )
        queue.weight = weight
        if not len(queue):
            queue.virtual_time = max(queue.virtual_time, self.virtual_time)
        wait = self.expected_wait(queue, ticket)
        refusal = self.check_deadline(ticket, wait, now)
        if refusal is not None:
            return result.Err(refusal)
        displaced = None
        if self.waiting >= self.slots * MAX_WAITING_PER_SLOT:
            displaced = self.longest_queue().last()
            if self.must_keep(displaced, ticket):
                return result.Err(self.queue_full_error(wait, now))
            self.cancel(displaced)
        queue.push(ticket)
        self.waiting += 1
        return result.Ok(displaced)

    def must_keep(self, last, ticket):
        """Return whether a full queue keeps its last ticket.

        A customer whose queue is shorter for its weight displaces the last
        ticket of the longest one; a request of the same customer does so
        only if its priority is higher.

        :param Ticket last: last ticket of the longest queue.
        :param Ticket ticket: the new one.
        """
        if last.customer == ticket.customer:
            return last.sort_key < ticket.sort_key
        ours = self.customer_queues[ticket.customer]
        theirs = self.customer_queues[last.customer]
        return (len(ours) + 1) / ours.weight >= len(theirs) / theirs.weight

    def longest_queue(self):
        """Return the queue with the most tickets for its weight."""
        return max(
            self.customer_queues.values(),
            key=lambda queue: len(queue) / queue.weight,
        )

    def cancel(self, ticket):
        """Remove a waiting ticket."""
        self.customer_queues[ticket.customer].cancel(ticket)
        self.waiting -= 1

    def expected_wait(self, queue, ticket):
        """Return the seconds until a new ticket would start.

        While the customer's own requests ahead of it are served, each other
        customer is served in proportion to its weight, at most as many
        requests as wait in its queue.
        """
        if self.mean_seconds is None or self.outstanding < self.slots:
            return 0.0
        turns = (queue.count_ahead(ticket) + 1) / queue.weight
        ahead = sum(
            min(len(other), turns * other.weight)
            for other in self.customer_queues.values()
            if other is not queue
        )
        ahead += queue.count_ahead(ticket) + 1
        return ahead * self.mean_seconds / self.slots

    def check_deadline(self, ticket, wait, now):
        """Return the error if a ticket can't be answered in time, or None.

        :param float wait: seconds until the ticket starts.
        """
        estimate = self.duration_estimates.get(ticket.customer)
        seconds = 0.0
        if estimate is not None and (wait > 0.0 or self.waiting):
            # An idle queue refuses no request for its expected duration:
            # the caller chose the deadline.
            seconds = estimate.upper_bound(UPPER_BOUND_DEVIATIONS)
        late = now + wait + seconds - ticket.deadline.at
        if late <= 0.0:
            return None
        return self.overloaded_error(
            'the expected wait is too long', late, now
        )

    def queue_full_error(self, wait, now):
        """Return the error of a full queue.

        :param float wait: seconds after which the caller may retry.
        """
        return self.overloaded_error('the queue is full', wait, now)

    def overloaded_error(self, reason, seconds, now):
        """Return the error that asks to retry after a delay in seconds."""
        return errors.Overloaded(
            reason,
            step='queue',
            peer=self.model,
            retry_at=retry_at(now, seconds),
        )

    def start_next(self, now):
        """Take the next ticket from the queue and give it a slot.

        Tickets that can no longer be answered in time are dropped.

        :returns: the pair of a ticket, or None if no slot is free or
            nothing waits, and a tuple with a pair of ticket and error for
            each dropped ticket.
        """
        late = []
        while self.waiting and self.running < self.slots:
            queue = min(
                (
                    queue
                    for queue in self.customer_queues.values()
                    if len(queue)
                ),
                key=lambda queue: queue.virtual_time,
            )
            ticket = queue.pop()
            self.waiting -= 1
            refusal = self.check_deadline(ticket, 0.0, now)
            if refusal is not None:
                late.append((ticket, refusal))
                continue
            self.virtual_time = queue.virtual_time
            queue.virtual_time += 1 / queue.weight
            self.running += 1
            return ticket, tuple(late)
        return None, tuple(late)

    def finish(self, ticket, seconds):
        """Free the slot of a ticket that was answered."""
        self.free_slot(ticket, seconds)
        self.record_duration(ticket, seconds)

    def release(self, ticket, seconds=0.0):
        """Free the slot of a ticket that was not answered.

        The duration only counts if it is above the mean. A quick failure is
        no evidence about the next answer, but a slow one is: if an engine
        becomes so slow that no request meets its deadline, the expected
        wait must still grow.
        """
        self.free_slot(ticket, seconds)
        estimate = self.duration_estimates.get(ticket.customer)
        if estimate is not None and seconds > estimate.mean:
            self.record_duration(ticket, seconds)

    def free_slot(self, ticket, seconds):
        """Free a slot and charge its use to the customer's virtual time.

        The customer was charged for a request of mean duration at the
        start; the difference to the actual duration is charged here.
        """
        self.running -= 1
        queue = self.customer_queues[ticket.customer]
        if self.mean_seconds:
            queue.virtual_time += (
                seconds / self.mean_seconds - 1
            ) / queue.weight
        self.reset_if_idle()

    def record_duration(self, ticket, seconds):
        """Update the mean durations with those of a request."""
        self.mean_seconds = durations.updated_mean(self.mean_seconds, seconds)
        estimate = self.duration_estimates.get(
            ticket.customer, durations.DurationEstimate(seconds)
        )
        self.duration_estimates[ticket.customer] = estimate.updated(seconds)

    def reset_if_idle(self):
        """Drop all queues and virtual times if no request is outstanding.

        A new queue begins at the common virtual time anyway.
        """
        if self.outstanding == 0:
            self.customer_queues.clear()
            self.virtual_time = 0.0
