"""Wire format of the object API: JSON over HTTP/1.1."""

import dataclasses
import typing

import msgspec

from celeryward import decoding

MAX_REVISION = 2**63 - 1
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the platform stores it.

    :param int revision: revision of the store at which this one was written;
        all objects share one counter. 0 before the first write.
    :param int schema_version: version of the schema of ``spec``.
    :param str writer: name of the client that wrote this revision.
    :param int created: revision at which the object was created.
    """

    kind: str
    name: str
    spec: dict[str, typing.Any]
    revision: Revision = 0
    schema_version: int = 1
    writer: str = ''
    status: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    created: Revision = 0

    @property
    def key(self):
        """The pair of kind and name."""
        return (self.kind, self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableObject(StoredObject):
    """An object of which only the name can be read; its spec is empty.

    :param str fault: why the rest can't be read.
    """

    fault: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectList:
    """All objects of one kind at a revision of the store.

    :param tuple faults: why entries without a readable name were left out.
    :param float confirmed_seconds: time from the start of the call until the
        store confirmed the list; negative if that was before the call.
    :param int | None generation: generation of the store's data; None if it
        has none. Revisions of different generations can't be compared.
    """

    items: tuple[StoredObject, ...]
    revision: int
    confirmed_seconds: float = 0.0
    faults: tuple[str, ...] = ()
    generation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectPage:
    """One page of the list of all objects of a kind.

    :param tuple faults: as in :class:`ObjectList`.
    :param str next_after: name to continue after; empty on the last page.
    :param float confirmed_seconds: as in :class:`ObjectList`.
    :param int | None generation: as in :class:`ObjectList`.
    """

    items: tuple[StoredObject, ...]
    revision: int
    next_after: str = ''
    confirmed_seconds: float = 0.0
    faults: tuple[str, ...] = ()
    generation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One event of a watch. A deletion carries the last stored object.

    :param str type: ``put``, ``delete`` or ``bookmark``.
    """

    type: str
    revision: Revision
    object: StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeList:
    """Changes of one kind up to a revision of the store.

    :param float confirmed_seconds: time from the start of the call until
        the store last confirmed that there was nothing newer; negative if
        that was before the call.
    :param bool passed_on: whether another router relayed them.
    :param float | None away_seconds: time since the router that relayed the
        changes last found the store unavailable; None if it never did.
    :param tuple faults: as in :class:`ObjectList`.
    :param tuple leaving: each :class:`departures.Announcement` that the
        router that relayed the changes has learned of lately.
    :param int | None generation: as in :class:`ObjectList`.
    """

    changes: tuple[Change, ...]
    revision: int
    confirmed_seconds: float = 0.0
    passed_on: bool = False
    away_seconds: float | None = None
    faults: tuple[str, ...] = ()
    leaving: tuple = ()
    generation: int | None = None

    def newer_than(self, revision):
        """Return the list with only the changes after a revision."""
        newer = tuple(
            change for change in self.changes if change.revision > revision
        )
        return dataclasses.replace(self, changes=newer)


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One entry of the platform's list of hosts, which can be out of date.

    :param str state: ``live`` or ``leaving``.
    """

    name: str
    address: str
    state: str = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts.

    :param tuple faults: as in :class:`ObjectList`.
    """

    items: tuple[Host, ...]
    faults: tuple[str, ...] = ()


ENCODER = msgspec.json.Encoder()
OBJECT_DECODER = msgspec.json.Decoder(StoredObject)
CHANGE_DECODER = msgspec.json.Decoder(Change)
HOST_DECODER = msgspec.json.Decoder(Host)
REVISION_DECODER = msgspec.json.Decoder(Revision)
TYPE_DECODER = msgspec.json.Decoder(typing.Literal['put', 'delete'])
NAME_DECODER = msgspec.json.Decoder(
    typing.Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
)
NULL = b'null'


def encode(value):
    """Return a value as JSON bytes."""
    return ENCODER.encode(value)


def read_each(body, read):
    """Return what can be read of a list, and why the rest can't be.

    :param body: encoded list.
    :param read: function of an encoded element; raises
        ``msgspec.DecodeError``.
    :returns: a pair of tuples, of values and of texts.
    :raises msgspec.DecodeError: if the body is no list.
    """
    values, faults = [], []
    for element in decoding.split_elements(body):
        try:
            values.append(read(element))
        except msgspec.DecodeError as error:
            faults.append(str(error))
    return tuple(values), tuple(faults)


def read_revision(document, name):
    """Return the revision in a member of a split document.

    :raises msgspec.DecodeError: if there is none.
    """
    return decoding.decode(REVISION_DECODER, document.get(name, NULL))


def read_object(body, revision):
    """Return the stored object in a body.

    :param int revision: revision of one of which only kind and name can be
        read.
    :returns: that one as an :class:`UnreadableObject`.
    :raises msgspec.DecodeError: if kind or name can't be read.
    """
    try:
        return decoding.decode_bounded(OBJECT_DECODER, body)
    except msgspec.DecodeError as error:
        members = decoding.split_members(body)
        kind, name = (
            decoding.decode(NAME_DECODER, members.get(member, NULL))
            for member in ('kind', 'name')
        )
        return UnreadableObject(kind, name, {}, revision, fault=str(error))


def read_change(body):
    """Return the change in a body.

    :raises msgspec.DecodeError: if it can't be read, and neither can its
        type, its revision and the name of its object.
    """
    try:
        return decoding.decode_bounded(CHANGE_DECODER, body)
    except msgspec.DecodeError:
        members = decoding.split_members(body)
        revision = read_revision(members, 'revision')
        change_type = decoding.decode(TYPE_DECODER, members.get('type', NULL))
        stored = read_object(members.get('object', NULL), revision)
        return Change(change_type, revision, stored)


def read_hosts(body):
    """Return the :class:`HostList` in a body.

    :raises msgspec.DecodeError: if the body is malformed.
    """
    document = decoding.split_members(body)
    items, faults = read_each(
        document.get('items', NULL),
        lambda entry: decoding.decode(HOST_DECODER, entry),
    )
    return HostList(items, faults)


def object_path(kind, name):
    """Return the path of one object."""
    return f'/objects/{kind}/{name}'


def list_path(kind):
    """Return the path of all objects of a kind."""
    return f'/objects/{kind}'


def watch_path(kinds, since):
    """Return the path of a watch for changes of some kinds after a revision.

    :param kinds: iterable of kinds.
    """
    return f'/watch?kinds={",".join(kinds)}&since={since}'


class ObjectDialect:
    """Paths, bodies and statuses of the product's own object API.

    A store with another API has a dialect of its own with the same members.
    If its watches are long polls instead of streams, the dialect also has
    the members of :class:`LongPollDialect`.
    """

    conflict_status = 412
    # Header with the generation of the store's data; empty for none.
    generation_header = ''
    # Error statuses after which a write has certainly not been applied.
    refused_statuses = frozenset()

    def object_path(self, kind, name):
        """Return the path of one object."""
        return object_path(kind, name)

    def list_path(self, kind):
        """Return the path of all objects of a kind."""
        return list_path(kind)

    def create_request(self, stored):
        """Return method, path and headers that create an object."""
        path = self.object_path(stored.kind, stored.name)
        return 'PUT', path, {'if-none-match': '*'}

    def replace_request(self, stored, expected_revision):
        """Return method, path and headers that replace a revision."""
        path = self.object_path(stored.kind, stored.name)
        return 'PUT', path, {'if-match': str(expected_revision)}

    def delete_request(self, stored):
        """Return method, path and headers that remove an object."""
        path = self.object_path(stored.kind, stored.name)
        return 'DELETE', path, {'if-match': str(stored.revision)}

    def encode(self, stored):
        """Return an object as the body of a write."""
        return encode(stored)

    def decode_object(self, kind, body):
        """Return the object in a body.

        :raises msgspec.DecodeError: if the body is malformed.
        """
        return decoding.decode_bounded(OBJECT_DECODER, body)

    def decode_list(self, kind, body):
        """Return the :class:`ObjectList` in a body.

        :raises msgspec.DecodeError: if the body is malformed.
        """
        document = decoding.split_members(body)
        revision = read_revision(document, 'revision')
        items, faults = read_each(
            document.get('items', NULL),
            lambda entry: read_object(entry, revision),
        )
        return ObjectList(items, revision, faults=faults)


class LongPollDialect(typing.Protocol):
    """Further members for a store with paged lists and long polls."""

    def page_path(self, kind, after, allow_stale):
        """Return the path of the page after a name.

        :param bool allow_stale: whether the store may answer with data that is
            seconds old, which is cheaper for it.
        """

    def long_poll_path(self, kind, since, seconds):
        """Return the path of a long poll for changes after a revision.

        :param float seconds: time after which the store answers without a
            change.
        """

    def status_path(self, kind, name):
        """Return the path of the status of one object."""

    def decode_page(self, kind, body):
        """Return the :class:`ObjectPage` in a body."""

    def decode_changes(self, kind, body):
        """Return the :class:`ChangeList` in a body."""
