"""Failure domains that operators have drained.

While a failure domain is drained, its endpoints get no request. After that,
the requests return gradually. Answers the load of all routers, which would
otherwise move at the same moment to endpoints that are idle. Needs no network.
"""

import dataclasses

from celeryward import hashing
from celeryward.objects import freshness

# Longest time over which requests return. A shorter drain leaves the endpoints
# less idle, and the return takes as long as the drain took.
RETURN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """The time after a drain in which requests return.

    :param float starts_at: end of the drain, on the boot-time clock.
    :param float ends_at: when all requests have returned.
    """

    starts_at: float
    ends_at: float

    def share(self, now):
        """Return the share of the requests that have returned."""
        if now >= self.ends_at:
            return 1.0
        return (now - self.starts_at) / (self.ends_at - self.starts_at)


class FailureDomainDrains:
    """The drained failure domains, and those that requests return to.

    ``began`` holds when each drain began here, on the boot-time clock, and
    ``count`` the number of drains so far, by which a change is noticed.
    ``missing`` holds the deadline of each drain whose order is missing.
    ``freshness`` tells how long ago the store confirmed the orders.

    :param clock: function that returns seconds on a clock that also runs
        while the host is suspended.
    """

    def __init__(self, clock=freshness.boot_seconds):
        self.clock = clock
        self.began = {}
        self.missing = {}
        self.returns = {}
        self.count = 0
        self.is_awaited = False
        self.freshness = freshness.Freshness(clock=clock)

    @property
    def drained(self):
        """The names of the drained failure domains."""
        self.end_missing()
        return frozenset(self.began)

    def await_list(self):
        """Require that the list of drains is read before any request."""
        self.is_awaited = True

    def list_was_read(self):
        """Record that the list of drains has been read."""
        self.is_awaited = False

    def is_drained(self, failure_domain):
        """Return whether the endpoints of a failure domain get nothing."""
        self.end_missing()
        return failure_domain in self.began

    def keep(self, failure_domain, until):
        """End a drain at a deadline, unless its order is read before.

        :param deadlines.Deadline until: time until which it is kept.
        """
        self.missing.setdefault(failure_domain, until)

    def end_missing(self):
        """End the drains whose order was not read in time."""
        for name, until in tuple(self.missing.items()):
            if until.expired():
                self.end(name)

    def begin(self, failure_domain):
        """Drain a failure domain; return False if it is drained already."""
        self.missing.pop(failure_domain, None)
        if failure_domain in self.began:
            return False
        now = self.clock()
        before = self.returns.pop(failure_domain, None)
        # Requests that had not returned yet return with the next ones.
        unreturned = max(0.0, before.ends_at - now) if before else 0.0
        self.began[failure_domain] = now - unreturned
        self.count += 1
        return True

    def end(self, failure_domain):
        """End a drain; return False if there is none."""
        self.missing.pop(failure_domain, None)
        began = self.began.pop(failure_domain, None)
        if began is None:
            return False
        now = self.clock()
        seconds = min(RETURN_SECONDS, now - began)
        if seconds > 0.0:
            self.returns[failure_domain] = Return(now, now + seconds)
        return True

    def avoided(self, request_id):
        """Return the failure domains that a request has not returned to.

        All routers come to the same result by a hash of its id.
        """
        if not self.returns:
            return frozenset()
        self.remove_ended()
        now = self.clock()
        return frozenset(
            name
            for name, each in self.returns.items()
            if hashing.unit_hash(f'return\0{name}\0{request_id}')
            >= each.share(now)
        )

    def remove_ended(self):
        """Remove the returns that are complete."""
        now = self.clock()
        for name, each in tuple(self.returns.items()):
            if each.ends_at <= now:
                del self.returns[name]

    def returning_count(self):
        """Return the number of failure domains that requests return to."""
        self.remove_ended()
        return len(self.returns)
