"""A summary of the held revisions that two daemons can compare cheaply."""

import dataclasses
import struct

import xxhash

# With about 1,000 objects, 64 hashes of 4 bytes cost about as much as the
# 16 entries of one bucket.
BUCKETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The revision that is held of one object.

    :param int key: 64-bit hash of the object's kind and name.
    """

    key: int
    revision: int


def hash_key(kind, name):
    """Return the 64-bit hash of an object's kind and name."""
    return xxhash.xxh3_64_intdigest(f'{kind}/{name}'.encode())


def hash_entry(key, revision):
    """Return the 64-bit hash of one object at one revision."""
    return xxhash.xxh3_64_intdigest(struct.pack('<QQ', key, revision))


class Inventory:
    """Hashes over all held revisions, tombstones included.

    The hashes are combined by exclusive or, so that one change costs the
    same whatever the number of objects. Two daemons with equal fingerprints
    hold the same revisions.

    :param configuration: the :class:`ConfigurationStore` that is summarised.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.fingerprint = 0
        self.bucket_hashes = [0] * BUCKETS
        self.buckets = [{} for _ in range(BUCKETS)]
        self.keys = {}
        self.update(configuration.latest_changes.values())
        configuration.listeners.append(self.update)

    def update(self, changes):
        """Replace the entries of changes that the store accepted."""
        for change in changes:
            stored = change.object
            key = hash_key(stored.kind, stored.name)
            self.keys[key] = stored.key
            bucket = self.buckets[key % BUCKETS]
            if key in bucket:
                self.toggle(key, bucket[key])
            bucket[key] = change.revision
            self.toggle(key, change.revision)

    def toggle(self, key, revision):
        """Add an entry to the hashes, or take it out again."""
        hashed = hash_entry(key, revision)
        self.fingerprint ^= hashed
        self.bucket_hashes[key % BUCKETS] ^= hashed & 0xFFFFFFFF

    def differing(self, bucket_hashes):
        """Return the numbers of the buckets that differ."""
        return tuple(
            number
            for number, theirs in enumerate(bucket_hashes[:BUCKETS])
            if theirs != self.bucket_hashes[number]
        )

    def entries(self, bucket_numbers):
        """Return the entries of some buckets."""
        return tuple(
            Entry(key, revision)
            for number in bucket_numbers
            if number < BUCKETS
            for key, revision in self.buckets[number].items()
        )

    def newer_than(self, bucket_numbers, entries):
        """Return the changes in some buckets that another side lacks."""
        theirs = {entry.key: entry.revision for entry in entries}
        return [
            self.change(entry.key)
            for entry in self.entries(bucket_numbers)
            if entry.revision > theirs.get(entry.key, 0)
        ]

    def wanted(self, entries):
        """Return the keys of which the other side holds more."""
        return tuple(
            entry.key
            for entry in entries
            if entry.revision
            > self.buckets[entry.key % BUCKETS].get(entry.key, 0)
        )

    def change(self, key):
        """Return the newest change of the object with a key."""
        return self.configuration.latest_changes[self.keys[key]]
