"""Bills: settled in memory, then written to the platform in batches."""

import dataclasses

from celeryward import calls
from celeryward.platform import protocol

BATCH_KIND = 'BillBatch'
MAX_BILLS_PER_BATCH = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Bills that are written as one object with a deterministic name."""

    owner: str
    sequence: int
    bills: tuple[calls.Bill, ...]

    @property
    def name(self):
        """The name, which is the same for each attempt to write it."""
        return f'{self.owner}-{self.sequence:012d}'

    def to_object(self):
        """Return the object that the platform stores."""
        bills = [dataclasses.asdict(bill) for bill in self.bills]
        return protocol.StoredObject(BATCH_KIND, self.name, {'bills': bills})


class Ledger:
    """Bills of this daemon that are not in the platform yet.

    :param str owner: name of this run of the daemon; never used again.
    """

    def __init__(self, owner):
        self.owner = owner
        self.sequence = 0
        self.pending = {}
        self.batch = None

    async def settle(self, bill):
        """Take a bill. A second bill of the same request is dropped."""
        self.pending.setdefault(bill.request_id, bill)

    def next_batch(self):
        """Return the batch to write, the same one until it is written."""
        if self.batch is None and self.pending:
            bills = tuple(self.pending.values())[:MAX_BILLS_PER_BATCH]
            self.batch = Batch(self.owner, self.sequence, bills)
        return self.batch

    def written(self, batch):
        """Forget the bills of a batch that the platform holds."""
        for bill in batch.bills:
            self.pending.pop(bill.request_id, None)
        self.sequence += 1
        self.batch = None
