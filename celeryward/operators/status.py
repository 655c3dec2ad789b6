"""Reads the status of a daemon from its admin port."""

import dataclasses

import curio
import msgspec

from celeryward import deadlines
from celeryward import errors
from celeryward import http

STATUS_SECONDS = 5.0
POLL_SECONDS = 0.2
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


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Revision in force at one daemon.

    :param int revision: -1 if the daemon does not answer.
    """

    admin: str
    name: str
    revision: int
    in_force: bool


async def wait_for_revision(addresses, revision, deadline):
    """Wait until a revision is in force at daemons, or the deadline.

    :param addresses: pairs of host and admin port.
    :returns: list of :class:`Standing`, one for each daemon.
    """
    while True:
        standings = [
            await read_standing(host, port, revision)
            for host, port in addresses
        ]
        done = all(standing.in_force for standing in standings)
        if done or deadline.expired():
            return standings
        await curio.sleep(POLL_SECONDS)


async def read_standing(host, port, revision):
    """Return the :class:`Standing` of one daemon."""
    admin = f'{host}:{port}'
    try:
        body = await read(host, port)
    except errors.PlatformUnavailable:
        return Standing(admin, '', -1, False)
    held = body['revision']
    return Standing(admin, body['name'], held, held >= revision)
