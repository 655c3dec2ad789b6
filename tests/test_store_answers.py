"""Answers of the store to writes that are cut, and copies of answers."""

import contextlib

from adapter import store
import pytest

from celeryward import errors
from celeryward import http
from celeryward.objects import client as objects
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import base
from tests import fakes

STORED = protocol.StoredObject('config', 'a', {}, revision=3)


def store_client(port):
    """Return a client of the platform's store."""
    address = settings.Address('127.0.0.1', port)
    return objects.ObjectClient(address, 1.0, 'test', store.StoreDialect())


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
