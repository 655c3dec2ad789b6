"""A stand-in of the platform's metadata store, in its wire format."""

import urllib.parse

import curio

from celeryward import http
from celeryward.standins import base


class StoreStandIn(base.StandIn):
    """The metadata store: revisions, pages, long polls and conflicts.

    Attributes that inject faults:

    - ``unavailable``: close connections without a response.
    - ``unresponsive_kinds``: kinds whose calls get no response.
    - ``stalled_watch_kinds``: kinds whose open long polls stall, while new
      calls are served.
    - ``compacted``: revision up to which the history is gone.
    - ``page_size``: upper bound on the entries of a page.
    - ``generation``: value of the header with the generation; None for none.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.objects = {}
        self.revision = 0
        self.history = []
        self.changed = curio.Condition()
        self.unavailable = False
        self.unresponsive_kinds = frozenset()
        self.stalled_watch_kinds = frozenset()
        self.compacted = 0
        self.page_size = 500
        self.requests = []
        self.generation = None

    async def put(self, kind, name, spec, status=None):
        """Write an object unconditionally, as another writer would."""
        before = self.objects.get((kind, name))
        self.revision += 1
        entry = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': (
                    before['meta']['created'] if before else self.revision
                ),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        await self.store(kind, name, entry, False)
        return entry

    async def delete(self, kind, name):
        """Delete an object."""
        self.revision += 1
        entry = self.objects[(kind, name)]
        meta = entry['meta'] | {'revision': self.revision}
        await self.store(kind, name, entry | {'meta': meta}, True)

    def copy(self):
        """Return a copy of the data, for :meth:`restore`."""
        return dict(self.objects), self.revision, list(self.history)

    async def restore(self, copy):
        """Return from an older copy, with the next generation.

        Open long polls go on waiting, at revisions of the lost data.
        """
        self.objects, self.revision, self.history = copy
        self.generation += 1
        async with self.changed:
            await self.changed.notify_all()

    async def send(self, connection, status, value):
        """Send a response with the generation, if there is one."""
        headers = {}
        if self.generation is not None:
            headers['store-era'] = str(self.generation)
        await base.send_json(connection, status, value, headers)

    async def compact(self):
        """Drop all history and end the open long polls."""
        self.revision += 1
        self.compacted = self.revision
        async with self.changed:
            await self.changed.notify_all()

    async def store(self, kind, name, entry, deleted):
        """Apply one change and notify the open long polls."""
        if deleted:
            del self.objects[(kind, name)]
        else:
            self.objects[(kind, name)] = entry
        event = {'object': entry, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            await self.changed.notify_all()

    async def answer(self, connection, received):
        """Dispatch one request by its method and path."""
        self.requests.append((received.head.method, received.head.target))
        if self.unavailable:
            raise http.Disconnected('away', step='store', peer='test')
        path, _, query = received.head.target.partition('?')
        parts = [urllib.parse.unquote(part) for part in path.split('/')[3:]]
        fields = dict(urllib.parse.parse_qsl(query))
        if parts[0] in self.unresponsive_kinds:
            await connection.wait_closed()
            return
        if received.head.method == 'PUT':
            await self.answer_put(connection, parts, received.json())
        elif received.head.method == 'POST':
            await self.answer_post(connection, parts[0], received.json())
        elif received.head.method == 'DELETE':
            await self.answer_delete(connection, parts, fields)
        elif len(parts) > 1:
            await self.answer_get(connection, tuple(parts))
        elif 'watch' in fields:
            await self.answer_watch(connection, parts[0], fields)
        else:
            await self.answer_list(connection, parts[0], fields)

    async def answer_list(self, connection, kind, fields):
        """Send one page of the objects of a kind."""
        after = fields.get('afterRev', '')
        names = sorted(
            name
            for each, name in self.objects
            if each == kind and name > after
        )
        page = names[: self.page_size]
        answer = {
            'entries': [self.objects[(kind, name)] for name in page],
            'hasMore': len(names) > len(page),
            'currentRev': self.revision,
        }
        await self.send(connection, 200, answer)

    async def answer_watch(self, connection, kind, fields):
        """Answer a long poll at the next change or after its wait."""
        since = int(fields['watch'])
        started_unstalled = kind not in self.stalled_watch_kinds
        async with curio.ignore_after(int(fields['waitMs']) / 1000):
            async with self.changed:
                while not self.events(kind, since) and since >= self.compacted:
                    await self.changed.wait()
        answer = {
            'events': self.events(kind, since),
            'currentRev': self.revision,
        }
        while started_unstalled and kind in self.stalled_watch_kinds:
            await curio.sleep(0.01)
        if since < self.compacted:
            await self.send(connection, 410, {})
        else:
            await self.send(connection, 200, answer)

    def events(self, kind, since):
        """Return the events of a kind after a revision."""
        return [
            event
            for revision, each, event in self.history
            if each == kind and revision > since
        ]

    async def answer_put(self, connection, parts, entry):
        """Replace the spec or the status of an object at its revision."""
        kind, name = parts[:2]
        current = self.objects[(kind, name)]
        if entry['meta']['revision'] != current['meta']['revision']:
            await self.send(connection, 409, current)
            return
        spec, status = entry['spec'], current['status']
        if parts[2:] == ['status']:
            spec, status = current['spec'], entry['status']
        stored = await self.put(kind, name, spec, status)
        await self.send(connection, 200, stored)

    async def answer_post(self, connection, kind, entry):
        """Create an object, unless it exists."""
        name = entry['meta']['name']
        if (kind, name) in self.objects:
            await self.send(connection, 409, {})
            return
        stored = await self.put(kind, name, entry['spec'])
        await self.send(connection, 201, stored)

    async def answer_get(self, connection, key):
        """Send one object."""
        found = self.objects.get(key)
        await self.send(connection, 200 if found else 404, found or {})

    async def answer_delete(self, connection, parts, fields):
        """Delete an object at its revision."""
        current = self.objects.get(tuple(parts))
        if current is None:
            await self.send(connection, 404, {})
        elif int(fields['revision']) != current['meta']['revision']:
            await self.send(connection, 409, current)
        else:
            await self.delete(*parts)
            await self.send(connection, 200, current)
