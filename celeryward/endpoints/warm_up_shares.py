"""Divides the rate of requests to a cold endpoint among the routers.

Answers restarts of endpoints under load, in which many routers would send to
an endpoint that sustains few requests yet. The shares bound the requests of
all routers in any second without messages and without clocks that agree:
some of the routers may send one request in each interval, and the intervals
are so long that any phases of them add up to less than the bound. Needs no
network.
"""

import dataclasses
import functools
import math

# Part of the bound that is kept for routers whose lists differ.
RESERVED_SHARE = 0.1
# Longest time from taking a slot to writing the request.
HOLD_SECONDS = 0.4
# Difference between the transit times of two requests, with one segment that
# is sent again.
TRANSIT_SECONDS = 0.25
# Requests that arrive within one second were decided on within this time.
WINDOW_SECONDS = 1.0 + HOLD_SECONDS + TRANSIT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRule:
    """What the endpoints of a service sustain while they are cold.

    :param float cold_seconds: time for which one is cold after its start.
    :param float per_second: requests a second, above 0.
    :param float bound: requests in any second that all routers together must
        not exceed.
    """

    cold_seconds: float
    per_second: float
    bound: float


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """How the routers share a cold endpoint.

    :param int senders: number of routers that may send there; 0 for none.
    :param float spacing: seconds between two requests of one of them.
    """

    senders: int
    spacing: float

    @property
    def rate(self):
        """Requests a second of all senders together."""
        return self.senders / self.spacing


@functools.lru_cache(maxsize=64)
def divide(rule, router_count):
    """Return the :class:`Share` that uses most of the rate within the bound.

    :param ColdRule rule: rate and bound.
    :param int router_count: number of routers, at least 1.
    """
    usable = math.floor(rule.bound) - math.floor(RESERVED_SHARE * rule.bound)
    shares = (
        Share(
            senders,
            max(
                senders / rule.per_second,
                WINDOW_SECONDS / (usable // senders),
            ),
        )
        for senders in range(1, min(router_count, usable) + 1)
    )
    # Rates that differ by rounding only are equal; more senders are better.
    return max(
        shares,
        key=lambda share: (round(share.rate, 6), share.senders),
        default=Share(0, math.inf),
    )
