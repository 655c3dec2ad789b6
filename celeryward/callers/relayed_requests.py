"""One request of a router, and what has happened to it so far."""

import dataclasses
import time

from celeryward.endpoints import event_stream
from celeryward.raters import sizes

ROUTE_PRIORITY_LEVELS = 3
MAX_URGENCY_RANK = 9
# Prompt tokens of a usual unit of work.
TOKENS_PER_WORK_UNIT = 3000.0
MIN_WORK_UNITS = 0.25


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
        self.sequence = event_stream.Sequence(ask.after_event)
        self.size = None
        self.service = ''
        self.tried_endpoints = frozenset()
        self.runs = 0
        self.refusals = 0
        self.dispatches = 0
        self.delivered = 0
        self.budget_charged = False
        self.failed_answer = None
        self.run = None

    @property
    def has_sent_events(self):
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


def affinity_key(ask):
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
        rank += ROUTE_PRIORITY_LEVELS * relayed.holder.priority
    return max(0, min(MAX_URGENCY_RANK, rank))


def work_units(ask):
    """Return the size of a request; a usual one has 1.0."""
    return max(MIN_WORK_UNITS, ask.prompt_tokens / TOKENS_PER_WORK_UNIT)
