"""TCP listeners, and loops that serve HTTP requests on a connection."""

import contextlib
import os
import socket

import curio
import h11

from celeryward import closings
from celeryward import connection_limits
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward import logs
from celeryward import open_connections
from celeryward import receive_buffers
from celeryward import sockets
from celeryward import supervision


# Connections that are accepted before other tasks get their turn. With fewer a
# new client would wait for many turns of all others.
ACCEPTS_PER_TURN = 256
# Read from a connection that is refused, so that closing it doesn't reset it.
MAX_REFUSED_BYTES = 65536
# Time to take over the connections that wait in the kernel's queue; this does
# not block while there are any.
LAST_ACCEPT_SECONDS = 0.02
# At a stop, a connection may bring another request for this long. Its response
# announces that the connection closes.
LAST_REQUESTS_SECONDS = 0.5
# Time in which a request head must be complete.
HEAD_READ_SECONDS = 10.0


class Listener:
    """Accepts connections and runs one task for each.

    :param int port: 0 lets the operating system choose one.
    :param handler: async function that takes a :class:`http.Connection`.
    :param connection_limits.ListenerLimits limits: None for no limits.
    :param closings.Closings closed: counts what is closed for the limits.
    """

    def __init__(self, host, port, handler, limits=None, closed=None):
        self.host = host
        self.requested_port = port
        self.sock = None
        self.handler = handler
        self.tasks = set()
        self.accept_task = None
        self.limits = limits
        self.closed = closed or closings.Closings(f'{host}:{port}')
        # Logs what was closed since the last line, or None.
        self.log_task = None
        self.connections = None
        if limits is not None:
            self.connections = open_connections.OpenConnections(limits)

    @property
    def port(self):
        """The port that the socket is bound to."""
        return self.sock.getsockname()[1]

    @property
    def backlog(self):
        """Connections that the kernel keeps until they are accepted."""
        if self.limits is None:
            return connection_limits.MAX_BACKLOG
        return self.limits.backlog

    async def start(self):
        """Bind the port and start to accept connections.

        :raises errors.BadInput: if the port can't be bound.
        """
        try:
            self.sock = curio.network.tcp_server_socket(
                self.host,
                self.requested_port,
                backlog=self.backlog,
                reuse_address=True,
            )
        except OSError as error:
            peer = f'{self.host}:{self.requested_port}'
            raise errors.BadInput(
                f'can not listen on {peer}: {error}', step='listen', peer=peer
            ) from error
        if self.limits is not None:
            size = self.limits.unread_input_bytes
            sockets.bound_unread(self.sock, size)
        self.accept_task = await supervision.Supervisor().spawn(
            'accept', f'{self.host}:{self.port}', self.accept
        )

    async def accept(self):
        """Accept connections and spawn a task for each, until cancelled."""
        while True:
            for _ in range(ACCEPTS_PER_TURN):
                await self.spawn_handler(*await self.sock.accept())
            await curio.sleep(0)

    async def accept_waiting(self):
        """Accept what waits in the queue of the kernel, and little more.

        No other task runs meanwhile. A wait for the next connection ends some
        time before its task runs, in which others may have arrived.
        """
        for _ in range(self.backlog):
            if not sockets.is_readable(self.sock):
                return
            await self.spawn_handler(*await self.sock.accept())

    async def spawn_handler(self, sock, address):
        """Spawn the task of an accepted connection, or refuse it."""
        sockets.disable_nagle(sock)
        peer = f'{address[0]}:{address[1]}'
        connection = http.Connection(sock, h11.SERVER, peer)
        if self.limits is not None:
            if not await self.make_room(address[0], peer):
                await refuse(sock)
                return
            connection.limits = self.limits
            sockets.bound_unsent(sock, self.limits.unread_bytes)
            self.connections.add(connection, address[0])
        task = await curio.spawn(self.run, connection, daemon=True)
        self.tasks.add(task)

    async def make_room(self, address, peer):
        """Return whether there is room for a new connection.

        Those that wait for their clients are closed for it. A request that
        arrives meanwhile is refused and has not run.
        """
        while cause := self.connections.full(address):
            waiting, reason = self.connections.longest_waiting(cause, address)
            if waiting is None:
                await self.record_closed(cause, peer)
                return False
            # Nothing may run between the decision and the close.
            self.connections.remove(waiting)
            await waiting.displace()
            await self.record_closed(reason, waiting.peer)
        return True

    async def record_closed(self, cause, peer):
        """Count a connection that is closed, and have it logged in time."""
        self.closed.record(cause, peer)
        if self.closed.unlogged and self.log_task is None:
            self.log_task = await curio.spawn(self.log_closed, daemon=True)

    async def log_closed(self):
        """Log the end of a burst, which no later one would log."""
        while self.closed.unlogged:
            await curio.sleep(self.closed.seconds_to_log())
            if not self.closed.seconds_to_log():
                self.closed.log()
        self.log_task = None

    async def run(self, connection):
        """Run the handler, then close the connection."""
        try:
            await self.handler(connection)
        finally:
            self.tasks.discard(await curio.current_task())
            if connection.left_unread:
                await self.record_closed('unread', connection.peer)
            receive_buffers.LARGE_BUFFERS.release(connection)
            if self.connections is not None:
                self.connections.remove(connection)
            if connection.displaced and connection.has_unanswered():
                await refuse(connection.sock)
            await connection.close()

    async def stop_accepting(self):
        """Close the listening socket; accepted connections stay open.

        Connections that the kernel has accepted are taken over first, because
        closing the socket would reset them.
        """
        if self.accept_task is not None:
            await self.accept_task.cancel()
        if self.sock is not None:
            with contextlib.suppress(OSError):
                async with curio.ignore_after(LAST_ACCEPT_SECONDS):
                    await self.accept()
                await self.accept_waiting()
            await self.sock.close()
            self.sock = None

    async def drain(self, deadline):
        """Wait until the tasks of all connections have ended.

        :returns: number of tasks that were cancelled at the deadline.
        """
        for task in list(self.tasks):
            try:
                await curio.timeout_after(deadline.remaining(), task.wait)
            except curio.TaskTimeout:
                break
        remaining = list(self.tasks)
        for task in remaining:
            await task.cancel()
        if self.log_task is not None:
            await self.log_task.cancel()
            self.closed.log()
        return len(remaining)


async def refuse(sock):
    """Refuse a connection before any request on it is read."""
    refusal = http.encode_refusal(connection_limits.retry_seconds())
    with contextlib.suppress(OSError):
        os.write(sock.fileno(), refusal)
        await sock.shutdown(socket.SHUT_WR)
        os.read(sock.fileno(), MAX_REFUSED_BYTES)
    await sock.close()


async def end_idle(tasks, busy):
    """End the tasks of connections that have brought no request.

    Each task closes its own connection: if another task closed the socket,
    the task that waits for it would never wake up.

    :param dict tasks: the task of each open connection.
    :param busy: the connections with a request in progress.
    """
    for connection, task in tuple(tasks.items()):
        # A task may have ended during the cancellation of another.
        if connection not in tasks or connection in busy:
            continue
        if not (connection.has_input() or connection.has_request()):
            await task.cancel()


async def serve_connection(connection, handle, idle_seconds):
    """Serve requests on one connection until either side closes it.

    :param handle: async function that takes a :class:`http.Request`, reads
        its body and sends the response.
    :param float idle_seconds: timeout from one request to the next.
    """
    while True:
        idle_until = deadlines.Deadline.after(idle_seconds)
        await connection.wait_for_input('await request', idle_until)
        # A head that has begun has time of its own.
        head_until = deadlines.Deadline.after(HEAD_READ_SECONDS)
        request = await connection.receive_request(head_until)
        if request is None:
            return
        await handle(request)
        if not connection.reusable():
            return
        connection.start_next_cycle()


async def serve_ignoring_bodies(
    connection, answer, idle_seconds, read_seconds
):
    """Serve requests on one connection; read and drop their bodies.

    :param answer: async function that takes a :class:`http.Request` and
        sends the response. The others are as for :func:`serve_with_bodies`.
    """

    async def drop_and_answer(head, body):
        await answer(head)

    await serve_with_bodies(
        connection, drop_and_answer, idle_seconds, read_seconds
    )


async def serve_with_bodies(
    connection,
    answer,
    idle_seconds,
    read_seconds,
    max_body_bytes=http.MAX_BODY_BYTES,
):
    """Serve requests with small bodies on one connection.

    Errors of the connection are logged, not raised.

    :param answer: async function that takes a :class:`http.Request` and its
        body, and sends the response.
    :param float idle_seconds: timeout from one request to the next.
    :param float read_seconds: timeout of a body.
    :param int max_body_bytes: size above which the connection is closed.
    """

    async def read_and_answer(head):
        deadline = deadlines.Deadline.after(read_seconds)
        body = await connection.receive_body(
            'read request', deadline, max_body_bytes
        )
        await answer(head, body)

    try:
        await serve_connection(connection, read_and_answer, idle_seconds)
    except http.EXCHANGE_ERRORS as error:
        logs.bind_error(error).debug('connection ended: {}', error.message)
