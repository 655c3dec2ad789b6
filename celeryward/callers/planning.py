"""Where a request of a router is sent next."""

import dataclasses

from celeryward.callers import journeys
from celeryward import deadlines
from celeryward.endpoints import selection
from celeryward import errors
from celeryward import hashing
from celeryward import ingress
from celeryward.raters import sizes

# Time to come back after a refusal for want of an endpoint.
FULL_RETRY_SECONDS = 0.4


class Planner:
    """Chooses service, size, software version and endpoint.

    :param checks.Knowledge knowledge: what the router believes.
    """

    def __init__(self, knowledge):
        self.knowledge = knowledge

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
            journeys.affinity(journey.ask),
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
        return journeys.Plan(
            service, runner, size, runner.id in query.suspects
        )

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
