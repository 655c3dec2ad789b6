"""Settings of a router.

What the place of a process decides (addresses, bounds) comes from the
translator of its platform as a :class:`Placement`. What operators tune is a
YAML file of :class:`Tuning`, checked as a whole.
"""

import dataclasses

import msgspec
import yaml

from celeryward import errors
from celeryward import files


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the platform promises and asks for.

    :param float revoked_key_seconds: time after which a key that was taken
        away must not work; infinite if it may.
    :param float stop_seconds: time from the order to stop until the process
        is killed.
    :param float retry_ratio: repetitions for each request that are allowed.
    :param float retry_slack: repetitions that are allowed besides.
    :param float bad_version_share: share of a service's requests that a bad
        version may have.
    :param float session_seconds: pause after which a session has ended.
    :param float history_seconds: how long the store keeps past changes.
    :param float apply_seconds: time after which a newer configuration is in
        force.
    :param float leave_seconds: time after which an endpoint that leaves
        gets no more requests.
    :param float contact_seconds: time after the end of a fault from which a
        router is held to what the store says.
    """

    revoked_key_seconds: float
    stop_seconds: float
    retry_ratio: float
    retry_slack: float
    bad_version_share: float
    session_seconds: float
    history_seconds: float
    apply_seconds: float
    leave_seconds: float
    contact_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a router runs.

    :param Address routers: where other routers reach it.
    :param float link_mbps: bandwidth of its network link.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tuning:
    """What operators may tune; all times are in seconds.

    :param float configuration_wait: longest wait of a watch on the
        configuration. Each answer confirms that keys are still valid.
    :param float object_wait: longest wait of the other watches.
    :param float store_timeout: time allowed for a call beyond its wait.
    :param float key_reserve: part of the bound on revoked keys that is kept
        in reserve.
    :param float connect_timeout: time allowed to connect to an endpoint.
    :param float stop_accepting_after: how long a stopping router accepts
        connections, until the balancer has noticed.
    :param float stop_reserve: how long before it would be killed a stopping
        router ends.
    :param float retry_part: part of the allowed repetitions that is used.
    :param float value_per_token: worth of a good answer for each generated
        token, in the cost units of the models.
    :param float confidence_midpoint: confidence of a small model at which
        half of its answers are poor.
    :param float confidence_width: change of confidence around the midpoint
        that multiplies the odds of a poor answer by e.
    :param int metrics_port: port of the metrics, on the router's address.
    """

    configuration_wait: float = 2.0
    object_wait: float = 25.0
    store_timeout: float = 1.0
    key_reserve: float = 1.3
    connect_timeout: float = 0.4
    stop_accepting_after: float = 3.0
    stop_reserve: float = 0.4
    retry_part: float = 0.8
    value_per_token: float = 0.01
    confidence_midpoint: float = 0.5
    confidence_width: float = 0.06
    log_level: str = 'INFO'
    metrics_port: int = 9464


def parse(text, source):
    """Return the :class:`Tuning` in a YAML text.

    :raises errors.BadInput: if a key is unknown or a value is not allowed.
    """
    try:
        document = yaml.safe_load(text) or {}
        known = {field.name for field in dataclasses.fields(Tuning)}
        unknown = sorted(set(document) - known)
        if unknown:
            raise errors.BadInput(
                f'{source}: unknown keys {", ".join(map(str, unknown))}',
                step='settings',
                peer=source,
            )
        tuning = msgspec.convert(document, Tuning)
    except (yaml.YAMLError, msgspec.ValidationError, TypeError) as error:
        raise errors.BadInput(
            f'{source}: {error}', step='settings', peer=source
        ) from error
    check(tuning, source)
    return tuning


def check(tuning, source):
    """Raise an error for a value that is out of range."""
    for field in dataclasses.fields(Tuning):
        value = getattr(tuning, field.name)
        if isinstance(value, float) and not 0 < value <= 3600:
            raise errors.BadInput(
                f'{source}: {field.name}: {value} is not above 0 and at most'
                ' 3600',
                step='settings',
                peer=source,
            )


def load(path):
    """Return the :class:`Tuning` in a YAML file.

    :raises errors.BadInput: if it can't be read or has faults.
    """
    return parse(files.read_text(path), str(path))
