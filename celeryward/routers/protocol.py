"""What routers send each other: JSON over HTTP/1.1.

``GET /changes/KIND?since=REVISION&wait=SECONDS`` is answered with a
:class:`Passed` as soon as there is a change, or when the wait is over. 410
means that the changes are no longer known, 413 that they are too large to be
passed on, 503 that the router does not know the newest state itself.
"""

import dataclasses
import urllib.parse

import msgspec

from celeryward.objects import protocol

PREFIX = '/changes/'


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """Changes of one kind, as another router knows them.

    :param int revision: revision of the store up to which they are told.
    :param float confirmed_seconds: time from the arrival of the request
        until the store last said that there was nothing newer; below zero
        if that was before the request.
    :param float | None away_seconds: time since the store was last away;
        None if it never was.
    """

    changes: tuple[protocol.Change, ...]
    revision: int
    confirmed_seconds: float
    away_seconds: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What another router asks for."""

    kind: str
    since: int
    wait_seconds: float


DECODER = msgspec.json.Decoder(Passed)


class RouterDialect(protocol.ObjectDialect):
    """How a router is asked for changes, in place of the store."""

    def wait_path(self, kind, since, seconds):
        """Return the path that waits for changes after a revision."""
        return f'{PREFIX}{kind}?since={since}&wait={seconds:.3f}'

    def decode_changes(self, kind, body):
        """Return the :class:`protocol.ChangeList` in a body."""
        passed = DECODER.decode(body)
        return protocol.ChangeList(
            passed.changes,
            passed.revision,
            passed.confirmed_seconds,
            True,
            passed.away_seconds,
        )


def encode(passed):
    """Return the body that passes on changes."""
    return msgspec.json.encode(passed)


def read_ask(target):
    """Return the :class:`Ask` in a target; None if it is malformed."""
    path, _, query = target.partition('?')
    fields = dict(urllib.parse.parse_qsl(query))
    if not path.startswith(PREFIX):
        return None
    try:
        wait = float(fields['wait'])
        return Ask(path[len(PREFIX) :], int(fields['since']), wait)
    except (KeyError, ValueError):
        return None
