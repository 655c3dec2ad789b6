"""A site of the users' platform: a store, endpoints and a router.

They use the wire format of the platform, which only the adapter and its tests
contain. The platform's model servers are called runners.
"""

import functools

from adapter import translator
import curio
import msgspec

from celeryward import http
from celeryward import router
from celeryward import router_settings
from celeryward.standins import base
from tests import fakes
from tests import platform_runners
from tests import platform_store

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


def narrow_route(spec, name, **fields):
    """Return a route with a longer name and path prefix, and other fields."""
    return spec | {
        'name': f'{spec["name"]}-{name}',
        'pathPrefix': f'{spec["pathPrefix"]}{name}/',
        **fields,
    }


# Tests use the parts of a site through this module.
StoreStandIn = platform_store.StoreStandIn
RunnerStandIn = platform_runners.RunnerStandIn
begin_stream = platform_runners.begin_stream
connect_timeout = platform_runners.connect_timeout
disconnect = platform_runners.disconnect
event = platform_runners.event
events = platform_runners.events
never_respond = platform_runners.never_respond
refuse_unexecuted = platform_runners.refuse_unexecuted
respond_with = platform_runners.respond_with
send_default_response = platform_runners.send_default_response
send_stream = platform_runners.send_stream
turn_away = platform_runners.turn_away


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
        for part in self.router.listeners:
            await part.stop_accepting()
            await part.drain(base.deadlines.Deadline.after(0.0))
        for runner in self.runners.values():
            await runner.stop()
        await self.store.stop()

    async def connect(self):
        """Open a connection to the router, as a caller would."""
        return await http.connect(
            '127.0.0.1',
            self.router.listeners.callers.port,
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
