"""Endpoints that have announced in an answer that they are leaving.

An announcement takes effect at once and holds for one run of an endpoint's
process, whatever the store lists, which may lag behind or be out of reach.
Answers the load of roll-outs and restarts, in which many endpoints leave
while requests are queued, retried or resumed. Needs no network.
"""

import collections
import dataclasses

# Announcements that are kept after the entry of their endpoint is gone, in
# case an outdated list brings the entry back.
MAX_UNLISTED = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The announcement that a run of an endpoint is leaving.

    :param str endpoint: id of the endpoint.
    :param float started_at: start of the run, as in :class:`runners.Runner`.
    """

    endpoint: str
    started_at: float


class Departures:
    """The latest run of each endpoint that has announced its departure.

    There is at most one announcement for each listed endpoint, and
    :data:`MAX_UNLISTED` for others.
    """

    def __init__(self):
        self.started_at = {}
        self.unlisted = collections.OrderedDict()

    def announce(self, runner_id, started_at, listed):
        """Record that a run of an endpoint is leaving.

        :param float started_at: start of the run, as in
            :class:`runners.Runner`.
        :param bool listed: whether the endpoint is in the list of endpoints.
        :returns: whether this was not known before.
        """
        known = self.started_at.get(runner_id)
        if known is not None and known >= started_at:
            return False
        self.started_at[runner_id] = started_at
        if not listed:
            self.entry_removed(runner_id)
        return True

    def includes(self, runner):
        """Return whether this run of an endpoint, or a later one, leaves."""
        started_at = self.started_at.get(runner.id)
        return started_at is not None and runner.started_at <= started_at

    def entry_listed(self, runner):
        """Drop the announcement of an earlier run than the listed one."""
        self.unlisted.pop(runner.id, None)
        if not self.includes(runner):
            self.started_at.pop(runner.id, None)

    def entry_removed(self, runner_id):
        """Keep the announcement of an endpoint whose entry is gone."""
        if runner_id not in self.started_at:
            return
        self.unlisted[runner_id] = None
        self.unlisted.move_to_end(runner_id)
        while len(self.unlisted) > MAX_UNLISTED:
            oldest, _ = self.unlisted.popitem(last=False)
            del self.started_at[oldest]
