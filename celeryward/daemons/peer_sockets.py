"""Sockets that keep the connections of peer daemons within limits.

grpclib has no hook for an accepted connection and no bound on the size of a
message, and keeps what it can't write to a client that doesn't read. asyncio
accepts, reads and closes by the methods of the listening socket that grpclib
is given, so that they apply the limits. All of this runs on the asyncio
thread. Answers clients that open connections without bound, read no responses
or send messages that never end.
"""

import asyncio
import contextlib
import gc
import math
import socket
import time

from celeryward import open_connections
from celeryward import sockets

# A daemon makes one call at a time to each other one.
MAX_CALLS = 8
# A message has 2 MiB or one object, see protocol.MAX_CHANGE_BYTES. Input of
# calls under way, of one connection and of all of them.
MAX_INPUT_BYTES = 4 * 1024 * 1024
MAX_TOTAL_INPUT_BYTES = 4 * 1024 * 1024
# h2 makes an object of each frame in what is read at once, and a frame may
# have 9 bytes.
READ_BYTES = 16384
# The input of a call that ends is garbage until the next full collection,
# which may be far away. Less is not worth one.
MIN_COLLECTED_BYTES = 256 * 1024
COLLECTION_SECONDS = 0.25


class PeerConnection(socket.socket):
    """An accepted connection.

    :param PeerListener listener: the socket that accepted it.
    :param socket.socket accepted: its socket, which is taken over.
    :param tuple address: address of the client.
    """

    def __init__(self, listener, accepted, address):
        super().__init__(
            accepted.family,
            accepted.type,
            accepted.proto,
            fileno=accepted.detach(),
        )
        self.listener = listener
        self.address = address
        self.waiting_since = time.monotonic()
        # When the last call ended; also kept while responses are unread.
        self.free_since = self.waiting_since
        self.ended = False
        self.calls = 0
        # Bytes received since no call was under way.
        self.input_bytes = 0
        # Bytes received since the client has had no room for responses.
        self.unread_input_bytes = 0

    @property
    def closable_at(self):
        """From when on a new connection may take its place, monotonic."""
        if self.waiting_since is None:
            return math.inf
        return self.waiting_since + open_connections.MIN_WAIT_SECONDS

    @property
    def peer(self):
        """The address of the client for the log."""
        return f'{self.address[0]}:{self.address[1]}'

    def recv(self, size):
        """Return received bytes; none once the limits have ended this."""
        if self.ended:
            return b''
        data = super().recv(min(size, READ_BYTES))
        self.input_bytes += len(data)
        self.listener.input_bytes += len(data)
        # Each frame may cause a response that grpclib keeps until it is read.
        if sockets.count_unsent(self):
            self.unread_input_bytes += len(data)
        else:
            self.unread_input_bytes = 0
        if self.unread_input_bytes > self.listener.limits.unread_bytes:
            self.end('unread')
            return b''
        if self.input_bytes > MAX_INPUT_BYTES:
            self.end('input')
            return b''
        self.listener.bound_input()
        return data

    def begin_call(self):
        """Count a call; return whether it is within the limit."""
        self.waiting_since = None
        self.calls += 1
        return self.calls <= MAX_CALLS

    def end_call(self):
        """Stop to count a call."""
        self.calls -= 1
        if not self.calls:
            self.waiting_since = self.free_since = time.monotonic()
            self.drop_input()

    @contextlib.asynccontextmanager
    async def deadline(self, cause, seconds):
        """End the connection if what the block waits for takes longer."""
        timer = asyncio.get_running_loop().call_later(seconds, self.end, cause)
        try:
            yield
        finally:
            timer.cancel()

    def close_reason(self):
        """Return why an idle connection may be closed for a new one.

        grpclib sends the status of a failed call without a deadline, so that
        a client may leave it unread.

        :returns: 'idle', 'unread' if the client has had its time to read
            responses, or an empty text if a call has arrived or a response
            would be cut off.
        """
        if not sockets.count_unsent(self):
            return '' if sockets.is_readable(self) else 'idle'
        free_seconds = time.monotonic() - self.free_since
        if free_seconds >= self.listener.limits.write_seconds:
            return 'unread'
        return ''

    def drop_input(self):
        """Stop to count the input, which is no longer kept."""
        self.listener.input_bytes -= self.input_bytes
        self.input_bytes = 0

    def end(self, cause):
        """End both directions; asyncio sees it and closes the socket."""
        if self.ended:
            return
        self.ended = True
        self.listener.closed.record(cause, self.peer)
        self.listener.remove(self)
        with contextlib.suppress(OSError):
            self.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the connection."""
        self.listener.remove(self)
        super().close()


class PeerListener(socket.socket):
    """A listening socket that accepts connections within limits.

    :param connection_limits.ListenerLimits limits: the limits.
    :param closings.Closings closed: counts what is closed for the limits.
    """

    def __init__(self, family, limits, closed):
        # asyncio sets TCP_NODELAY only on sockets that were created with an
        # explicit protocol. Otherwise each reply waits 40 ms for a delayed
        # ACK.
        super().__init__(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self.limits = limits
        sockets.bound_unread(self, limits.unread_input_bytes)
        self.closed = closed
        self.connections = open_connections.OpenConnections(limits)
        self.by_address = {}
        self.input_bytes = 0
        # The next collection of garbage, or None.
        self.collection = None

    def accept(self):
        """Accept a connection.

        :raises ConnectionAbortedError: if it is refused. asyncio lets other
            connections go on before it accepts the next one.
        """
        accepted, address = super().accept()
        peer = f'{address[0]}:{address[1]}'
        if not self.make_room(address[0], peer):
            accepted.close()
            raise ConnectionAbortedError(f'no room for {peer}')
        sockets.bound_unsent(accepted, self.limits.unread_bytes)
        connection = PeerConnection(self, accepted, address)
        self.connections.add(connection, address[0])
        self.by_address[address] = connection
        return connection, address

    def make_room(self, address, peer):
        """Return whether there is room; idle connections are closed for it."""
        while cause := self.connections.full(address):
            idle, reason = self.connections.longest_waiting(cause, address)
            if idle is None:
                self.closed.record(cause, peer)
                return False
            idle.end(reason)
        return True

    def bound_input(self):
        """Close connections with the most input if all have too much."""
        while self.input_bytes > MAX_TOTAL_INPUT_BYTES:
            largest = max(
                self.by_address.values(), key=lambda each: each.input_bytes
            )
            largest.end('input')

    def remove(self, connection):
        """Stop to count a connection; it may have been removed before."""
        if connection.input_bytes >= MIN_COLLECTED_BYTES:
            self.collect_soon()
        self.connections.remove(connection)
        connection.drop_input()
        if self.by_address.get(connection.address) is connection:
            del self.by_address[connection.address]

    def collect_soon(self):
        """Free the input of ended calls, which is in reference cycles."""
        if self.collection is None:
            self.collection = asyncio.get_running_loop().call_later(
                COLLECTION_SECONDS, self.collect
            )

    def collect(self):
        """Collect garbage now."""
        self.collection = None
        gc.collect()
