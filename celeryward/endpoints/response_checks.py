"""Checks that a response is a whole answer to the request that was sent."""

import functools

from celeryward import errors
from celeryward import http

NOT_RUN_STATUSES = (429, 503)


def check_head(response, call, peer):
    """Raise the error that the head of a response indicates.

    :raises errors.EndpointRefused: if the endpoint did not run the request.
    :raises errors.AnswerMismatch: if the response is to another request.
    :raises errors.AnswerInvalid: for any other status than 200.
    """
    step = 'read response'
    answered = response.headers.get('x-request-id')
    if answered != call.request_id:
        raise errors.AnswerMismatch(
            f'response is for another request: {answered}',
            step=step,
            peer=peer,
            sent=True,
        )
    refused = response.headers.get('x-execution') == 'not-run'
    if response.status in NOT_RUN_STATUSES and refused:
        raise errors.EndpointRefused(
            f'endpoint answered {response.status}, not run',
            step=step,
            peer=peer,
        )
    if response.status != 200:
        raise errors.AnswerInvalid(
            f'endpoint answered {response.status}',
            step=step,
            peer=peer,
            sent=True,
        )


def check_service_head(response, call, peer):
    """Check the head of a service response; any status is valid.

    :raises errors.AnswerMismatch: if the response is to another request.
    :raises errors.EndpointRefused: if the service states that it did not run
        the request.
    """
    plain = functools.partial(http.Response, headers=response.headers)
    if response.headers.get('x-execution') == 'not-run':
        check_head(response, call, peer)
    check_head(plain(status=200), call, peer)


async def receive_delimited_body(
    connection, response, call, read_deadlines, method='POST'
):
    """Return the body of a response that has explicit framing.

    :param str method: method of the request.
    :raises errors.AnswerTruncated: if only the end of the connection would
        delimit the body, because a truncated body would look complete.
    """
    bodiless = http.never_has_body(method, response.status)
    if not (response.is_framed or bodiless):
        raise errors.AnswerTruncated(
            'response has neither a length nor chunks',
            step='read body',
            peer=connection.peer,
            sent=True,
        )
    return await connection.receive_body(
        'read body', call.deadline, next_deadline=read_deadlines.progress
    )
