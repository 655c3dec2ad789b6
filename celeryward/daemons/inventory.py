"""Hashes of a configuration's revisions, for anti-entropy between daemons."""

import dataclasses
import struct

import xxhash

# With about 1,000 objects, 64 hashes of 4 bytes take about as many bytes in a
# message as the 16 entries of one bucket.
BUCKET_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The latest revision that a daemon holds of one object.

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
    """Hashes of the latest revision of each object, tombstones included.

    The fingerprint covers all objects and each bucket hash those of one
    bucket. Hashes are combined by exclusive or, so that the cost of a change
    does not depend on the number of objects. Two daemons with equal
    fingerprints hold the same revisions.

    :param configuration: the :class:`ConfigurationStore` to summarise.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.fingerprint = 0
        self.bucket_hashes = [0] * BUCKET_COUNT
        self.buckets = [{} for _ in range(BUCKET_COUNT)]
        self.object_keys = {}
        self.update(configuration.latest_changes.values())
        configuration.listeners.append(self.update)

    def update(self, changes):
        """Update the entries and hashes for changes that were accepted."""
        for change in changes:
            stored = change.object
            key = hash_key(stored.kind, stored.name)
            self.object_keys[key] = stored.key
            bucket = self.buckets[key % BUCKET_COUNT]
            if key in bucket:
                self.toggle(key, bucket[key])
            bucket[key] = change.revision
            self.toggle(key, change.revision)

    def toggle(self, key, revision):
        """Add an entry to the hashes, or remove it if it was added."""
        hashed = hash_entry(key, revision)
        self.fingerprint ^= hashed
        self.bucket_hashes[key % BUCKET_COUNT] ^= hashed & 0xFFFFFFFF

    def differing_buckets(self, bucket_hashes):
        """Return the numbers of the buckets whose hashes differ."""
        return tuple(
            number
            for number, peer_hash in enumerate(bucket_hashes[:BUCKET_COUNT])
            if peer_hash != self.bucket_hashes[number]
        )

    def entries(self, bucket_numbers):
        """Return the entries of the given buckets."""
        return tuple(
            Entry(key, revision)
            for number in bucket_numbers
            if number < BUCKET_COUNT
            for key, revision in self.buckets[number].items()
        )

    def newer_changes(self, bucket_numbers, entries):
        """Return the changes in the given buckets that a peer lacks.

        :param entries: what the peer holds in these buckets.
        """
        peer_revisions = {entry.key: entry.revision for entry in entries}
        return [
            self.latest_change(entry.key)
            for entry in self.entries(bucket_numbers)
            if entry.revision > peer_revisions.get(entry.key, 0)
        ]

    def outdated_keys(self, entries):
        """Return the keys of which the peer holds a newer revision."""
        return tuple(
            entry.key
            for entry in entries
            if entry.revision
            > self.buckets[entry.key % BUCKET_COUNT].get(entry.key, 0)
        )

    def latest_change(self, key):
        """Return the latest change of the object with a key."""
        return self.configuration.latest_changes[self.object_keys[key]]
