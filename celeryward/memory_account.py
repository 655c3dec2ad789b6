"""Divides the memory of a host among what clients make a process hold.

Bodies of requests, bodies of answers, answers whose clients are slow to read,
and large receive buffers each have a part, so that clients which fill one
leave the others their room; `connection_limits` has the part of connections.
Answers clients that send more than is read, or read less than is sent. Needs
no network.
"""

import dataclasses

MEGABYTE = 1024 * 1024
# Memory of a process without clients.
OWN_MEGABYTES = 70.0
# Parts of the rest, and the room that a few of the largest bodies need.
REQUEST_SHARE = 0.125
LEAST_REQUEST_BYTES = 8 * MEGABYTE
ANSWER_SHARE = 0.17
LEAST_ANSWER_BYTES = 16 * MEGABYTE
MOST_BODY_BYTES = 32 * MEGABYTE
UNREAD_SHARE = 0.25
LEAST_UNREAD_BYTES = 8 * MEGABYTE
MOST_UNREAD_BYTES = 64 * MEGABYTE
LARGE_BUFFER_SHARE = 0.06
# The kernel keeps up to one and a half times the size of a receive buffer.
LARGE_BUFFER_BYTES = 512 * 1024
LEAST_LARGE_BUFFERS = 6
MOST_LARGE_BUFFERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryAccount:
    """What a process may hold for all of its clients together.

    :param int request_bytes: bodies of requests.
    :param int answer_bytes: bodies of answers.
    :param int unread_bytes: answers whose clients are slow to read.
    :param int large_buffers: connections with a large receive buffer.
    """

    request_bytes: int = MOST_BODY_BYTES
    answer_bytes: int = MOST_BODY_BYTES
    unread_bytes: int = MOST_UNREAD_BYTES
    large_buffers: int = MOST_LARGE_BUFFERS


def derive(megabytes, least_request_bytes=LEAST_REQUEST_BYTES):
    """Return the :class:`MemoryAccount` of a process.

    :param float megabytes: memory that it may take; 0.0 if it isn't known.
    :param int least_request_bytes: least room for bodies of requests.
    """
    if not megabytes:
        return MemoryAccount()
    left = max(0.0, megabytes - OWN_MEGABYTES) * MEGABYTE
    return MemoryAccount(
        within(left * REQUEST_SHARE, least_request_bytes, MOST_BODY_BYTES),
        within(left * ANSWER_SHARE, LEAST_ANSWER_BYTES, MOST_BODY_BYTES),
        within(left * UNREAD_SHARE, LEAST_UNREAD_BYTES, MOST_UNREAD_BYTES),
        within(
            left * LARGE_BUFFER_SHARE / (1.5 * LARGE_BUFFER_BYTES),
            LEAST_LARGE_BUFFERS,
            MOST_LARGE_BUFFERS,
        ),
    )


def within(value, least, most):
    """Return a number as an integer within a range."""
    return int(max(least, min(most, value)))
