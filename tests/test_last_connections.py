"""Connections that are opened while a listener stops to accept them."""

import socket
import time

import curio

from celeryward import event_loop
from celeryward import listener


async def reply(connection):
    """Send a reply at once."""
    await connection.send_bytes('reply', b'reply')


async def connect_as_the_time_ends(port):
    """Return a connection opened after the listener last looked for one."""
    await curio.sleep(0)
    time.sleep(listener.LAST_ACCEPT_SECONDS + 0.05)
    await curio.sleep(0)
    return socket.create_connection(('127.0.0.1', port), 2.0)


async def stop_beside_a_connection():
    """Stop a listener; return what a caller that connects meanwhile gets."""
    listening = listener.Listener('127.0.0.1', 0, reply)
    await listening.start()
    caller = await curio.spawn(connect_as_the_time_ends, listening.port)
    await listening.stop_accepting()
    with await caller.join() as connection:
        return await curio.run_in_thread(connection.recv, 100)


class TestLastConnections:
    """Guards against a reset of what a busy process has not accepted yet."""

    def test_connection_opened_as_the_time_ends_is_served(self):
        assert event_loop.run(stop_beside_a_connection) == b'reply'
