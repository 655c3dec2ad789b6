"""Forwards a request to one endpoint without changing it."""

from collections import abc
import contextlib
import dataclasses
import functools
import time

import h11

from celeryward import deadlines
from celeryward.endpoints import answer_heads
from celeryward.endpoints import event_stream
from celeryward.endpoints import notices
from celeryward.endpoints import waits
from celeryward import errors
from celeryward import http
from celeryward import ingress

# An idle connection is not reused in the last part of its idle time, because
# the endpoint may close it while the next request is being sent.
IDLE_RESERVE_SECONDS = 1.0
DEFAULT_IDLE_SECONDS = 4.0
# A body that takes longer than the time allowed for it has to arrive at this
# rate on average.
MIN_BODY_BYTES_PER_SECOND = 65536.0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request as it is forwarded to one endpoint.

    :param http.Request head: request line and header, as the caller sent
        them.
    :param str request_id: echoed by the endpoint.
    :param str customer: name of the customer; empty on public routes.
    :param str model: model to run; empty to keep the model that the caller
        named.
    :param int urgency: from 0, which the endpoint serves first, to 9.
    :param Deadline deadline: when the response has to be complete.
    :param Deadline head_deadline: from when the head of the response is late.
    :param float pause_seconds: wait after which the next event of a stream is
        late.
    :param float body_seconds: time after its head from which a whole body is
        late.
    :param int after_event: id of the last event that the caller received.
    :param bool new_connection: whether to open a new connection.
    :param on_late: as for :class:`waits.Wait`.
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
    on_late: abc.Callable = waits.never_give_up

    def next_event_deadline(self):
        """Return the deadline of the next event, counted from now."""
        wait = deadlines.Deadline.after(self.pause_seconds)
        return wait.earlier(self.deadline)


class Answer:
    """The response of an endpoint; its body is read on demand.

    :param http.Response head: status line and header.
    :param ingress.ResponseMetadata metadata: what the translator read in the
        head.
    :param float seconds: time from the dispatch to the head.
    :param waits.Wait wait: the wait for the next part of the body.
    :param on_data: function that is called when bytes of the body arrive.
    """

    def __init__(
        self, connection, forwarded, head, metadata, seconds, wait, on_data
    ):
        self.wait = wait
        self.connection = connection
        self.forwarded = forwarded
        self.head = head
        self.metadata = metadata
        self.seconds = seconds
        self.on_data = on_data

    @property
    def is_event_stream(self):
        """Whether status and content type, if any, are those of a stream."""
        return self.head.status == 200 and event_stream.has_stream_type(
            self.head.headers
        )

    async def body(self):
        """Return the whole body.

        Its deadline moves out as bytes arrive at the minimum rate, up to the
        deadline of the request.
        """
        begun = deadlines.Deadline.after(self.forwarded.body_seconds)
        read_before = self.connection.bytes_read

        def due():
            read = self.connection.bytes_read - read_before
            if read:
                self.on_data()
            extension = read / MIN_BODY_BYTES_PER_SECOND
            return deadlines.Deadline(begun.at + extension).earlier(
                self.forwarded.deadline
            )

        return await self.connection.receive_body(
            'read body',
            self.forwarded.deadline,
            next_deadline=due,
            extend=self.wait.extend,
        )

    async def events(self, sequence):
        """Yield lists of complete events, as they arrive.

        Bytes that complete no event don't extend the wait for the next one.

        :param event_stream.EventSequence sequence: checks the order of the
            events and drops those that the caller already has.
        :raises errors.AnswerTruncated: if the body ends inside an event.
        """
        splitter = event_stream.Splitter(self.connection.peer)
        due = self.forwarded.next_event_deadline()
        chunks = self.connection.receive_chunks(
            'read events', lambda: due, extend=self.wait.extend
        )
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                self.on_data()
                complete = splitter.feed(chunk)
                new_events = sequence.filter_new(
                    complete, self.connection.peer
                )
                ready, failure = collect_until_error(new_events)
                if ready:
                    yield ready
                    due = self.forwarded.next_event_deadline()
                    self.wait.begin_next()
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
    """Return the events before an error, and the error or None."""
    ready = []
    try:
        for event in events:
            ready.append(event)
    except errors.AnswerInvalid as error:
        return ready, error
    return ready, None


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request that was sent to an endpoint and its answer.

    :param bool retryable: whether the request may run again elsewhere.
    :param http.Connection connection: carries only this exchange.
    :param waits.Wait wait: the wait for the next part of the answer.
    """

    runner_id: str
    retryable: bool
    connection: http.Connection
    wait: waits.Wait


class Forwarder:
    """Sends requests to endpoints over pooled connections.

    :param connections: :class:`pool.EndpointPool`.
    :param translator: has ``request_header_lines(forwarded, runner)``, which
        returns the header lines of the request, and ``read_response(head)``,
        which returns :class:`ingress.ResponseMetadata`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    :param table: :class:`runners.RunnerTable`.
    :param queues: :class:`queueing.QueueEstimates`.
    :param notice_reader: :class:`notices.NoticeReader`.
    """

    def __init__(
        self, connections, translator, outcomes, table, queues, notice_reader
    ):
        self.table = table
        self.notice_reader = notice_reader
        self.closures = notice_reader.closures
        self.queues = queues
        self.connections = connections
        self.translator = translator
        self.outcomes = outcomes
        self.exchanges = {}

    async def abort_replaceable(self, runner):
        """Abort the exchanges with an endpoint that requests give up.

        :returns: the number of aborted exchanges.
        """
        given_up = [
            exchange
            for exchange in self.exchanges_with(runner)
            if await exchange.wait.is_given_up()
        ]
        return await self.abort(given_up)

    async def abort_retryable(self, runner):
        """Abort the retryable exchanges with an unreachable endpoint.

        The others wait until their deadline: they must not be sent again, so
        that only this endpoint can still send their response.

        :returns: the number of aborted exchanges.
        """
        return await self.abort(
            exchange
            for exchange in self.exchanges_with(runner)
            if exchange.retryable
        )

    async def abort(self, exchanges):
        """Abort the exchanges that are still under way; return their number.

        The task of each exchange then ends it.
        """
        count = 0
        for exchange in exchanges:
            if self.exchanges.get(exchange.connection) is exchange:
                await exchange.connection.shut_down()
                count += 1
        return count

    def exchanges_with(self, runner):
        """Return the exchanges with an endpoint that are under way."""
        return tuple(
            exchange
            for exchange in self.exchanges.values()
            if exchange.runner_id == runner.id
        )

    @contextlib.asynccontextmanager
    async def dispatch(self, forwarded, runner):
        """Send a request and yield the :class:`Answer`.

        Leaving the block before the body is read closes the connection, at
        which the endpoint stops the run.

        :raises errors.EndpointLeft: if the endpoint has left since it was
            selected.
        :raises errors.EndpointClosed: if it has closed since then.
        :raises errors.EndpointRefused: if the request certainly did not run.
        :raises errors.EndpointFailure: ``sent`` states whether the request
            may have run.
        """
        opening = self.notice_reader.begin(runner)
        self.outcomes.request_started(runner.id)
        whole_seconds = None
        waiting = self.queues.begin(runner.id)
        started = time.monotonic()
        connection = None
        try:
            await self.notice_reader.notify_listeners(runner)
            async with self.connections.lease(
                runner, forwarded.head_deadline, forwarded.new_connection
            ) as connection:
                wait = waits.Wait(forwarded.on_late, forwarded.deadline)
                self.exchanges[connection] = Exchange(
                    runner.id, not forwarded.new_connection, connection, wait
                )
                self.check_present(runner)
                sent = notices.SentRequest(
                    forwarded.request_id, connection.bytes_written == 0
                )
                await self.send(connection, forwarded, runner)
                head, metadata = await answer_heads.receive_head(
                    connection,
                    forwarded,
                    self.translator.read_response,
                    wait.extend,
                )
                wait.begin_next()
                self.queues.end(runner.id, waiting)
                self.outcomes.record_activity(runner.id)
                await self.notice_reader.record(
                    sent,
                    runner,
                    head.status,
                    metadata,
                    self.outcomes.in_flight[runner.id],
                )
                check_head(runner, head, metadata)
                seconds = time.monotonic() - started
                on_data = functools.partial(
                    self.outcomes.record_activity, runner.id
                )
                yield Answer(
                    connection,
                    forwarded,
                    head,
                    metadata,
                    seconds,
                    wait,
                    on_data,
                )
                connection.usable_until = reuse_deadline(metadata)
                whole_seconds = time.monotonic() - started
        finally:
            self.exchanges.pop(connection, None)
            self.queues.end(runner.id, waiting)
            self.outcomes.request_finished(runner.id)
            await self.notice_reader.end(runner, opening, whole_seconds)

    def check_present(self, runner):
        """Raise an error if the endpoint must not get the request any more.

        It may have left or closed while the request was queued or while the
        connection was being opened.
        """
        if not self.table.is_available(runner):
            raise errors.EndpointLeft(
                'endpoint left before the request was sent',
                step='send request',
                peer=runner.address,
            )
        if self.closures.is_closed(runner):
            raise notices.closed_error(runner)

    async def send(self, connection, forwarded, runner):
        """Send the whole request."""
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


def reuse_deadline(metadata):
    """Return the deadline for reusing an idle connection."""
    seconds = metadata.keep_alive_seconds
    if seconds is None:
        seconds = DEFAULT_IDLE_SECONDS
    return deadlines.Deadline.after(max(0.0, seconds - IDLE_RESERVE_SECONDS))


def check_head(runner, head, metadata):
    """Raise the error that the head of a response indicates.

    :raises errors.EndpointRefused: if the endpoint did not run the request.
    :raises errors.AnswerInvalid: if the endpoint itself did not make the
        response, or if its content is encoded.
    """
    if metadata.not_run or metadata.misdirected:
        unnamed = '' if metadata.request_id else ' without an id'
        raise errors.EndpointRefused(
            f'endpoint answered {head.status}{unnamed} and did not run the '
            'request',
            step='read response',
            peer=runner.address,
        )
    if not metadata.sealed or metadata.encoded:
        raise errors.AnswerInvalid(
            f'response {head.status} is unsigned or has encoded content',
            step='read response',
            peer=runner.address,
            sent=True,
        )


def is_server_error(head):
    """Return whether the status is in the class Server Error (5xx)."""
    return head.status >= 500


def is_stream(route):
    """Return whether the responses of a route are event streams."""
    return route.kind is ingress.RouteKind.STREAM
