"""A stand-in of the platform's metadata store.

It keeps objects by kind and name under one revision counter, and answers
lists, reads, long polls and conditional writes as PROTOCOL.md says.
"""

import asyncio
import urllib.parse

from review.standins import wire

PAGE_ENTRIES = 500


class Store:
    """The objects, their history, and the server that shows them."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.port = None

    async def start(self, host):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec, status=None):
        """Write an object; the return is its acknowledgement."""
        known = self.objects.get((kind, name))
        self.revision += 1
        entry = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': known['meta']['created']
                if known
                else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.objects[(kind, name)] = entry
        await self.record(kind, entry, False)
        return entry

    async def delete(self, kind, name):
        """Remove an object."""
        self.revision += 1
        entry = self.objects.pop((kind, name))
        meta = entry['meta'] | {'revision': self.revision}
        await self.record(kind, entry | {'meta': meta}, True)

    async def record(self, kind, entry, deleted):
        """Add a change to the history, and wake the waiting watches."""
        event = {'object': entry, 'deleted': deleted}
        self.history.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        """Return the events of a kind after a revision."""
        return [
            event
            for revision, each, event in self.history
            if each == kind and revision > since
        ]

    async def serve(self, reader, writer):
        """Answer the calls on one connection."""
        try:
            while (call := await wire.read_message(reader)) is not None:
                writer.write(await self.answer(call))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, call):
        """Return the bytes of the response to one call."""
        method, target = call.start[:2]
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(each) for each in path.split('/')[3:]]
        if method == 'POST':
            return await self.create(parts[0], call.json())
        if method == 'PUT':
            return await self.replace(parts, call.json())
        if method == 'DELETE':
            return await self.remove(parts, fields)
        if len(parts) > 1:
            found = self.objects.get(tuple(parts))
            return wire.json_response(200 if found else 404, found or {})
        if 'watch' in fields:
            return await self.watch(parts[0], fields)
        return self.list_page(parts[0], fields)

    async def create(self, kind, entry):
        """Create an object unless it exists."""
        name = entry['meta']['name']
        if (kind, name) in self.objects:
            return wire.json_response(409, self.objects[(kind, name)])
        stored = await self.put(kind, name, entry['spec'])
        return wire.json_response(201, stored)

    async def replace(self, parts, entry):
        """Replace spec or status of an object at its revision."""
        kind, name = parts[:2]
        current = self.objects.get((kind, name))
        if current is None:
            return wire.json_response(404, {})
        wanted = entry['meta'].get('revision')
        if wanted is not None and wanted != current['meta']['revision']:
            return wire.json_response(409, current)
        spec, status = entry['spec'], current['status']
        if parts[2:] == ['status']:
            spec, status = current['spec'], entry['status']
        stored = await self.put(kind, name, spec, status)
        return wire.json_response(200, stored)

    async def remove(self, parts, fields):
        """Delete an object at its revision."""
        current = self.objects.get(tuple(parts))
        if current is None:
            return wire.json_response(404, {})
        wanted = fields.get('revision')
        if wanted and int(wanted) != current['meta']['revision']:
            return wire.json_response(409, current)
        await self.delete(*parts)
        return wire.json_response(200, current)

    def list_page(self, kind, fields):
        """Return one page of the objects of a kind."""
        after = fields.get('afterRev', '')
        names = sorted(
            name
            for each, name in self.objects
            if each == kind and name > after
        )
        page = names[:PAGE_ENTRIES]
        return wire.json_response(
            200,
            {
                'entries': [self.objects[(kind, name)] for name in page],
                'hasMore': len(names) > len(page),
                'currentRev': self.revision,
            },
        )

    async def watch(self, kind, fields):
        """Return the next changes of a kind, or none after the wait."""
        since = int(fields['watch'])
        seconds = int(fields.get('waitMs', 30000)) / 1000

        async def wait_for_change():
            async with self.changed:
                await self.changed.wait_for(lambda: self.events(kind, since))

        try:
            await asyncio.wait_for(wait_for_change(), seconds)
        except asyncio.TimeoutError:
            pass
        return wire.json_response(
            200,
            {
                'events': self.events(kind, since),
                'currentRev': self.revision,
            },
        )
