"""Rankings: each chooses one of the candidates of a query.

A ranking is a function of a non-empty list of candidates and the query.
"""

import random

import xxhash

from celeryward import registry

RANKINGS = registry.Registry('ranking')
# Another failure domain is used when the own one is expected to answer
# later by this much. The network between them adds about a millisecond; the
# rest keeps a domain on its own endpoints until these are nearly full.
REMOTE_SECONDS = 0.05
# The first blocks name the document, the later ones the conversation.
HOME_BLOCKS = 1
# A prompt without a cached prefix goes to its home endpoint unless another
# is expected to answer sooner by this share of the time to cache it.
HOME_SHARE = 0.3
GENERATOR = random.Random()


@RANKINGS.register('prefix-aware')
def rank_prefix_aware(found, query):
    """Choose the lowest expected time to the first token."""
    return min(found, key=lambda candidate: expected_delay(candidate, query))


def expected_delay(candidate, query):
    """Return the sort key: expected delay in seconds, then the home order.

    The delay is the wait in the queue, the prefill of the blocks that are
    not cached, and a charge for another failure domain.
    """
    endpoint = candidate.endpoint
    view = query.view
    speed = view.load.speed(endpoint.name)
    missing = missing_blocks(candidate, query)
    delay = view.load.wait(endpoint, query.call.priority)
    delay += (missing + 1) * speed.prefill
    if endpoint.failure_domain != view.failure_domain:
        delay += REMOTE_SECONDS
    order = home_order(endpoint.name, query.digests)
    # All daemons choose the same homes for a prefix without any messages.
    delay += order * HOME_SHARE * missing * speed.prefill
    return delay, order, endpoint.name


def missing_blocks(candidate, query):
    """Return the prompt blocks that the endpoint has to compute."""
    cached = query.view.prefixes.cached_blocks(
        candidate.endpoint.name, query.digests
    )
    return len(query.digests) - cached


def home_order(name, digests):
    """Return a number from 0 to 1 that orders endpoints for a prefix."""
    if not digests:
        return 0.0
    first = digests[min(HOME_BLOCKS, len(digests)) - 1]
    return xxhash.xxh64_intdigest(name.encode(), seed=first) / 2**64


@RANKINGS.register('least-load')
def rank_least_load(found, query):
    """Prefer the own failure domain until it is full, then low load."""

    def key(candidate):
        endpoint = candidate.endpoint
        load = query.view.load.estimate(endpoint)
        remote = endpoint.failure_domain != query.view.failure_domain
        return (load >= 1.0, remote, load, endpoint.name)

    return min(found, key=key)


@RANKINGS.register('random')
def rank_random(found, query):
    """Choose at random; a baseline for measurements."""
    return GENERATOR.choice(found)


@RANKINGS.register('round-robin')
def rank_round_robin(found, query):
    """Choose the endpoint whose last dispatch is oldest; a baseline."""
    last = query.view.load.last_dispatch
    return min(
        found,
        key=lambda each: (
            last.get(each.endpoint.name, 0),
            each.endpoint.name,
        ),
    )


@RANKINGS.register('least-connections')
def rank_least_connections(found, query):
    """Choose the fewest own requests in flight; a baseline."""
    return min(found, key=lambda each: connections_key(each, query))


@RANKINGS.register('two-choices')
def rank_two_choices(found, query):
    """Choose the less loaded of two random candidates; a baseline."""
    drawn = GENERATOR.sample(found, min(2, len(found)))
    return min(drawn, key=lambda each: connections_key(each, query))


def connections_key(candidate, query):
    """Return own requests in flight, with random order among equals."""
    name = candidate.endpoint.name
    return query.view.load.in_flight[name], GENERATOR.random()
