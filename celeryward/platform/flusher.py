"""The task that writes bills to the platform."""

import curio

from celeryward import errors
from celeryward import logs


class Flusher:
    """Writes the batches of a ledger until they are stored.

    :param ledger: :class:`billing.Ledger`.
    :param client: :class:`client.ObjectClient`.
    """

    def __init__(self, ledger, client, interval):
        self.ledger = ledger
        self.client = client
        self.interval = interval

    async def run(self):
        """Flush at each interval."""
        while True:
            await curio.sleep(self.interval)
            await self.flush()

    async def flush(self):
        """Write batches until none is left or a write fails.

        :returns: whether the ledger is empty.
        """
        while True:
            batch = self.ledger.next_batch()
            if batch is None:
                return True
            if not await self.write(batch):
                return False
            self.ledger.written(batch)

    async def write(self, batch):
        """Create the object of a batch; return whether it is stored.

        The name is deterministic and the create conditional, so that a
        conflict means that an earlier attempt did succeed.
        """
        outcome = await self.client.create(batch.to_object())
        if outcome.is_ok():
            return True
        error = outcome.unwrap_err()
        if isinstance(error, errors.Conflict):
            return True
        logs.bind_error(error).warning('bills not written: {}', error.message)
        return False
