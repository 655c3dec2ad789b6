"""Wire format of the object API: JSON over HTTP/1.1."""

import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the platform stores it.

    :param int revision: increases over all objects; 0 before the first
        write.
    :param int schema_version: version of the schema of ``spec``.
    :param str writer: who wrote this revision.
    """

    kind: str
    name: str
    spec: dict[str, typing.Any]
    revision: int = 0
    schema_version: int = 1
    writer: str = ''
    status: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    @property
    def key(self):
        """The pair of kind and name."""
        return (self.kind, self.name)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectList:
    """All objects of one kind at a revision of the store."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One event of a watch. A deletion carries the last stored object.

    :param str type: ``put``, ``delete`` or ``bookmark``.
    """

    type: str
    revision: int
    object: StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One entry of the platform's list of hosts, which lags.

    :param str state: ``live`` or ``leaving``.
    """

    name: str
    address: str
    state: str = 'live'


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts."""

    items: tuple[Host, ...]


ENCODER = msgspec.json.Encoder()
OBJECT_DECODER = msgspec.json.Decoder(StoredObject)
LIST_DECODER = msgspec.json.Decoder(ObjectList)
CHANGE_DECODER = msgspec.json.Decoder(Change)
HOSTS_DECODER = msgspec.json.Decoder(HostList)


def encode(value):
    """Return a value as JSON bytes."""
    return ENCODER.encode(value)


def object_path(kind, name):
    """Return the path of one object."""
    return f'/objects/{kind}/{name}'


def list_path(kind):
    """Return the path of all objects of a kind."""
    return f'/objects/{kind}'


def watch_path(kinds, since):
    """Return the path of a watch on some kinds after a revision."""
    return f'/watch?kinds={",".join(kinds)}&since={since}'
