"""The path of a request that is passed on to an endpoint unchanged.

One task drives a request from its head to the end of its answer: route,
key, endpoint, dispatch, the choice of a larger model, repetition, answer.
"""

import collections
import time

from celeryward.callers import checks
from celeryward.callers import journeys
from celeryward.callers import patience
from celeryward.callers import planning
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
        journey = self.checks.begin(ask, head, body)
        responder.route = journey.route.name
        try:
            await self.run(journey, responder)
        except (errors.NotRun, errors.OutcomeUnknown):
            if journey.failed_answer is None or responder.started:
                raise
            # An endpoint's own failure says more than that of the router.
            await responder.send_whole(*journey.failed_answer)

    async def run(self, journey, responder):
        """Dispatch until the caller has its answer."""
        done = False
        while not done:
            plan = self.next_plan(journey)
            journey.service = plan.service
            self.take_budget(journey)
            journey.dispatches += 1
            self.log_dispatch(journey, plan)
            try:
                done = await self.run_once(journey, plan, responder)
            except errors.EndpointFailure as error:
                self.after_failure(journey, plan, error)

    def next_plan(self, journey):
        """Return where the request is sent next.

        :raises errors.NotRun: if it is refused and has not run.
        :raises errors.OutcomeUnknown: if it is refused and may have run.
        """
        try:
            return self.planner.plan(journey)
        except errors.NotRun as error:
            if not journey.runs:
                raise
            raise self.exhausted(journey, error.message, error) from error

    def log_dispatch(self, journey, plan):
        """Write one line on where a request is sent, and why there."""
        outcomes = self.knowledge.outcomes
        logs.bind(
            request_id=journey.ask.request_id,
            step='dispatch',
            peer=plan.runner.address,
            endpoint=plan.runner.id,
            software=plan.runner.software,
            model=plan.size.model if plan.size else '',
            route=journey.route.name,
            service=plan.service,
            attempt=journey.dispatches,
            after_event=journey.sequence.last,
            in_flight=outcomes.in_flight.get(plan.runner.id, 0),
            suspected=plan.suspected,
            left=round(journey.deadline.remaining(), 3),
            **self.checks.beliefs(),
        ).info('dispatched')

    def take_budget(self, journey):
        """Count a dispatch against the service's retry budget.

        :raises errors.Overloaded: if a repetition is not allowed and the
            request has not run.
        """
        budget = self.budgets[journey.service]
        if journey.dispatches == 0:
            budget.first_dispatch()
            return
        if journey.prepaid or not journey.arrivals:
            # What never reached an endpoint is no load on it.
            journey.prepaid = False
            return
        if budget.take():
            return
        self.metrics.retry_refused(journey.service)
        raise self.exhausted(journey, 'retry budget is used up')

    def exhausted(self, journey, reason, error=None):
        """Return the error for a request that is not tried again."""
        step = error.step if error else 'retry'
        peer = error.peer if error else journey.service
        if journey.runs and journey.deadline.expired():
            return errors.AnswerLate(
                'no complete answer before the deadline', step=step, peer=peer
            )
        if journey.runs == 0:
            return errors.Overloaded(
                f'request was not run: {reason}',
                step=step,
                peer=peer,
                retry_at=deadlines.Deadline.after(planning.FULL_RETRY_SECONDS),
            )
        return errors.OutcomeUnknown(
            f'request may have run: {reason}', step=step, peer=peer
        )

    async def run_once(self, journey, plan, responder):
        """Dispatch once; return whether the caller has its answer."""
        passage = self.passage(journey, plan)
        outcomes = self.knowledge.outcomes
        async with self.forwarder.dispatch(passage, plan.runner) as answer:
            self.patience.note_head(journey, plan, answer)
            if forwarding.is_failure(answer.head):
                return await self.take_failed(journey, plan, answer, responder)
            larger = self.larger_size(journey, plan, answer)
            if larger is not None:
                journey.arrivals += 1
                journey.runs += 1
                journey.size = larger
                return False
            if forwarding.is_stream(journey.route):
                await self.relay_events(journey, plan, answer, responder)
            else:
                whole = await answer.body()
                await responder.send_whole(answer.head, whole)
        self.knowledge.releases.remember(
            plan.service, journey.ask.session, plan.runner.software
        )
        outcomes.answered(
            plan.runner.id, answer.seconds, journeys.work(journey.ask)
        )
        return True

    def passage(self, journey, plan):
        """Return the :class:`forwarding.Passage` of a dispatch."""
        route = journey.route
        return forwarding.Passage(
            journey.head,
            journey.body,
            journey.ask.request_id,
            journey.holder.name if journey.holder else '',
            plan.size.model if plan.size else '',
            journeys.urgency(journey),
            journey.deadline,
            self.patience.head_deadline(journey, plan),
            self.patience.pause_seconds(journey),
            journey.sequence.last,
            fresh=not route.may_repeat,
        )

    def larger_size(self, journey, plan, answer):
        """Return a larger size to ask instead of an answer, or None."""
        if plan.size is None or journey.has_events:
            return None
        if not (journey.route.may_repeat and journey.has_alternative()):
            return None
        offered = self.planner.sizes(journey, plan.service)
        larger = sizes.larger_size(
            offered,
            plan.size,
            journey.ask,
            answer.facts.confidence,
            self.knowledge.economy,
            self.patience.timing(journey, offered[-1], answer),
        )
        budget = self.budgets[plan.service]
        if larger is not None and not budget.take(FAILURE_RESERVE):
            return None
        if larger is not None:
            journey.prepaid = True
            self.metrics.size_raised(plan.service)
            logs.bind(
                request_id=journey.ask.request_id,
                step='cascade',
                peer=plan.runner.address,
                confidence=answer.facts.confidence,
                model=plan.size.model,
                larger=larger.model,
            ).info('answer dropped for a larger model')
        return larger

    async def relay_events(self, journey, plan, answer, responder):
        """Pass on the events of a stream as they come."""
        started = time.monotonic()
        first = journey.sequence.last
        if not responder.started:
            await responder.start_stream(answer.head)
        async for ready in answer.events(journey.sequence):
            await responder.send(b''.join(event.raw for event in ready))
        await responder.finish()
        count = max(1, journey.sequence.last - first)
        seconds = time.monotonic() - started
        self.observe(journey, plan, False, seconds / count)

    async def take_failed(self, journey, plan, answer, responder):
        """Handle an answer in which the endpoint says that it failed.

        :returns: whether the answer was passed on.
        """
        whole = await answer.body()
        journey.arrivals += 1
        journey.runs += 1
        self.observe(journey, plan, True)
        self.knowledge.outcomes.failed(plan.runner.id)
        journey.tried |= {plan.runner.id}
        if journey.has_events:
            raise errors.OutcomeUnknown(
                f'stream broke off with {answer.head.status}',
                step='resume',
                peer=plan.runner.address,
            )
        if self.can_repeat(journey):
            journey.prepaid = True
            journey.failed_answer = (answer.head, whole)
            logs.bind(
                request_id=journey.ask.request_id,
                step='retry',
                peer=plan.runner.address,
            ).info('endpoint failed with {}; repeated', answer.head.status)
            return False
        await responder.send_whole(answer.head, whole)
        return True

    def can_repeat(self, journey):
        """Return whether a failed request can run again, and pay for it."""
        if not journey.may_run_again() or journey.deadline.expired():
            return False
        try:
            self.planner.plan(journey)
        except errors.NotRun:
            return False
        return self.budgets[journey.service].take()

    def after_failure(self, journey, plan, error):
        """Return if the request may be sent again.

        :raises errors.Overloaded: if it may not, and has not run.
        :raises errors.OutcomeUnknown: if it may not, and may have run.
        """
        runner = plan.runner
        journey.tried |= {runner.id}
        journey.arrivals += error.sent or isinstance(
            error, errors.EndpointRefused
        )
        self.note_failure(journey, plan, error)
        if error.sent:
            journey.runs += 1
            again = journey.may_run_again()
        else:
            journey.refusals += 1
            again = journey.refusals < MAX_REFUSALS
        logs.bind_error(
            error,
            request_id=journey.ask.request_id,
            endpoint=runner.id,
            software=runner.software,
            route=journey.route.name,
            runs=journey.runs,
            events=journey.sequence.last,
            again=again,
        ).info('dispatch failed: {} {}', error.code, error.message)
        if journey.deadline.expired() or not again:
            raise self.exhausted(journey, error.message, error)

    def note_failure(self, journey, plan, error):
        """Tell those who judge endpoints and versions of a failure."""
        outcomes = self.knowledge.outcomes
        runner_id = plan.runner.id
        if isinstance(error, errors.EndpointRefused):
            outcomes.full(runner_id)
        elif not error.sent:
            outcomes.unreachable(runner_id)
        else:
            outcomes.failed(runner_id)
            # A broken connection says nothing about the software.
            silent = isinstance(error, errors.ConnectionSilent)
            if silent and not journey.deadline.expired():
                self.observe(journey, plan, True)

    def observe(self, journey, plan, failed, pace=None):
        """Tell the releases what a run came to."""
        model = plan.size.model if plan.size else ''
        self.knowledge.releases.observe(
            plan.service,
            plan.runner.software,
            f'{journey.route.name} {model}',
            failed,
            pace,
        )
