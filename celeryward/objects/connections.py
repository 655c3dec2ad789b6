"""Connections of a client to the object API.

A late copy of an answer can't be told from the answer to another call. Calls
therefore share idle connections only with others of the same use.
"""

import contextlib

from celeryward import http

MAX_IDLE_CONNECTIONS = 4


class Connections:
    """Opens connections to one address, and keeps idle ones by their use.

    :param settings.Address address: address of the object API.
    """

    def __init__(self, address):
        self.address = address
        self.idle = {}

    @contextlib.asynccontextmanager
    async def lease(self, deadline, use):
        """Provide a connection; keep it only if the exchange completes.

        :param str use: what the call shares with others that may reuse its
            connection; empty for a new connection that is not kept.
        """
        connection = await self.acquire_idle(use)
        if connection is None:
            connection = await http.connect(
                self.address.host, self.address.port, deadline
            )
        reusable = False
        try:
            yield connection
            reusable = bool(use) and connection.reusable()
        finally:
            idle_connections = self.idle.setdefault(use, [])
            if reusable and len(idle_connections) < MAX_IDLE_CONNECTIONS:
                connection.start_next_cycle()
                idle_connections.append(connection)
            else:
                await connection.close()

    async def acquire_idle(self, use):
        """Return an idle connection, or None.

        One with input was closed by the other side, or holds a second copy of
        the response to an earlier call.
        """
        idle_connections = self.idle.get(use)
        while idle_connections:
            connection = idle_connections.pop()
            if not connection.has_input():
                return connection
            await connection.close()
        return None
