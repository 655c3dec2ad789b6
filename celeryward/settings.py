"""Settings of a daemon, read from a YAML file and checked as a whole.

Settings hold intervals in seconds, because a file is read before any clock
starts. They become deadlines when state is created from them.
"""

import dataclasses

import pydantic
import yaml

from celeryward import errors
from celeryward import files

STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)

Port = pydantic.conint(ge=0, le=65535)
Seconds = pydantic.confloat(gt=0, le=86400)
SigningKey = pydantic.constr(min_length=16)
SigningKeys = pydantic.conlist(SigningKey, min_length=1)
Level = pydantic.constr(pattern='^(DEBUG|INFO|WARNING|ERROR)$')
Format = pydantic.constr(pattern='^(text|json)$')
Name = pydantic.constr(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')
NonEmpty = pydantic.constr(min_length=1)


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a TCP port; port 0 lets the host choose one."""

    __pydantic_config__ = STRICT

    host: str = '127.0.0.1'
    port: Port = 0


@dataclasses.dataclass(frozen=True)
class Timings:
    """Intervals in seconds."""

    __pydantic_config__ = STRICT

    request_timeout: Seconds = 600.0
    connect_timeout: Seconds = 1.0
    progress_timeout: Seconds = 10.0
    first_byte_timeout: Seconds = 60.0
    idle_timeout: Seconds = 75.0
    probe_interval: Seconds = 2.0
    probe_timeout: Seconds = 1.0
    # 340 daemons then make 85 writes a second, and the copies at peers
    # cover the time in between.
    flush_interval: Seconds = 4.0
    drain_timeout: Seconds = 600.0
    platform_timeout: Seconds = 3.0
    rating_timeout: Seconds = 5.0
    gossip_interval: Seconds = 1.0


@dataclasses.dataclass(frozen=True)
class SessionSettings:
    """Keys that sign session tokens; the last one signs, all verify."""

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
    :param str host_name: name of the host it runs on.
    :param list seeds: peer addresses to contact first.
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
    sessions: SessionSettings = SessionSettings()
    log: LogSettings = LogSettings()


ADAPTER = pydantic.TypeAdapter(Settings)


def parse(text, source):
    """Return the settings in a YAML text.

    :param str text: the YAML document.
    :param str source: file name used in errors.
    :raises errors.BadInput: with one line for each fault: file, key, value
        and what is allowed.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise errors.BadInput(
            f'{source}: not valid YAML: {error}', step='settings', peer=source
        ) from error
    try:
        return ADAPTER.validate_python({} if document is None else document)
    except pydantic.ValidationError as error:
        lines = [describe(source, fault) for fault in error.errors()]
        raise errors.BadInput(
            '\n'.join(lines), step='settings', peer=source
        ) from error


def describe(source, fault):
    """Return one line for a fault that pydantic found."""
    key = '.'.join(str(part) for part in fault['loc']) or '(document)'
    if fault['type'] in ('missing', 'missing_argument'):
        return f'{source}: {key}: required, but absent'
    if fault['type'] in ('unexpected_keyword_argument', 'extra_forbidden'):
        return f'{source}: {key}: unknown key'
    value = repr(fault['input'])[:80]
    return f'{source}: {key}: value {value}: {fault["msg"]}'


def load(path):
    """Return the settings in a YAML file.

    :raises errors.BadInput: if the file can't be read or has faults.
    """
    return parse(files.read_text(path), str(path))
