"""Faults of endpoints that give wrong answers for some time."""

import dataclasses

import curio

from benchmarks.soak import endpoints
from benchmarks.soak import plans
from celeryward import http
from celeryward import registry
from tests import platform_processes as processes
from tests import platform_standins as standins

RESUMPTIONS = registry.Registry('answer to a resumption')
# Events that a stream sends before it breaks off.
EVENTS_BEFORE_BREAK = 2
STREAM_SERVICE = 'llm'
REFUSAL_STATUS = 503


async def apply_answer_fault(fleet, service, seconds, make_fault):
    """Let all endpoints of one service answer wrongly for a duration.

    :param make_fault: function that returns the fault of one endpoint.
    """
    affected = [each for each in fleet.endpoints if each.service == service]
    applied = {each: make_fault() for each in affected}
    for endpoint, fault in applied.items():
        endpoint.answer_fault = fault
    await curio.sleep(seconds)
    for endpoint, fault in applied.items():
        # A fault that began later stays.
        if endpoint.answer_fault is fault:
            endpoint.answer_fault = None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RepeatedRefusal:
    """Refuses one request, then writes the refusal again for later ones.

    Those are the second requests of their connections, and are run all the
    same. A router may close the connection of the first refusal.

    :param bool with_id: whether the copies have the id of the refused one.
    :param list refused: id of the request that was refused.
    :param set kept: connections that have had an answer.
    """

    with_id: bool
    refused: list = dataclasses.field(default_factory=list)
    kept: set = dataclasses.field(default_factory=set)

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request."""
        if not self.refused:
            self.refused.append(processes.request_id(arrival))
            await refuse(connection, self.refused[0])
        elif connection in self.kept:
            self.kept.remove(connection)
            endpoint.record_execution(server, arrival)
            endpoint.record_broken_off(arrival)
            await refuse(connection, self.refused[0] if self.with_id else '')
        else:
            self.kept.add(connection)
            await endpoints.run(endpoint, server, connection, arrival)


async def refuse(connection, request_id):
    """Send an answer which says that a request was not run.

    :param str request_id: id of that request; empty to name none.
    """
    headers = processes.refusal_headers(request_id)
    await http.send_response(connection, REFUSAL_STATUS, headers, b'')


@plans.FAULTS.register('refusal-twice')
async def repeat_refusals(fleet, event):
    """Let endpoints write each refusal again for the next request."""
    with_id = event.target // len(fleet.endpoints) % 2 == 0
    await apply_answer_fault(
        fleet,
        plans.endpoint_of(fleet, event).service,
        event.seconds,
        lambda: RepeatedRefusal(with_id),
    )


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class BrokenStream:
    """Breaks streams off, and answers their first resumption wrongly.

    :param resumption: entry of :data:`RESUMPTIONS`.
    :param bytes partial_event: sent before the connection breaks.
    :param set resumed: requests whose first resumption has been answered.
    """

    resumption: object
    partial_event: bytes
    resumed: set

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request."""
        request_id = processes.request_id(arrival)
        if not arrival.model or request_id in self.resumed:
            await endpoints.run(endpoint, server, connection, arrival)
            return
        endpoint.record_execution(server, arrival)
        endpoint.record_broken_off(arrival)
        if processes.first_event(arrival) > 1:
            self.resumed.add(request_id)
            await self.resumption(server, connection, arrival)
            return
        await endpoints.send_events(
            server, connection, arrival, EVENTS_BEFORE_BREAK
        )
        await connection.sock.sendall(self.partial_event)
        raise http.Disconnected('broken off', step='answer', peer='router')


@plans.FAULTS.register('error-after-break')
async def break_streams(fleet, event):
    """Let endpoints break streams off and fail to resume them."""
    names = sorted(RESUMPTIONS.entries)
    resumption = RESUMPTIONS.get(names[event.target % len(names)])
    # The frame of a chunk that holds half an event.
    partial = standins.event(EVENTS_BEFORE_BREAK + 1)[:8]
    chunk = b'%x\r\n%b\r\n' % (len(partial), partial)
    partial_event = chunk if event.target // len(names) % 2 else b''
    resumed = set()
    await apply_answer_fault(
        fleet,
        STREAM_SERVICE,
        event.seconds,
        lambda: BrokenStream(resumption, partial_event, resumed),
    )


def answer_with(status, body, **headers):
    """Return an answer to a resumption with a fixed status and body."""

    async def respond(server, connection, arrival):
        head = server.response_headers(
            arrival,
            **{name.replace('_', '-'): text for name, text in headers.items()},
        )
        await http.send_response(connection, status, head, body)

    return respond


STREAM_TYPE = {'content_type': 'text/event-stream'}
TEXT_TYPE = {'content_type': 'text/plain'}
ERROR_EVENT = b'event: error\ndata: failed\n\n'
HEAD_TEXT = b'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n'
RESUMPTIONS.register('500')(answer_with(500, b'failed', **TEXT_TYPE))
RESUMPTIONS.register('404')(answer_with(404, b'not found', **TEXT_TYPE))
RESUMPTIONS.register('429')(answer_with(429, b'busy', **TEXT_TYPE))
RESUMPTIONS.register('text')(answer_with(200, b'failed\n\n', **TEXT_TYPE))
RESUMPTIONS.register('empty')(answer_with(200, b'', **STREAM_TYPE))
RESUMPTIONS.register('no-content')(answer_with(204, b''))
RESUMPTIONS.register('head')(answer_with(200, HEAD_TEXT, **STREAM_TYPE))
RESUMPTIONS.register('event')(answer_with(200, ERROR_EVENT, **STREAM_TYPE))
