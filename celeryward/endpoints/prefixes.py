"""Which endpoints are likely to hold the prefix of a prompt in cache."""

import collections
import dataclasses
import math
import time

import xxhash

# Shared with the engines: a prefix is named by the chained xxh64 of its
# blocks of this many characters.
BLOCK_CHARACTERS = 1024
MAX_BLOCKS = 64
# 65,536 prefixes with a few endpoints each need about 25 MB.
MAX_PREFIXES = 65536
MAX_HOLDERS = 8
# A removal older than the own dispatch must not undo it; events are late.
EVENT_LAG_SECONDS = 2.0
# About half of the events are removals.
REMOVED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of an engine's prefix cache.

    :param int number: increases by one; a jump is a gap.
    :param str type: ``stored`` or ``removed``.
    :param str prefix: digest of the prefix, in hexadecimal.
    """

    number: int
    type: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Belief that an endpoint holds a prefix.

    :param float noted_at: monotonic seconds.
    :param int lost: events lost from the endpoint before this was noted.
    """

    noted_at: float
    lost: int


def digest_text(text):
    """Return the digests of the block-aligned prefixes of a text."""
    digests = []
    last = 0
    whole = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
    for index in range(whole):
        start = index * BLOCK_CHARACTERS
        block = text[start : start + BLOCK_CHARACTERS]
        last = xxhash.xxh64_intdigest(block.encode(), seed=last)
        digests.append(last)
    return tuple(digests)


class PrefixView:
    """Prefixes by endpoint, from own dispatches and from cache events.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.holders = collections.OrderedDict()
        self.next_event = {}
        self.lost = collections.Counter()
        self.held = collections.Counter()

    def dispatched(self, name, digests):
        """Note that an endpoint now computes and caches the prefixes."""
        for digest in digests:
            self.note(name, digest)

    def note(self, name, digest):
        """Note one prefix and keep the number of entries bounded."""
        holders = self.holders.setdefault(digest, {})
        self.holders.move_to_end(digest)
        # The newest holder is last; the oldest is dropped first.
        self.drop(name, digest)
        holders[name] = Holding(self.clock(), self.lost[name])
        self.held[name] += 1
        if len(holders) > MAX_HOLDERS:
            self.drop(next(iter(holders)), digest)
        if len(self.holders) > MAX_PREFIXES:
            _, dropped = self.holders.popitem(last=False)
            self.held.subtract(dropped.keys())

    def drop(self, name, digest):
        """Forget that an endpoint holds a prefix."""
        if self.holders[digest].pop(name, None) is not None:
            self.held[name] -= 1

    def apply(self, name, events):
        """Apply cache events of an endpoint in the order of their numbers.

        Old and repeated events are ignored. A gap may hide removals, so
        the confidence in what was noted before it falls with its size.
        """
        for event in sorted(events, key=lambda each: each.number):
            expected = self.next_event.get(name, event.number)
            if event.number < expected:
                continue
            if event.number > expected:
                self.lost[name] += event.number - expected
            self.next_event[name] = event.number + 1
            digest = int(event.prefix, 16)
            if event.type == 'stored':
                self.note(name, digest)
            else:
                self.remove(name, digest)

    def remove(self, name, digest):
        """Note that an endpoint no longer holds a prefix."""
        holding = self.holders.get(digest, {}).get(name)
        if holding is None:
            return
        if self.clock() - holding.noted_at > EVENT_LAG_SECONDS:
            self.drop(name, digest)

    def restarted(self, name):
        """Forget an endpoint whose cache is lost."""
        self.next_event.pop(name, None)
        for digest in self.holders:
            self.drop(name, digest)

    def since(self, name):
        """Return the number of the next event to ask an endpoint for."""
        return self.next_event.get(name, 0)

    def cached_blocks(self, name, digests):
        """Return how many leading blocks an endpoint likely holds.

        Engines evict the end of a prefix first, so a held block implies all
        blocks before it. A lost event leaves a hole or an island; the length
        with the most blocks that agree with it is taken.
        """
        score = 0
        best = 0
        found = 0
        last = None
        for index, digest in enumerate(digests, 1):
            holding = self.holders.get(digest, {}).get(name)
            score += 1 if holding else -1
            if score > best:
                best, found, last = score, index, holding
            if score + len(digests) - index <= best:
                break
        return found * self.confidence(name, last) if last else 0

    def confidence(self, name, holding):
        """Return the chance that a gap hid no removal of a prefix."""
        removed = (self.lost[name] - holding.lost) * REMOVED_SHARE
        return math.exp(-removed / max(1, self.held[name]))
