"""Connections of callers whose requests are forwarded unchanged.

One task serves each connection.
"""

import functools
import time

import curio
import h11

from celeryward import body_memory
from celeryward.callers import cut_offs
from celeryward.callers import idle_timeout
from celeryward.callers import request_reader
from celeryward.callers import responses
from celeryward import completion
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import listener
from celeryward import logs
from celeryward import stopping

CONNECTION_ERRORS = (http.Disconnected, http.ReadTimeout)
# Retry delay of a request that an internal error kept from being read.
UNREAD_RETRY_SECONDS = 1.0


class Gateway:
    """Serves connections of callers.

    ``active`` contains the connections with a request in progress, and their
    :class:`responses.Responder`, or None while the request is read.

    :param relay: :class:`relay.Relay`.
    :param configuration: :class:`ingress.ConfigurationHolder`, which has
        the limits on requests.
    :param metrics: :class:`router_metrics.RouterMetrics`.
    :param stopping.StopState stop: the planned stop of this router.
    """

    def __init__(self, relay, configuration, metrics, stop=None):
        self.relay = relay
        self.reader = request_reader.RequestReader(configuration)
        self.idle_timeout = idle_timeout.IdleTimeout(configuration)
        self.metrics = metrics
        self.stop = stop or stopping.StopState()
        self.draining = False
        self.refusal_lines = logs.LineBudget(logs.REFUSAL_LINES_PER_SECOND)
        self.active = {}
        self.tasks = {}

    async def handle(self, connection):
        """Serve one connection to its end, in the task that calls this."""
        self.tasks[connection] = await curio.current_task()
        try:
            await self.serve_connection(connection)
        except CONNECTION_ERRORS + (errors.CallerDisconnected,) as error:
            logs.bind_error(error).debug('caller left: {}', error.message)
        finally:
            del self.tasks[connection]

    async def serve_connection(self, connection):
        """Serve requests until either side closes the connection."""
        while True:
            await self.wait_for_request(connection)
            self.active[connection] = None
            try:
                if not await self.serve_request(connection):
                    return
            finally:
                self.record_unanswered(self.active.pop(connection))
            if not connection.reusable():
                return
            connection.start_next_cycle()

    async def wait_for_request(self, connection):
        """Wait until a request begins or the caller closes the connection.

        :raises http.ReadTimeout: if the connection is idle for too long.
        """
        idle_since = time.monotonic()

        async def extend():
            deadline = self.idle_timeout.deadline(idle_since)
            return None if deadline.expired() else deadline

        await connection.wait_for_input(
            'await request', self.idle_timeout.deadline(idle_since), extend
        )

    async def serve_request(self, connection):
        """Serve one request; return whether the connection stays open."""
        memory = body_memory.REQUESTS.hold(connection.stop_reading)
        with memory as hold:
            return await self.read_and_serve(connection, hold)

    async def read_and_serve(self, connection, hold):
        """Serve one request; return whether the connection stays open.

        :param body_memory.Hold hold: counts the body of the request.
        """
        received = await self.read(connection, hold)
        if received is None:
            return False
        responder = responses.Responder(
            connection, received.head.method, self.is_draining
        )
        self.active[connection] = responder
        started = time.monotonic()
        start = self.stop.request_start()
        try:
            await self.serve_while_connected(connection, received, responder)
        except curio.TaskCancelled:
            await self.answer_cut_off(responder, start)
            raise
        finally:
            self.record_end(responder, started)
        return responder.finished and not responder.announced_close

    async def read(self, connection, hold):
        """Return the next request, or None if it was refused or there is none.

        :param body_memory.Hold hold: counts the body of the request.
        """
        try:
            return await self.reader.read(connection, hold)
        except curio.TaskCancelled:
            error = cut_offs.make_error(False, connection.peer)
            send = functools.partial(self.reject, connection)
            await cut_offs.answer(send, error)
            raise
        except errors.CelerywardError as error:
            if isinstance(error, CONNECTION_ERRORS):
                raise
            await self.reject(connection, error)
        except Exception:
            logs.bind(step='read request', peer=connection.peer).exception(
                'request not read because of an internal error'
            )
            await self.reject(connection, unread_error(connection))
        return None

    async def reject(self, connection, error):
        """Send an error if the state of the connection still allows it."""
        self.metrics.count_failure('', error.code)
        if self.refusal_lines.allows_line():
            logs.bind_error(error).info(
                'request rejected: {} {}', error.code, error.message
            )
        if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await responses.Responder(connection).send_error(error)

    async def serve_while_connected(self, connection, received, responder):
        """Serve a request; cancel it if the caller closes the connection."""
        group = curio.TaskGroup(wait=any)
        async with group:
            serving = await group.spawn(self.serve, received, responder)
            await group.spawn(watch_caller, connection)
        responder.caller_left = group.completed is not serving

    async def serve(self, received, responder):
        """Relay a request, or send an error if that fails."""
        try:
            self.check_accepting(responder)
            await self.relay.serve(received.head, received.body, responder)
        except errors.CallerDisconnected as error:
            responder.caller_left = True
            logs.bind_error(error).debug('caller left: {}', error.message)
        except errors.CelerywardError as error:
            self.log_failure(responder, error)
            errors.drop_tracebacks(error)
            await self.send_error_if_connected(responder, error)
        except Exception:
            # The caller must get a response even after an internal error.
            logs.bind(step='serve', peer=responder.connection.peer).exception(
                'request failed with an internal error'
            )
            fault = errors.InternalError(
                'internal error', step='serve', peer='-'
            )
            responder.failure = fault
            await self.send_error_if_connected(responder, fault)

    async def send_error_if_connected(self, responder, error):
        """Send an error; do nothing if the caller has disconnected."""
        try:
            await responder.send_error(error)
        except errors.CallerDisconnected as gone:
            responder.caller_left = True
            logs.bind_error(gone).debug('caller left: {}', gone.message)

    def log_failure(self, responder, error):
        """Count and log a request that is refused or fails."""
        responder.failure = error
        self.metrics.count_failure(responder.route, error.code)
        if not self.may_log(responder):
            return
        logs.bind_error(
            error,
            request_id=responder.request_id,
            route=responder.route,
            status=responder.status or responses.status_of(error),
            execution=error.execution.value,
            **self.relay.admission.log_fields(),
        ).info('request failed: {} {}', error.code, error.message)

    def may_log(self, responder):
        """Return whether a line on a request may be written now."""
        return bool(responder.route) or self.refusal_lines.allows_line()

    def record_unanswered(self, responder):
        """Count and log a whole request that got no complete answer.

        Its connection is closed next. A caller that left is logged elsewhere.

        :param responder: None if the request was not read to its end.
        """
        if responder is None or responder.finished or responder.caller_left:
            return
        failure = responder.failure
        cause = failure.code if failure else 'unknown'
        self.metrics.count_unanswered(responder.route, cause)
        logs.bind(
            request_id=responder.request_id,
            step=failure.step if failure else 'serve',
            peer=responder.connection.peer,
            route=responder.route,
            cause=cause,
            reason=failure.message if failure else '',
            status=responder.status,
            pieces=responder.pieces,
            stopping=self.draining,
        ).warning('connection closed without a complete answer')

    def record_end(self, responder, started):
        """Count and log a request that has ended.

        :param float started: when it was received, in monotonic seconds.
        """
        seconds = time.monotonic() - started
        head_at = responder.head_at
        self.metrics.count_request(
            responder.route,
            responder.status,
            responder.caller_left,
            seconds,
        )
        if not self.may_log(responder):
            return
        logs.bind(
            request_id=responder.request_id,
            step='serve',
            peer=responder.connection.peer,
            route=responder.route,
            status=responder.status,
            whole=responder.finished,
            seconds=round(seconds, 3),
            head_seconds=None
            if head_at is None
            else round(head_at - started, 3),
        ).info(
            'caller left before its answer was complete'
            if responder.caller_left
            else 'request ended'
        )

    def is_draining(self):
        """Return whether responses announce that their connection closes."""
        return self.draining

    def begin_drain(self):
        """Close each connection after a response that announces it.

        Requests that arrive are still served. Their responses close the
        connection, so that callers connect to another host. A connection
        whose last response began before stays open until its next one.
        """
        self.draining = True

    def check_accepting(self, responder):
        """Check that a request that was read may begin.

        :raises errors.ShuttingDown: if a stop accepts no more requests.
        """
        if not self.stop.is_accepting():
            raise errors.ShuttingDown(
                'router is stopping',
                step='admit',
                peer=responder.connection.peer,
                retry_at=deadlines.Deadline.after(
                    completion.STOPPING_RETRY_SECONDS
                ),
            )

    async def answer_cut_off(self, responder, start):
        """Send the error of a request that a stop cuts off.

        Nothing works on the request any more.

        :param stopping.RequestStart start: when it began.
        """
        if responder.finished or responder.caller_left:
            return
        dispatches = responder.relayed.dispatches if responder.relayed else 0
        error = cut_offs.make_error(dispatches > 0, responder.connection.peer)
        cut_offs.log(
            error,
            start,
            request_id=responder.request_id,
            route=responder.route,
            dispatches=dispatches,
            answer_begun=responder.started,
        )
        self.log_failure(responder, error)
        send = functools.partial(self.send_error_if_connected, responder)
        await cut_offs.answer(send, error)

    async def cut_off_active(self):
        """End all requests; each connection's task answers its caller.

        :returns: the number of requests that were read as a whole.
        """
        cut_off = sum(each is not None for each in self.active.values())
        await cut_offs.cancel(map(self.tasks.get, self.active))
        return cut_off

    async def close_idle(self):
        """End the tasks of connections without a request."""
        await listener.end_idle(self.tasks, self.active)


async def watch_caller(connection):
    """Return once the caller has closed the connection.

    A watch that fails doesn't end the request: the caller may be there.
    """
    try:
        await connection.wait_closed()
    except Exception:
        logs.bind(step='watch caller', peer=connection.peer).exception(
            'caller is no longer watched'
        )
        await curio.Event().wait()


def unread_error(connection):
    """Return the error for a request that can't be read."""
    return errors.NotRun(
        'request can not be read because of an internal error',
        step='read request',
        peer=connection.peer,
        retry_at=deadlines.Deadline.after(UNREAD_RETRY_SECONDS),
    )
