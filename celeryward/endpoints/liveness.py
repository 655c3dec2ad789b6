"""Which endpoints may receive new work."""

from celeryward import deadlines

FAILURES_TO_SUSPECT = 2
MAX_BACKOFF_SECONDS = 30.0


class Liveness:
    """Combines probes, failures of calls, and announced departures."""

    def __init__(self):
        self.failures = {}
        self.retry_at = {}
        self.leaving = set()

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

    def is_live(self, name):
        """Return whether new work may go to the endpoint."""
        if name in self.leaving:
            return False
        return self.failures.get(name, 0) < FAILURES_TO_SUSPECT
