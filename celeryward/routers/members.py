"""Membership of the routers, and the choice of leaders among them.

The load on the store grows with the number of routers that call it. In each
failure domain a few routers, the leaders, therefore follow the store, and the
others follow a leader.
"""

import dataclasses
import math
import time

from celeryward import deadlines
from celeryward import hashing

# In failure domains with fewer routers, each router follows the store.
MIN_ROUTERS = 4
# Followers of one leader.
MAX_FOLLOWERS = 12
# How long a leader that did not respond is not polled again.
AVOID_SECONDS = 10.0


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

    :param Member own: this router.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, own, clock=time.monotonic):
        self.own = own
        self.clock = clock
        self.known = {own.name: own}
        self.list_received = False
        self.avoided = {}

    def replace(self, members):
        """Replace the known routers by a list; this router is always added."""
        self.known = {each.name: each for each in members}
        self.known[self.own.name] = self.own
        self.list_received = True

    @property
    def count(self):
        """Number of routers, this one included."""
        return len(self.known)

    def same_domain(self):
        """Return the routers of this failure domain."""
        return [
            each
            for each in self.known.values()
            if each.failure_domain == self.own.failure_domain
        ]

    def leaders(self):
        """Return the routers of the failure domain that follow the store.

        Routers with the same list compute the same leaders.
        """
        candidates = self.same_domain()
        if len(candidates) < MIN_ROUTERS:
            return tuple(candidates)
        candidates.sort(key=leader_sort_key)
        return tuple(
            candidates[: math.ceil(len(candidates) / (MAX_FOLLOWERS + 1))]
        )

    @property
    def is_leader(self):
        """Whether this router follows the store itself."""
        return self.own in self.leaders()

    @property
    def is_followed(self):
        """Whether other routers may follow this one."""
        if not self.list_received:
            return True
        return self.is_leader and len(self.same_domain()) >= MIN_ROUTERS

    def leader(self):
        """Return the router to follow, or None to follow the store."""
        leaders = self.leaders()
        if self.own in leaders:
            return None
        now = deadlines.Deadline(self.clock())
        usable = [
            each for each in leaders if self.avoided.get(each.name, now) <= now
        ]
        if not usable:
            return None
        return min(usable, key=self.preference_key)

    def preference_key(self, member):
        """Return the key by which this router orders leaders, lowest first."""
        return hashing.unit_hash(f'{self.own.name}\0{member.name}')

    def avoid(self, member):
        """Avoid a leader that did not respond for ``AVOID_SECONDS``."""
        self.avoided[member.name] = deadlines.Deadline(
            self.clock() + AVOID_SECONDS
        )


def leader_sort_key(member):
    """Return the key by which leaders are chosen, lowest first.

    Routers with the largest bandwidth come first, because a leader sends each
    change to all its followers.
    """
    return -member.capacity, hashing.unit_hash(f'leader\0{member.name}')
