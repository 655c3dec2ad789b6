"""Selects an endpoint by a pipeline of filters and a ranking.

The filters are generators. The selection is repeated with the current
catalog at each dispatch, retry, resume and cascade step, so that a queued
request can't reach a version that was withdrawn in the meantime.
"""

import dataclasses

import result

from celeryward import calls
from celeryward import catalog
from celeryward.endpoints import prefixes
from celeryward.endpoints import ranking
from celeryward import errors
from celeryward import registry

FILTERS = registry.Registry('candidate filter')
CHAT_PIPELINE = (
    'permitted',
    'not-withdrawn',
    'pinned',
    'live',
    'untried',
    'resumable',
)
SERVICE_PIPELINE = ('allowed-service', 'live', 'untried')


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint and the model version to run; None for services."""

    endpoint: catalog.Endpoint
    version: catalog.ModelVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """A daemon's current state of the endpoints, used by the selection.

    :param str failure_domain: the failure domain of the daemon.
    :param load: :class:`load.LoadView`.
    :param liveness: :class:`liveness.Liveness`.
    :param str ranking: registered name of the ranking.
    :param prefixes: :class:`prefixes.PrefixView`.
    """

    failure_domain: str
    load: object
    liveness: object
    ranking: str = 'prefix-aware'
    prefixes: object = dataclasses.field(default_factory=prefixes.PrefixView)


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The input of one selection.

    :param str model: name of the model or plain service.
    :param str pinned_version: ``model@version`` to which the session is
        pinned; empty for any.
    :param frozenset tried: names of endpoints on which this request has
        failed.
    :param tuple digests: digests of the prompt's prefixes, shortest first.
    :param bool resuming: whether the dispatch resumes an interrupted stream.
    """

    catalog: catalog.Catalog
    call: calls.Call
    model: str
    view: EndpointView
    pinned_version: str = ''
    tried: frozenset = frozenset()
    digests: tuple[int, ...] = ()
    resuming: bool = False


@FILTERS.register('permitted')
def filter_permitted(candidates, query):
    """Keep versions that the customer may use by the current catalog."""
    name = query.call.customer.name
    customer = query.catalog.customers.get(name)
    if customer is None:
        return
    for candidate in candidates:
        if customer.allows(candidate.version):
            yield candidate


@FILTERS.register('not-withdrawn')
def filter_withdrawn(candidates, query):
    """Drop versions that are withdrawn."""
    for candidate in candidates:
        if candidate.version.usable:
            yield candidate


@FILTERS.register('pinned')
def filter_pinned(candidates, query):
    """Keep the version to which the session is pinned, if any."""
    for candidate in candidates:
        if (
            not query.pinned_version
            or candidate.version.name == query.pinned_version
        ):
            yield candidate


@FILTERS.register('live')
def filter_live(candidates, query):
    """Drop endpoints that are suspected or leaving."""
    for candidate in candidates:
        if query.view.liveness.is_live(candidate.endpoint.name):
            yield candidate


@FILTERS.register('untried')
def filter_untried(candidates, query):
    """Drop endpoints on which this request has failed."""
    for candidate in candidates:
        if candidate.endpoint.name not in query.tried:
            yield candidate


@FILTERS.register('allowed-service')
def filter_allowed_service(candidates, query):
    """Keep the endpoints if the customer may call the service now."""
    customer = query.catalog.customers.get(query.call.customer.name)
    if customer is not None and query.model in customer.services:
        yield from candidates


def check_version(current, customer_name, name):
    """Return ``Ok(ModelVersion)`` if the customer may run the version now.

    :param str name: the full name, ``model@version``.
    :returns: ``Err`` with ``VersionUnavailable`` or ``NotPermitted``.
    """
    version = current.versions.get(name)
    if version is None or not version.usable:
        return result.Err(
            errors.VersionUnavailable(
                f'{name} is withdrawn', step='select', peer=name
            )
        )
    customer = current.customers.get(customer_name)
    if customer is None or not customer.allows(version):
        return result.Err(
            errors.NotPermitted.of(customer_name, name, step='select')
        )
    return result.Ok(version)


@FILTERS.register('resumable')
def filter_resumable(candidates, query):
    """Keep endpoints that can resume streams, if the query resumes one."""
    for candidate in candidates:
        if candidate.endpoint.can_resume or not query.resuming:
            yield candidate


def check_service(current, customer_name, name):
    """Return ``Ok(Service)`` if the customer may call the service now.

    :returns: ``Err`` with ``UnknownTarget`` or ``NotPermitted``.
    """
    service = current.services.get(name)
    if service is None:
        return result.Err(
            errors.UnknownTarget(
                f'service {name} was removed', step='select', peer=name
            )
        )
    customer = current.customers.get(customer_name)
    if customer is None or name not in customer.services:
        return result.Err(
            errors.NotPermitted.of(customer_name, name, step='select')
        )
    return result.Ok(service)


def chat_candidates(query):
    """Yield every endpoint of every version of the model."""
    current = query.catalog
    for version in current.versions_by_model.get(query.model, ()):
        for endpoint in current.endpoints_by_version.get(version.name, ()):
            yield Candidate(endpoint, version)


def service_candidates(query):
    """Yield every endpoint of the plain service."""
    endpoints = query.catalog.endpoints_by_service.get(query.model, ())
    for endpoint in endpoints:
        yield Candidate(endpoint)


def select(query):
    """Return the best candidate, or None if there is none."""
    if isinstance(query.call.request, calls.ServiceRequest):
        candidates = service_candidates(query)
        pipeline = SERVICE_PIPELINE
    else:
        candidates = chat_candidates(query)
        pipeline = CHAT_PIPELINE
    for name in pipeline:
        candidates = FILTERS.get(name)(candidates, query)
    remaining = list(candidates)
    if not remaining:
        return None
    return ranking.RANKINGS.get(query.view.ranking)(remaining, query)
