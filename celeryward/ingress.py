"""Routing configuration and message metadata of the reverse proxy.

The proxy routes requests by host and path and forwards them unchanged. The
translator of a platform builds these types from that platform's wire format;
they contain nothing that is specific to a wire format.
"""

from collections import abc
import dataclasses
import enum
import functools


class RouteKind(enum.Enum):
    """Whether requests of a route are idempotent, and whether they stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests to one host and path prefix are forwarded.

    :param float timeout_seconds: upper bound on the time from the request
        to the end of its answer.
    :param float objective_seconds: latency objective, in seconds, for the
        whole answer or for the first event of a stream.
    :param float event_gap_seconds: objective for the longest time between
        two events of a stream.
    :param int max_attempts: upper bound on the endpoints that may run one
        request.
    :param int priority: endpoints serve lower values first.
    :param bool public: whether requests need no API key.
    :param bool resumable: whether another endpoint may resume a stream.
    :param tuple sizes: names of models that may serve a request, smallest
        first; empty if the caller names the model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float = 1.0
    event_gap_seconds: float = 1.0
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    sizes: tuple[str, ...] = ()

    @property
    def eligible_services(self):
        """The services that get requests, because their weight isn't 0."""
        return tuple(each for each in self.weighted_services if each.weight)

    @property
    def retryable(self):
        """Whether a request that may already have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class PricedModel:
    """A model of a service and its price.

    :param float cost: cost units for 1,000 generated tokens; a prompt token
        costs a quarter of a generated one.
    """

    name: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests.

    :param float cold_seconds: time for which an endpoint is cold after its
        start; 0.0 for none.
    :param float cold_per_second: requests a second that a cold endpoint
        sustains; 0.0 for no limit.
    :param tuple faults: descriptions of values that were read as 0.
    """

    name: str
    models: tuple[PricedModel, ...] = ()
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0
    faults: tuple[str, ...] = ()

    def cost_of(self, model):
        """Return the cost of a model; 0.0 if it is not listed."""
        for entry in self.models:
            if entry.name == model:
                return entry.cost
        return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    :param int head_bytes: upper bound on request line and header fields.
    :param int body_bytes: upper bound on the body.
    :param float head_seconds: time in which a head must be complete.
    :param float idle_seconds: time after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its API keys.

    :param int priority: endpoints serve lower values first.
    """

    name: str
    keys: frozenset[str] = frozenset()
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the whole routing configuration.

    :param bool requires_key: whether routes that are not public need an API
        key, also if no customer has one.
    """

    version: int
    requires_key: bool = True
    routes: tuple[Route, ...] = ()
    services: abc.Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()

    @functools.cached_property
    def routes_by_host(self):
        """Routes of each host in lower case, the longest prefix first."""
        grouped = {}
        for route in self.routes:
            grouped.setdefault(route.host.lower(), []).append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return grouped

    @functools.cached_property
    def customer_by_key(self):
        """The customer that each API key belongs to."""
        return {
            key: customer
            for customer in self.customers
            for key in customer.keys
        }

    def match(self, host, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


class ConfigurationHolder:
    """Holds the configuration with the highest version received so far.

    Results of lists, watches and writes may arrive in any order; an older
    version never replaces a newer one within one process. ``listeners`` are
    called with each :class:`Configuration` that comes into force.
    """

    def __init__(self):
        self.current = None
        self.listeners = []

    def accept(self, configuration):
        """Apply a configuration if it is newer; return whether it was."""
        previous = self.current
        if previous is not None and configuration.version <= previous.version:
            return False
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which endpoints may have in their prefix caches.

    :param str id: identifies the prompt up to the end of this part; two
        requests have the same id here if all parts so far are equal.
    :param int tokens: number of tokens in this part.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the head of a request says.

    :param str request_id: identifies one attempt of the caller.
    :param float | None timeout_seconds: timeout that the caller sets.
    :param str key: API key of the caller; empty if there is none.
    :param str session: session id of the caller; empty if there is none.
    :param str model: the model that the caller names.
    :param bool any_model: whether the router may choose the model.
    :param int prompt_tokens: number of tokens in the prompt.
    :param int max_tokens: upper bound on generated tokens.
    :param int expected_tokens: the caller's estimate of generated tokens.
    :param tuple prompt_parts: parts of the prompt, in order.
    :param int last_event_id: id of the last event that the caller has
        received; 0 if none.
    :param frozenset attempt_fields: lower-case names of the header fields
        that the caller sets anew for each attempt, or the router.
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
    attempt_fields: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the head of an endpoint's answer says.

    :param str request_id: id of the request that it answers; empty if the
        answer has no id.
    :param bool not_run: whether the endpoint states that it did not run the
        request.
    :param bool misdirected: whether the address now belongs to another
        endpoint.
    :param bool sealed: whether the answer has the endpoint's signature.
    :param bool encoded: whether the body has a content coding, although none
        was requested.
    :param float | None confidence: the model's confidence in its answer, 0
        to 1.
    :param float | None keep_alive_seconds: how long the endpoint keeps an
        idle connection open.
    :param bool leaving: whether the endpoint says that it leaves, so that it
        must get no more requests.
    :param str retry_after: for how long it wants no requests, as sent; empty
        if it does not say so.
    :param float | None cold_seconds: for how long it stays cold; None if that
        can't be read.
    """

    request_id: str = ''
    not_run: bool = False
    misdirected: bool = False
    sealed: bool = False
    encoded: bool = False
    confidence: float | None = None
    keep_alive_seconds: float | None = None
    leaving: bool = False
    retry_after: str = ''
    cold_seconds: float | None = 0.0
