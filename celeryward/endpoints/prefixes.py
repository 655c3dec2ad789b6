"""Tracks which endpoints probably have the prefix of a prompt in cache."""

import collections
import dataclasses
import math
import time

import xxhash

# Agreed with the engines: a prefix is identified by the chained xxh64 digest
# of its blocks, each of this many characters.
BLOCK_CHARACTERS = 1024
MAX_BLOCKS = 64
# 65,536 prefixes with a few endpoints each need about 25 MB.
MAX_PREFIXES = 65536
MAX_ENDPOINTS_PER_PREFIX = 8
# Cache events arrive late. A removal that is reported within this time after a
# dispatch may have preceded it and is ignored.
EVENT_LAG_SECONDS = 2.0
# Share of removals among lost events: about half of all events.
REMOVED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    :param int number: sequence number; a jump means lost events.
    :param str type: ``stored`` or ``removed``.
    :param str prefix: digest of the prefix, in hexadecimal.
    """

    number: int
    type: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEntry:
    """An entry: an endpoint probably has a prefix in cache.

    :param float recorded_at: monotonic seconds.
    :param int lost_events: events lost from the endpoint until then.
    """

    recorded_at: float
    lost_events: int


def digest_prefixes(text):
    """Return the chained digests of the whole blocks of a text."""
    digests = []
    last = 0
    count = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS]
        last = xxhash.xxh64_intdigest(block.encode(), seed=last)
        digests.append(last)
    return tuple(digests)


class PrefixView:
    """Cached prefixes of endpoints, from own dispatches and cache events.

    ``entries_by_prefix`` maps the digest of a prefix to its entries by
    endpoint, in the order of their last update.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.entries_by_prefix = collections.OrderedDict()
        self.next_numbers = {}
        self.last_events = {}
        self.lost_events = collections.Counter()
        self.entry_counts = collections.Counter()

    def record_dispatch(self, name, digests):
        """Record that an endpoint computes and caches the prefixes."""
        for digest in digests:
            self.add(name, digest)

    def add(self, name, digest):
        """Add or refresh an entry and evict the oldest beyond the limits."""
        entries = self.entries_by_prefix.setdefault(digest, {})
        self.entries_by_prefix.move_to_end(digest)
        # Reinsertion keeps the entries in order of age for the eviction.
        self.discard(name, digest)
        entries[name] = CacheEntry(self.clock(), self.lost_events[name])
        self.entry_counts[name] += 1
        if len(entries) > MAX_ENDPOINTS_PER_PREFIX:
            self.discard(next(iter(entries)), digest)
        if len(self.entries_by_prefix) > MAX_PREFIXES:
            _, evicted = self.entries_by_prefix.popitem(last=False)
            self.entry_counts.subtract(evicted.keys())

    def discard(self, name, digest):
        """Remove the entry of an endpoint for a prefix, if there is one."""
        if self.entries_by_prefix[digest].pop(name, None) is not None:
            self.entry_counts[name] -= 1

    def apply_answer(self, name, events):
        """Apply the events since the last one that was read.

        An engine that restarted numbers its events anew. Its answer then
        doesn't begin with that last event.
        """
        last = self.last_events.get(name)
        if last is not None and not continues(last, events):
            self.reset(name)
            return
        self.apply_events(name, events)

    def apply_events(self, name, events):
        """Apply cache events of an endpoint in the order of their numbers.

        Old and repeated events are ignored. A gap may contain removals, so
        the confidence in earlier entries falls with its size.
        """
        for event in sorted(events, key=lambda each: each.number):
            expected = self.next_numbers.get(name, event.number)
            if event.number < expected:
                continue
            if event.number > expected:
                self.lost_events[name] += event.number - expected
            self.next_numbers[name] = event.number + 1
            self.last_events[name] = event
            digest = int(event.prefix, 16)
            if event.type == 'stored':
                self.add(name, digest)
            else:
                self.apply_removal(name, digest)

    def apply_removal(self, name, digest):
        """Apply a removal, unless the entry is too recent for it."""
        entry = self.entries_by_prefix.get(digest, {}).get(name)
        if entry is None:
            return
        if self.clock() - entry.recorded_at > EVENT_LAG_SECONDS:
            self.discard(name, digest)

    def reset(self, name):
        """Remove all entries of an endpoint whose cache was lost."""
        self.next_numbers.pop(name, None)
        self.last_events.pop(name, None)
        for digest in self.entries_by_prefix:
            self.discard(name, digest)

    def last_event_number(self, name):
        """Return the number of the last event that was read; 0 if none."""
        last = self.last_events.get(name)
        return 0 if last is None else last.number

    def cached_blocks(self, name, digests):
        """Return the expected number of leading blocks in the cache.

        Engines evict the end of a prefix first, so a cached block implies
        that all blocks before it are cached. A lost event leaves a gap or an
        isolated entry; the result is the length that agrees with the most
        entries, times the confidence in its last entry.
        """
        score = 0
        best_score = 0
        cached = 0
        last = None
        for index, digest in enumerate(digests, 1):
            entry = self.entries_by_prefix.get(digest, {}).get(name)
            score += 1 if entry else -1
            if score > best_score:
                best_score, cached, last = score, index, entry
            if score + len(digests) - index <= best_score:
                break
        return cached * self.confidence(name, last) if last else 0

    def confidence(self, name, entry):
        """Return the probability that no lost event removed the prefix."""
        removed = (self.lost_events[name] - entry.lost_events) * REMOVED_SHARE
        return math.exp(-removed / max(1, self.entry_counts[name]))


def continues(last, events):
    """Return whether events follow the last one that was read.

    That event itself may be lost, if later ones are not.
    """
    same_number = [each for each in events if each.number == last.number]
    if same_number:
        return last in same_number
    return any(event.number > last.number for event in events)
