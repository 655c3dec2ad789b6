"""Plans of faults, which follow from a seed alone, and their injection."""

import dataclasses

from benchmarks.soak import observations
from celeryward import registry

FAULTS = registry.Registry('fault')
PLANS = registry.Registry('plan')
LATEST_PLAN = 6
# From here on endpoints are processes too, and the checks are strict.
FIRST_STRICT_PLAN = 6
DURATIONS_SECONDS = (0.2, 1.0, 3.0, 6.0)
# A plan draws from its own list, so that a fault added later does not change
# what an old seed does.
FIRST_FAULTS = (
    'configuration-change',
    'endpoint-answers-held',
    'endpoint-crash',
    'endpoint-delayed',
    'endpoint-leave',
    'endpoint-requests-held',
    'endpoint-reset',
    'endpoint-silent',
    'key-revoked',
    'router-kill',
    'router-pause',
    'router-reload',
    'router-stop',
    'store-answers-lost',
    'store-away',
    'store-busy',
    'store-delayed',
    'store-history-lost',
    'store-refused',
)
SECOND_FAULTS = (
    'configuration-idle',
    'configuration-quotas',
    'configuration-routes',
    'configuration-timeouts',
    'configuration-weights',
    'endpoint-quiet',
    'error-after-break',
    'odd-entry',
    'refusal-twice',
)
THIRD_FAULTS = (*SECOND_FAULTS, 'endpoint-announces', 'endpoint-sheds')
STOP_FAULTS = (
    'all-silent',
    'larger-model-fails',
    'stop-beside-closed-endpoints',
    'stop-beside-long-work',
    'stop-beside-mute-store',
    'stop-beside-pause',
    'stop-beside-unread-answers',
    'stops-in-series',
)
FOURTH_FAULTS = (*THIRD_FAULTS, *STOP_FAULTS, *STOP_FAULTS)
HARMFUL_FAULTS = ('endless-answers', 'harmful-part')
FIFTH_FAULTS = (*FOURTH_FAULTS, *HARMFUL_FAULTS * 4)
PAUSE_FAULTS = (
    'changes-in-series',
    'endpoint-process-paused',
    'changes-beside-router-pause',
)
SIXTH_FAULTS = (*FIFTH_FAULTS, *PAUSE_FAULTS * 12)
NEWER_FAULTS_SHARE = 0.6
# Planned work that begins at about the same time as a fault.
COMPANIONS = (
    'configuration-change',
    'configuration-idle',
    'configuration-routes',
    'configuration-timeouts',
    'endpoint-leave',
    'router-reload',
    'router-stop',
)
COMPANION_SHARE = 0.5
MAX_COMPANION_DELAY_SECONDS = 0.5


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


def make_plan(generator, seconds, rate, version=LATEST_PLAN):
    """Return the fault events of a run, sorted by start time.

    :param random.Random generator: only source of randomness, so that a
        seed determines the plan.
    :param float seconds: period in which faults start.
    :param float rate: faults per second.
    :param int version: which of the :data:`PLANS`.
    """
    count = max(1, round(seconds * rate))
    events = PLANS.get(version)(generator, seconds, count)
    return tuple(sorted(events, key=lambda event: event.at))


@PLANS.register(1)
def plan_first_faults(generator, seconds, count):
    """Yield events of the first faults, all equally frequent."""
    for _ in range(count):
        yield make_event(
            generator, generator.uniform(0.0, seconds), FIRST_FAULTS
        )


@PLANS.register(2)
def plan_second_faults(generator, seconds, count):
    """Yield events of the first and second faults."""
    return plan_newer_faults(generator, seconds, count, SECOND_FAULTS)


@PLANS.register(3)
def plan_third_faults(generator, seconds, count):
    """Yield events of the first three versions."""
    return plan_newer_faults(generator, seconds, count, THIRD_FAULTS)


@PLANS.register(4)
def plan_fourth_faults(generator, seconds, count):
    """Yield events of all faults, the newest twice as often."""
    return plan_newer_faults(generator, seconds, count, FOURTH_FAULTS)


@PLANS.register(5)
def plan_fifth_faults(generator, seconds, count):
    """Yield events of all faults, those of harmful endpoints most often."""
    return plan_newer_faults(generator, seconds, count, FIFTH_FAULTS)


@PLANS.register(6)
def plan_sixth_faults(generator, seconds, count):
    """Yield events of all faults, half of the newer ones with pauses."""
    return plan_newer_faults(generator, seconds, count, SIXTH_FAULTS)


def plan_newer_faults(generator, seconds, count, newer):
    """Yield events, mostly of newer faults, some beside planned work."""
    for _ in range(count):
        at = generator.uniform(0.0, seconds)
        is_newer = generator.random() < NEWER_FAULTS_SHARE
        names = newer if is_newer else FIRST_FAULTS
        yield make_event(generator, at, names)
        if is_newer and generator.random() < COMPANION_SHARE:
            delay = generator.uniform(0.0, MAX_COMPANION_DELAY_SECONDS)
            yield make_event(generator, at + delay, COMPANIONS)


def make_event(generator, at, names):
    """Return an event with a random fault, target and duration."""
    return Event(
        at,
        generator.choice(names),
        generator.randrange(1000),
        generator.choice(DURATIONS_SECONDS),
    )


async def inject(fleet, event):
    """Inject the fault of one event and record its time span."""
    began = observations.now()
    try:
        await FAULTS.get(event.fault)(fleet, event)
    finally:
        fleet.observed.faults.append(
            observations.FaultSpan(
                began,
                observations.now(),
                event.fault,
                target_name(fleet, event),
            )
        )


def target_name(fleet, event):
    """Return the name of the router or endpoint that an event targets."""
    if event.fault.startswith('endpoint-'):
        return endpoint_of(fleet, event).name
    if event.fault.startswith('router-'):
        return router_of(fleet, event).name
    return ''


def router_of(fleet, event):
    """Return the router that an event targets."""
    return fleet.routers[event.target % len(fleet.routers)]


def endpoint_of(fleet, event):
    """Return the endpoint that an event targets."""
    return fleet.endpoints[event.target % len(fleet.endpoints)]
