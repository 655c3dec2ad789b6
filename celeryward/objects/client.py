"""Client of the object API. Its calls return results and don't raise.

A write whose response is lost returns ``Err(WriteUnknown)``; the caller reads
the object to learn the outcome.
"""

import dataclasses
import time

from curio import meta
import msgspec
import result

from celeryward import awake_clock
from celeryward import deadlines
from celeryward import errors
from celeryward import http
from celeryward.objects import confirmations
from celeryward.objects import connections
from celeryward.objects import generations
from celeryward.objects import ignored
from celeryward.objects import pages
from celeryward.objects import protocol

TRANSPORT_ERRORS = (errors.ConnectionFailed, *http.EXCHANGE_ERRORS)
ERROR_BY_STATUS = {
    404: (errors.NotFound, 'object does not exist'),
    410: (errors.RevisionExpired, 'revision is no longer in the history'),
    413: (errors.AnswerTooLarge, 'changes exceed the size limit'),
}


class ObjectClient:
    """Calls the object API; the watches of a kind reuse idle connections.

    A late copy of an answer can't be told from the answer to another call.
    Only a watch finds that it knows what is in a copy of an earlier one.

    :param settings.Address address: address of the object API.
    :param float timeout: timeout of one call in seconds.
    :param str writer: name that is stored with each write.
    :param dialect: paths, bodies and statuses of the store, such as
        :class:`protocol.ObjectDialect`.
    :param ignored_entries: :class:`ignored.IgnoredEntries`.
    """

    def __init__(
        self, address, timeout, writer, dialect=None, ignored_entries=None
    ):
        self.ignored = ignored_entries or ignored.IgnoredEntries()
        self.generations = generations.Generations(self.ignored)
        self.address = address
        self.timeout = timeout
        self.writer = writer
        self.dialect = dialect or protocol.ObjectDialect()
        self.connections = connections.Connections(address)
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
        path = self.dialect.object_path(kind, name)
        answer = await self.call('GET', path, kind=kind)
        return answer.and_then(
            lambda body: self.decode(self.dialect.decode_object, kind, body)
        )

    async def list(self, kind):
        """Read all objects of a kind as ``Ok(ObjectList)``."""
        answer = await self.call('GET', self.dialect.list_path(kind))
        return answer.and_then(
            lambda body: self.decode(self.dialect.decode_list, kind, body)
        )

    async def list_pages(self, kind, allow_stale=False):
        """Read all objects of a kind, page by page.

        :param bool allow_stale: whether the store may answer with data that is
            seconds old.
        :returns: as :func:`pages.read_all`.
        """
        return await pages.read_all(
            lambda after: self.read_page(kind, after, allow_stale), self.peer
        )

    async def read_page(self, kind, after, allow_stale):
        """Read the page of a list that begins after a name."""
        started = time.monotonic()
        path = self.dialect.page_path(kind, after, allow_stale)
        answer = await self.call('GET', path)
        elapsed = time.monotonic() - started
        page = answer.and_then(
            lambda body: self.decode(self.dialect.decode_page, kind, body)
        )
        return page.map(self.generations.stamp).map(
            lambda page: confirmations.limit_confirmation(page, elapsed)
        )

    async def changes(self, kind, since, wait_seconds):
        """Wait for changes of a kind after a revision.

        :param float wait_seconds: time after which the store answers
            without a change.
        :returns: ``Ok(ChangeList)``, or ``Err`` with ``RevisionExpired`` or
            ``PlatformUnavailable``.
        """
        path = self.dialect.long_poll_path(kind, since, wait_seconds)
        paused_before = awake_clock.CLOCK.paused()
        started = time.monotonic()
        answer = await self.call(
            'GET', path, timeout=wait_seconds + self.timeout, watched=kind
        )
        elapsed = time.monotonic() - started
        paused = awake_clock.CLOCK.paused() - paused_before
        outcome = answer.and_then(
            lambda body: self.decode(self.dialect.decode_changes, kind, body)
        )
        return outcome.map(self.generations.stamp).map(
            lambda answer: confirmations.add_confirmation(
                answer.newer_than(since), wait_seconds, elapsed, paused
            )
        )

    async def put_status(self, stored):
        """Replace the status of an object if it is still at its revision.

        :returns: as :meth:`create`.
        """
        path = self.dialect.status_path(stored.kind, stored.name)
        body = self.dialect.encode(stored)
        answer = await self.call('PUT', path, {}, body, kind=stored.kind)
        return answer.and_then(
            lambda text: self.decode_written(stored.kind, text)
        )

    async def hosts(self):
        """Read the list of hosts, which may lag, as ``Ok(HostList)``."""
        answer = await self.call('GET', '/hosts')
        return answer.and_then(
            lambda body: self.decode(decode_hosts, 'Host', body)
        )

    async def create(self, stored):
        """Store an object if it doesn't exist yet.

        :returns: ``Ok(StoredObject)`` with its revision, or ``Err`` with
            ``Conflict``, ``WriteUnknown`` or ``PlatformUnavailable``.
        """
        return await self.write(stored, *self.dialect.create_request(stored))

    async def put(self, stored, expected_revision):
        """Replace an object if it is at the expected revision.

        :returns: as :meth:`create`.
        """
        stored = dataclasses.replace(stored, revision=expected_revision)
        call = self.dialect.replace_request(stored, expected_revision)
        return await self.write(stored, *call)

    async def delete(self, stored):
        """Delete an object if it is still at its revision."""
        return await self.write(stored, *self.dialect.delete_request(stored))

    async def write(self, stored, method, path, condition):
        """Send one conditional write.

        :param dict condition: headers of the precondition.
        """
        body = self.dialect.encode(stored)
        headers = {'x-writer': self.writer, **condition}
        answer = await self.call(method, path, headers, body, kind=stored.kind)
        return answer.and_then(
            lambda text: self.decode_written(stored.kind, text)
        )

    async def call(
        self,
        method,
        path,
        headers=None,
        body=b'',
        kind='',
        timeout=None,
        watched='',
    ):
        """Make one call and map its status to a result.

        :param str kind: kind of the object that a conflict returns.
        :param float timeout: timeout in seconds; that of the client if None.
        :param str watched: kind that the call watches; empty for others.
        """
        self.calls += 1
        deadline = deadlines.Deadline.after(timeout or self.timeout)
        use = self.connection_use(method, watched)
        try:
            async with self.connections.lease(deadline, use) as connection:
                response, response_body = await self.exchange(
                    connection, method, path, headers or {}, body, deadline
                )
        except TRANSPORT_ERRORS as error:
            return result.Err(self.classify(error, method, path))
        if not self.generations.accept_head(
            response.headers, self.dialect.generation_header
        ):
            error = errors.ProtocolError(
                'response of an earlier generation', step=path, peer=self.peer
            )
            return result.Err(self.classify(error, method, path))
        return self.check_status(
            response.status, response_body, method, path, kind
        )

    async def exchange(
        self, connection, method, path, headers, body, deadline
    ):
        """Send a request; return the head and body of its response."""
        return await http.exchange(
            connection, method, path, headers, body, deadline
        )

    def classify(self, error, method, path):
        """Return the platform error for a transport error."""
        sent = getattr(error, 'sent', True)
        step = f'{method} {path}'
        if method == 'GET' or not sent:
            return errors.PlatformUnavailable(
                f'object API is unavailable: {error.message}',
                step=step,
                peer=self.peer,
            )
        return errors.WriteUnknown(
            f'response to a write was lost: {error.message}',
            step=step,
            peer=self.peer,
        )

    def check_status(self, status, body, method, path, kind=''):
        """Return ``Ok(body)``, or the error that the status indicates."""
        step = f'{method} {path}'
        if status in (200, 201):
            return result.Ok(body)
        if status in ERROR_BY_STATUS:
            kind_of_error, message = ERROR_BY_STATUS[status]
            return result.Err(
                kind_of_error(message, step=step, peer=self.peer)
            )
        if status == self.dialect.conflict_status:
            decoder = self.dialect.decode_object
            current = self.decode(decoder, kind, body).unwrap_or(None)
            return result.Err(
                errors.Conflict(
                    'stored revision differs from the expected one',
                    step=step,
                    peer=self.peer,
                    current=current,
                )
            )
        message = f'object API returned status {status}'
        refused = status in self.dialect.refused_statuses
        if method != 'GET' and status >= 500 and not refused:
            # The error may have occurred after the write was applied.
            return result.Err(
                errors.WriteUnknown(message, step=step, peer=self.peer)
            )
        return self.unavailable(message, step)

    def decode(self, decoder, kind, body):
        """Decode a body, or return ``Err(PlatformUnavailable)``.

        :param decoder: function that takes a kind and a body, and raises
            ``msgspec.DecodeError`` if the body is malformed.
        """
        try:
            return result.Ok(decoder(kind, body))
        except msgspec.DecodeError as error:
            return self.unavailable(f'malformed response: {error}', 'decode')

    def decode_written(self, kind, body):
        """Decode the object that a write returns.

        :returns: ``Ok(StoredObject)``, or ``Err(WriteUnknown)``: the status
            says that the write was applied.
        """
        decoded = self.decode(self.dialect.decode_object, kind, body)
        return decoded.map_err(
            lambda error: errors.WriteUnknown(
                error.message, step=error.step, peer=error.peer
            )
        )

    def unavailable(self, message, step):
        """Return ``Err(PlatformUnavailable)``."""
        return result.Err(
            errors.PlatformUnavailable(message, step=step, peer=self.peer)
        )

    def connection_use(self, method, watched):
        """Return the name that calls share which reuse connections.

        Writes use a new connection: on an idle connection that has failed
        unnoticed, the outcome of a write would be unknown.

        :returns: an empty name for a call that uses a new connection.
        """
        return watched

    async def watch(self, kinds, since, next_deadline):
        """Yield a result with each :class:`protocol.Change` of a stream.

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
        """Send the request of a watch and yield a result for each line."""
        await http.send_request(connection, 'GET', path, {}, b'', deadline)
        response = await connection.receive_response(deadline)
        if response.status != 200:
            body = await connection.receive_body('read body', deadline)
            yield self.check_status(response.status, body, 'GET', path)
            return
        buffer = b''
        chunks = connection.receive_chunks('watch', next_deadline)
        async with meta.finalize(chunks):
            async for chunk in chunks:
                connection.meter.begin_work()
                *lines, buffer = (buffer + chunk).split(b'\n')
                await connection.meter.take_turn(next_deadline())
                for line in lines:
                    change = self.decode(decode_change, '', line)
                    if change.is_ok():
                        yield change
                    else:
                        message = change.unwrap_err().message
                        self.ignored.record('watch', '', message)
                if len(buffer) > http.MAX_BODY_BYTES:
                    yield self.decode(decode_change, '', b'')
                    return


def decode_hosts(kind, body):
    """Return the list of hosts in a body."""
    return protocol.read_hosts(body)


def decode_change(kind, line):
    """Return the change in one line of a watch."""
    return protocol.read_change(line)
