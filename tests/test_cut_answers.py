"""Answers of services that are cut off in their head or body."""

import contextlib
import socket
import struct

from adapter import store
import msgspec
import pytest

from celeryward import http
from celeryward.objects import client as objects
from celeryward.operators import demo
from celeryward.routers import client as routers
from celeryward.routers import members
from celeryward.routers import protocol as router_protocol
from celeryward import settings
from celeryward.standins import base
from celeryward.standins import service
from tests import fakes

BODY = b'{"state": "reserved"}'
# Two bytes of the status line, and all but the last byte of the answer.
CUTS = (2, 9, 13, 17, 30, 60, 75, 90, -len(BODY) - 4, -len(BODY), -1)
ENDS = ('close', 'reset', 'half-close')


def answer_bytes(request_id, lines=(), body=BODY, status='200 OK'):
    """Return an answer whose length is stated unless lines are given."""
    lines = lines or (f'content-length: {len(body)}',)
    named = ('content-type: application/json', f'x-request-id: {request_id}')
    head = '\r\n'.join((f'HTTP/1.1 {status}', *named, *lines))
    return head.encode() + b'\r\n\r\n' + body


async def end_connection(connection, end):
    """End a connection in one of the ways of ENDS."""
    if end == 'reset':
        linger = struct.pack('ii', 1, 0)
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    if end == 'half-close':
        await connection.sock.shutdown(socket.SHUT_WR)
        await connection.wait_closed()
    raise http.Disconnected('cut', step='answer', peer='test')


class CuttingService(service.ServiceStandIn):
    """A service that writes raw answers; sound ones once none is left.

    ``raw_answers`` has functions that return bytes for a request id, and how
    the connection ends; None keeps it open.
    """

    def __init__(self):
        super().__init__()
        self.raw_answers = []

    async def answer(self, connection, received):
        """Write the next raw answer, or serve the request."""
        if received.head.path == '/load' or not self.raw_answers:
            await super().answer(connection, received)
            return
        request_id = received.head.headers['x-request-id']
        self.executed[request_id] += 1
        write, end = self.raw_answers.pop(0)
        with contextlib.suppress(OSError):
            await connection.sock.sendall(write(request_id))
        if end is None:
            await connection.wait_closed()
        await end_connection(connection, end)


async def with_service(test):
    """Run a test on a daemon and its :class:`CuttingService`."""
    cluster = demo.Cluster()
    cluster.orders = CuttingService()
    await cluster.start()
    try:
        return await test(cluster.orders, cluster.daemon.listener.port)
    finally:
        await cluster.stop()


async def ask(port, idempotent=False, method='POST'):
    """Send a request to the service; return head and body of the answer."""
    headers = {'x-idempotent': 'true' if idempotent else 'false'}
    headers['x-timeout-ms'] = '500'
    example = demo.Example('', method, '/v1/services/orders/x', {}, headers)
    return await demo.send_example(port, example)


def cut(position, **options):
    """Return a function that writes an answer up to a position."""
    return lambda request_id: answer_bytes(request_id, **options)[:position]


CHUNK = b'%x\r\n%s\r\n' % (len(BODY), BODY)
CHUNKED = ('transfer-encoding: chunked',)
CUT_BODIES = {
    'no frame': cut(None, lines=('x-none: 1',)),
    'no frame, half a body': cut(-5, lines=('x-none: 1',)),
    'no frame, no body': cut(-len(BODY), lines=('x-none: 1',)),
    'length too long': cut(None, lines=('content-length: 500',)),
    'chunk cut': cut(-8, lines=CHUNKED, body=CHUNK),
    'no last chunk': cut(None, lines=CHUNKED, body=CHUNK),
    'last chunk cut': cut(-1, lines=CHUNKED, body=CHUNK + b'0\r\n\r\n'),
    'size of a chunk cut': cut(None, lines=CHUNKED, body=CHUNK + b'1'),
    'two lengths': cut(
        None, lines=('content-length: 5', f'content-length: {len(BODY)}')
    ),
    'list of lengths': cut(None, lines=(f'content-length: 5, {len(BODY)}',)),
    'two transfer codings': cut(
        None, lines=('transfer-encoding: gzip, chunked',), body=CHUNK
    ),
    'negative length': cut(None, lines=('content-length: -1',)),
}


def is_unknown(head):
    """Return whether an error says that the request may have run."""
    return head.status == 502 and head.headers['x-execution'] == 'unknown'


class TestServices:
    """Guards against answers of services that are relayed in part."""

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('position', CUTS)
    def test_cut_answer_leaves_the_outcome_unknown(self, run, position, end):
        async def test(orders, port):
            orders.raw_answers = [(cut(position), end)]
            head, _ = await ask(port)
            assert is_unknown(head)
            assert sum(orders.executed.values()) == 1

        run(with_service, test)

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('name', CUT_BODIES)
    def test_body_without_its_end_is_no_answer(self, run, name, end):
        async def test(orders, port):
            orders.raw_answers = [(CUT_BODIES[name], end)]
            head, _ = await ask(port)
            assert is_unknown(head)
            assert sum(orders.executed.values()) == 1

        run(with_service, test)

    @pytest.mark.parametrize('end', ENDS)
    @pytest.mark.parametrize('kept', (False, True))
    def test_repeatable_request_gets_the_whole_answer(self, run, kept, end):
        async def test(orders, port):
            for answer in (cut(30), cut(-3), CUT_BODIES['no frame']):
                if kept:
                    assert (await ask(port, True))[0].status == 200
                orders.raw_answers = [(answer, end)]
                head, body = await ask(port, True)
                assert head.status == 200 and b'"executed"' in body

        run(with_service, test)

    @pytest.mark.parametrize('name', CUT_BODIES)
    def test_answer_is_never_relayed_in_part(self, run, name):
        async def test(orders, port):
            orders.raw_answers = [(CUT_BODIES[name], 'close')] * 9
            head, _ = await ask(port, True)
            assert is_unknown(head)

        run(with_service, test)

    @pytest.mark.parametrize('name', CUT_BODIES)
    def test_stalled_answer_ends_at_the_deadline(self, run, name):
        async def test(orders, port):
            orders.raw_answers = [(CUT_BODIES[name], None)]
            head, _ = await ask(port)
            assert is_unknown(head)

        run(with_service, test)

    def test_bytes_after_an_answer_reach_no_other_caller(self, run):
        async def test(orders, port):
            orders.raw_answers = [
                (cut(None, lines=('content-length: 0',)), 'close'),
                (cut(None, lines=('content-length: 9',)), 'close'),
            ]
            bodies = [(await ask(port, True))[1] for _ in range(4)]
            assert bodies[:2] == [b'', BODY[:9]]
            assert all(b'"executed"' in body for body in bodies[2:])

        run(with_service, test)

    @pytest.mark.parametrize('status', ('204 No Content', '304 Unchanged'))
    def test_answer_that_has_no_body_is_whole(self, run, status):
        async def test(orders, port):
            write = cut(None, status=status, lines=('x-none: 1',), body=b'')
            orders.raw_answers = [(write, 'close')]
            head, body = await ask(port)
            assert (str(head.status), body) == (status[:3], b'')

        run(with_service, test)

    def test_answer_to_head_needs_no_length(self, run):
        async def test(orders, port):
            write = cut(None, lines=('x-none: 1',), body=b'')
            orders.raw_answers = [(write, 'close')]
            head, _ = await ask(port, method='HEAD')
            assert head.status == 200

        run(with_service, test)


class TestHead:
    """Guards against HEAD requests whose connection closes unanswered."""

    @pytest.mark.parametrize('end', ENDS)
    def test_failed_request_gets_the_head_of_an_error(self, run, end):
        async def test(orders, port):
            orders.raw_answers = [(cut(30), end)] * 9
            head, body = await ask(port, method='HEAD')
            assert is_unknown(head) and body == b''

        run(with_service, test)

    def test_refused_request_gets_the_head_of_an_error(self, run):
        async def test(orders, port):
            example = demo.Example('', 'HEAD', '/v1/services/none/x', {})
            head, body = await demo.send_example(port, example)
            assert (head.status, body) == (404, b'')
            assert int(head.headers['content-length']) > 0

        run(with_service, test)


class RawPeer(base.StandIn):
    """A store or router that writes raw answers, and then ends connections.

    ``raw_answers`` has bytes, or functions that return them for a head.
    """

    def __init__(self):
        super().__init__()
        self.raw_answers = []
        self.end = 'close'

    async def answer(self, connection, received):
        """Write the next raw answer."""
        raw = self.raw_answers.pop(0)
        with contextlib.suppress(OSError):
            await connection.sock.sendall(raw)
        if self.end != 'keep':
            await end_connection(connection, self.end)


def framed(value, frame, status='200 OK'):
    """Return an answer with a JSON body in one of three framings."""
    body = msgspec.json.encode(value)
    line = b''
    if frame == 'length':
        line = b'content-length: %d\r\n' % len(body)
    elif frame == 'chunks':
        line = b'transfer-encoding: chunked\r\n'
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return b'HTTP/1.1 %s\r\n%s\r\n%s' % (status.encode(), line, body)


def store_client(port):
    """Return a client of the platform's store."""
    address = settings.Address('127.0.0.1', port)
    return objects.ObjectClient(address, 1.0, 'test', store.StoreDialect())


def object_client(port):
    """Return a client of the product's own object API."""
    return objects.ObjectClient(
        settings.Address('127.0.0.1', port), 1.0, 'test'
    )


def router_client(port):
    """Return a client of another router."""
    member = members.Member('router-2', 'a', '127.0.0.1', port)
    return routers.RouterClient(member, 'own')


ENTRY = {
    'meta': {'name': 'a', 'revision': 3, 'created': 3},
    'spec': {'x': 1},
    'status': None,
}
STORED = {'kind': 'config', 'name': 'a', 'spec': {}, 'revision': 3}
PAGE = {'entries': [ENTRY], 'hasMore': False, 'currentRev': 9}
CHANGES = {
    'events': [{'object': ENTRY, 'deleted': False}],
    'currentRev': 9,
}
# What each reader of a peer takes as a whole answer.
READS = {
    'page of the store': (
        store_client,
        lambda client: client.list_pages('config'),
        PAGE,
    ),
    'empty page': (
        store_client,
        lambda client: client.list_pages('config'),
        {'entries': [], 'hasMore': False, 'currentRev': 9},
    ),
    'changes of the store': (
        store_client,
        lambda client: client.changes('config', 2, 0.0),
        CHANGES,
    ),
    'object of the store': (
        store_client,
        lambda client: client.get('config', 'a'),
        ENTRY,
    ),
    'list of the object API': (
        object_client,
        lambda client: client.list('config'),
        {'items': [STORED], 'revision': 9},
    ),
    'hosts': (object_client, lambda client: client.hosts(), {'items': []}),
    'list of a router': (
        router_client,
        lambda client: client.list_pages('config'),
        {'items': [STORED], 'revision': 9, 'confirmed_seconds': 0.0},
    ),
    'changes of a router': (
        router_client,
        lambda client: client.changes('config', 2, 0.0),
        {
            'changes': [],
            'revision': 9,
            'confirmed_seconds': 0.0,
            'away_seconds': None,
        },
    ),
    'confirmation of a router': (
        router_client,
        lambda client: client.report(router_protocol.EvidenceReport((), ())),
        {},
    ),
}


def cut_positions(whole):
    """Return where to cut an answer: all around its borders, and others."""
    size = len(whole)
    head = whole.index(b'\r\n\r\n') + 4
    near = (*range(head - 4, head + 4), *range(size - 8, size))
    return sorted({*range(0, size, 7), *near} & set(range(size)))


class TestReads:
    """Guards against cut lists, changes and confirmations that count."""

    @pytest.mark.parametrize('end', ('close', 'reset'))
    @pytest.mark.parametrize('frame', ('length', 'chunks', 'none'))
    @pytest.mark.parametrize('name', READS)
    @fakes.in_kernel
    async def test_cut_answer_is_an_error(self, name, frame, end):
        make_client, read, value = READS[name]
        whole = framed(value, frame)
        peer = RawPeer()
        await peer.start()
        try:
            client = make_client(peer.port)
            for position in cut_positions(whole):
                peer.raw_answers = [whole[:position]]
                peer.end = end
                assert (await read(client)).is_err(), whole[:position]
            peer.raw_answers = [whole]
            peer.end = 'close'
            is_router = make_client is router_client
            is_whole = frame != 'none' or not is_router
            assert (await read(client)).is_ok() == is_whole
        finally:
            await peer.stop()

    @fakes.in_kernel
    async def test_list_with_a_cut_page_is_an_error(self):
        peer = RawPeer()
        await peer.start()
        try:
            client = store_client(peer.port)
            first = framed({**PAGE, 'hasMore': True}, 'none')
            peer.raw_answers = [first, framed(PAGE, 'none')[:-2]]
            assert (await client.list_pages('config')).is_err()
        finally:
            await peer.stop()
