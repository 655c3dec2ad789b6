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


def origin(metadata, request_id, is_first, names_refusals):
    """Return the :class:`Origin` of an answer.

    An answer without an id belongs to the waiting request only if it can't
    be one to an earlier request. A refusal without an id is not believed of
    endpoints that name the request in their refusals.

    :param ingress.ResponseMetadata metadata: what the head of the answer
        says.
    :param str request_id: id of the request that waits.
    :param bool is_first: whether the answer is the first one on a connection
        that was opened for the request.
    :param bool names_refusals: whether endpoints of this kind have named the
        request in a refusal.
    """
    if metadata.request_id:
        if metadata.request_id == request_id:
            return Origin.THIS_REQUEST
        return Origin.OTHER_REQUEST
    unusual = names_refusals and is_refusal(metadata)
    if is_first and not unusual:
        return Origin.THIS_REQUEST
    return Origin.UNKNOWN


def is_refusal(metadata):
    """Return whether an answer says that the request did not run."""
    return metadata.not_run or metadata.misdirected
