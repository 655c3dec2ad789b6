"""Batches of bills: naming, packed encoding and merging.

A bill is assigned to a batch when it is recorded, and each of its copies
carries the name of that batch. Every daemon that writes the bill writes it
to the object of this name, and :func:`merge` adds only the bills that the
object lacks. Each bill is therefore stored once, whichever part of the batch
a writer holds.
"""

import base64
import dataclasses
import hashlib
import itertools
import struct

from celeryward import calls
from celeryward.objects import protocol

BATCH_KIND = 'BillBatch'
SEPARATOR = b'\x00'
ID_BYTES = 16
MAX_UINT32 = 2**32 - 1
# Layout of a packed bill: id and finish time, then tokens and cost per run.
RECORD_HEADER = struct.Struct('>16sd')
RUN_RECORD = struct.Struct('>IId')
# The platform accepts values of up to 1 MB. The margin covers the metadata
# of the object and names that grow when JSON escapes them.
MAX_BATCH_BYTES = 700_000
DETAILED_BILL_BYTES = 220
DETAILED_RUN_BYTES = 130
# Two executions of a request start at most one request timeout apart, and
# the settings allow request timeouts of up to a day.
DEDUPLICATION_SECONDS = 86_400.0


def digest_request(method, target, body):
    """Return the digest of a request as a hexadecimal string.

    It distinguishes requests that share a request id or idempotency key.
    """
    digest = hashlib.sha256(f'{method} {target}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def bill_id(customer, request_id, digest=''):
    """Return the id of the bill of one request.

    Callers choose request ids, so a request id doesn't identify a request:
    requests that share an id but differ in content are billed separately.
    """
    parts = (customer, request_id, digest)
    joined = SEPARATOR.join(part.encode('utf-8') for part in parts)
    return hashlib.sha256(joined).hexdigest()[: 2 * ID_BYTES]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupKey:
    """The fields that the bills of a packed group have in common."""

    customer: str
    target: str
    versions: tuple[str, ...]

    @property
    def entry_bytes(self):
        """The size of one packed bill."""
        return RECORD_HEADER.size + RUN_RECORD.size * len(self.versions)


@dataclasses.dataclass(frozen=True, slots=True)
class PackedGroup:
    """Packed bills that share a key, ``entry_bytes`` each."""

    key: GroupKey
    entries: bytes

    def ids(self):
        """Yield the id of each packed bill."""
        for start in range(0, len(self.entries), self.key.entry_bytes):
            yield self.entries[start : start + ID_BYTES].hex()

    def unpack(self, batch_name):
        """Yield the unpacked bills, without request ids and endpoints.

        The packed form does not contain these.
        """
        key = self.key
        for start in range(0, len(self.entries), key.entry_bytes):
            packed_id, finished_at = RECORD_HEADER.unpack_from(
                self.entries, start
            )
            runs = unpack_runs(key.versions, self.entries, start)
            yield calls.Bill(
                '',
                key.customer,
                key.target,
                tuple(runs),
                finished_at,
                packed_id.hex(),
                batch_name,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Bills that are written as one object.

    :param str name: name of the object; the same for every writer.
    :param tuple bills: bills with all their fields.
    :param tuple groups: bills in packed form.
    """

    name: str
    bills: tuple[calls.Bill, ...] = ()
    groups: tuple[PackedGroup, ...] = ()

    def ids(self):
        """Return the ids of all bills as a set."""
        return self.packed_ids().union(bill.id for bill in self.bills)

    def packed_ids(self):
        """Return the ids of the packed bills as a set."""
        return set().union(*(group.ids() for group in self.groups))

    def all_bills(self):
        """Return an iterator over the detailed and the packed bills."""
        packed = (group.unpack(self.name) for group in self.groups)
        return itertools.chain(self.bills, *packed)

    def to_object(self):
        """Return the object that the platform stores.

        All bills are packed if the detailed ones don't fit into one object.
        """
        bills, groups = self.bills, self.groups
        packed_size = sum(len(group.entries) * 4 // 3 for group in groups)
        if sum(map(max_detailed_size, bills)) + packed_size > MAX_BATCH_BYTES:
            bills, groups = (), pack_bills(bills, groups)
        spec = {
            'bills': list(map(encode_bill, bills)),
            'packed': list(map(encode_group, groups)),
        }
        return protocol.StoredObject(BATCH_KIND, self.name, spec)


def from_object(stored):
    """Return the :class:`Batch` in a stored object."""
    bills = tuple(
        decode_bill(fields, stored.name) for fields in stored.spec['bills']
    )
    groups = tuple(map(decode_group, stored.spec.get('packed', ())))
    return Batch(stored.name, bills, groups)


def encode_bill(bill):
    """Return the fields of a bill, without the name of its batch."""
    fields = dataclasses.asdict(bill)
    del fields['batch']
    return fields


def decode_bill(fields, batch):
    """Return the :class:`calls.Bill` with the given stored fields."""
    runs = tuple(
        calls.Run(**{**run, 'usage': calls.Usage(**run['usage'])})
        for run in fields['runs']
    )
    return calls.Bill(**{**fields, 'runs': runs, 'batch': batch})


def encode_group(group):
    """Return the fields of a packed group, with entries in base64."""
    entries = base64.b64encode(group.entries).decode('ascii')
    return {**dataclasses.asdict(group.key), 'entries': entries}


def decode_group(fields):
    """Return the :class:`PackedGroup` with the given stored fields."""
    key = GroupKey(
        fields['customer'], fields['target'], tuple(fields['versions'])
    )
    return PackedGroup(key, base64.b64decode(fields['entries']))


def max_detailed_size(bill):
    """Return an upper bound of the JSON size of a bill, in bytes."""
    names = 2 * len(bill.request_id) + len(bill.customer) + len(bill.target)
    runs = sum(
        DETAILED_RUN_BYTES + len(run.version) + len(run.endpoint)
        for run in bill.runs
    )
    return DETAILED_BILL_BYTES + names + runs


def packed_bill_size(bill):
    """Return the size of a packed bill in base64, in bytes."""
    return (RECORD_HEADER.size + RUN_RECORD.size * len(bill.runs)) * 4 // 3 + 4


def group_key(bill):
    """Return the :class:`GroupKey` under which a bill is packed."""
    versions = tuple(run.version for run in bill.runs)
    return GroupKey(bill.customer, bill.target, versions)


def pack_bill(bill):
    """Return the packed form of a bill as bytes."""
    parts = [RECORD_HEADER.pack(bytes.fromhex(bill.id), bill.finished_at)]
    for run in bill.runs:
        usage = run.usage
        prompt = min(usage.prompt_tokens, MAX_UINT32)
        answer = min(usage.answer_tokens, MAX_UINT32)
        parts.append(RUN_RECORD.pack(prompt, answer, run.cost))
    return b''.join(parts)


def unpack_runs(versions, entries, start):
    """Yield the runs of the packed bill that starts at an offset."""
    offsets = itertools.count(start + RECORD_HEADER.size, RUN_RECORD.size)
    for version, offset in zip(versions, offsets, strict=False):
        prompt, answer, cost = RUN_RECORD.unpack_from(entries, offset)
        yield calls.Run(version, '', calls.Usage(prompt, answer), cost)


def pack_bills(bills, groups=()):
    """Return the groups extended by the given bills, as a tuple."""
    packed = {}
    for group in groups:
        packed.setdefault(group.key, bytearray()).extend(group.entries)
    for bill in bills:
        packed.setdefault(group_key(bill), bytearray()).extend(pack_bill(bill))
    return tuple(
        PackedGroup(key, bytes(entries)) for key, entries in packed.items()
    )


def merge(stored, local):
    """Add the bills that a stored batch lacks.

    :param Batch stored: batch as the platform has it.
    :param Batch local: batch of the same name in memory.
    :returns: the merged :class:`Batch`, or None if nothing is missing.
    """
    missing = local.ids() - stored.ids()
    if not missing:
        return None
    added = tuple(bill for bill in local.bills if bill.id in missing)
    packed = (
        bill
        for group in local.groups
        for bill in group.unpack(local.name)
        if bill.id in missing
    )
    return Batch(
        stored.name, stored.bills + added, pack_bills(packed, stored.groups)
    )


def deduplicate(stored_batches):
    """Yield one bill for each request, ordered by finish time.

    If two hosts ran one request, each recorded a bill in a batch of its
    own. The bill that finished first is kept, and the others are dropped.

    :param stored_batches: iterable of :class:`Batch`.
    """
    bills = itertools.chain.from_iterable(
        batch.all_bills() for batch in stored_batches
    )
    finished_by_id = {}
    for bill in sorted(bills, key=lambda bill: (bill.finished_at, bill.batch)):
        previous = finished_by_id.get(bill.id)
        if (
            previous is None
            or bill.finished_at - previous > DEDUPLICATION_SECONDS
        ):
            finished_by_id[bill.id] = bill.finished_at
            yield bill


class PendingBatch:
    """The bills of a batch that is not written yet, detailed or packed.

    ``holders`` names the peers that hold copies, and ``under_replicated`` is
    set while some of the bills are on fewer than 2 of them.

    :param Deadline due: when a peer writes the batch on behalf of its
        owner, or None for the owner itself.
    """

    def __init__(self, name, due=None):
        self.name = name
        self.due = due
        self.bills = {}
        self.groups = {}
        self.count = 0
        self.packed_size = 0
        self.holders = frozenset()
        self.under_replicated = False

    def add(self, bill):
        """Add a bill; return whether it was new."""
        if bill.id in self.bills:
            return False
        self.bills[bill.id] = bill
        self.count += 1
        self.packed_size += packed_bill_size(bill)
        return True

    @property
    def full(self):
        """Whether the batch has reached the maximum size of its object."""
        return self.packed_size >= MAX_BATCH_BYTES

    def pack(self):
        """Replace the detailed bills by their packed form."""
        if not self.bills:
            return
        bills = self.freeze().bills
        for bill in bills:
            entries = self.groups.setdefault(group_key(bill), bytearray())
            entries.extend(pack_bill(bill))
        duplicates = len(self.bills) - len(bills)
        self.count -= duplicates
        self.bills.clear()

    def freeze(self):
        """Return the content as an immutable :class:`Batch`, each bill once.

        A copy that is received again after the first one was packed is
        present in both forms until the next :meth:`pack`; only the packed
        one is returned.
        """
        groups = tuple(
            PackedGroup(key, bytes(entries))
            for key, entries in self.groups.items()
        )
        packed = Batch(self.name, groups=groups).packed_ids()
        bills = tuple(
            bill for bill in self.bills.values() if bill.id not in packed
        )
        return Batch(self.name, bills, groups)

    def remove(self, ids):
        """Drop the bills with the given ids."""
        kept = [bill for bill in self.bills.values() if bill.id not in ids]
        groups = self.freeze().groups
        unpacked = itertools.chain.from_iterable(
            group.unpack(self.name) for group in groups
        )
        packed = [bill for bill in unpacked if bill.id not in ids]
        self.bills = {bill.id: bill for bill in kept}
        self.groups = {
            group.key: bytearray(group.entries) for group in pack_bills(packed)
        }
        self.count = len(kept) + len(packed)
        self.packed_size = sum(map(packed_bill_size, kept + packed))
