"""Frozen types of the configuration, and a snapshot of what is in effect."""

from collections import abc
import dataclasses
import enum
import functools
import types


class VersionState(enum.Enum):
    """State of a model version in its life cycle."""

    STAGED = 'staged'
    LIVE = 'live'
    WITHDRAWN = 'withdrawn'


class RolloutState(enum.Enum):
    """State of a rollout in its life cycle."""

    RUNNING = 'running'
    HALTED = 'halted'
    FINISHED = 'finished'


class Fencing(enum.Enum):
    """Whether an endpoint refuses orders with an outdated fencing number."""

    ENFORCED = 'enforced'
    IGNORED = 'ignored'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHash:
    """Salted SHA-256 hash of a customer's API key, in hexadecimal."""

    salt: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one customer, for all daemons together.

    :param float requests_per_s: sustained request rate; 0 means no limit.
    :param int concurrent: concurrent requests; 0 means no limit.
    :param float cost_per_day: cost units per day; 0 means no limit.
    """

    requests_per_s: float = 0.0
    concurrent: int = 0
    cost_per_day: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer: credentials, permissions, limits and priority.

    :param tuple allowed: names of models, or ``model@version``.
    :param tuple services: names of the plain services that it may use.
    :param int priority: requests with a higher priority are served first.
    :param float quality_target: mean score that the answers of cascades must
        reach; the higher target of customer and cascade applies.
    """

    name: str
    key_hashes: tuple[KeyHash, ...] = ()
    allowed: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    limits: Limits = Limits()
    priority: int = 0
    quality_target: float = 0.8

    def allows(self, version):
        """Return whether the customer may use a :class:`ModelVersion`."""
        return version.model in self.allowed or version.name in self.allowed

    def allows_model(self, model):
        """Return whether the model, or a version of it, is allowed.

        The version need not exist.
        """
        prefix = f'{model}@'
        return any(
            entry == model or entry.startswith(prefix)
            for entry in self.allowed
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ModelVersion:
    """One version of a model.

    :param float prompt_cost: cost units for 1,000 prompt tokens.
    :param float answer_cost: cost units for 1,000 generated tokens.
    :param float live_since: UTC seconds at which it became live. Without a
        rollout, new sessions begin on the version that has been live
        longest.
    """

    model: str
    version: str
    state: VersionState = VersionState.LIVE
    prompt_cost: float = 0.0
    answer_cost: float = 0.0
    live_since: float = 0.0

    @property
    def name(self):
        """The full name, ``model@version``."""
        return f'{self.model}@{self.version}'

    @property
    def usable(self):
        """Whether the version may receive new requests."""
        return self.state is not VersionState.WITHDRAWN

    def cost(self, prompt_tokens, answer_tokens):
        """Return the cost of one run in cost units."""
        prompt = prompt_tokens * self.prompt_cost
        answer = answer_tokens * self.answer_cost
        return (prompt + answer) / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Cascade:
    """A model cascade: models of increasing cost under one name.

    :param tuple tiers: names of models, cheapest first.
    :param str rule: registered name of the rule that selects the tiers.
    :param float quality_target: mean score that the answers must reach.
    """

    name: str
    tiers: tuple[str, ...]
    rule: str = 'threshold'
    quality_target: float = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A gradual change from one version of a model to another.

    :param float share: share of new sessions on the new version, 0 to 1.
    :param float finished_at: UTC seconds at which it finished; 0 until then.
    """

    name: str
    model: str
    from_version: str
    to_version: str
    share: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    finished_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service: an HTTP service that is not a model.

    :param tuple idempotent_methods: methods whose requests may be retried.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An address that serves model versions or plain services.

    :param tuple serves: ``model@version`` names.
    :param tuple services: names of plain services.
    :param int capacity: requests that it processes concurrently.
    :param bool can_resume: whether it can continue an interrupted stream.
    :param Fencing fencing: whether it enforces fencing numbers.
    """

    name: str
    host: str
    port: int
    failure_domain: str
    serves: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    capacity: int = 8
    can_resume: bool = False
    fencing: Fencing = Fencing.IGNORED

    @property
    def address(self):
        """The address as ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLevel:
    """Service level objectives of a customer.

    :param str name: name of the customer, or ``default``.
    :param float availability: share of requests served without a failure.
    :param float in_time: share of requests whose first token is in time.
    :param float first_token_seconds: time limit of the first token.
    """

    name: str = 'default'
    availability: float = 0.999
    in_time: float = 0.95
    first_token_seconds: float = 0.75


DEFAULT_SERVICE_LEVEL = ServiceLevel()


def _empty_mapping():
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True)
class Catalog:
    """All configuration in effect at one revision, by name."""

    revision: int = 0
    customers: abc.Mapping[str, Customer] = dataclasses.field(
        default_factory=_empty_mapping
    )
    versions: abc.Mapping[str, ModelVersion] = dataclasses.field(
        default_factory=_empty_mapping
    )
    cascades: abc.Mapping[str, Cascade] = dataclasses.field(
        default_factory=_empty_mapping
    )
    rollouts: abc.Mapping[str, Rollout] = dataclasses.field(
        default_factory=_empty_mapping
    )
    services: abc.Mapping[str, Service] = dataclasses.field(
        default_factory=_empty_mapping
    )
    endpoints: abc.Mapping[str, Endpoint] = dataclasses.field(
        default_factory=_empty_mapping
    )

    service_levels: abc.Mapping[str, ServiceLevel] = dataclasses.field(
        default_factory=_empty_mapping
    )

    def service_level(self, customer):
        """Return the service level of a customer, or the default one."""
        fallback = self.service_levels.get('default', DEFAULT_SERVICE_LEVEL)
        return self.service_levels.get(customer, fallback)

    @functools.cached_property
    def versions_by_model(self):
        """Versions of each model, as tuples sorted by version."""
        grouped = {}
        for version in self.versions.values():
            grouped.setdefault(version.model, []).append(version)
        return {
            model: tuple(sorted(versions, key=lambda entry: entry.version))
            for model, versions in grouped.items()
        }

    @functools.cached_property
    def endpoints_by_version(self):
        """Endpoints of each ``model@version``, as tuples."""
        return _group_endpoints(self.endpoints.values(), 'serves')

    @functools.cached_property
    def endpoints_by_service(self):
        """Endpoints of each plain service, as tuples."""
        return _group_endpoints(self.endpoints.values(), 'services')

    @functools.cached_property
    def rollouts_by_model(self):
        """Rollouts of each model as tuples, in the order they finished.

        A rollout that has not finished has ``finished_at`` 0 and comes
        first.
        """
        grouped = {}
        for rollout in sorted(
            self.rollouts.values(),
            key=lambda entry: (entry.finished_at, entry.name),
        ):
            grouped.setdefault(rollout.model, []).append(rollout)
        return {model: tuple(found) for model, found in grouped.items()}

    @functools.cached_property
    def customers_by_key_hash(self):
        """Pairs of key hash and customer, for authentication."""
        return tuple(
            (key_hash, customer)
            for customer in self.customers.values()
            for key_hash in customer.key_hashes
        )


def _group_endpoints(endpoints, attribute):
    grouped = {}
    for endpoint in endpoints:
        for name in getattr(endpoint, attribute):
            grouped.setdefault(name, []).append(endpoint)
    return {name: tuple(found) for name, found in grouped.items()}
