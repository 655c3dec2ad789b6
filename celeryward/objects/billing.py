"""Bills of this daemon: settled in memory, copied to peers, then written."""

import collections
import dataclasses
import itertools

import result

from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import batches

REPLICATION_TIMEOUT_SECONDS = 0.5
MIN_REPLICAS = 2
REPLICATION_CHUNK_BILLS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How many bills one owner class keeps in memory.

    A detailed bill takes about 1 KB and a packed one about 50 bytes
    (docs/notes/billing.md), so that both bounds together stay under 15 MB.

    :param int detailed: above it, bills are packed by customer and version.
    :param int pending: above it, new billable requests are refused.
    """

    detailed: int = 4_000
    pending: int = 200_000


class Ledger:
    """Bills of this daemon that are not in the platform yet.

    :param str owner: name of this run of the daemon; never used again.
    :param peers: transport to the peers, or None. ``await keep(bills,
        deadline)`` returns the names of the peers that hold the copies, and
        raises an error if there are fewer than 2; ``await
        release(bill_ids)`` tells them that the platform holds the bills.
    """

    def __init__(self, owner, peers=None, bounds=None):
        self.owner = owner
        self.peers = peers
        self.bounds = bounds or Bounds()
        self.sequence = 0
        self.open_batch = None
        self.closed_batches = collections.deque()
        self.under_replicated = peers is None

    @property
    def pending_batches(self):
        """All batches in memory, the oldest first."""
        return [
            *self.closed_batches,
            *([self.open_batch] if self.open_batch else []),
        ]

    @property
    def pending_bills(self):
        """The number of bills in memory."""
        return sum(
            pending_batch.count for pending_batch in self.pending_batches
        )

    def admit(self):
        """Return ``Ok``, or ``Err`` when no further bill can be kept."""
        if self.pending_bills < self.bounds.pending:
            return result.Ok(None)
        return result.Err(
            errors.BillingBacklog(
                f'{self.pending_bills} bills wait for the platform',
                step='admit',
                peer=self.owner,
            )
        )

    async def record(self, bill):
        """Take a bill and have peers keep copies of it.

        A second bill of the same request is dropped. Failing copies don't
        hold up the response: the bill is flushed earlier instead.
        """
        await self.replicate((self.add(bill),))

    def add(self, bill):
        """Add a bill to the open batch; return it as it is kept."""
        identity = bill.id or batches.bill_id(bill.customer, bill.request_id)
        for pending_batch in self.pending_batches:
            if identity in pending_batch.bills:
                return pending_batch.bills[identity]
        if self.open_batch is None:
            name = f'{self.owner}-{self.sequence:012d}'
            self.open_batch = batches.PendingBatch(name)
            self.sequence += 1
        kept = dataclasses.replace(
            bill, id=identity, batch=self.open_batch.name
        )
        self.open_batch.add(kept)
        if self.open_batch.full:
            self.close_batch()
        self.pack_excess_bills()
        return kept

    def pack_excess_bills(self):
        """Pack all bills if there are too many in detail."""
        detailed = sum(len(each.bills) for each in self.pending_batches)
        if detailed > self.bounds.detailed:
            for pending_batch in self.pending_batches:
                pending_batch.pack()

    def close_batch(self):
        """End the open batch; further bills go into the next one."""
        if self.open_batch is not None:
            self.closed_batches.append(self.open_batch)
            self.open_batch = None

    async def replicate(self, bills):
        """Have peers keep copies of bills; note if that fails.

        :returns: the names of the peers that hold them, empty if there
            are fewer than 2.
        """
        if self.peers is None:
            return frozenset()
        names = {bill.batch for bill in bills}
        touched = [each for each in self.pending_batches if each.name in names]
        deadline = deadlines.Deadline.after(REPLICATION_TIMEOUT_SECONDS)
        try:
            holders = frozenset(await self.peers.keep(bills, deadline))
        except errors.CelerywardError as error:
            # One line for each change of state, not for each bill.
            if not self.under_replicated:
                logs.bind_error(error).warning(
                    'bills not copied to 2 peers: {}', error.message
                )
            self.under_replicated = True
            for pending_batch in touched:
                pending_batch.under_replicated = True
            return frozenset()
        for pending_batch in touched:
            pending_batch.holders |= holders
        return holders

    def is_replicated(self):
        """Return whether 2 peers hold a copy of each bill in memory."""
        return all(
            len(pending_batch.holders) >= MIN_REPLICAS
            and not pending_batch.under_replicated
            for pending_batch in self.pending_batches
        )

    def peer_died(self, name):
        """Note that the copies which a peer held are gone.

        :returns: whether it held any.
        """
        lacking = [
            each for each in self.pending_batches if name in each.holders
        ]
        for pending_batch in lacking:
            pending_batch.holders -= {name}
            pending_batch.under_replicated = True
        return bool(lacking)

    async def restore_replicas(self):
        """Copy batches anew that lost a holder; used while flushes fail."""
        if self.peers is None:
            return
        for pending_batch in self.pending_batches:
            if pending_batch.under_replicated:
                pending_batch.under_replicated = False
                await self.replicate_batch(pending_batch.freeze())

    async def replicate_batch(self, batch):
        """Copy a whole batch in messages of bounded size.

        :returns: the names of the peers that hold it, empty if not all of
            it was copied.
        """
        bills = batch.all_bills()
        holders = frozenset()
        while chunk := tuple(itertools.islice(bills, REPLICATION_CHUNK_BILLS)):
            copied = await self.replicate(chunk)
            if not copied:
                return frozenset()
            holders |= copied
        return holders

    def next_batch(self):
        """Return the oldest batch, the same one until it is written.

        The open batch is closed only when no other waits. In an outage it
        goes on growing, so that few objects are written after it.
        """
        if not self.closed_batches:
            self.close_batch()
        return self.closed_batches[0].freeze() if self.closed_batches else None

    async def mark_written(self, batch):
        """Forget a batch that the platform holds, and release its copies."""
        if (
            not self.closed_batches
            or self.closed_batches[0].name != batch.name
        ):
            return
        self.closed_batches.popleft()
        self.under_replicated = self.peers is None
        if self.peers is None:
            return
        try:
            await self.peers.release(tuple(batch.ids()))
        except errors.CelerywardError as error:
            logs.bind_error(error).info(
                'copies not released: {}', error.message
            )
