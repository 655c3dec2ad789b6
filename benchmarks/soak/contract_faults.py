"""Faults of endpoints that tell routers to leave them alone."""

import dataclasses

import curio

from benchmarks.soak import faults
from benchmarks.soak import observations
from benchmarks.soak import plans
from tests import platform_processes as processes

# An endpoint goes on for longer than a router may take to comply.
MIN_LEAVING_SECONDS = 5.0
LEAVING_ENDPOINTS = 2
PAUSES_SECONDS = (1, 2, 3)


@plans.FAULTS.register('endpoint-announces')
async def announce_departure(fleet, event):
    """Let endpoints say in all answers that they leave, then replace them.

    Their entries in the store stay ready until they are replaced.
    """
    service = plans.endpoint_of(fleet, event).service
    affected = [each for each in fleet.endpoints if each.service == service]
    left = {each: each.server for each in affected[:LEAVING_ENDPOINTS]}
    for server in left.values():
        server.leaving = True
    await curio.sleep(max(event.seconds, MIN_LEAVING_SECONDS))
    for endpoint, server in left.items():
        if endpoint.server is server:
            await faults.stop_and_replace(fleet, endpoint, server)


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
                endpoint.undisturbed(now),
            )
        )
        refuse = processes.turn_away(self.pause_seconds)
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
