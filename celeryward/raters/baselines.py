"""Averages of the version that serves, to compare a new one with.

They belong to one version of a service and are discarded when another one has
replaced it.
"""

from celeryward.raters import evidence
from celeryward.raters import rollout_orders

# Stands for all kinds of runs of a service.
ALL_KINDS = ''


class Baselines:
    """Averages over the runs of each kind at the versions that serve.

    :param clock: function that returns seconds, as of the runs in flight.
    """

    def __init__(self, clock):
        self.clock = clock
        self.averages = {}

    def of(self, service, kind):
        """Return the :class:`evidence.Baseline` of a kind of runs."""
        return self.averages.get((service, kind), evidence.Baseline())

    def add_run(self, service, kind, failed):
        """Add the outcome of a run."""
        baseline = self.of(service, kind)
        self.averages[(service, kind)] = baseline.with_run(failed)

    def add_time(self, service, kind, criterion, seconds):
        """Add a time to those of its kind and of all kinds."""
        now = self.clock()
        for key in (kind, ALL_KINDS):
            baseline = self.of(service, key)
            self.averages[(service, key)] = baseline.with_time(
                criterion.value, seconds, now
            )

    def usual_time(self, service, kind, criterion):
        """Return the :class:`evidence.TimeBaseline` to compare a time with.

        It is that of all kinds while there are too few runs of one kind, and
        None while there are too few of all.
        """
        now = self.clock()
        for key in (kind, ALL_KINDS):
            usual = getattr(self.of(service, key), criterion.value)
            outdated = (
                criterion is rollout_orders.Criterion.HEAD
                and now - usual.last_at > evidence.HEAD_VALID_SECONDS
            )
            if usual.is_known and not outdated:
                return usual
        return None

    def has_times(self, service, criterion):
        """Return whether times of a service are known, of any age."""
        baseline = self.of(service, ALL_KINDS)
        return getattr(baseline, criterion.value).is_known

    def forget(self, service):
        """Discard the averages of a version that a new one has replaced."""
        self.averages = {
            key: baseline
            for key, baseline in self.averages.items()
            if key[0] != service
        }
