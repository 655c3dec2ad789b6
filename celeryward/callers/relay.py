"""The path of a request that is passed on to an endpoint unchanged.

One task drives a request from its head to the end of its answer: route,
key, endpoint, dispatch, the choice of a larger model, repetition, answer.
"""

import collections
import dataclasses
import time

from celeryward import deadlines
from celeryward.endpoints import event_stream
from celeryward.endpoints import forwarding
from celeryward.endpoints import selection
from celeryward import errors
from celeryward import hashing
from celeryward import ingress
from celeryward import logs
from celeryward.raters import sizes

# Tokens of the retry budget that are kept for failures, so that requests for
# larger models can't use up what failures need.
FAILURE_RESERVE = 2.0
# Time to come back after a refusal.
NOT_READY_RETRY_SECONDS = 0.5
STALE_RETRY_SECONDS = 1.0
FULL_RETRY_SECONDS = 0.4
# Dispatches that endpoints refuse, for one request.
MAX_REFUSALS = 3
# A repeatable request is sent elsewhere if the head of the answer takes this
# part of the objective, or this many times as long as usual.
HEAD_OBJECTIVE_PART = 0.9
HEAD_USUAL_FACTOR = 5.0
MIN_HEAD_SECONDS = 0.25
HEAD_SAMPLE_WEIGHT = 0.1
# A stream goes on elsewhere after this many times the pause that is on time.
PAUSE_FACTOR = 1.5
PRIORITIES_OF_ROUTES = 3
LEAST_URGENT = 9
# Prompt tokens of a usual unit of work.
WORK_TOKENS = 3000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One dispatch of a request.

    :param bool suspected: whether only suspect endpoints were left.
    """

    service: str
    runner: object
    size: sizes.Size | None = None
    suspected: bool = False


class Journey:
    """What has happened to one request so far.

    :param Deadline deadline: when its final answer is due.
    """

    def __init__(self, ask, route, holder, head, body, deadline):
        self.ask = ask
        self.route = route
        self.holder = holder
        self.head = head
        self.body = body
        self.deadline = deadline
        self.started_at = time.monotonic()
        self.sequence = event_stream.Sequence(ask.after_event)
        self.size = None
        self.service = ''
        self.tried = frozenset()
        self.runs = 0
        self.refusals = 0
        self.dispatches = 0
        self.arrivals = 0
        self.prepaid = False
        self.failed_answer = None

    @property
    def has_events(self):
        """Whether the caller has received events of this answer."""
        return self.sequence.last > self.ask.after_event

    def may_run_again(self):
        """Return whether another endpoint may run the request."""
        return self.runs < self.route.attempts and (
            self.route.may_repeat or self.runs == 0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What a router believes, shared by all requests.

    :param str failure_domain: the failure domain of the router.
    :param configuration: :class:`ingress.ConfigurationHolder`.
    :param freshness: :class:`freshness.Freshness`.
    :param runners: :class:`runners.RunnerTable`.
    :param outcomes: :class:`outcomes.Outcomes`.
    :param releases: :class:`releases.Releases`.
    :param Economy economy: what answers are worth.
    """

    failure_domain: str
    configuration: ingress.ConfigurationHolder
    freshness: object
    runners: object
    outcomes: object
    releases: object
    economy: sizes.Economy


class Relay:
    """Serves requests by passing them on.

    :param Knowledge knowledge: what the router believes.
    :param forwarder: :class:`forwarding.Forwarder`.
    :param translator: has ``read_request(head)``, which returns an
        :class:`ingress.Ask`.
    :param new_budget: function that returns a retry budget for a service.
    :param metrics: :class:`metrics.RouterMetrics`.
    """

    def __init__(self, knowledge, forwarder, translator, new_budget, metrics):
        self.knowledge = knowledge
        self.forwarder = forwarder
        self.translator = translator
        self.budgets = collections.defaultdict(new_budget)
        self.metrics = metrics
        self.usual_head = {}

    async def serve(self, head, body, responder):
        """Answer one request, as far as its deadline allows.

        :raises errors.CelerywardError: if it can't be answered.
        """
        ask = self.translator.read_request(head)
        responder.request_id = ask.request_id
        journey = self.begin(ask, head, body)
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
            plan = self.plan(journey)
            journey.service = plan.service
            self.take_budget(journey)
            journey.dispatches += 1
            self.log_dispatch(journey, plan)
            try:
                done = await self.run_once(journey, plan, responder)
            except errors.EndpointFailure as error:
                self.after_failure(journey, plan, error)

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
            **self.beliefs(),
        ).info('dispatched')

    def beliefs(self):
        """Return what a refusal was decided on, for the log."""
        knowledge = self.knowledge
        current = knowledge.configuration.current
        age = knowledge.freshness.age()
        return {
            'configuration': current.version if current else None,
            'configuration_age': None if age is None else round(age, 3),
            'endpoints': len(knowledge.runners.runners),
        }

    def begin(self, ask, head, body):
        """Return the :class:`Journey` of a request that may be served.

        :raises errors.NotRun: if it may not.
        """
        knowledge = self.knowledge
        configuration = knowledge.configuration.current
        if configuration is None or not knowledge.runners.runners:
            raise unready('no configuration yet', NOT_READY_RETRY_SECONDS)
        fresh = knowledge.freshness.is_fresh()
        host = head.headers.get('host', '').partition(':')[0]
        route = configuration.match(host, head.path)
        if route is None:
            if not fresh:
                raise unready('configuration is old', STALE_RETRY_SECONDS)
            raise errors.UnknownTarget(
                'no route for this host and path', step='route', peer=host
            )
        holder = self.authenticate(configuration, route, ask, fresh)
        wait = route.timeout_seconds
        if ask.wait_seconds is not None:
            wait = min(wait, ask.wait_seconds)
        deadline = deadlines.Deadline.after(wait)
        return Journey(ask, route, holder, head, body, deadline)

    def authenticate(self, configuration, route, ask, fresh):
        """Return the customer that holds the key; None on public routes.

        :raises errors.Unauthenticated: if no customer holds the key.
        """
        if route.public or not configuration.holders:
            return None
        if not fresh:
            raise unready('configuration is old', STALE_RETRY_SECONDS)
        holder = configuration.holder_by_key.get(ask.key)
        if holder is None:
            raise errors.Unauthenticated(
                'no customer holds the key', step='authenticate', peer='-'
            )
        return holder

    def plan(self, journey):
        """Choose service, model, software version and endpoint.

        :raises errors.Overloaded: if there is no endpoint.
        :raises errors.DeadlineExceeded: if the deadline has passed.
        """
        if journey.deadline.expired():
            raise errors.DeadlineExceeded(
                'deadline passed before dispatch',
                step='select',
                peer=journey.route.name,
                retry_at=deadlines.Deadline.after(FULL_RETRY_SECONDS),
            )
        knowledge = self.knowledge
        service = journey.service or self.choose_service(journey)
        size = journey.size or self.first_size(journey, service)
        journey.size = size
        present = tuple(knowledge.runners.of_service(service))
        software = knowledge.releases.choose(
            service,
            knowledge.runners.software_of(service),
            knowledge.runners.first_software.get(service, ''),
            journey.ask.session,
            journey.ask.request_id,
        )
        query = selection.Query(
            present,
            knowledge.failure_domain,
            software,
            size.model if size else '',
            affinity(journey.ask),
            journey.tried,
            knowledge.outcomes.suspects(runner.id for runner in present),
            knowledge.outcomes.in_flight,
        )
        runner = selection.select(query)
        if runner is None and software:
            query = dataclasses.replace(query, software='')
            runner = selection.select(query)
        if runner is None:
            raise errors.Overloaded(
                f'no endpoint of {len(present)} can take the request',
                step='select',
                peer=service,
                retry_at=deadlines.Deadline.after(FULL_RETRY_SECONDS),
            )
        return Plan(service, runner, size, runner.id in query.suspects)

    def choose_service(self, journey):
        """Return the service of a route that splits its requests.

        A session keeps its service as long as the shares stay.
        """
        shares = journey.route.shares
        if len(shares) == 1:
            return shares[0].service
        key = journey.ask.session or journey.ask.request_id
        place = hashing.place(f'share\0{key}')
        place *= sum(share.weight for share in shares)
        for share in shares:
            place -= share.weight
            if place < 0:
                return share.service
        return shares[-1].service

    def first_size(self, journey, service):
        """Return the size to run first, None if the caller chose."""
        offered = self.sizes(journey, service)
        return sizes.first_size(offered) if offered else None

    def sizes(self, journey, service):
        """Return the sizes that may serve a request, smallest first."""
        if not journey.route.sizes or not journey.ask.any_size:
            return ()
        configuration = self.knowledge.configuration.current
        known = configuration.services.get(service, ingress.Service(service))
        return tuple(
            sizes.Size(model, known.cost_of(model))
            for model in journey.route.sizes
        )

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
                retry_at=deadlines.Deadline.after(FULL_RETRY_SECONDS),
            )
        return errors.OutcomeUnknown(
            f'request may have run: {reason}', step=step, peer=peer
        )

    async def run_once(self, journey, plan, responder):
        """Dispatch once; return whether the caller has its answer."""
        passage = self.passage(journey, plan)
        outcomes = self.knowledge.outcomes
        async with self.forwarder.dispatch(passage, plan.runner) as answer:
            self.note_head(journey, plan, answer)
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
        outcomes.answered(plan.runner.id, answer.seconds, work(journey.ask))
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
            urgency(journey),
            journey.deadline,
            self.head_deadline(journey, plan),
            self.pause_seconds(journey),
            journey.sequence.last,
            fresh=not route.may_repeat,
        )

    def head_deadline(self, journey, plan):
        """Return when the head of an answer is due.

        A request that may run once only waits until its deadline.
        """
        if not journey.route.may_repeat or not self.has_alternative(journey):
            return journey.deadline
        usual = self.usual_head.get(self.head_key(journey, plan), 0.0)
        seconds = max(
            MIN_HEAD_SECONDS,
            HEAD_OBJECTIVE_PART * journey.route.objective_seconds,
            HEAD_USUAL_FACTOR * usual * work(journey.ask),
        )
        return deadlines.Deadline.after(seconds).earlier(journey.deadline)

    def has_alternative(self, journey):
        """Return whether the request may run at yet another endpoint."""
        return journey.runs + 1 < journey.route.attempts

    def pause_seconds(self, journey):
        """Return the longest wait for the next bytes of a body."""
        if forwarding.is_stream(journey.route) and self.has_alternative(
            journey
        ):
            return PAUSE_FACTOR * journey.route.pause_seconds
        return journey.route.timeout_seconds

    def head_key(self, journey, plan):
        """Return what heads are compared with."""
        return journey.route.name, plan.size.model if plan.size else ''

    def note_head(self, journey, plan, answer):
        """Update the usual time to the head."""
        key = self.head_key(journey, plan)
        sample = answer.seconds / work(journey.ask)
        usual = self.usual_head.get(key, sample)
        self.usual_head[key] = usual + HEAD_SAMPLE_WEIGHT * (sample - usual)

    def larger_size(self, journey, plan, answer):
        """Return a larger size to ask instead of an answer, or None."""
        if plan.size is None or journey.has_events:
            return None
        if not (journey.route.may_repeat and self.has_alternative(journey)):
            return None
        offered = self.sizes(journey, plan.service)
        larger = sizes.larger_size(
            offered,
            plan.size,
            journey.ask,
            answer.facts.confidence,
            self.knowledge.economy,
            self.timing(journey, offered[-1], answer),
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

    def timing(self, journey, size, answer):
        """Return how a request stands if it is sent to a larger size.

        The larger model waits at least as long as the small one did.
        """
        usual = self.usual_head.get((journey.route.name, size.model), 0.0)
        return sizes.Timing(
            journey.route.objective_seconds,
            time.monotonic() - journey.started_at,
            max(answer.seconds, usual * work(journey.ask)),
        )

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
            self.plan(journey)
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


def affinity(ask):
    """Return what requests with the same cached prompt have in common.

    The last part belongs to one request or session; the one before it is
    the largest that others share.
    """
    if len(ask.parts) >= 2:
        return ask.parts[-2].id
    return ask.session


def urgency(journey):
    """Return how urgent a request is to endpoints, 0 to 9.

    The customer's priority goes before that of the route.
    """
    rank = journey.route.priority
    if journey.holder is not None:
        rank += PRIORITIES_OF_ROUTES * journey.holder.priority
    return max(0, min(LEAST_URGENT, rank))


def work(ask):
    """Return the size of a request; a usual one has 1.0."""
    return max(0.25, ask.prompt_tokens / WORK_TOKENS)


def unready(message, seconds):
    """Return the error of a router that can't judge requests now."""
    return errors.NotRun(
        message,
        step='admit',
        peer='-',
        retry_at=deadlines.Deadline.after(seconds),
    )
