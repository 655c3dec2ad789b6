"""What follows a failed dispatch: probe, retry, resume or give up."""

import dataclasses
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


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """How the next dispatch of a request keeps apart from suspects.

    :param frozenset probations: endpoints with a suspect on probation.
    :param frozenset crashed: endpoints that crashed while running the
        request, which is a suspect if there are any.
    :param bool held: whether the request waits for a verdict.
    """

    probations: frozenset = frozenset()
    crashed: frozenset = frozenset()
    held: bool = False


NO_ISOLATION = Isolation()


class Recovery:
    """Classifies failures of dispatches as section 2 of the design does.

    :param candidates.View view: what the daemon knows.
    :param pool.EndpointPool connections: connections to endpoints.
    :param prober.Prober prober: probes over new connections.
    :param fingerprints.Fingerprints suspects: requests that crash engines.
    """

    def __init__(self, view, connections, prober, suspects, metrics):
        self.view = view
        self.connections = connections
        self.prober = prober
        self.suspects = suspects
        self.metrics = metrics
        self.budget = retries.RetryBudget()
        self.observer = None

    def isolation(self, attempt):
        """Return the :class:`Isolation` of the next dispatch.

        :raises errors.HarmfulRequest: if the request is refused.
        """
        if not self.suspects.active():
            return NO_ISOLATION
        return Isolation(
            frozenset(self.suspects.probations),
            self.suspects.endpoints(attempt.fingerprint),
            self.refuse_harmful(attempt),
        )

    def refuse_harmful(self, attempt):
        """Raise the error of a request that has crashed two endpoints.

        :returns: whether the verdict is open, so that the request waits.
        :raises errors.HarmfulRequest: not run if no dispatch was sent.
        """
        checked = self.suspects.check(attempt.fingerprint)
        if checked.is_ok():
            return False
        if self.suspects.pending(attempt.fingerprint):
            return True
        error = checked.unwrap_err()
        if attempt.may_have_run:
            error.execution = errors.Execution.UNKNOWN
        raise error

    def dispatched(self, attempt, isolation):
        """Note a dispatch."""
        if attempt.dispatches == 1:
            self.budget.first_dispatch()
        attempt.crashed = False
        attempt.on_probation = bool(isolation.crashed)
        if attempt.on_probation:
            self.suspects.begin_probation(
                attempt.candidate.endpoint.name, attempt.fingerprint
            )

    def answered(self, attempt):
        """Note a whole answer."""
        self.end_probation(attempt)
        if self.suspects.active():
            self.suspects.answered(attempt.fingerprint)

    def end_probation(self, attempt):
        """Open the endpoint of a suspect to other work again."""
        if attempt.on_probation:
            self.suspects.end_probation(
                attempt.candidate.endpoint.name, attempt.fingerprint
            )

    async def after_failure(self, attempt, error):
        """Return if the request is to be dispatched again.

        :raises errors.CelerywardError: the error for the caller, if not.
        """
        if self.observer is not None:
            self.observer.failed(attempt, error)
        attempt.may_have_run |= error.sent
        if attempt.emitted_tokens:
            attempt.add_partial_run()
        if isinstance(error, errors.EndpointRefused):
            self.view.load.refused(attempt.candidate.endpoint.name)
        try:
            if isinstance(error, UNEXPLAINED):
                await self.examine(attempt, error)
        finally:
            self.end_probation(attempt)
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
        if attempt.dispatches >= MAX_DISPATCHES:
            return retries.Action.FAIL
        # A suspect that has run on probation is not run again, unless the
        # crash of its endpoint turns out to be the work of another request.
        if attempt.on_probation and error.sent and not attempt.crashed:
            return retries.Action.FAIL
        if not self.budget.take():
            return retries.Action.FAIL
        return action

    async def examine(self, attempt, error):
        """Decide between a bad connection and a failed endpoint.

        A live endpoint may be tried once more over a new connection: at
        once after a silent connection, which says nothing about the
        endpoint, else only if no other endpoint is left.
        """
        silent = isinstance(error, errors.ConnectionSilent)
        if silent and attempt.call.deadline.expired():
            # The call ran out of time; this says nothing of the connection.
            return
        endpoint = attempt.candidate.endpoint
        alive = await self.prober.probe_after_failure(
            endpoint, time.monotonic()
        )
        if not alive:
            self.view.liveness.suspect(
                endpoint.name, self.prober.timings.probe_interval
            )
            await self.connections.close_idle(endpoint)
            if error.sent and not silent:
                self.suspects.crashed(endpoint.name, attempt.fingerprint)
                attempt.crashed = True
                self.refuse_harmful(attempt)
            return
        first_time = endpoint.name not in attempt.replaced
        attempt.replaced |= {endpoint.name}
        if first_time:
            attempt.retry_candidates |= {endpoint.name}
        if silent:
            await self.connections.close_possibly_silent(endpoint, error)
            attempt.allow_retry_candidates()
