"""Reverse proxying of requests that are forwarded unchanged.

One task takes a request through all steps: match the route, authenticate,
choose an endpoint, dispatch, perhaps escalate to a larger model or retry,
and relay the answer to the caller.
"""

import collections

from celeryward.callers import endpoint_timeouts
from celeryward.callers import planning
from celeryward.callers import relayed_requests
from celeryward.callers import reopening_waiter
from celeryward.callers import router_admission
from celeryward.endpoints import fleet_retries
from celeryward.endpoints import forwarding
from celeryward import errors
from celeryward import logs
from celeryward.raters import sizes

# A request is not retried after this many dispatches that were not sent or
# that endpoints refused.
MAX_REFUSALS = 3


class Relay:
    """Forwards requests to endpoints and relays the answers.

    :param router_admission.RouterState router_state: shared by all requests.
    :param forwarder: :class:`forwarding.Forwarder`.
    :param translator: has ``read_request(head)``, which returns an
        :class:`ingress.RequestMetadata`.
    :param retry_allowance: function that returns the current
        :class:`fleet_retries.FleetAllowance`.
    :param metrics: :class:`router_metrics.RouterMetrics`.
    """

    def __init__(
        self, router_state, forwarder, translator, retry_allowance, metrics
    ):
        self.router_state = router_state
        self.forwarder = forwarder
        self.translator = translator
        self.retry_allowance = retry_allowance
        self.budgets = collections.defaultdict(
            lambda: fleet_retries.FleetBudget(retry_allowance())
        )
        self.metrics = metrics
        self.admission = router_admission.AdmissionControl(router_state)
        self.planner = planning.Planner(router_state)
        self.waiter = reopening_waiter.ReopeningWaiter(
            self.planner, router_state
        )
        self.timeouts = endpoint_timeouts.EndpointTimeouts()

    def update_budgets(self):
        """Adapt the retry budgets to the number of routers and the bounds."""
        allowance = self.retry_allowance()
        for budget in self.budgets.values():
            budget.set_allowance(allowance)

    async def serve(self, head, body, responder):
        """Serve one request within its deadline.

        :raises errors.CelerywardError: if it fails without an answer.
        """
        metadata = self.translator.read_request(head)
        responder.request_id = metadata.request_id
        relayed = self.admission.admit(metadata, head, body)
        responder.route = relayed.route.name
        try:
            await self.dispatch_until_answered(relayed, responder)
        except (errors.NotRun, errors.OutcomeUnknown):
            if relayed.failed_answer is None or responder.started:
                raise
            # The endpoint's error answer tells the caller more than an error
            # of the router.
            await responder.send_response(*relayed.failed_answer)

    async def dispatch_until_answered(self, relayed, responder):
        """Dispatch until an answer is relayed.

        :raises errors.CelerywardError: if the request is not retried.
        """
        done = False
        while not done:
            plan = await self.next_plan(relayed)
            relayed.service = plan.service
            self.charge_retry_budget(relayed)
            relayed.dispatches += 1
            self.log_dispatch(relayed, plan)
            try:
                done = await self.dispatch_once(relayed, plan, responder)
            except errors.EndpointFailure as error:
                self.handle_dispatch_error(relayed, plan, error)

    async def next_plan(self, relayed):
        """Return the :class:`relayed_requests.Plan` of the next dispatch.

        :raises errors.NotRun: if there is none and the request has not run.
        :raises errors.OutcomeUnknown: if there is none and the request may
            have run.
        """
        try:
            return await self.waiter.plan(relayed)
        except errors.NotRun as error:
            if not relayed.runs:
                raise
            raise self.final_error(relayed, error.message, error) from error

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
            attempt=relayed.dispatches,
            after_event=relayed.sequence.last,
            in_flight=outcomes.in_flight.get(plan.runner.id, 0),
            suspected=plan.suspected,
            left=round(relayed.deadline.remaining(), 3),
            **self.admission.log_fields(),
        ).info('dispatched')

    def charge_retry_budget(self, relayed):
        """Count a dispatch towards the service's retry budget.

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
                retry_at=self.waiter.retry_at(relayed),
            )
        return errors.OutcomeUnknown(
            f'request may have run: {reason}', step=step, peer=peer
        )

    async def dispatch_once(self, relayed, plan, responder):
        """Dispatch once; return whether an answer was relayed."""
        relayed.run = self.begin_run(relayed, plan)
        try:
            return await self.relay_answer(relayed, plan, responder)
        finally:
            self.router_state.releases.runs.drop(relayed.run)

    async def relay_answer(self, relayed, plan, responder):
        """Dispatch and relay the answer; return whether it was relayed."""
        forwarded = self.forwarded_request(relayed, plan)
        releases = self.router_state.releases
        async with self.forwarder.dispatch(forwarded, plan.runner) as answer:
            releases.runs.head_arrived(relayed.run)
            self.timeouts.record_head_seconds(relayed, plan, answer)
            self.router_state.queues.record(
                plan.runner.id,
                self.timeouts.queue_seconds(relayed, plan, answer),
            )
            if forwarding.is_server_error(answer.head):
                return await self.handle_error_answer(
                    relayed, plan, answer, responder
                )
            larger = self.choose_escalation(relayed, plan, answer)
            if larger is not None:
                relayed.deliveries += 1
                relayed.runs += 1
                relayed.size = larger
                releases.runs.end(relayed.run)
                return False
            if forwarding.is_stream(relayed.route):
                await self.relay_events(relayed, answer, responder)
            else:
                content = await answer.body()
                await responder.send_response(answer.head, content)
        releases.runs.end(relayed.run)
        releases.record_session(
            plan.service, relayed.metadata.session, plan.runner.software
        )
        self.router_state.outcomes.record_response(
            plan.runner.id,
            answer.seconds,
            relayed_requests.work_units(relayed.metadata),
        )
        return True

    def forwarded_request(self, relayed, plan):
        """Return the :class:`forwarding.ForwardedRequest` of a dispatch."""
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
            self.timeouts.pause_seconds(relayed, plan),
            self.timeouts.body_seconds(relayed, plan),
            relayed.sequence.last,
            new_connection=not route.retryable,
        )

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
        if larger is not None and not self.planner.can_run(relayed, larger):
            return None
        budget = self.budgets[plan.service]
        if larger is not None and not budget.try_take_for_escalation():
            return None
        if larger is not None:
            relayed.budget_charged = True
            self.metrics.count_size_raise(plan.service)
            logs.bind(
                request_id=relayed.metadata.request_id,
                step='cascade',
                peer=plan.runner.address,
                confidence=answer.metadata.confidence,
                model=plan.size.model,
                larger=larger.model,
            ).info('answer dropped for a larger model')
        return larger

    async def relay_events(self, relayed, answer, responder):
        """Relay the events of a stream as they arrive."""
        start_id = relayed.sequence.last
        if not responder.started:
            await responder.start_stream(answer.head)
        async for batch in answer.events(relayed.sequence):
            await responder.send(b''.join(event.raw for event in batch))
            self.router_state.releases.runs.events_arrived(
                relayed.run, relayed.sequence.last - start_id
            )
        await responder.finish()

    async def handle_error_answer(self, relayed, plan, answer, responder):
        """Retry after an answer with an error status, or relay it.

        :returns: whether the answer was relayed.
        :raises errors.OutcomeUnknown: if the caller has received events of
            the stream, so that the error answer can't be relayed.
        """
        content = await answer.body()
        relayed.deliveries += 1
        relayed.runs += 1
        self.router_state.releases.runs.end(relayed.run, failed=True)
        self.router_state.outcomes.record_failure(plan.runner.id)
        relayed.tried_endpoints |= {plan.runner.id}
        if relayed.has_sent_events:
            raise errors.OutcomeUnknown(
                f'endpoint answered {answer.head.status} to a resumed stream',
                step='resume',
                peer=plan.runner.address,
            )
        if self.acquire_retry_token(relayed):
            relayed.budget_charged = True
            relayed.failed_answer = (answer.head, content)
            logs.bind(
                request_id=relayed.metadata.request_id,
                step='retry',
                peer=plan.runner.address,
            ).info('endpoint failed with {}; retrying', answer.head.status)
            return False
        await responder.send_response(answer.head, content)
        return True

    def acquire_retry_token(self, relayed):
        """Take a token of the retry budget if the request may be retried.

        :returns: whether it may.
        """
        if not relayed.may_run_again() or relayed.deadline.expired():
            return False
        try:
            self.planner.plan(relayed)
        except errors.NotRun:
            return False
        return self.budgets[relayed.service].try_take()

    def handle_dispatch_error(self, relayed, plan, error):
        """Record and log a failed dispatch; return if a retry is allowed.

        :raises errors.Overloaded: if no retry is allowed and the request
            has not run.
        :raises errors.AnswerLate: if the deadline has passed and the request
            may have run.
        :raises errors.OutcomeUnknown: if no retry is allowed and the request
            may have run.
        """
        runner = plan.runner
        if error.sent or not self.router_state.closures.is_closed(runner):
            relayed.tried_endpoints |= {runner.id}
        relayed.deliveries += error.sent or isinstance(
            error, errors.EndpointRefused
        )
        self.record_failure(relayed, plan, error)
        if error.sent:
            relayed.runs += 1
            may_retry = relayed.may_run_again()
        else:
            relayed.refusals += 1
            may_retry = relayed.refusals < MAX_REFUSALS
        logs.bind_error(
            error,
            request_id=relayed.metadata.request_id,
            endpoint=runner.id,
            software=runner.software,
            route=relayed.route.name,
            runs=relayed.runs,
            events=relayed.sequence.last,
            again=may_retry,
        ).info('dispatch failed: {} {}', error.code, error.message)
        if relayed.deadline.expired() or not may_retry:
            raise self.final_error(relayed, error.message, error)

    def record_failure(self, relayed, plan, error):
        """Record a failure in the statistics of endpoints and versions."""
        outcomes = self.router_state.outcomes
        runner_id = plan.runner.id
        if isinstance(error, errors.EndpointRefused):
            outcomes.record_refusal(runner_id)
        elif isinstance(error, errors.EndpointLeft):
            # The state of the endpoint already shows that it left or closed.
            return
        elif not error.sent:
            outcomes.record_connect_failure(runner_id)
        else:
            outcomes.record_failure(runner_id)
            # Only a timeout counts against the software version: a broken
            # connection may have other causes.
            silent = isinstance(error, errors.ConnectionSilent)
            if silent and not relayed.deadline.expired():
                self.router_state.releases.runs.end(relayed.run, failed=True)

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
