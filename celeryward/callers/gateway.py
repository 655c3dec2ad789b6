"""Connections of callers whose requests are forwarded unchanged.

One task serves each connection.
"""

import dataclasses
import time

import curio
import h11

from celeryward.callers import idle_timeout
from celeryward.callers import responses
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import ingress
from celeryward import listener
from celeryward import logs
from celeryward import stopping

# Time in which a request body must be complete.
BODY_READ_SECONDS = 10.0
# Retry delay that a stopping router sends: other routers take new connections.
STOPPING_RETRY_SECONDS = 0.1
CONNECTION_ERRORS = (http.Disconnected, http.ReadTimeout)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request of a caller."""

    head: http.Request
    body: bytes


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
        self.configuration = configuration
        self.idle_timeout = idle_timeout.IdleTimeout(configuration)
        self.metrics = metrics
        self.stop = stop or stopping.StopState()
        self.draining = False
        self.refusing = False
        self.active = {}
        self.starts = {}
        self.tasks = {}

    def limits(self):
        """Return the :class:`ingress.CallerLimits` in force."""
        current = self.configuration.current
        return current.limits if current else ingress.CallerLimits()

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
        try:
            received = await self.read_request(connection)
        except errors.CelerywardError as error:
            if isinstance(error, CONNECTION_ERRORS):
                raise
            logs.bind_error(error).info(
                'request rejected: {} {}', error.code, error.message
            )
            await self.reject(connection, error)
            return False
        if received is None:
            return False
        responder = responses.Responder(
            connection, received.head.method, self.is_draining
        )
        self.active[connection] = responder
        self.starts[connection] = self.stop.request_start()
        try:
            await self.serve_while_connected(connection, received, responder)
        finally:
            del self.starts[connection]
        return responder.finished and not responder.announced_close

    async def reject(self, connection, error):
        """Send an error if the state of the connection still allows it."""
        if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await responses.Responder(connection).send_error(error)

    async def read_request(self, connection):
        """Return the next request, or None if the connection was closed.

        :raises errors.BadInput: if it exceeds a limit or is malformed.
        :raises errors.RequestReadTimeout: if it is not complete in time.
        """
        limits = self.limits()
        deadline = deadlines.Deadline.after(limits.head_seconds)
        try:
            head = await connection.receive_request(deadline)
        except http.ReadTimeout as error:
            raise errors.RequestReadTimeout(
                'request head was not complete in time',
                step=error.step,
                peer=error.peer,
            ) from error
        except errors.ProtocolError as error:
            raise head_error(error) from error
        if head is None:
            return None
        check_head(head, limits, connection.peer)
        body = await self.read_body(connection, head, limits)
        return ReceivedRequest(head, body)

    async def read_body(self, connection, head, limits):
        """Return the body of a request.

        :raises errors.BodyTooLarge: if it exceeds the limit.
        :raises errors.BadInput: if it is malformed.
        :raises errors.RequestReadTimeout: if it is not complete in time.
        """
        declared = head.headers.get('content-length', '0')
        if declared.isdigit() and int(declared) > limits.body_bytes:
            raise body_too_large(limits.body_bytes, connection.peer)
        if connection.h11.they_are_waiting_for_100_continue:
            await connection.send(
                'send continue',
                h11.InformationalResponse(status_code=100, headers=[]),
            )
        deadline = deadlines.Deadline.after(BODY_READ_SECONDS)
        try:
            return await connection.receive_body(
                'read request', deadline, limits.body_bytes
            )
        except http.ReadTimeout as error:
            raise errors.RequestReadTimeout(
                'request body was not complete in time',
                step=error.step,
                peer=error.peer,
            ) from error
        except errors.BadInput as error:
            raise body_too_large(limits.body_bytes, connection.peer) from error
        except errors.ProtocolError as error:
            raise errors.BadInput(
                error.message, step=error.step, peer=error.peer
            ) from error

    async def serve_while_connected(self, connection, received, responder):
        """Serve a request; cancel it if the caller closes the connection."""
        started = time.monotonic()
        group = curio.TaskGroup(wait=any)
        async with group:
            serving = await group.spawn(self.serve, received, responder)
            await group.spawn(connection.wait_closed)
        responder.caller_left = group.completed is not serving
        self.record_end(responder, started)

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
        logs.bind_error(
            error,
            request_id=responder.request_id,
            route=responder.route,
            status=responder.status or responses.status_of(error),
            execution=error.execution.value,
            **self.relay.admission.log_fields(),
        ).info('request failed: {} {}', error.code, error.message)

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

    def refuse_new(self):
        """Refuse requests from now on: too little time is left for them."""
        self.refusing = True

    def check_accepting(self, responder):
        """Check that a request that was read may begin.

        :raises errors.ShuttingDown: if the router will stop too soon.
        """
        if self.refusing:
            raise errors.ShuttingDown(
                'router is stopping',
                step='admit',
                peer=responder.connection.peer,
                retry_at=deadlines.Deadline.after(STOPPING_RETRY_SECONDS),
            )

    async def fail_active(self):
        """Send an error for each request that can't be finished.

        A request that may have run is not reported as not run.
        """
        for connection, responder in tuple(self.active.items()):
            if responder is None:
                continue
            self.log_cut_off(responder, self.starts[connection])
            error = errors.OutcomeUnknown(
                'router stopped before the answer was complete',
                step='stop',
                peer=responder.connection.peer,
            )
            self.log_failure(responder, error)
            await self.send_error_if_connected(responder, error)

    def log_cut_off(self, responder, start):
        """Log a request that a stop cuts off, and what it had of the stop.

        :param stopping.RequestStart start: when it began.
        """
        relayed = getattr(responder, 'relayed', None)
        logs.bind(
            request_id=responder.request_id,
            step='stop',
            peer=responder.connection.peer,
            route=responder.route,
            dispatches=relayed.dispatches if relayed else None,
            answer_begun=responder.started,
            **start.log_fields(),
        ).warning('request cut off by the stop')

    async def close_idle(self):
        """End the tasks of connections without a request."""
        await listener.end_idle(self.tasks, self.active)


def check_head(head, limits, peer):
    """Reject a head that is too large or ambiguous.

    A head that this router and an endpoint could interpret differently would
    allow request smuggling.

    :raises errors.HeadTooLarge: if it exceeds the limit.
    :raises errors.BadInput: if it has both Content-Length and
        Transfer-Encoding, or more than one Host.
    """
    size = sum(len(name) + len(value) + 4 for name, value in head.lines)
    if size + len(head.target) > limits.head_bytes:
        raise errors.HeadTooLarge(
            f'request head is larger than {limits.head_bytes} bytes',
            step='read request',
            peer=peer,
        )
    names = [name.lower() for name, _ in head.lines]
    ambiguous = (
        b'transfer-encoding' in names and b'content-length' in names
    ) or names.count(b'host') > 1
    if ambiguous:
        raise errors.BadInput(
            'request has Content-Length and Transfer-Encoding, or more than'
            ' one Host',
            step='read request',
            peer=peer,
        )


def head_error(error):
    """Return the error for a head that h11 rejects."""
    cause = error.__cause__
    too_long = getattr(cause, 'error_status_hint', 400) == 431
    kind = errors.HeadTooLarge if too_long else errors.BadInput
    return kind(error.message, step=error.step, peer=error.peer)


def body_too_large(limit, peer):
    """Return the error for a body above the limit."""
    return errors.BodyTooLarge(
        f'request body is larger than {limit} bytes',
        step='read request',
        peer=peer,
    )
