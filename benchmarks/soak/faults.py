"""Faults that a run injects, each into one target for a duration."""

import dataclasses
import signal

import curio

from benchmarks.soak import observations
from benchmarks.soak import proxy
from celeryward import registry

FAULTS = registry.Registry('fault')
DELAY_SECONDS = 0.15
REFUSED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A scheduled fault.

    :param float at: seconds from the start of the run.
    :param int target: picks the router or endpoint, modulo their number.
    :param float seconds: duration of the fault.
    """

    at: float
    fault: str
    target: int
    seconds: float


def make_plan(generator, seconds, rate):
    """Return the fault events of a run, sorted by start time.

    :param random.Random generator: only source of randomness, so that a
        seed determines the plan.
    :param float seconds: period in which faults start.
    :param float rate: faults per second.
    """
    names = sorted(FAULTS.entries)
    events = [
        Event(
            generator.uniform(0.0, seconds),
            generator.choice(names),
            generator.randrange(1000),
            generator.choice((0.2, 1.0, 3.0, 6.0)),
        )
        for _ in range(max(1, round(seconds * rate)))
    ]
    return tuple(sorted(events, key=lambda event: event.at))


async def inject(fleet, event):
    """Inject the fault of one event and record its time span."""
    began = observations.now()
    try:
        await FAULTS.get(event.fault)(fleet, event)
    finally:
        fleet.observed.faults.append((began, observations.now(), event.fault))


def router_of(fleet, event):
    """Return the router that an event targets."""
    return fleet.routers[event.target % len(fleet.routers)]


def endpoint_of(fleet, event):
    """Return the endpoint that an event targets."""
    return fleet.endpoints[event.target % len(fleet.endpoints)]


async def apply_conditions(link, conditions, seconds):
    """Set the conditions of a proxy for a duration, then clear them."""
    link.conditions = conditions
    await curio.sleep(seconds)
    link.conditions = proxy.CLEAR


async def apply_endpoint_conditions(fleet, event, conditions):
    """Set the conditions of an endpoint's proxy for a duration."""
    endpoint = endpoint_of(fleet, event)
    await apply_conditions(endpoint.proxy, conditions, event.seconds)
    # Held bytes are delivered now, later than they were sent.
    endpoint.disturbed_until = observations.now() + 1.0


@FAULTS.register('router-stop')
async def stop_router(fleet, event):
    """Stop a router gracefully, then start it again."""
    router = router_of(fleet, event)
    await fleet.stop_router(router)
    if not router.alive:
        fleet.start_router(router)


@FAULTS.register('router-kill')
async def kill_router(fleet, event):
    """Kill a router and start it again after the duration."""
    router = router_of(fleet, event)
    await fleet.kill_router(router)
    await curio.sleep(event.seconds)
    if not router.alive:
        fleet.start_router(router)


@FAULTS.register('router-pause')
async def pause_router(fleet, event):
    """Suspend the process of a router for the duration."""
    router = router_of(fleet, event)
    router.signal(signal.SIGSTOP)
    await curio.sleep(event.seconds)
    router.signal(signal.SIGCONT)


@FAULTS.register('router-reload')
async def reload_router(fleet, event):
    """Change the settings of a router and send it a reload signal."""
    router = router_of(fleet, event)
    fleet.write_settings(router, slack=20 + event.target % 40)
    router.signal(signal.SIGHUP)


@FAULTS.register('store-delayed')
async def delay_store(fleet, event):
    """Delay the traffic between one router and the store."""
    router = router_of(fleet, event)
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await apply_conditions(router.proxy, conditions, event.seconds)


@FAULTS.register('store-answers-lost')
async def lose_store_answers(fleet, event):
    """Hold the store's answers to one router, then reset connections."""
    router = router_of(fleet, event)
    conditions = proxy.Conditions(answers_held=True)
    await apply_conditions(router.proxy, conditions, event.seconds)
    await router.proxy.reset()


@FAULTS.register('store-refused')
async def refuse_store(fleet, event):
    """Reset open and new connections of one router to the store."""
    router = router_of(fleet, event)
    await router.proxy.reset()
    await apply_conditions(
        router.proxy, proxy.Conditions(refused=True), event.seconds
    )


@FAULTS.register('store-away')
async def make_store_unavailable(fleet, event):
    """Make the store end all calls without an answer."""
    fleet.store.unavailable = True
    await curio.sleep(event.seconds)
    fleet.store.unavailable = False


@FAULTS.register('store-busy')
async def overload_store(fleet, event):
    """Make the store answer a share of all calls with 503."""
    fleet.store.refused_share = REFUSED_SHARE
    await curio.sleep(event.seconds)
    fleet.store.refused_share = 0.0


@FAULTS.register('store-history-lost')
async def compact_history(fleet, event):
    """Make the store compact its history up to the current revision."""
    fleet.store.compacted = fleet.store.revision


@FAULTS.register('endpoint-delayed')
async def delay_endpoint(fleet, event):
    """Delay the traffic between routers and an endpoint."""
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await apply_endpoint_conditions(fleet, event, conditions)


@FAULTS.register('endpoint-silent')
async def silence_endpoint(fleet, event):
    """Hold the traffic between routers and an endpoint both ways."""
    conditions = proxy.Conditions(requests_held=True, answers_held=True)
    await apply_endpoint_conditions(fleet, event, conditions)


@FAULTS.register('endpoint-answers-held')
async def hold_answers(fleet, event):
    """Hold the traffic from an endpoint to the routers."""
    await apply_endpoint_conditions(
        fleet, event, proxy.Conditions(answers_held=True)
    )


@FAULTS.register('endpoint-requests-held')
async def hold_requests(fleet, event):
    """Hold the traffic from the routers to an endpoint."""
    await apply_endpoint_conditions(
        fleet, event, proxy.Conditions(requests_held=True)
    )


@FAULTS.register('endpoint-reset')
async def reset_endpoint(fleet, event):
    """Reset all connections to an endpoint."""
    await endpoint_of(fleet, event).proxy.reset()


@FAULTS.register('endpoint-crash')
async def crash_endpoint(fleet, event):
    """Crash an endpoint and replace it after the duration."""
    endpoint = endpoint_of(fleet, event)
    await endpoint.crash()
    await curio.sleep(event.seconds)
    await endpoint.restart()


@FAULTS.register('endpoint-leave')
async def remove_endpoint(fleet, event):
    """Drain an endpoint, then replace it.

    About half of the endpoints do not announce that they leave: their
    entry is deleted without a draining state.
    """
    endpoint = endpoint_of(fleet, event)
    left = endpoint.server
    await endpoint.leave(announced=event.target % 2 == 0)
    await curio.sleep(event.seconds)
    if endpoint.server is left:
        await left.stop()
        await endpoint.restart()


@FAULTS.register('configuration-change')
async def change_configuration(fleet, event):
    """Write several configuration versions in quick succession."""
    for _ in range(1 + event.target % 4):
        await fleet.write_configuration()
        await curio.sleep(0.1)


@FAULTS.register('key-revoked')
async def revoke_key(fleet, event):
    """Issue a key and revoke it after the duration."""
    key = f'key-{fleet.version}-{event.target}'
    fleet.keys.append(key)
    await fleet.write_configuration()
    await curio.sleep(event.seconds)
    fleet.keys.remove(key)
    await fleet.write_configuration()
    fleet.observed.revoked_at[key] = observations.now()
