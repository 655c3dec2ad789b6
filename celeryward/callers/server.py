"""Server of the callers' HTTP API, with one task for each connection."""

import contextlib

import curio
import h11

from celeryward import body_memory
from celeryward.callers import cut_offs
from celeryward.callers import protocol
from celeryward.callers import request_reader
from celeryward.callers import responses
from celeryward import calls
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import listener
from celeryward import logs

CONNECTION_ERRORS = (http.Disconnected, http.ReadTimeout)
EVENT_STREAM = 'text/event-stream'
STOP_POLL_SECONDS = 0.05
# Errors of requests that any client can send, without a key or a model.
REFUSALS = (
    errors.BadInput,
    errors.RequestMemoryExhausted,
    errors.Unauthenticated,
    errors.UnknownTarget,
)


class Responder:
    """Writes the response to one request.

    ``progress`` is what has been done for the request, and ``writing`` tells
    whether a write has not ended.

    :param Connection connection: the connection of the caller.
    :param str request_id: sent in each response.
    :param closes_connection: function that returns whether a response
        announces that its connection closes.
    :param stopping.RequestStart start: when the request began.
    """

    def __init__(
        self,
        connection,
        request_id,
        closes_connection=lambda: False,
        start=None,
    ):
        self.connection = connection
        self.request_id = request_id
        self.closes_connection = closes_connection
        self.start = start
        self.progress = calls.Progress()
        self.started = False
        self.finished = False
        self.writing = False

    async def start_stream(self, headers):
        """Send the head of a streamed response."""
        head = {
            'content-type': EVENT_STREAM,
            'transfer-encoding': 'chunked',
            'x-request-id': self.request_id,
            'x-execution': errors.Execution.RAN.value,
            **headers,
        }
        await self.write(self.begin_response(200, head))

    def begin_response(self, status, headers):
        """Return the head of the response, which is sent next.

        :raises errors.OutcomeUnknown: if it can't be written.
        """
        if self.closes_connection():
            headers = {**headers, 'connection': 'close'}
        head = responses.make_head(
            status, http.encode_headers(headers), self.connection.peer
        )
        self.started = True
        return head

    async def send(self, payload):
        """Send a piece of a streamed response."""
        await self.write(h11.Data(data=payload))

    async def finish_stream(self, payload):
        """Send the last piece of a streamed response."""
        self.finished = True
        await self.write(h11.Data(data=payload), h11.EndOfMessage())

    async def send_response(self, status, headers, body):
        """Send a response that is not streamed."""
        head = {
            'content-length': str(len(body)),
            'x-request-id': self.request_id,
            'x-execution': errors.Execution.RAN.value,
            **headers,
        }
        response = self.begin_response(status, head)
        self.finished = True
        await self.write(
            response,
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def send_error(self, error):
        """Send an error, as a response or as the last event of a stream."""
        if self.finished or self.writing:
            # A write that was cancelled may have sent a part of its bytes.
            return
        if self.started:
            event = protocol.encode_error_event(error, self.request_id)
            await self.finish_stream(event)
            return
        body = protocol.encode_error(error, self.request_id)
        headers = protocol.error_headers(error, self.request_id)
        await self.send_response(protocol.status_of(error), headers, body)

    async def write(self, *events):
        """Write h11 events.

        :raises errors.CallerDisconnected: if the caller closed the connection.
        """
        self.writing = True
        await responses.write(self.connection, *events)
        self.writing = False


class CallerServer:
    """Serves the callers' HTTP API.

    ``active`` contains the responder of each request in progress, and
    ``tasks`` the task of each open connection.

    :param request_handler: :class:`request_handler.RequestHandler`.
    :param settings.Timings timings: the timeouts.
    :param new_id: function that returns a new request id.
    :param stopping.StopState stop: the planned stop of this daemon.
    """

    def __init__(self, request_handler, timings, new_id, stop):
        self.request_handler = request_handler
        self.timings = timings
        self.new_id = new_id
        self.stop = stop
        self.refusal_lines = logs.LineBudget(logs.REFUSAL_LINES_PER_SECOND)
        self.active = set()
        self.tasks = {}
        self.stopping = False

    def is_stopping(self):
        """Return whether responses announce that their connection closes."""
        return self.stopping

    async def end_connections(self, deadline):
        """Answer the requests that arrive, and end all connections.

        Those that are still open at the deadline are left.
        """
        self.stopping = True
        close_at = deadlines.BootDeadline.after(listener.LAST_REQUESTS_SECONDS)
        while self.tasks and not deadline.expired():
            if close_at.expired():
                busy = {responder.connection for responder in self.active}
                await listener.end_idle(self.tasks, busy)
            await curio.sleep(STOP_POLL_SECONDS)

    async def cut_off_active(self):
        """End all requests; each connection's task answers its caller.

        :returns: the number of these requests.
        """
        connections = {responder.connection for responder in self.active}
        await cut_offs.cancel(map(self.tasks.get, connections))
        return len(connections)

    async def answer_cut_off(self, responder):
        """Send the error of a request that a stop cuts off.

        Nothing works on the request any more.
        """
        if responder.finished:
            return
        dispatches = responder.progress.dispatches
        error = cut_offs.make_error(dispatches > 0, responder.connection.peer)
        cut_offs.log(
            error,
            responder.start,
            request_id=responder.request_id,
            dispatches=dispatches,
            answer_begun=responder.started,
        )
        with contextlib.suppress(errors.CallerDisconnected, h11.ProtocolError):
            await cut_offs.answer(responder.send_error, error)

    async def handle(self, connection):
        """Serve one connection to its end, in the task that calls this."""

        async def handle_request(head):
            await self.handle_request(connection, head)

        self.tasks[connection] = await curio.current_task()
        try:
            await listener.serve_connection(
                connection, handle_request, self.timings.idle_timeout
            )
        except CONNECTION_ERRORS + (errors.CallerDisconnected,):
            return
        except errors.ProtocolError as error:
            await self.reject(connection, error)
        finally:
            del self.tasks[connection]

    async def reject(self, connection, error):
        """Send an error for malformed HTTP, if that is still possible."""
        bad_input = errors.BadInput(
            error.message, step=error.step, peer=error.peer
        )
        responder = Responder(connection, self.new_id())
        if connection.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            try:
                await responder.send_error(bad_input)
            except errors.CallerDisconnected:
                return

    async def handle_request(self, connection, head):
        """Serve one request, or send an error if that fails."""
        request_id = head.headers.get('x-request-id', '')[:128].strip()
        request_id = request_id or self.new_id()
        responder = Responder(
            connection,
            request_id,
            self.is_stopping,
            self.stop.request_start(),
        )
        self.active.add(responder)
        memory = body_memory.REQUESTS.hold(connection.stop_reading)
        try:
            with memory as hold:
                await self.route_request(connection, head, responder, hold)
        except errors.CallerDisconnected:
            raise
        except curio.TaskCancelled:
            await self.answer_cut_off(responder)
            raise
        except errors.CelerywardError as error:
            self.log_failure(error, request_id)
            errors.drop_tracebacks(error)
            await responder.send_error(error)
        except Exception:
            # The caller must get a response even after an internal error.
            logs.bind(request_id=request_id, peer=connection.peer).exception(
                'request failed with an internal error'
            )
            await responder.send_error(
                errors.CelerywardError(
                    'internal error', step='serve', peer=connection.peer
                )
            )
        finally:
            self.active.discard(responder)
        if connection.h11.their_state is h11.SEND_BODY:
            # The response was sent before the whole body was read.
            await connection.close()

    def log_failure(self, error, request_id):
        """Log a request that is refused or fails."""
        is_refusal = isinstance(error, REFUSALS)
        if is_refusal and not self.refusal_lines.allows_line():
            return
        logs.bind_error(error, request_id=request_id).info(
            'request failed: {} {}', error.code, error.message
        )

    async def route_request(self, connection, head, responder, hold):
        """Read the body and call the handler for the path.

        :param body_memory.Hold hold: counts the body of the request.
        :raises errors.UnknownTarget: if there is no handler for the path.
        :raises errors.RequestMemoryExhausted: if the body was given up.
        """
        deadline = protocol.decode_deadline(
            head.headers, self.timings.request_timeout, connection.peer
        )
        try:
            body = await connection.receive_body(
                'read request', deadline, hold=hold
            )
        except errors.BodyMemoryExhausted as error:
            raise request_reader.memory_refusal(error) from error
        if head.path == protocol.CHAT_PATH:
            if head.method != 'POST':
                raise errors.BadInput(
                    f'{head.path} takes POST only',
                    step='route',
                    peer=connection.peer,
                )
            await self.request_handler.serve_chat(
                head, body, deadline, responder
            )
        elif head.path.startswith(protocol.SERVICE_PREFIX):
            await self.request_handler.serve_service(
                head, body, deadline, responder
            )
        else:
            raise errors.UnknownTarget(
                f'no such path: {head.path[:80]}',
                step='route',
                peer=connection.peer,
            )
