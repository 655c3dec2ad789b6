"""Reverse proxying of requests that are forwarded unchanged.

One task takes a request through all steps: match the route, authenticate,
choose an endpoint, dispatch, perhaps escalate to a larger model or retry,
and relay the answer to the caller.
"""

import dataclasses

import curio

from celeryward.callers import dispatching
from celeryward.callers import endpoint_timeouts
from celeryward.callers import escalation
from celeryward.callers import moves
from celeryward.callers import planning
from celeryward.callers import relayed_requests
from celeryward.callers import reopening_waiter
from celeryward.callers import resumption
from celeryward.callers import retry_control
from celeryward.callers import router_admission
from celeryward.endpoints import answers
from celeryward.endpoints import forwarding
from celeryward import errors
from celeryward import logs


@dataclasses.dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """The outcome of one dispatch whose answer is read as a whole.

    :param relayed_requests.Dispatch dispatch: the dispatch.
    :param answers.Answer answer: None after an error.
    :param bytes content: the body.
    :param bool escalated: whether it is dropped for that of a larger model.
    :param errors.EndpointFailure error: None for an answer.
    """

    dispatch: relayed_requests.Dispatch
    answer: answers.Answer | None = None
    content: bytes = b''
    escalated: bool = False
    error: errors.EndpointFailure | None = None

    @property
    def failed(self):
        """Whether another dispatch may still give a better answer."""
        return self.error is not None or forwarding.is_server_error(
            self.answer.head
        )


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
        self.moves = moves.MovePolicy(
            router_state.queues, self.timeouts, self.retries
        )
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
            self.retries.charge(relayed)
            if relayed.route.retryable and not forwarding.is_stream(
                relayed.route
            ):
                done = await self.relay_first(relayed, plan, responder)
            else:
                done = await self.relay_only(relayed, plan, responder)

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

    async def relay_only(self, relayed, plan, responder):
        """Dispatch once; return whether an answer was relayed.

        :raises errors.CelerywardError: if the request is not retried.
        """
        with self.dispatcher.begin(relayed, plan) as dispatch:
            try:
                return await self.relay_answer(relayed, dispatch, responder)
            except errors.EndpointFailure as error:
                failure = error
        self.handle_dispatch_error(relayed, dispatch, failure)
        return False

    async def relay_answer(self, relayed, dispatch, responder):
        """Dispatch and relay the answer; return whether it was relayed."""

        async def on_late(waited_seconds, head_arrived):
            leaves = self.moves.may_leave(
                relayed, waited_seconds, head_arrived
            )
            if leaves:
                self.dispatcher.log_late(
                    relayed, dispatch, waited_seconds, 'late answer given up'
                )
            return leaves

        async with self.dispatcher.open_answer(
            relayed, dispatch, on_late
        ) as answer:
            if responder.started:
                self.check_resumption(dispatch, answer)
            elif forwarding.is_server_error(answer.head):
                content = await answer.body()
                return await self.handle_error_answer(
                    relayed, dispatch, answer, content, responder
                )
            if self.escalation.escalate(relayed, dispatch, answer):
                return False
            if forwarding.is_stream(relayed.route) and answer.is_event_stream:
                await self.relay_events(relayed, dispatch, answer, responder)
            else:
                content = await answer.body()
                await responder.send_response(answer.head, content)
        self.dispatcher.record_success(relayed, dispatch, answer)
        return True

    async def relay_first(self, relayed, plan, responder):
        """Relay the first answer among hedged dispatches.

        While an answer is late, another endpoint runs the request as well, so
        that what was waited for isn't lost. All other dispatches have ended
        before the answer is relayed.

        :returns: whether an answer was relayed.
        :raises errors.CelerywardError: if the request is not retried.
        """
        fetched = await self.fetch_first(relayed, plan)
        if fetched.failed:
            return await self.conclude_failure(relayed, fetched, responder)
        if fetched.escalated:
            return False
        await responder.send_response(fetched.answer.head, fetched.content)
        self.dispatcher.record_success(
            relayed, fetched.dispatch, fetched.answer
        )
        return True

    async def fetch_first(self, relayed, plan):
        """Return the first :class:`FetchedAnswer` that has not failed.

        The last one is returned if all have failed.
        """
        async with curio.TaskGroup(wait=None) as group:
            await group.spawn(self.fetch, relayed, plan, group)
            async for task in group:
                fetched = task.result
                if not fetched.failed:
                    break
                self.record_failed_fetch(relayed, fetched)
            if fetched.escalated:
                # The dispatches that are cancelled now have run, too.
                relayed.runs += len(relayed.running)
        return fetched

    def record_failed_fetch(self, relayed, fetched):
        """Record a failed dispatch; another one may still answer."""
        if fetched.error is not None:
            self.dispatcher.record_error(
                relayed, fetched.dispatch, fetched.error
            )
            return
        self.record_error_answer(relayed, fetched.dispatch)
        relayed.failed_answer = (fetched.answer.head, fetched.content)

    async def conclude_failure(self, relayed, fetched, responder):
        """Retry after all dispatches have failed, or relay the failure.

        :returns: whether an answer was relayed.
        :raises errors.CelerywardError: if the request is not retried.
        """
        if fetched.error is None:
            return await self.retry_or_relay(
                relayed,
                fetched.dispatch,
                fetched.answer.head,
                fetched.content,
                responder,
            )
        if relayed.deadline.expired() or not relayed.may_retry_after(
            fetched.error
        ):
            raise self.retries.final_error(
                relayed, fetched.error.message, fetched.error
            )
        return False

    async def fetch(self, relayed, plan, group):
        """Dispatch once; return the :class:`FetchedAnswer`.

        :param group: task group, in which a hedge is started if the answer is
            late.
        """
        with self.dispatcher.begin(relayed, plan) as dispatch:
            hedge = Hedge(self, relayed, dispatch, group)
            try:
                async with self.dispatcher.open_answer(
                    relayed, dispatch, hedge.start
                ) as answer:
                    if self.escalation.escalate(relayed, dispatch, answer):
                        return FetchedAnswer(dispatch, answer, escalated=True)
                    return FetchedAnswer(
                        dispatch, answer, content=await answer.body()
                    )
            except errors.EndpointFailure as error:
                return FetchedAnswer(dispatch, error=error)

    async def relay_events(self, relayed, dispatch, answer, responder):
        """Relay the events of a stream as they arrive."""
        start_id = relayed.sequence.last
        resumed = responder.started
        if not resumed:
            await responder.start_stream(answer.head)
        async for batch in answer.events(relayed.sequence):
            await responder.send(b''.join(event.raw for event in batch))
            self.router_state.releases.runs.events_arrived(
                dispatch.run, relayed.sequence.last - start_id
            )
        if resumed:
            resumption.check_rest(answer, relayed.sequence.last - start_id)
        await responder.finish()

    def check_resumption(self, dispatch, answer):
        """Check that an answer continues the stream of the caller.

        :raises errors.AnswerInvalid: if it doesn't.
        """
        if forwarding.is_server_error(answer.head):
            self.router_state.releases.runs.end(dispatch.run, failed=True)
        resumption.check_answer(answer)

    async def handle_error_answer(
        self, relayed, dispatch, answer, content, responder
    ):
        """Retry after an answer with an error status, or relay it.

        :returns: whether the answer was relayed.
        """
        self.record_error_answer(relayed, dispatch)
        return await self.retry_or_relay(
            relayed, dispatch, answer.head, content, responder
        )

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

    def record_error_answer(self, relayed, dispatch):
        """Record an answer with an error status."""
        runner_id = dispatch.plan.runner.id
        relayed.deliveries += 1
        relayed.runs += 1
        relayed.tried_endpoints |= {runner_id}
        self.router_state.releases.runs.end(dispatch.run, failed=True)
        self.router_state.outcomes.record_failure(runner_id)

    def handle_dispatch_error(self, relayed, dispatch, error):
        """Record and log a failed dispatch; return if a retry is allowed.

        :raises errors.Overloaded: if no retry is allowed and the request
            has not run.
        :raises errors.AnswerLate: if the deadline has passed and the request
            may have run.
        :raises errors.OutcomeUnknown: if no retry is allowed and the request
            may have run.
        """
        self.dispatcher.record_error(relayed, dispatch, error)
        if relayed.deadline.expired() or not relayed.may_retry_after(error):
            raise self.retries.final_error(relayed, error.message, error)


class Hedge:
    """Starts another dispatch while the answer of one is late.

    :param Relay relay: makes the dispatch.
    :param group: task group of all dispatches of the request.
    """

    def __init__(self, relay, relayed, dispatch, group):
        self.relay = relay
        self.relayed = relayed
        self.dispatch = dispatch
        self.group = group
        self.plan = None

    async def start(self, waited_seconds, head_arrived):
        """Start the other dispatch if one is secured; keep the late answer.

        The late answer counts as a failure of its endpoint. Another dispatch
        may follow once the first one has failed.

        :returns: False, because the answer is not given up.
        """
        if self.is_running():
            return False
        plan = self.relay.moves.secure_replacement(self.relayed)
        if plan is not None:
            self.relayed.running |= {plan.runner.id}
            if self.plan is None:
                self.relay.dispatcher.record_late_answer(self.dispatch)
            self.plan = plan
            self.relay.dispatcher.log_late(
                self.relayed,
                self.dispatch,
                waited_seconds,
                'late answer hedged',
            )
            await self.group.spawn(
                self.relay.fetch, self.relayed, plan, self.group
            )
        return False

    def is_running(self):
        """Return whether the other dispatch is under way."""
        return (
            self.plan is not None
            and self.plan.runner.id in self.relayed.running
        )
