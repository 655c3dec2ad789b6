"""Finds what the requests that crash endpoints have in common.

Answers endpoints that end one after the other under requests of which no two
are alike. What is given are crashes with the requests that ran, without the
traits that were answered since. Needs no network.

A trait is guilty if it is in several crashes, and no other trait is in more
of them. Traits that were always in the same crashes and in the same requests
are guilty together only. The crashes that a culprit explains accuse no others.
"""

import collections
import dataclasses

# Crashes at different moments after which a trait is guilty.
CRASHES_TO_REFUSE = 3
# Crashes at different moments after which a trait is suspected.
CRASHES_TO_SUSPECT = 2
# Endpoints that end this close together may have ended for one reason.
SAME_MOMENT_SECONDS = 0.1
# Different requests in which a shared trait must have been. A request that is
# repeated takes all its traits through the crashes of others.
MIN_REQUESTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Culprit:
    """Traits that crash endpoints if a request has all of them.

    :param frozenset traits: the traits.
    :param int crashes: number of crashes with them.
    :param int trials: how many of these happened on trial.
    :param float last_at: monotonic seconds of the last one.
    """

    traits: frozenset
    crashes: int
    trials: int
    last_at: float

    @property
    def name(self):
        """The traits as text, for logs and hashes."""
        return ' '.join(sorted(self.traits))

    def includes(self, traits):
        """Return whether a request with these traits is affected."""
        return self.traits <= traits


def find_culprits(crashes, least_crashes=CRASHES_TO_REFUSE):
    """Yield a :class:`Culprit` for each combination of guilty traits.

    :param crashes: :class:`crashes.Crash` of one service.
    :param int least_crashes: moments with a crash that make a trait guilty.
    """
    unexplained = {crash.key: crash for crash in crashes}
    while True:
        keys = most_common_crashes(unexplained, least_crashes)
        if not keys:
            return
        explained = [unexplained.pop(key) for key in keys]
        yield from combinations(explained, keys)


def most_common_crashes(crashes, least_crashes):
    """Return the keys of the crashes that one trait shares.

    They are those of the trait with the most crashes; empty if it has too few.

    :param dict crashes: :class:`crashes.Crash` by key.
    """
    best = frozenset()
    for keys in crashes_by_trait(crashes.values()).values():
        if len(keys) > len(best):
            moments = count_moments(crashes[key].at for key in keys)
            if moments >= least_crashes:
                best = frozenset(keys)
    return best


def crashes_by_trait(crashes):
    """Return the set of keys of the crashes that each trait is in."""
    found = collections.defaultdict(set)
    for crash in crashes:
        for request in crash.requests:
            for trait in request.all():
                found[trait].add(crash.key)
    return found


def count_moments(times):
    """Return the number of moments, each of which has crashes close together.

    :param times: monotonic seconds of crashes.
    """
    count = 0
    start = float('-inf')
    for at in sorted(times):
        if at - start > SAME_MOMENT_SECONDS:
            count += 1
            start = at
    return count


def combinations(explained, keys):
    """Yield the culprits of the crashes that one trait shares.

    :param list explained: the crashes.
    :param frozenset keys: their keys.
    """
    shared = {
        trait
        for trait, found in crashes_by_trait(explained).items()
        if found == keys
    }
    fingerprints = collections.defaultdict(set)
    for crash in explained:
        for request in crash.requests:
            traits = request.all() & shared
            if traits:
                fingerprints[traits].add(request.fingerprint)
    likely = [
        traits
        for traits, requests in fingerprints.items()
        if len(requests) >= MIN_REQUESTS or requests & traits
    ]
    for traits in likely:
        if not any(traits < other for other in likely):
            yield Culprit(
                traits,
                len(explained),
                sum(crash.is_trial for crash in explained),
                max(crash.at for crash in explained),
            )
