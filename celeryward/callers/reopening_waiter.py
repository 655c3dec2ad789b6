"""Keeps requests until a closed endpoint opens, or refuses them at once.

The task of each request waits itself. Only the first request of a queue wakes
up when the next endpoint opens; the one after it follows when the first one
is dispatched.
"""

import itertools
import time

import curio

from celeryward.callers import kept_requests
from celeryward.callers import relayed_requests
from celeryward.endpoints import reopening
from celeryward import errors
from celeryward import logs

# Part of the objective within which a request has to start.
START_OBJECTIVE_SHARE = 0.5
# The first request of a queue tries again at least this often, since the list
# of endpoints may change.
RECHECK_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.01


class ReopeningWaiter:
    """Plans requests; keeps them while all endpoints are closed.

    :param planning.Planner planner: chooses the endpoints.
    :param router_admission.RouterState router_state: shared by all requests.
    """

    def __init__(self, planner, router_state):
        self.planner = planner
        self.closures = router_state.closures
        self.estimates = router_state.estimates
        self.drains = router_state.runners.drains
        self.kept = kept_requests.KeptRequests()
        self.numbers = itertools.count()

    async def plan(self, relayed):
        """Return the :class:`relayed_requests.Plan` of the next dispatch.

        :raises errors.NotRun: if no endpoint can take the request in time.
        """
        queue = self.planner.queue_of(relayed)
        urgency = relayed_requests.urgency(relayed)
        if not self.kept.goes_before(queue, urgency):
            try:
                return self.planner.plan(relayed)
            except errors.EndpointsClosed:
                # It is kept, if an endpoint opens in time.
                pass
        ticket = kept_requests.Ticket(
            urgency,
            next(self.numbers),
            self.latest_start(relayed),
            curio.Event(),
            bool(relayed.tried_endpoints),
            self.planner.query(relayed).software,
        )
        try:
            return await self.wait(queue, ticket, relayed)
        except BaseException:
            # After a plan, the next one is woken when the dispatch begins, so
            # that it finds the place taken.
            self.kept.remove(queue, ticket)
            await self.wake_first(queue)
            raise
        finally:
            self.kept.remove(queue, ticket)

    def latest_start(self, relayed):
        """Return when a request has to start, on the boot-time clock."""
        route = relayed.route
        answer_seconds = self.estimates.seconds(relayed.service)
        start_by = min(
            relayed.started_at
            + START_OBJECTIVE_SHARE * route.objective_seconds,
            relayed.deadline.at - answer_seconds,
        )
        return self.closures.clock() + start_by - time.monotonic()

    async def wait(self, queue, ticket, relayed):
        """Wait for the turn of a request; return its plan."""
        drains = self.drains.count
        await self.admit(queue, ticket, relayed)
        while ticket in self.kept.of(queue):
            await self.sleep(queue, ticket, relayed)
            try:
                return self.planner.plan(relayed)
            except errors.EndpointsClosed as error:
                if self.closures.clock() >= ticket.latest_start:
                    raise self.refusal(relayed) from error
            is_kept = ticket in self.kept.of(queue)
            if is_kept and drains != self.drains.count:
                # Fewer endpoints are left for those that wait.
                drains = self.drains.count
                await self.keep(queue, ticket, relayed)
            await self.wake_others(queue, ticket)
        raise self.refusal(relayed)

    async def admit(self, queue, ticket, relayed):
        """Queue a request; refuse those that can't be served in time.

        :raises errors.EndpointsClosed: if it is one of them itself.
        :raises errors.ShuttingDown: if a stop would cut it off.
        """
        self.planner.check_completion(relayed)
        await self.keep(queue, ticket, relayed)
        logs.bind(
            request_id=relayed.metadata.request_id,
            step='wait',
            peer=relayed.service,
            service=relayed.service,
            waiting=len(self.kept.of(queue)),
        ).info('request waits for an endpoint to open')

    async def keep(self, queue, ticket, relayed):
        """Queue a request in place of its earlier ticket, if there is one.

        :raises errors.EndpointsClosed: if it can't be served in time.
        """
        self.kept.remove(queue, ticket)
        openings = self.planner.openings(relayed)
        late = [ticket]
        if openings:
            starts = reopening.start_times(openings)
            late = self.kept.add(queue, ticket, starts)
        for each in late:
            await each.woken.set()
        if ticket in late:
            raise self.refusal(relayed)

    async def sleep(self, queue, ticket, relayed):
        """Wait until a request should try, or can't start in time."""
        now = self.closures.clock()
        until = ticket.latest_start
        if self.kept.of(queue)[0] is ticket:
            openings = self.planner.openings(relayed)
            first = min((each.at for each in openings), default=now)
            until = min(until, max(first, now), now + RECHECK_SECONDS)
        seconds = max(MIN_WAIT_SECONDS, until - now)
        async with curio.ignore_after(seconds):
            await ticket.woken.wait()
        ticket.woken.clear()

    async def wake_first(self, queue):
        """Let the first request of a queue try again."""
        for ticket in self.kept.of(queue)[:1]:
            await ticket.woken.set()

    async def wake_others(self, queue, ticket):
        """Let requests try that may go where another one can't."""
        following = self.kept.next_version_after(queue, ticket)
        if ticket.is_particular:
            following = self.kept.next_after(queue, ticket)
        if following is not None:
            await following.woken.set()

    async def place_freed(self, runner):
        """Let requests try again after an endpoint can take one more."""
        for queue in tuple(self.kept.queues):
            if queue[0] == runner.service:
                await self.wake_first(queue)

    def refusal(self, relayed):
        """Return the error for a request that no endpoint takes in time."""
        queue = self.planner.queue_of(relayed)
        return errors.EndpointsClosed(
            f'no endpoint of {relayed.service} opens in time',
            step='select',
            peer=relayed.service,
            retry_at=self.planner.retry_at(relayed, len(self.kept.of(queue))),
        )
