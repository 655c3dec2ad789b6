"""Checks that work which begins is finished, also in a planned stop."""

from benchmarks.soak import checks
from benchmarks.soak import lateness
from tests import platform_processes as processes

MUST_NOT_RUN_TWICE = ('once', 'rigid')
PROMISES = processes.NOT_RUN_STATUSES
# A timeout ends a request by so much earlier or later.
TIMEOUT_EARLY_SECONDS = 0.1
TIMEOUT_LATE_SECONDS = 0.5


@checks.CHECKS.register('late-in-stops')
def check_late_requests(observed):
    """What must not run twice ends answered or refused if sent in a stop."""
    reached = checks.executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.kind not in MUST_NOT_RUN_TWICE or outcome.left_early:
            continue
        if outcome.written_at is None or not was_sent_in_stop(
            observed, outcome
        ):
            continue
        executions = reached.get(outcome.request_id, ())
        if ended_well(outcome, executions):
            continue
        if checks.was_interrupted(observed, outcome, executions):
            continue
        if was_reset_on_the_way(observed, outcome, executions):
            continue
        if lasted_a_timeout(observed, outcome):
            continue
        seconds = outcome.ended_at - outcome.started_at
        yield (
            outcome.request_id,
            f'{outcome.kind} sent in a stop ended after {seconds:.2f} s with'
            f' {outcome.status} {outcome.error}',
        )


def was_sent_in_stop(observed, outcome):
    """Return whether a request was sent to a router that was stopping."""
    return any(
        stop.router == outcome.router
        and stop.ordered_at <= outcome.started_at < stop.ended_at
        for stop in observed.stops
    )


def ended_well(outcome, executions):
    """Return whether a request was answered, refused, or never read."""
    if outcome.whole and outcome.status == checks.OK:
        return True
    if not executions and outcome.status in PROMISES:
        return True
    return checks.crossed_close(outcome, executions)


def was_reset_on_the_way(observed, outcome, executions):
    """Return whether a fault may have kept a request from an endpoint.

    The router can't know then whether it has arrived.
    """
    return not executions and observed.overlaps_fault(
        outcome.started_at, outcome.ended_at, checks.INTERRUPTED_ENDPOINT
    )


def lasted_a_timeout(observed, outcome):
    """Return whether a request ended at a timeout that may be in force.

    A router that is suspended reads it, and counts from then, when it goes on.
    """
    limits = [each.seconds for each in observed.timeouts]
    resumed = observed.resumptions(outcome.router, outcome.written_at)
    return any(
        -TIMEOUT_EARLY_SECONDS
        <= outcome.ended_at - began - limit
        <= TIMEOUT_LATE_SECONDS
        for began in (outcome.started_at, *resumed)
        for limit in (*limits, outcome.deadline_seconds)
    )


@checks.CHECKS.register('stops-in-time')
def check_stop_times(observed):
    """A process has ended when the time of its stop is over."""
    for stop in observed.stops:
        seconds = stop.ended_at - stop.ordered_at
        if stop.exit_status is None or seconds <= processes.STOP_SECONDS:
            continue
        span = stop.ordered_at, stop.ended_at
        if observed.overlaps_fault(*span, ('router-pause',), stop.router):
            continue
        if observed.overlaps_fault(*span, (lateness.FAULT_NAME,)):
            continue
        yield '', f'{stop.router} took {seconds:.2f} s to stop'


@checks.CHECKS.register('kept-answers')
def check_kept_answers(observed):
    """An answer of a small model is not lost if a larger one fails."""
    reached = checks.executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.request_id not in observed.small_answers:
            continue
        if outcome.left_early or outcome.whole and outcome.status == checks.OK:
            continue
        executions = reached.get(outcome.request_id, ())
        if checks.was_interrupted(observed, outcome, executions):
            continue
        yield (
            outcome.request_id,
            f'a small model answered, but the caller got {outcome.status}'
            f' {outcome.error}',
        )
