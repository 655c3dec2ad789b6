"""Which endpoints may receive new work."""

import dataclasses
import time

from celeryward import deadlines

FAILURES_TO_SUSPECT = 2
# A host that the platform no longer lists needs one failure only.
UNLISTED_FAILURES_TO_SUSPECT = 1
MAX_BACKOFF_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Whether an endpoint said that it leaves, and when.

    :param float at: seconds on the clock of the owner; in an export
        relative to the time of the export.
    """

    endpoint: str
    leaving: bool
    at: float


class Liveness:
    """Combines probes, failures of calls, announcements and the host list.

    An endpoint leaves if it announces so itself or if its host is listed as
    leaving; neither signal overrules the other, because both may be late.
    A host that has disappeared from the list proves nothing alone, since
    the list lags.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.failures = {}
        self.retry_at = {}
        self.announcements = {}
        self.listed_leaving = frozenset()
        self.listed = frozenset()
        self.unlisted = frozenset()

    def succeeded(self, name):
        """Note that a new connection to the endpoint worked."""
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)

    def failed(self, name, interval):
        """Note a failed probe or connect.

        Many calls fail together; while a suspect endpoint backs off, further
        failures don't lengthen the back-off.

        :param float interval: seconds of the first back-off.
        """
        count = self.failures.get(name, 0) + 1
        if count > FAILURES_TO_SUSPECT and not self.retry_at[name].expired():
            return
        self.failures[name] = count
        backoff = min(MAX_BACKOFF_SECONDS, interval * 2 ** (count - 1))
        self.retry_at[name] = deadlines.Deadline.after(backoff)

    def suspect(self, name, interval):
        """Note that both a call and the probe after it failed."""
        if self.failures.get(name, 0) < FAILURES_TO_SUSPECT:
            self.failures[name] = FAILURES_TO_SUSPECT - 1
            self.failed(name, interval)

    def set_leaving(self, name, leaving, asked_at=None):
        """Note whether the endpoint announces that it leaves.

        :param float asked_at: monotonic seconds of the question; its answer
            is no newer than that. None for now.
        """
        at = self.clock() if asked_at is None else asked_at
        known = self.announcements.get(name)
        if known is None or known.at <= at:
            self.announcements[name] = Announcement(name, leaving, at)

    def export(self):
        """Return all announcements of departure, for peers."""
        now = self.clock()
        return tuple(
            dataclasses.replace(announced, at=announced.at - now)
            for announced in self.announcements.values()
            if announced.leaving
        )

    def merge(self, exported):
        """Take over announcements of peers that are newer than the own."""
        now = self.clock()
        for entry in exported:
            announced = dataclasses.replace(entry, at=entry.at + now)
            known = self.announcements.get(entry.endpoint)
            if known is None or known.at < announced.at:
                self.announcements[entry.endpoint] = announced

    def apply_hosts(self, endpoints, hosts):
        """Take over the platform's list of hosts.

        :param endpoints: iterable of :class:`catalog.Endpoint`.
        :param hosts: iterable of entries with ``address`` and ``state``.
        """
        states = {host.address: host.state for host in hosts}
        states_by_name = {
            endpoint.name: states[address]
            for endpoint in endpoints
            for address in (endpoint.host, endpoint.address)
            if address in states
        }
        self.listed_leaving = frozenset(
            name
            for name, state in states_by_name.items()
            if state == 'leaving'
        )
        # Only what was listed once can disappear.
        self.listed |= states_by_name.keys()
        self.unlisted = self.listed - states_by_name.keys()

    def forget(self, name):
        """Drop an endpoint that left the catalog."""
        self.failures.pop(name, None)
        self.retry_at.pop(name, None)
        self.announcements.pop(name, None)
        self.listed -= {name}

    def is_leaving(self, name):
        """Return whether the endpoint or the host list says that it leaves."""
        announced = self.announcements.get(name)
        if announced is not None and announced.leaving:
            return True
        return name in self.listed_leaving

    def is_live(self, name):
        """Return whether new work may go to the endpoint."""
        if self.is_leaving(name):
            return False
        allowed = FAILURES_TO_SUSPECT
        if name in self.unlisted:
            allowed = UNLISTED_FAILURES_TO_SUSPECT
        return self.failures.get(name, 0) < allowed
