"""Faults that change the configuration."""

import dataclasses

import curio

from benchmarks.soak import plans
from tests import platform_configurations as configurations

MAX_ADDED_ROUTES = 400
IDLE_MS = (60, 400, 1500)
TIMEOUTS_MS = (1600, 2500, 3000)
HEADER_TIMEOUTS_MS = (700, 3000)
MAX_BODY_BYTES = (1000, 50000)
WEIGHTS = ((1.0, 0.0), (0.2, 0.8), (0.5, 0.5))


async def apply_settings(fleet, seconds, **changes):
    """Change settings for a duration, then set them to their defaults."""
    fleet.settings = dataclasses.replace(fleet.settings, **changes)
    await fleet.write_configuration()
    await curio.sleep(seconds)
    defaults = {
        name: getattr(configurations.DEFAULTS, name) for name in changes
    }
    fleet.settings = dataclasses.replace(fleet.settings, **defaults)
    await fleet.write_configuration()


def pick(values, event):
    """Return one of some values, chosen by an event's target."""
    return values[event.target % len(values)]


@plans.FAULTS.register('configuration-idle')
async def change_idle_time(fleet, event):
    """Change the idle time of callers' connections, down to a request's."""
    await apply_settings(fleet, event.seconds, idle_ms=pick(IDLE_MS, event))


@plans.FAULTS.register('configuration-timeouts')
async def change_timeouts(fleet, event):
    """Change the timeouts of all routes and of request heads."""
    await apply_settings(
        fleet,
        event.seconds,
        timeout_ms=pick(TIMEOUTS_MS, event),
        header_timeout_ms=pick(HEADER_TIMEOUTS_MS, event),
    )


@plans.FAULTS.register('configuration-quotas')
async def change_quotas(fleet, event):
    """Change the size limit of bodies and the customer's priority."""
    await apply_settings(
        fleet,
        event.seconds,
        body_bytes=pick(MAX_BODY_BYTES, event),
        priority=event.target % 3,
    )


@plans.FAULTS.register('configuration-weights')
async def change_weights(fleet, event):
    """Let weighted services take the place of each route's service."""
    await apply_settings(fleet, event.seconds, weights=pick(WEIGHTS, event))


@plans.FAULTS.register('configuration-routes')
async def add_routes(fleet, event):
    """Add hundreds of routes in one version and remove them in a later."""
    count = MAX_ADDED_ROUTES - event.target % 200
    await apply_settings(fleet, event.seconds, added_routes=count)
