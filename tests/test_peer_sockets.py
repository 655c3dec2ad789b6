"""Limits of connections between daemons, on sockets of this process."""

import socket

import curio
from h2 import connection
import pytest

from celeryward import closings
from celeryward import connection_limits
from celeryward.daemons import bridge
from celeryward import open_connections
from celeryward import sockets
from tests import test_peer_limits

SECONDS = 20.0


@pytest.fixture
def check_causes(run):
    """Return a function that checks why connections are closed.

    It takes the limits, a coroutine function of the port, and the causes.
    """

    def check(limits, use, expected):
        causes = []

        async def test():
            closed = closings.Closings(
                'peers', lambda _, cause: causes.append(cause)
            )
            link = bridge.Bridge('127.0.0.1', 0, limits, closed)
            await link.start()
            try:
                await curio.run_in_thread(use, link.port)
            finally:
                await link.stop()

        run(test)
        assert causes == expected

    return check


def connect(port):
    """Return a connected socket."""
    return socket.create_connection(('127.0.0.1', port), SECONDS)


def wait_for_end(sock):
    """Read until the other side closes the connection."""
    try:
        while sock.recv(65536):
            pass
    except ConnectionResetError:
        return


class TestPeerListener:
    """Guards against calls without end, and refusals of new daemons."""

    @pytest.fixture(autouse=True)
    def short_timeout(self, monkeypatch):
        monkeypatch.setattr(bridge, 'REPLY_TIMEOUT_SECONDS', 0.1)

    def test_unfinished_request_ends_its_connection(self, check_causes):
        def use(port):
            client = connection.H2Connection()
            client.initiate_connection()
            client.send_headers(1, test_peer_limits.HEADERS)
            with connect(port) as sock:
                sock.sendall(client.data_to_send())
                wait_for_end(sock)

        check_causes(bridge.NO_LIMITS, use, ['input'])

    def test_new_connection_without_room_is_refused(self, check_causes):
        def use(port):
            with connect(port) as first, connect(port) as second:
                assert first.recv(1)
                wait_for_end(second)

        limits = connection_limits.ListenerLimits(1, 1)
        check_causes(limits, use, ['address'])

    def test_unread_responses_keep_no_place(self, check_causes, monkeypatch):
        monkeypatch.setattr(open_connections, 'MIN_WAIT_SECONDS', 0.0)
        monkeypatch.setattr(sockets, 'count_unsent', lambda sock: 1)

        def use(port):
            with connect(port) as first:
                assert first.recv(1)
                with connect(port) as second:
                    wait_for_end(first)
                    assert second.recv(1)

        limits = connection_limits.ListenerLimits(1, 1, write_seconds=0.0)
        check_causes(limits, use, ['unread'])

    def test_idle_connection_makes_room(self, check_causes, monkeypatch):
        monkeypatch.setattr(open_connections, 'MIN_WAIT_SECONDS', 0.0)

        def use(port):
            with connect(port) as first:
                assert first.recv(1)
                with connect(port) as second:
                    wait_for_end(first)
                    assert second.recv(1)

        limits = connection_limits.ListenerLimits(1, 1)
        check_causes(limits, use, ['idle'])
