"""One request of a router, and what has happened to it so far."""

import dataclasses
import time

from celeryward.endpoints import event_stream
from celeryward.raters import sizes

PRIORITIES_OF_ROUTES = 3
LEAST_URGENT = 9
# Prompt tokens of a usual unit of work.
WORK_TOKENS = 3000.0
MIN_WORK = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One dispatch of a request.

    :param bool suspected: whether only suspect endpoints were left.
    """

    service: str
    runner: object
    size: sizes.Size | None = None
    suspected: bool = False


class RelayedRequest:
    """What has happened to one request so far.

    :param Deadline deadline: when its final answer is due.
    """

    def __init__(self, ask, route, holder, head, body, deadline):
        self.ask = ask
        self.route = route
        self.holder = holder
        self.head = head
        self.body = body
        self.deadline = deadline
        self.started_at = time.monotonic()
        self.sequence = event_stream.EventSequence(ask.after_event)
        self.size = None
        self.service = ''
        self.tried = frozenset()
        self.runs = 0
        self.refusals = 0
        self.dispatches = 0
        self.arrivals = 0
        self.prepaid = False
        self.failed_answer = None
        self.run = None

    @property
    def has_events(self):
        """Whether the caller has received events of this answer."""
        return self.sequence.last > self.ask.after_event

    def may_run_again(self):
        """Return whether another endpoint may run the request."""
        return self.runs < self.route.attempts and (
            self.route.may_repeat or self.runs == 0
        )

    def has_alternative(self):
        """Return whether the request may run at yet another endpoint."""
        return self.runs + 1 < self.route.attempts


def affinity(ask):
    """Return what requests with the same cached prompt have in common.

    The last part belongs to one request or session; the one before it is
    the largest that others share.
    """
    if len(ask.parts) >= 2:
        return ask.parts[-2].id
    return ask.session


def urgency(relayed):
    """Return how urgent a request is to endpoints, 0 to 9.

    The customer's priority goes before that of the route.
    """
    rank = relayed.route.priority
    if relayed.holder is not None:
        rank += PRIORITIES_OF_ROUTES * relayed.holder.priority
    return max(0, min(LEAST_URGENT, rank))


def work(ask):
    """Return the size of a request; a usual one has 1.0."""
    return max(MIN_WORK, ask.prompt_tokens / WORK_TOKENS)
