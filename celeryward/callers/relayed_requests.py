"""State of one request while the router dispatches it."""

import contextlib
import dataclasses
import time

from celeryward import awake_clock
from celeryward import body_memory
from celeryward.endpoints import closures
from celeryward.endpoints import crashes
from celeryward.endpoints import event_stream
from celeryward.endpoints import request_content
from celeryward.endpoints import warm_up_states
from celeryward.raters import sizes

# A request is not retried after this many dispatches that were not sent or
# that endpoints refused.
MAX_REFUSALS = 3
ROUTE_PRIORITY_LEVELS = 3
MAX_URGENCY_RANK = 9
# Prompt tokens of a typical request, which is one unit of work.
TOKENS_PER_WORK_UNIT = 3000.0
MIN_WORK_UNITS = 0.25
# Parts of a prompt that are named in a log line.
LOGGED_PARTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where one dispatch of a request goes.

    :param str service: name of the service.
    :param runners.Runner runner: the endpoint.
    :param sizes.Size size: the model to run, None if the caller named it.
    :param bool suspected: whether the endpoint is suspected of failure,
        because no other was available.
    :param closures.Place place: place at the endpoint that is reserved for
        the dispatch, None if there is none yet.
    :param warm_up_states.Slot slot: slot at a cold endpoint, None for none.
    """

    service: str
    runner: object
    size: sizes.Size | None = None
    suspected: bool = False
    place: closures.Place | None = None
    slot: warm_up_states.Slot | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One dispatch of a request.

    :param runs.Run run: counted for the endpoint's software version.
    :param float began_at: seconds on the :mod:`celeryward.awake_clock`.
    :param crash_watch.WatchedRun watched: shows what ran at an endpoint that
        crashes.
    """

    plan: Plan
    run: object
    began_at: float
    watched: object = None


class RelayedRequest:
    """One request, and the state of its dispatches.

    Attributes that change with each dispatch:

    - ``runs``: dispatches that the endpoint may have run.
    - ``refusals``: dispatches that failed before the endpoint ran them.
    - ``dispatches``: all dispatches so far.
    - ``deliveries``: dispatches that reached an endpoint. While there are
      none, another dispatch is not charged to the retry budget.
    - ``budget_charged``: whether the retry budget was charged for the next
      dispatch already.
    - ``failed_answer``: head and body of an endpoint's error response, sent
      to the caller if no other endpoint answers.
    - ``tried_endpoints``: ids of endpoints that failed the request.
    - ``running``: id of the endpoint of each dispatch that is under way;
      several while a late or a held answer may still go on.
    - ``crashes_at_begin``: dispatches whose endpoint ended when their answer
      had just begun.
    - ``resources``: is closed when the request has ended.
    - ``trial``: the :class:`culprits.Culprit` whose trial the request is, or
      None.
    - ``service`` and ``size``: those of the last dispatch, which the next
      one keeps; ``size`` is replaced by an escalation to a larger model.

    :param ingress.RequestMetadata metadata: fields of the request's head.
    :param ingress.Customer customer: None on public routes.
    :param http.Request head: request line and header.
    :param deadlines.Deadline deadline: when its final answer is due.
    """

    def __init__(self, metadata, route, customer, head, body, deadline):
        self.metadata = metadata
        self.route = route
        self.customer = customer
        self.head = head
        self.body = body
        self.deadline = deadline
        self.started_at = time.monotonic()
        # The same on the clock that stands still with this process.
        self.began_at = awake_clock.CLOCK()
        self.sequence = event_stream.EventSequence(metadata.last_event_id)
        self.size = None
        self.service = ''
        self.tried_endpoints = frozenset()
        self.running = ()
        self.runs = 0
        self.refusals = 0
        self.dispatches = 0
        self.deliveries = 0
        self.budget_charged = False
        self.failed_answer = None
        self.resources = contextlib.ExitStack()
        self.known_traits = None
        self.trial = None
        self.crashes_at_begin = 0

    @property
    def has_sent_events(self):
        """Whether events of this answer were sent to the caller."""
        return self.sequence.last > self.metadata.last_event_id

    def may_run_again(self):
        """Return whether another endpoint may run the request.

        A request that may have run is only repeated if its route allows it.
        """
        return self.runs < self.route.max_attempts and (
            self.route.retryable or self.runs == 0
        )

    def may_retry_after(self, error):
        """Return whether another dispatch may follow a failed one.

        :param errors.EndpointFailure error: has been counted already.
        """
        if error.sent:
            return self.may_run_again()
        return self.refusals < MAX_REFUSALS and (
            self.runs == 0 or self.may_run_again()
        )

    def hold_answer(self, connection):
        """Return the :class:`body_memory.Hold` of a whole answer.

        The answer counts until the request has ended.

        :param http.Connection connection: brings the answer.
        """
        return self.resources.enter_context(
            body_memory.ANSWERS.hold(connection.stop_reading)
        )

    def traits(self):
        """Return the :class:`crashes.RequestTraits`, computed once."""
        if self.known_traits is None:
            self.known_traits = crashes.RequestTraits(
                self.content().fingerprint(), shared_parts(self.metadata)
            )
        return self.known_traits

    def content(self):
        """Return the :class:`request_content.RequestContent`."""
        metadata = self.metadata
        return request_content.RequestContent(
            customer=self.customer.name if self.customer else '',
            method=self.head.method,
            target=self.head.target,
            model=metadata.model,
            session=metadata.session,
            prompt=tuple(
                (part.id, part.tokens) for part in metadata.prompt_parts
            ),
            usage=(
                metadata.prompt_tokens,
                metadata.max_tokens,
                metadata.expected_tokens,
            ),
            header=request_content.join_lines(
                self.head.lines, metadata.attempt_fields
            ),
            body=self.body,
        )

    def end_running(self, runner_id):
        """Remove one dispatch from those under way."""
        position = self.running.index(runner_id)
        self.running = self.running[:position] + self.running[position + 1 :]

    def has_attempts_left(self):
        """Return whether another attempt is allowed beside those under way.

        A dispatch that has ended counts until its failure is recorded.
        """
        under_way = max(1, len(self.running))
        used = max(self.runs + under_way, self.dispatches - self.refusals)
        return used < self.route.max_attempts


def affinity_key(relayed):
    """Return the key that requests with a shared prompt prefix have.

    Requests with the same key profit from the prefix cache of the same
    endpoint. The last part of a prompt belongs to one request or session;
    the id of the part before it names the longest prefix that others share.
    A trial has no key, so that it runs where the fewest requests do.
    """
    metadata = relayed.metadata
    if relayed.trial is not None:
        return ''
    if len(metadata.prompt_parts) >= 2:
        return metadata.prompt_parts[-2].id
    return metadata.session


def shared_parts(metadata):
    """Return the traits of the parts that other requests may share."""
    return crashes.traits_of_parts([part.id for part in metadata.prompt_parts])


def describe_parts(metadata):
    """Return the shared parts of a prompt as text for a log line."""
    return ' '.join(shared_parts(metadata)[:LOGGED_PARTS])


def urgency(relayed):
    """Return the urgency rank of a request, 0 to 9; 0 is served first.

    The customer's priority goes before that of the route.
    """
    rank = relayed.route.priority
    if relayed.customer is not None:
        rank += ROUTE_PRIORITY_LEVELS * relayed.customer.priority
    return max(0, min(MAX_URGENCY_RANK, rank))


def work_units(metadata):
    """Return the size of a request in units of work; a typical one is 1.0."""
    return max(MIN_WORK_UNITS, metadata.prompt_tokens / TOKENS_PER_WORK_UNIT)
