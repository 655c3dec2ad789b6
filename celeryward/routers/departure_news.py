"""Departures of endpoints that routers of a failure domain tell each other.

An endpoint announces its departure only in answers, so that a router without
requests there would learn of it from the store alone. Followers report what
they have learned to their leader, which adds it to its answers to their
polls. Answers the load of roll-outs, with at most a bounded list in messages
that are sent anyway. Needs no network.
"""

import collections
import time

# Longer than the time between two polls of a follower, also if one of the two
# routers stands still for some seconds in between.
TOLD_SECONDS = 5.0
# Announcements in one message, and those that wait to be reported.
MAX_ANNOUNCEMENTS = 32


class DepartureNews:
    """What this router has learned, and tells its leader and its followers.

    :param table: :class:`runners.RunnerTable`; None to tell and take nothing.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, table=None, clock=time.monotonic):
        self.table = table
        self.clock = clock
        self.learned = collections.deque(maxlen=MAX_ANNOUNCEMENTS)
        self.unreported = collections.deque(maxlen=MAX_ANNOUNCEMENTS)
        if table is not None:
            table.announcement_listeners.append(self.add_own)

    def add_own(self, announcement):
        """Add a departure that an answer to this router has announced."""
        self.learned.append((self.clock(), announcement))
        self.unreported.append(announcement)

    def accept(self, announcements):
        """Apply departures that another router has learned."""
        if self.table is None:
            return
        for announcement in announcements[:MAX_ANNOUNCEMENTS]:
            if self.table.accept_announcement(announcement):
                self.learned.append((self.clock(), announcement))

    def for_followers(self):
        """Return the departures that were learned lately."""
        oldest = self.clock() - TOLD_SECONDS
        return tuple(
            announcement for at, announcement in self.learned if at >= oldest
        )

    def record_reported(self, announcements):
        """Drop departures that the leader has taken."""
        for announcement in announcements:
            if announcement in self.unreported:
                self.unreported.remove(announcement)
