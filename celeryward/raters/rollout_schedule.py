"""When the requests of a service move to a new software version.

The schedule answers the load that a bad version gets before it is found out.
It is derived from the share of all requests that a bad version may get, so
that with even traffic the requests that a version gets before its completion
stay within that share even if nobody notices anything. Long streams need
time between the move of all new requests and the completion, at which the
old endpoints stop; that time is the largest part of the share.

Every router derives the same schedule from the order alone, so that a session
gets the same version from every router and never returns from the new one to
the old one.
"""

import dataclasses

# Times as fractions of the time that an order allows. A router that sees a
# session for the first time can't tell whether it began before the order, so
# no session moves in the first half.
CANARY_START = 0.51
COMPLETION_START = 0.85
# From then on a router may complete an order that doesn't have the evidence of
# all, because the one that has it has not done so.
LATE_COMPLETION_START = 0.91
# Fraction of the allowed time after which an order is decided in any case: it
# is rolled back if there is doubt, and completed otherwise.
DECISION_DEADLINE = 0.95
# Parts of the highest share that a bad version may get: the share of requests
# without a session before the canary stage, the share of all in that stage,
# the length of the ramp to all requests, and the length of the stage with all.
EARLY_PART = 0.15
CANARY_PART = 0.5
RAMP_PART = 0.35
FULL_PART = 0.55


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The share of requests that a new version gets over time.

    :param float max_bad_share: highest share of a service's requests that
        a bad version may get.
    """

    max_bad_share: float

    @property
    def canary_share(self):
        """Share of requests in the canary stage."""
        return CANARY_PART * self.max_bad_share

    @property
    def full_start(self):
        """Fraction of the allowed time from which all requests move."""
        start = COMPLETION_START - FULL_PART * self.max_bad_share
        return max(CANARY_START, start)

    @property
    def ramp_start(self):
        """Fraction of the allowed time from which the share grows."""
        start = self.full_start - RAMP_PART * self.max_bad_share
        return max(CANARY_START, start)

    def traffic_share(self, elapsed, has_session):
        """Return the share of requests that the new version gets.

        It grows evenly in the ramp, so that endpoints of the new version fill
        their caches one prompt at a time. It never shrinks.

        :param float elapsed: fraction of the allowed time that has passed.
        :param bool has_session: whether the request belongs to a session.
        """
        if elapsed < CANARY_START:
            return 0.0 if has_session else EARLY_PART * self.max_bad_share
        if elapsed < self.ramp_start:
            return self.canary_share
        if elapsed >= self.full_start:
            return 1.0
        position = (elapsed - self.ramp_start) / (
            self.full_start - self.ramp_start
        )
        return self.canary_share + position * (1.0 - self.canary_share)
