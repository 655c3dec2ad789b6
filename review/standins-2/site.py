"""A site on loopback addresses: store, runners, routers and clients.

Everything but the routers runs in one asyncio process. The routers are the
project's own program, started with the command of the deploy file.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'service.example'
KEY = 'key-one'
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'stretchMaxMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryRatio': 0.9,
    'retryWindowS': 10,
    'retrySlack': 54,
    'exposureShare': 0.15,
    'exposureSlack': 30,
    'rollbackMs': 5000,
    'recoveryS': 12,
    'passMs': 120,
    'reuseWindowS': 10,
    'sessionS': 5,
}
LIMITS = {'memoryMb': 300, 'maxFds': 4100, 'linkMbps': 1000.0}


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.began_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def line(self, text):
        """Write one line."""
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


class Head:
    """The first line and the headers of a message."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers


async def read_head(reader):
    """Return the next head, or None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return Head(first, {n.lower(): v.strip() for n, _, v in pairs})


async def read_body(reader, headers):
    """Return the body that the headers announce."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode(status, headers, body):
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """A listener that serves requests, one task for each connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.receive_buffer = 0

    async def start(self, host='127.0.0.1'):
        """Listen on a free port."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        sock.bind((host, 0))
        self.server = await asyncio.start_server(
            self.serve, sock=sock, backlog=1024
        )
        self.port = sock.getsockname()[1]

    async def serve(self, reader, writer):
        """Serve one connection until either side closes it."""
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, reader, writer):
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, with pages, watches and conflicts.

    ``gate`` may be set to an async function of method, parts and query. It
    returns None to let a call pass, or a status to answer it with.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.gate = None
        # How often the waiting watches were cut off.
        self.cuts = 0

    async def put(self, kind, name, spec, status=None):
        """Write an object unconditionally."""
        before = self.objects.get((kind, name))
        self.revision += 1
        created = before['meta']['created'] if before else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'created': created,
            'finalizers': [],
            'deleting': False,
        }
        entry = {'meta': meta, 'spec': spec, 'status': status or {}}
        self.objects[(kind, name)] = entry
        await self.log(kind, entry, False)
        return entry

    async def delete(self, kind, name):
        """Remove an object."""
        self.revision += 1
        entry = self.objects.pop((kind, name))
        meta = entry['meta'] | {'revision': self.revision}
        await self.log(kind, entry | {'meta': meta}, True)

    async def log(self, kind, entry, deleted):
        """Keep an event and wake the watches."""
        event = {'object': entry, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        name = entry['meta']['name']
        self.record.line(
            f'store {kind}/{name} revision={self.revision} deleted={deleted}'
        )
        async with self.changed:
            self.changed.notify_all()

    async def cut_watches(self):
        """Cut off the watches that are waiting; the next ones are served."""
        self.record.line('store cuts off the waiting watches')
        async with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    def events(self, kind, since):
        """Return the events of a kind after a revision."""
        return [e for r, k, e in self.history if k == kind and r > since]

    async def answer(self, head, reader, writer):
        """Answer one call."""
        method, target, _ = head.first.split(' ')
        body = await read_body(reader, head.headers)
        path, _, query = target.partition('?')
        parts = [urllib.parse.unquote(p) for p in path.split('/')[3:]]
        query = dict(urllib.parse.parse_qsl(query))
        status = None
        if self.gate is not None:
            status = await self.gate(method, parts, query)
        if status is None:
            status, value = await self.call(method, parts, query, body)
        else:
            value = {}
        if status == 0:
            return False
        content = json.dumps(value).encode()
        headers = {'content-type': 'application/json'}
        writer.write(encode(status, headers, content))
        await writer.drain()
        return True

    async def call(self, method, parts, query, body):
        """Return status and value of one call."""
        kind = parts[0]
        if method == 'POST':
            entry = json.loads(body)
            name = entry['meta']['name']
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, await self.put(kind, name, entry['spec'])
        if len(parts) > 1:
            return await self.call_object(method, parts, query, body)
        if 'watch' in query:
            return await self.watch(kind, query)
        names = sorted(n for k, n in self.objects if k == kind)
        names = [n for n in names if n > query.get('afterRev', '')]
        entries = [self.objects[(kind, n)] for n in names[:500]]
        more = len(names) > 500
        return 200, {
            'entries': entries,
            'hasMore': more,
            'currentRev': self.revision,
        }

    async def call_object(self, method, parts, query, body):
        """Return status and value of a call to one object."""
        kind, name = parts[:2]
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if method == 'GET':
            return 200, found
        entry = json.loads(body) if body else {}
        wanted = query.get('revision', entry.get('meta', {}).get('revision'))
        if wanted is not None and int(wanted) != found['meta']['revision']:
            return 409, found
        if method == 'DELETE':
            await self.delete(kind, name)
            return 200, found
        spec, status = entry.get('spec'), found['status']
        if parts[2:] == ['status']:
            spec, status = found['spec'], entry.get('status')
        return 200, await self.put(kind, name, spec, status)

    async def watch(self, kind, query):
        """Return the next events of a kind, none after the wait."""
        since = int(query['watch'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        cuts = self.cuts
        async with self.changed:
            while not self.events(kind, since):
                if self.cuts != cuts:
                    return 0, {}
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
        events = self.events(kind, since)
        return 200, {'events': events, 'currentRev': self.revision}


class Runner(Server):
    """A runner. ``action`` is an async function of the runner and an arrival.

    It may return an encoded response, or write itself and return None.
    """

    def __init__(self, record, name, service, action=None):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.action = action or answer_whole
        self.arrivals = []
        self.begin_body = None
        self.writers = set()
        self.slots = 6
        # Requests that it works on, and the most of them.
        self.running = 0
        self.peak = 0

    def entry(self, state='ready'):
        """Return the spec of the runner's entry in the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': 1700000000000,
            'models': [],
        }

    async def serve(self, reader, writer):
        """Serve one connection, and keep it for :meth:`leave`."""
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def leave(self):
        """End the runner: close its listener and all connections."""
        self.record.line(f'runner {self.name} exits')
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def answer(self, head, reader, writer):
        """Answer one request."""
        if self.begin_body is not None:
            await self.begin_body(self, head)
        body = await read_body(reader, head.headers)
        arrival = Arrival(head, body, reader, writer)
        self.arrivals.append(arrival)
        self.record.line(f'runner {self.name} runs {arrival.id}')
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            response = await self.action(self, arrival)
        finally:
            self.running -= 1
        if response is not None:
            writer.write(response)
            await writer.drain()
        return response is not None

    def sealed(self, arrival, status=200, body=b'whole answer', **more):
        """Return an encoded response with the runner's signature."""
        headers = {
            'celeryward-attempt-id': arrival.id,
            'celeryward-response-seal': f'seal.{self.name}.{arrival.id}',
            'keep-alive': 'timeout=10',
            **more,
        }
        return encode(status, headers, body)


class Arrival:
    """A request that a runner has begun to run."""

    def __init__(self, head, body, reader, writer):
        self.head = head
        self.body = body
        self.reader = reader
        self.writer = writer
        self.id = head.headers.get('celeryward-attempt-id', '-')
        self.at = time.monotonic()


async def answer_whole(runner, arrival):
    """Return a whole answer at once."""
    return runner.sealed(arrival)


class Router:
    """One router process."""

    numbers = itertools.count(1)
    # The processes that were started, to be ended in any case.
    processes = []

    def __init__(self, site, zone='a', **limits):
        self.site = site
        self.zone = zone
        self.limits = LIMITS | limits
        self.number = next(self.numbers)
        self.name = f'front-{zone}-{self.number}'
        self.host = f'127.{site.net}.{self.number}.1'
        self.process = None
        self.starts = 0

    def write_settings(self):
        """Write the settings file of the process."""
        tables = {
            'listen': {
                'front': f'{self.host}:8227',
                'ready': f'{self.host}:8220',
            },
            'limits': self.limits,
            'bounds': self.site.bounds,
            'provider': {
                'address': f'127.0.0.1:{self.site.store.port}',
                'form': 'objects',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        top = {
            'nodeName': self.name,
            'role': 'router',
            'ip': self.host,
            'zone': self.zone,
            'region': 'r',
            'portRange': [7340, 7355],
            'bootstrap': self.starts == 0,
        }
        lines = [f'{k} = {json.dumps(v)}' for k, v in top.items()]
        for name, table in tables.items():
            lines.append(f'[{name}]')
            lines += [f'{k} = {json.dumps(v)}' for k, v in table.items()]
        path = self.site.folder / f'{self.name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        return path

    async def start(self):
        """Start the process; return once it says that it is ready."""
        path = self.write_settings()
        self.starts += 1
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CELERYWARD_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = open(self.site.folder / f'{self.name}.log', 'ab')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.process = await asyncio.create_subprocess_exec(
            *deploy['roles']['router']['run'].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            preexec_fn=self.limit,
        )
        self.processes.append(self.process)
        self.site.record.line(f'{self.name} started')
        for _ in range(300):
            if await self.is_ready():
                self.site.record.line(f'{self.name} ready')
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f'{self.name} is not ready')

    def limit(self):
        """Apply the limit on descriptors, in the new process."""
        most = self.limits['maxFds']
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    async def is_ready(self):
        """Return whether the readiness address answers 200."""
        try:
            got = await call(
                (self.host, 8220), 'GET', '/api/ready', {'host': self.host}
            )
        except OSError:
            return False
        return got.status == 200

    def send_signal(self, number):
        """Send a signal to the process."""
        name = signal.Signals(number).name
        self.site.record.line(f'{self.name} gets {name}')
        self.process.send_signal(number)

    async def end(self):
        """End the process at once, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def memory_mb(self):
        """Return the resident memory in MB; 0.0 if the process is gone."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    @property
    def callers(self):
        """The address for clients."""
        return self.host, 8227


class CouldNotRun(Exception):
    """The case could not be played."""


class Site:
    """The parts of one case.

    :param record_path: the ``record.txt`` of the case.
    """

    def __init__(self, record_path):
        self.net = find_free_net()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(record_path)
        self.bounds = dict(BOUNDS)
        self.store = Store(self.record)
        self.runners = []
        self.routers = []

    async def start(self, runners, spec, routers=1, zone='a', **limits):
        """Start store, runners and routers."""
        await self.store.start()
        self.runners = list(runners)
        for runner in self.runners:
            await runner.start()
            await self.store.put('servers', runner.name, runner.entry())
        await self.store.put('config', 'main', spec)
        self.routers = [Router(self, zone, **limits) for _ in range(routers)]
        await asyncio.gather(*(each.start() for each in self.routers))

    async def stop(self):
        """End all processes and remove the temporary folder."""
        for router in self.routers:
            await router.end()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)


def find_free_net():
    """Return the second byte of loopback addresses that nobody uses."""
    for net in random.sample(range(20, 250), 100):
        probe = socket.socket()
        try:
            probe.bind((f'127.{net}.1.1', 8227))
            probe.listen()
            return net
        except OSError:
            continue
        finally:
            probe.close()
    raise CouldNotRun('no free addresses')


def configuration(version, routes, services, **more):
    """Return the spec of a configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': name} for name in services],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'tenant-a', 'apiKeys': [KEY], 'priority': 1}],
        **more,
    }


def route(name, kind, service, **more):
    """Return a route whose path prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 8000,
        'goalMs': 1000,
        'priority': 0,
        'maxAttempts': 1,
        'public': False,
        **more,
    }


class Got:
    """What a client got. ``status`` is 0 without a whole answer."""

    def __init__(self, status=0, headers=None, body=b'', error=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


def request_headers(request_id, deadline_ms=8000, **more):
    """Return the headers of a client's request."""
    return {
        'host': HOST,
        'celeryward-attempt-id': request_id,
        'celeryward-deadline-ms': str(deadline_ms),
        'authorization': f'Bearer {KEY}',
        **{name.replace('_', '-'): value for name, value in more.items()},
    }


def encode_request(method, path, headers, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method == 'POST':
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def call(address, method, path, headers, body=b'', seconds=30.0):
    """Send one request on a new connection; return :class:`Got`."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        async with asyncio.timeout(seconds):
            writer.write(encode_request(method, path, headers, body))
            await writer.drain()
            return await receive(reader)
    except (ConnectionError, TimeoutError, asyncio.IncompleteReadError) as e:
        return Got(error=type(e).__name__)
    finally:
        writer.close()


async def receive(reader):
    """Return the next answer on a connection as :class:`Got`."""
    head = await read_head(reader)
    if head is None:
        return Got(error='closed')
    body = await read_body(reader, head.headers)
    return Got(int(head.first.split(' ')[1]), head.headers, body)


def with_trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(play):
    """Run a case and exit with its status.

    :param play: async function; returns whether the rule held.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    try:
        held = asyncio.run(asyncio.wait_for(play(), 110.0))
        status = 0 if held else 1
    except (CouldNotRun, OSError, TimeoutError) as error:
        print(f'could not run: {error!r}')
        status = 2
    finally:
        for process in Router.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
    sys.stdout.flush()
    os._exit(status)
