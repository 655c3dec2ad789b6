"""Reads requests no faster than their responses are read.

A client that sends many requests at once would fill the memory with requests
that wait and responses that are unread, and would keep other connections from
their turn. On a connection with limits a further request waits until the
client has room for the last response, and little is read ahead of it.
"""

import time

import curio
import h11

from celeryward import awake_clock
from celeryward import bodies
from celeryward import receive_buffers
from celeryward import sockets
from celeryward import transport

# Input behind a request that is read while it is served, so that the end of
# the connection is seen; and how often the end is looked for behind more.
MAX_EARLY_BYTES = 4096
END_POLL_SECONDS = 0.5


class PacedInput(bodies.BodyReader):
    """A connection whose subclass parses what it reads."""

    def __init__(self, sock, peer):
        super().__init__(sock, peer)
        # Since when no request is under way, in monotonic seconds, or None.
        self.idle_since = time.monotonic()
        # Whether it is closed for a new connection; it serves no more.
        self.displaced = False
        # Unsent bytes at the last look while idle, and since when there were
        # no fewer, on the clock without pauses of this process.
        self.unsent = None
        self.unsent_since = 0.0
        # Requests since other tasks had their turn. Input that has arrived is
        # read without a turn of others.
        self.requests_in_turn = 0

    def read_size(self):
        """Return the most bytes of the next read."""
        if self.limits is not None and self.h11.their_state is h11.IDLE:
            return transport.HEAD_READ_BYTES
        return transport.READ_SIZE_BYTES

    async def wait_for_input(self, step, deadline, extend=None):
        """Wait for bytes to parse or the end of file.

        :param extend: as for :meth:`read`.
        :raises ReadTimeout: if nothing arrives before the deadline.
        :raises Disconnected: if the connection is reset or is closed for a
            new one, or if the peer has no room for the last response.
        """
        self.idle_since = time.monotonic()
        self.unsent = None
        if not self.has_trailing_data():
            self.h11.receive_data(await self.read(step, deadline, extend))
        if self.displaced:
            raise self.lost_error('closed for a new connection', step)
        if self.h11.trailing_data[0]:
            # A head that has begun has a deadline of its own.
            self.idle_since = None
        if self.limits is not None:
            await self.take_turn(step)

    async def take_turn(self, step):
        """Let other connections go on before a request that has arrived.

        It is not read before the peer has room for the last response: one that
        reads has it by now, so that this rarely waits.
        """
        await self.wait_until_sent(step)
        self.requests_in_turn += 1
        if self.requests_in_turn >= self.limits.requests_per_turn:
            self.requests_in_turn = 0
            await curio.sleep(0)

    async def receive_body(self, *args, **kwargs):
        """Return a whole body, as :meth:`bodies.BodyReader.receive_body`.

        On a connection with limits a long one has a large receive buffer.
        """
        if self.limits is None:
            return await super().receive_body(*args, **kwargs)
        receive_buffers.LARGE_BUFFERS.begin_body(self)
        try:
            return await super().receive_body(*args, **kwargs)
        finally:
            receive_buffers.LARGE_BUFFERS.end_body(self)

    async def wait_closed(self):
        """Return once the peer has closed the connection.

        Bytes that arrive early are kept for the next request. After a bound
        the connection is no longer read; without limits the call does not
        return then.
        """
        early_size, bound = 0, transport.READ_SIZE_BYTES
        if self.limits is not None:
            early_size = len(self.h11.trailing_data[0])
            bound = MAX_EARLY_BYTES
        while early_size < bound:
            try:
                data = await self.sock.recv(bound)
            except OSError:
                # A reset also closes the connection.
                return
            if not data:
                return
            self.h11.receive_data(data)
            early_size += len(data)
        if self.limits is None:
            await curio.Event().wait()
        while not sockets.is_ended(self.sock):
            await curio.sleep(END_POLL_SECONDS)

    def close_reason(self):
        """Return why an idle connection may be closed for a new one.

        :returns: 'idle', 'unread' if its client has taken nothing of a
            response for :data:`transport.UNREAD_STALL_SECONDS`, or an empty
            text if its request has arrived or its client may still read.
        """
        if self.h11.trailing_data[0] or sockets.has_bytes(self.sock):
            return ''
        unsent = sockets.count_unsent(self.sock)
        if not unsent:
            return 'idle'
        now = awake_clock.CLOCK()
        if self.unsent is None or unsent < self.unsent:
            self.unsent, self.unsent_since = unsent, now
        stalled = now - self.unsent_since >= transport.UNREAD_STALL_SECONDS
        return 'unread' if stalled else ''

    def has_trailing_data(self):
        """Return whether unparsed bytes or an end of file have been read."""
        data, closed = self.h11.trailing_data
        return bool(data) or closed
