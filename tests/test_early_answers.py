"""Answers that end before the request was written, or have odd statuses."""

import itertools

from adapter import store
import curio
import pytest

from celeryward import deadlines
from celeryward import http
from celeryward import listener
from celeryward import logs
from celeryward.objects import client as objects
from celeryward.objects import protocol
from celeryward.operators import demo
from celeryward.routers import client as routers
from celeryward.routers import members
from celeryward import settings
from celeryward import sockets
from tests import early_answers as early
from tests import fakes
from tests import platform_standins as standins

ENDS = ('fin', 'reset', 'fin-reset')
CASES = tuple(itertools.product(early.SIZES, ('early', 'late'), ENDS))
# Longer than a deadline in these tests by far; a write without one stalls.
STALL_SECONDS = 12.0
all_ends = pytest.mark.parametrize(('size', 'moment', 'end'), CASES)
odd_heads = pytest.mark.parametrize(
    ('name', 'size'), tuple(itertools.product(early.NO_RESPONSES, early.SIZES))
)


def is_whole(size, moment, end):
    """Return whether an answer without a length is complete.

    The smallest upload is written before an endpoint can answer.
    """
    return end == 'fin' and (moment == 'late' or size == early.SIZES[0])


incomplete_ends = pytest.mark.parametrize(
    ('size', 'moment', 'end'), [case for case in CASES if not is_whole(*case)]
)


@pytest.fixture(autouse=True)
def short_stop(monkeypatch):
    """Stop the listeners of each test at once: none has callers left."""
    monkeypatch.setattr(listener, 'LAST_ACCEPT_SECONDS', 0.001)


class TestConnection:
    """Guards against ends of answers that are read late."""

    @fakes.in_kernel
    async def test_end_during_a_write_is_remembered(self):
        peer = early.EarlyAnswers()
        peer.default_script = early.answer('early', 'fin')
        await peer.start()
        deadline = deadlines.Deadline.after(STALL_SECONDS)
        connection = await http.connect('127.0.0.1', peer.port, deadline)
        try:
            body = bytes(early.SIZES[-1])
            await http.send_request(connection, 'POST', '/', {}, body)
            await standins.wait_until(
                lambda: not sockets.count_unreceived(connection.sock)
            )
            await connection.receive_response(deadline)
            with pytest.raises(http.Disconnected):
                await connection.receive_body('read body', deadline)
        finally:
            await connection.close()
            await peer.stop()


class TestRouter:
    """Guards against parts of endpoints' answers that callers get as whole."""

    @all_ends
    @early.on_site
    async def test_answer_without_length(self, site, size, moment, end):
        early.set_script(site, early.answer(moment, end))
        whole = is_whole(size, moment, end)
        expected = (200, early.PART) if whole else (502, b'')
        for path in ('/once/x', '/stream/x', '/whole/x'):
            head, body = await site.request(path, 'POST', bytes(size))
            assert (head.status, body) == expected
            if path == '/once/x':
                assert sum(r.requests for r in site.runners.values()) == 1

    @incomplete_ends
    @early.on_site
    async def test_repeatable_request_is_served_elsewhere(
        self, site, size, moment, end
    ):
        script = early.once(early.answer(moment, end))
        early.set_script(site, script)
        lines = []
        sink = logs.logger.add(lines.append, level='INFO')
        head, body = await site.request('/whole/x', 'POST', bytes(size))
        logs.logger.remove(sink)
        assert (head.status, body) == (200, b'whole answer')
        count = site.router.metrics.registry.get_sample_value(
            'celeryward_router_dispatches_failed_total',
            {'service': 'app', 'code': 'connection_failed'},
        )
        assert count == 1
        failed = [line for line in lines if 'dispatch failed' in line]
        assert [line.record['extra']['request_id'] for line in failed] == [
            'request-1'
        ]

    @pytest.mark.parametrize('path', ('/stream/x', '/rigid/x'))
    @pytest.mark.parametrize('end', ('fin', 'reset'))
    @pytest.mark.parametrize('size', early.SIZES[1:])
    @early.on_site
    async def test_stream_that_ends_early_is_not_complete(
        self, site, size, end, path
    ):
        script = early.answer(
            'early', end, early.STREAM_LINES, body=standins.events(2)
        )
        early.set_script(site, script)
        try:
            head, _ = await site.request(path, 'POST', bytes(size))
        except http.Disconnected:
            return
        assert head.status == 502

    @pytest.mark.parametrize('size', early.SIZES)
    @early.on_site
    async def test_early_answer_with_length_is_complete(self, site, size):
        early.set_script(site, early.answer('early', 'keep', early.FRAMED))
        head, body = await site.request('/once/x', 'POST', bytes(size))
        assert (head.status, body) == (200, early.PART)
        runners = site.runners.values()
        await standins.wait_until(lambda: any(r.received for r in runners))
        assert sum((r.received for r in runners), []) == [size]

    @pytest.mark.parametrize('lines', (early.FRAMED, early.UNFRAMED))
    @pytest.mark.parametrize('size', early.SIZES)
    @early.on_site
    async def test_interim_responses_are_skipped(self, site, size, lines):
        start = early.INTERIM + b'HTTP/1.1 200 OK\r\n'
        early.set_script(site, early.answer('late', 'fin', lines, start))
        head, body = await site.request('/once/x', 'POST', bytes(size))
        assert (head.status, body) == (200, early.PART)

    @odd_heads
    @early.on_site
    async def test_odd_head_is_no_response(self, site, name, size):
        early.set_script(site, early.odd_answer(name))
        head, body = await site.request('/once/x', 'POST', bytes(size))
        assert (head.status, body) == (502, b'')

    @early.on_site
    async def test_aborted_answer_is_not_complete(self, site):
        early.set_script(site, early.answer('late', 'keep'))
        request = await curio.spawn(site.request, '/whole/x')
        forwarder = site.router.forwarder
        await standins.wait_until(lambda: forwarder.exchanges)
        await standins.wait_until(lambda: early.has_part(forwarder))
        early.set_script(site, None)
        await forwarder.abort(tuple(forwarder.exchanges.values()))
        head, body = await request.join()
        assert (head.status, body) == (200, b'whole answer')

    @pytest.mark.parametrize('name', early.FRAMES)
    @early.on_site
    async def test_only_one_frame_of_a_body_counts(self, site, name):
        lines, body, is_answer = early.FRAMES[name]
        early.set_script(site, early.answer('late', 'fin', lines, body=body))
        head, body = await site.request('/once/x', 'POST', b'x')
        expected = (200, early.PART) if is_answer else (502, b'')
        assert (head.status, body) == expected

    @pytest.mark.parametrize('status', (204, 304))
    @early.on_site
    async def test_body_after_a_bodiless_head_is_dropped(self, site, status):
        start = b'HTTP/1.1 %d None\r\n' % status
        script = early.answer('late', 'keep', early.FRAMED, start)
        early.set_script(site, early.once(script))
        head, body = await site.request('/whole/x', 'POST', b'x')
        assert (head.status, body) == (status, b'')
        assert ('content-length' in head.headers) == (status == 304)
        for _ in range(2):
            head, body = await site.request('/whole/x', 'POST', b'x')
            assert (head.status, body) == (200, b'whole answer')

    @early.on_site
    async def test_head_that_comes_in_pieces_is_read(self, site):
        early.set_script(site, early.answer_in_pieces)
        head, body = await site.request('/once/x', 'POST', b'x')
        assert (head.status, body) == (200, early.PART)

    @early.on_site
    async def test_write_ends_at_the_deadline(self, site, monkeypatch):
        early.let_writes_stall(monkeypatch)
        early.set_script(site, early.never_read)
        body = bytes(early.SIZES[-1])
        async with curio.timeout_after(STALL_SECONDS):
            head, _ = await site.request('/once/x', 'POST', body)
        assert head.status == 504


async def ask(port, size, idempotent=False, timeout_ms=5000):
    """Send a request to the service; return head and body of the answer."""
    headers = {'x-idempotent': 'true' if idempotent else 'false'}
    headers['x-timeout-ms'] = str(timeout_ms)
    path = '/v1/services/orders/x'
    body = {'text': 'x' * size}
    return await demo.send_example(
        port, demo.Example('', 'POST', path, body, headers)
    )


class TestDaemon:
    """Guards against parts of services' answers that callers get as whole."""

    @pytest.fixture
    def with_service(self, run):
        """Return a function that runs a test on a daemon and a service."""

        async def run_with(test):
            cluster = demo.Cluster()
            cluster.orders = early.EarlyService()
            await cluster.start()
            try:
                await test(cluster.orders, cluster.daemon.listener.port)
            finally:
                await cluster.stop()

        return lambda test: run(run_with, test)

    @all_ends
    def test_answer_without_length(self, with_service, size, moment, end):
        async def test(orders, port):
            orders.default_script = early.answer(moment, end)
            head, _ = await ask(port, size)
            assert head.status == 502
            assert head.headers['x-execution'] == 'unknown'
            assert orders.requests == 1

        with_service(test)

    @all_ends
    def test_repeatable_request_runs_again(
        self, with_service, size, moment, end
    ):
        async def test(orders, port):
            orders.default_script = early.once(early.answer(moment, end))
            head, body = await ask(port, size, True)
            assert head.status == 200 and b'"executed"' in body

        with_service(test)

    @pytest.mark.parametrize('size', early.SIZES)
    def test_early_answer_with_length_is_complete(self, with_service, size):
        async def test(orders, port):
            orders.default_script = early.answer('early', 'keep', early.FRAMED)
            head, body = await ask(port, size)
            assert (head.status, body) == (200, early.PART)
            await standins.wait_until(lambda: orders.received)

        with_service(test)

    @odd_heads
    def test_odd_head_is_no_response(self, with_service, name, size):
        async def test(orders, port):
            orders.default_script = early.odd_answer(name)
            assert (await ask(port, size))[0].status == 502

        with_service(test)

    def test_interim_responses_are_skipped(self, with_service):
        async def test(orders, port):
            start = early.INTERIM + b'HTTP/1.1 200 OK\r\n'
            script = early.answer('late', 'fin', early.FRAMED, start)
            orders.default_script = script
            head, body = await ask(port, early.SIZES[-1])
            assert (head.status, body) == (200, early.PART)

        with_service(test)

    def test_write_ends_at_the_deadline(self, with_service, monkeypatch):
        async def test(orders, port):
            orders.default_script = early.never_read
            async with curio.timeout_after(STALL_SECONDS):
                head, _ = await ask(port, early.SIZES[-1], timeout_ms=300)
            assert head.status in (502, 504)

        early.let_writes_stall(monkeypatch)
        with_service(test)


def object_client(port, dialect=None):
    """Return a client of the product's own object API."""
    address = settings.Address('127.0.0.1', port)
    return objects.ObjectClient(address, 5.0, 'test', dialect)


def store_client(port):
    """Return a client of the platform's store."""
    return object_client(port, store.StoreDialect())


def router_client(port):
    """Return a client of another router."""
    member = members.Member('router-2', 'a', '127.0.0.1', port)
    return routers.RouterClient(member, 'own')


class PeerCalls:
    """Cases that all clients of stores and routers have in common."""

    make_client = None
    # Whether an orderly end may end an answer without a length.
    is_whole = staticmethod(is_whole)

    async def call(self, size, script, timeout=5.0):
        """Return the result of a call that a script answers."""
        peer = early.EarlyAnswers()
        peer.default_script = script
        await peer.start()
        try:
            client = type(self).make_client(peer.port)
            client.timeout = timeout
            return await client.call('POST', '/x', body=bytes(size))
        finally:
            await peer.stop()

    @all_ends
    @fakes.in_kernel
    async def test_answer_without_length(self, size, moment, end):
        outcome = await self.call(size, early.answer(moment, end))
        assert outcome.is_ok() == self.is_whole(size, moment, end)

    @pytest.mark.parametrize('size', early.SIZES)
    @fakes.in_kernel
    async def test_early_answer_with_length_is_complete(self, size):
        script = early.answer('early', 'keep', early.FRAMED)
        assert (await self.call(size, script)).unwrap() == early.PART

    @odd_heads
    @fakes.in_kernel
    async def test_odd_head_is_no_response(self, name, size):
        script = early.odd_answer(name)
        assert (await self.call(size, script)).is_err()

    @fakes.in_kernel
    async def test_interim_responses_are_skipped(self):
        start = early.INTERIM + b'HTTP/1.1 200 OK\r\n'
        script = early.answer('late', 'fin', early.FRAMED, start)
        assert (await self.call(early.SIZES[-1], script)).is_ok()

    @fakes.in_kernel
    async def test_write_ends_at_the_deadline(self, monkeypatch):
        early.let_writes_stall(monkeypatch)
        async with curio.timeout_after(STALL_SECONDS):
            outcome = await self.call(early.SIZES[-1], early.never_read, 0.3)
        assert outcome.is_err()


class TestStore(PeerCalls):
    """Guards against parts of the store's answers that count as whole."""

    make_client = staticmethod(store_client)


class TestObjects(PeerCalls):
    """Guards against parts of the object API's answers that count."""

    make_client = staticmethod(object_client)

    @fakes.in_kernel
    async def test_outcome_of_a_cut_write_is_unknown(self):
        peer = early.EarlyAnswers()
        peer.default_script = early.answer('early', 'fin')
        await peer.start()
        try:
            spec = {'text': 'x' * early.SIZES[-1]}
            stored = protocol.StoredObject('config', 'a', spec)
            outcome = await object_client(peer.port).create(stored)
            assert outcome.unwrap_err().code == 'write_unknown'
        finally:
            await peer.stop()


class TestRouterCalls(PeerCalls):
    """Guards against parts of routers' answers that confirm a call."""

    make_client = staticmethod(router_client)

    @staticmethod
    def is_whole(size, moment, end):
        """Routers always state how long their answers are."""
        return False
