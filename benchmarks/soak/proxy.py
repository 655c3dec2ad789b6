"""A loopback proxy that delays, holds, refuses or resets connections."""

import dataclasses
import socket
import struct

import curio

from celeryward import deadlines
from celeryward import logs
from celeryward.standins import base

HELD_POLL_SECONDS = 0.02
READ_SIZE_BYTES = 65536
# With a linger time of zero, closing the socket sends a TCP reset.
LINGER_NONE = struct.pack('ii', 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Impairments that a proxy applies to its connections.

    :param float delay_seconds: added to each chunk in both directions.
    :param bool requests_held: bytes towards the server are held.
    :param bool answers_held: bytes towards the client are held.
    :param bool refused: new connections are reset.
    """

    delay_seconds: float = 0.0
    requests_held: bool = False
    answers_held: bool = False
    refused: bool = False


CLEAR = Conditions()


class Proxy(base.StandIn):
    """TCP proxy to a port of the same host.

    :param int target: port of the server; it may change between connections.

    Until ``quiet_until`` all bytes are held, whatever the conditions.
    """

    def __init__(self, target=0):
        super().__init__()
        self.target = target
        self.conditions = CLEAR
        self.quiet_until = deadlines.Deadline.after(0.0)
        self.sockets_by_task = {}

    async def stop(self):
        """Stop accepting connections and reset the open ones."""
        await self.listener.stop_accepting()
        await self.reset()

    async def end(self):
        """Refuse connections from now on, and reset the open ones.

        Unlike a planned stop it takes over no connection that waits.
        """
        sock, self.listener.sock = self.listener.sock, None
        if sock is None:
            return
        await self.listener.accept_task.cancel()
        await sock.close()
        await self.reset()

    async def reset(self):
        """Reset all connections through the proxy."""
        for task in tuple(self.sockets_by_task):
            for sock in self.sockets_by_task.get(task, ()):
                reset_on_close(sock)
            await task.cancel()

    async def handle(self, connection):
        """Forward one connection both ways until one side ends."""
        client = connection.sock
        if self.conditions.refused:
            reset_on_close(client)
            return
        try:
            server = await curio.open_connection('127.0.0.1', self.target)
        except OSError as error:
            logs.bind(step='proxy', peer=str(self.target)).debug(
                'cannot connect to the server: {}', error
            )
            reset_on_close(client)
            return
        task = await curio.current_task()
        self.sockets_by_task[task] = (client, server)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self.forward, client, server, True)
                await group.spawn(self.forward, server, client, False)
        finally:
            self.sockets_by_task.pop(task)
            await server.close()

    async def forward(self, source, target, towards_server):
        """Forward bytes in one direction until the source ends."""
        try:
            while data := await source.recv(READ_SIZE_BYTES):
                await curio.sleep(self.conditions.delay_seconds)
                while self.is_held(towards_server):
                    await curio.sleep(HELD_POLL_SECONDS)
                await target.sendall(data)
        except OSError as error:
            logs.bind(step='proxy', peer=str(self.target)).debug(
                'connection ended: {}', error
            )

    def is_held(self, towards_server):
        """Return whether bytes in a direction are held."""
        if not self.quiet_until.expired():
            return True
        if towards_server:
            return self.conditions.requests_held
        return self.conditions.answers_held


def reset_on_close(sock):
    """Make the close of a socket send a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
