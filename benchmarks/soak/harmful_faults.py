"""Requests that crash endpoints by one part, and answers without end."""

import dataclasses

import curio
import h11

from benchmarks.soak import answer_faults
from benchmarks.soak import callers
from benchmarks.soak import endpoints
from benchmarks.soak import observations
from benchmarks.soak import plans
from tests import platform_processes as processes
from tests import platform_standins as standins

STREAM_SERVICE = 'llm'
# How the names of parts begin that crash endpoints.
PART_PREFIX = 'bad'
# With which the process of an endpoint ends then.
CRASH_STATUS = 70
HARMFUL_REQUESTS_SECONDS = 9.0
HARMFUL_INTERVAL_SECONDS = 0.15
RESTART_SECONDS = 1.5
# An answer without end, written so that the harness has time for others.
PIECE = b'x' * 65536
PIECE_INTERVAL_SECONDS = 0.005


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class CrashOnPart:
    """Crashes an endpoint when it begins an answer on a part.

    :param str part: the id of the part.
    """

    part: str

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request, or end the endpoint."""
        if self.part not in processes.prompt_parts(arrival):
            await endpoints.run(endpoint, server, connection, arrival)
            return
        await begin_answer(self.part, endpoint, server, connection, arrival)
        if endpoint.server is server and not endpoint.crashed:
            await curio.spawn(crash, endpoint, self.part, daemon=True)
        await curio.sleep(RESTART_SECONDS)


async def begin_answer(part, endpoint, server, connection, arrival):
    """Send the first event of the answer to a request with the part."""
    endpoint.fleet.observed.harmful.append(
        observations.HarmfulArrival(
            part, processes.request_id(arrival), observations.now()
        )
    )
    await curio.sleep(endpoint.fleet.work_seconds)
    await endpoints.send_head(
        server, connection, arrival, **processes.stream_headers(100)
    )
    await connection.send('answer', h11.Data(data=standins.event(1)))


async def crash(endpoint, part):
    """End an endpoint, so that connections are refused; then restart it."""
    endpoint.crashed = True
    server = endpoint.server
    began = observations.now()
    endpoint.fleet.observed.crashes.append(observations.PartCrash(part, began))
    await endpoint.crash(server, refuse=True)
    await curio.sleep(RESTART_SECONDS)
    await endpoint.restart(server)
    endpoint.fleet.observed.faults.append(
        observations.FaultSpan(
            began, observations.now(), 'endpoint-crash', endpoint.name
        )
    )
    endpoint.crashed = False


@plans.FAULTS.register('harmful-part')
async def crash_on_part(fleet, event):
    """Send requests with a part that ends each endpoint they begin at."""
    part = f'{PART_PREFIX}{event.target:03}{len(fleet.observed.crashes):03}'
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(
            answer_faults.apply_answer_fault,
            fleet,
            STREAM_SERVICE,
            HARMFUL_REQUESTS_SECONDS,
            lambda: CrashOnPart(part),
        )
        count = int(HARMFUL_REQUESTS_SECONDS / HARMFUL_INTERVAL_SECONDS)
        for number in range(count):
            await tasks.spawn(send_harmful, fleet, part, number)
            await curio.sleep(HARMFUL_INTERVAL_SECONDS)


async def send_harmful(fleet, part, number):
    """Send one request with the part to a router."""
    router = fleet.routers[number % len(fleet.routers)]
    caller = callers.Caller(fleet, part, f'{part}-{number}', router)
    if not await caller.connect():
        return
    headers = standins.request_headers(
        '/stream/x',
        request_id=f'{part}-{number}',
        **processes.prompt_headers(('aa', part, f'own{number}')),
    )
    try:
        await caller.exchange(
            f'/stream/{number}', headers, callers.DEADLINE_SECONDS, {}
        )
    except callers.FAILURES:
        # Nothing is expected of such a request.
        return
    finally:
        await caller.close()


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class EndlessAnswer:
    """Answers with bytes without end.

    :param str framing: of the body.
    """

    framing: str

    async def respond(self, endpoint, server, connection, arrival):
        """Write until the router closes the connection."""
        endpoint.record_execution(server, arrival)
        endpoint.record_broken_off(arrival)
        headers = {'transfer-encoding': 'chunked'}
        if self.framing == 'length':
            headers = {'content-length': '99999999999'}
        await endpoints.send_head(server, connection, arrival, **headers)
        while True:
            await connection.send('answer', h11.Data(data=PIECE))
            await curio.sleep(PIECE_INTERVAL_SECONDS)


@plans.FAULTS.register('endless-answers')
async def answer_without_end(fleet, event):
    """Let all endpoints of a service answer without end."""
    framing = ('chunked', 'length')[event.target // 8 % 2]
    await answer_faults.apply_answer_fault(
        fleet,
        plans.endpoint_of(fleet, event).service,
        event.seconds,
        lambda: EndlessAnswer(framing),
    )
    for router in fleet.routers:
        fleet.observed.record_memory(router.name, peak_bytes(router))


def peak_bytes(router):
    """Return the peak memory of a router's process, 0 if it has ended."""
    if not router.alive:
        return 0
    try:
        with open(
            f'/proc/{router.popen.pid}/status', encoding='ascii'
        ) as file:
            found = [line for line in file if line.startswith('VmHWM')]
    except OSError:
        return 0
    return int(found[0].split()[1]) * 1024 if found else 0
