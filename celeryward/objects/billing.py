"""Bills of this daemon: recorded, replicated to peers, then written.

They are recorded in memory, copied to 2 peers, and written to the platform
by :class:`flusher.Flusher`.
"""

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
    """Bounds on the number of bills in memory.

    A detailed bill takes about 1 KB and a packed one about 50 bytes
    (docs/notes/billing.md), so the defaults keep the memory under 15 MB.

    :param int detailed: above this number, bills are packed by customer,
        target and versions.
    :param int pending: maximum number of bills; beyond it, new billable
        requests, or further copies of bills, are refused.
    """

    detailed: int = 4_000
    pending: int = 200_000


class Ledger:
    """Bills of this daemon that are not stored by the platform yet.

    :param str owner: name of this run of the daemon; it is not reused after
        a restart.
    :param peers: transport to the peers, or None; may be set later. ``await
        keep(bills, deadline)`` returns the names of the peers that hold the
        copies, and raises an error if there are fewer than 2; ``await
        release(bill_ids)`` tells them that the platform has stored the
        bills.

    ``on_missing_copies`` is an async function, or None; it is called when
    bills begin to be on fewer than 2 peers.
    """

    def __init__(self, owner, peers=None, bounds=None):
        self.owner = owner
        self.peers = peers
        self.bounds = bounds or Bounds()
        self.sequence = 0
        self.open_batch = None
        self.closed_batches = collections.deque()
        self.under_replicated = False
        self.on_missing_copies = None

    @property
    def pending_batches(self):
        """All batches in memory, oldest first."""
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
        """Return ``Ok``, or ``Err(BillingBacklog)`` if there is no room."""
        if self.pending_bills < self.bounds.pending:
            return result.Ok(None)
        return result.Err(
            errors.BillingBacklog(
                f'{self.pending_bills} bills are waiting to be written',
                step='admit',
                peer=self.owner,
            )
        )

    async def record(self, bill):
        """Record a bill and replicate it to peers.

        A second bill of the same request is dropped. A replication failure
        doesn't delay the response: the bill is flushed earlier instead.
        """
        await self.replicate((self.add(bill),))

    def add(self, bill):
        """Add a bill to the open batch.

        :returns: the bill with its id and the name of its batch, or the
            earlier detailed bill of the same request.
        """
        bill_id = bill.id or batches.bill_id(bill.customer, bill.request_id)
        for pending_batch in self.pending_batches:
            if bill_id in pending_batch.bills:
                return pending_batch.bills[bill_id]
        if self.open_batch is None:
            name = f'{self.owner}-{self.sequence:012d}'
            self.open_batch = batches.PendingBatch(name)
            self.sequence += 1
        recorded = dataclasses.replace(
            bill, id=bill_id, batch=self.open_batch.name
        )
        self.open_batch.add(recorded)
        if self.open_batch.full:
            self.close_batch()
        self.pack_excess_bills()
        return recorded

    def pack_excess_bills(self):
        """Pack all bills if there are too many detailed ones."""
        detailed = sum(len(each.bills) for each in self.pending_batches)
        if detailed > self.bounds.detailed:
            for pending_batch in self.pending_batches:
                pending_batch.pack()

    def close_batch(self):
        """Close the open batch; later bills go into a new one."""
        if self.open_batch is not None:
            self.closed_batches.append(self.open_batch)
            self.open_batch = None

    async def replicate(self, bills):
        """Copy bills to peers; on failure, mark them under-replicated.

        :returns: the names of the peers that hold them, empty if there
            are fewer than 2.
        """
        if self.peers is None:
            return frozenset()
        names = {bill.batch for bill in bills}
        affected = [
            each for each in self.pending_batches if each.name in names
        ]
        deadline = deadlines.Deadline.after(REPLICATION_TIMEOUT_SECONDS)
        try:
            holders = frozenset(await self.peers.keep(bills, deadline))
        except errors.CelerywardError as error:
            for pending_batch in affected:
                pending_batch.under_replicated = True
            await self.record_missing_copies(error)
            return frozenset()
        for pending_batch in affected:
            pending_batch.holders |= holders
        return holders

    async def record_missing_copies(self, error):
        """Log and report that replication began to fail.

        Once for each change of state, not for each bill.
        """
        if self.under_replicated:
            return
        self.under_replicated = True
        logs.bind_error(error).warning(
            'bills not replicated to 2 peers: {}', error.message
        )
        if self.on_missing_copies is not None:
            await self.on_missing_copies()

    def is_replicated(self):
        """Return whether 2 peers hold a copy of every bill in memory."""
        return all(
            len(pending_batch.holders) >= MIN_REPLICAS
            and not pending_batch.under_replicated
            for pending_batch in self.pending_batches
        )

    def peer_died(self, name):
        """Mark the batches that lost their copies with a dead peer.

        :returns: whether the peer held any copies.
        """
        affected = [
            each for each in self.pending_batches if name in each.holders
        ]
        for pending_batch in affected:
            pending_batch.holders -= {name}
            pending_batch.under_replicated = True
        return bool(affected)

    async def restore_replicas(self):
        """Replicate under-replicated batches again, after a failed flush."""
        if self.peers is None:
            return
        for pending_batch in self.pending_batches:
            if pending_batch.under_replicated:
                pending_batch.under_replicated = False
                await self.replicate_batch(pending_batch.freeze())

    async def replicate_batch(self, batch):
        """Copy a whole batch to peers in messages of bounded size.

        :returns: the names of the peers that hold parts of it, empty if any
            part was not copied.
        """
        bills = batch.all_bills()
        holders = frozenset()
        while chunk := tuple(itertools.islice(bills, REPLICATION_CHUNK_BILLS)):
            replicated_to = await self.replicate(chunk)
            if not replicated_to:
                return frozenset()
            holders |= replicated_to
        return holders

    def next_batch(self):
        """Return the oldest batch, the same one until it is written.

        The open batch is closed only if there is no closed one. During an
        outage of the platform it keeps growing, so that few objects are
        written afterwards.

        :returns: a :class:`batches.Batch`, or None if there are no bills.
        """
        if not self.closed_batches:
            self.close_batch()
        return self.closed_batches[0].freeze() if self.closed_batches else None

    async def mark_written(self, batch):
        """Drop a batch that the platform has stored; release its copies."""
        if (
            not self.closed_batches
            or self.closed_batches[0].name != batch.name
        ):
            return
        self.closed_batches.popleft()
        self.under_replicated = any(
            each.under_replicated for each in self.pending_batches
        )
        if self.peers is None:
            return
        try:
            await self.peers.release(tuple(batch.ids()))
        except errors.CelerywardError as error:
            logs.bind_error(error).info(
                'peers not told to release copies of bills: {}', error.message
            )
