"""Answers of a router to its callers."""

import h11

from celeryward import errors
from celeryward import header_lines
from celeryward import http

STATUSES = (
    (errors.HeadTooLarge, 431),
    (errors.BodyTooLarge, 413),
    (errors.CallerSlow, 408),
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
    """Return the HTTP status of an error."""
    for kind, status in STATUSES:
        if isinstance(error, kind):
            return status
    return INTERNAL_STATUS


async def write(connection, *events):
    """Send h11 events to a caller.

    :raises errors.CallerGone: if the caller closed the connection.
    """
    try:
        await connection.send('send answer', *events)
    except http.Disconnected as error:
        raise errors.CallerGone(
            'caller closed the connection', step=error.step, peer=error.peer
        ) from error


class Responder:
    """Writes the answer to one request.

    :param bool close_connection: whether the connection ends after the answer.
    """

    def __init__(self, connection, close_connection):
        self.connection = connection
        self.close_connection = close_connection
        self.started = False
        self.finished = False
        self.status = 0
        self.route = ''
        self.request_id = '-'

    async def start_stream(self, head):
        """Send the head of an endpoint's streamed answer."""
        lines = [
            (name, value)
            for name, value in header_lines.end_to_end(head.lines)
            if name.lower() != b'content-length'
        ]
        lines.append((b'Transfer-Encoding', b'chunked'))
        await self.send_head(head.status, lines)

    async def send_head(self, status, lines, *events):
        """Send a head, and what follows it at once."""
        if self.close_connection:
            lines.append((b'Connection', b'close'))
        self.started = True
        self.status = status
        await self.write(
            h11.Response(status_code=status, headers=lines), *events
        )

    async def send(self, payload):
        """Send a piece of a streamed answer."""
        await self.write(h11.Data(data=payload))

    async def finish(self):
        """End a streamed answer."""
        await self.write(h11.EndOfMessage())
        self.finished = True

    async def send_whole(self, head, body):
        """Send an endpoint's whole answer unchanged."""
        lines = header_lines.end_to_end(head.lines)
        if not any(name.lower() == b'content-length' for name, _ in lines):
            lines.append((b'Content-Length', str(len(body)).encode()))
        await self.send_head(
            head.status, lines, h11.Data(data=body), h11.EndOfMessage()
        )
        self.finished = True

    async def send_error(self, error):
        """Answer with an error, unless an answer has begun.

        A streamed answer that can't go on ends without its last chunk, so
        that it does not look complete.
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
        """Send h11 events.

        :raises errors.CallerGone: if the caller closed the connection.
        """
        await write(self.connection, *events)
