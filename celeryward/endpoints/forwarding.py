"""Forwards a request to one endpoint without changing it."""

from collections import abc
import contextlib
import dataclasses
import functools

import h11

from celeryward import awake_clock
from celeryward import deadlines
from celeryward.endpoints import answer_heads
from celeryward.endpoints import answer_origin
from celeryward.endpoints import answers
from celeryward.endpoints import notices
from celeryward.endpoints import waits
from celeryward import errors
from celeryward import http
from celeryward import ingress

# An idle connection is not reused in the last part of its idle time, because
# the endpoint may close it while the next request is being sent.
IDLE_RESERVE_SECONDS = 1.0
DEFAULT_IDLE_SECONDS = 4.0


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
    :param bool must_not_repeat: whether the request must not run twice; it is
        sent on a new connection.
    :param on_late: as for :class:`waits.Wait`.
    :param crash_watch.WatchedRun watched: None if the run isn't watched.
    :param warm_up_states.Slot slot: slot at a cold endpoint, None for none.
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
    must_not_repeat: bool = False
    on_late: abc.Callable = waits.ignore_late
    watched: object = None
    slot: object = None

    def next_event_deadline(self):
        """Return the deadline of the next event, counted from now."""
        wait = deadlines.Deadline.after(self.pause_seconds)
        return wait.earlier(self.deadline)

    def delayed(self, seconds):
        """Return the request as it is if it was sent some seconds later."""
        if not seconds:
            return self
        late = deadlines.Deadline(self.head_deadline.at + seconds)
        return dataclasses.replace(
            self, head_deadline=late.earlier(self.deadline)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request that was sent to an endpoint and its answer.

    :param bool retryable: whether the request may run again elsewhere.
    :param http.Connection connection: carries only this exchange.
    :param waits.Wait wait: the wait for the next part of the answer.
    :param crash_watch.WatchedRun watched: None if the run isn't watched.
    """

    runner_id: str
    retryable: bool
    connection: http.Connection
    wait: waits.Wait
    watched: object = None


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
        # Software versions that name the request in their refusals.
        self.naming_software = set()

    async def hedge_exchanges(self, runner):
        """Let other endpoints run the requests at an unreachable endpoint.

        Its own exchanges stay, since it may still go on.
        """
        for exchange in self.exchanges_with(runner):
            if self.is_under_way(exchange):
                await exchange.wait.report_loss()

    async def abort_silent(self, runner, seconds):
        """Abort the retryable exchanges with an unreachable endpoint.

        Those are aborted that have waited for a part of their answer for some
        seconds. The ones that are not retryable wait until their deadline:
        they must not be sent again, so that only this endpoint can still send
        their response.

        :returns: the number of aborted exchanges.
        """
        return await self.abort(
            exchange
            for exchange in self.exchanges_with(runner)
            if self.is_silent(exchange, seconds)
        )

    def is_silent(self, exchange, seconds):
        """Return whether a retryable exchange has waited for some seconds.

        It hasn't if its answer has arrived and was not read yet.
        """
        return (
            self.is_under_way(exchange)
            and exchange.retryable
            and exchange.wait.seconds() >= seconds
            and not exchange.connection.has_input()
        )

    async def abort_harmful(self, is_refused):
        """Abort the requests that are refused now and have not begun.

        :param is_refused: function of a service and the traits of a request.
        :returns: the number of aborted exchanges.
        """
        found = [
            exchange
            for exchange in tuple(self.exchanges.values())
            if exchange.watched is not None
            and exchange.watched.is_waiting()
            and is_refused(
                exchange.watched.runner.service,
                exchange.watched.traits().all(),
            )
        ]
        for exchange in found:
            exchange.watched.aborted = True
        return await self.abort(found)

    async def abort(self, exchanges):
        """Abort the exchanges that are still under way; return their number.

        The task of each exchange then ends it.
        """
        count = 0
        for exchange in exchanges:
            if self.is_under_way(exchange):
                await exchange.connection.shut_down()
                count += 1
        return count

    def is_under_way(self, exchange):
        """Return whether an exchange has not ended."""
        return self.exchanges.get(exchange.connection) is exchange

    def exchanges_with(self, runner):
        """Return the exchanges with an endpoint that are under way."""
        return tuple(
            exchange
            for exchange in self.exchanges.values()
            if exchange.runner_id == runner.id
        )

    @contextlib.asynccontextmanager
    async def dispatch(self, forwarded, runner, place):
        """Send a request and yield the :class:`answers.Answer`.

        Leaving the block before the body is read closes the connection, at
        which the endpoint stops the run.

        :param closures.Place place: place at the endpoint; it is given back.
        :raises errors.EndpointLeft: if the endpoint has left since it was
            selected.
        :raises errors.EndpointClosed: if it has closed since then.
        :raises errors.EndpointRefused: if the request certainly did not run.
        :raises errors.EndpointFailure: ``sent`` states whether the request
            may have run.
        """
        self.outcomes.request_started(runner.id)
        waiting = self.queues.begin(runner.id)
        start = self.queues.starts.begin(runner.id, forwarded.urgency)
        started = awake_clock.CLOCK()
        paused_before = awake_clock.CLOCK.paused()
        connection = None
        try:
            await self.notice_reader.notify_listeners(runner)
            async with self.connections.lease(
                runner, forwarded.head_deadline, forwarded.must_not_repeat
            ) as connection:
                answer = await self.receive_answer(
                    connection, forwarded, runner, started, paused_before
                )
                self.queues.end(runner.id, waiting)
                self.queues.starts.end(start, has_started=True)
                yield answer
                connection.usable_until = reuse_deadline(answer.metadata)
                self.notice_reader.estimates.record(
                    runner.service, awake_clock.CLOCK() - started
                )
        finally:
            self.exchanges.pop(connection, None)
            self.queues.end(runner.id, waiting)
            self.queues.starts.end(start)
            self.outcomes.request_finished(runner.id)
            await self.notice_reader.give_back(place)

    async def receive_answer(
        self, connection, forwarded, runner, started, paused_before
    ):
        """Send a request; return its :class:`answers.Answer`, unread.

        :param float started: when the dispatch began, on the clock that
            stands still in pauses of this process.
        :param float paused_before: for how long this process had stood still
            by then.
        """
        wait = self.begin_exchange(connection, forwarded, runner)
        head, metadata = await self.exchange(
            connection, forwarded, runner, wait, paused_before
        )
        return answers.Answer(
            connection,
            forwarded,
            head,
            metadata,
            awake_clock.CLOCK() - started,
            wait,
            functools.partial(self.outcomes.record_activity, runner.id),
        )

    def begin_exchange(self, connection, forwarded, runner):
        """Register an exchange; return the :class:`waits.Wait` of its answer.

        It is registered until :meth:`dispatch` ends.
        """
        wait = waits.Wait(forwarded.on_late, forwarded.deadline)
        self.exchanges[connection] = Exchange(
            runner.id,
            not forwarded.must_not_repeat,
            connection,
            wait,
            forwarded.watched,
        )
        return wait

    async def exchange(
        self, connection, forwarded, runner, wait, paused_before
    ):
        """Send a request; return head and metadata of its answer.

        :param float paused_before: for how long this process had stood still
            when the dispatch began.
        """
        self.check_present(runner, forwarded.slot)
        await self.send(connection, forwarded, runner)
        paused = awake_clock.CLOCK.paused() - paused_before
        head, metadata = await answer_heads.receive_head(
            connection,
            forwarded.delayed(paused),
            self.translator.read_response,
            wait.extend,
            runner.software in self.naming_software,
        )
        wait.begin_next()
        self.outcomes.record_activity(runner.id)
        await self.notice_reader.record(
            forwarded.request_id,
            runner,
            head.status,
            metadata,
            self.outcomes.in_flight[runner.id],
        )
        self.check_head(runner, head, metadata)
        return head, metadata

    def check_present(self, runner, slot):
        """Raise an error if the endpoint must not get the request any more.

        It may have left, closed, been drained or become cold while the request
        was queued or while the connection was being opened.
        """
        if not self.table.may_send(runner):
            raise errors.EndpointLeft(
                'endpoint left or was drained before the request was sent',
                step='send request',
                peer=runner.address,
            )
        if self.closures.is_closed(runner):
            raise notices.closed_error(runner)
        if not self.notice_reader.warm_ups.may_write(runner, slot):
            raise notices.cold_error(runner)

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
        await connection.send(
            'send request', *events, deadline=forwarded.deadline
        )

    def check_head(self, runner, head, metadata):
        """Raise the error that the head of a response indicates.

        :raises errors.EndpointRefused: if the endpoint did not run the
            request.
        :raises errors.AnswerInvalid: if the endpoint itself did not make the
            response, or if its content is encoded.
        """
        if answer_origin.is_refusal(metadata):
            unnamed = ' without an id'
            if metadata.request_id:
                unnamed = ''
                self.naming_software.add(runner.software)
            raise errors.EndpointRefused(
                f'endpoint answered {head.status}{unnamed} and did not run '
                'the request',
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


def reuse_deadline(metadata):
    """Return the deadline for reusing an idle connection."""
    seconds = metadata.keep_alive_seconds
    if seconds is None:
        seconds = DEFAULT_IDLE_SECONDS
    return deadlines.Deadline.after(max(0.0, seconds - IDLE_RESERVE_SECONDS))


def is_server_error(head):
    """Return whether the status is in the class Server Error (5xx)."""
    return head.status >= 500


def is_stream(route):
    """Return whether the responses of a route are event streams."""
    return route.kind is ingress.RouteKind.STREAM
