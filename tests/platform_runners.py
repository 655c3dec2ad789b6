"""Stand-ins of the platform's model servers, which it calls runners."""

import collections
import dataclasses

import curio
import h11

from celeryward import errors
from celeryward import http
from celeryward.standins import base


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived at a runner."""

    head: http.Request
    body: bytes

    @property
    def model(self):
        """The requested model; empty if none is named."""
        return self.head.headers.get('celeryward-model', '')


class RunnerStandIn(base.StandIn):
    """A runner, which runs an action to respond to each request.

    The action is the next of ``scripted_actions``, else ``default_action``,
    else :func:`send_default_response`. An action is an async function of the
    runner, the connection and the :class:`Arrival`.

    :param int events: number of events in its streams.

    While ``leaving`` is true, all its answers say so. While ``retry_after`` is
    set, it turns all requests away with that header.
    """

    def __init__(
        self, runner_id, service='llm', software='v1', events=4, zone='a'
    ):
        super().__init__()
        self.zone = zone
        self.id = runner_id
        self.service = service
        self.software = software
        self.events = events
        self.scripted_actions = collections.deque()
        self.default_action = None
        self.arrivals = []
        self.ended = []
        self.confidence = {}
        self.leaving = False
        self.retry_after = None

    def entry(self, state='ready'):
        """Return the spec of the runner's object in the store."""
        models = [{'name': name} for name in ('small', 'large')]
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': self.software,
            'slots': 8,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': 1700000000000,
            'models': models if self.service == 'llm' else [],
        }

    async def answer(self, connection, received):
        """Record a request and run the action that responds to it."""
        arrival = Arrival(received.head, received.body)
        self.arrivals.append(arrival)
        action = (
            self.scripted_actions.popleft()
            if self.scripted_actions
            else self.default_action or send_default_response
        )
        if self.retry_after is not None:
            action = turn_away(self.retry_after)
        try:
            await action(self, connection, arrival)
        finally:
            self.ended.append(arrival)

    def response_headers(self, arrival, **more):
        """Return the headers of a response from this runner."""
        request_id = arrival.head.headers['celeryward-attempt-id']
        return {
            'celeryward-response-seal': f'seal-{self.id}',
            'celeryward-attempt-id': request_id,
            'keep-alive': 'timeout=10',
            **self.notices(),
            **more,
        }

    def notices(self):
        """Return the headers that all its answers have."""
        return {'server-leaving': '1'} if self.leaving else {}


async def send_default_response(runner, connection, arrival):
    """Send a stream if the request names a model, else a whole response."""
    if arrival.model:
        await send_stream(runner, connection, arrival)
    else:
        await http.send_response(
            connection, 200, runner.response_headers(arrival), b'whole answer'
        )


async def send_stream(
    runner, connection, arrival, last_event=None, partial_event=b''
):
    """Send the events after the last one that the caller has received.

    :param last_event: last event, after which the connection breaks.
    :param bytes partial_event: sent between the last event and the break.
    """
    first = await begin_stream(runner, connection, arrival)
    last = runner.events if last_event is None else last_event
    for number in range(first, last + 1):
        await connection.send('answer', h11.Data(data=event(number)))
        await curio.sleep(0.005)
    if last_event is not None:
        if partial_event:
            await connection.send('answer', h11.Data(data=partial_event))
        raise http.Disconnected('broken off', step='answer', peer='test')
    await connection.send('answer', h11.EndOfMessage())


async def begin_stream(runner, connection, arrival):
    """Send the head of a stream; return the id of its first event."""
    confidence = runner.confidence.get(arrival.model, 100)
    head = runner.response_headers(
        arrival,
        **{
            'content-type': 'text/event-stream',
            'transfer-encoding': 'chunked',
            'celeryward-confidence': str(confidence),
        },
    )
    lines = http.encode_headers(head)
    await connection.send(
        'answer', h11.Response(status_code=200, headers=lines)
    )
    return int(arrival.head.headers.get('last-event-id', '0')) + 1


def event(number):
    """Return one server-sent event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


def events(count):
    """Return the body of a whole stream."""
    return b''.join(event(number) for number in range(1, count + 1))


def respond_with(status, body=b'', seal=True, **more):
    """Return an action that sends a fixed response.

    :param bool seal: whether it has the runner's signature and the id.
    """

    async def action(runner, connection, arrival):
        head = {name.replace('_', '-'): value for name, value in more.items()}
        if seal:
            head = runner.response_headers(arrival, **head)
        else:
            head = runner.notices() | head
        await http.send_response(connection, status, head, body)

    return action


def refuse_unexecuted():
    """Return an action that states that the request was not executed."""
    return respond_with(503, seal=False, celeryward_not_executed='1')


def turn_away(retry_after):
    """Return an action that refuses a request and asks for a pause."""
    return respond_with(
        503, celeryward_not_executed='1', retry_after=retry_after
    )


async def disconnect(runner, connection, arrival):
    """Close the connection without a response."""
    raise http.Disconnected('broken', step='answer', peer='test')


async def never_respond(runner, connection, arrival):
    """Send nothing; return when the router closes the connection."""
    await connection.wait_closed()


def connect_timeout(runner):
    """Return the error of a connection that was not accepted in time."""
    return errors.ConnectionFailed(
        'connect timed out', step='connect', peer=runner.address, sent=False
    )
