"""Tells which crashes only the traits of one group can have caused.

Answers several harmful parts that come at once, while no answer clears what
sound requests share. A rival of a group of traits was at a crash beside a
request of the group that doesn't have it. A crash without a rival weighs more
than others. Needs no network.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """What was present at a crash, as sets that are built once.

    :param tuple key: key of the crash.
    :param float at: monotonic seconds.
    :param tuple requests: the traits of each request, as a frozenset.
    :param frozenset traits: those of all requests.
    """

    key: tuple
    at: float
    requests: tuple[frozenset, ...]
    traits: frozenset


def find_presence(crash):
    """Return the :class:`Presence` of a :class:`crashes.Crash`."""
    requests = tuple(request.all() for request in crash.requests)
    return Presence(
        crash.key, crash.at, requests, frozenset().union(*requests)
    )


def group_traits(presences):
    """Return the traits that are in the same crashes, by their keys.

    :param presences: :class:`Presence` of several crashes.
    """
    found = collections.defaultdict(set)
    for present in presences:
        for trait in present.traits:
            found[trait].add(present.key)
    groups = collections.defaultdict(set)
    for trait, keys in found.items():
        groups[frozenset(keys)].add(trait)
    return groups


def without_rivals(presences, group, suspects, has_answers=False):
    """Return the crashes of a group of traits at which it had no rival.

    A rival that only requests of the group have is one at all crashes, but
    none where others are answered: each repeated request with a harmful part
    would be a rival of the part.

    :param presences: :class:`Presence` of crashes with the group.
    :param set group: traits that are in the same crashes.
    :param set suspects: traits that may be rivals.
    :param bool has_answers: whether other traits at these crashes were
        answered before.
    """
    beside_group = traits_beside(presences, group)
    if has_answers:
        suspects = suspects & beside_group
    found = [find_rivals(present, group, suspects) for present in presences]
    rivals = frozenset().union(*found) - beside_group
    return [
        present
        for present, beside in zip(presences, found, strict=True)
        if not beside and rivals.isdisjoint(present.traits)
    ]


def find_rivals(present, group, suspects):
    """Return the rivals of a group of traits at one crash."""
    possible = (present.traits & suspects) - group
    if not possible:
        return possible
    with_group = (
        traits for traits in present.requests if not group.isdisjoint(traits)
    )
    return possible - frozenset.intersection(*with_group)


def traits_beside(presences, group):
    """Return the traits of the requests that have none of a group."""
    return {
        trait
        for present in presences
        for traits in present.requests
        if group.isdisjoint(traits)
        for trait in traits
    }
