"""Declared records: schemas by kind and version, read into catalog types.

A spec is checked by the schema of its own version, or by the newest known
one if the record is newer, and then upgraded step by step to the newest
known version. Upgrades work on the fields that a spec has, so that a spec of
an old version changes only what its version can express.
"""

import dataclasses
import typing

import pydantic
import result

from celeryward import catalog
from celeryward import errors
from celeryward import registry

SCHEMAS = registry.Registry('record schema')
UPGRADES = registry.Registry('record upgrade')
DOWNGRADES = registry.Registry('record downgrade')

NEWEST = {
    'Customer': 2,
    'ModelVersion': 2,
    'Cascade': 1,
    'Rollout': 1,
    'Service': 1,
    'Endpoint': 1,
    'ServiceLevel': 1,
}
KINDS = tuple(NEWEST)

STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)

Names = tuple[str, ...]
Share = pydantic.confloat(ge=0.0, le=1.0)
NonNegative = pydantic.confloat(ge=0.0)
Count = pydantic.conint(ge=0)
Port = pydantic.conint(ge=1, le=65535)
Objective = pydantic.confloat(ge=0.0, lt=1.0)
Seconds = pydantic.confloat(gt=0.0, le=3600.0)
Domain = pydantic.constr(min_length=1)
VersionName = pydantic.constr(pattern='^[^@/]+@[^@/]+$')


@SCHEMAS.register(('Customer', 1))
@dataclasses.dataclass(frozen=True)
class CustomerV1:
    """First schema: one flat rate limit and no cost budget."""

    __pydantic_config__ = STRICT

    allowed: Names = ()
    services: Names = ()
    key_hashes: tuple[catalog.KeyHash, ...] = ()
    requests_per_s: NonNegative = 0.0
    priority: int = 0
    quality_target: Share = 0.8


@SCHEMAS.register(('Customer', 2))
@dataclasses.dataclass(frozen=True)
class CustomerV2:
    """Second schema: limits are a group and include concurrency and cost."""

    __pydantic_config__ = STRICT

    allowed: Names = ()
    services: Names = ()
    key_hashes: tuple[catalog.KeyHash, ...] = ()
    limits: catalog.Limits = catalog.Limits()
    priority: int = 0
    quality_target: Share = 0.8

    def to_catalog(self, name):
        """Return the customer under its name."""
        return catalog.Customer(name=name, **_fields(self))


@UPGRADES.register(('Customer', 1))
def upgrade_customer(spec):
    """Move the flat rate limit into the group of limits."""
    upgraded = dict(spec)
    if 'requests_per_s' in upgraded:
        rate = upgraded.pop('requests_per_s')
        upgraded['limits'] = {'requests_per_s': rate}
    return upgraded


@DOWNGRADES.register(('Customer', 2))
def downgrade_customer(spec):
    """Return the flat rate limit."""
    limits = spec.get('limits', {})
    return {'requests_per_s': limits.get('requests_per_s', 0.0)}


@SCHEMAS.register(('ModelVersion', 1))
@dataclasses.dataclass(frozen=True)
class ModelVersionV1:
    """First schema: one cost for all tokens."""

    __pydantic_config__ = STRICT

    model: str
    version: str
    state: catalog.VersionState = catalog.VersionState.LIVE
    token_cost: NonNegative = 0.0


@SCHEMAS.register(('ModelVersion', 2))
@dataclasses.dataclass(frozen=True)
class ModelVersionV2:
    """Second schema: prompt and generated tokens cost differently."""

    __pydantic_config__ = STRICT

    model: str
    version: str
    state: catalog.VersionState = catalog.VersionState.LIVE
    prompt_cost: NonNegative = 0.0
    answer_cost: NonNegative = 0.0
    live_since: NonNegative = 0.0

    def to_catalog(self, name):
        """Return the version; its name must be ``model@version``."""
        version = catalog.ModelVersion(**_fields(self))
        if version.name != name:
            raise ValueError(
                f'name must be {version.name!r}, as model and version say'
            )
        return version


@UPGRADES.register(('ModelVersion', 1))
def upgrade_model_version(spec):
    """Use the one cost for prompt and generated tokens."""
    upgraded = dict(spec)
    if 'token_cost' in upgraded:
        cost = upgraded.pop('token_cost')
        upgraded['prompt_cost'] = cost
        upgraded['answer_cost'] = cost
    return upgraded


@DOWNGRADES.register(('ModelVersion', 2))
def downgrade_model_version(spec):
    """Return the higher cost, so that an old reader bills too much at worst.

    An old reader compares costs only to order models.
    """
    costs = (spec.get('prompt_cost', 0.0), spec.get('answer_cost', 0.0))
    return {'token_cost': max(costs)}


@SCHEMAS.register(('Cascade', 1))
@dataclasses.dataclass(frozen=True)
class CascadeV1:
    """Models from cheap to strong behind one name."""

    __pydantic_config__ = STRICT

    tiers: typing.Annotated[Names, pydantic.Field(min_length=1)]
    rule: str = 'threshold'
    quality_target: Share = 0.8

    def to_catalog(self, name):
        """Return the cascade under its name."""
        return catalog.Cascade(name=name, **_fields(self))


@SCHEMAS.register(('Rollout', 1))
@dataclasses.dataclass(frozen=True)
class RolloutV1:
    """A change from one version of a model to another."""

    __pydantic_config__ = STRICT

    model: str
    from_version: str
    to_version: str
    share: Share = 0.0
    state: catalog.RolloutState = catalog.RolloutState.RUNNING
    finished_at: NonNegative = 0.0

    def to_catalog(self, name):
        """Return the roll-out under its name."""
        return catalog.Rollout(name=name, **_fields(self))


@SCHEMAS.register(('Service', 1))
@dataclasses.dataclass(frozen=True)
class ServiceV1:
    """A plain service and its idempotent methods."""

    __pydantic_config__ = STRICT

    idempotent_methods: Names = ('GET', 'HEAD')

    def to_catalog(self, name):
        """Return the service under its name."""
        return catalog.Service(name=name, **_fields(self))


@SCHEMAS.register(('Endpoint', 1))
@dataclasses.dataclass(frozen=True)
class EndpointV1:
    """An address that runs model versions or plain services."""

    __pydantic_config__ = STRICT

    host: str
    port: Port
    failure_domain: Domain
    serves: tuple[VersionName, ...] = ()
    services: Names = ()
    capacity: Count = 8
    can_resume: bool = False
    fencing: catalog.Fencing = catalog.Fencing.IGNORED

    def to_catalog(self, name):
        """Return the endpoint under its name."""
        return catalog.Endpoint(name=name, **_fields(self))


@SCHEMAS.register(('ServiceLevel', 1))
@dataclasses.dataclass(frozen=True)
class ServiceLevelV1:
    """What the customer of the same name, or ``default``, is promised."""

    __pydantic_config__ = STRICT

    availability: Objective = 0.999
    in_time: Objective = 0.95
    first_token_seconds: Seconds = 0.75

    def to_catalog(self, name):
        """Return the service level under its name."""
        return catalog.ServiceLevel(name=name, **_fields(self))


def _fields(record):
    return {
        field.name: getattr(record, field.name)
        for field in dataclasses.fields(record)
    }


ADAPTERS = {
    key: pydantic.TypeAdapter(schema)
    for key, schema in SCHEMAS.entries.items()
}


def read(stored):
    """Return the catalog type that a stored object declares.

    :param protocol.StoredObject stored: object of a kind in ``KINDS``.
    :returns: ``Ok`` with a type of :mod:`celeryward.catalog`, or
        ``Err(BadInput)`` with one line for each fault.
    """
    if stored.kind not in NEWEST:
        known = ', '.join(KINDS)
        return _fault(stored, f'kind: unknown; known: {known}')
    if stored.schema_version < 1:
        return _fault(stored, 'schema_version: must be 1 or more')
    newest = NEWEST[stored.kind]
    version = min(stored.schema_version, newest)
    spec = readable_fields(stored, version)
    try:
        ADAPTERS[stored.kind, version].validate_python(spec)
        spec = upgrade(stored.kind, version, newest, spec)
        record = ADAPTERS[stored.kind, newest].validate_python(spec)
        return result.Ok(record.to_catalog(stored.name))
    except pydantic.ValidationError as error:
        return _fault(stored, *map(_describe, error.errors()))
    except ValueError as error:
        return _fault(stored, str(error))


def readable_fields(stored, version):
    """Return the spec without the fields that a reader has to ignore.

    Those are fields unknown to the newest schema in a newer record, and
    fields that a writer adds for the readers of older versions.
    """
    known = field_names(stored.kind, version)
    legacy = legacy_names(stored.kind, version)
    newer = stored.schema_version > version
    return {
        name: value
        for name, value in stored.spec.items()
        if name in known or (not newer and name not in legacy)
    }


def field_names(kind, version):
    """Return the names of the fields of a schema."""
    schema = SCHEMAS.get((kind, version))
    return {field.name for field in dataclasses.fields(schema)}


def legacy_names(kind, version):
    """Return names of fields that only older schemas have."""
    older = set()
    for earlier in range(1, version):
        older |= field_names(kind, earlier)
    return older - field_names(kind, version)


def upgrade(kind, version, wanted, spec):
    """Return a spec in a later version of its kind."""
    for step in range(version, wanted):
        spec = UPGRADES.get((kind, step))(spec)
    return spec


def legacy_fields(kind, version, oldest, spec):
    """Return the fields that readers of older versions need.

    :param int oldest: the oldest version that a reader still knows.
    """
    fields = {}
    for step in range(version, oldest, -1):
        fields |= DOWNGRADES.get((kind, step))({**spec, **fields})
    return fields


def _describe(fault):
    key = '.'.join(str(part) for part in fault['loc'])
    return f'spec.{key}: value {fault["input"]!r:.80}: {fault["msg"]}'


def _fault(stored, *faults):
    source = f'{stored.kind}/{stored.name}'
    message = '\n'.join(f'{source}: {fault}' for fault in faults)
    return result.Err(
        errors.BadInput(message, step='read record', peer=source)
    )
