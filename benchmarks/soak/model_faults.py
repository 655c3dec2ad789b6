"""Faults of model servers: all are silent, or their larger models fail."""

import dataclasses

import curio
import h11

from benchmarks.soak import answer_faults
from benchmarks.soak import endpoints
from benchmarks.soak import plans
from celeryward import http
from celeryward import registry
from tests import platform_processes as processes
from tests import platform_standins as standins

LARGER_FAILURES = registry.Registry('failure of a larger model')
LARGER_MODEL = 'large'
# Ends with 0.4 s left of the usual timeout.
SILENCE_SECONDS = 1.6
FAILED_AFTER_SECONDS = 0.3
SURE = 100
UNSURE = 0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Silence:
    """Sends one event of a stream, is silent, and sends the others."""

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request."""
        if not arrival.model:
            await endpoints.run(endpoint, server, connection, arrival)
            return
        endpoint.record_execution(server, arrival)
        first = processes.first_event(arrival)
        headers = processes.stream_headers(SURE)
        await endpoints.send_head(server, connection, arrival, **headers)
        for number in range(first, server.events + 1):
            event = h11.Data(data=standins.event(number))
            await connection.send('answer', event)
            if number == first:
                await curio.sleep(SILENCE_SECONDS)
        await connection.send('answer', h11.EndOfMessage())


@plans.FAULTS.register('all-silent')
async def silence_all_endpoints(fleet, event):
    """Let all model servers be silent once in each of their streams."""
    await answer_faults.apply_answer_fault(
        fleet, answer_faults.STREAM_SERVICE, event.seconds, Silence
    )


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class LargerFails:
    """Small models answer, but are not sure; larger ones fail.

    :param fail: entry of :data:`LARGER_FAILURES`.
    """

    fail: object

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request."""
        resumable = arrival.head.target.startswith('/stream/')
        if not resumable:
            await endpoints.run(endpoint, server, connection, arrival)
            return
        endpoint.record_execution(server, arrival)
        if arrival.model == LARGER_MODEL:
            await self.fail(server, connection, arrival)
            return
        await curio.sleep(endpoint.fleet.work_seconds)
        endpoint.record_small_answer(arrival)
        await endpoints.send_events(
            server, connection, arrival, server.events, UNSURE
        )
        await connection.send('answer', h11.EndOfMessage())


@plans.FAULTS.register('larger-model-fails')
async def fail_larger_models(fleet, event):
    """Let small models ask for larger ones, which fail."""
    names = sorted(LARGER_FAILURES.entries)
    fail = LARGER_FAILURES.get(names[event.target % len(names)])
    await answer_faults.apply_answer_fault(
        fleet,
        answer_faults.STREAM_SERVICE,
        event.seconds,
        lambda: LargerFails(fail),
    )


@LARGER_FAILURES.register('break')
async def break_connection(server, connection, arrival):
    """Work for some time and close the connection."""
    await curio.sleep(FAILED_AFTER_SECONDS)
    raise http.Disconnected('broken off', step='answer', peer='router')


@LARGER_FAILURES.register('error')
async def answer_with_error(server, connection, arrival):
    """Work for some time and answer with an error."""
    await curio.sleep(FAILED_AFTER_SECONDS)
    headers = server.response_headers(arrival)
    await http.send_response(connection, 500, headers, b'failed')


@LARGER_FAILURES.register('refusal')
async def refuse(server, connection, arrival):
    """Say that the request was not run."""
    await answer_faults.refuse(connection, processes.request_id(arrival))


@LARGER_FAILURES.register('silence')
async def stay_silent(server, connection, arrival):
    """Send nothing until the router gives up, which cancels this."""
    await curio.Event().wait()


@LARGER_FAILURES.register('short-stream')
async def break_stream(server, connection, arrival):
    """Send the head of a stream and close the connection."""
    headers = processes.stream_headers(SURE)
    await endpoints.send_head(server, connection, arrival, **headers)
    raise http.Disconnected('broken off', step='answer', peer='router')
