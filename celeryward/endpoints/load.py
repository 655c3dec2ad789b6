"""What this daemon knows of the load of each endpoint."""

import collections

from celeryward.endpoints import protocol

NO_REPORT = protocol.LoadReport()


class LoadView:
    """Load reports, corrected by this daemon's own dispatches."""

    def __init__(self):
        self.reports = {}
        self.in_flight = collections.Counter()

    def report(self, name, report):
        """Store the newest report of an endpoint."""
        self.reports[name] = report

    def started(self, name):
        """Count a dispatch to an endpoint."""
        self.in_flight[name] += 1

    def finished(self, name):
        """Count the end of a dispatch."""
        self.in_flight[name] -= 1

    def estimate(self, endpoint):
        """Return the load of an endpoint; 1.0 means all slots are busy."""
        report = self.reports.get(endpoint.name, NO_REPORT)
        reported = report.running + report.waiting
        busy = max(reported, self.in_flight[endpoint.name])
        return busy / max(1, endpoint.capacity)
