"""Versioned schemas of records, and their conversion to catalog types.

A spec is validated against the schema of its own version, or against the
newest known one if the record is newer. It is then upgraded one version at a
time to the newest known version. An upgrade converts only the fields that a
spec contains, so that writing a spec of an old version changes only the
fields that this version has.
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

NEWEST_VERSIONS = {
    'Customer': 2,
    'ModelVersion': 2,
    'Cascade': 1,
    'Rollout': 1,
    'Service': 1,
    'Endpoint': 1,
    'ServiceLevel': 1,
}
KINDS = tuple(NEWEST_VERSIONS)

STRICT = pydantic.ConfigDict(extra='forbid', frozen=True)

Names = tuple[str, ...]
Share = pydantic.confloat(ge=0.0, le=1.0)
NonNegative = pydantic.confloat(ge=0.0)
Count = pydantic.conint(ge=0)
Port = pydantic.conint(ge=1, le=65535)
Objective = pydantic.confloat(ge=0.0, lt=1.0)
Seconds = pydantic.confloat(gt=0.0, le=3600.0)
FailureDomain = pydantic.constr(min_length=1)
VersionName = pydantic.constr(pattern='^[^@/]+@[^@/]+$')


@SCHEMAS.register(('Customer', 1))
@dataclasses.dataclass(frozen=True)
class CustomerV1:
    """First schema: a single rate limit and no cost budget."""

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
    """Second schema: a group of limits on rate, concurrency and cost."""

    __pydantic_config__ = STRICT

    allowed: Names = ()
    services: Names = ()
    key_hashes: tuple[catalog.KeyHash, ...] = ()
    limits: catalog.Limits = catalog.Limits()
    priority: int = 0
    quality_target: Share = 0.8

    def to_catalog(self, name):
        """Return the :class:`catalog.Customer` with a name."""
        return catalog.Customer(name=name, **_fields(self))


@UPGRADES.register(('Customer', 1))
def upgrade_customer(spec):
    """Move the rate limit into the group of limits."""
    upgraded = dict(spec)
    if 'requests_per_s' in upgraded:
        rate = upgraded.pop('requests_per_s')
        upgraded['limits'] = {'requests_per_s': rate}
    return upgraded


@DOWNGRADES.register(('Customer', 2))
def downgrade_customer(spec):
    """Return the rate limit as a field of its own."""
    limits = spec.get('limits', {})
    return {'requests_per_s': limits.get('requests_per_s', 0.0)}


@SCHEMAS.register(('ModelVersion', 1))
@dataclasses.dataclass(frozen=True)
class ModelVersionV1:
    """First schema: the same cost for prompt and generated tokens."""

    __pydantic_config__ = STRICT

    model: str
    version: str
    state: catalog.VersionState = catalog.VersionState.LIVE
    token_cost: NonNegative = 0.0


@SCHEMAS.register(('ModelVersion', 2))
@dataclasses.dataclass(frozen=True)
class ModelVersionV2:
    """Second schema: separate costs of prompt and generated tokens."""

    __pydantic_config__ = STRICT

    model: str
    version: str
    state: catalog.VersionState = catalog.VersionState.LIVE
    prompt_cost: NonNegative = 0.0
    answer_cost: NonNegative = 0.0
    live_since: NonNegative = 0.0

    def to_catalog(self, name):
        """Return the :class:`catalog.ModelVersion` with a name.

        :raises ValueError: if the name is not ``model@version``.
        """
        version = catalog.ModelVersion(**_fields(self))
        if version.name != name:
            raise ValueError(
                f'name must be {version.name!r} to match model and version'
            )
        return version


@UPGRADES.register(('ModelVersion', 1))
def upgrade_model_version(spec):
    """Copy the single cost to prompt and generated tokens."""
    upgraded = dict(spec)
    if 'token_cost' in upgraded:
        cost = upgraded.pop('token_cost')
        upgraded['prompt_cost'] = cost
        upgraded['answer_cost'] = cost
    return upgraded


@DOWNGRADES.register(('ModelVersion', 2))
def downgrade_model_version(spec):
    """Return the higher cost, so that an old reader never bills too little.

    Besides billing, an old reader uses the costs only to order models.
    """
    costs = (spec.get('prompt_cost', 0.0), spec.get('answer_cost', 0.0))
    return {'token_cost': max(costs)}


@SCHEMAS.register(('Cascade', 1))
@dataclasses.dataclass(frozen=True)
class CascadeV1:
    """Models from the cheapest to the most capable, under one name."""

    __pydantic_config__ = STRICT

    tiers: typing.Annotated[Names, pydantic.Field(min_length=1)]
    rule: str = 'threshold'
    quality_target: Share = 0.8

    def to_catalog(self, name):
        """Return the :class:`catalog.Cascade` with a name."""
        return catalog.Cascade(name=name, **_fields(self))


@SCHEMAS.register(('Rollout', 1))
@dataclasses.dataclass(frozen=True)
class RolloutV1:
    """The replacement of one version of a model by another."""

    __pydantic_config__ = STRICT

    model: str
    from_version: str
    to_version: str
    share: Share = 0.0
    state: catalog.RolloutState = catalog.RolloutState.RUNNING
    finished_at: NonNegative = 0.0

    def to_catalog(self, name):
        """Return the :class:`catalog.Rollout` with a name."""
        return catalog.Rollout(name=name, **_fields(self))


@SCHEMAS.register(('Service', 1))
@dataclasses.dataclass(frozen=True)
class ServiceV1:
    """An HTTP service without models, and its idempotent methods."""

    __pydantic_config__ = STRICT

    idempotent_methods: Names = ('GET', 'HEAD')

    def to_catalog(self, name):
        """Return the :class:`catalog.Service` with a name."""
        return catalog.Service(name=name, **_fields(self))


@SCHEMAS.register(('Endpoint', 1))
@dataclasses.dataclass(frozen=True)
class EndpointV1:
    """An address that serves model versions or HTTP services."""

    __pydantic_config__ = STRICT

    host: str
    port: Port
    failure_domain: FailureDomain
    serves: tuple[VersionName, ...] = ()
    services: Names = ()
    capacity: Count = 8
    can_resume: bool = False
    fencing: catalog.Fencing = catalog.Fencing.IGNORED

    def to_catalog(self, name):
        """Return the :class:`catalog.Endpoint` with a name."""
        return catalog.Endpoint(name=name, **_fields(self))


@SCHEMAS.register(('ServiceLevel', 1))
@dataclasses.dataclass(frozen=True)
class ServiceLevelV1:
    """Service level objectives of the customer with the same name.

    The record ``default`` applies to customers without one.
    """

    __pydantic_config__ = STRICT

    availability: Objective = 0.999
    in_time: Objective = 0.95
    first_token_seconds: Seconds = 0.75

    def to_catalog(self, name):
        """Return the :class:`catalog.ServiceLevel` with a name."""
        return catalog.ServiceLevel(name=name, **_fields(self))


def _fields(record):
    return {
        field.name: getattr(record, field.name)
        for field in dataclasses.fields(record)
    }


TYPE_ADAPTERS = {
    key: pydantic.TypeAdapter(schema)
    for key, schema in SCHEMAS.entries.items()
}


def read(stored):
    """Decode a stored object into a type of the catalog.

    :param protocol.StoredObject stored: object of a kind in ``KINDS``.
    :returns: ``Ok`` with a type of :mod:`celeryward.catalog`, or
        ``Err(BadInput)`` with one line for each error.
    """
    if stored.kind not in NEWEST_VERSIONS:
        known = ', '.join(KINDS)
        return _bad_input(stored, f'kind: unknown; known: {known}')
    if stored.schema_version < 1:
        return _bad_input(stored, 'schema_version: must be 1 or more')
    newest = NEWEST_VERSIONS[stored.kind]
    version = min(stored.schema_version, newest)
    spec = readable_fields(stored, version)
    try:
        TYPE_ADAPTERS[stored.kind, version].validate_python(spec)
        spec = upgrade(stored.kind, version, newest, spec)
        record = TYPE_ADAPTERS[stored.kind, newest].validate_python(spec)
        return result.Ok(record.to_catalog(stored.name))
    except pydantic.ValidationError as error:
        return _bad_input(stored, *map(_describe, error.errors()))
    except ValueError as error:
        return _bad_input(stored, str(error))


def readable_fields(stored, version):
    """Return the spec without the fields that a reader has to ignore.

    These are, in a newer record, the fields that the newest known schema
    does not have and, in any record, the fields of older schemas that a
    writer adds for old readers.
    """
    known = field_names(stored.kind, version)
    legacy = legacy_field_names(stored.kind, version)
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


def legacy_field_names(kind, version):
    """Return the names of the fields that only older schemas have."""
    older = set()
    for earlier in range(1, version):
        older |= field_names(kind, earlier)
    return older - field_names(kind, version)


def upgrade(kind, version, target_version, spec):
    """Return a spec converted to a later version of its kind."""
    for step in range(version, target_version):
        spec = UPGRADES.get((kind, step))(spec)
    return spec


def legacy_fields(kind, version, oldest, spec):
    """Return the fields that readers of older versions need.

    :param int oldest: the newest version that the oldest reader knows.
    """
    fields = {}
    for step in range(version, oldest, -1):
        fields |= DOWNGRADES.get((kind, step))({**spec, **fields})
    return fields


def _describe(problem):
    key = '.'.join(str(part) for part in problem['loc'])
    return f'spec.{key}: value {problem["input"]!r:.80}: {problem["msg"]}'


def _bad_input(stored, *problems):
    source = f'{stored.kind}/{stored.name}'
    message = '\n'.join(f'{source}: {problem}' for problem in problems)
    return result.Err(
        errors.BadInput(message, step='read record', peer=source)
    )
