"""Client of the object API. Every method returns a result.

A write whose answer is lost is ``Err(WriteUnknown)``; the caller reads the
object back to learn the outcome.
"""

import contextlib

from curio import meta
import msgspec
import result

from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.objects import protocol

TRANSPORT_ERRORS = (errors.ConnectionFailed, *http.EXCHANGE_ERRORS)
MAX_IDLE_CONNECTIONS = 4


class ObjectClient:
    """Calls the object API over kept-alive connections.

    :param settings.Address address: where the object API listens.
    :param float timeout: seconds allowed for one call.
    :param str writer: name stored with each write.
    """

    def __init__(self, address, timeout, writer):
        self.address = address
        self.timeout = timeout
        self.writer = writer
        self.idle = []
        self.calls = 0

    @property
    def peer(self):
        """The address as ``host:port``."""
        return f'{self.address.host}:{self.address.port}'

    async def get(self, kind, name):
        """Read one object.

        :returns: ``Ok(StoredObject)``, or ``Err`` with ``NotFound`` or
            ``PlatformUnavailable``.
        """
        path = protocol.object_path(kind, name)
        answer = await self.call('GET', path)
        return answer.and_then(self.decode_object)

    async def list(self, kind):
        """Read all objects of a kind as ``Ok(ObjectList)``."""
        answer = await self.call('GET', protocol.list_path(kind))
        return answer.and_then(
            lambda body: self.decode(protocol.LIST_DECODER, body)
        )

    async def hosts(self):
        """Read the lagging list of hosts as ``Ok(HostList)``."""
        answer = await self.call('GET', '/hosts')
        return answer.and_then(
            lambda body: self.decode(protocol.HOSTS_DECODER, body)
        )

    async def create(self, stored):
        """Store an object that must not exist yet.

        :returns: ``Ok(StoredObject)`` with its revision, or ``Err`` with
            ``Conflict``, ``WriteUnknown`` or ``PlatformUnavailable``.
        """
        return await self.write('PUT', stored, {'if-none-match': '*'})

    async def put(self, stored, expected_revision):
        """Replace an object that must be at the expected revision.

        :returns: as :meth:`create`.
        """
        condition = {'if-match': str(expected_revision)}
        return await self.write('PUT', stored, condition)

    async def delete(self, stored):
        """Delete an object that must still be at its revision."""
        condition = {'if-match': str(stored.revision)}
        return await self.write('DELETE', stored, condition)

    async def write(self, method, stored, condition):
        """Send one conditional write."""
        path = protocol.object_path(stored.kind, stored.name)
        body = protocol.encode(stored)
        headers = {'x-writer': self.writer, **condition}
        answer = await self.call(method, path, headers, body)
        return answer.and_then(self.decode_object)

    async def call(self, method, path, headers=None, body=b''):
        """Make one call and map its status to a result."""
        self.calls += 1
        deadline = deadlines.Deadline.after(self.timeout)
        write = method != 'GET'
        try:
            async with self.connection(deadline, write) as connection:
                response, answer = await http.exchange(
                    connection, method, path, headers or {}, body, deadline
                )
        except TRANSPORT_ERRORS as error:
            return result.Err(self.classify(error, method, path))
        return self.check_status(response.status, answer, method, path)

    def classify(self, error, method, path):
        """Return the platform error for a transport error."""
        sent = getattr(error, 'sent', True)
        step = f'{method} {path}'
        if method == 'GET' or not sent:
            return errors.PlatformUnavailable(
                f'object API is not available: {error.message}',
                step=step,
                peer=self.peer,
            )
        return errors.WriteUnknown(
            f'answer to a write was lost: {error.message}',
            step=step,
            peer=self.peer,
        )

    def check_status(self, status, body, method, path):
        """Return ``Ok(body)`` or the error that the status stands for."""
        step = f'{method} {path}'
        if status == 200:
            return result.Ok(body)
        if status == 404:
            return result.Err(
                errors.NotFound('no such object', step=step, peer=self.peer)
            )
        if status == 410:
            return result.Err(
                errors.RevisionExpired(
                    'watch is too old', step=step, peer=self.peer
                )
            )
        if status == 412:
            current = self.decode_object(body).unwrap_or(None)
            return result.Err(
                errors.Conflict(
                    'object was changed meanwhile',
                    step=step,
                    peer=self.peer,
                    current=current,
                )
            )
        message = f'object API answered {status}'
        if method != 'GET' and status >= 500:
            # The fault may have arisen after the write took effect.
            return result.Err(
                errors.WriteUnknown(message, step=step, peer=self.peer)
            )
        return result.Err(
            errors.PlatformUnavailable(message, step=step, peer=self.peer)
        )

    def decode_object(self, body):
        """Return ``Ok(StoredObject)`` for a JSON body."""
        return self.decode(protocol.OBJECT_DECODER, body)

    def decode(self, decoder, body):
        """Decode a body, or return ``Err(PlatformUnavailable)``."""
        try:
            return result.Ok(decoder.decode(body))
        except msgspec.DecodeError as error:
            return result.Err(
                errors.PlatformUnavailable(
                    f'malformed answer: {error}',
                    step='decode',
                    peer=self.peer,
                )
            )

    @contextlib.asynccontextmanager
    async def connection(self, deadline, fresh):
        """Borrow a connection; it is kept only after a clean exchange.

        Writes use a fresh connection, so that a connection that went
        silent while idle can't turn a write into an unknown outcome.
        """
        if self.idle and not fresh:
            connection = self.idle.pop()
        else:
            connection = await http.connect(
                self.address.host, self.address.port, deadline
            )
        clean = False
        try:
            yield connection
            clean = connection.reusable()
        finally:
            if clean and len(self.idle) < MAX_IDLE_CONNECTIONS:
                connection.start_next_cycle()
                self.idle.append(connection)
            else:
                await connection.close()

    async def watch(self, kinds, since, next_deadline):
        """Yield results of :class:`protocol.Change` until the stream ends.

        :param next_deadline: function that returns the deadline of the
            next line; the platform sends a bookmark when nothing changes.
        """
        self.calls += 1
        path = protocol.watch_path(kinds, since)
        deadline = deadlines.Deadline.after(self.timeout)
        try:
            connection = await http.connect(
                self.address.host, self.address.port, deadline
            )
        except errors.ConnectionFailed as error:
            yield result.Err(self.classify(error, 'GET', path))
            return
        try:
            changes = self.read_watch(
                connection, path, deadline, next_deadline
            )
            async with meta.finalize(changes):
                async for change in changes:
                    yield change
        except TRANSPORT_ERRORS as error:
            yield result.Err(self.classify(error, 'GET', path))
        finally:
            await connection.close()

    async def read_watch(self, connection, path, deadline, next_deadline):
        """Send the watch and yield its lines."""
        await http.send_request(connection, 'GET', path, {}, b'')
        response = await connection.receive_response(deadline)
        if response.status != 200:
            body = await connection.receive_body('read body', deadline)
            yield self.check_status(response.status, body, 'GET', path)
            return
        rest = b''
        pieces = connection.receive_chunks('watch', next_deadline)
        async with meta.finalize(pieces):
            async for piece in pieces:
                *lines, rest = (rest + piece).split(b'\n')
                for line in lines:
                    yield self.decode(protocol.CHANGE_DECODER, line)
