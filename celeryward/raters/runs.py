"""Runs in flight at each software version."""

from celeryward import logs
from celeryward.raters import evidence
from celeryward.raters import rollout_orders

# Events of a stream below which its seconds per event are not estimated.
MIN_EVENTS_FOR_ESTIMATE = 4


class Run:
    """One run, from its dispatch to the end of its answer.

    :param str kind: only runs of the same kind are compared.
    :param str endpoint: id of the endpoint.
    :param float relative_size: size of the request; 1.0 is average.
    :param float started_at: seconds on the clock of :class:`InFlightRuns`.
    """

    def __init__(
        self, service, software, kind, endpoint, relative_size, started_at
    ):
        self.service = service
        self.software = software
        self.kind = kind
        self.endpoint = endpoint
        self.relative_size = relative_size
        self.started_at = started_at
        self.head_at = None
        self.events = 0
        # What was reported; an overdue run is reported before its end and must
        # not count twice.
        self.reported = False
        self.head_reported = False
        self.head_in_baseline = False
        self.pace_reported = False

    def record_head(self, now):
        """Record that the head of the answer has arrived."""
        self.head_at = now

    def record_events(self, count):
        """Record how many events of a stream have arrived."""
        self.events = count

    @property
    def head_seconds(self):
        """Seconds to the head of the answer, or None."""
        if self.head_at is None:
            return None
        return self.head_at - self.started_at

    def seconds_per_event(self, now):
        """Return the mean seconds per event so far, or None if unknown."""
        if self.head_at is None or self.events < MIN_EVENTS_FOR_ESTIMATE:
            return None
        return (now - self.head_at) / self.events

    def is_overdue(self, baseline, now):
        """Return whether the run takes far longer than the old version.

        :param evidence.Baseline baseline: averages of the old version.
        """
        if self.head_at is None:
            waited = now - self.started_at
            return baseline.has_slow_head(waited, self.relative_size, now)
        expected = baseline.expected_seconds_per_event()
        if expected is None:
            return False
        limit = evidence.SLOW_FACTOR * expected * (self.events + 1)
        return now - self.head_at > max(evidence.MIN_SLOW_SECONDS, limit)


class InFlightRuns:
    """Tracks the runs that have not ended and finds those overdue.

    ``clock`` is a function that returns seconds. In a router they stand still
    while the process does, because its pause is no evidence on a version.

    :param releases: :class:`releases.Releases`, to which outcomes are
        reported.
    """

    def __init__(self, releases):
        self.releases = releases
        self.clock = releases.clock
        self.runs = set()

    def begin(self, service, software, kind, endpoint, relative_size):
        """Return the :class:`Run` of a dispatch that begins now.

        :param float relative_size: size of the request; 1.0 is average.
        """
        now = self.clock()
        run = Run(service, software, kind, endpoint, relative_size, now)
        self.runs.add(run)
        self.releases.record_dispatch(service, software)
        return run

    def drop(self, run):
        """Discard a run whose outcome is no evidence on its version."""
        self.runs.discard(run)

    def end(self, run, failed=False):
        """Report the outcome of a run, unless it was reported as overdue."""
        self.runs.discard(run)
        now = self.clock()
        self.report_head(run)
        self.report_pace(run)
        if run.reported:
            return
        run.reported = True
        self.releases.observe(
            run.service,
            run.software,
            run.kind,
            failed,
            run.seconds_per_event(now),
            run.endpoint,
        )

    def head_arrived(self, run):
        """Record the head of a run and report its speed.

        A slow head is reported while the run goes on, so that a good one must
        not wait for the end of its answer either.
        """
        run.record_head(self.clock())
        self.report_head(run)

    def report_head(self, run):
        """Report the speed of the head, once."""
        if run.head_seconds is None:
            return
        now = self.clock()
        if not run.head_reported:
            run.head_reported = True
            slow = self.baseline(run).has_slow_head(
                run.head_seconds, run.relative_size, now
            )
            self.report_speed(run, rollout_orders.Criterion.HEAD, slow)
        if not (
            run.head_in_baseline
            or self.releases.is_new_version(run.service, run.software)
        ):
            run.head_in_baseline = True
            self.update_head_baseline(run, now)

    def update_head_baseline(self, run, now):
        """Update the mean time to the head of an answer."""
        relative_seconds = run.head_seconds / run.relative_size
        baseline = self.baseline(run).with_head(relative_seconds, now)
        self.releases.baselines[(run.service, run.kind)] = baseline

    def baseline(self, run):
        """Return the baseline for the kind of a run."""
        return self.releases.baseline(run.service, run.kind)

    def report_overdue(self):
        """Report the overdue runs as slow.

        Those at the old version count, too: both versions are slow while their
        endpoints have long prompts in their queues.
        """
        now = self.clock()
        for run in tuple(self.runs):
            if run.reported:
                continue
            overdue = run.is_overdue(self.baseline(run), now)
            if overdue:
                run.reported = True
                if self.releases.is_new_version(run.service, run.software):
                    log_overdue(run, now)
                self.report_slow(run)

    def events_arrived(self, run, count):
        """Record the events of a run, and report its pace once it is known."""
        run.record_events(count)
        self.report_pace(run)

    def report_pace(self, run):
        """Report the pace of a stream, once."""
        pace = run.seconds_per_event(self.clock())
        if pace is None or run.pace_reported:
            return
        run.pace_reported = True
        slow = self.baseline(run).is_slow(pace)
        self.report_speed(run, rollout_orders.Criterion.PACE, slow)

    def report_slow(self, run):
        """Report an overdue run by what it is overdue with."""
        if run.head_at is None:
            run.head_reported = True
            self.report_speed(run, rollout_orders.Criterion.HEAD, True)
        elif not run.pace_reported:
            run.pace_reported = True
            self.report_speed(run, rollout_orders.Criterion.PACE, True)

    def report_speed(self, run, criterion, slow):
        """Report whether a run is slow by a criterion."""
        self.releases.observe_speed(
            run.service,
            run.software,
            run.kind,
            criterion,
            slow,
            run.endpoint,
        )


def log_overdue(run, now):
    """Log a run that is overdue."""
    logs.bind(
        step='roll-out',
        peer=run.service,
        software=run.software,
        endpoint=run.endpoint,
        kind=run.kind,
        under_way=round(now - run.started_at, 3),
        events=run.events,
    ).info('run at the new version is overdue')
