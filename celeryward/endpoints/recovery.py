"""What follows a failed dispatch: probe, retry, resume or give up."""

import time

from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs

MAX_DISPATCHES = 4
# Faults of a connection or of its endpoint; a new connection decides.
UNEXPLAINED = (
    errors.AnswerMismatch,
    errors.ConnectionFailed,
    errors.ConnectionSilent,
    errors.AnswerTruncated,
)


class Recovery:
    """Classifies failures of dispatches as section 2 of the design does.

    :param candidates.View view: what the daemon knows.
    :param pool.EndpointPool connections: connections to endpoints.
    :param prober.Prober prober: probes over new connections.
    """

    def __init__(self, view, connections, prober, metrics):
        self.view = view
        self.connections = connections
        self.prober = prober
        self.metrics = metrics
        self.budget = retries.RetryBudget()
        self.observer = None

    def dispatched(self, attempt):
        """Note a dispatch."""
        if attempt.dispatches == 1:
            self.budget.first_dispatch()

    async def after_failure(self, attempt, error):
        """Return if the request is to be dispatched again.

        :raises errors.CelerywardError: the error for the caller, if not.
        """
        if self.observer is not None:
            self.observer.failed(attempt, error)
        attempt.may_have_run |= error.sent
        if attempt.emitted_tokens:
            attempt.add_partial_run()
        if isinstance(error, UNEXPLAINED):
            await self.examine(attempt, error)
        action = self.decide(attempt, error)
        logs.bind_error(error, request_id=attempt.call.request_id).warning(
            'dispatch failed: {}; action {}', error.message, action.value
        )
        if action is retries.Action.FAIL:
            raise retries.final_error(error, attempt.may_have_run) from error
        self.metrics.retries.labels(error.code).inc()

    def decide(self, attempt, error):
        """Return the action within the bounds on repeated dispatches."""
        action = retries.after_failure(
            attempt.call, error, attempt.emitted_tokens
        )
        if action is retries.Action.FAIL:
            return action
        if attempt.dispatches >= MAX_DISPATCHES or not self.budget.take():
            return retries.Action.FAIL
        return action

    async def examine(self, attempt, error):
        """Decide between a bad connection and a failed endpoint.

        A live endpoint may be tried once more over a new connection: at
        once after a silent connection, which says nothing about the
        endpoint, else only if no other endpoint is left.
        """
        endpoint = attempt.candidate.endpoint
        alive = await self.prober.check(endpoint, time.monotonic())
        if not alive:
            self.view.liveness.suspect(
                endpoint.name, self.prober.timings.probe_interval
            )
            await self.connections.close_idle(endpoint)
            return
        first_time = endpoint.name not in attempt.replaced
        attempt.replaced |= {endpoint.name}
        if first_time:
            attempt.spare |= {endpoint.name}
        if isinstance(error, errors.ConnectionSilent):
            await self.connections.close_unproven(endpoint, error)
            attempt.take_spare()
