"""What the evidence on a new software version suffices for.

The judgement answers the load of a roll-out: few runs at first, then all
requests at once, of which many are slow at a good version, too. A version
that performs worse than the old one is bad at once, and one with some
evidence against it is not completed. One is completed once it is shown to be
good; at the deadline, unless some criterion speaks against it on balance. The
more of the requests that a bad version may get have been sent to it, the less
evidence is needed.
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
# A version isn't completed at or above these log odds of its being bad, nor
# before the deadline below these of its being good.
DOUBT_LOG_ODDS = 1.5
COMPLETION_LOG_ODDS = 3.0


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
        """Return whether some evidence speaks against a version.

        Each of several routers needs more of it, as for :meth:`is_bad`.
        """
        needed = DOUBT_LOG_ODDS + math.log(self.deciders)
        return progress.tally.log_odds >= needed

    def is_shown_good(self, progress, criteria):
        """Return whether a version is known to be no worse by each criterion.

        Runs that are still under way are no evidence for it: slow answers are
        known late.
        """
        return all(
            progress.tally.odds(criterion).good >= COMPLETION_LOG_ODDS
            for criterion in criteria
        )

    def is_probably_good(self, progress, criteria):
        """Return whether no criterion speaks against a version on balance.

        A criterion of which few runs are judged, such as one without a recent
        baseline, speaks against it only in case of doubt. A version that got
        requests of which none is judged is not: a rollback can be ordered
        again, while the old endpoints stop at a completion.
        """
        judged = [
            odds for odds in map(progress.tally.odds, criteria) if odds.runs
        ]
        if not judged:
            return not progress.exposure.exposed
        return not any(
            odds.bad >= DOUBT_LOG_ODDS and odds.bad > odds.good
            for odds in judged
        )

    def due_verdict(self, progress, elapsed, criteria):
        """Return the verdict that is due; running if none is.

        The router that has the evidence of all decides first, the others in
        case it is away.

        :param float elapsed: fraction of the allowed time that has passed.
        :param tuple criteria: the :class:`rollout_orders.Criterion` objects by
            which the old version is known.
        """
        schedule = rollout_schedule.Schedule(
            self.max_bad_share, progress.order.seconds
        )
        is_judge = self.deciders == 1
        if elapsed >= schedule.decision_deadline(is_judge):
            return self.last_verdict(progress, criteria)
        if (
            elapsed >= schedule.completion_start(is_judge)
            and not self.is_doubted(progress)
            and self.is_shown_good(progress, criteria)
        ):
            return rollout_orders.State.DONE
        return rollout_orders.State.RUNNING

    def last_verdict(self, progress, criteria):
        """Return the verdict at the deadline.

        The router that has the evidence of all decides in any case. Another
        one leaves it to that router unless its own evidence suffices.
        """
        doubted = self.is_doubted(progress)
        if self.is_probably_good(progress, criteria) and (
            self.deciders == 1 or not doubted
        ):
            return rollout_orders.State.DONE
        if self.deciders == 1 or doubted:
            return rollout_orders.State.ROLLED_BACK
        return rollout_orders.State.RUNNING
