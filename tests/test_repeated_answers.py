"""Answers that endpoints write once more, for a request they don't answer."""

import time

import curio
import msgspec
import pytest

from celeryward import http
from celeryward.operators import demo
from celeryward.standins import base
from celeryward.standins import service
from tests import platform_standins as standins

NOT_EXECUTED = {'celeryward-not-executed': '1'}
# Longer than it takes a router to read an answer that has arrived.
RUN_SECONDS = 0.1
UNNAMED_REFUSALS = {
    'full': (503, NOT_EXECUTED),
    'rate limited': (429, NOT_EXECUTED),
    'misdirected': (421, {}),
}


@pytest.fixture
def site():
    return standins.default_site()


async def write_answer(connection, status, headers, body=b''):
    """Write an answer that belongs to no request of the connection."""
    lines = {'content-length': str(len(body)), **headers}
    text = ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
    head = f'HTTP/1.1 {status} Earlier\r\n{text}\r\n'
    await connection.sock.sendall(head.encode() + body)


def repeat_then_run(status, headers, body=b'', seconds=RUN_SECONDS):
    """Return an action that writes an earlier answer, then runs and answers.

    :param float seconds: time between the two answers.
    """

    async def action(runner, connection, arrival):
        await write_answer(connection, status, headers, body)
        if seconds:
            await curio.sleep(seconds)
        await standins.send_default_response(runner, connection, arrival)

    return action


async def fill_pool(site):
    """Leave an idle connection to each endpoint of the service ``app``."""
    runners = [site.runners['app-1'], site.runners['app-2']]
    for number in range(20):
        if all(runner.arrivals for runner in runners):
            break
        await site.request('/whole/x', request_id=f'fill-{number}')
    assert all(runner.arrivals for runner in runners)
    for runner in runners:
        runner.arrivals.clear()
        runner.ended.clear()
    return runners


def believed_statistics(site, runner):
    """Return what the router has counted about an endpoint."""
    found = site.router.outcomes.statistics[runner.id]
    return found.unreachable_count, found.avoid_until, found.updated_at


class TestUnnamedRefusals:
    """Guards against "not run" for requests that an endpoint runs."""

    @pytest.mark.parametrize('name', UNNAMED_REFUSALS)
    @standins.on_site
    async def test_copy_on_a_kept_connection_is_no_promise(self, site, name):
        for runner in await fill_pool(site):
            runner.default_action = repeat_then_run(*UNNAMED_REFUSALS[name])
        head, _ = await site.request('/whole/x')
        assert len(site.arrivals()) == 2
        assert head.status == 502
        assert 'retry-after' not in head.headers

    @pytest.mark.parametrize('name', UNNAMED_REFUSALS)
    @standins.on_site
    async def test_copy_does_not_change_what_is_known_of_the_endpoint(
        self, site, name
    ):
        runners = await fill_pool(site)
        for runner in runners:
            runner.scripted_actions.append(
                repeat_then_run(*UNNAMED_REFUSALS[name])
            )
        before = {each.id: believed_statistics(site, each) for each in runners}
        await site.request('/whole/x')
        for runner in runners:
            assert believed_statistics(site, runner) == before[runner.id]
        assert site.router.queues.unanswered == {}

    @standins.on_site
    async def test_copy_is_not_taken_for_the_answer_of_the_next_caller(
        self, site
    ):
        for runner in await fill_pool(site):
            runner.scripted_actions.append(
                repeat_then_run(503, NOT_EXECUTED, seconds=0.0)
            )
        for number in range(4):
            head, body = await site.request(
                '/whole/x', request_id=f'r{number}'
            )
            assert (head.status, body) in (
                (200, b'whole answer'),
                (502, b''),
            )

    @standins.on_site
    async def test_stream_is_not_refused_after_a_copy(self, site):
        for runner in site.runners.values():
            await site.request('/stream/x', request_id=f'fill-{runner.id}')
            runner.default_action = repeat_then_run(503, NOT_EXECUTED)
        assert any(site.router.connections.idle.values())
        head, _ = await site.request('/stream/x')
        assert head.status == 502


class TestWholeAnswers:
    """Guards against answers to the request of another caller."""

    @pytest.mark.parametrize('status', (200, 500))
    @standins.on_site
    async def test_unnamed_copy_on_a_kept_connection_is_not_relayed(
        self, site, status
    ):
        seal = {'celeryward-response-seal': 'seal-copy'}
        for runner in await fill_pool(site):
            runner.default_action = repeat_then_run(status, seal, b'other')
        head, body = await site.request('/whole/x')
        assert (head.status, body) == (502, b'')


class TestNamedCopies:
    """Guards against answers that are lost behind a copy of another one."""

    COPIES = {
        'refusal': (503, NOT_EXECUTED),
        'misdirected': (421, {}),
        'answer': (200, {'celeryward-response-seal': 'seal'}, b'other'),
    }

    @staticmethod
    def copy(name, **more):
        """Return an action that writes a copy which names its request."""
        status, headers, *body = TestNamedCopies.COPIES[name]
        headers = {'celeryward-attempt-id': 'earlier', **headers, **more}
        return repeat_then_run(status, headers, *body)

    @pytest.mark.parametrize('name', COPIES)
    @pytest.mark.parametrize('path', ('/once/x', '/whole/x', '/stream/x'))
    @standins.on_site
    async def test_answer_behind_a_copy_is_relayed(self, site, name, path):
        for runner in site.runners.values():
            runner.default_action = self.copy(name)
        head, body = await site.request(path, 'POST', b'1')
        expected = b'whole answer'
        if path == '/stream/x':
            expected = standins.events(4)
        assert (head.status, body) == (200, expected)
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_answer_behind_a_copy_on_a_kept_connection(self, site):
        for runner in await fill_pool(site):
            runner.default_action = self.copy('refusal')
        head, body = await site.request('/whole/x')
        assert (head.status, body) == (200, b'whole answer')
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_connection_with_a_copy_is_not_kept(self, site):
        for runner in site.runners.values():
            runner.default_action = self.copy('answer')
        await site.request('/whole/x')
        assert not any(site.router.connections.idle.values())

    @standins.on_site
    async def test_unnamed_refusal_behind_a_copy_is_no_promise(self, site):
        async def refuse_after_copy(runner, connection, arrival):
            await write_answer(
                connection, 200, {'celeryward-attempt-id': 'earlier'}, b'other'
            )
            await write_answer(connection, 503, NOT_EXECUTED)
            await connection.wait_closed()

        for runner in site.runners.values():
            runner.default_action = refuse_after_copy
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 502
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_copies_without_end_are_given_up(self, site):
        async def repeat(runner, connection, arrival):
            for _ in range(100):
                await write_answer(
                    connection, 503, {'celeryward-attempt-id': 'earlier'}
                )
            await connection.wait_closed()

        for runner in site.runners.values():
            runner.default_action = repeat
        started = time.monotonic()
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 502
        assert time.monotonic() - started < 1.0

    @standins.on_site
    async def test_copy_without_end_is_given_up_at_the_deadline(self, site):
        async def repeat(runner, connection, arrival):
            headers = {
                'celeryward-attempt-id': 'earlier',
                'content-length': '1000000000',
            }
            await write_answer(connection, 200, headers)
            try:
                while True:
                    await connection.sock.sendall(b'x' * 1000)
                    await curio.sleep(0.01)
            except OSError as error:
                raise http.Disconnected(
                    str(error), step='answer', peer='test'
                ) from error

        for runner in site.runners.values():
            runner.default_action = repeat
        started = time.monotonic()
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status in (502, 504)
        # The timeout of the route, and 1 s for a busy host.
        assert time.monotonic() - started < 2.0 + 1.0

    @standins.on_site
    async def test_copy_that_ends_the_connection_leaves_no_answer(self, site):
        for runner in site.runners.values():
            runner.default_action = self.copy('answer', connection='close')
        head, body = await site.request('/once/x', 'POST', b'1')
        assert (head.status, body) == (502, b'')


class RepeatingService(service.ServiceStandIn):
    """A service that writes its last answer once more before the next one."""

    def __init__(self):
        super().__init__()
        self.last_answer = None

    async def answer(self, connection, received):
        """Write the last answer, then the one to this request."""
        if received.head.path != '/load':
            if self.last_answer is not None:
                await write_answer(connection, *self.last_answer)
            request_id = received.head.headers['x-request-id']
            path = msgspec.json.encode({'path': received.head.target})
            self.last_answer = (200, {'x-request-id': request_id}, path)
        await super().answer(connection, received)


class TestServices:
    """Guards against answers of services to another caller of a daemon."""

    def test_copy_with_an_id_that_callers_share_is_not_relayed(self, run):
        async def test():
            cluster = demo.Cluster()
            cluster.orders = RepeatingService()
            await cluster.start()
            port = cluster.daemon.listener.port
            headers = {'x-request-id': 'same', 'x-idempotent': 'true'}
            try:
                paths = []
                for name in ('first', 'second'):
                    example = demo.Example(
                        '', 'GET', f'/v1/services/orders/{name}', {}, headers
                    )
                    head, body = await demo.send_example(port, example)
                    if head.status == 200:
                        paths.append(msgspec.json.decode(body)['path'])
                return paths
            finally:
                await cluster.stop()

        assert run(test) in (['/first'], ['/first', '/second'])


class TestStore:
    """Guards against copies that make a configuration look confirmed."""

    @standins.on_site
    async def test_copy_of_a_watch_with_changes_confirms_nothing(self, site):
        store = site.store
        await store.put('config', 'main', standins.configuration(2))
        configuration = site.router.configuration
        await standins.wait_until(lambda: configuration.current.version == 2)
        earlier = {
            'events': store.events('config', 0),
            'currentRev': store.revision,
        }
        answer = store.answer

        async def repeat(connection, received):
            if 'watch=' in received.head.target:
                await base.send_json(connection, 200, earlier)
            else:
                await answer(connection, received)

        store.answer = repeat
        # A call that began before may still be answered truly.
        await curio.sleep(2 * site.tuning.configuration_wait)
        watcher = site.router.view.watchers[0]
        before = watcher.confirmed_at
        await curio.sleep(0.5)
        assert watcher.confirmed_at == before
        assert configuration.current.version == 2


class TestNewConnections:
    """Guards against refusals of requests that run on a new connection."""

    @pytest.mark.parametrize('name', UNNAMED_REFUSALS)
    @standins.on_site
    async def test_refusal_without_id_is_no_promise_for_what_runs_once(
        self, site, name
    ):
        """The request ran at both endpoints and its caller got 503."""
        status, headers = UNNAMED_REFUSALS[name]
        for runner in site.runners.values():
            runner.default_action = repeat_then_run(status, headers)
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert (head.status, len(site.arrivals())) == (502, 1)

    @pytest.mark.parametrize('name', UNNAMED_REFUSALS)
    @standins.on_site
    async def test_copy_that_lacks_the_id_of_a_refusal_is_no_promise(
        self, site, name
    ):
        """The request ran at both endpoints and its caller got 503."""
        status, headers = UNNAMED_REFUSALS[name]
        more = {key.replace('-', '_'): headers[key] for key in headers}
        for runner in site.runners.values():
            runner.scripted_actions.append(
                standins.respond_with(status, **more)
            )
            runner.default_action = repeat_then_run(status, headers)
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 503
        site.router.outcomes.statistics.clear()
        before = len(site.arrivals())
        head, _ = await site.request('/once/x', 'POST', b'1', request_id='r2')
        assert head.status == 502
        assert len(site.arrivals()) == before + 1
