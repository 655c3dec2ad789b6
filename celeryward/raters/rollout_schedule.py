"""When the requests of a service move to a new software version.

The schedule answers the load that a bad version gets before it is found out.
It is derived from the share of all requests that a bad version may get, so
that with even traffic the requests that a version gets before its completion
stay within that share even if nobody notices anything. Long streams need
time between the move of all new requests and the completion, at which the
old endpoints stop; that time is the largest part of the share.

Answers take as long in a short order as in a long one. A short order has a
larger canary share, so that as many runs can be judged before all requests
move, and its decision is early enough to be stored in time. What a bad
version gets beyond its share then is a fixed time of all requests, which the
number of requests that it may get in addition has to cover.

Every router derives the same schedule from the order alone, so that a session
gets the same version from every router and never returns from the new one to
the old one.
"""

import dataclasses
import math

# Times as fractions of the time that an order allows. A router that sees a
# session for the first time can't tell whether it began before the order, so
# no session moves in the first half.
CANARY_START = 0.51
COMPLETION_START = 0.85
# From then on a router may complete an order that doesn't have the evidence of
# all, because the one that has it has not done so.
LATE_COMPLETION_START = 0.91
# Fraction of the allowed time after which an order is decided in any case, by
# the router that has the evidence of all, and by the others.
JUDGE_DEADLINE = 0.93
DECISION_DEADLINE = 0.95
# Time from a decision, by the same routers, to the end of the order, in which
# it settles and is stored.
JUDGE_STORE_SECONDS = 1.3
STORE_SECONDS = 1.0
# Time before the deadline in which a version that is shown good is completed.
COMPLETION_SECONDS = 0.5
# The canary stage gets at least as many requests as arrive in this time, if
# its share allows.
CANARY_REQUEST_SECONDS = 0.5
MAX_CANARY_SHARE = 0.5
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
    :param float seconds: time that the order allows.
    """

    max_bad_share: float
    seconds: float = math.inf

    def fraction_before_end(self, seconds):
        """Return the fraction of the allowed time that ends before its end.

        :param float seconds: time that is left then.
        """
        return max(CANARY_START, 1 - seconds / self.seconds)

    def decision_deadline(self, is_judge=True):
        """Return the fraction of the allowed time at which a router decides.

        :param bool is_judge: whether it has the evidence of all.
        """
        if is_judge:
            latest = self.fraction_before_end(JUDGE_STORE_SECONDS)
            return min(JUDGE_DEADLINE, latest)
        latest = self.fraction_before_end(STORE_SECONDS)
        return min(DECISION_DEADLINE, latest)

    def completion_start(self, is_judge=True):
        """Return the fraction of the allowed time from which it completes."""
        if not is_judge:
            return min(LATE_COMPLETION_START, self.decision_deadline(False))
        latest = self.fraction_before_end(
            JUDGE_STORE_SECONDS + COMPLETION_SECONDS
        )
        return min(COMPLETION_START, latest)

    @property
    def canary_share(self):
        """Share of requests in the canary stage."""
        usual = CANARY_PART * self.max_bad_share
        canary_seconds = (self.ramp_start - CANARY_START) * self.seconds
        if CANARY_REQUEST_SECONDS >= MAX_CANARY_SHARE * canary_seconds:
            return max(usual, MAX_CANARY_SHARE)
        return max(usual, CANARY_REQUEST_SECONDS / canary_seconds)

    @property
    def full_start(self):
        """Fraction of the allowed time from which all requests move."""
        start = self.completion_start() - FULL_PART * self.max_bad_share
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
