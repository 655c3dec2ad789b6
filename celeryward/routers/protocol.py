"""Wire format between routers: long polls with JSON over HTTP/1.1.

``GET /changes/KIND?since=REVISION&wait=SECONDS`` is answered with a
:class:`ChangesResponse` as soon as there is a change, or when the wait is
over. 400 means that the request is malformed or the kind unknown, 410 that
the changes are no longer in the log, 413 that they are too large to be
relayed, 503 that the router's own state is out of date.
"""

import dataclasses
import urllib.parse

import msgspec

from celeryward.objects import protocol

PREFIX = '/changes/'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesResponse:
    """Changes of one kind, relayed by another router.

    :param int revision: revision of the store that the changes lead up to.
    :param float confirmed_seconds: time from the arrival of the request
        until the store last confirmed that there was nothing newer; negative
        if that was before the request.
    :param float | None away_seconds: time since the store was last
        unreachable; None if it never was.
    """

    changes: tuple[protocol.Change, ...]
    revision: int
    confirmed_seconds: float
    away_seconds: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request of a follower for the changes after a revision."""

    kind: str
    since: int
    wait_seconds: float


RESPONSE_DECODER = msgspec.json.Decoder(ChangesResponse)


class RouterDialect(protocol.ObjectDialect):
    """The requests and responses of a router, in place of the store's."""

    def long_poll_path(self, kind, since, seconds):
        """Return the path of a long poll for changes after a revision."""
        return f'{PREFIX}{kind}?since={since}&wait={seconds:.3f}'

    def decode_changes(self, kind, body):
        """Return the :class:`protocol.ChangeList` of a response body."""
        response = RESPONSE_DECODER.decode(body)
        return protocol.ChangeList(
            response.changes,
            response.revision,
            response.confirmed_seconds,
            True,
            response.away_seconds,
        )


def encode_response(response):
    """Return the body of a response."""
    return msgspec.json.encode(response)


def parse_request(target):
    """Return the :class:`ChangesRequest` in a target; None if malformed."""
    path, _, query = target.partition('?')
    fields = dict(urllib.parse.parse_qsl(query))
    if not path.startswith(PREFIX):
        return None
    try:
        wait = float(fields['wait'])
        return ChangesRequest(path[len(PREFIX) :], int(fields['since']), wait)
    except (KeyError, ValueError):
        return None
