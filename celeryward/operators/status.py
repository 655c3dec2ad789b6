"""Reads the status of a daemon from its admin port."""

import msgspec

from celeryward import deadlines
from celeryward import errors
from celeryward import http

STATUS_SECONDS = 5.0
UNREACHABLE = (
    errors.EndpointFailure,
    errors.ProtocolError,
    http.Disconnected,
    http.ReadTimeout,
    msgspec.DecodeError,
)


async def read(host, port):
    """Return the status of a daemon as nested builtins.

    :raises errors.PlatformUnavailable: if the daemon does not answer.
    """
    deadline = deadlines.Deadline.after(STATUS_SECONDS)
    try:
        connection = await http.connect(host, port, deadline)
        try:
            _, body = await http.exchange(
                connection, 'GET', '/status', {}, b'', deadline
            )
        finally:
            await connection.close()
        return msgspec.json.decode(body)
    except UNREACHABLE as error:
        raise errors.PlatformUnavailable(
            f'daemon does not answer: {error}',
            step='read status',
            peer=f'{host}:{port}',
        ) from error
