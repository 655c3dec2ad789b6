"""Configuration of requests that are routed by host and path.

Front ends that pass any request on unchanged share these types. They are
built by the translator of a front end, and name nothing of its wire.
"""

from collections import abc
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """What a route carries and how often it may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    :param float timeout_seconds: longest time that a caller is kept waiting.
    :param float objective_seconds: time to the answer, or to the first
        event of a stream, within which it has its full worth.
    :param float event_gap_seconds: longest pause between events of a stream
        that is still on time.
    :param int max_attempts: endpoints that may run one request.
    :param bool public: whether callers need no key.
    :param bool resumable: whether a stream may go on at another endpoint.
    :param tuple sizes: names of models that may serve it, smallest first;
        empty if the caller names the model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout_seconds: float
    objective_seconds: float = 1.0
    event_gap_seconds: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    sizes: tuple[str, ...] = ()

    @property
    def retryable(self):
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class PricedModel:
    """A model of a service.

    :param float cost: cost units for 1,000 generated tokens; a prompt token
        counts as a quarter of a generated one.
    """

    name: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests."""

    name: str
    models: tuple[PricedModel, ...] = ()

    def cost_of(self, model):
        """Return the cost of a model, 0.0 if it has none."""
        for entry in self.models:
            if entry.name == model:
                return entry.cost
        return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer by its keys."""

    name: str
    keys: frozenset[str] = frozenset()
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All configuration in force at one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: abc.Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()

    @functools.cached_property
    def routes_by_host(self):
        """Routes of each host, the longest prefix first."""
        grouped = {}
        for route in self.routes:
            grouped.setdefault(route.host.lower(), []).append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return grouped

    @functools.cached_property
    def customer_by_key(self):
        """The customer that holds each key."""
        return {
            key: customer
            for customer in self.customers
            for key in customer.keys
        }

    def match(self, host, path):
        """Return the route with the longest prefix of the path, or None."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class ConfigurationHolder:
    """Keeps the configuration with the highest version.

    Lists, watches and answers to writes may arrive in any order; an older
    version never replaces a newer one within one process.
    """

    def __init__(self):
        self.current = None

    def accept(self, configuration):
        """Take over a configuration; return whether it was newer."""
        held = self.current
        if held is not None and configuration.version <= held.version:
            return False
        self.current = configuration
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    :param str id: the same for equal parts after equal parts.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the head of a request asks for.

    :param str request_id: names one attempt of the caller.
    :param float | None timeout_seconds: how long the caller waits.
    :param str model: the model that the caller named.
    :param bool any_model: whether the caller leaves the model to the router.
    :param int max_tokens: upper bound on generated tokens.
    :param int expected_tokens: the caller's estimate of generated tokens.
    :param int last_event_id: last event that the caller already has.
    """

    request_id: str
    timeout_seconds: float | None = None
    key: str = ''
    session: str = ''
    model: str = ''
    any_model: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of an endpoint's answer says.

    :param str request_id: the request that it answers, empty if unsaid.
    :param bool not_run: whether the endpoint certifies that it did not run.
    :param bool misdirected: whether another endpoint has the address.
    :param bool sealed: whether it carries the endpoint's signature.
    :param bool encoded: whether the body is in an encoding that was not
        asked for.
    :param float | None confidence: the model's own opinion, 0 to 1.
    :param float | None keep_alive_seconds: how long the endpoint keeps the
        connection when idle.
    """

    request_id: str = ''
    not_run: bool = False
    misdirected: bool = False
    sealed: bool = False
    encoded: bool = False
    confidence: float | None = None
    keep_alive_seconds: float | None = None
