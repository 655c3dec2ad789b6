"""A small deployment: routers, runners and a store on loopback addresses.

The routers are started with the command of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

from review.standins import store as stores
from review.standins import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
START_SECONDS = 20.0
# The bounds of faroles-lima, as DEPLOY.md shows them.
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "lima"
portRange = [{first_port}, {last_port}]
seedAddrs = []
bootstrap = true
discovery = "platform"
entry = "vip"
beatIntervalMs = 1200
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.9
retryWindowS = 10
retrySlack = 54
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[provider]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CannotRun(Exception):
    """The case can't run here."""


def free_host():
    """Return a loopback address on which the metrics port is free."""
    for _ in range(100):
        parts = [random.randint(1, 250) for _ in range(3)]
        host = '127.' + '.'.join(map(str, parts))
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
            return host
    raise CannotRun('no loopback address is free')


def free_port(host):
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Process:
    """A process that this case started.

    ``events`` holds the JSON lines that it printed.
    """

    def __init__(self, process):
        self.process = process
        self.events = []
        self.reading = asyncio.create_task(self.read())

    async def read(self):
        """Collect the lines that the process prints."""
        while line := await self.process.stdout.readline():
            try:
                self.events.append(json.loads(line))
            except ValueError:
                self.events.append({'text': line.decode('latin-1')})

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    async def end(self):
        """Kill the process and wait for its end."""
        if self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    break
        await self.process.wait()
        self.reading.cancel()


class Deployment:
    """Processes and stand-ins of one case.

    :param record: open text file for what was sent, answered and run.
    """

    def __init__(self, record):
        self.record = record
        self.began = time.time()
        self.store = stores.Store()
        self.store_host = '127.0.0.1'
        self.processes = []
        self.routers = {}
        self.runners = {}
        # All starts of runners: name and process.
        self.starts = []
        self.folder = tempfile.TemporaryDirectory(prefix='review-')

    def note(self, text):
        """Write one line of the record."""
        seconds = time.time() - self.began
        self.record.write(f'{seconds:8.3f} {text}\n')
        self.record.flush()

    async def start_store(self, configuration):
        """Start the store with a first configuration."""
        await self.store.start(self.store_host)
        await self.store.put('config', 'main', configuration)

    async def spawn(self, *command, environment=None):
        """Start a process whose output is collected."""
        process = Process(
            await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
                cwd=ROOT,
                env=environment,
                limit=2**22,
                # The end of a shell must not reach a process that is stopped.
                start_new_session=True,
            )
        )
        self.processes.append(process)
        return process

    async def start_runner(self, name, service, zone, work_ms=60, **options):
        """Start a runner and register it in the store."""
        host = '127.0.0.1'
        process = await self.spawn(
            sys.executable,
            '-m',
            'review.standins.runner',
            name,
            host,
            str(options.get('port', 0)),
            str(work_ms),
            str(options.get('fail_each', 0)),
            options.get('crash_body', ''),
        )
        await self.wait_for(lambda: process.events, 'runner')
        entry = {
            'service': service,
            'address': f'{host}:{process.events[0]["port"]}',
            'zone': zone,
            'version': options.get('version', 'v1'),
            'slots': options.get('slots', 6),
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': int(time.time() * 1000),
        }
        await self.store.put('servers', name, entry)
        process.port = process.events[0]['port']
        self.runners[name] = process
        self.starts.append((name, process))
        return process

    async def start_router(self, name, zone):
        """Start a router; return its address for clients."""
        host = free_host()
        ports = [free_port(host) for _ in range(3)]
        path = pathlib.Path(self.folder.name) / f'{name}.toml'
        store_address = f'{self.store_host}:{self.store.port}'
        path.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                front=ports[0],
                ready=ports[1],
                first_port=ports[2],
                last_port=ports[2],
                store=store_address,
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        process = await self.spawn(
            *deploy['roles']['router']['run'].split(),
            environment=router_environment(path),
        )
        self.routers[name] = process
        await self.wait_until_ready(host, ports[1])
        return host, ports[0]

    async def wait_until_ready(self, host, port):
        """Wait until a router says that it is ready."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if await is_ready(host, port):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('a router is not ready')

    async def wait_for(self, condition, what):
        """Wait until a condition holds."""
        until = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f'{what} does not start')
            await asyncio.sleep(0.02)

    def runs(self):
        """Return what all runners have begun to run."""
        return sorted(
            (
                event
                for _, runner in self.starts
                for event in runner.events
                if event.get('event') == 'run'
            ),
            key=lambda event: event['at'],
        )

    def note_runs(self):
        """Write to the record what the runners ran."""
        for run in self.runs():
            seconds = run['at'] - self.began
            self.record.write(f'{seconds:8.3f} ran {json.dumps(run)}\n')

    async def stop(self):
        """End all processes that were started."""
        for process in self.processes:
            await process.end()
        if self.store.server is not None:
            self.store.server.close()
        self.folder.cleanup()


def router_environment(path):
    """Return the environment variables of a router."""
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    return kept | {
        'CELERYWARD_NODE_FILE': str(path),
        'PYTHONPATH': str(ROOT / 'target/deps'),
    }


async def is_ready(host, port):
    """Return whether a router answers its readiness question with 200."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(
            wire.request_bytes('GET', '/api/ready', {'Host': f'{host}:{port}'})
        )
        answer = await asyncio.wait_for(wire.read_message(reader), 1.0)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False
    return answer is not None and answer.status == 200


def run_case(record_path, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    :param pathlib.Path record_path: file for what was sent, answered and run.
    :param case: coroutine function of the deployment and of whether the
        disruption takes place; returns whether the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run(record):
        deployment = Deployment(record)
        try:
            broken = await asyncio.wait_for(case(deployment, trouble), 100.0)
            deployment.note('rule broken' if broken else 'rule held')
        finally:
            await deployment.stop()
        return broken

    try:
        with open(record_path, 'w', encoding='utf-8') as record:
            sys.exit(1 if asyncio.run(run(record)) else 0)
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f'case can not run: {error!r}', file=sys.stderr)
        sys.exit(2)
