"""Plan and checks of the soak test, and a short run of real processes."""

import dataclasses
import random

import curio
import pytest

from benchmarks.soak import callers
from benchmarks.soak import checks
from benchmarks.soak import faults
from benchmarks.soak import observations
from benchmarks.soak import soak
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


VIOLATIONS = {
    'unknown-keys': observed([outcome(key=callers.UNKNOWN_KEY)]),
    'revoked-keys': observed([outcome(key='k')], revoked_at={'k': 4.9}),
    'known-keys': observed([outcome(status=401)], []),
    'at-most-once': observed([outcome(kind='once')], [EXECUTION, EXECUTION]),
    'true-refusals': observed([outcome(status=503, not_run=True)]),
    'whole-answers': observed([outcome(body=b'whole ans')]),
    'leaving-endpoints': observed(left_at={'e1': 7.0}),
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
}


class TestChecks:
    """Guards against checks that accept every run."""

    @pytest.mark.parametrize('name', VIOLATIONS)
    def test_each_check_finds_its_violation(self, name):
        found = list(checks.find_violations(VIOLATIONS[name]))
        assert [each[0] for each in found] == [name]

    def test_every_check_has_a_violation(self):
        assert set(VIOLATIONS) == set(checks.CHECKS.entries)

    def test_good_requests_are_no_violation(self):
        assert list(checks.find_violations(observed())) == []

    def test_stream_with_a_duplicate_event_is_found(self):
        duplicated = standins.event(1) + standins.events(
            checks.EVENTS_PER_ANSWER
        )
        found = observed([outcome(kind='stream', body=duplicated)])
        assert [each[0] for each in checks.find_violations(found)] == [
            'whole-answers'
        ]

    def test_faults_excuse_only_what_they_cause(self):
        late = observed(left_at={'e1': 7.0})
        late.faults = [(9.0, 9.5, 'endpoint-reset')]
        assert list(checks.find_violations(late))
        late.faults = [(9.0, 9.5, 'store-away')]
        assert not list(checks.find_violations(late))

    def test_stop_that_had_to_be_killed_is_found(self):
        found = observed(
            stops=[observations.Stop('router-0', 9.0, 18.0, None)]
        )
        assert [each[0] for each in checks.find_violations(found)] == [
            'planned-stops'
        ]


class TestPlan:
    """Guards against plans that differ between runs of the same seed."""

    def test_seed_decides_the_plan(self):
        plans = [
            faults.make_plan(random.Random(seed), 20.0, 1.0)
            for seed in (7, 7, 8)
        ]
        assert plans[0] == plans[1] != plans[2]
        assert len(plans[0]) == 20

    def test_fifty_seeds_include_every_fault(self):
        names = {
            event.fault
            for seed in range(50)
            for event in faults.make_plan(random.Random(seed), 15.0, 1.0)
        }
        assert names == set(faults.FAULTS.entries)


class TestRun:
    """Guards against guarantees that routers violate under faults."""

    def test_short_run_has_no_violations(self, tmp_path):
        size = soak.Size(seconds=4.0, routers=3, callers=4)
        found, violations = curio.run(soak.run, 5, size, tmp_path)
        assert violations == []
        assert len(found.executions) > 50
