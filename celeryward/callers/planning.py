"""Where a request of a router is sent next."""

import dataclasses

from celeryward.callers import relayed_requests
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

    def plan(self, relayed):
        """Choose service, model, software version and endpoint.

        :raises errors.Overloaded: if there is no endpoint.
        :raises errors.DeadlineExceeded: if the deadline has passed.
        """
        if relayed.deadline.expired():
            raise errors.DeadlineExceeded(
                'deadline passed before dispatch',
                step='select',
                peer=relayed.route.name,
                retry_at=deadlines.Deadline.after(FULL_RETRY_SECONDS),
            )
        knowledge = self.knowledge
        service = relayed.service or self.choose_service(relayed)
        size = relayed.size or self.first_size(relayed, service)
        relayed.size = size
        present = tuple(knowledge.runners.of_service(service))
        software = knowledge.releases.choose(
            service,
            tuple(sorted({runner.software for runner in present})),
            knowledge.runners.initial_software.get(service, ''),
            relayed.ask.session,
            relayed.ask.request_id,
        )
        query = selection.Query(
            present,
            knowledge.failure_domain,
            software,
            size.model if size else '',
            relayed_requests.affinity(relayed.ask),
            relayed.tried,
            self.suspects(present),
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
        return relayed_requests.Plan(
            service, runner, size, runner.id in query.suspects
        )

    def suspects(self, present):
        """Return the ids of endpoints that are better avoided."""
        outcomes = self.knowledge.outcomes
        domains = outcomes.lost_domains(
            self.knowledge.runners.runners.values()
        )
        return outcomes.suspects(each.id for each in present) | {
            each.id for each in present if each.failure_domain in domains
        }

    def choose_service(self, relayed):
        """Return the service of a route that splits its requests.

        A session keeps its service as long as the shares stay.
        """
        shares = relayed.route.shares
        if len(shares) == 1:
            return shares[0].service
        key = relayed.ask.session or relayed.ask.request_id
        place = hashing.place(f'share\0{key}')
        place *= sum(share.weight for share in shares)
        for share in shares:
            place -= share.weight
            if place < 0:
                return share.service
        return shares[-1].service

    def first_size(self, relayed, service):
        """Return the size to run first, None if the caller chose."""
        offered = self.sizes(relayed, service)
        return sizes.first_size(offered) if offered else None

    def sizes(self, relayed, service):
        """Return the sizes that may serve a request, smallest first."""
        if not relayed.route.sizes or not relayed.ask.any_size:
            return ()
        configuration = self.knowledge.configuration.current
        known = configuration.services.get(service, ingress.Service(service))
        return tuple(
            sizes.Size(model, known.cost_of(model))
            for model in relayed.route.sizes
        )
