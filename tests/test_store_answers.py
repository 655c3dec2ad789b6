"""Answers of the store to writes that are cut, and copies of answers."""

import contextlib

from adapter import store
import pytest

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.objects import client as objects
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import base
from tests import fakes

STORED = protocol.StoredObject('config', 'a', {}, revision=3)


def entry(name, revision):
    """Return an object in the format of the platform's store."""
    meta = {'name': name, 'revision': revision, 'created': 1}
    return {'meta': meta, 'spec': {}, 'status': None}


def page(revision, *entries):
    """Return a page of a list."""
    return {
        'entries': list(entries),
        'hasMore': False,
        'currentRev': revision,
    }


def changes(revision, *entries):
    """Return an answer to a long poll."""
    events = [{'object': each, 'deleted': False} for each in entries]
    return {'events': events, 'currentRev': revision}


class Store(base.StandIn):
    """A store that answers from a table by path, and may repeat an answer.

    ``repeated`` is a path whose answer is written once more, late: before the
    next answer on the same connection, once its request has arrived.
    """

    def __init__(self, answers):
        super().__init__()
        self.answers = answers
        self.repeated = None
        self.last_targets = {}

    async def answer(self, connection, received):
        """Write a late copy, then the answer that is due."""
        path = received.head.target.partition('waitMs')[0]
        last = self.last_targets.get(connection)
        if last == self.repeated and last is not None:
            await base.send_json(connection, 200, self.answers[last])
            connection.h11 = http.h11.Connection(http.h11.SERVER)
            connection.h11.receive_data(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            while connection.h11.next_event() is not http.h11.NEED_DATA:
                if connection.h11.their_state is http.h11.DONE:
                    break
        self.last_targets[connection] = path
        await base.send_json(connection, 200, self.answers[path])


ANSWERS = {
    '/api/objects/config': page(10, entry('a', 10)),
    '/api/objects/servers': page(20, entry('b', 20)),
    '/api/objects/config?watch=10&': changes(11, entry('a', 11)),
    '/api/objects/servers?watch=20&': changes(22, entry('b', 22)),
    '/api/objects/config/a': entry('a', 11),
    '/api/objects/servers/a': entry('a', 12),
}
READS = {
    'config list': ('/api/objects/config', ('list_pages', 'config')),
    'servers list': ('/api/objects/servers', ('list_pages', 'servers')),
    'config watch': (
        '/api/objects/config?watch=10&',
        ('changes', 'config', 10, 0.0),
    ),
    'servers watch': (
        '/api/objects/servers?watch=20&',
        ('changes', 'servers', 20, 0.0),
    ),
    'config object': ('/api/objects/config/a', ('get', 'config', 'a')),
    'servers object': ('/api/objects/servers/a', ('get', 'servers', 'a')),
}


def store_client(port):
    """Return a client of the platform's store."""
    address = settings.Address('127.0.0.1', port)
    return objects.ObjectClient(address, 1.0, 'test', store.StoreDialect())


async def read(client, name):
    """Make one of READS; return its result without its confirmation."""
    method, *arguments = READS[name][1]
    outcome = await getattr(client, method)(*arguments)
    if outcome.is_err():
        return 'error'
    found = outcome.unwrap()
    return getattr(found, 'revision'), getattr(found, 'items', ())


class TestLateCopies:
    """Guards against a copy of another answer that is taken for one."""

    @pytest.mark.parametrize('second', READS)
    @pytest.mark.parametrize('first', READS)
    @fakes.in_kernel
    async def test_copy_is_not_taken_for_another_answer(self, first, second):
        peer = Store(ANSWERS)
        await peer.start()
        try:
            client = store_client(peer.port)
            expected = await read(client, second)
            assert expected != 'error'
            client = store_client(peer.port)
            peer.repeated = READS[first][0]
            await read(client, first)
            found = await read(client, second)
            assert found in (expected, 'error')
        finally:
            await peer.stop()


class CutWrites(base.StandIn):
    """A store that applies writes and cuts its answers."""

    BODIES = {
        'cut object': b'{"kind": "config", "na',
        'no body': b'',
        'no object': b'[]',
    }

    def __init__(self, name):
        super().__init__()
        self.name = name
        self.applied = 0

    async def answer(self, connection, received):
        """Write a head without a length and a part of the body."""
        self.applied += 1
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        with contextlib.suppress(OSError):
            await connection.sock.sendall(head + self.BODIES[self.name])
        raise http.Disconnected('cut', step='answer', peer='test')


class TestWrites:
    """Guards against writes that took effect and count as refused."""

    CALLS = {
        'create': lambda client: client.create(STORED),
        'put': lambda client: client.put(STORED, 3),
        'delete': lambda client: client.delete(STORED),
        'status': lambda client: client.put_status(STORED),
    }
    DIALECTS = {
        'platform': store.StoreDialect(),
        'product': protocol.ObjectDialect(),
    }

    @pytest.mark.parametrize('name', CutWrites.BODIES)
    @pytest.mark.parametrize(
        ('dialect', 'method'),
        (
            ('platform', 'create'),
            ('platform', 'put'),
            ('platform', 'delete'),
            ('platform', 'status'),
            ('product', 'create'),
            ('product', 'put'),
            ('product', 'delete'),
        ),
    )
    @fakes.in_kernel
    async def test_outcome_of_a_cut_answer_is_unknown(
        self, dialect, method, name
    ):
        peer = CutWrites(name)
        await peer.start()
        try:
            client = store_client(peer.port)
            client.dialect = self.DIALECTS[dialect]
            outcome = await self.CALLS[method](client)
            assert peer.applied == 1
            assert isinstance(outcome.unwrap_err(), errors.WriteUnknown)
        finally:
            await peer.stop()


class CutWatch(base.StandIn):
    """A store whose watch ends after some bytes.

    :param int limit: bytes of the body that are written.
    :param bool ends_whole: whether its last chunk follows.
    """

    LINES = (
        b'{"type": "bookmark", "revision": 1}\n'
        b'{"type": "bookmark", "revision": 23}\n'
    )

    def __init__(self, limit, ends_whole):
        super().__init__()
        self.body = self.LINES[:limit]
        self.ends_whole = ends_whole

    async def answer(self, connection, received):
        """Write a part of a watch."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        chunk = b'%x\r\n%s\r\n' % (len(self.body), self.body)
        chunks = chunk if self.body else b''
        end = b'0\r\n\r\n' if self.ends_whole else b''
        with contextlib.suppress(OSError):
            await connection.sock.sendall(head + chunks + end)
        raise http.Disconnected('cut', step='answer', peer='test')


class TestWatches:
    """Guards against parts of a change that are taken for one."""

    @pytest.mark.parametrize('ends_whole', (False, True))
    @fakes.in_kernel
    async def test_cut_watch_brings_whole_changes_only(self, ends_whole):
        for limit in range(len(CutWatch.LINES)):
            peer = CutWatch(limit, ends_whole)
            await peer.start()
            address = settings.Address('127.0.0.1', peer.port)
            client = objects.ObjectClient(address, 1.0, 'test')
            watch = client.watch(
                ('Host',), 0, lambda: deadlines.Deadline.after(1.0)
            )
            found = [change async for change in watch]
            changes = [each.unwrap() for each in found if each.is_ok()]
            whole_lines = CutWatch.LINES[:limit].count(b'\n')
            assert [each.revision for each in changes] == [1][:whole_lines]
            assert (len(found) > len(changes)) == (not ends_whole)
            await peer.stop()
