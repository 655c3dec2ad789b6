"""Endpoints of the soak beside faults that end them at the same time."""

import curio

from benchmarks.soak import faults
from benchmarks.soak import harmful_faults
from benchmarks.soak import plans
from tests import soak_endpoints

# From one fault to the next: in the same turn, while the other ends or starts
# the endpoint, and while it is away.
DELAYS_SECONDS = (0.0, 0.005, 0.02, 0.1, 0.2)
CRASH = plans.Event(0.0, 'endpoint-crash', 0, 0.2)
# Announced and not.
LEAVES = (
    plans.Event(0.0, 'endpoint-leave', 0, 0.2),
    plans.Event(0.0, 'endpoint-leave', 1, 0.2),
)


class TestOverlappingFaults:
    """Guards against faults at the same time that end in a harness error."""

    async def check_back(self, endpoint):
        assert await soak_endpoints.ask(endpoint) == b'whole answer'
        entries = [
            name
            for kind, name in endpoint.fleet.store.objects
            if kind == 'servers' and name.startswith(f'{endpoint.name}-')
        ]
        assert entries == [endpoint.server.id]

    async def end_twice(self, endpoint, second, *arguments):
        for delay in DELAYS_SECONDS:
            first = await curio.spawn(
                faults.crash_endpoint, endpoint.fleet, CRASH
            )
            await curio.sleep(delay)
            await second(*arguments)
            await first.join()
            await self.check_back(endpoint)

    @soak_endpoints.on_endpoint(in_process=False)
    async def test_endpoint_that_crashes_twice_is_back(self, endpoint):
        await self.end_twice(
            endpoint, faults.crash_endpoint, endpoint.fleet, CRASH
        )

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_process_that_crashes_twice_is_back(self, endpoint):
        await self.end_twice(
            endpoint, faults.crash_endpoint, endpoint.fleet, CRASH
        )

    @soak_endpoints.on_endpoint(in_process=False)
    async def test_endpoint_that_a_part_crashes_too_is_back(self, endpoint):
        await self.end_twice(endpoint, harmful_faults.crash, endpoint, 'bad1')

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_process_that_a_part_crashes_too_is_back(self, endpoint):
        await self.end_twice(endpoint, harmful_faults.crash, endpoint, 'bad1')

    @soak_endpoints.on_endpoint(in_process=False)
    async def test_endpoint_that_leaves_while_it_crashes_is_back(
        self, endpoint
    ):
        for event in LEAVES:
            await self.end_twice(
                endpoint, faults.remove_endpoint, endpoint.fleet, event
            )
