"""Orders of candidates; the lowest key is chosen."""

import random

from celeryward import registry

RANKINGS = registry.Registry('ranking')


@RANKINGS.register('least-load')
def rank_least_load(candidate, query):
    """Prefer the own failure domain until it is full, then low load."""
    endpoint = candidate.endpoint
    load = query.view.load.estimate(endpoint)
    remote = endpoint.failure_domain != query.view.failure_domain
    full = load >= 1.0
    return (full, remote, load, endpoint.name)


@RANKINGS.register('random')
def rank_random(candidate, query):
    """Choose at random; a baseline for measurements."""
    return random.random()
