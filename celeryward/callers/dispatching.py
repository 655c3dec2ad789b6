"""One dispatch of a request to an endpoint, and what is recorded of it."""

import contextlib
import time

import curio

from celeryward import awake_clock
from celeryward.callers import planning
from celeryward.callers import relayed_requests
from celeryward.endpoints import forwarding
from celeryward.endpoints import held_evidence
from celeryward import errors
from celeryward import logs


# Errors with which the connection of an exchange ends when its endpoint does.
BROKEN_ERRORS = (errors.ConnectionFailed, errors.AnswerTruncated)


class Dispatcher:
    """Dispatches requests and records their outcomes.

    :param router_admission.RouterState router_state: shared by all requests.
    :param forwarder: :class:`forwarding.Forwarder`.
    :param timeouts: :class:`endpoint_timeouts.EndpointTimeouts`.
    :param retries: :class:`retry_control.RetryControl`.
    :param log_fields: function that returns the log fields of the state that
        decisions are based on.
    """

    def __init__(self, router_state, forwarder, timeouts, retries, log_fields):
        self.router_state = router_state
        self.crash_watch = router_state.crash_watch
        self.guard = router_state.guard
        self.forwarder = forwarder
        self.timeouts = timeouts
        self.retries = retries
        self.log_fields = log_fields
        self.evidence_lines = held_evidence.LineLimit(self.guard.harmful.clock)

    @contextlib.contextmanager
    def begin(self, relayed, plan):
        """Yield the :class:`relayed_requests.Dispatch` of a request."""
        self.log_dispatch(relayed, plan)
        self.log_evidence(relayed, plan)
        watched = self.crash_watch.begin(
            plan.runner, relayed.traits, relayed.trial is not None
        )
        dispatch = relayed_requests.Dispatch(
            plan, self.begin_run(relayed, plan), awake_clock.CLOCK(), watched
        )
        relayed.running += (plan.runner.id,)
        try:
            yield dispatch
        finally:
            self.crash_watch.end(watched)
            if watched.is_sound() or watched.goes_on():
                # The endpoint outlived the prompt, however the answer ended.
                self.guard.harmful.answered.record_parts(
                    plan.service,
                    relayed_requests.shared_parts(relayed.metadata),
                )
            relayed.end_running(plan.runner.id)
            self.router_state.releases.runs.drop(dispatch.run)

    def log_dispatch(self, relayed, plan):
        """Log the endpoint of a dispatch and the state behind the choice."""
        outcomes = self.router_state.outcomes
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='dispatch',
            peer=plan.runner.address,
            endpoint=plan.runner.id,
            software=plan.runner.software,
            model=plan.size.model if plan.size else '',
            route=relayed.route.name,
            service=plan.service,
            parts=relayed_requests.describe_parts(relayed.metadata),
            attempt=relayed.dispatches,
            after_event=relayed.sequence.last,
            in_flight=outcomes.in_flight.get(plan.runner.id, 0),
            suspected=plan.suspected,
            cold=plan.slot is not None,
            left=round(relayed.deadline.remaining(), 3),
            **self.log_fields(),
        ).info('dispatched')

    def log_evidence(self, relayed, plan):
        """Log why a request is sent although such ones crashed endpoints."""
        harmful = self.guard.harmful
        if not harmful.has_evidence():
            return
        held = held_evidence.find_evidence(
            harmful,
            plan.service,
            relayed.traits().all(),
            relayed.trial is not None,
        )
        if held is None or not self.evidence_lines.allows(held.trait):
            return
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='dispatch',
            peer=plan.runner.address,
            endpoint=plan.runner.id,
            service=plan.service,
            trait=held.trait,
            crashes=held.crashes,
            moments=held.moments,
            age=round(held.age_seconds, 3),
            allowed=held.allowed,
        ).info('dispatched although such requests crashed endpoints')

    def begin_run(self, relayed, plan):
        """Register a dispatch; return its :class:`runs.Run`.

        Roll-outs compare the runs of software versions.
        """
        model = plan.size.model if plan.size else ''
        return self.router_state.releases.runs.begin(
            plan.service,
            plan.runner.software,
            f'{relayed.route.name} {model}',
            plan.runner.id,
            relayed_requests.work_units(relayed.metadata),
        )

    @contextlib.asynccontextmanager
    async def open_answer(self, relayed, dispatch, on_late):
        """Forward a request; yield the answer once its head has arrived."""
        plan = dispatch.plan
        forwarded = self.forwarded_request(relayed, dispatch, on_late)
        async with self.forwarder.dispatch(
            forwarded, plan.runner, plan.place
        ) as answer:
            if not answer.is_event_stream:
                dispatch.watched.record_output()
            self.router_state.releases.runs.head_arrived(dispatch.run)
            self.timeouts.record_head_seconds(relayed, plan, answer)
            self.router_state.queues.record(
                plan.runner.id,
                self.timeouts.queue_seconds(relayed, plan, answer),
            )
            yield answer

    def forwarded_request(self, relayed, dispatch, on_late):
        """Return the :class:`forwarding.ForwardedRequest` of a dispatch."""
        plan = dispatch.plan
        route = relayed.route
        return forwarding.ForwardedRequest(
            relayed.head,
            relayed.body,
            relayed.metadata.request_id,
            relayed.customer.name if relayed.customer else '',
            plan.size.model if plan.size else '',
            relayed_requests.urgency(relayed),
            relayed.deadline,
            self.timeouts.head_deadline(relayed, plan),
            self.timeouts.pause_seconds(relayed),
            self.timeouts.body_seconds(relayed),
            relayed.sequence.last,
            must_not_repeat=not route.retryable,
            on_late=on_late,
            watched=dispatch.watched,
            slot=plan.slot,
        )

    async def record_events(self, relayed, dispatch, count):
        """Record that events of a stream have arrived.

        :param int count: number of events so far.
        """
        self.router_state.releases.runs.events_arrived(dispatch.run, count)
        dispatch.watched.record_output()
        if self.guard.harmful.has_evidence():
            if dispatch.watched.count_survival():
                await self.guard.record_answer(
                    dispatch.plan.service, relayed.traits().parts
                )

    async def record_success(self, relayed, dispatch, answer):
        """Record a complete answer that was relayed."""
        plan = dispatch.plan
        self.record_duration(relayed, dispatch)
        releases = self.router_state.releases
        releases.runs.end(dispatch.run)
        releases.record_session(
            plan.service, relayed.metadata.session, plan.runner.software
        )
        self.router_state.outcomes.record_response(
            plan.runner.id,
            answer.seconds,
            relayed_requests.work_units(relayed.metadata),
        )
        self.crash_watch.record_whole_answer(dispatch.watched)
        self.guard.harmful.answered.record(plan.service, relayed.traits())
        # Last, because a caller that leaves cancels this where it waits.
        if self.guard.harmful.has_evidence():
            await self.guard.record_answer(
                plan.service, relayed.traits().all()
            )

    def record_duration(self, relayed, dispatch):
        """Record how long a run and its whole request took."""
        now = awake_clock.CLOCK()
        check = self.router_state.completion
        kind = planning.run_kind(relayed, dispatch.plan.size)
        check.record(kind, now - dispatch.began_at)
        check.record(planning.whole_kind(relayed), now - relayed.began_at)

    def record_late_answer(self, dispatch):
        """Count an answer that is late against endpoint and version."""
        self.router_state.outcomes.record_failure(dispatch.plan.runner.id)
        self.router_state.releases.runs.end(dispatch.run, failed=True)

    def log_late(self, relayed, dispatch, waited_seconds, message):
        """Log what follows from an answer that is late."""
        runner = dispatch.plan.runner
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='await answer',
            peer=runner.address,
            endpoint=runner.id,
            route=relayed.route.name,
            silent=round(waited_seconds, 3),
            events=relayed.sequence.last,
            left=round(relayed.deadline.remaining(), 3),
            tokens=self.retries.tokens(relayed.service),
        ).info(message)

    def note_break(self, dispatch, error):
        """Record that the connection of a dispatch broke, if it did.

        Its run ends before it is known whether the endpoint has ended, and
        shows nothing until then.
        """
        dispatch.watched.broken = isinstance(error, BROKEN_ERRORS)

    async def find_crash(self, relayed, dispatch, error):
        """Find out whether a failed dispatch ended with its endpoint."""
        if not (error.sent and isinstance(error, BROKEN_ERRORS)):
            return
        # The probe of the endpoint goes on without this request.
        async with curio.ignore_after(relayed.deadline.remaining()):
            await self.crash_watch.record_break(dispatch.watched)
        relayed.crashes_at_begin += dispatch.watched.crashed_at_begin()

    def record_error(self, relayed, dispatch, error):
        """Record and log a failed dispatch."""
        runner = dispatch.plan.runner
        may_open = isinstance(
            error, errors.EndpointCold
        ) or self.router_state.closures.is_closed(runner)
        if error.sent or not may_open:
            # One that is closed may run the request after its pause.
            relayed.tried_endpoints |= {runner.id}
        relayed.deliveries += error.sent or isinstance(
            error, errors.EndpointRefused
        )
        self.record_failure(relayed, dispatch, error)
        self.retries.metrics.count_failed_dispatch(
            dispatch.plan.service, error.code
        )
        if error.sent:
            relayed.runs += 1
        else:
            relayed.refusals += 1
        logs.bind_error(
            error,
            request_id=relayed.metadata.request_id,
            endpoint=runner.id,
            software=runner.software,
            route=relayed.route.name,
            runs=relayed.runs,
            events=relayed.sequence.last,
            again=relayed.may_retry_after(error),
            silent=silent_seconds(error),
            left=round(relayed.deadline.remaining(), 3),
            tokens=self.retries.tokens(relayed.service),
        ).info('dispatch failed: {} {}', error.code, error.message)

    def record_error_answer(self, relayed, dispatch):
        """Record an answer with an error status."""
        runner_id = dispatch.plan.runner.id
        relayed.deliveries += 1
        relayed.runs += 1
        relayed.tried_endpoints |= {runner_id}
        self.router_state.releases.runs.end(dispatch.run, failed=True)
        self.router_state.outcomes.record_failure(runner_id)

    def record_failure(self, relayed, dispatch, error):
        """Record a failure in the statistics of endpoints and versions."""
        outcomes = self.router_state.outcomes
        runner_id = dispatch.plan.runner.id
        if isinstance(error, errors.EndpointRefused):
            outcomes.record_refusal(runner_id)
        elif dispatch.watched.aborted:
            # The router itself has ended the run.
            return
        elif isinstance(error, errors.EndpointLeft):
            # The state of the endpoint already shows that it left or closed.
            return
        elif isinstance(error, errors.AnswerMismatch):
            # The answer to another request is no evidence of this one.
            return
        elif not error.sent:
            outcomes.record_connect_failure(runner_id)
            if isinstance(error, errors.ConnectionRefused):
                self.router_state.warm_ups.expect_restart(dispatch.plan.runner)
        else:
            outcomes.record_failure(runner_id)
            # Only a timeout counts against the software version: a broken
            # connection may have other causes.
            silent = isinstance(error, errors.ConnectionSilent)
            if silent and not relayed.deadline.expired():
                self.router_state.releases.runs.end(dispatch.run, failed=True)


def silent_seconds(error):
    """Return how long an endpoint was silent, None for other failures."""
    if not isinstance(error, errors.ConnectionSilent):
        return None
    return round(time.monotonic() - error.silent_since, 3)
