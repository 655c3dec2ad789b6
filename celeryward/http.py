"""HTTP/1.1 client and server connections, with h11 on curio sockets."""

import dataclasses

import h11

from celeryward import bodies
from celeryward import deadlines
from celeryward import errors
from celeryward import paced_input
from celeryward import processor_share
from celeryward import sockets
from celeryward import transport

MAX_HEAD_BYTES = 32768
# Size of a line between the chunks of a body, or after them. Such lines may
# come a byte at a time, of which each costs a read.
MAX_BODY_LINE_BYTES = 4096
# Reads that one head, or the lines between two chunks of a body, may take.
MAX_PIECES = 4096
MAX_BODY_BYTES = bodies.MAX_BODY_BYTES
# Interim (1xx) responses that are skipped before the final response.
MAX_INTERIM_RESPONSES = 16
# Statuses of responses that never have a body.
BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Head of a request.

    :param dict headers: values by lower-case name.
    :param tuple lines: all header lines as received, in order.
    """

    method: str
    target: str
    headers: dict[str, str]
    lines: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def path(self):
        """The request target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Head of a response.

    :param dict headers: values by lower-case name.
    :param tuple lines: all header lines as received, in order.
    """

    status: int
    headers: dict[str, str]
    lines: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def is_framed(self):
        """Whether the end of the body can be told from that of a cut one.

        Without a length or chunks, the end of the connection ends it.
        """
        return (
            'content-length' in self.headers
            or 'transfer-encoding' in self.headers
        )


# The errors of a connection, which users of this module handle.
ReadTimeout = transport.ReadTimeout
Disconnected = transport.Disconnected
# Errors that a request and response on an open connection can raise.
EXCHANGE_ERRORS = (
    Disconnected,
    ReadTimeout,
    errors.ProtocolError,
    errors.BadInput,
)


class Connection(paced_input.PacedInput):
    """One HTTP/1.1 connection, used by one task at a time.

    :param sock: connected curio socket.
    :param role: ``h11.CLIENT`` or ``h11.SERVER``.
    :param str peer: address of the peer, used in errors.
    :param int max_head_bytes: upper bound on the size of a head.
    """

    def __init__(self, sock, role, peer, max_head_bytes=MAX_HEAD_BYTES):
        super().__init__(sock, peer)
        self.h11 = h11.Connection(
            role, max_incomplete_event_size=max_head_bytes
        )
        self.last_read_at = 0.0
        # Until when the peer keeps the idle connection open.
        self.usable_until = deadlines.NEVER
        # Whether it was idle in a pool before the current exchange.
        self.from_pool = False
        # Responses of the current exchange that belong to other requests.
        self.skipped_responses = 0
        # Method of the request that is served or was sent.
        self.request_method = ''
        # Whether the response that is sent has no body.
        self.bodiless = False
        # Whether the end of the connection ends the response that is sent.
        self.ended_by_close = False
        self.meter = processor_share.InputMeter(peer)

    async def receive(self, step, deadline, extend=None):
        """Return the next h11 event.

        :param extend: as for :meth:`read`.
        :raises ReadTimeout: if no byte arrives before the deadline.
        :raises Disconnected: if the connection is reset.
        :raises errors.ProtocolError: if the peer violates HTTP.
        """
        for _ in range(MAX_PIECES + 1):
            self.meter.begin_work()
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                errors.drop_tracebacks(error)
                raise self.input_error(error, step) from error
            await self.meter.take_turn(deadline, extend)
            if event is not h11.NEED_DATA:
                return event
            self.check_body_line(step)
            self.h11.receive_data(await self.read(step, deadline, extend))
            self.check_displaced(step)
        raise errors.ProtocolError(
            f'head or line comes in more than {MAX_PIECES} pieces',
            step=step,
            peer=self.peer,
        )

    def check_body_line(self, step):
        """Check the size of a line in a body whose end is yet to be read.

        :raises errors.ProtocolError: if it is too long.
        """
        if self.h11.their_state is not h11.SEND_BODY:
            return
        data, _ = self.h11.trailing_data
        if len(data) - (data.rfind(b'\n') + 1) > MAX_BODY_LINE_BYTES:
            raise errors.ProtocolError(
                f'line in a body is longer than {MAX_BODY_LINE_BYTES} bytes',
                step=step,
                peer=self.peer,
            )

    def input_error(self, error, step):
        """Return the error for input that h11 rejects.

        An end of file inside a message is a lost connection, not a protocol
        error.
        """
        _, closed = self.h11.trailing_data
        if closed:
            message = 'connection closed inside a message'
            return Disconnected(message, step=step, peer=self.peer)
        return errors.ProtocolError(str(error), step=step, peer=self.peer)

    def encode(self, event):
        """Return the bytes of an h11 event.

        The body of a response that must have none is left out.
        """
        if isinstance(event, h11.Response):
            self.begin_response(event)
        elif isinstance(event, h11.Request):
            self.request_method = event.method.decode('ascii')
        elif isinstance(event, h11.Data) and self.bodiless:
            return b''
        return self.h11.send(event) or b''

    def begin_response(self, response):
        """Prepare for the body of a response.

        Callers of HTTP/1.0 know no chunks, so that the end of the connection
        ends a body without a length. It is reset until the body is complete:
        an orderly end would make a part of it look whole.
        """
        self.bodiless = never_has_body(
            self.request_method, response.status_code
        )
        has_length = any(
            name == b'content-length' for name, _ in response.headers
        )
        if self.h11.their_http_version == b'1.0':
            self.ended_by_close = not (self.bodiless or has_length)
            sockets.reset_on_close(self.sock, self.ended_by_close)

    async def send(self, step, *events, deadline=deadlines.NEVER):
        """Send h11 events in one write.

        :param Deadline deadline: when the peer must have taken all bytes.
        :raises Disconnected: if the connection is closed, if the peer takes
            no bytes, or if an earlier write was not ended.
        """
        self.check_writable(step)
        data = b''.join(map(self.encode, events))
        await self.send_bytes(step, data, deadline)
        if self.ended_by_close and isinstance(events[-1], h11.EndOfMessage):
            sockets.reset_on_close(self.sock, False)

    async def receive_request(self, deadline):
        """Return the next request head, or None if the peer has closed.

        :raises ReadTimeout: if the head is not complete at the deadline.
        """
        event = await self.receive('read request', deadline)
        if isinstance(event, h11.Request):
            self.request_method = event.method.decode('ascii')
            request = Request(
                self.request_method,
                event.target.decode('ascii'),
                decode_headers(event.headers),
                tuple(event.headers.raw_items()),
            )
            self.stated_length = bodies.request_length(request.headers)
            self.end_wait('read request')
            return request
        if isinstance(event, h11.ConnectionClosed):
            return None
        raise errors.ProtocolError(
            f'unexpected {type(event).__name__}',
            step='read request',
            peer=self.peer,
        )

    async def receive_response(self, deadline, extend=None):
        """Return the next response head, skipping interim responses.

        :param extend: as for :meth:`read`.
        :raises errors.ProtocolError: if there are more than
            :data:`MAX_INTERIM_RESPONSES` of them.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            event = await self.receive('read response', deadline, extend)
            if isinstance(event, h11.Response):
                response = Response(
                    event.status_code,
                    decode_headers(event.headers),
                    tuple(event.headers.raw_items()),
                )
                self.prepare_body(response)
                return response
            if isinstance(event, h11.ConnectionClosed):
                raise Disconnected(
                    'connection closed before the response',
                    step='read response',
                    peer=self.peer,
                )
        raise errors.ProtocolError(
            f'more than {MAX_INTERIM_RESPONSES} interim responses',
            step='read response',
            peer=self.peer,
        )

    def prepare_body(self, response):
        """Record how the body of a response that is read ends."""
        self.stated_length = None
        self.ended_by_peer = False
        if not never_has_body(self.request_method, response.status):
            self.stated_length = bodies.stated_length(response.headers)
            self.ended_by_peer = not response.is_framed

    def reusable(self):
        """Return whether the connection can carry another request.

        A client connection with bytes after the response can't: they belong
        to no request. Nor can one with responses to other requests, of which
        more may follow.
        """
        return (
            self.h11.our_state is h11.DONE
            and self.h11.their_state is h11.DONE
            and not self.skipped_responses
            and (
                self.h11.our_role is h11.SERVER or not self.has_trailing_data()
            )
        )

    def has_request(self):
        """Return whether the head of a request was read and not answered."""
        return self.h11.their_state is not h11.IDLE

    def has_unanswered(self):
        """Return whether a request has begun to arrive and has no response."""
        return self.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE) and (
            bool(self.h11.trailing_data[0]) or self.has_request()
        )

    def start_next_cycle(self):
        """Prepare for the next request on this connection."""
        self.h11.start_next_cycle()


def never_has_body(method, status):
    """Return whether a response has no body, whatever length it states."""
    return method == 'HEAD' or status in BODILESS_STATUSES


def decode_headers(headers):
    """Return h11 headers as a dictionary of values by lower-case name."""
    return {
        name.decode('ascii'): value.decode('latin-1')
        for name, value in headers
    }


def encode_headers(headers):
    """Return a dictionary of headers as the list of pairs for h11."""
    return [(name, value.encode('latin-1')) for name, value in headers.items()]


async def connect(host, port, deadline):
    """Open a client connection.

    :raises errors.ConnectionFailed: with ``sent=False``.
    """
    sock = await transport.open_socket(host, port, deadline)
    return Connection(sock, h11.CLIENT, f'{host}:{port}')


async def send_request(
    connection, method, target, headers, body, deadline=deadlines.NEVER
):
    """Send a request with its whole body before a deadline."""
    head = {
        'host': connection.peer,
        'content-length': str(len(body)),
        **headers,
    }
    await connection.send(
        'send request',
        h11.Request(
            method=method, target=target, headers=encode_headers(head)
        ),
        h11.Data(data=body),
        h11.EndOfMessage(),
        deadline=deadline,
    )


async def exchange(connection, method, target, headers, body, deadline):
    """Send a request; return the head and the whole body of the response."""
    await send_request(connection, method, target, headers, body, deadline)
    response = await connection.receive_response(deadline)
    response_body = await connection.receive_body('read body', deadline)
    return response, response_body


def encode_refusal(retry_seconds):
    """Return the bytes of a response that refuses a connection."""
    return (
        'HTTP/1.1 503 Service Unavailable\r\n'
        f'retry-after: {retry_seconds:.2f}\r\n'
        'connection: close\r\ncontent-length: 0\r\n\r\n'
    ).encode('ascii')


async def send_response(connection, status, headers, body):
    """Send a response with its whole body."""
    head = {'content-length': str(len(body)), **headers}
    await connection.send(
        'send response',
        h11.Response(status_code=status, headers=encode_headers(head)),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
