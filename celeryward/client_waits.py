"""Tells which connections are worth less than a new one.

A connection waits for its client if it has no request, if the rest of one is
missing, or if the client leaves responses unread. Where a listener is full,
such a connection is closed for a new one, unless its client makes progress.
Answers clients that hold every place of a listener. Calls the kernel only for
what it knows of a socket.
"""

import dataclasses
import enum

from celeryward import awake_clock
from celeryward import registry
from celeryward import sockets

# A slower sender of a request, or reader of a response, gives its place to a
# new connection.
MIN_BYTES_PER_SECOND = 8192
# Time that each request has to arrive.
REQUEST_SECONDS = 1.0
# A client that sends further requests and takes nothing of a response for this
# long gives its place to a new connection.
PIPELINED_STALL_SECONDS = 1.0
# Input that waits behind a request, from which on its client sends requests
# without regard to the responses.
AHEAD_BYTES = 4096
# Time that such a client keeps its place at least.
AHEAD_SECONDS = 0.1
# A sound client may stand still for this long within a response.
RESPONSE_STALL_SECONDS = sockets.USER_TIMEOUT_MILLISECONDS / 1000


class Wait(enum.Enum):
    """What a connection waits for."""

    REQUEST = 'a request'
    REST = 'the rest of a request'
    ROOM = 'room for responses to further requests'
    READER = 'room for the rest of a response'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientWait:
    """That a connection waits for its client.

    :param Wait kind: what it waits for.
    :param float since: monotonic seconds.
    :param float awake_since: the same on the clock without pauses of this
        process.
    :param int bytes_read: bytes that had been read from it by then.
    """

    kind: Wait
    since: float
    awake_since: float
    bytes_read: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """Bytes that a client had no room for.

    :param float since: since when there are no fewer, on the clock without
        pauses of this process.
    """

    size: int
    since: float


# Functions of a connection that return why it may be closed for a new one, or
# an empty text.
REASONS = registry.Registry('wait for a client')


def close_reason(connection):
    """Return why a connection may be closed for a new one.

    :param connection: :class:`paced_input.PacedInput`.
    :returns: an empty text if it serves a request, if its client may still go
        on, or if more has arrived than was read.
    """
    wait = connection.client_wait
    return REASONS.get(wait.kind)(connection) if wait else ''


@REASONS.register(Wait.REQUEST)
def idle_reason(connection):
    """Return 'idle', or 'unread' for a client that leaves a response."""
    if connection.h11.trailing_data[0] or sockets.has_bytes(connection.sock):
        return ''
    if not sockets.count_unsent(connection.sock):
        return 'idle'
    return unread_reason(connection, RESPONSE_STALL_SECONDS)


@REASONS.register(Wait.REST)
def slow_request_reason(connection):
    """Return 'slow' if a request arrives too slowly.

    Else 'ahead' is returned if many further ones wait behind it.
    """
    unread = sockets.query_unread(connection.sock)
    if unread:
        is_ahead = connection.ahead_since is not None
        return 'ahead' if is_ahead and unread >= AHEAD_BYTES else ''
    wait = connection.client_wait
    seconds = awake_clock.CLOCK() - wait.awake_since
    received = connection.bytes_read - wait.bytes_read
    if seconds < REQUEST_SECONDS:
        return ''
    return 'slow' if received < MIN_BYTES_PER_SECOND * seconds else ''


@REASONS.register(Wait.ROOM)
def pipelined_reason(connection):
    """Return 'unread' for a client that sends on and reads nothing."""
    return unread_reason(connection, PIPELINED_STALL_SECONDS)


@REASONS.register(Wait.READER)
def stalled_response_reason(connection):
    """Return 'unread' for a client that has stopped to read a response."""
    return unread_reason(connection, RESPONSE_STALL_SECONDS)


def unread_reason(connection, stall_seconds):
    """Return 'unread' once a client has taken nothing for some time."""
    if not sockets.count_unsent(connection.sock):
        return ''
    stalled = awake_clock.CLOCK() - observe_unsent(connection).since
    return 'unread' if stalled >= stall_seconds else ''


def observe_unsent(connection):
    """Return the :class:`Unsent` of a connection, and remember it."""
    size = sockets.count_unreceived(connection.sock)
    before = connection.unsent
    if before is None or size < before.size:
        connection.unsent = Unsent(size, awake_clock.CLOCK())
    return connection.unsent
