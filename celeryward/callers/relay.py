"""The path of a request that is passed on to an endpoint unchanged.

One task drives a request from its head to the end of its answer: route,
key, endpoint, dispatch, the choice of a larger model, repetition, answer.
"""

import collections
import time

from celeryward.callers import checks
from celeryward.callers import patience
from celeryward.callers import planning
from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward import errors
from celeryward import logs
from celeryward.raters import sizes

# Tokens of the retry budget that are kept for failures, so that requests for
# larger models can't use up what failures need.
FAILURE_RESERVE = 2.0
# Dispatches that endpoints refuse, for one request.
MAX_REFUSALS = 3


class Relay:
    """Serves requests by passing them on.

    :param checks.Knowledge knowledge: what the router believes.
    :param forwarder: :class:`forwarding.Forwarder`.
    :param translator: has ``read_request(head)``, which returns an
        :class:`ingress.Ask`.
    :param new_budget: function that returns a retry budget for a service.
    :param metrics: :class:`router_metrics.RouterMetrics`.
    """

    def __init__(self, knowledge, forwarder, translator, new_budget, metrics):
        self.knowledge = knowledge
        self.forwarder = forwarder
        self.translator = translator
        self.budgets = collections.defaultdict(new_budget)
        self.metrics = metrics
        self.checks = checks.Checks(knowledge)
        self.planner = planning.Planner(knowledge)
        self.patience = patience.Patience()

    async def serve(self, head, body, responder):
        """Answer one request, as far as its deadline allows.

        :raises errors.CelerywardError: if it can't be answered.
        """
        ask = self.translator.read_request(head)
        responder.request_id = ask.request_id
        relayed = self.checks.begin(ask, head, body)
        responder.route = relayed.route.name
        try:
            await self.run(relayed, responder)
        except (errors.NotRun, errors.OutcomeUnknown):
            if relayed.failed_answer is None or responder.started:
                raise
            # An endpoint's own failure says more than that of the router.
            await responder.send_whole(*relayed.failed_answer)

    async def run(self, relayed, responder):
        """Dispatch until the caller has its answer."""
        done = False
        while not done:
            plan = self.next_plan(relayed)
            relayed.service = plan.service
            self.take_budget(relayed)
            relayed.dispatches += 1
            self.log_dispatch(relayed, plan)
            try:
                done = await self.run_once(relayed, plan, responder)
            except errors.EndpointFailure as error:
                self.after_failure(relayed, plan, error)

    def next_plan(self, relayed):
        """Return where the request is sent next.

        :raises errors.NotRun: if it is refused and has not run.
        :raises errors.OutcomeUnknown: if it is refused and may have run.
        """
        try:
            return self.planner.plan(relayed)
        except errors.NotRun as error:
            if not relayed.runs:
                raise
            raise self.exhausted(relayed, error.message, error) from error

    def log_dispatch(self, relayed, plan):
        """Write one line on where a request is sent, and why there."""
        outcomes = self.knowledge.outcomes
        logs.bind(
            request_id=relayed.ask.request_id,
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
            **self.checks.beliefs(),
        ).info('dispatched')

    def take_budget(self, relayed):
        """Count a dispatch against the service's retry budget.

        :raises errors.Overloaded: if a repetition is not allowed and the
            request has not run.
        """
        budget = self.budgets[relayed.service]
        if relayed.dispatches == 0:
            budget.record_first_dispatch()
            return
        if relayed.prepaid or not relayed.arrivals:
            # What never reached an endpoint is no load on it.
            relayed.prepaid = False
            return
        if budget.try_take():
            return
        self.metrics.retry_refused(relayed.service)
        raise self.exhausted(relayed, 'retry budget is used up')

    def exhausted(self, relayed, reason, error=None):
        """Return the error for a request that is not tried again."""
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
                retry_at=deadlines.Deadline.after(planning.FULL_RETRY_SECONDS),
            )
        return errors.OutcomeUnknown(
            f'request may have run: {reason}', step=step, peer=peer
        )

    async def run_once(self, relayed, plan, responder):
        """Dispatch once; return whether the caller has its answer."""
        relayed.run = self.begin_run(relayed, plan)
        try:
            return await self.take_answer(relayed, plan, responder)
        finally:
            self.knowledge.releases.runs.drop(relayed.run)

    async def take_answer(self, relayed, plan, responder):
        """Dispatch and pass on the answer; return whether it was."""
        forwarded = self.forwarded_request(relayed, plan)
        releases = self.knowledge.releases
        async with self.forwarder.dispatch(forwarded, plan.runner) as answer:
            relayed.run.record_head(time.monotonic())
            self.patience.note_head(relayed, plan, answer)
            if forwarding.is_server_error(answer.head):
                return await self.take_failed(relayed, plan, answer, responder)
            larger = self.larger_size(relayed, plan, answer)
            if larger is not None:
                relayed.arrivals += 1
                relayed.runs += 1
                relayed.size = larger
                releases.runs.end(relayed.run)
                return False
            if forwarding.is_stream(relayed.route):
                await self.relay_events(relayed, answer, responder)
            else:
                whole = await answer.body()
                await responder.send_whole(answer.head, whole)
        releases.runs.end(relayed.run)
        releases.record_session(
            plan.service, relayed.ask.session, plan.runner.software
        )
        self.knowledge.outcomes.record_response(
            plan.runner.id, answer.seconds, relayed_requests.work(relayed.ask)
        )
        return True

    def forwarded_request(self, relayed, plan):
        """Return the :class:`forwarding.ForwardedRequest` of a dispatch."""
        route = relayed.route
        return forwarding.ForwardedRequest(
            relayed.head,
            relayed.body,
            relayed.ask.request_id,
            relayed.holder.name if relayed.holder else '',
            plan.size.model if plan.size else '',
            relayed_requests.urgency(relayed),
            relayed.deadline,
            self.patience.head_deadline(relayed, plan),
            self.patience.pause_seconds(relayed),
            self.patience.body_seconds(relayed),
            relayed.sequence.last,
            new_connection=not route.may_repeat,
        )

    def larger_size(self, relayed, plan, answer):
        """Return a larger size to ask instead of an answer, or None."""
        if plan.size is None or relayed.has_events:
            return None
        if not (relayed.route.may_repeat and relayed.has_alternative()):
            return None
        offered = self.planner.sizes(relayed, plan.service)
        larger = sizes.larger_size(
            offered,
            plan.size,
            relayed.ask,
            answer.facts.confidence,
            self.knowledge.economy,
            self.patience.timing(relayed, offered[-1], answer),
        )
        budget = self.budgets[plan.service]
        if larger is not None and not budget.try_take(FAILURE_RESERVE):
            return None
        if larger is not None:
            relayed.prepaid = True
            self.metrics.size_raised(plan.service)
            logs.bind(
                request_id=relayed.ask.request_id,
                step='cascade',
                peer=plan.runner.address,
                confidence=answer.facts.confidence,
                model=plan.size.model,
                larger=larger.model,
            ).info('answer dropped for a larger model')
        return larger

    async def relay_events(self, relayed, answer, responder):
        """Pass on the events of a stream as they come."""
        first = relayed.sequence.last
        if not responder.started:
            await responder.start_stream(answer.head)
        async for ready in answer.events(relayed.sequence):
            await responder.send(b''.join(event.raw for event in ready))
            relayed.run.record_events(relayed.sequence.last - first)
        await responder.finish()

    async def take_failed(self, relayed, plan, answer, responder):
        """Handle an answer in which the endpoint says that it failed.

        :returns: whether the answer was passed on.
        """
        whole = await answer.body()
        relayed.arrivals += 1
        relayed.runs += 1
        self.knowledge.releases.runs.end(relayed.run, failed=True)
        self.knowledge.outcomes.record_failure(plan.runner.id)
        relayed.tried |= {plan.runner.id}
        if relayed.has_events:
            raise errors.OutcomeUnknown(
                f'stream broke off with {answer.head.status}',
                step='resume',
                peer=plan.runner.address,
            )
        if self.can_repeat(relayed):
            relayed.prepaid = True
            relayed.failed_answer = (answer.head, whole)
            logs.bind(
                request_id=relayed.ask.request_id,
                step='retry',
                peer=plan.runner.address,
            ).info('endpoint failed with {}; repeated', answer.head.status)
            return False
        await responder.send_whole(answer.head, whole)
        return True

    def can_repeat(self, relayed):
        """Return whether a failed request can run again, and pay for it."""
        if not relayed.may_run_again() or relayed.deadline.expired():
            return False
        try:
            self.planner.plan(relayed)
        except errors.NotRun:
            return False
        return self.budgets[relayed.service].try_take()

    def after_failure(self, relayed, plan, error):
        """Return if the request may be sent again.

        :raises errors.Overloaded: if it may not, and has not run.
        :raises errors.OutcomeUnknown: if it may not, and may have run.
        """
        runner = plan.runner
        relayed.tried |= {runner.id}
        relayed.arrivals += error.sent or isinstance(
            error, errors.EndpointRefused
        )
        self.note_failure(relayed, plan, error)
        if error.sent:
            relayed.runs += 1
            again = relayed.may_run_again()
        else:
            relayed.refusals += 1
            again = relayed.refusals < MAX_REFUSALS
        logs.bind_error(
            error,
            request_id=relayed.ask.request_id,
            endpoint=runner.id,
            software=runner.software,
            route=relayed.route.name,
            runs=relayed.runs,
            events=relayed.sequence.last,
            again=again,
        ).info('dispatch failed: {} {}', error.code, error.message)
        if relayed.deadline.expired() or not again:
            raise self.exhausted(relayed, error.message, error)

    def note_failure(self, relayed, plan, error):
        """Tell those who judge endpoints and versions of a failure."""
        outcomes = self.knowledge.outcomes
        runner_id = plan.runner.id
        if isinstance(error, errors.EndpointRefused):
            outcomes.record_refusal(runner_id)
        elif isinstance(error, errors.EndpointLeft):
            # The list of endpoints says so already.
            return
        elif not error.sent:
            outcomes.record_connect_failure(runner_id)
        else:
            outcomes.record_failure(runner_id)
            # A broken connection says nothing about the software.
            silent = isinstance(error, errors.ConnectionSilent)
            if silent and not relayed.deadline.expired():
                self.knowledge.releases.runs.end(relayed.run, failed=True)

    def begin_run(self, relayed, plan):
        """Return the :class:`runs.Run` of a dispatch, for the releases."""
        model = plan.size.model if plan.size else ''
        return self.knowledge.releases.runs.begin(
            plan.service,
            plan.runner.software,
            f'{relayed.route.name} {model}',
            plan.runner.id,
            relayed_requests.work(relayed.ask),
        )
