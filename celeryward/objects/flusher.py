"""Task that writes bills to the platform at regular intervals."""

import random

import curio

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import batches

MAX_MERGES = 4
# A bill with fewer than 2 copies may be lost with its owner, so it is
# written sooner, at the cost of more calls.
UNDER_REPLICATED_INTERVAL_SECONDS = 1.0
# As a share of the interval. Without it, daemons may flush simultaneously.
INTERVAL_JITTER = 0.2


class Flusher:
    """Writes the batches of a ledger, and the replicas that are due.

    :param ledger: :class:`billing.Ledger`.
    :param client: :class:`client.ObjectClient`.
    :param float interval: mean seconds between two flushes.
    :param replicas: :class:`replicas.Replicas`, or None.
    :param claims: :class:`claim_store.ClaimStore`, or None.
    """

    def __init__(self, ledger, client, interval, replicas=None, claims=None):
        self.ledger = ledger
        self.client = client
        self.interval = interval
        self.replicas = replicas
        self.claims = claims
        self.lock = curio.Lock()
        self.flush_at = deadlines.NEVER
        self.hastened = curio.Event()
        ledger.on_missing_copies = self.hasten

    async def run(self):
        """Flush at each interval, or earlier if that is asked for."""
        while True:
            await self.flush_by(self.next_interval())
            await self.wait_until_due()
            # Set before the flush, which may ask for another one.
            self.flush_at = deadlines.NEVER
            await self.flush()

    async def wait_until_due(self):
        """Wait until the next flush is due."""
        while not self.flush_at.expired():
            async with curio.ignore_after(self.flush_at.remaining()):
                await self.hastened.wait()
            self.hastened.clear()

    async def flush_by(self, seconds):
        """Flush in some seconds, unless a flush is due earlier."""
        due = deadlines.Deadline.after(seconds)
        self.flush_at = self.flush_at.earlier(due)
        await self.hastened.set()

    async def wake(self):
        """Start a flush at once; called when a peer has died."""
        await self.flush_by(0.0)

    async def hasten(self):
        """Flush sooner, because copies of bills are missing."""
        await self.flush_by(self.next_interval())

    def next_interval(self):
        """Return the seconds until the next flush, with jitter."""
        interval = self.interval
        if self.ledger.peers is None or self.ledger.under_replicated:
            interval = min(interval, UNDER_REPLICATED_INTERVAL_SECONDS)
        return interval * random.uniform(
            1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER
        )

    async def flush(self):
        """Write all batches, then claim outcomes that were not stored.

        :returns: whether all batches of the ledger were written.
        """
        async with self.lock:
            own_written = await self.drain(self.ledger)
            if self.replicas is not None:
                replicas_written = await self.drain(self.replicas)
                if not replicas_written:
                    await self.replicate_orphans()
            if not own_written:
                await self.ledger.restore_replicas()
            if own_written and self.claims is not None:
                await self.claims.store_pending_outcomes()
            return own_written

    async def replicate_orphans(self):
        """Replicate the batches of dead owners to other peers."""
        for owner, batch in self.replicas.freeze_orphaned():
            holders = await self.ledger.replicate_batch(batch)
            if holders:
                self.replicas.mark_replicated(owner, batch, holders)

    async def drain(self, source):
        """Write batches until there are no more or a write fails.

        :param source: the ledger, or the replicas.
        :returns: whether all batches were written.
        """
        while True:
            batch = source.next_batch()
            if batch is None:
                return True
            if not await self.write(batch):
                return False
            await source.mark_written(batch)

    async def write(self, batch):
        """Store all bills of a batch; return whether that is confirmed.

        The create is conditional. If the object exists, written by an
        earlier attempt or by another holder of the bills, the bills that it
        lacks are added, conditional on its revision.
        """
        outcome = await self.client.create(batch.to_object())
        for _ in range(MAX_MERGES):
            if outcome.is_ok():
                return True
            current = await self.read_back(batch, outcome.unwrap_err())
            if current is None:
                return False
            merged = batches.merge(batches.from_object(current), batch)
            if merged is None:
                return True
            outcome = await self.client.put(
                merged.to_object(), current.revision
            )
        return False

    async def read_back(self, batch, error):
        """Return the stored object after a failed write, or None."""
        if isinstance(error, errors.Conflict) and error.current is not None:
            return error.current
        if isinstance(error, (errors.Conflict, errors.WriteUnknown)):
            read = await self.client.get(batches.BATCH_KIND, batch.name)
            if read.is_ok():
                return read.unwrap()
            error = read.unwrap_err()
        logs.bind_error(error).warning('bills not written: {}', error.message)
        return None
