"""Which routers there are, and which of them passes on the store's changes.

Calls to the store cost the more the more routers there are. In each failure
domain a few routers follow the store, and the others follow those.
"""

import dataclasses
import math
import time

from celeryward import deadlines
from celeryward import hashing

# Failure domains with fewer routers follow the store one by one.
MIN_ROUTERS = 4
# Routers that follow the same one.
MAX_FOLLOWERS = 12
# How long a router that did not answer is passed over.
AVOID_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One router.

    :param str host: address at which other routers reach it.
    :param float capacity: Mbit/s of its network link.
    """

    name: str
    failure_domain: str
    host: str
    port: int
    capacity: float = 0.0


class Members:
    """The routers that are known.

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
        """Take over a complete list; this router always belongs to it."""
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

        All routers that know of the same ones come to the same result.
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
        """Return the router to follow, None to follow the store."""
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
        """Return the place of a leader in the order of this router."""
        return hashing.place(f'{self.own.name}\0{member.name}')

    def avoid(self, member):
        """Pass over a router that did not answer for a while."""
        self.avoided[member.name] = deadlines.Deadline(
            self.clock() + AVOID_SECONDS
        )


def leader_sort_key(member):
    """Return the place of a router in the order of its failure domain.

    Those with the largest links come first, because a leader sends each
    change to all its followers.
    """
    return -member.capacity, hashing.place(f'leader\0{member.name}')
