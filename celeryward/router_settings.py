"""Settings of a router.

A :class:`Placement` holds the addresses and bounds that the platform sets for
one process; the adapter of the platform reads it. :class:`Tuning` holds what
operators may tune; it is read from a YAML file, and one invalid value rejects
the whole file.
"""

import dataclasses

import msgspec

from celeryward import errors
from celeryward import files

MAX_PORT = 65535
# The kernel needs some bytes to write at all, and more than the largest buffer
# would bound nothing.
INTEGER_RANGES = {
    'requests_per_turn': (1, 1000),
    'unread_bytes': (4096, 4 * 1024 * 1024),
    'unread_input_bytes': (4096, 4 * 1024 * 1024),
}
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Guarantees of the platform and its requirements on a router.

    :param float revoked_key_seconds: time after which a revoked API key must
        no longer be accepted; infinite if there is no such bound.
    :param float stop_seconds: time from the signal to stop until the
        platform kills the process.
    :param float retry_ratio: retries that are allowed for each request.
    :param float retry_slack: retries that are allowed in addition, for all
        routers together.
    :param float retry_window_seconds: time in which retries are counted.
    :param float bad_version_share: largest share of a service's requests
        that a bad version may serve.
    :param float bad_version_slack: requests that it may serve in addition.
    :param float session_seconds: idle time after which a session has ended.
    :param float history_seconds: how long the store keeps past changes.
    :param float apply_seconds: time within which a newer configuration must
        be in force.
    :param float leave_seconds: time after which an endpoint that is leaving
        must get no more requests.
    :param float contact_seconds: time after the end of an outage from which
        a router must comply with the state of the store again.
    :param float domain_drain_seconds: time after which a failure domain that
        operators drain must get no more requests; 0.0 if there are no such
        orders.
    :param bool limits_cold: whether requests to cold endpoints are limited.
    :param float cold_overage: factor of the rate that a cold endpoint
        sustains, up to which all routers together may send to it in any
        second.
    :param float cold_slack: requests that they may send in addition.
    """

    revoked_key_seconds: float
    stop_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    bad_version_share: float
    bad_version_slack: float
    session_seconds: float
    history_seconds: float
    apply_seconds: float
    leave_seconds: float
    contact_seconds: float
    domain_drain_seconds: float = 0.0
    limits_cold: bool = False
    cold_overage: float = 0.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Identity, addresses and bounds that the platform sets for a router.

    :param Address callers: listens for requests of callers.
    :param Address readiness: listens for probes of the load balancer.
    :param Address metrics: listens for scrapes of metrics.
    :param Address store: the platform's metadata store.
    :param Address routers: listens for requests of other routers.
    :param float link_mbps: bandwidth of its network link in Mbit/s.
    :param bool first_start: whether the whole fleet starts for the first
        time.
    :param float memory_mb: memory of the host; 0.0 if it isn't stated.
    :param int max_descriptors: most open files and connections; 0 if it isn't
        stated.
    """

    name: str
    failure_domain: str
    callers: Address
    readiness: Address
    metrics: Address
    store: Address
    bounds: Bounds
    routers: Address
    link_mbps: float = 0.0
    first_start: bool = False
    memory_mb: float = 0.0
    max_descriptors: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tuning:
    """Settings that operators may tune; all times are in seconds.

    :param float configuration_wait: longest time that a long poll for
        changes of the configuration waits. Each response confirms that the
        API keys are still valid.
    :param float object_wait: longest wait of the other long polls.
    :param float store_timeout: timeout of a call to the store, in addition
        to the wait of a long poll.
    :param float key_reserve: safety margin that is subtracted from the bound
        on revoked keys.
    :param float connect_timeout: timeout of connecting to an endpoint.
    :param float stop_accepting_after: how long a stopping router still
        accepts connections, so that the load balancer can notice.
    :param float stop_reserve: how long before the platform would kill it a
        stopping router exits.
    :param float retry_part: fraction of the allowed retries that is used.
    :param float value_factor: value of a good answer on a route of the most
        urgent priority, as a multiple of what the largest model costs for it.
    :param float priority_value_ratio: factor by which that value changes with
        each less urgent priority.
    :param float confidence_midpoint: confidence of a small model at which
        half of its answers are poor.
    :param float confidence_width: change of confidence around the midpoint
        that multiplies the odds of a poor answer by e.
    :param float max_closed_seconds: longest time for which an endpoint that
        turned a request away may ask to get no more.
    :param float unreadable_closed_seconds: time for which an endpoint gets no
        requests that asks for a time in a form that can't be read.
    :param int metrics_port: port for scrapes, on the router's address.
    :param int caller_connections: most open connections of callers; None for
        what the host allows, as for those below.
    :param int caller_connections_per_address: most of them from one address.
    :param int readiness_connections: most open connections of probes.
    :param int metrics_connections: most open connections of scrapes.
    :param int router_connections: most open connections of other routers.
    :param int requests_per_turn: requests of one connection that are answered
        before other connections get their turn.
    :param int unread_bytes: bytes of responses that are kept for a client
        that doesn't read.
    :param int unread_input_bytes: size of the receive buffer of a connection
        of a client, except while a long body is read.
    :param float write_timeout: time to write a response, in addition to what
        8 KiB a second take.
    """

    configuration_wait: float = 2.0
    object_wait: float = 25.0
    store_timeout: float = 1.0
    key_reserve: float = 1.3
    connect_timeout: float = 0.4
    stop_accepting_after: float = 2.8
    stop_reserve: float = 0.4
    retry_part: float = 0.8
    value_factor: float = 10.0
    priority_value_ratio: float = 0.5
    confidence_midpoint: float = 0.5
    confidence_width: float = 0.06
    max_closed_seconds: float = 600.0
    unreadable_closed_seconds: float = 1.0
    log_level: str = 'INFO'
    metrics_port: int = 9464
    caller_connections: int | None = None
    caller_connections_per_address: int | None = None
    readiness_connections: int | None = None
    metrics_connections: int | None = None
    router_connections: int | None = None
    requests_per_turn: int = 1
    unread_bytes: int = 32768
    unread_input_bytes: int = 8192
    write_timeout: float = 20.0


def parse(text, source):
    """Return the :class:`Tuning` in a YAML document.

    :param str source: file name used in errors.
    :raises errors.BadInput: if a key is unknown or a value is not allowed.
    """
    try:
        document = files.parse_yaml(text) or {}
        known = {field.name for field in dataclasses.fields(Tuning)}
        unknown = sorted(set(document) - known)
        if unknown:
            raise errors.BadInput(
                f'{source}: unknown keys {", ".join(map(str, unknown))}',
                step='settings',
                peer=source,
            )
        tuning = msgspec.convert(document, Tuning)
    except (*files.YAML_ERRORS, TypeError) as error:
        raise errors.BadInput(
            f'{source}: {error}', step='settings', peer=source
        ) from error
    check(tuning, source)
    check_integers(tuning, source)
    return tuning


def check(tuning, source):
    """Check that all values are within range.

    :raises errors.BadInput: if a floating-point value is not above 0 and at
        most 3600, or the port or the level of the log does not exist.
    """
    if not 0 < tuning.metrics_port <= MAX_PORT:
        raise errors.BadInput(
            f'{source}: metrics_port: not from 1 to {MAX_PORT}',
            step='settings',
            peer=source,
        )
    if tuning.log_level not in LOG_LEVELS:
        raise errors.BadInput(
            f'{source}: log_level: not one of {", ".join(LOG_LEVELS)}',
            step='settings',
            peer=source,
        )
    for field in dataclasses.fields(Tuning):
        value = getattr(tuning, field.name)
        if isinstance(value, float) and not 0 < value <= 3600:
            raise errors.BadInput(
                f'{source}: {field.name}: {value} is not above 0 and at most'
                ' 3600',
                step='settings',
                peer=source,
            )


def check_integers(tuning, source):
    """Check the settings for which a host makes no difference.

    Limits on connections depend on the host, see
    :func:`connection_limits.derive`.

    :raises errors.BadInput: if one is out of range.
    """
    for key, (least, most) in INTEGER_RANGES.items():
        value = getattr(tuning, key)
        if not least <= value <= most:
            raise errors.BadInput(
                f'{source}: {key}: {value} is not from {least} to {most}',
                step='settings',
                peer=source,
            )


def load(path):
    """Return the :class:`Tuning` in a YAML file.

    :raises errors.BadInput: if the file can't be read or is invalid.
    """
    return parse(files.read_text(path), str(path))
