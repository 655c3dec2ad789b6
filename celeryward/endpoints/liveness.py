"""Failure detection: which endpoints may receive new requests."""

import dataclasses
import time

from celeryward import deadlines

# Consecutive failures after which an endpoint is suspected.
FAILURES_TO_SUSPECT = 2
# The same for an endpoint whose host the platform no longer lists.
UNLISTED_FAILURES_TO_SUSPECT = 1
MAX_BACKOFF_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """An endpoint's statement whether it is leaving, and its time.

    :param float at: monotonic seconds of this daemon; in an export relative
        to the time of the export.
    """

    endpoint: str
    leaving: bool
    at: float


class Liveness:
    """Combines probes, failed calls, announcements and the host list.

    An endpoint is leaving if it announces so or if its host is listed as
    leaving; neither source overrides the other, because both may be stale.
    A host's absence from the list is not enough to suspect its endpoints,
    since the list lags; it only lowers the threshold of failures.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.failures = {}
        self.retry_at = {}
        self.announcements = {}
        self.listed_as_leaving = frozenset()
        self.listed = frozenset()
        self.unlisted = frozenset()

    def record_success(self, name):
        """Record that a probe over a new connection succeeded."""
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)

    def record_failure(self, name, initial_backoff):
        """Record a failed probe or connect, and back off exponentially.

        Many calls fail at once; so further failures during the back-off of
        a suspected endpoint don't lengthen it.

        :param float initial_backoff: seconds of the first back-off.
        """
        count = self.failures.get(name, 0) + 1
        if count > FAILURES_TO_SUSPECT and not self.retry_at[name].expired():
            return
        self.failures[name] = count
        backoff = min(MAX_BACKOFF_SECONDS, initial_backoff * 2 ** (count - 1))
        self.retry_at[name] = deadlines.Deadline.after(backoff)

    def mark_suspected(self, name, initial_backoff):
        """Suspect an endpoint after a failed call and a failed probe."""
        if self.failures.get(name, 0) < FAILURES_TO_SUSPECT:
            self.failures[name] = FAILURES_TO_SUSPECT - 1
            self.record_failure(name, initial_backoff)

    def set_leaving(self, name, leaving, requested_at=None):
        """Store whether the endpoint announces that it is leaving.

        An announcement that is older than the stored one is ignored.

        :param float requested_at: monotonic seconds at which the request was
            sent, a lower bound for the time of the announcement. None for
            now.
        """
        at = self.clock() if requested_at is None else requested_at
        stored = self.announcements.get(name)
        if stored is None or stored.at <= at:
            self.announcements[name] = Announcement(name, leaving, at)

    def export(self):
        """Return the announcements of leaving endpoints, for peers."""
        now = self.clock()
        return tuple(
            dataclasses.replace(announcement, at=announcement.at - now)
            for announcement in self.announcements.values()
            if announcement.leaving
        )

    def merge(self, exported):
        """Merge announcements of peers; the newer one wins."""
        now = self.clock()
        for entry in exported:
            # None is from the future, where no later one could replace it.
            at = now + min(0.0, entry.at)
            announcement = dataclasses.replace(entry, at=at)
            stored = self.announcements.get(entry.endpoint)
            if stored is None or stored.at < announcement.at:
                self.announcements[entry.endpoint] = announcement

    def apply_hosts(self, endpoints, hosts):
        """Apply the platform's list of hosts.

        :param endpoints: iterable of :class:`catalog.Endpoint`.
        :param hosts: iterable of entries with ``address`` and ``state``; the
            address is a host, or ``host:port`` for a single endpoint.
        """
        states = {host.address: host.state for host in hosts}
        states_by_name = {
            endpoint.name: states[address]
            for endpoint in endpoints
            for address in (endpoint.host, endpoint.address)
            if address in states
        }
        self.listed_as_leaving = frozenset(
            name
            for name, state in states_by_name.items()
            if state == 'leaving'
        )
        # Only an endpoint that has been listed before counts as unlisted.
        self.listed |= states_by_name.keys()
        self.unlisted = self.listed - states_by_name.keys()

    def forget(self, name):
        """Drop the state of an endpoint that was removed from the catalog."""
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)
        self.announcements.pop(name, None)
        self.listed -= {name}

    def is_leaving(self, name):
        """Return whether the endpoint or the host list announces leaving."""
        announcement = self.announcements.get(name)
        if announcement is not None and announcement.leaving:
            return True
        return name in self.listed_as_leaving

    def is_live(self, name):
        """Return whether the endpoint may receive new requests."""
        if self.is_leaving(name):
            return False
        threshold = FAILURES_TO_SUSPECT
        if name in self.unlisted:
            threshold = UNLISTED_FAILURES_TO_SUSPECT
        return self.failures.get(name, 0) < threshold
