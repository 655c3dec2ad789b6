"""Copies of the bills of other daemons, written if their owner can't.

Writing a copy is always safe, because a bill belongs to one batch and
batches merge. So copies are written when their owner is reported dead, and
also when they were not released in time, which covers a lost release, a
late copy and a death that nobody reported.
"""

import result

from celeryward import deadlines
from celeryward import errors
from celeryward.objects import batches
from celeryward.objects import billing

HOLD_SECONDS = 120.0
# Each daemon keeps copies for two others.
BOUNDS = billing.Bounds(detailed=8_000, pending=400_000)


class Replicas:
    """Copies that this daemon keeps for other owners.

    :param float hold_seconds: time after which an unreleased copy is
        written.
    """

    def __init__(self, hold_seconds=HOLD_SECONDS, bounds=BOUNDS):
        self.hold_seconds = hold_seconds
        self.bounds = bounds
        self.owners = {}
        self.orphans = {}

    @property
    def collections(self):
        """All batches in memory."""
        return [
            collection
            for held in self.owners.values()
            for collection in held.values()
        ]

    @property
    def count(self):
        """The number of copies in memory."""
        return sum(collection.count for collection in self.collections)

    def keep(self, owner, bills):
        """Keep copies; keeping a copy again changes nothing.

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
        held = self.owners.setdefault(owner, {})
        for bill in bills:
            if bill.batch not in held:
                due = deadlines.Deadline.after(self.hold_seconds)
                held[bill.batch] = batches.Collection(bill.batch, due)
            held[bill.batch].add(bill)
        self.limit_detail()
        return result.Ok(None)

    def limit_detail(self):
        """Pack all copies if there are too many in detail."""
        detailed = sum(len(each.bills) for each in self.collections)
        if detailed > self.bounds.detailed:
            for collection in self.collections:
                collection.pack()

    def release(self, owner, request_ids):
        """Drop copies whose bills the platform holds.

        :param request_ids: ids of bills, as in ``Bill.id``.
        """
        ids = frozenset(request_ids)
        for collection in list(self.owners.get(owner, {}).values()):
            self.remove(owner, collection, ids)

    def remove(self, owner, collection, ids):
        """Drop copies of one batch, and the batch with its last copy."""
        collection.remove(ids)
        if not collection.count:
            del self.owners[owner][collection.name]
            self.orphans.pop((owner, collection.name), None)
        if not self.owners[owner]:
            del self.owners[owner]

    def owner_died(self, owner):
        """Have all copies of an owner written at the next flush.

        Batches that were copied on to it need new copies as well.

        :returns: whether there are any.
        """
        due = [
            (name, collection)
            for name, held in self.owners.items()
            for collection in held.values()
            if name == owner or owner in collection.holders
        ]
        for name, collection in due:
            self.mark_due(name, collection)
        return bool(due)

    def mark_all_due(self):
        """Have all copies written at the next flush, before a shutdown."""
        for owner in list(self.owners):
            self.owner_died(owner)

    def mark_due(self, owner, collection):
        """Make a batch due and note that it has too few copies."""
        collection.due = deadlines.Deadline.after(0.0)
        collection.holders = frozenset()
        self.orphans[owner, collection.name] = collection

    def orphaned(self):
        """Yield pairs of owner and batch that need new copies.

        They are copied on to other peers if the platform is away, because
        the remaining holders may fail before it returns.
        """
        for (owner, _), collection in list(self.orphans.items()):
            yield owner, collection.freeze()

    def copied(self, owner, batch, holders):
        """Note the peers that hold new copies of an orphaned batch."""
        collection = self.orphans.pop((owner, batch.name), None)
        if collection is not None:
            collection.holders |= holders

    def next_batch(self):
        """Return a batch that is due, or None."""
        for collection in self.collections:
            if collection.due.expired():
                return collection.freeze()
        return None

    async def written(self, batch):
        """Drop the copies that were written; later ones remain."""
        ids = batch.ids()
        for owner, held in list(self.owners.items()):
            if batch.name in held:
                self.remove(owner, held[batch.name], ids)
