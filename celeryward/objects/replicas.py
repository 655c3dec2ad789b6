"""Copies of the bills of other daemons, written if their owner fails.

Writing a copy is always safe, because a bill belongs to one batch and
batches are merged when they are written. So copies are written when their
owner is reported dead, and also when they are not released in time. The
latter covers a lost release, a copy that arrived after its release, and a
failure of the owner that was not reported.
"""

import result

from celeryward import deadlines
from celeryward import errors
from celeryward.objects import batches
from celeryward.objects import billing

RELEASE_TIMEOUT_SECONDS = 120.0
# Twice the bounds of a ledger: each daemon holds copies for 2 others.
BOUNDS = billing.Bounds(detailed=8_000, pending=400_000)


class Replicas:
    """Copies that this daemon holds for other owners.

    :param float release_timeout: seconds after which a batch that was not
        released is written.
    """

    def __init__(self, release_timeout=RELEASE_TIMEOUT_SECONDS, bounds=BOUNDS):
        self.release_timeout = release_timeout
        self.bounds = bounds
        self.batches_by_owner = {}
        self.orphaned_batches = {}

    @property
    def pending_batches(self):
        """All batches in memory, of all owners."""
        return [
            pending_batch
            for owner_batches in self.batches_by_owner.values()
            for pending_batch in owner_batches.values()
        ]

    @property
    def count(self):
        """The number of copies in memory."""
        return sum(
            pending_batch.count for pending_batch in self.pending_batches
        )

    def keep(self, owner, bills):
        """Keep copies of bills; idempotent.

        :param str owner: name of the run of the daemon that sends them.
        :returns: ``Ok``, or ``Err(Overloaded)`` if there is no room.
        """
        if self.count + len(bills) > self.bounds.pending:
            return result.Err(
                errors.Overloaded(
                    f'{self.count} copies of bills are kept',
                    step='keep bills',
                    peer=owner,
                )
            )
        owner_batches = self.batches_by_owner.setdefault(owner, {})
        for bill in bills:
            if bill.batch not in owner_batches:
                due = deadlines.Deadline.after(self.release_timeout)
                owner_batches[bill.batch] = batches.PendingBatch(
                    bill.batch, due
                )
            owner_batches[bill.batch].add(bill)
        self.pack_excess_bills()
        return result.Ok(None)

    def pack_excess_bills(self):
        """Pack all copies if there are too many detailed ones."""
        detailed = sum(len(each.bills) for each in self.pending_batches)
        if detailed > self.bounds.detailed:
            for pending_batch in self.pending_batches:
                pending_batch.pack()

    def release(self, owner, bill_ids):
        """Drop copies of bills that the platform has stored.

        :param bill_ids: iterable of ids, as in ``Bill.id``.
        """
        ids = frozenset(bill_ids)
        for pending_batch in list(
            self.batches_by_owner.get(owner, {}).values()
        ):
            self.remove(owner, pending_batch, ids)

    def remove(self, owner, pending_batch, ids):
        """Drop copies from a batch, and the batch once it is empty."""
        pending_batch.remove(ids)
        if not pending_batch.count:
            del self.batches_by_owner[owner][pending_batch.name]
            self.orphaned_batches.pop((owner, pending_batch.name), None)
        if not self.batches_by_owner[owner]:
            del self.batches_by_owner[owner]

    def owner_died(self, owner):
        """Make all copies of a dead owner due at the next flush.

        Batches that this daemon replicated to it have lost a copy and
        become due as well.

        :returns: whether there are any.
        """
        due = [
            (name, pending_batch)
            for name, owner_batches in self.batches_by_owner.items()
            for pending_batch in owner_batches.values()
            if name == owner or owner in pending_batch.holders
        ]
        for name, pending_batch in due:
            self.mark_due(name, pending_batch)
        return bool(due)

    def mark_all_due(self):
        """Make all copies due at the next flush, before a shutdown."""
        for owner in list(self.batches_by_owner):
            self.owner_died(owner)

    def mark_due(self, owner, pending_batch):
        """Make a batch due and mark it as orphaned."""
        pending_batch.due = deadlines.Deadline.after(0.0)
        pending_batch.holders = frozenset()
        self.orphaned_batches[owner, pending_batch.name] = pending_batch

    def freeze_orphaned(self):
        """Yield pairs of owner and batch that need new copies.

        They are replicated to other peers while the platform is
        unavailable, because the remaining holders may fail before it is
        available again.
        """
        for (owner, _), pending_batch in list(self.orphaned_batches.items()):
            yield owner, pending_batch.freeze()

    def mark_replicated(self, owner, batch, holders):
        """Record the peers that hold new copies of an orphaned batch."""
        pending_batch = self.orphaned_batches.pop((owner, batch.name), None)
        if pending_batch is not None:
            pending_batch.holders |= holders

    def next_batch(self):
        """Return a :class:`batches.Batch` that is due, or None."""
        for pending_batch in self.pending_batches:
            if pending_batch.due.expired():
                return pending_batch.freeze()
        return None

    async def mark_written(self, batch):
        """Drop the copies that were written; copies added later remain."""
        ids = batch.ids()
        for owner, owner_batches in list(self.batches_by_owner.items()):
            if batch.name in owner_batches:
                self.remove(owner, owner_batches[batch.name], ids)
