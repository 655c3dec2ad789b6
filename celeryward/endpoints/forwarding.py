"""One dispatch of a request that is passed on unchanged."""

import contextlib
import dataclasses
import functools
import time

import h11

from celeryward import deadlines
from celeryward.endpoints import event_stream
from celeryward import errors
from celeryward import http
from celeryward import ingress

# A connection is not used again in the last part of its idle time, in which
# the endpoint may close it while a request is under way.
IDLE_RESERVE_SECONDS = 1.0
DEFAULT_IDLE_SECONDS = 4.0
# Rate at which a body has to arrive beyond the time allowed for it.
MIN_BODY_BYTES_PER_SECOND = 65536.0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request on its way to one endpoint.

    :param http.Request head: the head as the caller sent it.
    :param str request_id: echoed by the endpoint.
    :param str customer: name of the customer, empty on public routes.
    :param str model: model to run; empty to leave the caller's.
    :param int urgency: 0 is served first by the endpoint, 9 last.
    :param Deadline deadline: when the answer has to be complete.
    :param Deadline head_deadline: when the head of the answer is due.
    :param float pause_seconds: longest wait for the next event of a stream.
    :param float body_seconds: time allowed for a whole body after its head.
    :param int after_event: last event that the caller has.
    :param bool new_connection: whether to open a new connection.
    """

    head: http.Request
    body: bytes
    request_id: str
    customer: str
    model: str
    urgency: int
    deadline: deadlines.Deadline
    head_deadline: deadlines.Deadline
    pause_seconds: float
    body_seconds: float
    after_event: int = 0
    new_connection: bool = False

    def next_event_deadline(self):
        """Return the deadline of the next event, from now."""
        wait = deadlines.Deadline.after(self.pause_seconds)
        return wait.earlier(self.deadline)


class Answer:
    """The answer of an endpoint, whose body is read as it is used.

    :param http.Response head: its head.
    :param ingress.AnswerFacts facts: what the head says.
    :param float seconds: time from the dispatch to the head.
    :param on_data: function to call when bytes have arrived.
    """

    def __init__(self, connection, forwarded, head, facts, seconds, on_data):
        self.connection = connection
        self.forwarded = forwarded
        self.head = head
        self.facts = facts
        self.seconds = seconds
        self.on_data = on_data

    async def body(self):
        """Return the whole body, which has to arrive in time."""
        begun = deadlines.Deadline.after(self.forwarded.body_seconds)
        read_before = self.connection.bytes_read

        def due():
            read = self.connection.bytes_read - read_before
            extension = read / MIN_BODY_BYTES_PER_SECOND
            return deadlines.Deadline(begun.at + extension).earlier(
                self.forwarded.deadline
            )

        return await self.connection.receive_body(
            'read body', self.forwarded.deadline, next_deadline=due
        )

    async def events(self, sequence):
        """Yield lists of whole events, as many as have arrived.

        Bytes that complete no event don't extend the wait for the next one.

        :param event_stream.EventSequence sequence: keeps them in order.
        :raises errors.AnswerTruncated: if the body ends inside an event.
        """
        splitter = event_stream.Splitter(self.connection.peer)
        due = self.forwarded.next_event_deadline()
        pieces = self.connection.receive_chunks('read events', lambda: due)
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                self.on_data()
                whole = splitter.feed(piece)
                new_events = sequence.filter_new(whole, self.connection.peer)
                ready, failure = collect_until_error(new_events)
                if ready:
                    yield ready
                    due = self.forwarded.next_event_deadline()
                if failure is not None:
                    raise failure
        if splitter.buffer:
            raise errors.AnswerTruncated(
                'stream ended inside an event',
                step='read events',
                peer=self.connection.peer,
                sent=True,
            )


def collect_until_error(events):
    """Return the events before a failure, and the failure or None."""
    ready = []
    try:
        for event in events:
            ready.append(event)
    except errors.AnswerInvalid as error:
        return ready, error
    return ready, None


class Forwarder:
    """Sends requests to endpoints over pooled connections.

    :param connections: :class:`pool.EndpointPool`.
    :param translator: has ``request_header_lines(forwarded, runner)``, which
        returns the header lines of the request, and ``read_answer(head)``,
        which returns :class:`ingress.AnswerFacts`.
    :param outcomes: :class:`outcomes.Outcomes`.
    :param table: :class:`runners.RunnerTable`.
    """

    def __init__(self, connections, translator, outcomes, table):
        self.table = table
        self.connections = connections
        self.translator = translator
        self.outcomes = outcomes
        self.exchanges = {}

    async def abort_repeatable(self, runner):
        """End the exchanges with a lost endpoint that may be repeated.

        The others wait until their deadline, because the endpoint may come
        back with the only answer that they can get.

        :returns: the number of exchanges.
        """
        broken = [
            connection
            for connection, (runner_id, may_repeat) in self.exchanges.items()
            if runner_id == runner.id and may_repeat
        ]
        for connection in broken:
            await connection.shut_down()
        return len(broken)

    @contextlib.asynccontextmanager
    async def dispatch(self, forwarded, runner):
        """Send a request and yield the :class:`Answer`.

        Leaving the block before the body is read ends the run, because the
        connection is closed.

        :raises errors.EndpointLeft: if the endpoint has left since it was
            chosen.
        :raises errors.EndpointRefused: if it certainly did not run.
        :raises errors.EndpointFailure: with ``sent`` telling whether it may
            have run.
        """
        self.outcomes.started(runner.id)
        started = time.monotonic()
        connection = None
        try:
            async with self.connections.lease(
                runner, forwarded.head_deadline, forwarded.new_connection
            ) as connection:
                self.exchanges[connection] = (
                    runner.id,
                    not forwarded.new_connection,
                )
                self.check_present(runner)
                await self.send(connection, forwarded, runner)
                head = await connection.receive_response(
                    forwarded.head_deadline
                )
                self.outcomes.heard(runner.id)
                facts = self.translator.read_answer(head)
                check_head(forwarded, runner, head, facts)
                seconds = time.monotonic() - started
                on_data = functools.partial(self.outcomes.heard, runner.id)
                yield Answer(
                    connection, forwarded, head, facts, seconds, on_data
                )
                connection.usable_until = reuse_deadline(facts)
        finally:
            if connection is not None:
                del self.exchanges[connection]
            self.outcomes.finished(runner.id)

    def check_present(self, runner):
        """Raise an error if the endpoint has left while it was reached."""
        if not self.table.accepts(runner):
            raise errors.EndpointLeft(
                'endpoint left before the request was sent',
                step='send request',
                peer=runner.address,
            )

    async def send(self, connection, forwarded, runner):
        """Write the whole request."""
        lines = self.translator.request_header_lines(forwarded, runner)
        events = [
            h11.Request(
                method=forwarded.head.method,
                target=forwarded.head.target,
                headers=lines,
            )
        ]
        if forwarded.body:
            events.append(h11.Data(data=forwarded.body))
        events.append(h11.EndOfMessage())
        await connection.send('send request', *events)


def reuse_deadline(facts):
    """Return until when an idle connection may be used again."""
    seconds = facts.idle_seconds
    if seconds is None:
        seconds = DEFAULT_IDLE_SECONDS
    return deadlines.Deadline.after(max(0.0, seconds - IDLE_RESERVE_SECONDS))


def check_head(forwarded, runner, head, facts):
    """Raise the error that the head of an answer stands for.

    :raises errors.EndpointRefused: if the endpoint did not run it.
    :raises errors.AnswerMismatch: if it answers another request.
    :raises errors.AnswerInvalid: if it is not the endpoint's own answer.
    """
    if facts.request_id and facts.request_id != forwarded.request_id:
        raise errors.AnswerMismatch(
            f'answer to request {facts.request_id[:32]}',
            step='read response',
            peer=runner.address,
            sent=True,
        )
    if facts.not_run or facts.other_endpoint:
        raise errors.EndpointRefused(
            f'endpoint answered {head.status} and did not run the request',
            step='read response',
            peer=runner.address,
        )
    if not facts.sealed or facts.encoded:
        raise errors.AnswerInvalid(
            f'answer {head.status} is not signed by the endpoint',
            step='read response',
            peer=runner.address,
            sent=True,
        )


def is_server_error(head):
    """Return whether the endpoint itself failed the request."""
    return head.status >= 500


def is_stream(route):
    """Return whether the answers of a route are event streams."""
    return route.kind is ingress.Kind.STREAM
