"""Planned stops beside what keeps their requests from ending in time."""

import functools
import signal
import socket

import curio

from benchmarks.soak import answer_faults
from benchmarks.soak import callers
from benchmarks.soak import configuration_faults
from benchmarks.soak import contract_faults
from benchmarks.soak import endpoints
from benchmarks.soak import observations
from benchmarks.soak import plans
from benchmarks.soak import proxy
from celeryward import errors
from celeryward import http
from tests import platform_standins as standins

LONG_TIMEOUT_MS = 15000
LONG_SECONDS = 15.0
# Time for the routers to learn of a configuration.
APPLY_SECONDS = 2.2
# From a change of the timeouts until it is taken back.
LONG_TIMEOUTS_SECONDS = 12.0
LATE_CALLERS = 8
# Requests of late callers begin up to so long before and after the signal.
EARLY_SECONDS = 0.5
LATE_SECONDS = 3.5
SERIES_SECONDS = 1.0
MAX_PAUSE_SECONDS = 1.0
MUTE_SECONDS = 0.3
UNREAD_CALLERS = 2
RECEIVE_BUFFER_BYTES = 4096


async def stop_and_start(fleet, router):
    """Stop a router and start it again; record the time span."""
    began = observations.now()
    await fleet.stop_router(router)
    fleet.observed.faults.append(
        observations.FaultSpan(
            began, observations.now(), 'router-stop', router.name
        )
    )
    if not router.alive:
        fleet.start_router(router)


async def stop_under_late_requests(fleet, event, router):
    """Send short and long work to a router from just before its stop on."""
    async with curio.TaskGroup() as tasks:
        for number in range(LATE_CALLERS):
            name = f'late-{event.at:.3f}-{router.name}-{number}'
            caller = callers.Caller(fleet, event.target, name, router)
            await tasks.spawn(send_late, caller)
        await curio.sleep(EARLY_SECONDS)
        await tasks.spawn(stop_and_start, fleet, router)


async def send_late(caller):
    """Send one request, then a late one on the same connection."""
    generator = caller.generator
    send_at = observations.now() + generator.uniform(
        0.0, EARLY_SECONDS + LATE_SECONDS
    )
    await caller.send_and_record('whole')
    await curio.sleep(max(0.0, send_at - observations.now()))
    await caller.send_and_record(
        generator.choice(callers.KINDS),
        generator.choice((endpoints.USUAL_WORK, endpoints.LONG_WORK)),
        LONG_SECONDS,
    )
    await caller.close()


async def allow_long_work(fleet, tasks):
    """Raise the timeouts of all routes and wait until they apply."""
    await tasks.spawn(
        functools.partial(
            configuration_faults.apply_settings,
            fleet,
            LONG_TIMEOUTS_SECONDS,
            timeout_ms=LONG_TIMEOUT_MS,
        )
    )
    await curio.sleep(APPLY_SECONDS)


@plans.FAULTS.register('stop-beside-long-work')
async def stop_beside_long_work(fleet, event):
    """Stop a router that gets work longer than what is left."""
    async with curio.TaskGroup() as tasks:
        await allow_long_work(fleet, tasks)
        router = plans.router_of(fleet, event)
        await stop_under_late_requests(fleet, event, router)


@plans.FAULTS.register('stops-in-series')
async def stop_in_series(fleet, event):
    """Stop two routers, the second while the first still ends."""
    first = event.target % len(fleet.routers)
    second = (first + 1) % len(fleet.routers)
    async with curio.TaskGroup() as tasks:
        await allow_long_work(fleet, tasks)
        for number in (first, second):
            await tasks.spawn(
                stop_under_late_requests, fleet, event, fleet.routers[number]
            )
            await curio.sleep(SERIES_SECONDS)


@plans.FAULTS.register('stop-beside-closed-endpoints')
async def stop_beside_closed_endpoints(fleet, event):
    """Stop a router while all endpoints of a service ask for a pause."""
    service = plans.endpoint_of(fleet, event).service
    pause = contract_faults.PAUSES_SECONDS[event.target % 3]
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(
            answer_faults.apply_answer_fault,
            fleet,
            service,
            event.seconds,
            lambda: contract_faults.Shedding(pause),
        )
        router = plans.router_of(fleet, event)
        await stop_under_late_requests(fleet, event, router)


@plans.FAULTS.register('stop-beside-pause')
async def stop_beside_pause(fleet, event):
    """Suspend a router just before its stop, and resume it later."""
    router = plans.router_of(fleet, event)
    async with curio.TaskGroup() as tasks:
        await allow_long_work(fleet, tasks)
        await tasks.spawn(stop_under_late_requests, fleet, event, router)
        await curio.sleep(EARLY_SECONDS / 2)
        began = observations.now()
        router.signal(signal.SIGSTOP)
        await curio.sleep(
            EARLY_SECONDS / 2 + min(event.seconds, MAX_PAUSE_SECONDS)
        )
        router.signal(signal.SIGCONT)
        fleet.observed.faults.append(
            observations.FaultSpan(
                began,
                observations.now(),
                observations.SUSPENSION,
                router.name,
            )
        )


@plans.FAULTS.register('stop-beside-mute-store')
async def stop_beside_mute_store(fleet, event):
    """Stop a router whose calls to the store get no answers."""
    router = plans.router_of(fleet, event)
    began = observations.now()
    router.proxy.conditions = proxy.Conditions(answers_held=True)
    await curio.sleep(MUTE_SECONDS)
    await stop_under_late_requests(fleet, event, router)
    router.proxy.conditions = proxy.CLEAR
    await router.proxy.reset()
    fleet.observed.faults.append(
        observations.FaultSpan(
            began, observations.now(), 'store-answers-lost', router.name
        )
    )


@plans.FAULTS.register('stop-beside-unread-answers')
async def stop_beside_unread_answers(fleet, event):
    """Stop a router whose callers do not read some of its answers."""
    router = plans.router_of(fleet, event)
    async with curio.TaskGroup() as tasks:
        await allow_long_work(fleet, tasks)
        unread = [
            await open_unread(fleet, router, f'unread-{event.at:.3f}-{number}')
            for number in range(UNREAD_CALLERS)
        ]
        await stop_under_late_requests(fleet, event, router)
    for connection in unread:
        if connection is not None:
            await connection.close()


async def open_unread(fleet, router, name):
    """Ask for a large answer and read none of it; return the connection."""
    caller = callers.Caller(fleet, 0, name, router)
    if not await caller.connect():
        return None
    connection = caller.connection
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    path = f'/whole/{endpoints.LARGE_ANSWER}'
    headers = standins.request_headers(path, request_id=f'c{name}')
    try:
        await http.send_request(connection, 'POST', path, headers, b'')
    except errors.CelerywardError:
        # The router is ending, as planned by another fault.
        await caller.close()
        return None
    return connection
