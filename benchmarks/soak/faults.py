"""Faults that a soak injects, each into one target for some time."""

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
    """One fault of a plan.

    :param float at: seconds from the start of the run.
    :param int target: number that the fault takes modulo its targets.
    :param float seconds: how long it lasts.
    """

    at: float
    fault: str
    target: int
    seconds: float


def make_plan(generator, seconds, rate):
    """Return the events of a run in the order of their times.

    :param random.Random generator: decides everything.
    :param float seconds: time in which faults begin.
    :param float rate: faults for each second.
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
    """Play one event to its end."""
    began = observations.now()
    try:
        await FAULTS.get(event.fault)(fleet, event)
    finally:
        fleet.seen.faults.append((began, observations.now(), event.fault))


def router_of(fleet, event):
    """Return the router that an event is for."""
    return fleet.routers[event.target % len(fleet.routers)]


def endpoint_of(fleet, event):
    """Return the endpoint that an event is for."""
    return fleet.endpoints[event.target % len(fleet.endpoints)]


async def hold(passage, conditions, seconds):
    """Set the conditions of a proxy for some time."""
    passage.conditions = conditions
    await curio.sleep(seconds)
    passage.conditions = proxy.CLEAR


async def hold_endpoint(fleet, event, conditions):
    """Set the conditions in front of an endpoint for some time."""
    endpoint = endpoint_of(fleet, event)
    await hold(endpoint.proxy, conditions, event.seconds)
    # What was held arrives now.
    endpoint.disturbed_until = observations.now() + 1.0


@FAULTS.register('router-stop')
async def stop_router(fleet, event):
    """Stop a router as planned, and start it again."""
    router = router_of(fleet, event)
    await fleet.stop_router(router)
    if not router.alive:
        fleet.start_router(router)


@FAULTS.register('router-kill')
async def kill_router(fleet, event):
    """Kill a router, and start it again later."""
    router = router_of(fleet, event)
    await fleet.kill_router(router)
    await curio.sleep(event.seconds)
    if not router.alive:
        fleet.start_router(router)


@FAULTS.register('router-pause')
async def pause_router(fleet, event):
    """Stop the clock of a router's program."""
    router = router_of(fleet, event)
    router.signal(signal.SIGSTOP)
    await curio.sleep(event.seconds)
    router.signal(signal.SIGCONT)


@FAULTS.register('router-reload')
async def reload_router(fleet, event):
    """Change the settings of a router and tell it."""
    router = router_of(fleet, event)
    fleet.write_settings(router, slack=20 + event.target % 40)
    router.signal(signal.SIGHUP)


@FAULTS.register('store-delayed')
async def delay_store(fleet, event):
    """Delay what one router and the store exchange."""
    router = router_of(fleet, event)
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await hold(router.proxy, conditions, event.seconds)


@FAULTS.register('store-answers-lost')
async def lose_store_answers(fleet, event):
    """Hold the store's answers to one router, then reset them."""
    router = router_of(fleet, event)
    conditions = proxy.Conditions(answers_held=True)
    await hold(router.proxy, conditions, event.seconds)
    await router.proxy.reset()


@FAULTS.register('store-refused')
async def refuse_store(fleet, event):
    """Reset the connections of one router to the store."""
    router = router_of(fleet, event)
    await router.proxy.reset()
    await hold(router.proxy, proxy.Conditions(refused=True), event.seconds)


@FAULTS.register('store-away')
async def take_store_away(fleet, event):
    """Let the store end all calls without an answer."""
    fleet.store.unavailable = True
    await curio.sleep(event.seconds)
    fleet.store.unavailable = False


@FAULTS.register('store-busy')
async def keep_store_busy(fleet, event):
    """Let the store refuse a part of all calls."""
    fleet.store.refused_share = REFUSED_SHARE
    await curio.sleep(event.seconds)
    fleet.store.refused_share = 0.0


@FAULTS.register('store-history-lost')
async def lose_history(fleet, event):
    """Let the store forget all past changes."""
    fleet.store.compacted = fleet.store.revision


@FAULTS.register('endpoint-delayed')
async def delay_endpoint(fleet, event):
    """Delay what routers and an endpoint exchange."""
    conditions = proxy.Conditions(delay_seconds=DELAY_SECONDS)
    await hold_endpoint(fleet, event, conditions)


@FAULTS.register('endpoint-silent')
async def silence_endpoint(fleet, event):
    """Hold everything between routers and an endpoint."""
    conditions = proxy.Conditions(requests_held=True, answers_held=True)
    await hold_endpoint(fleet, event, conditions)


@FAULTS.register('endpoint-answers-held')
async def hold_answers(fleet, event):
    """Cut the way back from an endpoint."""
    await hold_endpoint(fleet, event, proxy.Conditions(answers_held=True))


@FAULTS.register('endpoint-requests-held')
async def hold_requests(fleet, event):
    """Cut the way to an endpoint."""
    await hold_endpoint(fleet, event, proxy.Conditions(requests_held=True))


@FAULTS.register('endpoint-reset')
async def reset_endpoint(fleet, event):
    """Reset all connections to an endpoint."""
    await endpoint_of(fleet, event).proxy.reset()


@FAULTS.register('endpoint-crash')
async def crash_endpoint(fleet, event):
    """Crash an endpoint, and replace it later."""
    endpoint = endpoint_of(fleet, event)
    await endpoint.crash()
    await curio.sleep(event.seconds)
    await endpoint.restart()


@FAULTS.register('endpoint-leave')
async def remove_endpoint(fleet, event):
    """Let an endpoint leave as planned, and replace it.

    Some endpoints never say that they leave; their entry is removed.
    """
    endpoint = endpoint_of(fleet, event)
    left = endpoint.server
    await endpoint.leave(says_so=event.target % 2 == 0)
    await curio.sleep(event.seconds)
    if endpoint.server is left:
        await left.stop()
        await endpoint.restart()


@FAULTS.register('configuration-change')
async def change_configuration(fleet, event):
    """Write several newer configurations one after the other."""
    for _ in range(1 + event.target % 4):
        await fleet.write_configuration()
        await curio.sleep(0.1)


@FAULTS.register('key-revoked')
async def revoke_key(fleet, event):
    """Give out a key, and take it away later."""
    key = f'key-{fleet.version}-{event.target}'
    fleet.keys.append(key)
    await fleet.write_configuration()
    await curio.sleep(event.seconds)
    fleet.keys.remove(key)
    await fleet.write_configuration()
    fleet.seen.revoked_at[key] = observations.now()
