"""What the evidence on a new software version suffices for.

The judgement answers the load of a roll-out: few runs at first, then all
requests at once, of which many are slow at a good version, too. A version
that performs worse than the old one is bad at once, and one with some
evidence against it is not completed. The more of the requests that a bad
version may get have been sent to it, the less evidence is needed.
"""

import dataclasses
import math

from celeryward.raters import rollout_orders
from celeryward.raters import rollout_schedule

# Log odds at which a single router rolls a version back, and those of failures
# once the version has got all requests that a bad one may get. The first
# router to reach its threshold decides for all, so the threshold of each rises
# with the number of routers that decide.
ROLLBACK_LOG_ODDS = 4.0
LAST_ROLLBACK_LOG_ODDS = 3.0
# A router doesn't complete a version at or above these log odds. With fewer
# answers than the minimum it leaves the completion to other routers.
DOUBT_LOG_ODDS = 1.5
MIN_ANSWERS_TO_COMPLETE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Judges the progress of an order.

    :param float max_bad_share: highest share of a service's requests that
        a bad version may get.
    :param float bad_version_slack: requests that a bad version may get in
        addition to its share, from all routers.
    :param int deciders: routers that judge as much evidence as this one. It
        is 1 at the router that has the evidence of all.
    """

    max_bad_share: float
    bad_version_slack: float
    deciders: int

    def used_allowance(self, progress):
        """Return the used part of what a bad version may get, 0 to 1."""
        return progress.exposure.used_allowance(
            self.max_bad_share, self.bad_version_slack / self.deciders
        )

    def is_bad(self, progress):
        """Return whether the evidence suffices to roll a version back.

        Failures need less of it once the version has got what a bad one may
        get. Slow runs do not: while all requests move, many are slow at a good
        version, too.
        """
        used = self.used_allowance(progress)
        fewer = used * (ROLLBACK_LOG_ODDS - LAST_ROLLBACK_LOG_ODDS)
        needed = ROLLBACK_LOG_ODDS + math.log(self.deciders)
        return (
            progress.tally.failure_log_odds >= needed - fewer
            or progress.tally.slow_log_odds >= needed
        )

    def is_doubted(self, progress):
        """Return whether some evidence speaks against a version."""
        return progress.tally.log_odds >= DOUBT_LOG_ODDS

    def due_verdict(self, progress, elapsed):
        """Return the verdict that is due; running if none is.

        The router that has the evidence of all decides first. One that has
        seen too few answers leaves it to the others until the deadline.

        :param float elapsed: fraction of the allowed time that has passed.
        """
        last = elapsed >= rollout_schedule.DECISION_DEADLINE
        doubted = self.is_doubted(progress)
        if last and doubted:
            return rollout_orders.State.ROLLED_BACK
        has_answers = progress.tally.answers >= MIN_ANSWERS_TO_COMPLETE
        if last or (
            elapsed >= self.completion_start and has_answers and not doubted
        ):
            return rollout_orders.State.DONE
        return rollout_orders.State.RUNNING

    @property
    def completion_start(self):
        """Fraction of the allowed time from which this router completes."""
        if self.deciders == 1:
            return rollout_schedule.COMPLETION_START
        return rollout_schedule.LATE_COMPLETION_START
