"""Hashes that are stable across processes and hosts."""

import xxhash


def unit_hash(text):
    """Return a stable hash of a text, uniform in the unit interval."""
    return xxhash.xxh64_intdigest(text.encode()) / 2**64
