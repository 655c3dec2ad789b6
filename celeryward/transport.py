"""Reads and writes the bytes of connections, within limits of time."""

import contextlib
import math
import os
import socket
import time

import curio

from celeryward import awake_clock
from celeryward import client_waits
from celeryward import deadlines
from celeryward import errors
from celeryward import sockets
from celeryward import unread_answers

READ_SIZE_BYTES = 65536
# A peer that takes no byte of a message for this long is left.
WRITE_STALL_SECONDS = 10.0
# A slower reader of a response loses its connection, if there are limits.
MIN_READER_BYTES_PER_SECOND = client_waits.MIN_BYTES_PER_SECOND
# Read at a time while a request head is awaited from a limited connection, so
# that little is read ahead of what is served.
HEAD_READ_BYTES = 16384


class ReadTimeout(errors.CelerywardError):
    """The deadline passed before the next bytes arrived."""

    code = 'read_timeout'


class Disconnected(errors.CelerywardError):
    """The peer closed or reset the connection."""

    code = 'disconnected'


class Transport:
    """The bytes of one connection.

    :param sock: connected curio socket.
    :param str peer: address of the peer, used in errors.
    """

    def __init__(self, sock, peer):
        self.sock = sock
        self.peer = peer
        self.bytes_written = 0
        self.bytes_read = 0
        # Whether a write was begun and not ended.
        self.writing = False
        # Whether the input had ended when a write did that took a while.
        self.ended_during_write = False
        # Whether the last read left more to read, so that others go first.
        self.read_full = False
        # The deadline after which bytes are read that had arrived by then, and
        # how many of them are left.
        self.late_read_for = None
        self.late_size = 0
        # Of a connection to a listener with limits, else None.
        self.limits = None
        # Whether it was closed because the peer reads too slowly or not.
        self.left_unread = False
        # The :class:`client_waits.ClientWait`, or None.
        self.client_wait = None
        # The :class:`client_waits.Unsent` at the last look while it waits.
        self.unsent = None

    def read_size(self):
        """Return the most bytes of the next read."""
        return READ_SIZE_BYTES

    def begin_wait(self, kind):
        """Record that the connection now waits for its peer.

        :param client_waits.Wait kind: what it waits for.
        """
        self.client_wait = client_waits.ClientWait(
            kind, time.monotonic(), awake_clock.CLOCK(), self.bytes_read
        )
        self.unsent = None

    async def read(self, step, deadline, extend=None):
        """Return bytes from the socket, empty at the end of the stream.

        A peer that sends without a pause can neither exceed the deadline nor
        keep other tasks from running: recv() on a socket with data neither
        times out nor yields to other tasks. Bytes that are there when the
        deadline has passed are read, and none that arrive later: a process
        that stood still finds both.

        :param extend: async function that is called when the deadline has
            passed; it returns a later one, or None to end the wait.
        """
        if self.read_full:
            await curio.sleep(0)
        data = None
        while data is None:
            data = await self.read_before(step, deadline)
            if data is None:
                deadline = await self.later_deadline(step, extend)
        self.bytes_read += len(data)
        self.read_full = len(data) == self.read_size()
        return data

    async def later_deadline(self, step, extend):
        """Return the deadline that replaces one that has passed.

        :raises ReadTimeout: if there is none.
        """
        later = await extend() if extend is not None else None
        if later is None:
            raise ReadTimeout(
                'deadline passed before the message was complete',
                step=step,
                peer=self.peer,
            )
        return later

    async def read_before(self, step, deadline):
        """Return bytes from the socket, or None if the deadline passes."""
        if deadline.expired():
            return self.read_late(step, deadline)
        try:
            return await curio.timeout_after(
                deadline.remaining(), self.sock.recv, self.read_size()
            )
        except curio.TaskTimeout:
            return self.read_late(step, deadline)
        except OSError as error:
            raise self.lost_error(str(error), step) from error

    def read_late(self, step, deadline):
        """Return bytes that were there after a deadline; None after them."""
        try:
            if self.late_read_for != deadline:
                self.late_read_for = deadline
                self.late_size = sockets.count_readable(self.sock)
            if not self.late_size:
                return None
            size = min(self.late_size, self.read_size())
            data = os.read(self.sock.fileno(), size)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self.lost_error(str(error), step) from error
        self.late_size -= len(data)
        return data

    def check_writable(self, step):
        """Check that no write is under way or was cut off.

        What follows it would stand inside an earlier message.

        :raises Disconnected: if one is.
        """
        if self.writing:
            raise self.lost_error('an earlier write was not ended', step)

    async def send_bytes(self, step, data, deadline=deadlines.NEVER):
        """Send bytes.

        :raises Disconnected: if the connection is closed, or if the peer takes
            no bytes, or not all before a deadline.
        """
        self.writing = True
        try:
            await self.write(data, deadline)
        except curio.TaskTimeout as error:
            self.left_unread = True
            raise self.lost_error('peer takes no bytes', step) from error
        except OSError as error:
            raise self.lost_error(str(error), step) from error
        self.writing = False
        self.bytes_written += len(data)

    def lost_error(self, reason, step):
        """Return the error of a connection that is of no use any more."""
        return Disconnected(
            f'connection lost: {reason}', step=step, peer=self.peer
        )

    async def write(self, data, deadline):
        """Write bytes to the socket.

        :raises curio.TaskTimeout: if the peer takes none of them for
            :data:`WRITE_STALL_SECONDS`, not all before the deadline, or too
            few in the time that a connection with limits has.
        """
        remaining = self.write_now(memoryview(data))
        if not remaining:
            return
        self.begin_wait(client_waits.Wait.READER)
        async with self.count_unread(len(data)):
            await self.write_rest(remaining, deadline)
        self.client_wait = None
        self.ended_during_write = sockets.input_has_ended(self.sock)

    def count_unread(self, size):
        """Return a context that counts what is held for a slow client."""
        if self.limits is None:
            return contextlib.nullcontext()
        return unread_answers.UNREAD_ANSWERS.hold(self, size)

    async def write_rest(self, remaining, deadline):
        """Write what the kernel didn't take at once, as :meth:`write`."""
        write_until = self.write_until(len(remaining))
        while remaining:
            sent = await self.write_some(remaining, deadline)
            self.begin_wait(client_waits.Wait.READER)
            remaining = remaining[sent:]
            if remaining and awake_clock.CLOCK() >= write_until:
                raise curio.TaskTimeout(WRITE_STALL_SECONDS)

    def write_until(self, size):
        """Return until when a message of this size must be written.

        This is a time on the clock without pauses of this process, in which a
        peer may have read.
        """
        if self.limits is None:
            return math.inf
        slow_read_seconds = size / MIN_READER_BYTES_PER_SECOND
        return (
            awake_clock.CLOCK() + self.limits.write_seconds + slow_read_seconds
        )

    async def write_some(self, data, deadline):
        """Write some bytes once the kernel takes them; return their number.

        It takes none until much of what it holds has been received, so that
        less of that also shows a peer that reads.

        :raises curio.TaskTimeout: as :meth:`write`.
        """
        held = sockets.count_unreceived(self.sock)
        while True:
            seconds = min(WRITE_STALL_SECONDS, deadline.remaining())
            try:
                return await curio.timeout_after(seconds, self.sock.send, data)
            except curio.TaskTimeout:
                if deadline.expired():
                    raise
                held_before, held = held, sockets.count_unreceived(self.sock)
                if held >= held_before:
                    raise

    def write_now(self, data):
        """Return the bytes that the kernel doesn't take at once.

        A timer for each piece of a stream would cost more than its write.
        """
        try:
            return data[os.write(self.sock.fileno(), data) :]
        except BlockingIOError:
            return data

    def check_received(self, step):
        """Check that an orderly end of the input followed what was written.

        :raises Disconnected: if the peer ended its output before it had
            received all of that, or has reset the connection since then.
        """
        if (
            self.ended_during_write
            or sockets.count_unreceived(self.sock)
            or sockets.is_broken(self.sock)
        ):
            raise self.lost_error('peer ended it during a write', step)

    def has_input(self):
        """Return whether the socket has bytes or an end of file to read."""
        return sockets.is_readable(self.sock)

    async def stop_reading(self):
        """Shut the input down, so that a task that reads from it ends."""
        try:
            await self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            # The connection is closed already.
            return

    async def shut_down(self):
        """Shut the socket down, so that a task that reads from it ends."""
        try:
            await self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is closed already.
            return

    async def close(self):
        """Close the socket; do nothing if it is closed."""
        await self.sock.close()


async def connect_socket(host, port):
    """Return a connected curio socket.

    A numeric address is not looked up: the thread that does this ends its wait
    by no input, so that after a pause a deadline would go before it.
    """
    try:
        found = socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST
        )
    except socket.gaierror:
        return await curio.open_connection(host, port)
    family, kind, _, _, address = found[0]
    sock = curio.socket.socket(family, kind)
    try:
        await sock.connect(address)
    except (Exception, curio.CancelledError):
        await sock.close()
        raise
    return sock


async def open_socket(host, port, deadline):
    """Open a client connection; return its curio socket.

    :raises errors.ConnectionFailed: with ``sent=False``.
    """
    peer = f'{host}:{port}'
    try:
        sock = await curio.timeout_after(
            deadline.remaining(), connect_socket, host, port
        )
    except curio.TaskTimeout as error:
        raise errors.ConnectionFailed(
            'connect timed out', step='connect', peer=peer, sent=False
        ) from error
    except ConnectionRefusedError as error:
        raise errors.ConnectionRefused(
            f'connect failed: {error}', step='connect', peer=peer, sent=False
        ) from error
    except OSError as error:
        raise errors.ConnectionFailed(
            f'connect failed: {error}', step='connect', peer=peer, sent=False
        ) from error
    sockets.disable_nagle(sock)
    sockets.detect_dead_peer(sock)
    return sock
