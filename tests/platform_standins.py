"""Stand-ins of the users' platform: its metadata store and its endpoints.

They use the wire format of the platform, which only the adapter and its tests
contain. The platform's model servers are called runners.
"""

import collections
import dataclasses
import functools
import urllib.parse

from adapter import translator
import curio
import h11
import msgspec

from celeryward import errors
from celeryward import http
from celeryward import router
from celeryward import router_settings
from celeryward.standins import base
from tests import fakes

HOST = 'service.example'
KEY = 'key-one'
BOUNDS = router_settings.Bounds(
    revoked_key_seconds=5.0,
    stop_seconds=4.0,
    retry_ratio=0.9,
    retry_slack=54.0,
    retry_window_seconds=10.0,
    bad_version_share=0.15,
    bad_version_slack=30.0,
    session_seconds=5.0,
    history_seconds=20.0,
    apply_seconds=2.0,
    leave_seconds=2.0,
    contact_seconds=3.0,
)


class StoreStandIn(base.StandIn):
    """The metadata store: revisions, pages, long polls and conflicts.

    Attributes that inject faults:

    - ``unavailable``: close connections without a response.
    - ``unresponsive_kinds``: kinds whose calls get no response.
    - ``stalled_watch_kinds``: kinds whose open long polls stall, while new
      calls are served.
    - ``compacted``: revision up to which the history is gone.
    - ``page_size``: upper bound on the entries of a page.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.objects = {}
        self.revision = 0
        self.history = []
        self.changed = curio.Condition()
        self.unavailable = False
        self.unresponsive_kinds = frozenset()
        self.stalled_watch_kinds = frozenset()
        self.compacted = 0
        self.page_size = 500
        self.requests = []

    async def put(self, kind, name, spec, status=None):
        """Write an object unconditionally, as another writer would."""
        before = self.objects.get((kind, name))
        self.revision += 1
        entry = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': (
                    before['meta']['created'] if before else self.revision
                ),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        await self.store(kind, name, entry, False)
        return entry

    async def delete(self, kind, name):
        """Delete an object."""
        self.revision += 1
        entry = self.objects[(kind, name)]
        meta = entry['meta'] | {'revision': self.revision}
        await self.store(kind, name, entry | {'meta': meta}, True)

    async def compact(self):
        """Drop all history and end the open long polls."""
        self.revision += 1
        self.compacted = self.revision
        async with self.changed:
            await self.changed.notify_all()

    async def store(self, kind, name, entry, deleted):
        """Apply one change and notify the open long polls."""
        if deleted:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = entry
        event = {'object': entry, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            await self.changed.notify_all()

    async def answer(self, connection, received):
        """Dispatch one request by its method and path."""
        self.requests.append((received.head.method, received.head.target))
        if self.unavailable:
            raise http.Disconnected('away', step='store', peer='test')
        path, _, query = received.head.target.partition('?')
        parts = [urllib.parse.unquote(part) for part in path.split('/')[3:]]
        fields = dict(urllib.parse.parse_qsl(query))
        if parts[0] in self.unresponsive_kinds:
            await connection.wait_closed()
            return
        if received.head.method == 'PUT':
            await self.answer_put(connection, parts, received.json())
        elif received.head.method == 'POST':
            await self.answer_post(connection, parts[0], received.json())
        elif received.head.method == 'DELETE':
            await self.answer_delete(connection, parts, fields)
        elif len(parts) > 1:
            await self.answer_get(connection, tuple(parts))
        elif 'watch' in fields:
            await self.answer_watch(connection, parts[0], fields)
        else:
            await self.answer_list(connection, parts[0], fields)

    async def answer_list(self, connection, kind, fields):
        """Send one page of the objects of a kind."""
        after = fields.get('afterRev', '')
        names = sorted(
            name
            for each, name in self.objects
            if each == kind and name > after
        )
        page = names[: self.page_size]
        answer = {
            'entries': [self.objects[(kind, name)] for name in page],
            'hasMore': len(names) > len(page),
            'currentRev': self.revision,
        }
        await base.send_json(connection, 200, answer)

    async def answer_watch(self, connection, kind, fields):
        """Answer a long poll at the next change or after its wait."""
        since = int(fields['watch'])
        started_unstalled = kind not in self.stalled_watch_kinds
        async with curio.ignore_after(int(fields['waitMs']) / 1000):
            async with self.changed:
                while not self.events(kind, since) and since >= self.compacted:
                    await self.changed.wait()
        answer = {
            'events': self.events(kind, since),
            'currentRev': self.revision,
        }
        while started_unstalled and kind in self.stalled_watch_kinds:
            await curio.sleep(0.01)
        if since < self.compacted:
            await base.send_json(connection, 410, {})
        else:
            await base.send_json(connection, 200, answer)

    def events(self, kind, since):
        """Return the events of a kind after a revision."""
        return [
            event
            for revision, each, event in self.history
            if each == kind and revision > since
        ]

    async def answer_put(self, connection, parts, entry):
        """Replace the spec or the status of an object at its revision."""
        kind, name = parts[:2]
        current = self.objects[(kind, name)]
        if entry['meta']['revision'] != current['meta']['revision']:
            await base.send_json(connection, 409, current)
            return
        spec, status = entry['spec'], current['status']
        if parts[2:] == ['status']:
            spec, status = current['spec'], entry['status']
        stored = await self.put(kind, name, spec, status)
        await base.send_json(connection, 200, stored)

    async def answer_post(self, connection, kind, entry):
        """Create an object, unless it exists."""
        name = entry['meta']['name']
        if (kind, name) in self.objects:
            await base.send_json(connection, 409, {})
            return
        stored = await self.put(kind, name, entry['spec'])
        await base.send_json(connection, 201, stored)

    async def answer_get(self, connection, key):
        """Send one object."""
        found = self.objects.get(key)
        await base.send_json(connection, 200 if found else 404, found or {})

    async def answer_delete(self, connection, parts, fields):
        """Delete an object at its revision."""
        current = self.objects.get(tuple(parts))
        if current is None:
            await base.send_json(connection, 404, {})
        elif int(fields['revision']) != current['meta']['revision']:
            await base.send_json(connection, 409, current)
        else:
            await self.delete(*parts)
            await base.send_json(connection, 200, current)


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

    def __init__(self, runner_id, service='llm', software='v1', events=4):
        super().__init__()
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
            'zone': 'a',
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
    first = int(arrival.head.headers.get('last-event-id', '0')) + 1
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
    last = runner.events if last_event is None else last_event
    for number in range(first, last + 1):
        await connection.send('answer', h11.Data(data=event(number)))
        await curio.sleep(0.005)
    if last_event is not None:
        if partial_event:
            await connection.send('answer', h11.Data(data=partial_event))
        raise http.Disconnected('broken off', step='answer', peer='test')
    await connection.send('answer', h11.EndOfMessage())


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


def configuration(version=1, **more):
    """Return the spec of a configuration with a route of each kind."""
    default_routes = [
        route('whole', 'idempotent', 'app', maxAttempts=2),
        route('once', 'non_idempotent', 'app', maxAttempts=1),
        route(
            'stream',
            'stream',
            'llm',
            maxAttempts=3,
            resumable=True,
            sizes=['small', 'large'],
        ),
        route('rigid', 'stream', 'llm', maxAttempts=3, sizes=['small']),
        route('open', 'idempotent', 'app', public=True),
    ]
    return {
        'version': version,
        'routes': default_routes,
        'services': [
            {
                'name': 'llm',
                'engine': {
                    'slots': 8,
                    'models': [
                        {'name': 'small', 'cost': 0.01},
                        {'name': 'large', 'cost': 0.2},
                    ],
                },
            },
            {'name': 'app'},
        ],
        'limits': {'idleTimeoutMs': 5000, 'maxBodyBytes': 100000},
        'tenants': [{'name': 'customer-a', 'apiKeys': [KEY], 'priority': 1}],
        **more,
    }


def route(name, kind, service, **more):
    """Return the spec of a route whose path prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 2000,
        'goalMs': 1000,
        'gapTargetMs': 500,
        'priority': 1,
        **more,
    }


class Site:
    """A platform with a store and runners, and one router on it."""

    def __init__(self, runners, tuning=None, bounds=BOUNDS):
        self.store = StoreStandIn()
        self.runners = {runner.id: runner for runner in runners}
        self.tuning = tuning or router_settings.Tuning(
            configuration_wait=0.3, object_wait=5.0, stop_accepting_after=0.3
        )
        self.bounds = bounds
        self.name = 'router-1'
        self.router = None

    async def start(self, spec=None):
        """Start all parts and wait until the router is ready.

        :param spec: configuration, or False for a store without one.
        """
        await self.store.start()
        for runner in self.runners.values():
            await runner.start()
            await self.store.put('servers', runner.id, runner.entry())
        if spec is not False:
            spec = spec or configuration()
            await self.store.put('config', 'main', spec)
        await self.start_router()
        if spec is not False:
            await wait_until(self.router.is_ready)

    def placement(self):
        """Return the :class:`router_settings.Placement` of the router."""
        local = router_settings.Address('127.0.0.1', 0)
        return router_settings.Placement(
            self.name,
            'a',
            local,
            local,
            local,
            router_settings.Address('127.0.0.1', self.store.port),
            self.bounds,
            local,
        )

    async def start_router(self):
        """Start a new router on the store."""
        self.router = router.Router(
            self.placement(),
            self.tuning,
            translator.Translator(),
            self.placement,
        )
        await self.router.start()

    async def stop(self):
        """Stop all parts without draining."""
        for task in self.router.tasks:
            await task.cancel()
        for part in (
            self.router.caller_listener,
            self.router.readiness_listener,
            self.router.metrics_listener,
            self.router.peer_listener,
        ):
            await part.stop_accepting()
            await part.drain(base.deadlines.Deadline.after(0.0))
        for runner in self.runners.values():
            await runner.stop()
        await self.store.stop()

    async def connect(self):
        """Open a connection to the router, as a caller would."""
        return await http.connect(
            '127.0.0.1',
            self.router.caller_listener.port,
            base.deadlines.Deadline.after(2.0),
        )

    async def request(self, path, method='GET', body=b'', **headers):
        """Send one request on a new connection; return head and body."""
        connection = await self.connect()
        try:
            return await request(connection, path, method, body, **headers)
        finally:
            await connection.close()

    def arrivals(self):
        """Return all requests that arrived at runners."""
        return [
            arrival
            for runner in self.runners.values()
            for arrival in runner.arrivals
        ]


def request_headers(path, **more):
    """Return the headers of a caller's request; None removes one."""
    found = {
        'host': HOST,
        'celeryward-attempt-id': more.pop('request_id', 'request-1'),
        'celeryward-deadline-ms': '3000',
        'authorization': f'Bearer {KEY}',
    }
    if path.startswith(('/stream', '/rigid')):
        found |= {
            'celeryward-model': '*',
            'celeryward-token-usage': '1000,200',
            'celeryward-prompt-prefix': 'aa:300,bb:500,cc:200',
        }
    found |= {name.replace('_', '-'): value for name, value in more.items()}
    return {name: value for name, value in found.items() if value is not None}


def default_site():
    """Return a site with two endpoints of each service."""
    return Site(
        [
            RunnerStandIn('app-1', 'app'),
            RunnerStandIn('app-2', 'app'),
            RunnerStandIn('llm-1'),
            RunnerStandIn('llm-2'),
        ]
    )


async def request(connection, path, method='GET', body=b'', **headers):
    """Send one request; return the head and body of the response."""
    await http.send_request(
        connection, method, path, request_headers(path, **headers), body
    )
    deadline = base.deadlines.Deadline.after(10.0)
    head = await connection.receive_response(deadline)
    return head, await connection.receive_body('read body', deadline)


async def wait_until(condition, seconds=5.0):
    """Wait until a condition holds."""
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.01)


def encode(value):
    """Return a value as JSON bytes."""
    return msgspec.json.encode(value)


def on_site(test):
    """Decorator that runs a coroutine test on a started site."""

    @fakes.in_kernel
    @functools.wraps(test)
    async def run(self, site, **others):
        await site.start()
        try:
            await test(self, site, **others)
        finally:
            await site.stop()

    return run
