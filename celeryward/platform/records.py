"""Declared records: schemas by kind and version, read into catalog types.

A record is decoded by the schema of its own version, or by the newest known
one if the record is newer, and then upgraded step by step to the newest
known version. Fields that this reader does not know stay in the stored
object, and :func:`merge` keeps them when the object is written again.
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

NEWEST = {
    'Customer': 2,
    'ModelVersion': 2,
    'Cascade': 1,
    'Rollout': 1,
    'Service': 1,
    'Endpoint': 1,
}
KINDS = tuple(NEWEST)

STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)

Names = tuple[str, ...]
Share = pydantic.confloat(ge=0.0, le=1.0)
NonNegative = pydantic.confloat(ge=0.0)
Count = pydantic.conint(ge=0)
Port = pydantic.conint(ge=1, le=65535)
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
def upgrade_customer(record):
    """Move the flat rate limit into the group of limits."""
    fields = _fields(record)
    rate = fields.pop('requests_per_s')
    return CustomerV2(limits=catalog.Limits(requests_per_s=rate), **fields)


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
def upgrade_model_version(record):
    """Use the one cost for prompt and generated tokens."""
    return ModelVersionV2(
        model=record.model,
        version=record.version,
        state=record.state,
        prompt_cost=record.token_cost,
        answer_cost=record.token_cost,
    )


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
    known_version = min(stored.schema_version, NEWEST[stored.kind])
    newer = stored.schema_version > known_version
    schema = SCHEMAS.get((stored.kind, known_version))
    spec = known_fields(schema, stored.spec) if newer else stored.spec
    try:
        record = ADAPTERS[stored.kind, known_version].validate_python(spec)
        record = upgrade(stored.kind, known_version, record)
        return result.Ok(record.to_catalog(stored.name))
    except pydantic.ValidationError as error:
        faults = [
            f'spec.{".".join(str(part) for part in fault["loc"])}: '
            f'value {fault["input"]!r:.80}: {fault["msg"]}'
            for fault in error.errors()
        ]
        return _fault(stored, *faults)
    except ValueError as error:
        return _fault(stored, str(error))


def known_fields(schema, spec):
    """Return the part of a spec that the schema knows."""
    names = {field.name for field in dataclasses.fields(schema)}
    return {name: value for name, value in spec.items() if name in names}


def upgrade(kind, version, record):
    """Return the record in the newest known version of its kind."""
    while version < NEWEST[kind]:
        record = UPGRADES.get((kind, version))(record)
        version += 1
    return record


def merge(stored, changed):
    """Return a spec with changed fields that loses no other field.

    :param dict stored: spec as stored, maybe by a newer writer.
    :param dict changed: fields to replace; dictionaries merge.
    """
    merged = dict(stored)
    for name, value in changed.items():
        before = merged.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            value = merge(before, value)
        merged[name] = value
    return merged


def _fault(stored, *faults):
    source = f'{stored.kind}/{stored.name}'
    message = '\n'.join(f'{source}: {fault}' for fault in faults)
    return result.Err(
        errors.BadInput(message, step='read record', peer=source)
    )
