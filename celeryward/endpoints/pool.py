"""Pool of connections to endpoints, each with one exchange at a time."""

import contextlib
import dataclasses
import time

from celeryward import deadlines
from celeryward import errors
from celeryward import http

MAX_IDLE_PER_ENDPOINT = 32
# How long a connection without any exchange stays in the pool. The endpoint
# states its idle timeout only in a response.
UNUSED_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDeadlines:
    """Computes the deadlines of the reads of one call.

    :param Deadline deadline: the deadline of the call.
    :param float first_byte_seconds: longest wait for the first byte.
    :param float progress_seconds: longest wait between two bytes.
    """

    deadline: deadlines.Deadline
    first_byte_seconds: float
    progress_seconds: float

    def first_byte(self):
        """Return the deadline of the first byte, counted from now."""
        wait = deadlines.Deadline.after(self.first_byte_seconds)
        return wait.earlier(self.deadline)

    def progress(self):
        """Return the deadline of the next byte, counted from now."""
        wait = deadlines.Deadline.after(self.progress_seconds)
        return wait.earlier(self.deadline)


class EndpointPool:
    """Idle connections by endpoint address.

    :param settings.Timings timings: connect and idle intervals.
    """

    def __init__(self, timings):
        self.timings = timings
        self.idle = {}

    @contextlib.asynccontextmanager
    async def lease(self, endpoint, deadline, new_connection=False):
        """Borrow a connection for one exchange.

        It returns to the pool only after a complete exchange. Transport
        errors are raised as subclasses of :class:`errors.EndpointFailure`.

        :param bool new_connection: whether to open a new connection. Requests
            that must not run twice need one: on an idle connection that the
            endpoint has closed, their outcome would stay unknown.
        :raises errors.ConnectionFailed: if no connection can be opened.
        """
        connection = None
        if new_connection:
            await self.close_oldest_idle(endpoint)
        else:
            connection = await self.acquire_idle(endpoint)
        if connection is None:
            connection = await self.open(endpoint, deadline)
        clean = False
        try:
            with endpoint_failures(connection):
                yield connection
                clean = connection.reusable()
        finally:
            if clean:
                self.release(endpoint, connection)
            else:
                await connection.close()

    async def open(self, endpoint, deadline):
        """Open a connection within the connect timeout and a deadline."""
        limit = deadlines.Deadline.after(self.timings.connect_timeout)
        return await http.connect(
            endpoint.host, endpoint.port, limit.earlier(deadline)
        )

    @property
    def connect_seconds(self):
        """Seconds allowed to open a connection."""
        return self.timings.connect_timeout

    def keep_unused(self, endpoint, connection):
        """Add a connection without any exchange yet to the pool."""
        connection.last_read_at = time.monotonic()
        connection.usable_until = deadlines.Deadline.after(UNUSED_SECONDS)
        self.idle.setdefault(endpoint.address, []).append(connection)

    async def acquire_idle(self, endpoint):
        """Return the most recently used idle connection, or None.

        An idle connection with input was closed by the endpoint, or holds a
        late or duplicate response to an earlier request. One whose idle time
        is over may be closed by the endpoint while a request is sent.
        """
        idle_connections = self.idle.get(endpoint.address)
        while idle_connections:
            connection = idle_connections.pop()
            if not (
                connection.usable_until.expired() or connection.has_input()
            ):
                connection.from_pool = True
                return connection
            await connection.close()
        return None

    async def close_oldest_idle(self, endpoint):
        """Close the least recently used idle connection, if there is any.

        The new connection that takes its place becomes idle later, so that
        an endpoint has no more connections than requests ran there at once.
        """
        idle_connections = self.idle.get(endpoint.address)
        if idle_connections:
            await idle_connections.pop(0).close()

    def release(self, endpoint, connection):
        """Return a connection to the pool after a complete exchange."""
        connection.start_next_cycle()
        connection.last_read_at = time.monotonic()
        idle_connections = self.idle.setdefault(endpoint.address, [])
        idle_connections.append(connection)

    async def close_idle(self, endpoint, before=float('inf')):
        """Close surplus connections, and those last read before a time.

        :param float before: monotonic seconds.
        :returns: the number of closed connections.
        """
        idle_connections = self.idle.get(endpoint.address, [])
        stale = [
            connection
            for connection in idle_connections
            if connection.last_read_at < before
        ]
        surplus = idle_connections[
            : max(0, len(idle_connections) - MAX_IDLE_PER_ENDPOINT)
        ]
        closing = set(stale) | set(surplus)
        self.idle[endpoint.address] = [
            connection
            for connection in idle_connections
            if connection not in closing
        ]
        for connection in closing:
            await connection.close()
        return len(closing)

    async def close_possibly_silent(self, endpoint, error):
        """Close idle connections that may be dead like a silent one.

        Those that were read after the silent connection still work.

        :param errors.ConnectionSilent error: states since when the connection
            is silent.
        """
        return await self.close_idle(endpoint, before=error.silent_since)

    async def close_except(self, addresses):
        """Close the idle connections to all but the given addresses."""
        for address in self.idle.keys() - addresses:
            for connection in self.idle.pop(address, ()):
                await connection.close()

    async def close(self):
        """Close every idle connection."""
        for idle_connections in self.idle.values():
            for connection in idle_connections:
                await connection.close()
        self.idle.clear()


@contextlib.contextmanager
def endpoint_failures(connection):
    """Raise the errors of an exchange as :class:`errors.EndpointFailure`.

    :param http.Connection connection: is used for nothing else meanwhile.
    """
    written_before = connection.bytes_written
    leased_at = time.monotonic()
    try:
        yield
    except http.ReadTimeout as error:
        raise errors.ConnectionSilent(
            error.message,
            step=error.step,
            peer=error.peer,
            silent_since=max(leased_at, connection.last_read_at),
        ) from error
    except http.Disconnected as error:
        sent = connection.bytes_written > written_before
        raise errors.ConnectionFailed(
            error.message,
            step=error.step,
            peer=error.peer,
            # A failed write may have sent some of its bytes.
            sent=sent or error.step == 'send request',
        ) from error
    except (errors.ProtocolError, errors.BadInput) as error:
        raise errors.AnswerInvalid(
            error.message, step=error.step, peer=error.peer, sent=True
        ) from error
