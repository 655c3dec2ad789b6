"""Entries of another writer that can't be read, among those of the fleet."""

import dataclasses

import curio

from benchmarks.soak import faults
from benchmarks.soak import plans
from tests import platform_odd_entries as entries

# Names sort before and after those of the other entries.
PREFIXES = ('a-odd', 'zz-odd')
# Time for the routers to read the entries.
READ_SECONDS = 0.3
# The endpoint that leaves goes on for longer than it may get requests.
MIN_LEAVING_SECONDS = 4.0


@plans.FAULTS.register('odd-entry')
async def write_odd_entries(fleet, event):
    """Write odd entries, let an endpoint leave, and remove them again."""
    odd_names = sorted(entries.ODD_FIELDS.entries)
    odd = odd_names[event.target % len(odd_names)]
    prefix = PREFIXES[event.target % len(PREFIXES)]
    name = f'{prefix}-{event.target}-{odd}'
    for kind in entries.ENTRIES:
        await fleet.store.put(kind, name, entries.ODD_FIELDS.get(odd)(kind))
    await curio.sleep(READ_SECONDS)
    await faults.remove_endpoint(
        fleet,
        dataclasses.replace(
            event, seconds=max(event.seconds, MIN_LEAVING_SECONDS)
        ),
    )
    for kind in entries.ENTRIES:
        # Another event may have written and removed the same entry.
        if (kind, name) in fleet.store.objects:
            await fleet.store.delete(kind, name)
