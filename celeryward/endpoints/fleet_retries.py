"""Retry budgets of routers that share the allowance of a fleet.

The allowance bounds the retries of all routers together in any window of
time. Each router keeps to its own part of it without communication, so that
the bound also holds for a fleet of hundreds of routers that fail over at the
same moment. It needs no network to be tested.
"""

import collections
import dataclasses
import time

# Share of its capacity that a budget keeps for retries after failures, so that
# escalations to larger models can't use it up.
RESERVED_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAllowance:
    """Retries that all routers of a fleet together may make.

    In any window these are at most ``slack``, and ``ratio`` times the requests
    of that window or of the one before it, whichever has more.

    :param float ratio: retries for each request.
    :param float earned_ratio: part of ``ratio`` that each request adds to the
        budget at once.
    :param float slack: retries in addition.
    :param float window_seconds: length of the windows.
    :param int router_count: number of routers.
    """

    ratio: float
    earned_ratio: float
    slack: float
    window_seconds: float
    router_count: int

    @property
    def slack_share(self):
        """Share of the slack that each router has."""
        return self.slack / self.router_count


class FleetBudget:
    """Limits the retries of one router for one service, as a token bucket.

    A request adds ``earned_ratio`` of a token at once. The rest of its ratio
    adds to the capacity of the bucket during the next window, so that retries
    that were not needed may be made up for within the fleet's allowance.

    :param FleetAllowance allowance: the allowance of the fleet.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, allowance, clock=time.monotonic):
        self.allowance = allowance
        self.clock = clock
        self.tokens = allowance.slack_share
        self.recent_requests = collections.deque()

    @property
    def capacity(self):
        """Number of tokens that the budget can hold now."""
        oldest = self.clock() - self.allowance.window_seconds
        while self.recent_requests and self.recent_requests[0] < oldest:
            self.recent_requests.popleft()
        unearned_ratio = self.allowance.ratio - self.allowance.earned_ratio
        return self.allowance.slack_share + unearned_ratio * len(
            self.recent_requests
        )

    def set_allowance(self, allowance):
        """Apply an allowance that has changed with the fleet."""
        self.allowance = allowance

    def record_first_dispatch(self):
        """Add the tokens of a request that is dispatched first."""
        self.recent_requests.append(self.clock())
        earned = self.tokens + self.allowance.earned_ratio
        self.tokens = min(self.capacity, earned)

    def try_take(self):
        """Take a token for a retry after a failure, if there is one."""
        return self.take_above(0.0)

    def try_take_for_escalation(self):
        """Take a token for a run of a larger model, if one is not reserved."""
        return self.take_above(RESERVED_SHARE * self.capacity)

    def take_above(self, reserve):
        """Take a token if at least the reserve remains."""
        self.tokens = min(self.capacity, self.tokens)
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
