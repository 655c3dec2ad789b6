"""Decides whether a larger model runs a request after a small one.

The answer of the small model is held until the larger one answers, so that
nothing is lost if that fails.
"""

from celeryward import errors
from celeryward import logs
from celeryward.raters import sizes


class Escalation:
    """Secures runs of larger models that are worth more than an answer.

    :param router_admission.RouterState router_state: shared by all requests.
    :param planner: :class:`planning.Planner`.
    :param timeouts: :class:`endpoint_timeouts.EndpointTimeouts`.
    :param retries: :class:`retry_control.RetryControl`.
    :param metrics: :class:`router_metrics.RouterMetrics`.
    """

    def __init__(self, router_state, planner, timeouts, retries, metrics):
        self.router_state = router_state
        self.planner = planner
        self.timeouts = timeouts
        self.retries = retries
        self.metrics = metrics

    def secure(self, relayed, dispatch, answer):
        """Return the plan of a larger model's run, None to keep the answer.

        It has its place, and its token of the retry budget is taken. The
        caller must not have received any part of the answer.
        """
        plan = dispatch.plan
        if plan.size is None or relayed.has_sent_events:
            return None
        if not (relayed.route.retryable and relayed.has_attempts_left()):
            return None
        larger = self.choose_size(relayed, plan, answer)
        if larger is None:
            return None
        larger_plan = self.plan_run(relayed, larger)
        if larger_plan is None:
            return None
        if not self.retries.take_for_escalation(plan.service):
            return None
        self.metrics.count_size_raise(plan.service)
        self.router_state.releases.runs.end(dispatch.run)
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='cascade',
            peer=plan.runner.address,
            confidence=answer.metadata.confidence,
            model=plan.size.model,
            larger=larger.model,
        ).info('answer held for a larger model')
        return self.planner.reserve(larger_plan)

    def choose_size(self, relayed, plan, answer):
        """Return the larger size that is worth more, or None."""
        candidates = self.planner.eligible_sizes(relayed, plan.service)
        return sizes.larger_size(
            candidates,
            plan.size,
            relayed.route.priority,
            answer.metadata.confidence,
            self.router_state.value_model,
            self.timeouts.timing(
                relayed,
                plan,
                candidates[-1],
                answer,
                self.router_state.queues.seconds(plan.runner.id),
            ),
        )

    def plan_run(self, relayed, larger):
        """Return the plan of a run at a larger size that can be finished.

        None if no healthy endpoint can take it. The endpoint of the small
        model may be chosen, too.
        """
        smaller = relayed.size
        relayed.size = larger
        try:
            plan = self.planner.plan(
                relayed,
                self.timeouts.usual_head_seconds(relayed),
                beside=False,
            )
        except errors.NotRun:
            return None
        finally:
            relayed.size = smaller
        return None if plan.suspected else plan
