"""Faults of endpoints that tell routers to leave them alone."""

import dataclasses

import curio

from benchmarks.soak import faults
from benchmarks.soak import observations
from benchmarks.soak import plans
from tests import platform_processes as processes
from tests import platform_standins as standins

# An endpoint goes on for longer than a router may take to comply.
MIN_LEAVING_SECONDS = 4.0
PAUSES_SECONDS = (1, 2, 3)


@plans.FAULTS.register('endpoint-announces')
async def announce_departure(fleet, event):
    """Let an endpoint say in all answers that it leaves, then replace it.

    Its entry in the store stays ready until the endpoint is replaced.
    """
    endpoint = plans.endpoint_of(fleet, event)
    left = endpoint.server
    left.leaving = True
    await curio.sleep(max(event.seconds, MIN_LEAVING_SECONDS))
    if endpoint.server is left:
        await faults.stop_and_replace(fleet, endpoint)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Shedding:
    """Turns all requests away and asks for a pause.

    :param int pause_seconds: value of the header.
    """

    pause_seconds: int

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request."""
        now = observations.now()
        endpoint.fleet.observed.turned_away.append(
            observations.Refusal(
                processes.request_id(arrival),
                server.id,
                now,
                now + self.pause_seconds,
                endpoint.undisturbed(),
            )
        )
        refuse = standins.turn_away(str(self.pause_seconds))
        await refuse(server, connection, arrival)


@plans.FAULTS.register('endpoint-sheds')
async def shed_requests(fleet, event):
    """Let an endpoint turn requests away with a pause for a duration."""
    endpoint = plans.endpoint_of(fleet, event)
    shedding = Shedding(PAUSES_SECONDS[event.target % len(PAUSES_SECONDS)])
    endpoint.answer_fault = shedding
    await curio.sleep(event.seconds)
    # A fault that began later stays.
    if endpoint.answer_fault is shedding:
        endpoint.answer_fault = None
