"""Counts the entries that are ignored, and logs each distinct fault once."""

import collections

from celeryward import logs

# Faults that are remembered, so that they are not logged again.
MAX_KNOWN_FAULTS = 256
MAX_NAME_CHARACTERS = 100
MAX_FAULT_CHARACTERS = 200


class IgnoredEntries:
    """Records entries of the store that can't be used.

    :param count: function of a kind, called for each of them.
    """

    def __init__(self, count=lambda kind: None):
        self.count = count
        self.known = collections.OrderedDict()

    def record(self, kind, name, fault):
        """Count one entry, and log it unless this fault was logged before.

        :param str name: name of the entry; empty if it can't be read.
        """
        self.count(kind)
        key = (kind, name[:MAX_NAME_CHARACTERS], fault[:MAX_FAULT_CHARACTERS])
        if key in self.known:
            self.known.move_to_end(key)
            return
        self.known[key] = None
        if len(self.known) > MAX_KNOWN_FAULTS:
            self.known.popitem(last=False)
        logs.bind(
            step='read object', peer='store', kind=kind, name=key[1]
        ).warning('entry ignored: {}', key[2])

    def unwrap(self, stored, outcome):
        """Return the value of ``Ok``; record an ``Err`` and return None.

        :param stored: :class:`protocol.StoredObject` that was read.
        :param outcome: ``Ok``, or ``Err`` with an error of the tree.
        """
        if outcome.is_ok():
            return outcome.unwrap()
        self.record(stored.kind, stored.name, outcome.unwrap_err().message)
        return None
