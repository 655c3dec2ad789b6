"""Decides whether the fleet's allowance permits another dispatch.

One budget for each service bounds the dispatches beyond the first ones. This
answers overload by retries, when many requests fail at the same moment.
"""

import collections

from celeryward.endpoints import fleet_retries
from celeryward import errors


class RetryControl:
    """Charges dispatches to the retry budgets of services.

    :param planner: :class:`planning.Planner`.
    :param allowance: function that returns the current
        :class:`fleet_retries.FleetAllowance`.
    :param metrics: :class:`router_metrics.RouterMetrics`.
    """

    def __init__(self, planner, allowance, metrics):
        self.planner = planner
        self.allowance = allowance
        self.metrics = metrics
        self.budgets = collections.defaultdict(
            lambda: fleet_retries.FleetBudget(allowance())
        )

    def update(self):
        """Adapt the budgets to the number of routers and the bounds."""
        allowance = self.allowance()
        for budget in self.budgets.values():
            budget.set_allowance(allowance)

    def tokens(self, service):
        """Return the tokens that are left of a service's budget, rounded."""
        return round(self.budgets[service].tokens, 1)

    def charge(self, relayed):
        """Count a dispatch towards the budget of its service.

        A first dispatch adds to the budget; a retry takes one token.

        :raises errors.Overloaded: if a retry is not allowed and the request
            has not run.
        :raises errors.OutcomeUnknown: if a retry is not allowed and the
            request may have run.
        """
        budget = self.budgets[relayed.service]
        if relayed.dispatches == 0:
            budget.record_first_dispatch()
            return
        if relayed.budget_charged or not relayed.deliveries:
            # The token is taken already, or no dispatch has reached an
            # endpoint yet, so that none has added load.
            relayed.budget_charged = False
            return
        if budget.try_take():
            return
        self.metrics.count_refused_retry(relayed.service)
        raise self.final_error(relayed, 'retry budget is used up')

    def plan_retry(self, relayed, least_seconds=0.0):
        """Return the plan of another dispatch, or None if there is none.

        :param float least_seconds: time that must be left until the deadline.
        """
        if not relayed.may_run_again() or relayed.deadline.expired():
            return None
        try:
            return self.planner.plan(relayed, least_seconds)
        except errors.NotRun:
            return None

    def secure_retry(self, relayed):
        """Take the token of another dispatch, if one can be made.

        :returns: whether it was taken.
        """
        plan = self.plan_retry(relayed)
        return plan is not None and self.take(relayed.service)

    def take(self, service):
        """Take a token for a retry; return whether there was one."""
        return self.budgets[service].try_take()

    def take_for_escalation(self, service):
        """Take a token for a run of a larger model, if one is not reserved."""
        return self.budgets[service].try_take_for_escalation()

    def final_error(self, relayed, reason, error=None):
        """Return the error for a request that is not retried.

        :param str reason: why it is not retried, for the message.
        :param error: the error of the last dispatch, or None.
        """
        step = error.step if error else 'retry'
        peer = error.peer if error else relayed.service
        if relayed.runs and relayed.deadline.expired():
            return errors.AnswerLate(
                'no complete answer before the deadline', step=step, peer=peer
            )
        if relayed.runs == 0:
            return errors.Overloaded(
                f'request was not run: {reason}',
                step=step,
                peer=peer,
                retry_at=self.planner.retry_at(relayed),
            )
        kind = errors.OutcomeUnknown
        if isinstance(error, errors.HarmfulRequest):
            kind = errors.HarmfulRequestRan
        return kind(f'request may have run: {reason}', step=step, peer=peer)
