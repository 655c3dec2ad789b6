"""The connection of a caller, which later requests reuse."""

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from tests import platform_processes as processes

CONNECT_SECONDS = 1.0


class ReusingCaller:
    """A caller that has one connection to a router at a time.

    A subclass has ``choose_router()``, which returns the router of the next
    connection. ``reused`` tells whether the open one has carried a request.
    """

    def __init__(self):
        self.connection = None
        self.router = None
        self.reused = False

    async def connect(self):
        """Connect to a router, unless a connection is open.

        Return whether a connection is open.
        """
        if self.connection is not None:
            return True
        self.reused = False
        self.router = self.choose_router()
        try:
            self.connection = await http.connect(
                self.router.host,
                processes.CALLER_PORT,
                deadlines.Deadline.after(CONNECT_SECONDS),
            )
        except errors.ConnectionFailed:
            # The router is down; the next attempt may choose another one.
            return False
        return True

    async def end_exchange(self, is_whole):
        """Keep the connection for the next request, or close it.

        :param bool is_whole: whether the answer was received whole.
        """
        if not is_whole or not self.connection.reusable():
            await self.close()
        else:
            self.connection.start_next_cycle()
            self.reused = True

    async def close(self):
        """Close the connection, if one is open."""
        if self.connection is not None:
            await self.connection.close()
            self.connection = None
