"""Load-balancing policies: each chooses one of the candidates of a query.

A ranking is a function that takes a non-empty list of candidates and the
query, and returns one of the candidates.
"""

import random

import xxhash

from celeryward import registry

RANKINGS = registry.Registry('ranking')
# Expected delay that is added for an endpoint in another failure domain. The
# network adds about a millisecond; the rest keeps work in its own domain
# until the endpoints there are nearly full.
REMOTE_PENALTY_SECONDS = 0.05
# Number of leading prompt blocks that form the affinity key: the first blocks
# identify the document, the later ones the conversation.
AFFINITY_BLOCKS = 1
# A prompt without a cached prefix goes to the endpoint that is preferred by
# rendezvous hashing, unless another one is expected to answer sooner by this
# fraction of the prefill time.
AFFINITY_PENALTY = 0.3
GENERATOR = random.Random()


@RANKINGS.register('prefix-aware')
def rank_prefix_aware(candidates, query):
    """Choose the endpoint with the lowest expected time to first token."""
    return min(
        candidates, key=lambda candidate: expected_delay(candidate, query)
    )


def expected_delay(candidate, query):
    """Return a sort key: expected delay in seconds, hash order, name.

    The delay consists of the time in the queue, the prefill of the blocks
    that are not cached, and penalties for another failure domain and for
    an endpoint that is not preferred for the prefix.
    """
    endpoint = candidate.endpoint
    view = query.view
    averages = view.load.latency_averages(endpoint.name)
    uncached = uncached_blocks(candidate, query)
    delay = view.load.expected_wait(endpoint, query.call.priority)
    delay += (uncached + 1) * averages.prefill
    if endpoint.failure_domain != view.failure_domain:
        delay += REMOTE_PENALTY_SECONDS
    hashed = rendezvous_hash(endpoint.name, query.digests)
    # All daemons prefer the same endpoint for a prefix without coordination.
    delay += hashed * AFFINITY_PENALTY * uncached * averages.prefill
    return delay, hashed, endpoint.name


def uncached_blocks(candidate, query):
    """Return the number of prompt blocks that need prefill."""
    cached = query.view.prefixes.cached_blocks(
        candidate.endpoint.name, query.digests
    )
    return len(query.digests) - cached


def rendezvous_hash(name, digests):
    """Return the rendezvous hash of an endpoint and a prefix.

    The result is from 0 to 1; the lowest is preferred. It is 0 for all
    endpoints if there are no digests.
    """
    if not digests:
        return 0.0
    affinity = digests[min(AFFINITY_BLOCKS, len(digests)) - 1]
    return xxhash.xxh64_intdigest(name.encode(), seed=affinity) / 2**64


@RANKINGS.register('least-load')
def rank_least_load(candidates, query):
    """Choose the lowest load; use other domains once the own is full."""

    def key(candidate):
        endpoint = candidate.endpoint
        load = query.view.load.utilisation(endpoint)
        remote = endpoint.failure_domain != query.view.failure_domain
        return (load >= 1.0, remote, load, endpoint.name)

    return min(candidates, key=key)


@RANKINGS.register('random')
def rank_random(candidates, query):
    """Choose at random; a baseline for benchmarks."""
    return GENERATOR.choice(candidates)


@RANKINGS.register('round-robin')
def rank_round_robin(candidates, query):
    """Choose the least recently used endpoint; a baseline."""
    dispatch_numbers = query.view.load.last_dispatch
    return min(
        candidates,
        key=lambda each: (
            dispatch_numbers.get(each.endpoint.name, 0),
            each.endpoint.name,
        ),
    )


@RANKINGS.register('least-connections')
def rank_least_connections(candidates, query):
    """Choose the fewest own requests in flight; a baseline."""
    return min(candidates, key=lambda each: connections_key(each, query))


@RANKINGS.register('two-choices')
def rank_two_choices(candidates, query):
    """Choose the less loaded of two random candidates; a baseline."""
    sampled = GENERATOR.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda each: connections_key(each, query))


def connections_key(candidate, query):
    """Return a sort key: own requests in flight, random among ties."""
    name = candidate.endpoint.name
    return query.view.load.in_flight[name], GENERATOR.random()
