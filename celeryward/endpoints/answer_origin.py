"""Decides which request an answer on a connection belongs to.

An endpoint may write the answer to an earlier request once more. Such a copy
says nothing about the request that waits on the connection now.
"""

import enum


class Origin(enum.Enum):
    """The request that an answer belongs to."""

    THIS_REQUEST = 'this request'
    OTHER_REQUEST = 'other request'
    UNKNOWN = 'unknown'


def origin(metadata, request_id, is_first, needs_name):
    """Return the :class:`Origin` of an answer.

    An answer without an id belongs to the waiting request only if it can't
    be one to an earlier request. A refusal without an id is not believed of
    endpoints that name the request in their refusals, and never for a request
    that must not run twice.

    :param ingress.ResponseMetadata metadata: what the head of the answer
        says.
    :param str request_id: id of the request that waits.
    :param bool is_first: whether the answer is the first one on a connection
        that was opened for the request.
    :param bool needs_name: whether a refusal must name the request: endpoints
        of this kind have done so, or the request must not run twice.
    """
    if metadata.request_id:
        if metadata.request_id == request_id:
            return Origin.THIS_REQUEST
        return Origin.OTHER_REQUEST
    unusual = needs_name and is_refusal(metadata)
    if is_first and not unusual:
        return Origin.THIS_REQUEST
    return Origin.UNKNOWN


def is_refusal(metadata):
    """Return whether an answer says that the request did not run."""
    return metadata.not_run or metadata.misdirected
