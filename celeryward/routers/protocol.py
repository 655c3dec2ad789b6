"""Wire format between routers: JSON over HTTP/1.1.

``GET /changes/KIND?since=REVISION&wait=SECONDS`` is a long poll, answered
with a :class:`ChangesResponse` as soon as there is a change, or when the wait
is over. ``GET /objects/KIND`` is answered with a :class:`ListResponse`.
``POST /evidence`` carries an :class:`EvidenceReport`; its answer is empty.
``/crashes`` is described in :mod:`celeryward.routers.crash_protocol`.

400 means that the request is malformed or the kind unknown, 404 that the
router has no list of the kind yet, 410 that the changes are no longer in the
log, 413 that the response is too large to be relayed, 503 that the router's
own state is out of date.
"""

import dataclasses
import typing
import urllib.parse

import msgspec

from celeryward import decoding
from celeryward.endpoints import departures
from celeryward.objects import generations
from celeryward.objects import protocol
from celeryward.raters import rollout_orders
from celeryward.routers import crash_protocol

CHANGES_PREFIX = '/changes/'
OBJECTS_PREFIX = '/objects/'
EVIDENCE_PATH = '/evidence'
STATUS_OUT_OF_DATE = 503
# A router of an earlier release, or with other settings, lacks a kind.
STATUS_UNKNOWN_KIND = 400
# Header with the number of a request, which its response repeats.
REQUEST_NUMBER = 'x-request-number'
MAX_REPORTED_REQUESTS = 1_000_000_000
# One outcome changes the log odds by less than 3.
MAX_LOG_RATIO = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesResponse:
    """Changes of one kind, relayed by another router.

    :param int revision: revision of the store that the changes lead up to.
    :param float confirmed_seconds: time from the arrival of the request
        until the store last confirmed that there was nothing newer; negative
        if that was before the request.
    :param float | None away_seconds: time since the store was last
        unreachable; None if it never was.
    :param tuple leaving: announcements that the router has learned lately;
        with changes of endpoints only.
    :param int generation: generation of the store's data; left out if the
        store has none, as in responses of earlier releases.
    """

    changes: tuple[protocol.Change, ...]
    revision: int
    confirmed_seconds: float
    away_seconds: float | None
    leaving: tuple[departures.Announcement, ...] = ()
    generation: int | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class ListResponse:
    """All objects of one kind, relayed by another router.

    :param float confirmed_seconds: as in :class:`ChangesResponse`.
    :param int generation: as in :class:`ChangesResponse`.
    """

    items: tuple[protocol.StoredObject, ...]
    revision: int
    confirmed_seconds: float
    generation: int | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class ListRequest:
    """Request of a follower for all objects of a kind."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request of a follower for the changes after a revision."""

    kind: str
    since: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class OrderExposure:
    """Requests that a router sent to a service since its last report.

    :param int created: revision at which the order was created.
    """

    service: str
    target: str
    created: int
    exposure: rollout_orders.Exposure

    @property
    def order_key(self):
        """The key of the order."""
        return (self.service, self.target, self.created)


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReport:
    """What a follower has seen since its last report.

    :param tuple exposures: its requests to new versions.
    :param tuple outcomes: outcomes of runs at new versions.
    :param tuple leaving: endpoints that have announced that they leave.
    :param str sender: names one run of the follower's process.
    :param int number: of the report; one that is sent again keeps it.
    """

    exposures: tuple[OrderExposure, ...]
    outcomes: tuple[rollout_orders.Outcome, ...]
    leaving: tuple[departures.Announcement, ...] = ()
    sender: str = ''
    number: int = 0


SECONDS_DECODER = msgspec.json.Decoder(float)
AGE_DECODER = msgspec.json.Decoder(
    typing.Annotated[float, msgspec.Meta(ge=0)] | None
)
GENERATION_DECODER = msgspec.json.Decoder(
    typing.Annotated[int, msgspec.Meta(ge=0, le=generations.MAX_GENERATION)]
    | None
)
REPORT_DECODER = msgspec.json.Decoder(EvidenceReport)
ANNOUNCEMENT_DECODER = msgspec.json.Decoder(departures.Announcement)
EMPTY_LIST = b'[]'


class RouterDialect(protocol.ObjectDialect):
    """The requests and responses of a router, in place of the store's."""

    def long_poll_path(self, kind, since, seconds):
        """Return the path of a long poll for changes after a revision."""
        return f'{CHANGES_PREFIX}{kind}?since={since}&wait={seconds:.3f}'

    def page_path(self, kind, after, allow_stale):
        """Return the path of the list of a kind, which has one page."""
        return f'{OBJECTS_PREFIX}{kind}'

    def decode_page(self, kind, body):
        """Return the :class:`protocol.ObjectPage` in a response body."""
        document = decoding.split_members(body)
        revision = protocol.read_revision(document, 'revision')
        items, faults = protocol.read_each(
            document.get('items', protocol.NULL),
            lambda entry: protocol.read_object(entry, revision),
        )
        return protocol.ObjectPage(
            items,
            revision,
            confirmed_seconds=read_confirmed(document),
            faults=faults,
            generation=read_generation(document),
        )

    def decode_changes(self, kind, body):
        """Return the :class:`protocol.ChangeList` of a response body."""
        document = decoding.split_members(body)
        changes, faults = protocol.read_each(
            document.get('changes', protocol.NULL), protocol.read_change
        )
        leaving, other_faults = protocol.read_each(
            document.get('leaving', EMPTY_LIST), read_announcement
        )
        away = document.get('away_seconds', protocol.NULL)
        return protocol.ChangeList(
            changes,
            protocol.read_revision(document, 'revision'),
            read_confirmed(document),
            True,
            decoding.decode(AGE_DECODER, away),
            faults + other_faults,
            leaving,
            read_generation(document),
        )


def read_announcement(body):
    """Return the :class:`departures.Announcement` in a body.

    :raises msgspec.DecodeError: if the body is malformed.
    """
    return decoding.decode_bounded(ANNOUNCEMENT_DECODER, body)


def read_confirmed(document):
    """Return the time of the confirmation in a split response.

    :raises msgspec.DecodeError: if there is none.
    """
    encoded = document.get('confirmed_seconds', protocol.NULL)
    return decoding.decode(SECONDS_DECODER, encoded)


def read_generation(document):
    """Return the generation in a split response; None if there is none.

    :raises msgspec.DecodeError: if it is out of bounds.
    """
    encoded = document.get('generation', protocol.NULL)
    return decoding.decode(GENERATION_DECODER, encoded)


def optional(value):
    """Return a value, or what leaves its member out if it is None."""
    return msgspec.UNSET if value is None else value


def encode(message):
    """Return the body of a request or response."""
    return msgspec.json.encode(message)


def parse_request(target, body=b''):
    """Return the request with a target and a body; None if it is malformed.

    :returns: :class:`ChangesRequest`, :class:`ListRequest`,
        :class:`EvidenceReport`, a request of :mod:`crash_protocol`, or None.
    """
    path, _, query = target.partition('?')
    if path == crash_protocol.PATH:
        return crash_protocol.parse_request(query, body)
    if path == EVIDENCE_PATH:
        return parse_report(body)
    if path.startswith(OBJECTS_PREFIX):
        return ListRequest(path.removeprefix(OBJECTS_PREFIX))
    if not path.startswith(CHANGES_PREFIX):
        return None
    kind = path.removeprefix(CHANGES_PREFIX)
    fields = dict(urllib.parse.parse_qsl(query))
    try:
        request = ChangesRequest(
            kind, int(fields['since']), float(fields['wait'])
        )
    except (KeyError, ValueError):
        return None
    is_valid = 0 <= request.since <= protocol.MAX_REVISION
    return request if is_valid and 0 <= request.wait_seconds else None


def parse_report(body):
    """Return the :class:`EvidenceReport` in a body; None if malformed."""
    try:
        report = decoding.decode_bounded(REPORT_DECODER, body)
    except msgspec.DecodeError:
        return None
    counts = [each.exposure for each in report.exposures]
    is_valid = all(
        0 <= each.exposed <= each.requests <= MAX_REPORTED_REQUESTS
        for each in counts
    ) and all(
        abs(outcome.log_ratio) <= MAX_LOG_RATIO for outcome in report.outcomes
    )
    return report if is_valid else None
