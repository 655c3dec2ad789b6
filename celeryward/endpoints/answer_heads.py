"""Reads the head of the answer to a request, past those to other requests."""

import contextlib

import h11

from celeryward.endpoints import answer_origin
from celeryward import errors
from celeryward import http
from celeryward import logs

# Answers to other requests that are skipped before the one that is due.
MAX_SKIPPED_ANSWERS = 4


async def receive_head(
    connection, forwarded, read_response, extend, names_refusals
):
    """Return head and metadata of the answer to a request.

    Answers that name another request are skipped: the one that is due may
    follow, and a request that runs here need not run again.

    :param forwarding.ForwardedRequest forwarded: the request that waits.
    :param read_response: function that returns the
        :class:`ingress.ResponseMetadata` of a head.
    :param extend: as for :meth:`http.Connection.read`.
    :param bool names_refusals: whether endpoints of this kind have named the
        request in a refusal.
    :raises errors.AnswerMismatch: if an answer may belong to another
        request, or too many of them do.
    """
    while True:
        head = await connection.receive_response(
            forwarded.head_deadline, extend
        )
        metadata = read_response(head)
        found = answer_origin.origin(
            metadata,
            forwarded.request_id,
            not (connection.from_pool or connection.skipped_responses),
            names_refusals or forwarded.must_not_repeat,
        )
        if found is answer_origin.Origin.THIS_REQUEST:
            return head, metadata
        error = mismatch(connection, head, metadata, found)
        if (
            found is answer_origin.Origin.UNKNOWN
            or connection.skipped_responses == MAX_SKIPPED_ANSWERS
        ):
            raise error
        logs.bind_error(error, request_id=forwarded.request_id).info(
            'skipped: {}', error.message
        )
        await skip_answer(connection, forwarded, extend)


def mismatch(connection, head, metadata, found):
    """Return the error for an answer of another or of unknown origin."""
    return errors.AnswerMismatch(
        f'response {head.status} belongs to {found.value}: '
        f'{metadata.request_id[:32] or "no id"}',
        step='read response',
        peer=connection.peer,
        sent=True,
    )


async def skip_answer(connection, forwarded, extend):
    """Drop the body of an answer, so that the next head can be read.

    :raises http.Disconnected: if the answer ends the connection.
    """
    chunks = connection.receive_chunks(
        'skip answer', lambda: forwarded.head_deadline, extend=extend
    )
    async with contextlib.aclosing(chunks):
        async for _ in chunks:
            continue
    if connection.h11.their_state is not h11.DONE:
        raise http.Disconnected(
            'answer to another request ended the connection',
            step='skip answer',
            peer=connection.peer,
        )
    connection.skipped_responses += 1
    # The parser reads a response only after a request, so that it is given
    # the one that waits once more, without any output.
    connection.start_next_cycle()
    headers = [('host', connection.peer)]
    request = h11.Request(
        method=forwarded.head.method, target='/', headers=headers
    )
    connection.h11.send(request)
    connection.h11.send(h11.EndOfMessage())
