"""A task that polls the platform's list of hosts, which can lag."""

import curio

from celeryward import logs

# A host must get no new work from 3 s after the list shows it as leaving. The
# longest time between the starts of two reads plus one read fits into that.
READ_INTERVAL_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 1.0


class HostWatcher:
    """Polls the list of hosts and updates the liveness of their endpoints.

    :param client.ObjectClient client: client of the object API.
    :param configuration: :class:`configuration.ConfigurationStore`.
    :param liveness.Liveness liveness: liveness of endpoints.
    """

    def __init__(self, client, configuration, liveness):
        self.client = client
        self.configuration = configuration
        self.liveness = liveness

    async def run(self):
        """Poll the list until cancelled."""
        while True:
            async with curio.ignore_after(READ_TIMEOUT_SECONDS):
                await self.read()
            await curio.sleep(READ_INTERVAL_SECONDS)

    async def read(self):
        """Read the list once; after a failure, the last list stays valid."""
        answer = await self.client.hosts()
        if answer.is_err():
            error = answer.unwrap_err()
            logs.bind_error(error).warning(
                'list of hosts not read: {}', error.message
            )
            return
        for fault in answer.unwrap().faults:
            self.client.ignored.record('Host', '', fault)
        endpoints = self.configuration.catalog().endpoints.values()
        self.liveness.apply_hosts(endpoints, answer.unwrap().items)
