"""Guarantees of the router, checked against the observations of a run.

Each check yields (request id, text) for each violation; the id may be empty.
"""

import collections

from benchmarks.soak import callers
from benchmarks.soak import lateness
from celeryward import registry
from tests import platform_processes as processes
from tests import platform_standins as standins

CHECKS = registry.Registry('check')
OK = 200
MAX_REVOCATION_SECONDS = 5.0
# From the store's answer to the write with which an endpoint leaves, until
# the last request may reach that endpoint.
MAX_LEAVING_SECONDS = 2.0
EVENTS_PER_ANSWER = 6
# A planned stop may end what was sent so long after its signal, if an endpoint
# is still at work in its last sixth.
MAX_BEGIN_IN_STOP_SECONDS = 3.0
# What the platform allows of requests with a part that crashes endpoints.
CRASHES_TO_REFUSE = 5
CONTACT_SECONDS = 3.0
MAX_LATE_HARMFUL = 3
# The platform ends a process above it.
MAX_ROUTER_BYTES = 300 * 1024 * 1024
MIN_WORK_IN_STOP_SECONDS = processes.STOP_SECONDS * 5 / 6
# Faults of a router or of its connection to the store: a router may then not
# know yet that an endpoint has left, and still send it requests, up to
# FAULT_EFFECT_SECONDS after the fault.
ROUTER_VIEW_FAULTS = ('store-', 'router-')
# Faults of the store itself: a departure during one, or within
# FAULT_EFFECT_SECONDS after it, is not checked.
STORE_FAULTS = ('store-away', 'store-busy', 'store-history-lost')
FAULT_EFFECT_SECONDS = 3.0
# Faults, other than a planned stop, that interrupt answers.
INTERRUPTING_FAULTS = ('endpoint-', 'router-kill', 'router-pause')
INTERRUPTED_ROUTER = ('router-kill', 'router-pause')
# Faults of an endpoint or its link. A silence after which it goes on, and an
# announced departure, are none.
INTERRUPTED_ENDPOINT = (
    'endpoint-answers-held',
    'endpoint-crash',
    'endpoint-delayed',
    'endpoint-requests-held',
    'endpoint-reset',
    'endpoint-silent',
    'endpoint-stop',
)
# A request that was written this long before its connection ended, and that
# reached no endpoint, has crossed the router's idle close.
CROSSING_SECONDS = 0.2
# A router may end a request this long before its timeout.
TIMEOUT_SLACK_SECONDS = 0.1
# Versions that were written this long before a request may still be in force.
MAX_CONFIGURATION_AGE_SECONDS = 10.0


def find_violations(observed):
    """Yield (check, request id, text) for all violations."""
    for name in sorted(CHECKS.entries):
        for request_id, text in CHECKS.get(name)(observed):
            yield name, request_id, text


def executions_by_request(observed):
    """Return the executions grouped by request id."""
    found = collections.defaultdict(list)
    for execution in observed.executions:
        found[execution.request_id].append(execution)
    return found


@CHECKS.register('unknown-keys')
def check_unknown_keys(observed):
    """No request with a key that was never issued is run."""
    by_request = executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.key != callers.UNKNOWN_KEY:
            continue
        if outcome.status == OK or outcome.request_id in by_request:
            yield outcome.request_id, 'ran with an unknown key'


@CHECKS.register('revoked-keys')
def check_revoked_keys(observed):
    """No request that starts too long after its key was revoked is run."""
    by_request = executions_by_request(observed)
    for outcome in observed.outcomes:
        revoked_at = observed.revoked_at.get(outcome.key)
        if revoked_at is None:
            continue
        delay = outcome.started_at - revoked_at
        if delay <= MAX_REVOCATION_SECONDS:
            continue
        if outcome.status == OK or outcome.request_id in by_request:
            yield (
                outcome.request_id,
                f'ran {delay:.2f} s after its key was revoked',
            )


@CHECKS.register('known-keys')
def check_known_keys(observed):
    """A key that is always valid never gets 401, 403 or 404."""
    for outcome in observed.outcomes:
        if outcome.key == standins.KEY and outcome.status in (401, 403, 404):
            yield outcome.request_id, f'rejected with {outcome.status}'


@CHECKS.register('at-most-once')
def check_at_most_once(observed):
    """A non-idempotent request is executed at most once."""
    kinds = {each.request_id: each.kind for each in observed.outcomes}
    for request_id, executions in executions_by_request(observed).items():
        if kinds.get(request_id) == 'once' and len(executions) > 1:
            yield request_id, f'ran {len(executions)} times'


@CHECKS.register('true-refusals')
def check_refusals(observed):
    """A request that is reported as not run has reached no endpoint."""
    by_request = executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.not_run and outcome.request_id in by_request:
            yield outcome.request_id, 'ran, but was reported as not run'


@CHECKS.register('whole-answers')
def check_answers(observed):
    """A complete answer has each byte exactly once and in order."""
    for outcome in observed.outcomes:
        if not (outcome.whole and outcome.status == OK):
            continue
        if outcome.kind in ('stream', 'rigid'):
            expected = standins.events(EVENTS_PER_ANSWER)
        else:
            expected = b'whole answer'
        if outcome.body != expected:
            yield outcome.request_id, f'answer is {outcome.body!r:.80}'


@CHECKS.register('leaving-endpoints')
def check_leaving(observed):
    """An endpoint that leaves gets no new requests after the bound."""
    for execution in observed.executions:
        left_at = observed.left_at.get(execution.endpoint)
        if left_at is None or not execution.undisturbed:
            continue
        delay = execution.at - left_at
        if delay <= MAX_LEAVING_SECONDS:
            continue
        if observed.overlaps_fault(
            left_at - FAULT_EFFECT_SECONDS, left_at, STORE_FAULTS
        ):
            continue
        if observed.overlaps_fault(
            execution.at - FAULT_EFFECT_SECONDS,
            execution.at,
            ROUTER_VIEW_FAULTS,
        ):
            continue
        yield execution.request_id, f'sent {delay:.2f} s after it left'


@CHECKS.register('answered')
def check_answered(observed):
    """A request that was written whole gets a whole answer or a refusal."""
    reached = executions_by_request(observed)
    for outcome in observed.outcomes:
        if outcome.whole or outcome.written_at is None or outcome.left_early:
            continue
        executions = reached.get(outcome.request_id, ())
        if crossed_close(outcome, executions):
            continue
        if was_interrupted(observed, outcome, executions):
            continue
        if reached_timeout(observed, outcome):
            continue
        if was_cut_by_stop(observed, outcome):
            continue
        seconds = outcome.ended_at - outcome.started_at
        yield (
            outcome.request_id,
            f'not answered after {seconds:.2f} s: {outcome.error}',
        )


@CHECKS.register('quiet-endpoints')
def check_quiet_endpoints(observed):
    """No run is given up at a sound endpoint unless another one answers."""
    reached = executions_by_request(observed)
    outcomes = {each.request_id: each for each in observed.outcomes}
    for abandoned in observed.abandoned:
        outcome = outcomes.get(abandoned.request_id)
        if outcome is None or outcome.left_early:
            continue
        if outcome.whole and outcome.status == OK:
            continue
        given_up_at = abandoned.at
        if observed.strict:
            # An endpoint that stands still notices later.
            given_up_at = min(given_up_at, outcome.ended_at)
        seconds = given_up_at - outcome.started_at
        if seconds > shortest_timeout(observed, outcome):
            continue
        executions = reached.get(outcome.request_id, ())
        if was_interrupted(observed, outcome, executions):
            continue
        if was_cut_by_stop(observed, outcome):
            continue
        # Another run went on, and the timeout ended that.
        if outcome.body and reached_timeout(observed, outcome):
            continue
        # The endpoints are tasks of the harness and were silent for longer.
        if observed.overlaps_fault(
            outcome.started_at, abandoned.at, (lateness.FAULT_NAME,)
        ):
            continue
        yield (
            outcome.request_id,
            f'given up at {abandoned.endpoint} after {seconds:.2f} s',
        )


def crossed_close(outcome, executions):
    """Return whether a request crossed the close of its idle connection."""
    delay = outcome.ended_at - outcome.written_at
    return outcome.reused and not executions and delay <= CROSSING_SECONDS


def was_interrupted(observed, outcome, executions):
    """Return whether a fault broke off a request at router or endpoint."""
    if outcome.request_id in observed.broken_off:
        return True
    period = outcome.started_at, outcome.ended_at
    if observed.overlaps_fault(*period, INTERRUPTED_ROUTER, outcome.router):
        return True
    return any(
        observed.overlaps_fault(
            *period, INTERRUPTED_ENDPOINT, execution.endpoint.partition('-')[0]
        )
        for execution in executions
    )


def was_cut_by_stop(observed, outcome):
    """Return whether a planned stop may have ended a request.

    Its endpoint has to be at work on it in the last sixth of the stop. A
    request that must not be repeated has to begin before the stop.
    """
    repeatable = outcome.kind in ('whole', 'stream')
    late_seconds = MAX_BEGIN_IN_STOP_SECONDS if repeatable else 0.0
    abandoned = {each.request_id for each in observed.abandoned}
    return outcome.request_id in abandoned and any(
        stop.router == outcome.router
        and outcome.started_at <= stop.ordered_at + late_seconds
        and outcome.ended_at >= stop.ordered_at + MIN_WORK_IN_STOP_SECONDS
        for stop in observed.stops
    )


def reached_timeout(observed, outcome):
    """Return whether a request lasted as long as its route allows."""
    return outcome.ended_at - outcome.started_at >= shortest_timeout(
        observed, outcome
    )


def shortest_timeout(observed, outcome):
    """Return the seconds after which a router may end a request."""
    oldest = outcome.started_at - MAX_CONFIGURATION_AGE_SECONDS
    in_force = [
        each.seconds
        for each in observed.timeouts
        if oldest < each.at < outcome.ended_at
    ]
    earlier = [each for each in observed.timeouts if each.at <= oldest]
    in_force += [each.seconds for each in earlier[-1:]]
    return min(in_force + [outcome.deadline_seconds]) - TIMEOUT_SLACK_SECONDS


@CHECKS.register('versions')
def check_versions(observed):
    """The configuration version of a process never decreases."""
    newest = {}
    for sample in observed.versions:
        if sample.version < newest.get(sample.process, 0):
            yield (
                '',
                f'{sample.process} went back from version '
                f'{newest[sample.process]} to {sample.version}',
            )
        newest[sample.process] = sample.version


@CHECKS.register('planned-stops')
def check_stops(observed):
    """A planned stop exits in time and interrupts no forwarded request."""
    by_request = executions_by_request(observed)
    for stop in observed.stops:
        if stop.exit_status != 0:
            yield '', f'{stop.router} stopped with {stop.exit_status}'
        for outcome in observed.outcomes:
            if (
                outcome.router == stop.router
                and outcome.started_at < stop.ended_at
                and stop.ordered_at < outcome.ended_at
                and outcome.error.startswith('Disconnected')
                and outcome.request_id in by_request
                and outcome.request_id not in observed.broken_off
                and not was_cut_by_stop(observed, outcome)
                and not observed.overlaps_fault(
                    outcome.started_at, outcome.ended_at, INTERRUPTING_FAULTS
                )
            ):
                yield outcome.request_id, 'interrupted by a planned stop'


@CHECKS.register('harmful-parts')
def check_harmful_parts(observed):
    """Requests with a part that crashes endpoints are refused in time.

    Those of routers that were stopped, killed, paused or without the store in
    the 3 s before don't count.
    """
    for part in sorted({crash.part for crash in observed.crashes}):
        times = sorted(
            crash.at for crash in observed.crashes if crash.part == part
        )
        if len(times) < CRASHES_TO_REFUSE:
            continue
        border = times[CRASHES_TO_REFUSE - 1] + CONTACT_SECONDS
        late = [
            arrival
            for arrival in observed.harmful
            if arrival.part == part
            and arrival.at > border
            and not observed.overlaps_fault(
                arrival.at - CONTACT_SECONDS,
                arrival.at,
                ('router-', 'stop', 'store-'),
            )
        ]
        if len(late) > MAX_LATE_HARMFUL:
            yield late[-1].request_id, f'{len(late)} of {part} came late'


@CHECKS.register('memory')
def check_memory(observed):
    """Answers without end don't fill the memory of a router."""
    for router, size in observed.memory.items():
        if size > MAX_ROUTER_BYTES:
            yield '', f'{router} has used {size >> 20} MB'


@CHECKS.register('recovery')
def check_recovery(observed):
    """After the faults have ended, each request is answered in full."""
    for outcome in observed.recovery:
        if not (outcome.whole and outcome.status == OK):
            yield (
                outcome.request_id,
                f'status {outcome.status} after recovery: {outcome.error}',
            )
