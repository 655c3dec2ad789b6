"""Finds what the requests that crash endpoints have in common.

Answers endpoints that end one after the other under requests of which no two
are alike. What is given are crashes with the requests that ran, without the
traits that were answered since. Needs no network.

A trait is guilty if it is in several crashes, no other trait is in more of
them, and it had no rival at some, as :mod:`celeryward.endpoints.exclusion`
tells. Traits that were always in the same crashes and in the same requests
are guilty together only. The crashes that a culprit explains accuse no others.
"""

import collections
import dataclasses

from celeryward.endpoints import exclusion

# Crashes at different moments after which a trait is guilty.
CRASHES_TO_REFUSE = 3
# Crashes at different moments after which a trait is suspected.
CRASHES_TO_SUSPECT = 2
# A trait that was answered before is accused only after this many crashes. It
# may turn harmful with a new version of an engine, but while all endpoints
# crash no answer clears what sound requests share.
CRASHES_TO_DISTRUST = 6
# Times as many crashes are needed of a trait that had a rival at each.
CRASHES_BESIDE_RIVALS = 3
# Groups of traits whose rivals are compared, those with the most crashes.
MAX_COMPARED = 16
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


def find_culprits(
    crashes, least_crashes=CRASHES_TO_REFUSE, answered=frozenset()
):
    """Yield a :class:`Culprit` for each combination of guilty traits.

    :param crashes: :class:`crashes.Crash` of one service.
    :param int least_crashes: moments with a crash that make a trait guilty.
    :param frozenset answered: traits of earlier answers. They are accused of
        what no other explains only, after more crashes.
    """
    by_key = {crash.key: crash for crash in crashes}
    unexplained = {
        key: exclusion.find_presence(crash) for key, crash in by_key.items()
    }
    for least, trusted in (
        (least_crashes, answered),
        (max(least_crashes, CRASHES_TO_DISTRUST), frozenset()),
    ):
        while keys := guilty_crashes(unexplained, least, trusted, answered):
            for key in keys:
                del unexplained[key]
            yield from combinations([by_key[key] for key in keys], trusted)


def guilty_crashes(presences, least_crashes, trusted, answered):
    """Return the keys of the crashes that one guilty trait shares.

    They are those of the trait with the most crashes, where traits come first
    that have no rival at half of them.

    :param dict presences: :class:`exclusion.Presence` by key of the crash.
    :param frozenset trusted: traits that can't be guilty.
    :param frozenset answered: traits that are no rivals.
    :returns: an empty set if no trait is guilty.
    """
    groups = exclusion.group_traits(presences.values())
    moments = {
        keys: count_moments(presences[key].at for key in keys)
        for keys in groups
    }
    suspects = find_suspects(groups, moments) - answered
    able = [
        keys
        for keys, group in groups.items()
        if moments[keys] >= least_crashes and not group <= trusted
    ]
    # The same order at all hosts.
    able.sort(key=lambda keys: (-len(keys), sorted(keys)))
    possible = frozenset()
    for keys in able[:MAX_COMPARED]:
        found = [presences[key] for key in keys]
        left = exclusion.without_rivals(
            found, groups[keys], suspects, bool(answered)
        )
        alone = count_moments(present.at for present in left)
        if is_guilty(moments[keys], alone, least_crashes):
            if 2 * alone >= moments[keys]:
                return keys
            possible = possible or keys
    return possible


def find_suspects(groups, moments):
    """Return the traits that are in several crashes.

    :param dict groups: traits by the keys of their crashes.
    :param dict moments: number of moments by the keys of crashes.
    """
    return {
        trait
        for keys, group in groups.items()
        if moments[keys] >= CRASHES_TO_SUSPECT
        for trait in group
    }


def is_guilty(moments, alone, least_crashes):
    """Return whether so many crashes make a trait guilty.

    :param int moments: moments with a crash.
    :param int alone: moments with one at which the trait had no rival.
    """
    if not alone:
        return moments >= CRASHES_BESIDE_RIVALS * least_crashes
    return moments + alone >= 2 * least_crashes - 1


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


def combinations(explained, trusted):
    """Yield the culprits of the crashes that one trait shares.

    :param list explained: the crashes.
    :param frozenset trusted: traits that aren't guilty without others.
    """
    shared = frozenset.intersection(
        *(exclusion.find_presence(crash).traits for crash in explained)
    )
    fingerprints = collections.defaultdict(set)
    for crash in explained:
        for request in crash.requests:
            traits = request.all() & shared
            if not traits <= trusted:
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
