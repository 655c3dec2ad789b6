"""Check that each whole request has exactly one of the allowed ends."""

from benchmarks.soak import callers
from benchmarks.soak import checks
from benchmarks.soak import lateness
from celeryward import registry

ENDS = registry.Registry('end of a request')
MIN_ERROR_STATUS = 400
# Faults that end an endpoint or its connections. Silence is none of them.
BREAKING_FAULTS = ('endpoint-crash', 'endpoint-reset', 'endpoint-stop')
# Within which a router that stood still answers what has waited.
RESUMED_SECONDS = 1.0
# How much earlier than its patience the clock of a caller may end a request.
PATIENCE_SLACK_SECONDS = 0.1


@ENDS.register('whole answer')
def is_whole_answer(outcome, executions):
    """Return whether the caller has a complete answer."""
    return outcome.whole and outcome.status < MIN_ERROR_STATUS


@ENDS.register('true refusal')
def is_true_refusal(outcome, executions):
    """Return whether the router said truly that the request did not run."""
    return outcome.whole and outcome.not_run and not executions


@ENDS.register('stated failure')
def is_stated_failure(outcome, executions):
    """Return whether an answer says that the request has failed."""
    failed = outcome.status >= MIN_ERROR_STATUS
    return outcome.whole and failed and not outcome.not_run


@ENDS.register('caller gone')
def is_caller_gone(outcome, executions):
    """Return whether the caller was to leave before its answer."""
    return outcome.left_early and not outcome.whole


def ends_of(outcome, executions):
    """Return the names of all ends that a request has."""
    return [
        name
        for name in sorted(ENDS.entries)
        if ENDS.get(name)(outcome, executions)
    ]


@checks.CHECKS.register('one-end')
def check_ends(observed):
    """A whole request has exactly one end; silence excuses nothing."""
    if not observed.strict:
        return
    reached = checks.executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.written_at is None:
            continue
        executions = reached.get(outcome.request_id, ())
        ends = ends_of(outcome, executions)
        if len(ends) == 1 or may_end_otherwise(observed, outcome, executions):
            continue
        seconds = outcome.ended_at - outcome.started_at
        yield (
            outcome.request_id,
            f'{outcome.kind} ended after {seconds:.2f} s as {ends}, status'
            f' {outcome.status}, {len(executions)} runs: {outcome.error}',
        )


def may_end_otherwise(observed, outcome, executions):
    """Return whether an outcome without an end is allowed.

    A request that has a head gets no other status: its answer can only be
    broken off.
    """
    if outcome.whole:
        return False
    period = outcome.started_at, outcome.ended_at
    if observed.overlaps_fault(*period, ('router-kill',), outcome.router):
        return True
    if checks.crossed_close(outcome, executions):
        return True
    if lost_patience(outcome) and stood_still(observed, outcome, executions):
        return True
    return outcome.status != 0 and was_broken_off(
        observed, outcome, executions
    )


def lost_patience(outcome):
    """Return whether the caller left after all the time it allows."""
    allowed = outcome.deadline_seconds + callers.PATIENCE_SECONDS
    seconds = outcome.ended_at - outcome.started_at
    return seconds >= allowed - PATIENCE_SLACK_SECONDS


def stood_still(observed, outcome, executions):
    """Return whether a router or harness that stood still may be late.

    It may be a second, and as long as the deadline if it counts that from when
    it goes on and the endpoint is silent then.
    """
    seconds = RESUMED_SECONDS
    if was_silent(observed, outcome, executions):
        seconds = outcome.deadline_seconds
    period = outcome.ended_at - seconds, outcome.ended_at
    return observed.overlaps_fault(
        *period, ('router-pause',), outcome.router
    ) or observed.overlaps_fault(*period, (lateness.FAULT_NAME,))


def was_silent(observed, outcome, executions):
    """Return whether an endpoint that was reached was disturbed."""
    period = outcome.started_at, outcome.ended_at
    return any(
        observed.overlaps_fault(
            *period, ('endpoint-',), execution.endpoint.partition('-')[0]
        )
        for execution in executions
    )


def was_broken_off(observed, outcome, executions):
    """Return whether an answer had begun and could not be completed."""
    if outcome.request_id in observed.broken_off:
        return True
    if checks.reached_timeout(observed, outcome):
        return True
    if checks.was_cut_by_stop(observed, outcome):
        return True
    period = outcome.started_at, outcome.ended_at
    return any(
        observed.overlaps_fault(
            *period, BREAKING_FAULTS, execution.endpoint.partition('-')[0]
        )
        for execution in executions
    )
