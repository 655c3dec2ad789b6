"""Processes that stand still, and changes while requests wait for them."""

import signal

import curio

from benchmarks.soak import callers
from benchmarks.soak import configuration_faults
from benchmarks.soak import observations
from benchmarks.soak import plans
from benchmarks.soak import process_endpoints

PAUSES_SECONDS = (0.5, 1.0, 1.5, 2.0, 2.5)
# Time for requests to gather at processes that stand still.
GATHER_SECONDS = 0.25
# From a change to the one that takes it back.
SERIES_SECONDS = 0.45
SHORT_TIMEOUT_MS = 1600
LONG_TIMEOUT_MS = 3000
SERVICE = 'app'
# Requests that come while processes stand still, on connections that are kept.
BURST_CALLERS = 24
REQUESTS_IN_BURST = 2
# Services that take the place of another; the second has no endpoints.
OTHER_SERVICES = ('llm', 'spare')


def pause_of(event):
    """Return for how long an event's processes stand still."""
    return configuration_faults.pick(PAUSES_SECONDS, event)


def paused_endpoints(fleet, event):
    """Return one to all of the endpoints that are processes."""
    found = [
        each
        for each in fleet.endpoints
        if isinstance(each, process_endpoints.ProcessEndpoint)
    ]
    first = event.target % len(found)
    count = 1 + event.target // len(PAUSES_SECONDS) % len(found)
    return (found[first:] + found[:first])[:count]


async def pause_endpoints(fleet, event):
    """Let endpoints' processes stand still, and go on."""
    async with curio.TaskGroup() as tasks:
        for endpoint in paused_endpoints(fleet, event):
            await tasks.spawn(endpoint.pause, pause_of(event))


async def send_burst(fleet, event, router=None):
    """Send requests from before a pause until after its end."""
    async with curio.TaskGroup() as tasks:
        for number in range(BURST_CALLERS):
            name = f'burst-{event.at:.3f}-{number}'
            caller = callers.Caller(fleet, event.target, name, router)
            await tasks.spawn(send_in_burst, caller, pause_of(event))


async def send_in_burst(caller, seconds):
    """Send a request, then others at random times."""
    generator = caller.generator
    await caller.send_and_record('whole')
    for _ in range(REQUESTS_IN_BURST):
        await curio.sleep(generator.uniform(0.0, seconds))
        await caller.send_and_record(generator.choice(callers.KINDS))
    await caller.close()


@plans.FAULTS.register('endpoint-process-paused')
async def pause_endpoint_processes(fleet, event):
    """Let endpoints stand still; they are sound before and after."""
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(send_burst, fleet, event)
        await curio.sleep(GATHER_SECONDS)
        await tasks.spawn(pause_endpoints, fleet, event)


@plans.FAULTS.register('changes-beside-router-pause')
async def pause_router_beside_changes(fleet, event):
    """Suspend a router while its configuration and settings change."""
    router = plans.router_of(fleet, event)
    if router.stopping or not router.handles(signal.SIGHUP):
        return
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(send_burst, fleet, event, router)
        await curio.sleep(GATHER_SECONDS)
        await tasks.spawn(pause_and_change, fleet, event, router)


async def pause_and_change(fleet, event, router):
    """Suspend a router, change what it will find, and resume it."""
    process = router.popen
    began = observations.now()
    process.send_signal(signal.SIGSTOP)
    await curio.sleep(GATHER_SECONDS)
    fleet.write_settings(router, slack=20 + event.target % 40)
    process.send_signal(signal.SIGHUP)
    await configuration_faults.apply_settings(
        fleet,
        pause_of(event) - GATHER_SECONDS,
        timeout_ms=configuration_faults.pick(
            configuration_faults.TIMEOUTS_MS, event
        ),
    )
    process.send_signal(signal.SIGCONT)
    fleet.observed.faults.append(
        observations.FaultSpan(
            began, observations.now(), 'router-pause', router.name
        )
    )


@plans.FAULTS.register('changes-in-series')
async def change_in_series(fleet, event):
    """Change routes twice while requests wait for endpoints."""
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(pause_endpoints, fleet, event)
        await curio.sleep(GATHER_SECONDS)
        if event.target // 20 % 2:
            await move_service(fleet, event)
        else:
            await change_timeouts(fleet)


async def move_service(fleet, event):
    """Take a service from its routes, and give it back."""
    other = OTHER_SERVICES[event.target // 40 % len(OTHER_SERVICES)]
    await configuration_faults.apply_settings(
        fleet, SERIES_SECONDS, moved_service=SERVICE, moved_to=other
    )


async def change_timeouts(fleet):
    """Change the timeout of all routes twice within a second."""
    for milliseconds in (SHORT_TIMEOUT_MS, LONG_TIMEOUT_MS):
        await configuration_faults.apply_settings(
            fleet, SERIES_SECONDS, timeout_ms=milliseconds
        )
