"""Clients that misuse connections, against processes of the system.

Crowds and bounds were fixed before there were any limits. No test checks a
time or how many requests were served meanwhile.
"""

import contextlib
import resource
import time

import curio
import pytest

from benchmarks import processes
from celeryward import errors
from celeryward import http
from celeryward.operators import demo
from tests import client_crowds
from tests import platform_crashes
from tests import platform_processes
from tests import test_pauses
from tests import test_processes

# The limits of the test's host. 200 of the descriptors are for files.
LIMITS = '[limits]\nmemoryMb = 110\nmaxFds = 400\n'
MAX_DESCRIPTORS = 200
# Without limits, 300 of these clients took 100 MB and 300 descriptors.
CLIENTS = 300
GROWTH_BYTES = 28 * 1000 * 1000
CROWD_SECONDS = 4.0
# A connection whose client takes no byte is closed after 10 s.
ANSWER_SECONDS = 40.0
OTHER_SOURCES = tuple(f'127.0.0.{number}' for number in range(2, 6))
# Also the source of the ordinary caller.
SAME_SOURCE = ('127.0.0.1',)
PEER_PORT = 18090
# Listeners of a daemon that share the code of a router's.
PORTS = ('callers', 'admin')
ORDINARY_CALLERS = 20
LONG_BYTES = 300_000


def request(path, host='service.example'):
    """Return the bytes of a request without a body."""
    head = f'GET {path} HTTP/1.1\r\nhost: {host}\r\nx-api-key: key-one\r\n\r\n'
    return head.encode()


NO_ROUTE = request('/none')


class LimitedSite(test_pauses.PausedSite):
    """A store, an endpoint, and a router process with low limits."""

    limits = LIMITS

    def write_settings(self, stop_seconds):
        super().write_settings(stop_seconds)
        with self.path.open('a') as file:
            file.write(self.limits)


@contextlib.contextmanager
def crowd_of(pid):
    """Yield a crowd whose connections are closed at the end."""
    crowd = client_crowds.Crowd(pid)
    try:
        yield crowd
    finally:
        crowd.close()


def check_bounds(crowd, program):
    """Check that a process is alive and within its bounds."""
    assert program.poll() is None
    observed = (crowd.growth(), crowd.most_descriptors)
    assert crowd.growth() < GROWTH_BYTES, observed
    assert crowd.most_descriptors < MAX_DESCRIPTORS, observed


async def wait_for_answer(site):
    """Return once an ordinary request is answered."""
    until = time.monotonic() + ANSWER_SECONDS
    while await site.status_of_new_connection() != 200:
        assert site.program.poll() is None
        assert time.monotonic() < until, 'no answer to an ordinary request'
        await curio.sleep(0.1)


class TestRouter:
    """Guards against clients of a router that take all of its memory."""

    async def check(self, site, add_clients):
        """Check a router process while and after clients misuse it.

        The clients stay connected until an ordinary request was answered.
        """
        with crowd_of(site.program.pid) as crowd:
            add_clients(crowd)
            await curio.run_in_thread(crowd.run, CROWD_SECONDS)
            await wait_for_answer(site)
            check_bounds(crowd, site.program)

    @pytest.mark.parametrize(
        'port,sent,sources',
        (
            (platform_processes.CALLER_PORT, NO_ROUTE, SAME_SOURCE),
            (
                platform_processes.CALLER_PORT,
                request('/whole/x', 'nowhere.example'),
                OTHER_SOURCES,
            ),
            (platform_processes.READINESS_PORT, request('/'), SAME_SOURCE),
            (platform_processes.METRICS_PORT, request('/'), SAME_SOURCE),
            (PEER_PORT, request('/'), OTHER_SOURCES),
        ),
        ids=('no route', 'unknown host', 'readiness', 'metrics', 'routers'),
    )
    def test_pipelined_requests_without_reader(
        self, tmp_path, port, sent, sources
    ):
        address = (test_pauses.HOST, port)

        def add_clients(crowd):
            crowd.add(CLIENTS, 'pipeline', address, sent, sources)

        run_on_site(tmp_path, self.check, add_clients)

    def test_all_kinds_beside_ordinary_callers(self, tmp_path):
        def add_clients(crowd):
            address = test_pauses.ADDRESS
            for kind in client_crowds.BEHAVIOURS.entries:
                sent = NO_ROUTE
                if kind == 'slow reader':
                    sent = request('/whole/long')
                crowd.add(40, kind, address, sent, OTHER_SOURCES)
                crowd.add(10, kind, address, sent, OTHER_SOURCES, again=True)

        async def check_beside(site):
            site.runner.default_action = answer_long
            callers = [
                await curio.spawn(call_again, site, daemon=True)
                for _ in range(ORDINARY_CALLERS)
            ]
            await self.check(site, add_clients)
            for caller in callers:
                await caller.cancel()

        run_on_site(tmp_path, check_beside)


async def answer_long(runner, connection, arrival):
    """Send a long response if the path asks for one, else a short one."""
    size = LONG_BYTES if arrival.head.target.endswith('/long') else 10
    headers = runner.response_headers(arrival)
    await http.send_response(connection, 200, headers, bytes(size))


async def call_again(site):
    """Send one ordinary request after the other."""
    while True:
        await site.status_of_new_connection()
        await curio.sleep(0.05)


def run_on_site(tmp_path, check, *arguments):
    """Run a coroutine function on a started site with low limits."""

    async def run():
        site = LimitedSite(tmp_path / 'router.toml')
        try:
            await site.start()
            await check(site, *arguments)
        finally:
            await site.stop()

    curio.run(run)


@pytest.fixture
def few_descriptors():
    """Let processes that are started meanwhile have few descriptors."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (400, limits[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


class TestDaemon:
    """Guards against clients of a daemon that take all of its memory."""

    @pytest.mark.parametrize('listener', PORTS)
    def test_pipelined_requests_without_reader(
        self, tmp_path, few_descriptors, listener
    ):
        ports = {name: platform_crashes.free_port() for name in PORTS}
        with processes.stopping([]) as running:
            _, daemon = test_processes.start_parts(
                running,
                tmp_path,
                **{name: {'port': port} for name, port in ports.items()},
            )
            with crowd_of(daemon.popen.pid) as crowd:
                address = ('127.0.0.1', ports[listener])
                crowd.add(
                    CLIENTS, 'pipeline', address, NO_ROUTE, OTHER_SOURCES
                )
                crowd.run(CROWD_SECONDS)
                curio.run(wait_for_chat, daemon)
                check_bounds(crowd, daemon.popen)


async def wait_for_chat(daemon):
    """Return once a daemon answers an ordinary request."""
    example = demo.chat_example('', 'small', 'x', stream=False)
    until = time.monotonic() + ANSWER_SECONDS
    status = 0
    while status != 200:
        assert daemon.popen.poll() is None
        assert time.monotonic() < until, 'no answer to an ordinary request'
        with contextlib.suppress(
            *http.EXCHANGE_ERRORS, errors.ConnectionFailed
        ):
            head, _ = await demo.send_example(daemon.port, example)
            status = head.status
        await curio.sleep(0.1)
