"""Tasks that follow something live on after errors."""

import curio
import pytest

from celeryward.daemons import client as peers
from celeryward.daemons import exchange_pb2
from celeryward.daemons import server as peer_server
from celeryward import errors
from celeryward import listener
from celeryward import logs
from celeryward import supervision
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.Site([standins.RunnerStandIn('app-1', 'app')])


class Failing:
    """A function that raises an error some times, then calls another one."""

    def __init__(self, function, error, times=1):
        self.function = function
        self.error = error
        self.times = times
        self.calls = 0

    def __call__(self, *arguments, **more):
        self.calls += 1
        if self.calls <= self.times:
            raise self.error
        return self.function(*arguments, **more)


async def wait_forever():
    await curio.Event().wait()


class TestSupervisor:
    """Guards against tasks that end, spin or fail in silence."""

    @pytest.mark.parametrize(
        'error', [RecursionError('deep'), OSError(24, 'files'), KeyError('x')]
    )
    @fakes.in_kernel
    async def test_function_runs_again_after_an_error(self, error):
        counted, lines = [], []
        sink = logs.logger.add(lines.append, level='ERROR')
        failing = Failing(wait_forever, error, 2)
        supervisor = supervision.Supervisor(counted.append)
        task = await supervisor.spawn('follow x', 'store', failing)
        await standins.wait_until(lambda: failing.calls == 3)
        assert not task.terminated
        await task.cancel()
        logs.logger.remove(sink)
        assert counted == ['follow x'] * 2
        extra = lines[0].record['extra']
        assert (extra['step'], extra['peer']) == ('follow x', 'store')
        assert type(error).__name__ in lines[0].record['message']

    @fakes.in_kernel
    async def test_cancellation_ends_it_at_once(self):
        for times in (0, 10_000):
            failing = Failing(wait_forever, ValueError('odd'), times)
            supervisor = supervision.Supervisor()
            task = await supervisor.spawn('follow x', 'store', failing)
            await curio.sleep(0.05)
            async with curio.timeout_after(0.2):
                await task.cancel()
            assert task.terminated

    @fakes.in_kernel
    async def test_permanent_error_does_not_spin(self):
        failing = Failing(wait_forever, ValueError('odd'), 10_000)
        supervisor = supervision.Supervisor()
        task = await supervisor.spawn('follow x', 'store', failing)
        await curio.sleep(1.0)
        await task.cancel()
        assert 2 <= failing.calls <= 4

    @fakes.in_kernel
    async def test_function_that_returns_is_not_run_again(self):
        calls = []

        async def run(argument):
            calls.append(argument)
            return 7

        supervisor = supervision.Supervisor()
        task = await supervisor.spawn('serve x', 'peer', run, 1)
        assert await task.join() == 7
        assert calls == [1]


class TestRouterTasks:
    """Guards against a task of a router that ends with an error."""

    @pytest.mark.parametrize(
        ('owner', 'name'),
        [
            ('view.discovery.members', 'replace'),
            ('view.members', 'reports_to'),
            ('releases', 'decide_due'),
            ('monitor', 'endpoints_to_watch'),
            ('relay.retries', 'update'),
            ('releases.runs', 'report_overdue'),
        ],
    )
    @standins.on_site
    async def test_task_lives_on_after_an_error(self, site, owner, name):
        found = site.router
        for part in owner.split('.'):
            found = getattr(found, part)
        failing = Failing(getattr(found, name), RuntimeError('odd'))
        setattr(found, name, failing)
        await standins.wait_until(lambda: failing.calls > 1, 12.0)
        assert not [task for task in site.router.tasks if task.terminated]
        assert b'task_failures_total' in site.router.metrics.exposition()

    @pytest.mark.parametrize('error', [RecursionError(), OverflowError()])
    @standins.on_site
    async def test_change_is_applied_after_an_error(self, site, error):
        receiver = site.router.view.watchers[0].receiver
        failing = Failing(receiver.on_change, error)
        receiver.on_change = failing
        await site.store.put('config', 'main', standins.configuration(2))
        holder = site.router.configuration
        await standins.wait_until(lambda: holder.current.version == 2, 3.0)
        assert failing.calls == 2

    @standins.on_site
    async def test_permanent_error_lets_the_configuration_age(self, site):
        receiver = site.router.view.watchers[0].receiver
        failing = Failing(None, RuntimeError('odd'), 10_000)
        receiver.on_change = failing
        site.router.freshness.max_age_seconds = 1.0
        await site.store.put('config', 'main', standins.configuration(2))
        await curio.sleep(1.5)
        head, _ = await site.request('/whole/x')
        assert head.status == 503
        assert not site.router.is_ready()
        assert failing.calls < 10


class TestListener:
    """Guards against a port that accepts no more connections."""

    @fakes.in_kernel
    async def test_connections_are_accepted_after_an_error(self):
        served = []

        async def handle(connection):
            served.append(connection)

        found = listener.Listener('127.0.0.1', 0, handle)
        found.spawn_handler = Failing(
            found.spawn_handler, OSError(24, 'too many open files')
        )
        await found.start()
        for _ in range(2):
            sock = await curio.open_connection('127.0.0.1', found.port)
            await sock.close()
        await standins.wait_until(lambda: served, 2.0)
        await found.stop_accepting()


class TestDaemonTasks:
    """Guards against a daemon that no longer talks to its peers."""

    @fakes.in_kernel
    async def test_peer_task_answers_a_job_that_raises(self):
        peer = peers.Peer(None, None, peers.gossip.Contact('127.0.0.1', 1))
        task = await curio.spawn(peer.run, daemon=True)
        done = curio.Result()
        await peer.jobs.put(
            peers.Job(Failing(None, RecursionError('deep')), done)
        )
        async with curio.timeout_after(1.0):
            outcome = await done.unwrap()
        assert isinstance(outcome.unwrap_err(), errors.PeerFailure)
        assert not task.terminated
        await task.cancel()

    @fakes.in_kernel
    async def test_request_that_raises_is_refused(self):
        server = peer_server.PeerServer(None, None, None)
        deep = b'{"kind":"k","name":"n","spec":{"x":' + b'[' * 100_000
        request = peer_server.bridge.Request(
            'Push',
            exchange_pb2.Changes(changes=[exchange_pb2.Change(object=deep)]),
            None,
        )
        answer = await server.handle(request)
        assert isinstance(answer, errors.ProtocolError)
