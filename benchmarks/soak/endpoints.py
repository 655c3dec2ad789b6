"""Stand-in endpoints of a run, each behind a proxy."""

import time

import curio
import h11

from benchmarks.soak import observations
from benchmarks.soak import proxy
from celeryward import deadlines
from celeryward import http
from tests import platform_processes as processes
from tests import platform_standins as standins

WHOLE_BODY = b'whole answer'
STATUS_OK = 200
# Between a head and its body, and between two events. Faults hit an answer
# under way only if it takes some time.
STEP_SECONDS = 0.05
# Within which bytes that were held are delivered.
HELD_BYTES_SECONDS = 1.0
# Last part of a request's path, which decides the work.
USUAL_WORK = 'x'
LONG_WORK = 'long'
LARGE_ANSWER = 'large'
# More than is left of a stop.
LONG_SECONDS = 9.0
LARGE_BYTES = 8_000_000
# From the end of a silence to the next one.
MIN_GOING_ON_SECONDS = 1.0


class Endpoint:
    """Stand-in endpoint behind a proxy; each restart gets a new id.

    :param fleet: the :class:`fleet.Fleet` that it belongs to.

    ``answer_fault`` is None, or an object of :mod:`answer_faults` that answers
    in place of the endpoint.
    """

    def __init__(self, fleet, number, service):
        self.fleet = fleet
        self.number = number
        self.name = f'e{number}'
        self.service = service
        self.generation = 0
        # Start of the server, as its entry states it.
        self.born_ms = 0
        self.proxy = proxy.Proxy()
        self.disturbed_until = 0.0
        self.server = None
        self.answer_fault = None
        self.crashed = False
        self.running = False
        # Held by a fault that ends or starts the server.
        self.changing = curio.Lock()
        self.going_on_until = deadlines.Deadline.after(0.0)

    async def start(self):
        """Start the server and write its entry to the store."""
        self.generation += 1
        self.born_ms = time.time_ns() // 1_000_000
        self.server = self.make_server(f'{self.name}-{self.generation}')
        await self.server.start()
        self.proxy.target = self.server.port
        if self.proxy.listener.sock is None:
            await self.proxy.start()
        self.running = True
        await self.write_entry('ready')

    def make_server(self, server_id):
        """Return a server that has not been started."""
        server = standins.RunnerStandIn(
            server_id, self.service, events=self.fleet.events_per_answer
        )
        server.default_action = self.answer
        return server

    async def write_entry(self, state):
        """Write the entry of the endpoint, with a state, to the store."""
        entry = self.server.entry(state)
        entry['address'] = f'127.0.0.1:{self.proxy.port}'
        entry['born'] = self.born_ms
        await self.fleet.store.put('servers', self.server.id, entry)

    async def answer(self, server, connection, arrival):
        """Answer a request; stop the work if the router gives it up.

        :raises http.Disconnected: if the router closes the connection, or if
            a fault breaks the answer off.
        """
        respond = self.answer_fault.respond if self.answer_fault else run
        group = curio.TaskGroup(wait=any)
        async with group:
            working = await group.spawn(
                return_error, respond, self, server, connection, arrival
            )
            await group.spawn(connection.wait_closed)
        if group.completed is working:
            if working.result is not None:
                raise working.result
            return
        self.fleet.observed.abandoned.append(
            observations.Abandonment(
                processes.request_id(arrival), server.id, observations.now()
            )
        )
        raise http.Disconnected(
            'router closed the connection', step='answer', peer='router'
        )

    def fall_silent(self, seconds):
        """Hold all traffic for some seconds, unless it was held just now."""
        if not self.going_on_until.expired():
            return
        self.proxy.quiet_until = deadlines.Deadline.after(seconds)
        self.going_on_until = deadlines.Deadline.after(
            seconds + MIN_GOING_ON_SECONDS
        )
        self.record_silence('endpoint-quiet', seconds)

    def record_silence(self, name, seconds):
        """Record that the endpoint is silent from now on for some seconds."""
        began = observations.now()
        self.disturb(began + seconds)
        self.fleet.observed.faults.append(
            observations.FaultSpan(began, began + seconds, name, self.name)
        )

    def disturb(self, until):
        """Record that requests arrive later than they are sent.

        :param float until: when no more bytes are held.
        """
        self.disturbed_until = max(
            self.disturbed_until, until + HELD_BYTES_SECONDS
        )

    def record_execution(self, server, arrival):
        """Record that a request reached the server and is run."""
        self.fleet.observed.executions.append(
            observations.Execution(
                processes.request_id(arrival),
                server.id,
                observations.now(),
                self.undisturbed(observations.now()),
            )
        )

    def undisturbed(self, at):
        """Return whether no fault delays what arrived just now."""
        return (
            self.proxy.conditions == proxy.CLEAR and at > self.disturbed_until
        )

    def record_broken_off(self, arrival):
        """Record that the endpoint spoils the answer to a request."""
        self.fleet.observed.broken_off.add(processes.request_id(arrival))

    def record_small_answer(self, arrival):
        """Record that a small model answers a request."""
        self.fleet.observed.small_answers.add(processes.request_id(arrival))

    async def crash(self, server, refuse=False):
        """Stop a server abruptly; its entry stays until it expires.

        Nothing is done if another fault has replaced it.

        :param bool refuse: whether the proxy refuses connections from then on.
        """
        async with self.changing:
            if self.server is not server:
                return
            self.running = False
            await server.stop()
            if refuse:
                await self.proxy.end()

    async def restart(self, server):
        """Start a new server in place of one, unless another fault has."""
        async with self.changing:
            if self.server is server:
                await self.delete_entry()
                await self.start()

    async def delete_entry(self):
        """Delete the entry of the endpoint from the store, if it exists."""
        if ('servers', self.server.id) in self.fleet.store.objects:
            await self.fleet.store.delete('servers', self.server.id)

    async def leave(self, announced=True):
        """Set the state to draining, or delete the entry unannounced.

        :param bool announced: whether the endpoint announces its departure,
            which it can't once it has crashed.
        """
        async with self.changing:
            if announced and self.running:
                await self.write_entry('draining')
            else:
                await self.delete_entry()
        self.fleet.observed.left_at[self.server.id] = observations.now()


async def return_error(respond, *arguments):
    """Respond to a request; return the error that ends it early, or None.

    Curio reports an error that ends a task as a crash.
    """
    try:
        await respond(*arguments)
    except http.EXCHANGE_ERRORS as error:
        return error
    return None


async def run(endpoint, server, connection, arrival):
    """Run a request: work, then send the head and the rest in steps."""
    endpoint.record_execution(server, arrival)
    work = arrival.head.target.rpartition('/')[2]
    long = work == LONG_WORK
    await curio.sleep(LONG_SECONDS if long else endpoint.fleet.work_seconds)
    if server.leaving:
        endpoint.fleet.observed.announced.append(
            observations.Announcement(processes.request_id(arrival), server.id)
        )
    if arrival.model:
        await send_events(server, connection, arrival, server.events)
        await connection.send('answer', h11.EndOfMessage())
        return
    body = bytes(LARGE_BYTES) if work == LARGE_ANSWER else WHOLE_BODY
    length = {'content-length': str(len(body))}
    await send_head(server, connection, arrival, **length)
    await curio.sleep(STEP_SECONDS)
    await connection.send('answer', h11.Data(data=body), h11.EndOfMessage())


async def send_events(server, connection, arrival, last, confidence=100):
    """Send the head and the events that the caller lacks, up to one."""
    await send_head(
        server,
        connection,
        arrival,
        **processes.stream_headers(confidence),
    )
    for number in range(processes.first_event(arrival), last + 1):
        await connection.send('answer', h11.Data(data=standins.event(number)))
        await curio.sleep(STEP_SECONDS)


async def send_head(server, connection, arrival, status=STATUS_OK, **headers):
    """Send the head of an answer."""
    lines = http.encode_headers(server.response_headers(arrival, **headers))
    await connection.send(
        'answer', h11.Response(status_code=status, headers=lines)
    )
