"""Observations of the soak that its tests vary."""

import dataclasses

from benchmarks.soak import callers
from benchmarks.soak import observations
from tests import platform_standins as standins

GOOD_OUTCOME = observations.Outcome(
    'r1', 'whole', 'router-0', standins.KEY, 10.0, 10.1, 200, whole=True
)
GOOD_OUTCOME = dataclasses.replace(GOOD_OUTCOME, body=b'whole answer')
EXECUTION = observations.Execution('r1', 'e1', 10.05, True)


def outcome(**fields):
    return dataclasses.replace(GOOD_OUTCOME, **fields)


def observed(outcomes=(GOOD_OUTCOME,), executions=(EXECUTION,), **more):
    return observations.Observations(outcomes, executions, **more)


UNANSWERED = outcome(
    whole=False, error='Disconnected: closed', written_at=10.0, reused=True
)
# None of these is a reason to leave a request unanswered.


def later_requests(*times, router='router-0'):
    """Return requests that reach the endpoint at some times."""
    outcomes = [GOOD_OUTCOME]
    executions = [EXECUTION]
    for number, at in enumerate(times):
        name = f'later-{number}'
        outcomes.append(
            outcome(request_id=name, started_at=at, ended_at=at, router=router)
        )
        executions.append(observations.Execution(name, 'e1', at, True))
    return outcomes, executions


def told_to_leave(*times, **more):
    """Return observations of an endpoint that said at 10.1 that it leaves."""
    announced = [observations.Announcement('r1', 'e1')]
    return observed(*later_requests(*times, **more), announced=announced)


def told_to_pause(*times, undisturbed=True, **more):
    """Return observations of an endpoint that asked for a pause of 3 s."""
    refusal = observations.Refusal('r1', 'e1', 10.0, 13.0, undisturbed)
    return observed(*later_requests(*times, **more), turned_away=[refusal])


def late_request(**fields):
    """Return a request of 10.0 that a router got after its stop began."""
    lost = {'kind': 'once', 'status': 502, 'written_at': 10.0} | fields
    return outcome(**lost)


def in_stop(*outcomes, executions=(EXECUTION,), ordered_at=9.0, **more):
    """Return observations of a stop of router-0."""
    stop = observations.Stop('router-0', ordered_at, ordered_at + 7.8, 0)
    return observed(outcomes, executions, stops=[stop], **more)


# For each check, observations that it alone finds a violation in.
VIOLATIONS = {
    'unknown-keys': observed([outcome(key=callers.UNKNOWN_KEY)]),
    'revoked-keys': observed([outcome(key='k')], revoked_at={'k': 4.9}),
    'known-keys': observed([outcome(status=401)], []),
    'at-most-once': observed(
        [outcome(kind='once')],
        [EXECUTION, EXECUTION],
    ),
    'true-refusals': observed([outcome(status=503, not_run=True)]),
    'whole-answers': observed([outcome(body=b'whole ans')]),
    'leaving-endpoints': observed(left_at={'e1': 7.0}),
    'answered': observed([UNANSWERED]),
    'quiet-endpoints': observed(
        [outcome(status=504)],
        abandoned=[observations.Abandonment('r1', 'e1', 10.09)],
        timeouts=[observations.Timeout(0.0, 2.0)],
    ),
    'announced-departures': told_to_leave(12.2),
    'pauses': told_to_pause(10.6, 11.0, 12.9),
    'versions': observed(
        versions=[
            observations.Version('router-0-1', 4),
            observations.Version('router-0-1', 3),
        ]
    ),
    'planned-stops': observed(
        [outcome(whole=False, error='Disconnected: closed')],
        stops=[observations.Stop('router-0', 9.0, 11.0, 0)],
    ),
    'recovery': observed(recovery=[outcome(status=503)]),
    'late-in-stops': in_stop(late_request()),
    'stops-in-time': observed(
        stops=[observations.Stop('router-0', 9.0, 17.2, 0)]
    ),
    'kept-answers': observed([outcome(status=500)], small_answers=['r1']),
    'harmful-parts': observed(
        crashes=[observations.PartCrash('p', 10.0 + n) for n in range(5)],
        harmful=[
            observations.HarmfulArrival('p', f'h{n}', 17.1) for n in range(4)
        ],
    ),
    'one-end': observed(
        [outcome(whole=False, status=0, written_at=10.0)],
        faults=[observations.FaultSpan(9.0, 11.0, 'endpoint-silent', 'e1')],
        strict=True,
    ),
    'memory': observed(memory={'router-0': 301 * 1024 * 1024}),
}
