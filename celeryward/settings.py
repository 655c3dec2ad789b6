"""Settings of a daemon, read from a YAML file and validated as a whole.

Times are durations in seconds, not deadlines: deadlines need a clock and are
computed from them when the daemon uses them.
"""

import dataclasses

import pydantic

from celeryward import errors
from celeryward import files

STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)

Port = pydantic.conint(ge=0, le=65535)
Callers = pydantic.conint(ge=8, le=100000)
Operators = pydantic.conint(ge=4, le=100000)
Peers = pydantic.conint(ge=16, le=100000)
Megabytes = pydantic.confloat(ge=128, le=1_000_000)
Seconds = pydantic.confloat(gt=0, le=86400)
SigningKey = pydantic.constr(min_length=16)
SigningKeys = pydantic.conlist(SigningKey, min_length=1)
Level = pydantic.constr(pattern='^(DEBUG|INFO|WARNING|ERROR)$')
Format = pydantic.constr(pattern='^(text|json)$')
Name = pydantic.constr(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')
NonEmpty = pydantic.constr(min_length=1)


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a TCP port.

    :param int port: 0 lets the operating system choose one.
    """

    __pydantic_config__ = STRICT

    host: str = '127.0.0.1'
    port: Port = 0


@dataclasses.dataclass(frozen=True)
class Timings:
    """Timeouts and intervals in seconds."""

    __pydantic_config__ = STRICT

    request_timeout: Seconds = 600.0
    connect_timeout: Seconds = 1.0
    progress_timeout: Seconds = 10.0
    first_byte_timeout: Seconds = 60.0
    idle_timeout: Seconds = 75.0
    probe_interval: Seconds = 2.0
    probe_timeout: Seconds = 1.0
    # 340 daemons then make 85 writes per second to the platform. Copies at
    # peers protect bills that have not been written yet.
    flush_interval: Seconds = 4.0
    drain_timeout: Seconds = 600.0
    platform_timeout: Seconds = 3.0
    rating_timeout: Seconds = 5.0
    gossip_interval: Seconds = 1.0


@dataclasses.dataclass(frozen=True)
class ConnectionSettings:
    """Most open connections; None for what the descriptors allow."""

    __pydantic_config__ = STRICT

    callers: Callers | None = None
    admin: Operators | None = None
    peers: Peers | None = None


@dataclasses.dataclass(frozen=True)
class SessionSettings:
    """Keys of session tokens: the last key signs, all keys verify."""

    __pydantic_config__ = STRICT

    signing_keys: SigningKeys = dataclasses.field(
        default_factory=lambda: ['development-only-key'],
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Level and format of the log on standard error."""

    __pydantic_config__ = STRICT

    level: Level = 'INFO'
    format: Format = 'text'


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of one daemon.

    :param str name: unique name of the daemon.
    :param str host_name: name of the host that it runs on.
    :param list seeds: addresses of peers to contact first.
    :param float memory_megabytes: memory that its process may take.
    """

    __pydantic_config__ = STRICT

    name: Name
    failure_domain: NonEmpty
    host_name: str = ''
    region: str = 'default'
    callers: Address = Address()
    admin: Address = Address()
    peers: Address = Address()
    platform: Address = Address()
    raters: Address | None = None
    seeds: list[Address] = dataclasses.field(default_factory=list)
    ranking: str = 'prefix-aware'
    timings: Timings = Timings()
    connections: ConnectionSettings = ConnectionSettings()
    memory_megabytes: Megabytes = 128.0
    sessions: SessionSettings = SessionSettings()
    log: LogSettings = LogSettings()


ADAPTER = pydantic.TypeAdapter(Settings)


def parse(text, source):
    """Return the :class:`Settings` in a YAML document.

    :param str source: file name used in errors.
    :raises errors.BadInput: with one line for each invalid value: file, key,
        value and what is allowed.
    """
    try:
        document = files.parse_yaml(text)
    except files.YAML_ERRORS as error:
        raise errors.BadInput(
            f'{source}: not valid YAML: {error}', step='settings', peer=source
        ) from error
    try:
        return ADAPTER.validate_python({} if document is None else document)
    except pydantic.ValidationError as error:
        lines = [describe_error(source, details) for details in error.errors()]
        raise errors.BadInput(
            '\n'.join(lines), step='settings', peer=source
        ) from error


def describe_error(source, details):
    """Return one line for an error in ``ValidationError.errors()``."""
    key = '.'.join(str(part) for part in details['loc']) or '(document)'
    if details['type'] in ('missing', 'missing_argument'):
        return f'{source}: {key}: required, but absent'
    if details['type'] in ('unexpected_keyword_argument', 'extra_forbidden'):
        return f'{source}: {key}: unknown key'
    value = repr(details['input'])[:80]
    return f'{source}: {key}: value {value}: {details["msg"]}'


def load(path):
    """Return the :class:`Settings` in a YAML file.

    :raises errors.BadInput: if the file can't be read or is invalid.
    """
    return parse(files.read_text(path), str(path))
