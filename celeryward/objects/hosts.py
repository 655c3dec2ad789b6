"""The task that reads the platform's lagging list of hosts."""

import curio

from celeryward import logs

# New work stops within 3 s after the list shows a leaving host (I8): the
# longest time between the starts of two reads, and one read.
READ_INTERVAL_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 1.0


class HostWatcher:
    """Reads the list of hosts and hands it to the liveness of endpoints.

    :param client.ObjectClient client: client of the object API.
    :param liveness.Liveness liveness: liveness of endpoints.
    """

    def __init__(self, client, configuration, liveness):
        self.client = client
        self.configuration = configuration
        self.liveness = liveness

    async def run(self):
        """Read the list until cancelled."""
        while True:
            async with curio.ignore_after(READ_TIMEOUT_SECONDS):
                await self.read()
            await curio.sleep(READ_INTERVAL_SECONDS)

    async def read(self):
        """Read the list once; an outage leaves the last list in force."""
        answer = await self.client.hosts()
        if answer.is_err():
            error = answer.unwrap_err()
            logs.bind_error(error).warning('no hosts: {}', error.message)
            return
        endpoints = self.configuration.catalog().endpoints.values()
        self.liveness.apply_hosts(endpoints, answer.unwrap().items)
