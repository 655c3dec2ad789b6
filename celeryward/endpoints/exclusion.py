"""Tells which crashes only the traits of one group can have caused.

Answers several harmful parts that come at once, while no answer clears what
sound requests share. A rival of a group of traits was at a crash beside a
request of the group that doesn't have it. A crash without a rival weighs more
than others. Needs no network.
"""

import collections


def crashes_by_trait(crashes):
    """Return the set of keys of the crashes that each trait is in."""
    found = collections.defaultdict(set)
    for crash in crashes:
        for request in crash.requests:
            for trait in request.all():
                found[trait].add(crash.key)
    return found


def group_traits(crashes):
    """Return the traits that are in the same crashes, by their keys."""
    groups = collections.defaultdict(set)
    for trait, keys in crashes_by_trait(crashes).items():
        groups[frozenset(keys)].add(trait)
    return groups


def without_rivals(crashes, group, suspects):
    """Return the crashes of a group of traits at which it had no rival.

    A rival that only requests of the group have is one at all crashes.

    :param crashes: :class:`crashes.Crash` with the group.
    :param set group: traits that are in the same crashes.
    :param set suspects: traits that may be rivals.
    """
    found = [find_rivals(crash, group, suspects) for crash in crashes]
    rivals = frozenset().union(*found) - traits_beside(crashes, group)
    return [
        crash
        for crash, beside in zip(crashes, found, strict=True)
        if not beside and rivals.isdisjoint(crash.traits())
    ]


def find_rivals(crash, group, suspects):
    """Return the rivals of a group of traits at one crash."""
    with_group = [
        request.all()
        for request in crash.requests
        if not group.isdisjoint(request.all())
    ]
    common = frozenset.intersection(*with_group)
    return (crash.traits() & suspects) - common - group


def traits_beside(crashes, group):
    """Return the traits of the requests that have none of a group."""
    return {
        trait
        for crash in crashes
        for request in crash.requests
        if group.isdisjoint(request.all())
        for trait in request.all()
    }
