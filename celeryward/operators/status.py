"""Reads the status of a daemon from its admin port."""

import dataclasses

import curio
import msgspec

from celeryward import deadlines
from celeryward import decoding
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
    """Return the status of a daemon as nested dictionaries and lists.

    :raises errors.PlatformUnavailable: if the daemon does not respond.
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
        return decoding.decode_value(body)
    except UNREACHABLE as error:
        raise errors.PlatformUnavailable(
            f'daemon does not respond: {error}',
            step='read status',
            peer=f'{host}:{port}',
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionStatus:
    """Revision in force at one daemon.

    :param str admin: HOST:PORT of the admin port.
    :param str name: name of the daemon, empty if it does not respond.
    :param int revision: revision in force; -1 if the daemon does not
        respond.
    :param bool in_force: whether the awaited revision or a later one is
        in force.
    """

    admin: str
    name: str
    revision: int
    in_force: bool


async def wait_for_revision(addresses, revision, deadline):
    """Wait until all daemons have a revision in force or time is up.

    :param addresses: pairs of host and admin port.
    :returns: list of :class:`RevisionStatus`, one for each daemon.
    """
    while True:
        statuses = [
            await read_revision_status(host, port, revision)
            for host, port in addresses
        ]
        done = all(status.in_force for status in statuses)
        if done or deadline.expired():
            return statuses
        await curio.sleep(POLL_SECONDS)


async def read_revision_status(host, port, revision):
    """Return the :class:`RevisionStatus` of one daemon."""
    admin = f'{host}:{port}'
    try:
        body = await read(host, port)
    except errors.PlatformUnavailable:
        return RevisionStatus(admin, '', -1, False)
    revision_in_force = body['revision']
    return RevisionStatus(
        admin, body['name'], revision_in_force, revision_in_force >= revision
    )
