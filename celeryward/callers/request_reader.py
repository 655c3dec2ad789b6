"""Reads whole requests of callers, within the limits in force."""

import dataclasses

import h11

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import ingress

# Time in which a request body must be complete.
BODY_READ_SECONDS = 10.0
# Retry delay of a request whose body was given up for lack of memory.
MEMORY_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request of a caller."""

    head: http.Request
    body: bytes


class RequestReader:
    """Reads requests and rejects those that exceed a limit.

    :param configuration: :class:`ingress.ConfigurationHolder`, which has
        the limits.
    """

    def __init__(self, configuration):
        self.configuration = configuration

    def limits(self):
        """Return the :class:`ingress.CallerLimits` in force."""
        current = self.configuration.current
        return current.limits if current else ingress.CallerLimits()

    async def read(self, connection, hold=None):
        """Return the next request, or None if the connection was closed.

        :param body_memory.Hold hold: counts the body for as long as it is
            kept.
        :raises errors.Overloaded: if the bodies of all callers are too large
            together.
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
        body = await self.read_body(connection, head, limits, hold)
        return ReceivedRequest(head, body)

    async def read_body(self, connection, head, limits, hold=None):
        """Return the body of a request.

        :param body_memory.Hold hold: as for :meth:`read`.
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
                'read request', deadline, limits.body_bytes, hold=hold
            )
        except http.ReadTimeout as error:
            raise errors.RequestReadTimeout(
                'request body was not complete in time',
                step=error.step,
                peer=error.peer,
            ) from error
        except errors.BodyMemoryExhausted as error:
            raise memory_refusal(error) from error
        except errors.BadInput as error:
            raise body_too_large(limits.body_bytes, connection.peer) from error
        except errors.ProtocolError as error:
            raise errors.BadInput(
                error.message, step=error.step, peer=error.peer
            ) from error


def memory_refusal(error):
    """Return the refusal of a request whose body was given up.

    :param errors.BodyMemoryExhausted error: says which one.
    """
    return errors.RequestMemoryExhausted(
        error.message,
        step=error.step,
        peer=error.peer,
        retry_at=deadlines.Deadline.after(MEMORY_RETRY_SECONDS),
    )


def check_head(head, limits, peer):
    """Reject a head that is too large or ambiguous.

    A head that this router and an endpoint could interpret differently would
    allow request smuggling.

    :raises errors.HeadTooLarge: if it exceeds the limit.
    :raises errors.BadInput: if it has both Content-Length and
        Transfer-Encoding, or more than one Host, or asks for a tunnel.
    """
    if head.method == 'CONNECT':
        raise errors.BadInput(
            'a router opens no tunnels', step='read request', peer=peer
        )
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
