"""The open connections of a listener, and which one makes room for a new one.

A new connection beyond a limit takes the place of one that waits for its
client and has had time; without such a one it is refused, and has not run.
Answers clients that open connections without bound. Needs no network.
"""

import collections
import itertools
import operator
import time

# A connection that waits for less may be about to bring a request. Others may
# have a shorter time.
MIN_WAIT_SECONDS = 1.0
# What a search has found is used for so long. Each search looks at all
# connections, and each look takes calls to the kernel.
SEARCH_SECONDS = 0.1
WAITING_SINCE = operator.attrgetter('waiting_since')


class OpenConnections:
    """The open connections of one listener, and whether there may be more.

    A connection has ``waiting_since``, since when it waits for its client, or
    None, and ``closable_at``, before which it stays open, both in monotonic
    seconds, and ``close_reason()``, which is empty if it must stay open.

    :param connection_limits.ListenerLimits limits: the limits.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, limits, clock=time.monotonic):
        self.limits = limits
        self.clock = clock
        self.addresses = {}
        self.counts = collections.Counter()
        # Connections that the last search has found, best first, and when the
        # next one may begin, by address, and None for all of them.
        self.found = collections.defaultdict(dict)
        self.search_at = {}

    def full(self, address):
        """Return the limit that a new connection exceeds, or an empty text."""
        if self.counts[address] >= self.limits.per_address:
            return 'address'
        return 'total' if len(self.addresses) >= self.limits.total else ''

    def longest_waiting(self, cause, address):
        """Return the connection to close for a new one, and why.

        None and an empty text are returned if there is none.

        :param str cause: the limit that the new one exceeds. One of its own
            address is closed for the limit of that; else one of the addresses
            that have the most of those that wait.
        """
        now = self.clock()
        scope = address if cause == 'address' else None
        if now >= self.search_at.get(scope, 0.0):
            self.search_at[scope] = now + SEARCH_SECONDS
            self.found[scope] = dict.fromkeys(self.search(scope, now))
        found = self.found[scope]
        while found:
            connection = next(iter(found))
            del found[connection]
            if connection.closable_at <= now:
                if reason := connection.close_reason():
                    return connection, reason
        return None, ''

    def search(self, scope, now):
        """Return the connections that may be closed, best first.

        :param scope: address of the connections, or None for all of them.
        """
        waiting = collections.defaultdict(list)
        for connection, source in self.addresses.items():
            if scope in (None, source) and connection.closable_at <= now:
                waiting[source].append(connection)
        most_first = sorted(waiting.values(), key=len, reverse=True)
        longest_first = (
            sorted(connections, key=WAITING_SINCE)
            for connections in most_first
        )
        return itertools.chain.from_iterable(longest_first)

    def add(self, connection, address):
        """Count a connection."""
        self.addresses[connection] = address
        self.counts[address] += 1

    def remove(self, connection):
        """Stop to count a connection; it may have been removed before."""
        address = self.addresses.pop(connection, None)
        if address is None:
            return
        for scope in (None, address):
            self.found[scope].pop(connection, None)
        self.counts[address] -= 1
        if not self.counts[address]:
            del self.counts[address]
            del self.found[address]
            self.search_at.pop(address, None)
