"""Clients that misuse connections, and all memory that counts for a process.

Besides its resident memory this is what it has received and not read, also on
connections that wait to be accepted. Crowds and bounds were fixed before the
product bounded that input. No test checks a time or a share of requests.
"""

import curio
import pytest

from benchmarks import processes
from celeryward.callers import protocol
from tests import platform_crashes
from tests import platform_processes
from tests import test_client_limits
from tests import test_pauses
from tests import test_processes

# Descriptors of the smallest host of a deployment in use.
MAX_DESCRIPTORS = 3075
# Less than any host has, so that a small crowd shows the fault.
LOW_MEGABYTES = 110
# The smallest host of a deployment in use.
SMALLEST_MEGABYTES = 160
# What a daemon may use at the size to design for.
DAEMON_MEGABYTES = 128
DAEMON_PORTS = ('callers', 'admin', 'peers')
CLIENTS = 800
ALL_LISTENERS_CLIENTS = 1200
CROWD_SECONDS = 5.0
SOURCES = tuple(f'127.0.0.{number}' for number in range(2, 10))
PORTS = {
    'callers': platform_processes.CALLER_PORT,
    'readiness': platform_processes.READINESS_PORT,
    'metrics': platform_processes.METRICS_PORT,
    'routers': test_client_limits.PEER_PORT,
}


class SmallSite(test_client_limits.LimitedSite):
    """A store, an endpoint, and a router process on a small host."""

    def __init__(self, path, megabytes):
        super().__init__(path)
        self.limits = (
            f'[limits]\nmemoryMb = {megabytes}\nmaxFds = {MAX_DESCRIPTORS}\n'
        )


def run_with_crowd(tmp_path, megabytes, add_clients):
    """Check a router while and after clients misuse it.

    The clients stay connected until an ordinary request was answered.
    """

    async def check(site):
        with test_client_limits.crowd_of(site.program.pid) as crowd:
            add_clients(crowd)
            await curio.run_in_thread(crowd.run, CROWD_SECONDS)
            await test_client_limits.wait_for_answer(site)
            check_bounds(crowd, site.program, megabytes)

    run_on_site(tmp_path, megabytes, check)


def run_on_site(tmp_path, megabytes, check):
    """Run a check on a started site on a small host."""

    async def run():
        site = SmallSite(tmp_path / 'router.toml', megabytes)
        try:
            await site.start()
            await check(site)
        finally:
            await site.stop()

    curio.run(run)


def check_bounds(crowd, program, megabytes):
    """Check that a process is alive and within the limits of its host."""
    assert program.poll() is None
    crowd.count_memory()
    assert crowd.most_bytes < megabytes * 1000 * 1000
    assert crowd.most_descriptors < MAX_DESCRIPTORS


def add(crowd, listener, count, kind):
    """Add clients that connect again after each close."""
    address = (test_pauses.HOST, PORTS[listener])
    path = '/none' if listener == 'callers' else '/'
    sent = test_client_limits.request(path)
    crowd.add(count, kind, address, sent, SOURCES, again=True)


class TestUnreadInput:
    """Guards against input that takes the memory without being read."""

    @pytest.mark.parametrize('listener', PORTS)
    def test_pipelined_requests_at_one_listener(self, tmp_path, listener):
        def add_clients(crowd):
            add(crowd, listener, CLIENTS, 'pipeline')

        run_with_crowd(tmp_path, LOW_MEGABYTES, add_clients)

    @pytest.mark.parametrize('kind', ('heads', 'bodies', 'endless head'))
    def test_long_messages_of_callers(self, tmp_path, kind):
        def add_clients(crowd):
            add(crowd, 'callers', CLIENTS, kind)

        run_with_crowd(tmp_path, LOW_MEGABYTES, add_clients)

    @pytest.mark.parametrize('kind', ('pipeline', 'heads', 'bodies'))
    def test_all_listeners_at_once(self, tmp_path, kind):
        def add_clients(crowd):
            for listener in PORTS:
                count = ALL_LISTENERS_CLIENTS // len(PORTS)
                add(crowd, listener, count, kind)

        run_with_crowd(tmp_path, SMALLEST_MEGABYTES, add_clients)

    def test_one_listener_after_the_other(self, tmp_path):
        """What was received before counts beside what is received next."""

        def add_clients(crowd):
            for kind, listener in zip(
                ('bodies', 'heads', 'pipeline', 'pipeline'), PORTS, strict=True
            ):
                count = ALL_LISTENERS_CLIENTS // len(PORTS)
                add(crowd, listener, count, kind)
                crowd.run(CROWD_SECONDS / len(PORTS))

        run_with_crowd(tmp_path, SMALLEST_MEGABYTES, add_clients)


class TestDaemon:
    """Guards against unread input at the listeners of a daemon."""

    @pytest.mark.parametrize('listener', DAEMON_PORTS)
    def test_pipelined_requests(self, tmp_path, listener):
        sent = test_client_limits.NO_ROUTE
        self.run_with_crowd(tmp_path, listener, 'pipeline', sent)

    @pytest.mark.parametrize('kind', ('heads', 'bodies', 'endless head'))
    def test_long_messages_of_callers(self, tmp_path, kind):
        sent = test_client_limits.request(protocol.CHAT_PATH)
        self.run_with_crowd(tmp_path, 'callers', kind, sent)

    def run_with_crowd(self, tmp_path, listener, kind, sent):
        """Check a daemon while and after clients misuse it."""
        ports = {name: platform_crashes.free_port() for name in DAEMON_PORTS}
        with processes.stopping([]) as running:
            _, daemon = test_processes.start_parts(
                running,
                tmp_path,
                **{name: {'port': port} for name, port in ports.items()},
            )
            with test_client_limits.crowd_of(daemon.popen.pid) as crowd:
                crowd.add(
                    CLIENTS,
                    kind,
                    ('127.0.0.1', ports[listener]),
                    sent,
                    SOURCES,
                    again=True,
                )
                crowd.run(CROWD_SECONDS)
                curio.run(test_client_limits.wait_for_chat, daemon)
                check_bounds(crowd, daemon.popen, DAEMON_MEGABYTES)
