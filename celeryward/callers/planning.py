"""Choice of the endpoint that the router dispatches a request to."""

import dataclasses

from celeryward.callers import relayed_requests
from celeryward import completion
from celeryward import deadlines
from celeryward.endpoints import reopening
from celeryward.endpoints import selection
from celeryward import errors
from celeryward import hashing
from celeryward import ingress
from celeryward.raters import sizes

# Retry delay that is sent with a refusal because no endpoint is available.
NO_ENDPOINT_RETRY_SECONDS = 0.4
# Endpoints that ended in the moment after the answer had begun, after which a
# request must be explained by another culprit to be sent once more.
CRASHES_TO_DOUBT = 2


class Planner:
    """Chooses service, model size, software version and endpoint.

    :param router_admission.RouterState router_state: shared by all requests.
    """

    def __init__(self, router_state):
        self.router_state = router_state
        self.schedule = reopening.ReturnSchedule(router_state.closures.clock)

    def plan(self, relayed, least_seconds=0.0, beside=True):
        """Return the :class:`relayed_requests.Plan` of the next dispatch.

        Prefers the software version that the releases choose, and takes
        any other if no endpoint of that version is available.

        :param float least_seconds: time that must be left until the deadline.
        :param bool beside: whether endpoints that run the request already are
            left out.
        :raises errors.EndpointsClosed: if all endpoints are closed.
        :raises errors.EndpointsDrained: if all are in drained domains.
        :raises errors.Overloaded: if no endpoint can take the request.
        :raises errors.DeadlineExceeded: if too little of the deadline is left.
        :raises errors.ShuttingDown: if a stop would cut the request off.
        :raises errors.HarmfulRequest: if such requests crash endpoints.
        """
        if relayed.deadline.expired():
            raise errors.DeadlineExceeded(
                'deadline passed before dispatch',
                step='select',
                peer=relayed.route.name,
                retry_at=deadlines.Deadline.after(NO_ENDPOINT_RETRY_SECONDS),
            )
        self.check_completion(relayed, least_seconds)
        self.check_harmless(relayed)
        query = self.query(relayed, beside)
        runner = selection.select(query)
        if runner is None and query.software and not selection.eligible(query):
            # Another version takes over for one that has no endpoint, but not
            # for one whose endpoints are closed for a while.
            query = dataclasses.replace(query, software='')
            runner = selection.select(query)
        if runner is None:
            raise self.no_endpoint_error(relayed, query)
        return relayed_requests.Plan(
            relayed.service,
            runner,
            relayed.size,
            runner.id in query.suspects,
        )

    def reserve(self, plan):
        """Return a plan with a place and any slot at its endpoint.

        Nothing may run between :meth:`plan` and this, so that there is one.
        A cold endpoint without a slot is found before the request is written.
        """
        place = self.router_state.closures.take_place(plan.runner)
        slot = self.router_state.warm_ups.take(plan.runner)
        return dataclasses.replace(plan, place=place, slot=slot)

    def check_completion(self, relayed, least_seconds=0.0):
        """Check that the next dispatch of a request can be finished.

        :param float least_seconds: as for :meth:`plan`.
        :raises errors.DeadlineExceeded: if too little of the deadline is left.
        :raises errors.ShuttingDown: if a stop would cut the request off.
        """
        self.router_state.completion.check(
            work(relayed, least_seconds), relayed.route.name
        )

    def check_harmless(self, relayed):
        """Check that requests like this one don't crash endpoints.

        The first dispatch of a request may be a trial.

        :raises errors.HarmfulRequest: if they do, and no trial is due.
        """
        harmful = self.router_state.guard.harmful
        if not harmful.has_evidence():
            return
        self.queue_of(relayed)
        traits = relayed.traits().all()
        culprit = harmful.find(relayed.service, traits)
        if culprit is None and relayed.crashes_at_begin >= CRASHES_TO_DOUBT:
            culprit = harmful.find_repeated(relayed.service, traits)
        if culprit is None:
            return
        if not relayed.dispatches:
            if relayed.trial is not None:
                return
            if harmful.begin_trial(relayed.service, culprit):
                relayed.trial = culprit
                return
        raise errors.HarmfulRequest(
            f'{culprit.crashes} endpoints crashed under requests with '
            f'{culprit.name}',
            step='select',
            peer=relayed.service,
            retry_at=deadlines.Deadline(
                harmful.trial_at(relayed.service, culprit)
            ),
        )

    def is_suspected(self, relayed):
        """Return whether requests like this one may crash endpoints."""
        harmful = self.router_state.guard.harmful
        return harmful.has_evidence() and harmful.is_suspected(
            relayed.service, relayed.traits().all()
        )

    def query(self, relayed, beside=True):
        """Return the :class:`selection.Query` of the next dispatch.

        It determines the service and the model size of the request, too.

        :param bool beside: as for :meth:`plan`.
        """
        router_state = self.router_state
        service, model = self.queue_of(relayed)
        endpoints = tuple(router_state.runners.of_service(service))
        software = router_state.releases.choose(
            service,
            tuple(sorted({runner.software for runner in endpoints})),
            router_state.runners.initial_software.get(service, ''),
            relayed.metadata.session,
            relayed.metadata.request_id,
        )
        return selection.Query(
            endpoints,
            router_state.failure_domain,
            software,
            model,
            relayed_requests.affinity_key(relayed),
            relayed.tried_endpoints.union(relayed.running if beside else ()),
            router_state.closures.blocked_ids(endpoints)
            | router_state.warm_ups.blocked_ids(endpoints),
            self.too_late(relayed, endpoints),
            self.suspects(endpoints),
            router_state.outcomes.in_flight,
            router_state.queues.seconds,
            router_state.runners.drains.drained,
            router_state.runners.drains.avoided(relayed.metadata.request_id),
            router_state.warm_ups.deferred_ids(endpoints),
        )

    def queue_of(self, relayed):
        """Return service and model, by which requests wait for endpoints.

        They stay the same for the next dispatches of the request.
        """
        relayed.service = relayed.service or self.choose_service(relayed)
        relayed.size = relayed.size or self.first_size(
            relayed, relayed.service
        )
        return relayed.service, relayed.size.model if relayed.size else ''

    def eligible(self, relayed):
        """Return the endpoints that could run a request, now or later."""
        query = self.query(relayed)
        return selection.eligible(query) or selection.eligible(
            dataclasses.replace(query, software='')
        )

    def openings(self, relayed):
        """Return the :class:`reopening.Opening` of each usable endpoint."""
        estimates = self.router_state.estimates
        warm_ups = self.router_state.warm_ups
        usable = self.eligible(relayed)
        too_late = self.too_late(relayed, usable)
        return tuple(
            warm_ups.limit_opening(each, estimates.opening(each))
            for each in usable
            if each.id not in too_late
        )

    def retry_at(self, relayed, waiting=0):
        """Return when the caller of a refused request may return.

        :param int waiting: requests that wait for the same endpoints.
        """
        usable = self.eligible(relayed)
        seconds = NO_ENDPOINT_RETRY_SECONDS
        if usable and not any(map(self.may_start, usable)):
            seconds = self.schedule.next_return(
                relayed.service, self.openings(relayed), waiting
            )
        return deadlines.Deadline.after(seconds)

    def may_start(self, runner):
        """Return whether an endpoint may get one more request now."""
        return self.router_state.closures.may_start(
            runner
        ) and self.router_state.warm_ups.may_start(runner)

    def no_endpoint_error(self, relayed, query):
        """Return the error for a request that no endpoint can take now."""
        service = relayed.service
        table = self.router_state.runners
        kind = errors.Overloaded
        text = f'no endpoint of {len(query.endpoints)} can take the request'
        retry_seconds = NO_ENDPOINT_RETRY_SECONDS
        eligible = {each.id for each in selection.eligible(query)}
        if eligible and eligible <= query.too_late:
            text = f'no endpoint of {len(query.endpoints)} starts it in time'
            retry_seconds = self.start_retry_seconds(relayed, eligible)
        elif eligible:
            kind = errors.EndpointsClosed
            text = f'all endpoints of {len(query.endpoints)} are closed'
        elif query.drained and selection.eligible(
            dataclasses.replace(query, drained=frozenset())
        ):
            kind = errors.EndpointsDrained
            text = f'all endpoints of {service} that are left are drained'
            retry_seconds = reopening.GENERATOR.uniform(
                NO_ENDPOINT_RETRY_SECONDS, reopening.MAX_RETURN_SECONDS
            )
        elif not query.endpoints and table.has_service(service):
            kind = errors.EndpointsLeaving
            text = f'all endpoints of {service} are leaving'
        return kind(
            text,
            step='select',
            peer=service,
            retry_at=deadlines.Deadline.after(retry_seconds),
        )

    def start_retry_seconds(self, relayed, endpoint_ids):
        """Return after how long the caller of a late request may return.

        The wait at the endpoints is not over sooner than it took lately. The
        callers spread, so that they don't return in one step.
        """
        starts = self.router_state.queues.starts
        urgency = relayed_requests.urgency(relayed)
        wait = min(starts.wait_seconds(each, urgency) for each in endpoint_ids)
        longest = min(wait, reopening.MAX_RETURN_SECONDS)
        return reopening.GENERATOR.uniform(
            NO_ENDPOINT_RETRY_SECONDS, max(NO_ENDPOINT_RETRY_SECONDS, longest)
        )

    def too_late(self, relayed, endpoints):
        """Return the ids of endpoints that would start a request too late."""
        starts = self.router_state.queues.starts
        urgency = relayed_requests.urgency(relayed)
        seconds_left = relayed.deadline.remaining()
        return frozenset(
            each.id
            for each in endpoints
            if not starts.can_start(each.id, urgency, seconds_left)
        )

    def suspects(self, endpoints):
        """Return the ids of endpoints that are suspected of failure.

        These are endpoints with bad outcomes lately, and all endpoints of
        a failure domain that is probably unreachable.
        """
        outcomes = self.router_state.outcomes
        domains = outcomes.lost_domains(
            self.router_state.runners.runners.values()
        )
        return outcomes.suspects(each.id for each in endpoints) | {
            each.id for each in endpoints if each.failure_domain in domains
        }

    def choose_service(self, relayed):
        """Return the service of a request by the route's weighted shares.

        The choice is a hash of the session, or of the request id without
        one, so that a session keeps its service while the shares stay.
        """
        weighted_services = relayed.route.eligible_services
        if len(weighted_services) == 1:
            return weighted_services[0].service
        key = relayed.metadata.session or relayed.metadata.request_id
        position = hashing.unit_hash(f'share\0{key}')
        position *= sum(
            weighted_service.weight for weighted_service in weighted_services
        )
        for weighted_service in weighted_services:
            position -= weighted_service.weight
            if position < 0:
                return weighted_service.service
        return weighted_services[-1].service

    def first_size(self, relayed, service):
        """Return the size to run first, None if the caller named a model."""
        eligible = self.eligible_sizes(relayed, service)
        return sizes.first_size(eligible) if eligible else None

    def eligible_sizes(self, relayed, service):
        """Return the sizes that may serve a request, smallest first.

        There are none if the caller named a model.
        """
        if not relayed.route.sizes or not relayed.metadata.any_model:
            return ()
        configuration = self.router_state.configuration.current
        configured = configuration.services.get(
            service, ingress.Service(service)
        )
        return tuple(
            sizes.Size(model, configured.cost_of(model))
            for model in relayed.route.sizes
        )


def work(relayed, least_seconds=0.0):
    """Return the :class:`completion.Work` of the next dispatch.

    The first one stands for the whole request, larger models included.

    :param float least_seconds: as for :class:`completion.Work`.
    """
    kind = whole_kind(relayed)
    if relayed.dispatches:
        kind = run_kind(relayed, relayed.size)
    return completion.Work(
        kind, relayed.deadline, completion_rule(relayed.route), least_seconds
    )


def whole_kind(relayed):
    """Return the kind of work that a whole request is."""
    return (relayed.route.name,)


def run_kind(relayed, size):
    """Return the kind of work that one run of a request is."""
    return relayed.route.name, size.model if size else ''


def completion_rule(route):
    """Return the name of the rule for requests of a route."""
    return 'repeatable' if route.retryable else 'once'
