"""Faults that a run injects, each into one target for a duration."""

import signal

import curio

from benchmarks.soak import endpoints
from benchmarks.soak import observations
from benchmarks.soak import plans
from benchmarks.soak import proxy

DELAY_SECONDS = 0.15
REFUSED_SHARE = 0.5
MIN_QUIET_SECONDS = 1.0
QUIET_STEP_SECONDS = 0.1
QUIET_STEPS = 6
QUIET_ROUNDS = 3
# From one endpoint of a series to the next that falls silent.
QUIET_INTERVAL_SECONDS = 0.3
MAX_QUIET_ENDPOINTS = 4


async def apply_conditions(link, conditions, seconds):
    """Set the conditions of a proxy for a duration, then clear them."""
    link.conditions = conditions
    await curio.sleep(seconds)
    link.conditions = proxy.CLEAR


async def apply_endpoint_conditions(fleet, event, conditions):
    """Set the conditions of an endpoint's proxy for a duration."""
    endpoint = plans.endpoint_of(fleet, event)
    await apply_conditions(endpoint.proxy, conditions, event.seconds)
    # Held bytes are delivered now, later than they were sent.
    endpoint.disturb(observations.now())


@plans.FAULTS.register('router-stop')
async def stop_router(fleet, event):
    """Stop a router gracefully, then start it again."""
    router = plans.router_of(fleet, event)
    await fleet.stop_router(router)
    if not router.alive:
        fleet.start_router(router)


@plans.FAULTS.register('router-kill')
async def kill_router(fleet, event):
    """Kill a router and start it again after the duration."""
    router = plans.router_of(fleet, event)
    await fleet.kill_router(router)
    await curio.sleep(event.seconds)
    if not router.alive:
        fleet.start_router(router)


@plans.FAULTS.register('router-pause')
async def pause_router(fleet, event):
    """Suspend the process of a router for the duration."""
    router = plans.router_of(fleet, event)
    if router.stopping:
        # Nothing can end in time while it is suspended to the end of its stop.
        return
    router.signal(signal.SIGSTOP)
    await curio.sleep(event.seconds)
    router.signal(signal.SIGCONT)


@plans.FAULTS.register('router-reload')
async def reload_router(fleet, event):
    """Change the settings of a router and send it a reload signal."""
    router = plans.router_of(fleet, event)
    fleet.write_settings(router, slack=20 + event.target % 40)
    await router.signal_handled(signal.SIGHUP)


@plans.FAULTS.register('store-delayed')
async def delay_store(fleet, event):
    """Delay the traffic between one router and the store."""
    router = plans.router_of(fleet, event)
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await apply_conditions(router.proxy, conditions, event.seconds)


@plans.FAULTS.register('store-answers-lost')
async def lose_store_answers(fleet, event):
    """Hold the store's answers to one router, then reset connections."""
    router = plans.router_of(fleet, event)
    conditions = proxy.Conditions(answers_held=True)
    await apply_conditions(router.proxy, conditions, event.seconds)
    await router.proxy.reset()


@plans.FAULTS.register('store-refused')
async def refuse_store(fleet, event):
    """Reset open and new connections of one router to the store."""
    router = plans.router_of(fleet, event)
    await router.proxy.reset()
    await apply_conditions(
        router.proxy, proxy.Conditions(refused=True), event.seconds
    )


@plans.FAULTS.register('store-away')
async def make_store_unavailable(fleet, event):
    """Make the store end all calls without an answer."""
    fleet.store.unavailable = True
    await curio.sleep(event.seconds)
    fleet.store.unavailable = False


@plans.FAULTS.register('store-busy')
async def overload_store(fleet, event):
    """Make the store answer a share of all calls with 503."""
    fleet.store.refused_share = REFUSED_SHARE
    await curio.sleep(event.seconds)
    fleet.store.refused_share = 0.0


@plans.FAULTS.register('store-history-lost')
async def compact_history(fleet, event):
    """Make the store compact its history up to the current revision."""
    fleet.store.compacted = fleet.store.revision


@plans.FAULTS.register('endpoint-delayed')
async def delay_endpoint(fleet, event):
    """Delay the traffic between routers and an endpoint."""
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await apply_endpoint_conditions(fleet, event, conditions)


@plans.FAULTS.register('endpoint-silent')
async def silence_endpoint(fleet, event):
    """Hold the traffic between routers and an endpoint both ways."""
    conditions = proxy.Conditions(requests_held=True, answers_held=True)
    await apply_endpoint_conditions(fleet, event, conditions)


@plans.FAULTS.register('endpoint-quiet')
async def quiet_endpoints(fleet, event):
    """Let sound endpoints of a service stop for about a second, in turn.

    Each goes on and stops again some times.
    """
    step = event.target % QUIET_STEPS
    seconds = MIN_QUIET_SECONDS + step * QUIET_STEP_SECONDS
    first = plans.endpoint_of(fleet, event)
    later = [
        each
        for each in fleet.endpoints
        if each.service == first.service and each is not first
    ]
    count = event.target % MAX_QUIET_ENDPOINTS
    for _ in range(QUIET_ROUNDS):
        for endpoint in [first, *later[:count]]:
            endpoint.fall_silent(seconds)
            await curio.sleep(QUIET_INTERVAL_SECONDS)
        await curio.sleep(seconds + endpoints.MIN_GOING_ON_SECONDS)


@plans.FAULTS.register('endpoint-answers-held')
async def hold_answers(fleet, event):
    """Hold the traffic from an endpoint to the routers."""
    await apply_endpoint_conditions(
        fleet, event, proxy.Conditions(answers_held=True)
    )


@plans.FAULTS.register('endpoint-requests-held')
async def hold_requests(fleet, event):
    """Hold the traffic from the routers to an endpoint."""
    await apply_endpoint_conditions(
        fleet, event, proxy.Conditions(requests_held=True)
    )


@plans.FAULTS.register('endpoint-reset')
async def reset_endpoint(fleet, event):
    """Reset all connections to an endpoint."""
    await plans.endpoint_of(fleet, event).proxy.reset()


@plans.FAULTS.register('endpoint-crash')
async def crash_endpoint(fleet, event):
    """Crash an endpoint and replace it after the duration."""
    endpoint = plans.endpoint_of(fleet, event)
    server = endpoint.server
    await endpoint.crash(server)
    await curio.sleep(event.seconds)
    await endpoint.restart(server)


@plans.FAULTS.register('endpoint-leave')
async def remove_endpoint(fleet, event):
    """Drain an endpoint, then replace it.

    About half of the endpoints do not announce that they leave: their
    entry is deleted without a draining state.
    """
    endpoint = plans.endpoint_of(fleet, event)
    left = endpoint.server
    await endpoint.leave(announced=event.target % 2 == 0)
    await curio.sleep(event.seconds)
    if endpoint.server is left:
        await stop_and_replace(fleet, endpoint, left)


async def stop_and_replace(fleet, endpoint, server):
    """Stop a server that has left, and start another in its place.

    Only this excuses an answer that broke off, not the departure itself.
    """
    began = observations.now()
    await endpoint.crash(server)
    fleet.observed.faults.append(
        observations.FaultSpan(
            began, observations.now(), 'endpoint-stop', endpoint.name
        )
    )
    await endpoint.restart(server)


@plans.FAULTS.register('configuration-change')
async def change_configuration(fleet, event):
    """Write several configuration versions in quick succession."""
    for _ in range(1 + event.target % 4):
        await fleet.write_configuration()
        await curio.sleep(0.1)


@plans.FAULTS.register('key-revoked')
async def revoke_key(fleet, event):
    """Issue a key and revoke it after the duration."""
    key = f'key-{fleet.version}-{event.target}'
    fleet.keys.append(key)
    await fleet.write_configuration()
    await curio.sleep(event.seconds)
    fleet.keys.remove(key)
    await fleet.write_configuration()
    fleet.observed.revoked_at[key] = observations.now()
