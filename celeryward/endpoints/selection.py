"""Selects the endpoint for a request that is forwarded unchanged.

The filters form a pipeline of generators, as in
:mod:`celeryward.endpoints.candidates`. The selection is repeated at each
dispatch with the current state.
"""

import dataclasses

from celeryward.endpoints import ranking
from celeryward.endpoints import runners
from celeryward import hashing
from celeryward import registry

FILTERS = registry.Registry('endpoint filter')
# Endpoints that could run the request, now or later.
ELIGIBLE_PIPELINE = ('undrained', 'software', 'model', 'untried')
# The preference for warm endpoints comes last, so that a cold one is used if
# the warm ones are closed, too late or suspected.
PIPELINE = (
    *ELIGIBLE_PIPELINE,
    'open',
    'in-time',
    'unsuspected',
    'returned',
    'warmed-up',
)
# Endpoints that all routers prefer for a prompt prefix, in the same order.
PREFERRED_ENDPOINTS = 2
# A preferred endpoint is skipped if it has more requests of this router in
# flight than the slack plus this many times the average.
LOAD_BOUND_FACTOR = 1.5
LOAD_BOUND_SLACK = 2.0
# It is also skipped if its queue is longer than the shortest one by more than
# this, which is about what a cached prefix saves.
MAX_EXTRA_QUEUE_SECONDS = 0.2
# What each of this router's requests in flight adds to the expected delay.
IN_FLIGHT_SECONDS = 0.05
# An endpoint in another failure domain counts as having this many more
# requests in flight.
REMOTE_PENALTY = 0.5


def no_queue(runner_id):
    """Return 0.0, the wait at an endpoint without a queue."""
    return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The input of one selection.

    :param tuple endpoints: all :class:`runners.Runner` of the service.
    :param str failure_domain: the failure domain of this router.
    :param str software: software version to use; empty for any.
    :param str model: model that the endpoint has to serve; empty for any.
    :param str affinity: affinity key; requests with the same key share a
        cached prefix. Empty for none.
    :param frozenset tried: ids of endpoints on which this request has failed.
    :param frozenset closed: ids of endpoints that may get no request now.
    :param frozenset too_late: ids of endpoints at which the request would not
        start before its deadline.
    :param frozenset suspects: ids of endpoints to avoid if there are others.
    :param in_flight: number of this router's requests in flight, by id
        of the endpoint.
    :param queue_seconds: function that returns the estimated wait in the queue
        of an endpoint by its id.
    :param frozenset drained: failure domains whose endpoints get nothing.
    :param frozenset avoided: failure domains to avoid if there are others.
    :param frozenset deferred: ids of endpoints that are cold, or were lately.
    """

    endpoints: tuple[runners.Runner, ...]
    failure_domain: str
    software: str = ''
    model: str = ''
    affinity: str = ''
    tried: frozenset = frozenset()
    closed: frozenset = frozenset()
    too_late: frozenset = frozenset()
    suspects: frozenset = frozenset()
    in_flight: object = dataclasses.field(default_factory=dict)
    queue_seconds: object = no_queue
    drained: frozenset = frozenset()
    avoided: frozenset = frozenset()
    deferred: frozenset = frozenset()


@FILTERS.register('undrained')
def filter_undrained(candidates, query):
    """Drop endpoints in drained failure domains, even if all are."""
    if not query.drained:
        return candidates
    return (
        runner
        for runner in candidates
        if runner.failure_domain not in query.drained
    )


@FILTERS.register('software')
def filter_software(candidates, query):
    """Keep endpoints of the requested software version, if any."""
    for runner in candidates:
        if not query.software or runner.software == query.software:
            yield runner


@FILTERS.register('model')
def filter_model(candidates, query):
    """Keep endpoints that serve the model or that list no models."""
    for runner in candidates:
        if not (query.model and runner.models) or query.model in runner.models:
            yield runner


@FILTERS.register('untried')
def filter_untried(candidates, query):
    """Drop endpoints on which this request has failed."""
    for runner in candidates:
        if runner.id not in query.tried:
            yield runner


@FILTERS.register('open')
def filter_open(candidates, query):
    """Drop endpoints that want no requests now, even if all are closed."""
    for runner in candidates:
        if runner.id not in query.closed:
            yield runner


@FILTERS.register('in-time')
def filter_in_time(candidates, query):
    """Drop endpoints that would not start the request in time."""
    for runner in candidates:
        if runner.id not in query.too_late:
            yield runner


@FILTERS.register('unsuspected')
def filter_unsuspected(candidates, query):
    """Drop suspected endpoints, unless all are suspected."""
    remaining = tuple(candidates)
    healthy = [
        runner for runner in remaining if runner.id not in query.suspects
    ]
    yield from healthy or remaining


@FILTERS.register('returned')
def filter_returned(candidates, query):
    """Drop endpoints that the request has not returned to after a drain.

    They are kept if there are no others.
    """
    if not query.avoided:
        return candidates
    remaining = tuple(candidates)
    returned = [
        runner
        for runner in remaining
        if runner.failure_domain not in query.avoided
    ]
    return iter(returned or remaining)


@FILTERS.register('warmed-up')
def filter_warmed_up(candidates, query):
    """Drop cold endpoints, unless each other one has a queue."""
    remaining = tuple(candidates)
    warm = [each for each in remaining if each.id not in query.deferred]
    waits = (query.queue_seconds(each.id) for each in warm)
    if len(warm) < len(remaining) and any(
        wait <= MAX_EXTRA_QUEUE_SECONDS for wait in waits
    ):
        yield from warm
    else:
        yield from remaining


def select(query):
    """Return the endpoint for the request, or None if there is none."""
    candidates = list(apply_filters(PIPELINE, query))
    if not candidates:
        return None
    name = 'preferred-endpoints' if query.affinity else 'fewest-in-flight'
    return ranking.RANKINGS.get(name)(candidates, query)


def eligible(query):
    """Return the endpoints that could run the request, now or later."""
    return tuple(apply_filters(ELIGIBLE_PIPELINE, query))


def apply_filters(pipeline, query):
    """Return an iterable of the endpoints that pass all named filters."""
    candidates = iter(query.endpoints)
    for name in pipeline:
        candidates = FILTERS.get(name)(candidates, query)
    return candidates


@ranking.RANKINGS.register('preferred-endpoints')
def rank_preferred_endpoints(candidates, query):
    """Choose the first preferred endpoint that is not busy.

    Every router computes the same order of endpoints for an affinity key by
    rendezvous hashing, so that requests reach a cached prefix without
    coordination. If the preferred ones are busy, requests spread over the
    others: many routers that chose the best of these would choose the same.
    """
    ordered = sorted(candidates, key=lambda each: rendezvous_hash(each, query))
    load = [query.in_flight.get(each.id, 0) for each in ordered]
    bound = LOAD_BOUND_SLACK + LOAD_BOUND_FACTOR * sum(load) / len(load)
    waits = [query.queue_seconds(each.id) for each in ordered]
    longest = min(waits) + MAX_EXTRA_QUEUE_SECONDS
    preferred = list(zip(ordered, load, waits, strict=True))
    for runner, running, wait in preferred[:PREFERRED_ENDPOINTS]:
        if running <= bound and wait <= longest:
            return runner
    return better_of_two(ordered[PREFERRED_ENDPOINTS:] or ordered, query)


def better_of_two(candidates, query):
    """Return the one of two random candidates with the shorter delay."""
    sampled = ranking.GENERATOR.sample(candidates, min(2, len(candidates)))
    return min(
        sampled,
        key=lambda each: (
            query.queue_seconds(each.id)
            + IN_FLIGHT_SECONDS * query.in_flight.get(each.id, 0)
        ),
    )


def rendezvous_hash(runner, query):
    """Return the rendezvous hash of an affinity key and an endpoint."""
    return hashing.unit_hash(f'{query.affinity}\0{runner.id}')


@ranking.RANKINGS.register('fewest-in-flight')
def rank_fewest_in_flight(candidates, query):
    """Choose the lowest number of own requests in flight for each slot.

    Endpoints in other failure domains carry a penalty.
    """

    def key(runner):
        remote = runner.failure_domain != query.failure_domain
        load = query.in_flight.get(runner.id, 0) + REMOTE_PENALTY * remote
        return load / max(1, runner.slots), ranking.GENERATOR.random()

    return min(candidates, key=key)
