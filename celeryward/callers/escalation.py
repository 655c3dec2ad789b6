"""Decides whether the answer of a small model is dropped for a larger one."""

from celeryward.endpoints import forwarding
from celeryward import logs
from celeryward.raters import sizes


class Escalation:
    """Drops answers that a larger model is worth more for.

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

    def escalate(self, relayed, dispatch, answer):
        """Return whether an answer is dropped for that of a larger model."""
        if forwarding.is_server_error(answer.head):
            return False
        larger = self.choose_escalation(relayed, dispatch.plan, answer)
        if larger is None:
            return False
        relayed.deliveries += 1
        relayed.runs += 1
        relayed.size = larger
        self.router_state.releases.runs.end(dispatch.run)
        return True

    def choose_escalation(self, relayed, plan, answer):
        """Return the larger model to escalate to, or None to keep the answer.

        The caller must not have received any part of the answer, and the
        escalation must be allowed as a retry: it takes a token of the retry
        budget.
        """
        if plan.size is None or relayed.has_sent_events:
            return None
        if not (relayed.route.retryable and relayed.has_attempts_left()):
            return None
        candidates = self.planner.eligible_sizes(relayed, plan.service)
        larger = sizes.larger_size(
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
        if larger is None or not self.secure(relayed, plan.service, larger):
            return None
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='cascade',
            peer=plan.runner.address,
            confidence=answer.metadata.confidence,
            model=plan.size.model,
            larger=larger.model,
        ).info('answer dropped for a larger model')
        return larger

    def secure(self, relayed, service, larger):
        """Take the token of a run of a larger model, if one can be made.

        :returns: whether it was taken.
        """
        if not self.planner.can_serve(relayed, service, larger):
            return False
        if not self.retries.take_for_escalation(service):
            return False
        relayed.budget_charged = True
        self.metrics.count_size_raise(service)
        return True
