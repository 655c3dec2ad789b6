"""Reads requests no faster than their responses are read.

A client that sends many requests at once would fill the memory with requests
that wait and responses that are unread, and would keep other connections from
their turn. On a connection with limits a further request waits until the
client has room for the last response, and little is read ahead of it.
"""

import math
import time

import curio
import h11

from celeryward import awake_clock
from celeryward import bodies
from celeryward import client_waits
from celeryward import open_connections
from celeryward import receive_buffers
from celeryward import sockets
from celeryward import transport

# Input behind a request that is read while it is served, so that the end of
# the connection is seen; and how often the end is looked for behind more.
MAX_EARLY_BYTES = 4096
END_POLL_SECONDS = 0.5
# A peer that sends requests and takes no response for this long is left.
UNREAD_STALL_SECONDS = client_waits.RESPONSE_STALL_SECONDS
# Looks at whether a peer has read what was written.
FIRST_LOOK_SECONDS = 0.01
LAST_LOOK_SECONDS = 0.5


class PacedInput(bodies.BodyReader):
    """A connection whose subclass parses what it reads."""

    def __init__(self, sock, peer):
        super().__init__(sock, peer)
        self.begin_wait(client_waits.Wait.REQUEST)
        # Whether it is closed for a new connection; it serves no more.
        self.displaced = False
        # Set when it is closed for a new connection; None while none waits.
        self.displacement = None
        # Since when each request was there before the last one was answered,
        # in monotonic seconds, or None.
        self.ahead_since = None
        # Requests since other tasks had their turn. Input that has arrived is
        # read without a turn of others.
        self.requests_in_turn = 0

    @property
    def waiting_since(self):
        """Since when it waits for its client, monotonic seconds, or None.

        Requests that are sent ahead are served meanwhile.
        """
        if self.client_wait is None or self.ahead_since is None:
            return self.client_wait and self.client_wait.since
        return self.ahead_since

    @property
    def closable_at(self):
        """From when on a new connection may take its place, monotonic."""
        if self.waiting_since is None:
            return math.inf
        if self.ahead_since is None:
            return self.waiting_since + open_connections.MIN_WAIT_SECONDS
        return self.waiting_since + client_waits.AHEAD_SECONDS

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
        self.begin_wait(client_waits.Wait.REQUEST)
        self.observe_pipelining()
        if not self.has_trailing_data():
            self.h11.receive_data(await self.read(step, deadline, extend))
        self.check_displaced(step)
        if self.h11.trailing_data[0]:
            # A head that has begun has a deadline of its own.
            self.begin_wait(client_waits.Wait.REST)
        if self.limits is not None:
            await self.take_turn(step)

    def observe_pipelining(self):
        """Record whether the next request is there already."""
        if not self.h11.trailing_data[0]:
            self.ahead_since = None
        elif self.ahead_since is None:
            self.ahead_since = time.monotonic()

    def check_displaced(self, step):
        """Check that the connection was not closed for a new one.

        :raises Disconnected: if it was.
        """
        if self.displaced:
            raise self.lost_error('closed for a new connection', step)

    async def displace(self):
        """Close the connection for a new one.

        Its task sees the end of the input, or that its write fails.
        """
        self.displaced = True
        is_writing = self.client_wait.kind is client_waits.Wait.READER
        if self.displacement is not None:
            await self.displacement.set()
        if is_writing:
            await self.shut_down()
        else:
            await self.stop_reading()

    async def take_turn(self, step):
        """Let other connections go on before a request that has arrived.

        It is not read before the peer has room for the last response: one that
        reads has it by now, so that this rarely waits.
        """
        if sockets.count_unsent(self.sock):
            self.begin_wait(client_waits.Wait.ROOM)
            await self.wait_until_sent(step)
            self.begin_wait(client_waits.Wait.REST)
        self.requests_in_turn += 1
        if self.requests_in_turn >= self.limits.requests_per_turn:
            self.requests_in_turn = 0
            await curio.sleep(0)

    async def wait_until_sent(self, step):
        """Wait until the peer has room for all that was written.

        :raises Disconnected: if it has none for :data:`UNREAD_STALL_SECONDS`,
            or too little until the deadline of a write, or if the connection
            is closed for a new one.
        """
        write_until = self.write_until(sockets.count_unsent(self.sock))
        self.displacement = curio.Event()
        seconds = FIRST_LOOK_SECONDS
        while sockets.count_unsent(self.sock):
            unsent = client_waits.observe_unsent(self)
            stalled_at = unsent.since + UNREAD_STALL_SECONDS
            if awake_clock.CLOCK() >= min(stalled_at, write_until):
                self.left_unread = True
                raise self.lost_error('peer reads no response', step)
            async with curio.ignore_after(seconds):
                await self.displacement.wait()
            self.check_displaced(step)
            seconds = min(LAST_LOOK_SECONDS, 2 * seconds)
        self.displacement = None

    async def receive_body(self, *args, **kwargs):
        """Return a whole body, as :meth:`bodies.BodyReader.receive_body`.

        On a connection with limits a long one has a large receive buffer.
        """
        if self.limits is None:
            return await super().receive_body(*args, **kwargs)
        self.begin_wait(client_waits.Wait.REST)
        receive_buffers.LARGE_BUFFERS.begin_body(self)
        try:
            body = await super().receive_body(*args, **kwargs)
        finally:
            receive_buffers.LARGE_BUFFERS.end_body(self)
        self.end_wait('read request')
        return body

    def end_wait(self, step):
        """Record that what it waited for is there.

        :raises Disconnected: if the connection was closed for a new one.
        """
        self.check_displaced(step)
        self.client_wait = None

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
        """Return why it may be closed for a new connection, or ''."""
        return client_waits.close_reason(self)

    def has_trailing_data(self):
        """Return whether unparsed bytes or an end of file have been read."""
        data, closed = self.h11.trailing_data
        return bool(data) or closed
