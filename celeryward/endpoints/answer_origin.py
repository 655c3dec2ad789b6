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


def origin(metadata, request_id, is_first):
    """Return the :class:`Origin` of an answer.

    An answer without an id belongs to the waiting request only if it can't
    be one to an earlier request.

    :param ingress.ResponseMetadata metadata: what the head of the answer
        says.
    :param str request_id: id of the request that waits.
    :param bool is_first: whether the answer is the first one on a connection
        that was opened for the request.
    """
    if metadata.request_id:
        if metadata.request_id == request_id:
            return Origin.THIS_REQUEST
        return Origin.OTHER_REQUEST
    return Origin.THIS_REQUEST if is_first else Origin.UNKNOWN
