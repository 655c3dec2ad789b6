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


class ColdRules:
    """The rules in force, by service.

    :param read_bounds: function that returns the
        :class:`router_settings.Bounds` in force.
    :param configuration: :class:`ingress.ConfigurationHolder`.
    """

    def __init__(self, read_bounds, configuration):
        self.read_bounds = read_bounds
        self.configuration = configuration
        self.bounds = None
        self.current = None
        self.known = {}

    def is_enabled(self):
        """Return whether the deployment limits requests to cold endpoints."""
        return self.read_bounds().limits_cold

    def is_loaded(self):
        """Return whether the services are known."""
        return self.configuration.current is not None

    def of_service(self, name):
        """Return the :class:`ColdRule` of a service, or None.

        There is none for a service without a rate. It is asked several times
        for each request, so that rules are built once for each configuration.
        """
        bounds, current = self.read_bounds(), self.configuration.current
        if bounds is not self.bounds or current is not self.current:
            self.bounds, self.current = bounds, current
            self.known = {}
        if name not in self.known:
            self.known[name] = build_rule(name, bounds, current)
        return self.known[name]


def build_rule(name, bounds, configuration):
    """Return the :class:`ColdRule` of a service, or None."""
    if not bounds.limits_cold or configuration is None:
        return None
    service = configuration.services.get(name)
    if service is None or not service.cold_per_second:
        return None
    return ColdRule(
        service.cold_seconds,
        service.cold_per_second,
        service.cold_per_second * bounds.cold_overage + bounds.cold_slack,
    )


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
