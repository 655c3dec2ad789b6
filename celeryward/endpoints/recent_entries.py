"""Bounded collections that drop what was changed the longest time ago."""

import collections


class RecentKeys(collections.OrderedDict):
    """Keys in the order in which they were last added.

    :param int most: upper bound on the keys; the oldest are dropped.
    """

    def __init__(self, most):
        super().__init__()
        self.most = most

    def add(self, key, entry=None):
        """Add or renew a key."""
        self[key] = entry
        self.move_to_end(key)
        while len(self) > self.most:
            self.popitem(last=False)


class RecentEntries(RecentKeys):
    """Entries by key in the order of their last change."""

    def put(self, entry):
        """Add or replace an entry."""
        self.add(entry.key, entry)
