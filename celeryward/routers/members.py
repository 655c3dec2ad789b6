"""Membership of the routers, and the choice of leaders among them.

The load on the store grows with the number of routers that call it. In each
failure domain one router, or a few in a large one, follow the store as
leaders, and the others follow a leader. If no leader responds, the next
routers in the order of preference, the standbys, follow the store instead.
"""

import collections
import dataclasses
import math
import time

import curio

from celeryward import deadlines
from celeryward import hashing

# In failure domains with fewer routers, each router follows the store.
MIN_ROUTERS = 4
# Followers of one leader.
MAX_FOLLOWERS = 48
# Routers that replace leaders which do not respond.
STANDBYS = 2
# How long a leader that did not respond is not polled again.
AVOID_SECONDS = 10.0
# How long a router that responds, but has no recent state, is not polled
# again. A standby needs this long to follow the store itself.
OUTDATED_AVOID_SECONDS = 1.0
# For how long a router that has introduced itself is kept without being in the
# list, which is read less often than that; and how many of them.
INTRODUCED_SECONDS = 60.0
MAX_INTRODUCED = 64
# For how long a router that is no longer known counts among those that may
# still send requests, because it may be cut off.
RECENT_SECONDS = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One router.

    :param str host: address at which other routers reach it.
    :param float capacity: bandwidth of its network link in Mbit/s.
    """

    name: str
    failure_domain: str
    host: str
    port: int
    capacity: float = 0.0


class Members:
    """The known routers.

    ``listed`` is set once the list has been read for the first time, or could
    not be read. ``list_listeners`` are called when it has been read for the
    first time, by when this router is registered.

    :param Member own: this router.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, own, clock=time.monotonic):
        self.own = own
        self.clock = clock
        self.known = {own.name: own}
        self.list_received = False
        self.list_listeners = []
        self.listed = curio.Event()
        self.avoided = {}
        # Routers that have introduced themselves, each with a deadline.
        self.introduced = {}
        # Routers known lately, each with a deadline. The version changes with
        # their names.
        self.recent = {own.name: deadlines.NEVER}
        self.version = 0

    def replace(self, members):
        """Replace the known routers by a list; this router is always added.

        Routers that have introduced themselves lately stay, because the list
        may be older than their entries.
        """
        now = self.clock()
        self.introduced = {
            name: entry
            for name, entry in self.introduced.items()
            if entry[1].at > now
        }
        self.known = {
            name: member for name, (member, _) in self.introduced.items()
        }
        self.known |= {each.name: each for each in members}
        self.known[self.own.name] = self.own
        self.remember()
        if not self.list_received:
            self.list_received = True
            for listener in self.list_listeners:
                listener()

    def introduce(self, member):
        """Add a router that has started and may not be in the list yet."""
        if member.name == self.own.name:
            return
        self.introduced.pop(member.name, None)
        until = deadlines.Deadline(self.clock() + INTRODUCED_SECONDS)
        self.introduced[member.name] = (member, until)
        while len(self.introduced) > MAX_INTRODUCED:
            del self.introduced[next(iter(self.introduced))]
        self.known[member.name] = member
        if member.name not in self.recent:
            self.remember()

    def remember(self):
        """Update the routers that were known lately."""
        now = self.clock()
        before = self.recent.keys()
        until = deadlines.Deadline(now + RECENT_SECONDS)
        recent = {
            name: each for name, each in self.recent.items() if each.at > now
        }
        recent |= dict.fromkeys(self.known, until)
        self.recent = recent | {self.own.name: deadlines.NEVER}
        self.version += before != self.recent.keys()

    @property
    def count(self):
        """Number of routers, this one included."""
        return len(self.known)

    @property
    def recent_count(self):
        """Number of routers that were known lately, this one included."""
        return len(self.recent)

    @property
    def decider_count(self):
        """Number of routers that judge as many requests as this one.

        The first of all leaders judges the requests of all routers, another
        leader those of its followers, too, and a follower only its own.
        """
        if not self.is_leader:
            return self.count
        if self.judge() is None:
            return 1
        return len(self.all_leaders())

    def all_leaders(self):
        """Return the leaders of all failure domains, best ones first."""
        domains = collections.defaultdict(list)
        for member in self.known.values():
            domains[member.failure_domain].append(member)
        leaders = [
            leader
            for routers in domains.values()
            for leader in choose_leaders(routers)
        ]
        return tuple(sorted(leaders, key=leader_sort_key))

    def judge(self):
        """Return the leader to which a leader reports, None for none.

        It is always before this router in the order of preference, so that no
        report comes back.
        """
        for leader in self.all_leaders():
            if leader == self.own:
                return None
            if self.is_usable(leader):
                return leader
        return None

    def reports_to(self):
        """Return the router that gets this one's evidence, None for none."""
        return self.judge() if self.is_leader else self.leader()

    def same_domain(self):
        """Return the routers of this failure domain."""
        return [
            each
            for each in self.known.values()
            if each.failure_domain == self.own.failure_domain
        ]

    def crash_leaders(self):
        """Return the routers that pass on news of crashes between domains.

        They are the leaders of each failure domain, or a standby if none of
        them responds.
        """
        domains = collections.defaultdict(list)
        for member in self.known.values():
            domains[member.failure_domain].append(member)
        found = []
        for routers in domains.values():
            leaders = choose_leaders(routers)
            standbys = sorted(routers, key=leader_sort_key)[len(leaders) :]
            usable = [each for each in leaders if self.is_usable(each)]
            found += usable or standbys[:1] or leaders
        return tuple(found)

    def crash_leader_names(self):
        """Return the names of :meth:`crash_leaders`."""
        return frozenset(each.name for each in self.crash_leaders())

    def crash_receivers(self):
        """Return the routers that this one tells of crashes.

        A follower tells its leader; the others tell the leaders and the rest
        of their failure domain.
        """
        leader = self.leader()
        if leader is not None:
            return (leader,)
        told = {each.name: each for each in self.crash_leaders()}
        told |= {each.name: each for each in self.same_domain()}
        told.pop(self.own.name, None)
        return tuple(told.values())

    def rank(self, text):
        """Return the place of this router in an order of all routers.

        The order depends on a text; routers with the same list agree on it.
        """
        return self.rank_among(text, self.known)

    def recent_rank(self, text):
        """Return the place of this router among those known lately."""
        return self.rank_among(text, self.recent)

    def rank_among(self, text, names):
        """Return the place of this router in an order of some routers."""
        own = hashing.unit_hash(f'{text}\0{self.own.name}')
        return sum(
            hashing.unit_hash(f'{text}\0{name}') < own for name in names
        )

    def leaders(self):
        """Return the routers of the failure domain that follow the store.

        Routers with the same list compute the same leaders.
        """
        return choose_leaders(self.same_domain())

    def standbys(self):
        """Return the routers that replace the leaders, in this order."""
        ordered = sorted(self.same_domain(), key=leader_sort_key)
        start = leader_count(len(ordered))
        return tuple(ordered[start : start + STANDBYS])

    @property
    def is_leader(self):
        """Whether this router follows the store itself."""
        return self.own in self.leaders()

    @property
    def is_followed(self):
        """Whether other routers may follow this one."""
        if not self.list_received:
            return True
        return len(self.same_domain()) >= MIN_ROUTERS and (
            self.is_leader or self.own in self.standbys()
        )

    def leader(self):
        """Return the router to follow, or None to follow the store.

        A router follows only those before it in the order of preference, so
        that no two follow each other, whatever lists they have.
        """
        leaders = self.leaders()
        if self.own in leaders:
            return None
        usable = [each for each in leaders if self.is_usable(each)]
        if usable:
            return min(usable, key=self.preference_key)
        for standby in self.standbys():
            if standby == self.own:
                return None
            if self.is_usable(standby):
                return standby
        return None

    def is_usable(self, member):
        """Return whether a router may be polled now."""
        until = self.avoided.get(member.name)
        return until is None or until.at <= self.clock()

    def preference_key(self, member):
        """Return the key by which this router orders leaders, lowest first."""
        return hashing.unit_hash(f'{self.own.name}\0{member.name}')

    def avoid(self, member, seconds=AVOID_SECONDS):
        """Avoid a leader or standby for a while."""
        self.avoided[member.name] = deadlines.Deadline(self.clock() + seconds)


def choose_leaders(routers):
    """Return the leaders among the routers of a failure domain."""
    ordered = sorted(routers, key=leader_sort_key)
    return tuple(ordered[: leader_count(len(ordered))])


def leader_count(router_count):
    """Return the number of leaders in a failure domain."""
    if router_count < MIN_ROUTERS:
        return router_count
    return math.ceil(router_count / (MAX_FOLLOWERS + 1))


def leader_sort_key(member):
    """Return the key by which leaders are chosen, lowest first.

    Routers with the largest bandwidth come first, because a leader sends each
    change to all its followers.
    """
    return -member.capacity, hashing.unit_hash(f'leader\0{member.name}')
