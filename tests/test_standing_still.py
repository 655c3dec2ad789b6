"""Peers, or this process itself, that stand still for a second or two."""

import socket

import curio

from celeryward import deadlines
from celeryward import transport
from tests import fakes

# Shorter than the time after which a peer that takes no byte is left.
STANDSTILL_SECONDS = 3.5
SMALL_WINDOW_BYTES = 2048
# More than the kernel buffers for a peer with a small receive window.
LARGE_MESSAGE = b'x' * (8 * 1024 * 1024)


class TestStandingPeer:
    """Guards against sound peers that are left while they stand still."""

    @fakes.in_kernel
    async def test_kernel_resets_no_connection_with_a_full_window(self):
        listener = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES
        )
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        sock = await transport.open_socket(
            *listener.getsockname(), deadlines.Deadline.after(2.0)
        )
        peer, _ = await listener.accept()
        sending = await curio.spawn(
            transport.Transport(sock, 'peer').send_bytes, 'send', LARGE_MESSAGE
        )
        await curio.sleep(STANDSTILL_SECONDS)
        received = 0
        while received < len(LARGE_MESSAGE):
            data = await peer.recv(1024 * 1024)
            assert data
            received += len(data)
        await sending.join()
        for each in (sock, peer, listener):
            await each.close()
