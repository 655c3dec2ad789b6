"""Reverse proxying of requests that are forwarded unchanged.

One task takes a request through all steps: match the route, authenticate,
choose an endpoint, dispatch, perhaps escalate to a larger model or retry,
and relay the answer to the caller.
"""

from celeryward.callers import dispatching
from celeryward.callers import endpoint_timeouts
from celeryward.callers import escalation
from celeryward.callers import planning
from celeryward.callers import races
from celeryward.callers import reopening_waiter
from celeryward.callers import replacements
from celeryward.callers import retry_control
from celeryward.callers import router_admission
from celeryward import errors
from celeryward import logs


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
        self.translator = translator
        self.metrics = metrics
        self.admission = router_admission.AdmissionControl(router_state)
        self.planner = planning.Planner(router_state)
        self.waiter = reopening_waiter.ReopeningWaiter(
            self.planner, router_state
        )
        self.retries = retry_control.RetryControl(
            self.planner, retry_allowance, metrics
        )
        self.timeouts = endpoint_timeouts.EndpointTimeouts()
        self.replacements = replacements.ReplacementPolicy(
            router_state.queues, self.timeouts, self.retries
        )
        self.forwarder = forwarder
        self.dispatcher = dispatching.Dispatcher(
            router_state,
            forwarder,
            self.timeouts,
            self.retries,
            self.admission.log_fields,
        )
        self.escalation = escalation.Escalation(
            router_state, self.planner, self.timeouts, self.retries, metrics
        )

    async def serve(self, head, body, responder):
        """Serve one request within its deadline.

        :raises errors.CelerywardError: if it fails without an answer.
        """
        metadata = self.translator.read_request(head)
        responder.request_id = metadata.request_id
        relayed = self.admission.admit(metadata, head, body)
        responder.route = relayed.route.name
        responder.relayed = relayed
        try:
            await self.dispatch_until_answered(relayed, responder)
        except (errors.NotRun, errors.OutcomeUnknown):
            if relayed.failed_answer is None or responder.started:
                raise
            # The endpoint's error answer tells the caller more than an error
            # of the router.
            await responder.send_response(*relayed.failed_answer)
        finally:
            relayed.resources.close()
            if relayed.trial is not None:
                self.router_state.guard.harmful.end_trial(
                    relayed.service, relayed.trial
                )

    async def dispatch_until_answered(self, relayed, responder):
        """Dispatch until an answer is relayed.

        :raises errors.CelerywardError: if the request is not retried.
        """
        done = False
        while not done:
            plan = await self.next_plan(relayed)
            try:
                await self.admit_dispatch(relayed, plan)
            except BaseException:
                # No dispatch begins, which would let the next request try.
                await self.waiter.place_freed(plan.runner)
                raise
            done = await self.relay_first(relayed, plan, responder)

    async def admit_dispatch(self, relayed, plan):
        """Announce a trial, and charge a dispatch to the retry budget.

        :raises errors.CelerywardError: if the request is not retried.
        """
        relayed.service = plan.service
        if relayed.trial is not None:
            await self.router_state.guard.announce_trial(
                relayed.service, relayed.trial
            )
        self.retries.charge(relayed)

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
            raise self.retries.final_error(
                relayed, error.message, error
            ) from error

    async def relay_first(self, relayed, plan, responder):
        """Relay the first answer among the dispatches of a request.

        All other dispatches have ended before a whole answer is relayed.

        :returns: whether an answer was relayed.
        :raises errors.CelerywardError: if the request is not retried.
        """
        race = races.Race(self, relayed, responder)
        outcome = await race.run(plan)
        if outcome.failed:
            return await self.conclude_failure(relayed, outcome, responder)
        if not outcome.relayed:
            await responder.send_response(outcome.answer.head, outcome.content)
        await self.dispatcher.record_success(
            relayed, outcome.dispatch, outcome.answer
        )
        return True

    async def conclude_failure(self, relayed, outcome, responder):
        """Retry after all dispatches have failed, or relay the failure.

        :returns: whether an answer was relayed.
        :raises errors.CelerywardError: if the request is not retried.
        """
        if outcome.error is None:
            return await self.retry_or_relay(
                relayed,
                outcome.dispatch,
                outcome.answer.head,
                outcome.content,
                responder,
            )
        if relayed.deadline.expired() or not relayed.may_retry_after(
            outcome.error
        ):
            raise self.retries.final_error(
                relayed, outcome.error.message, outcome.error
            )
        return False

    async def retry_or_relay(
        self, relayed, dispatch, head, content, responder
    ):
        """Retry a request that an endpoint failed, or relay its answer.

        :returns: whether the answer was relayed.
        """
        if self.retries.secure_retry(relayed):
            relayed.budget_charged = True
            relayed.failed_answer = (head, content)
            logs.bind(
                request_id=relayed.metadata.request_id,
                step='retry',
                peer=dispatch.plan.runner.address,
            ).info('endpoint failed with {}; retrying', head.status)
            return False
        await responder.send_response(head, content)
        return True
