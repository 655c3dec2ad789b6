"""Runs in flight at each software version.

The times of all runs are reported at the same age: when they would be overdue.
Sooner, evidence would be mostly of fast runs, because the slow ones are known
later.
"""

import dataclasses

from celeryward import logs
from celeryward.raters import evidence
from celeryward.raters import rollout_orders

# Events of a stream below which its seconds per event are not estimated.
MIN_EVENTS_FOR_ESTIMATE = 4
HEAD = rollout_orders.Criterion.HEAD
PACE = rollout_orders.Criterion.PACE


class Run:
    """One run, from its dispatch to the end of its answer.

    :param str kind: only runs of the same kind are compared.
    :param str endpoint: id of the endpoint.
    :param float relative_size: size of the request; 1.0 is average.
    :param float started_at: seconds on the clock of :class:`InFlightRuns`.
    :param order_key: key of the order whose target the version is, or None.
    :param float head_weight: weight of the time to its head as evidence.
    """

    def __init__(
        self,
        service,
        software,
        kind,
        endpoint,
        relative_size,
        started_at,
        order_key=None,
        head_weight=1.0,
    ):
        self.service = service
        self.software = software
        self.kind = kind
        self.endpoint = endpoint
        self.relative_size = relative_size
        self.started_at = started_at
        self.order_key = order_key
        self.head_weight = head_weight
        self.head_at = None
        self.events = 0
        # What was reported; an overdue run is reported before its end and must
        # not count twice.
        self.reported = False
        self.head_reported = False
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

    def pace_seconds(self, now):
        """Return the seconds per event so far, as for an estimate.

        Events that have not arrived count as if they came now.
        """
        events = max(self.events, MIN_EVENTS_FOR_ESTIMATE)
        return (now - self.head_at) / events


@dataclasses.dataclass(frozen=True, slots=True)
class JudgedTime:
    """The time of a run, to be reported when a slow one would be overdue.

    :param float due_at: seconds on the clock of :class:`InFlightRuns`.
    """

    run: Run
    criterion: rollout_orders.Criterion
    seconds: float
    due_at: float


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
        # Times that are known before the run would have been overdue.
        self.early_times = []

    def begin(self, service, software, kind, endpoint, relative_size):
        """Return the :class:`Run` of a dispatch that begins now.

        :param float relative_size: size of the request; 1.0 is average.
        """
        now = self.clock()
        order_key = self.releases.order_key(service, software)
        run = Run(
            service,
            software,
            kind,
            endpoint,
            relative_size,
            now,
            order_key,
            self.releases.head_weight(service) if order_key else 1.0,
        )
        self.runs.add(run)
        self.releases.record_dispatch(service, software)
        return run

    def drop(self, run):
        """Discard a run whose outcome is no evidence on its version."""
        self.runs.discard(run)

    def end(self, run, failed=False):
        """Report the outcome of a run, unless it was reported as overdue."""
        self.runs.discard(run)
        self.report_head(run)
        self.report_pace(run)
        if run.reported or self.is_outdated(run):
            return
        run.reported = True
        self.releases.observe(
            run.service, run.software, run.kind, failed, run.endpoint
        )

    def head_arrived(self, run):
        """Record the head of a run, and its speed.

        It is evidence while the run goes on, so that a good head must not
        wait for the end of its answer.
        """
        run.record_head(self.clock())
        self.report_head(run)

    def is_outdated(self, run):
        """Return whether a run is no evidence, because its order has ended.

        Its version was completed, or another one was ordered.
        """
        current = self.releases.order_key(run.service, run.software)
        return run.order_key != current

    def report_head(self, run):
        """Report the speed of the head, once."""
        if run.head_seconds is None or run.head_reported:
            return
        run.head_reported = True
        self.record_time(run, HEAD, run.head_seconds)

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
        self.record_time(run, PACE, pace)

    def record_time(self, run, criterion, seconds):
        """Add a time to the baseline, or keep it until it may be reported."""
        if run.order_key is None:
            self.report_time(run, criterion, seconds)
            return
        due_at = self.overdue_at(run, criterion)
        if due_at is None:
            return
        if due_at <= self.clock():
            self.report_time(run, criterion, seconds)
            return
        timed = JudgedTime(run, criterion, seconds, due_at)
        self.early_times.append(timed)

    def report_time(self, run, criterion, seconds):
        """Report the time of a run by a criterion."""
        if self.is_outdated(run):
            return
        weight = 1.0
        if criterion is HEAD:
            seconds = self.comparable_head_seconds(run, seconds)
            weight = run.head_weight
        self.releases.observe_time(
            run.service,
            run.software,
            run.kind,
            criterion,
            seconds,
            run.endpoint,
            weight,
        )

    def comparable_head_seconds(self, run, seconds):
        """Return the time to a head divided by the size of its request.

        At a new version, one that is never slow is no longer than usual.
        """
        relative_seconds = seconds / run.relative_size
        if run.order_key is None or seconds >= evidence.MIN_SLOW_SECONDS:
            return relative_seconds
        usual = self.releases.baselines.usual_time(run.service, run.kind, HEAD)
        if usual is None:
            return relative_seconds
        return min(relative_seconds, usual.usual_seconds)

    def overdue_at(self, run, criterion):
        """Return when a run is overdue by a criterion; None if unknown."""
        usual = self.releases.baselines.usual_time(
            run.service, run.kind, criterion
        )
        if usual is None:
            return None
        seconds = usual.overdue_factor * usual.usual_seconds
        if criterion is HEAD:
            began_at = run.started_at
            seconds *= run.relative_size
        else:
            began_at = run.head_at
            seconds *= MIN_EVENTS_FOR_ESTIMATE
        return began_at + max(evidence.MIN_SLOW_SECONDS, seconds)

    def report_overdue(self):
        """Report the overdue runs as slow, and the times that are due.

        Those at the old version count, too: both versions are slow while their
        endpoints have long prompts in their queues.
        """
        now = self.clock()
        due = [each for each in self.early_times if each.due_at <= now]
        self.early_times = [
            each for each in self.early_times if each.due_at > now
        ]
        for each in due:
            self.report_time(each.run, each.criterion, each.seconds)
        for run in tuple(self.runs):
            if not run.reported:
                self.report_if_overdue(run, now)

    def report_if_overdue(self, run, now):
        """Report a run by what it is overdue with."""
        if run.head_at is None:
            criterion, seconds = HEAD, now - run.started_at
            known = run.head_reported
        else:
            criterion, seconds = PACE, run.pace_seconds(now)
            known = run.pace_reported
        if known:
            return
        due_at = self.overdue_at(run, criterion)
        if due_at is None or now <= due_at:
            return
        run.reported = True
        run.head_reported = True
        run.pace_reported = run.pace_reported or criterion is PACE
        if run.order_key is not None:
            log_overdue(run, now)
        self.report_time(run, criterion, seconds)


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
