"""Stand-in of the platform's object API, with objects in memory."""

import dataclasses
import urllib.parse

import curio
import h11
import msgspec

from celeryward import http
from celeryward.objects import protocol
from celeryward.standins import base

BOOKMARK_SECONDS = 3.0
HISTORY_LENGTH = 10_000


class PlatformStandIn(base.StandIn):
    """Objects with revisions, conditional writes and watches.

    Attributes that inject faults: while ``unavailable`` is set, connections
    are closed without a response; ``lose_answers`` is a function that returns,
    for each write, whether it takes effect but its response is lost.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.objects = {}
        self.revision = 0
        self.history = []
        self.changed = curio.Condition()
        self.hosts = ()
        self.unavailable = False
        self.lose_answers = lambda received: False
        self.calls = 0

    async def answer(self, connection, received):
        """Dispatch one request by its path."""
        self.calls += 1
        if self.unavailable:
            raise _disconnected(connection)
        path, _, query = received.head.target.partition('?')
        parts = path.strip('/').split('/')
        if path == '/hosts':
            hosts = protocol.HostList(tuple(self.hosts))
            await base.send_json(connection, 200, hosts)
        elif path == '/watch':
            await self.answer_watch(connection, query)
        elif parts[0] == 'objects' and len(parts) == 2:
            await self.answer_list(connection, parts[1])
        elif parts[0] == 'objects' and len(parts) == 3:
            key = (parts[1], urllib.parse.unquote(parts[2]))
            await self.answer_object(connection, received, key)
        else:
            await base.send_json(connection, 404, {})

    async def answer_list(self, connection, kind):
        """Send the list of all objects of a kind."""
        items = tuple(
            stored for key, stored in self.objects.items() if key[0] == kind
        )
        listed = protocol.ObjectList(items, self.revision)
        await base.send_json(connection, 200, listed)

    async def answer_object(self, connection, received, key):
        """Read, write or delete one object."""
        method = received.head.method
        current = self.objects.get(key)
        if method == 'GET':
            status = 200 if current else 404
            await base.send_json(connection, status, current)
            return
        if not self.condition_holds(received.head.headers, current):
            await base.send_json(connection, 412, current)
            return
        if method == 'DELETE':
            stored = await self.remove(current)
        else:
            stored = await self.store(key, received)
        if self.lose_answers(received):
            raise _disconnected(connection)
        await base.send_json(connection, 200, stored)

    def condition_holds(self, headers, current):
        """Return whether the precondition of a write holds."""
        if headers.get('if-none-match') == '*':
            return current is None
        if current is None:
            return False
        return headers.get('if-match') == str(current.revision)

    async def store(self, key, received):
        """Store the object in a request at the next revision."""
        written = msgspec.json.decode(
            received.body, type=protocol.StoredObject
        )
        stored = dataclasses.replace(
            written,
            kind=key[0],
            name=key[1],
            revision=self.revision + 1,
            writer=received.head.headers.get('x-writer', ''),
        )
        return await self.put(stored)

    async def put(self, stored):
        """Store an object unconditionally and notify the watches."""
        self.revision += 1
        stored = dataclasses.replace(stored, revision=self.revision)
        self.objects[stored.key] = stored
        await self.publish_change(
            protocol.Change('put', self.revision, stored)
        )
        return stored

    async def remove(self, current):
        """Delete an object and notify the watches."""
        self.revision += 1
        del self.objects[current.key]
        await self.publish_change(
            protocol.Change('delete', self.revision, current)
        )
        return current

    async def publish_change(self, change):
        """Add a change to the history and notify the watches."""
        self.history.append(change)
        del self.history[:-HISTORY_LENGTH]
        async with self.changed:
            await self.changed.notify_all()

    async def answer_watch(self, connection, query):
        """Stream changes of the requested kinds until the peer disconnects."""
        fields = urllib.parse.parse_qs(query)
        kinds = frozenset(fields['kinds'][0].split(','))
        since = int(fields['since'][0])
        oldest = self.history[0].revision if self.history else 0
        if self.history and since < oldest - 1:
            await base.send_json(connection, 410, {})
            return
        headers = {'transfer-encoding': 'chunked'}
        await connection.send(
            'send watch',
            h11.Response(
                status_code=200, headers=http.encode_headers(headers)
            ),
        )
        while not self.unavailable:
            changes = [
                change
                for change in self.history
                if change.revision > since and change.object.kind in kinds
            ]
            since = self.revision
            if not changes:
                changes = [protocol.Change('bookmark', since)]
            lines = b''.join(
                protocol.encode(change) + b'\n' for change in changes
            )
            await connection.send('send watch', h11.Data(data=lines))
            await self.wait_for_change(since)
        raise _disconnected(connection)

    async def wait_for_change(self, since):
        """Wait until there is a newer revision, or a bookmark is due."""
        async with curio.ignore_after(BOOKMARK_SECONDS):
            async with self.changed:
                while self.revision == since and not self.unavailable:
                    await self.changed.wait()

    async def set_unavailable(self, unavailable):
        """Begin or end an outage; open watches are closed at its begin."""
        self.unavailable = unavailable
        async with self.changed:
            await self.changed.notify_all()


def _disconnected(connection):
    return http.Disconnected(
        'stand-in drops the connection', step='answer', peer=connection.peer
    )
