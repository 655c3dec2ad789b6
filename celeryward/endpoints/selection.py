"""Selection of an endpoint for a request that is passed on unchanged.

A pipeline of generators, like :mod:`celeryward.endpoints.candidates`, which
runs again at each dispatch with the newest state.
"""

import dataclasses

from celeryward.endpoints import ranking
from celeryward.endpoints import runners
from celeryward import hashing
from celeryward import registry

FILTERS = registry.Registry('endpoint filter')
PIPELINE = ('software', 'model', 'untried', 'unsuspected')
# An endpoint is passed over as home if it runs this many times as many of
# the own requests as the average, and more than the slack.
HOME_LOAD_FACTOR = 1.5
HOME_LOAD_SLACK = 2.0
# A request at another failure domain counts like this many in flight.
REMOTE_LOAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """One selection.

    :param tuple endpoints: all :class:`runners.Runner` of the service.
    :param str software: software version to use; empty for any.
    :param str model: model that the endpoint has to serve; empty for any.
    :param str affinity: requests with the same affinity share a cache;
        empty for none.
    :param frozenset tried: ids of endpoints that failed this request.
    :param frozenset suspects: ids of endpoints that are better avoided.
    :param in_flight: own requests in flight, by id.
    """

    endpoints: tuple[runners.Runner, ...]
    failure_domain: str
    software: str = ''
    model: str = ''
    affinity: str = ''
    tried: frozenset = frozenset()
    suspects: frozenset = frozenset()
    in_flight: object = dataclasses.field(default_factory=dict)


@FILTERS.register('software')
def filter_software(found, query):
    """Keep the software version that was chosen."""
    for runner in found:
        if not query.software or runner.software == query.software:
            yield runner


@FILTERS.register('model')
def filter_model(found, query):
    """Keep endpoints that serve the model, or that name no models."""
    for runner in found:
        if not (query.model and runner.models) or query.model in runner.models:
            yield runner


@FILTERS.register('untried')
def filter_untried(found, query):
    """Drop endpoints that have failed this request."""
    for runner in found:
        if runner.id not in query.tried:
            yield runner


@FILTERS.register('unsuspected')
def filter_unsuspected(found, query):
    """Drop suspects, unless there is nothing else."""
    kept = tuple(found)
    sound = [runner for runner in kept if runner.id not in query.suspects]
    yield from sound or kept


def select(query):
    """Return the endpoint to send to, or None if there is none."""
    found = iter(query.endpoints)
    for name in PIPELINE:
        found = FILTERS.get(name)(found, query)
    found = list(found)
    if not found:
        return None
    name = 'bounded-home' if query.affinity else 'fewest-in-flight'
    return ranking.RANKINGS.get(name)(found, query)


@ranking.RANKINGS.register('bounded-home')
def rank_bounded_home(found, query):
    """Choose the home of the affinity that is not much busier than others.

    Every router orders the endpoints alike, so that a cached prefix is
    found again without any messages.
    """
    ordered = sorted(found, key=lambda each: home_weight(each, query))
    load = [query.in_flight.get(each.id, 0) for each in ordered]
    bound = HOME_LOAD_SLACK + HOME_LOAD_FACTOR * sum(load) / len(load)
    for runner, running in zip(ordered, load, strict=True):
        if running <= bound:
            return runner
    return ordered[0]


def home_weight(runner, query):
    """Return the place of an endpoint in the order of an affinity."""
    return hashing.place(f'{query.affinity}\0{runner.id}')


@ranking.RANKINGS.register('fewest-in-flight')
def rank_fewest_in_flight(found, query):
    """Choose the fewest own requests in flight; near ones first."""

    def key(runner):
        remote = runner.failure_domain != query.failure_domain
        load = query.in_flight.get(runner.id, 0) + REMOTE_LOAD * remote
        return load / max(1, runner.slots), ranking.GENERATOR.random()

    return min(found, key=key)
