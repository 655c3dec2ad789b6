"""Handles failed dispatches: probe, retry, resume or fail."""

import dataclasses
import time

from celeryward import deadlines
from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs

MAX_DISPATCHES = 4
# Errors caused by either the connection or the endpoint; a probe over a new
# connection tells which.
AMBIGUOUS_ERRORS = (
    errors.AnswerMismatch,
    errors.ConnectionFailed,
    errors.ConnectionSilent,
    errors.AnswerTruncated,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """Restrictions on the next dispatch of a request.

    :param frozenset probation_endpoints: endpoints that run a suspect on
        probation.
    :param frozenset crashed_endpoints: endpoints that crashed while
        running the request; if there are any, the request is a suspect.
    :param bool undecided: whether the request has to wait until it is
        decided whether it is harmful.
    """

    probation_endpoints: frozenset = frozenset()
    crashed_endpoints: frozenset = frozenset()
    undecided: bool = False


NO_ISOLATION = Isolation()


class Recovery:
    """Classifies failed dispatches, as section 2 of the design describes.

    :param candidates.EndpointView view: state of the endpoints.
    :param pool.EndpointPool connections: connections to endpoints.
    :param prober.Prober prober: probes over new connections.
    :param fingerprints.SuspectRequests suspects: requests that may crash
        endpoints.
    """

    def __init__(self, view, connections, prober, suspects, metrics):
        self.view = view
        self.connections = connections
        self.prober = prober
        self.suspects = suspects
        self.harmful = harmful_requests.HarmfulRequests()
        self.metrics = metrics
        self.budget = retries.RetryBudget()
        self.observer = None

    def isolation(self, attempt):
        """Return the :class:`Isolation` of the next dispatch.

        :raises errors.HarmfulRequest: if the request is harmful.
        """
        self.check_traits(attempt)
        if not self.suspects.has_evidence():
            return NO_ISOLATION
        return Isolation(
            frozenset(self.suspects.probations),
            self.suspects.crashed_endpoints(attempt.fingerprint),
            self.check_harmful(attempt),
        )

    def check_traits(self, attempt):
        """Check that requests with the same messages don't crash endpoints.

        The first dispatch of a request may be a trial.

        :raises errors.HarmfulRequest: as :meth:`check_harmful`.
        """
        harmful = self.harmful
        if not harmful.has_evidence():
            return
        culprit = harmful.find(attempt.model, attempt.traits.all())
        if culprit is None:
            return
        if not attempt.dispatches:
            if attempt.trial is None and harmful.begin_trial(
                attempt.model, culprit
            ):
                attempt.trial = culprit
            if attempt.trial is not None:
                return
        error = errors.HarmfulRequest(
            f'{culprit.crashes} endpoints crashed under such requests',
            step='select',
            peer=attempt.model,
            retry_at=deadlines.Deadline(
                harmful.trial_at(attempt.model, culprit)
            ),
        )
        if attempt.may_have_run:
            error.execution = errors.Execution.UNKNOWN
        raise error

    def record_crash(self, attempt, endpoint):
        """Record that an endpoint crashed while it ran a request."""
        self.suspects.record_crash(endpoint.name, attempt.fingerprint)
        self.harmful.record_crash(
            crashes.Crash(
                endpoint.name,
                0.0,
                attempt.model,
                self.harmful.clock(),
                (attempt.traits,),
                attempt.trial is not None,
            )
        )

    def check_harmful(self, attempt):
        """Raise an error for a request that has crashed two endpoints.

        :returns: whether this is undecided, so that the request has to wait.
        :raises errors.HarmfulRequest: its execution is unknown if an earlier
            dispatch may have run.
        """
        checked = self.suspects.check(attempt.fingerprint)
        if checked.is_ok():
            return False
        if self.suspects.is_undecided(attempt.fingerprint):
            return True
        error = checked.unwrap_err()
        if attempt.may_have_run:
            error.execution = errors.Execution.UNKNOWN
        raise error

    def record_dispatch(self, attempt, isolation):
        """Record a dispatch, and begin a probation if it is a suspect."""
        if attempt.dispatches == 1:
            self.budget.record_first_dispatch()
        attempt.endpoint_crashed = False
        attempt.on_probation = bool(isolation.crashed_endpoints)
        if attempt.on_probation:
            self.suspects.begin_probation(
                attempt.candidate.endpoint.name, attempt.fingerprint
            )

    def record_response(self, attempt):
        """Record a complete response."""
        self.end_probation(attempt)
        if self.suspects.has_evidence():
            self.suspects.record_response(attempt.fingerprint)
        self.harmful.answered.record(attempt.model, attempt.traits)
        if self.harmful.has_evidence():
            for clearance in self.harmful.clearances(
                attempt.model, attempt.traits.all()
            ):
                self.harmful.record_clearance(clearance)

    def end_probation(self, attempt):
        """End the probation, so that the endpoint gets other work again."""
        if attempt.trial is not None:
            self.harmful.end_trial(attempt.model, attempt.trial)
        if attempt.on_probation:
            self.suspects.end_probation(
                attempt.candidate.endpoint.name, attempt.fingerprint
            )

    async def handle_failure(self, attempt, error):
        """Return if the request has to be dispatched again.

        :raises errors.CelerywardError: the error for the caller otherwise.
        """
        if self.observer is not None:
            self.observer.failed(attempt, error)
        attempt.may_have_run |= error.sent
        if attempt.emitted_tokens:
            attempt.add_partial_run()
        if isinstance(error, errors.EndpointRefused):
            self.view.load.record_refusal(attempt.candidate.endpoint.name)
        try:
            if isinstance(error, AMBIGUOUS_ERRORS):
                await self.diagnose(attempt, error)
        finally:
            self.end_probation(attempt)
        action = self.choose_action(attempt, error)
        logs.bind_error(error, request_id=attempt.call.request_id).warning(
            'dispatch failed: {}; action {}', error.message, action.value
        )
        if action is retries.Action.FAIL:
            raise retries.final_error(error, attempt.may_have_run) from error
        self.metrics.retries.labels(error.code).inc()

    def choose_action(self, attempt, error):
        """Return the action, within the limits on repeated dispatches."""
        action = retries.choose_action(
            attempt.call, error, attempt.emitted_tokens
        )
        if action is retries.Action.FAIL:
            return action
        if attempt.dispatches >= MAX_DISPATCHES:
            return retries.Action.FAIL
        # A suspect that was sent on probation is not run again, unless its
        # endpoint crashed and the crash is attributed to another request.
        if (
            attempt.on_probation
            and error.sent
            and not attempt.endpoint_crashed
        ):
            return retries.Action.FAIL
        if not self.budget.try_take():
            return retries.Action.FAIL
        return action

    async def diagnose(self, attempt, error):
        """Probe whether the connection or the endpoint has failed.

        An endpoint that passes the probe may be retried once over a new
        connection: at once after a silent connection, which says nothing
        about the endpoint, else only if no other endpoint is available.
        """
        silent = isinstance(error, errors.ConnectionSilent)
        if silent and attempt.call.deadline.expired():
            # The deadline of the call caused this, not the connection.
            return
        endpoint = attempt.candidate.endpoint
        alive = await self.prober.probe_after_failure(
            endpoint, time.monotonic()
        )
        if not alive:
            self.view.liveness.mark_suspected(
                endpoint.name, self.prober.timings.probe_interval
            )
            await self.connections.close_idle(endpoint)
            if (
                error.sent
                and not silent
                and not self.prober.is_silent(endpoint.name)
            ):
                self.record_crash(attempt, endpoint)
                attempt.endpoint_crashed = True
                self.check_harmful(attempt)
            return
        is_first = endpoint.name not in attempt.past_retry_candidates
        attempt.past_retry_candidates |= {endpoint.name}
        if is_first:
            attempt.retry_candidates |= {endpoint.name}
        if silent:
            await self.connections.close_possibly_silent(endpoint, error)
            attempt.allow_retry_candidates()
