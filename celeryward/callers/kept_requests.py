"""Order of the requests that wait for a closed endpoint to open.

Answers overload in which all endpoints of a service are closed. More urgent
requests go first, then those that came first. A request is kept only while
its estimated start is early enough for its objective and its deadline; the
others are refused at once. Needs no network.
"""

import bisect
import dataclasses

# Requests that are kept for one queue.
MAX_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Ticket:
    """A request that is kept.

    :param int urgency: 0 goes first.
    :param int number: rises with each request.
    :param float latest_start: on the boot-time clock.
    :param woken: event that is set when the request should try again.
    :param bool is_particular: whether it can't use all endpoints that the
        others of its queue can use.
    :param str software: version of the endpoints' software that was chosen
        for the request; empty for any.
    """

    urgency: int
    number: int
    latest_start: float = dataclasses.field(compare=False)
    woken: object = dataclasses.field(compare=False)
    is_particular: bool = dataclasses.field(compare=False, default=False)
    software: str = dataclasses.field(compare=False, default='')

    def tells_start_of(self, other):
        """Return whether the other one starts no sooner than it would here.

        One that can't use all endpoints tells nothing of the others.
        """
        return other is self or not self.is_particular


class KeptRequests:
    """The requests that are kept, by queue.

    A queue is named by the service and the model that its requests need.
    """

    def __init__(self):
        self.queues = {}

    def of(self, queue):
        """Return the tickets of a queue, the next one first."""
        return self.queues.get(queue, ())

    def count(self):
        """Return the number of requests that are kept."""
        return sum(map(len, self.queues.values()))

    def add(self, queue, ticket, starts):
        """Add a ticket; return those that can't be served in time any more.

        The result may contain the new ticket; the caller refuses them all.

        :param starts: iterator over the estimated starts of requests at the
            endpoints that the new one can use.
        """
        bisect.insort(self.queues.setdefault(queue, []), ticket)
        late = []
        start = next(starts)
        for position, each in enumerate(tuple(self.queues[queue])):
            if position - len(late) >= MAX_KEPT:
                late.append(each)
            elif each.software != ticket.software:
                continue
            elif start > each.latest_start and ticket.tells_start_of(each):
                late.append(each)
            else:
                start = next(starts)
        for each in late:
            self.remove(queue, each)
        return late

    def remove(self, queue, ticket):
        """Remove a ticket, if it is there."""
        tickets = self.queues.get(queue, [])
        if ticket in tickets:
            tickets.remove(ticket)
        if not tickets:
            self.queues.pop(queue, None)

    def goes_before(self, queue, urgency):
        """Return whether a kept request goes before a new one."""
        tickets = self.of(queue)
        return bool(tickets) and tickets[0].urgency <= urgency

    def next_after(self, queue, ticket):
        """Return the ticket after another one, or None."""
        tickets = self.of(queue)
        position = bisect.bisect_right(tickets, ticket)
        return tickets[position] if position < len(tickets) else None

    def next_version_after(self, queue, ticket):
        """Return the first ticket of the next version, or None.

        It is one that no ticket up to the given one has.
        """
        tickets = self.of(queue)
        position = bisect.bisect_right(tickets, ticket)
        earlier = {each.software for each in tickets[:position]}
        later = (
            each for each in tickets[position:] if each.software not in earlier
        )
        return next(later, None)
