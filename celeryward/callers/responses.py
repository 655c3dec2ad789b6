"""Responses of a router to its callers."""

import time

import h11

from celeryward import errors
from celeryward import header_lines
from celeryward import http

STATUSES = (
    (errors.HeadTooLarge, 431),
    (errors.BodyTooLarge, 413),
    (errors.RequestReadTimeout, 408),
    (errors.BadInput, 400),
    (errors.Unauthenticated, 401),
    (errors.NotPermitted, 403),
    (errors.UnknownTarget, 404),
    (errors.LimitExceeded, 429),
    (errors.NotRun, 503),
    (errors.AnswerLate, 504),
    (errors.OutcomeUnknown, 502),
)
INTERNAL_STATUS = 500


def status_of(error):
    """Return the HTTP status of an error.

    The first matching class counts, so subclasses come before their bases.
    """
    for kind, status in STATUSES:
        if isinstance(error, kind):
            return status
    return INTERNAL_STATUS


async def write(connection, *events):
    """Write h11 events to the connection of a caller.

    :raises errors.CallerDisconnected: if the caller closed the connection.
    """
    try:
        await connection.send('send answer', *events)
    except http.Disconnected as error:
        raise errors.CallerDisconnected(
            'caller closed the connection', step=error.step, peer=error.peer
        ) from error


def make_head(status, lines, peer):
    """Return the h11 head of a response to a caller.

    It is made before the response counts as started, so that an error can
    take the place of one that can't be written.

    :raises errors.OutcomeUnknown: if it can't be written.
    """
    try:
        return h11.Response(status_code=status, headers=lines)
    except h11.LocalProtocolError as error:
        raise errors.OutcomeUnknown(
            f'answer can not be written: {error}', step='relay', peer=peer
        ) from error


def always():
    """Return True: each response closes its connection."""
    return True


def replace_length(lines, length):
    """Return header lines with the given length of the body.

    An endpoint may state another one in an answer with chunks.
    """
    return [
        *without_length(lines),
        (b'Content-Length', str(length).encode()),
    ]


def without_length(lines):
    """Return header lines without the length of the body."""
    return [
        (name, value)
        for name, value in lines
        if name.lower() != b'content-length'
    ]


class Responder:
    """Writes the response to one request.

    ``started`` tells whether a head was sent, ``finished`` whether the
    response is complete. ``route`` and ``request_id`` are set once they are
    known, for logs and metrics; ``head_at`` is when the head was sent, in
    monotonic seconds, or None. ``caller_left`` tells whether the caller closed
    the connection, ``failure`` is the error that ended the request, or None,
    and ``pieces`` counts the pieces of a streamed answer that were sent.

    ``announced_close`` tells whether the head says that the connection closes.
    ``relayed`` is the :class:`relayed_requests.RelayedRequest`, None until the
    request is admitted.

    :param str method: method of the request.
    :param closes_connection: function that returns, when the head is sent,
        whether it says ``Connection: close``.
    """

    def __init__(self, connection, method='', closes_connection=always):
        self.connection = connection
        self.method = method
        self.closes_connection = closes_connection
        self.announced_close = False
        self.started = False
        self.finished = False
        self.status = 0
        self.head_at = None
        self.route = ''
        self.request_id = '-'
        self.caller_left = False
        self.failure = None
        self.pieces = 0
        self.relayed = None

    async def start_stream(self, head):
        """Send the head of an endpoint's streamed answer.

        The body is sent with chunked transfer coding, without
        Content-Length.
        """
        lines = without_length(header_lines.end_to_end_lines(head.lines))
        lines.append((b'Transfer-Encoding', b'chunked'))
        await self.send_head(head.status, lines)

    async def send_head(self, status, lines, *events):
        """Send a head, together with the given h11 events after it.

        :raises errors.OutcomeUnknown: if it can't be written.
        """
        announced_close = self.closes_connection()
        if announced_close:
            lines = [*lines, (b'Connection', b'close')]
        head = make_head(status, lines, self.connection.peer)
        self.announced_close = announced_close
        self.started = True
        self.head_at = time.monotonic()
        self.status = status
        await self.write(head, *events)

    async def send(self, payload):
        """Send a piece of a streamed answer."""
        await self.write(h11.Data(data=payload))
        self.pieces += 1

    async def finish(self):
        """End a streamed answer."""
        await self.write(h11.EndOfMessage())
        self.finished = True

    async def send_response(self, head, body):
        """Send a complete answer of an endpoint, with the same content.

        A 204 states no length (RFC 9110, section 8.6): a caller that believed
        it would take the next answer for a body.
        """
        lines = header_lines.end_to_end_lines(head.lines)
        if head.status == 204:
            lines = without_length(lines)
        elif body or not http.never_has_body(self.method, head.status):
            lines = replace_length(lines, len(body))
        await self.send_head(
            head.status, lines, h11.Data(data=body), h11.EndOfMessage()
        )
        self.finished = True

    async def send_error(self, error):
        """Send an error response, unless a response has been started.

        A streamed answer that can't be continued ends without its last
        chunk, so that the caller can see that it is incomplete.
        """
        if self.started:
            return
        lines = [(b'Content-Length', b'0')]
        retry_at = getattr(error, 'retry_at', None)
        if retry_at is not None:
            seconds = f'{retry_at.remaining():.2f}'
            lines.append((b'Retry-After', seconds.encode()))
        await self.send_head(status_of(error), lines, h11.EndOfMessage())
        self.finished = True

    async def write(self, *events):
        """Write h11 events.

        :raises errors.CallerDisconnected: if the caller closed the connection.
        """
        await write(self.connection, *events)
