"""Gives long bodies a large receive buffer, on a few connections at a time.

A connection with limits has a small one, because what a client sends ahead
fills it. A long body would be slow over a link with delay, so that it gets a
large buffer, as long as not too many connections have one. The connection
keeps it until another one needs it: a sender may wait for seconds for room
that it has had before.
"""

from celeryward import memory_account
from celeryward import sockets

# A shorter body needs no large buffer.
LONG_BODY_BYTES = 16 * 1024


class LargeBuffers:
    """The connections that have a large receive buffer.

    ``connections`` tells of each whether a body is read from it; those that
    got it last stand at the end.

    :param int most: bound on their number.
    """

    def __init__(self, most):
        self.most = most
        self.connections = {}

    def begin_body(self, connection):
        """Give a connection a large buffer, if its body is long."""
        length = connection.stated_length
        if length is not None and length < LONG_BODY_BYTES:
            return
        if self.connections.pop(connection, None) is None:
            if not self.make_room():
                return
            sockets.bound_unread(
                connection.sock, memory_account.LARGE_BUFFER_BYTES
            )
        self.connections[connection] = True

    def end_body(self, connection):
        """Let other connections have the buffer once they need it."""
        if connection in self.connections:
            self.connections[connection] = False

    def make_room(self):
        """Return whether one more connection may have a large buffer."""
        if len(self.connections) < self.most:
            return True
        for connection, is_reading in self.connections.items():
            size = connection.limits.unread_input_bytes
            if not is_reading and sockets.query_unread(connection.sock) < size:
                sockets.bound_unread(connection.sock, size)
                self.release(connection)
                return True
        return False

    def release(self, connection):
        """Stop to count a connection; it may not have been counted."""
        self.connections.pop(connection, None)


LARGE_BUFFERS = LargeBuffers(memory_account.MOST_LARGE_BUFFERS)
