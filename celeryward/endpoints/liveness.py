"""Which endpoints may receive new work."""

from celeryward import deadlines

FAILURES_TO_SUSPECT = 2
# A host that the platform no longer lists needs one failure only.
UNLISTED_FAILURES_TO_SUSPECT = 1
MAX_BACKOFF_SECONDS = 30.0


class Liveness:
    """Combines probes, failures of calls, announcements and the host list.

    An endpoint leaves if it announces so itself or if its host is listed as
    leaving; neither signal overrules the other, because both may be late.
    A host that has disappeared from the list proves nothing alone, since
    the list lags.
    """

    def __init__(self):
        self.failures = {}
        self.retry_at = {}
        self.leaving = set()
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

    def set_leaving(self, name, leaving):
        """Note whether the endpoint announces that it leaves."""
        if leaving:
            self.leaving.add(name)
        else:
            self.leaving.discard(name)

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
        self.leaving.discard(name)
        self.listed -= {name}

    def is_leaving(self, name):
        """Return whether the endpoint or the host list says that it leaves."""
        return name in self.leaving or name in self.listed_leaving

    def is_live(self, name):
        """Return whether new work may go to the endpoint."""
        if self.is_leaving(name):
            return False
        allowed = FAILURES_TO_SUSPECT
        if name in self.unlisted:
            allowed = UNLISTED_FAILURES_TO_SUSPECT
        return self.failures.get(name, 0) < allowed
