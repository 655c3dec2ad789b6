"""What the soak takes for the end of a whole request, and what not."""

import dataclasses

import pytest

from benchmarks.soak import checks
from benchmarks.soak import end_checks
from benchmarks.soak import observations
from benchmarks.soak import soak
from tests import soak_observations as examples

# The checks are registered when their modules are imported.
CHECK_MODULES = soak.CHECK_MODULES
SILENT = (
    'endpoint-answers-held',
    'endpoint-delayed',
    'endpoint-process-paused',
    'endpoint-quiet',
    'endpoint-requests-held',
    'endpoint-silent',
)
PLANNED = (
    'changes-beside-router-pause',
    'changes-in-series',
    'configuration-timeouts',
    'endpoint-leave',
    'router-reload',
    'router-stop',
    'store-away',
    observations.SUSPENSION,
)
UNANSWERED = dataclasses.replace(examples.UNANSWERED, status=0, reused=False)
CUT = dataclasses.replace(UNANSWERED, status=200)


class TestEnds:
    """Guards against requests that end in none or two of the ways."""

    def find(self, *outcomes, **more):
        found = examples.observed(outcomes, strict=True, **more)
        return [each[0] for each in end_checks.check_ends(found)]

    @pytest.mark.parametrize(
        'fields,executions,ends',
        [
            ({}, 1, ['whole answer']),
            ({'status': 503, 'not_run': True}, 0, ['true refusal']),
            ({'status': 503, 'not_run': True}, 1, []),
            ({'status': 502}, 1, ['stated failure']),
            ({'status': 504}, 0, ['stated failure']),
            ({'whole': False, 'left_early': True}, 1, ['caller gone']),
            ({'whole': False}, 1, []),
            ({'whole': False, 'status': 503, 'not_run': True}, 0, []),
            ({'whole': False, 'status': 0}, 0, []),
        ],
    )
    def test_answer_decides_the_end(self, fields, executions, ends):
        outcome = examples.outcome(written_at=10.0, **fields)
        runs = [examples.EXECUTION] * executions
        assert end_checks.ends_of(outcome, runs) == ends
        assert bool(self.find(outcome, executions=runs)) is not bool(ends)

    def test_only_strict_runs_are_judged(self):
        assert self.find(UNANSWERED) == ['r1']
        lenient = examples.observed([UNANSWERED])
        assert not list(end_checks.check_ends(lenient))

    def test_request_that_was_not_written_whole_is_not_judged(self):
        unwritten = dataclasses.replace(UNANSWERED, written_at=None)
        assert not self.find(unwritten)


class TestExcuses:
    """Guards against faults that excuse a request without an answer."""

    def find(self, outcome, *faults, **more):
        spans = [
            observations.FaultSpan(9.0, 20.0, name, target)
            for name, target in faults
        ]
        found = examples.observed([outcome], faults=spans, strict=True, **more)
        return [each[0] for each in end_checks.check_ends(found)]

    def test_pause_that_ended_a_second_before_excuses_nothing(self):
        for ended, names in ((13.1, []), (12.9, ['r1'])):
            patient = dataclasses.replace(
                UNANSWERED, deadline_seconds=3.0, ended_at=14.0
            )
            span = observations.FaultSpan(
                11.0, ended, 'router-pause', 'router-0'
            )
            found = examples.observed([patient], faults=[span], strict=True)
            violations = end_checks.check_ends(found)
            assert [each[0] for each in violations] == names

    def test_endpoint_that_is_silent_after_a_pause_excuses_its_requests(self):
        for endpoint, names in (('e1', []), ('e2', ['r1'])):
            patient = dataclasses.replace(
                UNANSWERED, deadline_seconds=3.0, ended_at=14.0
            )
            pause = observations.FaultSpan(
                9.0, 12.0, 'router-pause', 'router-0'
            )
            silence = observations.FaultSpan(
                11.0, 14.0, 'endpoint-requests-held', endpoint
            )
            found = examples.observed(
                [patient], faults=[pause, silence], strict=True
            )
            violations = end_checks.check_ends(found)
            assert [each[0] for each in violations] == names

    @pytest.mark.parametrize('name', SILENT + PLANNED)
    @pytest.mark.parametrize('outcome', [UNANSWERED, CUT])
    @pytest.mark.parametrize('target', ['e1', 'router-0', ''])
    def test_silence_and_planned_work_excuse_nothing(
        self, name, outcome, target
    ):
        assert self.find(outcome, (name, target)) == ['r1']

    @pytest.mark.parametrize('name', end_checks.BREAKING_FAULTS)
    def test_endpoint_that_ends_excuses_only_answers_that_have_begun(
        self, name
    ):
        assert self.find(CUT, (name, 'e1')) == []
        assert self.find(CUT, (name, 'e2')) == ['r1']
        assert self.find(UNANSWERED, (name, 'e1')) == ['r1']

    def test_killed_router_excuses_its_own_requests(self):
        assert self.find(UNANSWERED, ('router-kill', 'router-0')) == []
        assert self.find(UNANSWERED, ('router-kill', 'router-1')) == ['r1']

    def test_paused_router_excuses_only_callers_that_lost_patience(self):
        patient = dataclasses.replace(
            UNANSWERED, deadline_seconds=3.0, ended_at=14.0
        )
        paused = ('router-pause', 'router-0')
        assert self.find(patient, paused) == []
        assert self.find(patient) == ['r1']
        closed = dataclasses.replace(patient, ended_at=13.0)
        assert self.find(closed, paused) == ['r1']

    def test_timeout_excuses_only_answers_that_have_begun(self):
        timeouts = [observations.Timeout(0.0, 2.0)]
        for lost, found in ((CUT, []), (UNANSWERED, ['r1'])):
            late = dataclasses.replace(lost, ended_at=12.0)
            assert self.find(late, timeouts=timeouts) == found
            early = dataclasses.replace(lost, ended_at=11.0)
            assert self.find(early, timeouts=timeouts) == ['r1']

    def test_stop_excuses_only_answers_that_it_cuts_at_its_end(self):
        stops = [observations.Stop('router-0', 9.0, 17.0, 0)]
        abandoned = [observations.Abandonment('r1', 'e1', 16.8)]
        more = {'stops': stops, 'abandoned': abandoned}
        for lost, found in ((CUT, []), (UNANSWERED, ['r1'])):
            late = dataclasses.replace(lost, ended_at=16.8)
            assert self.find(late, **more) == found
            early = dataclasses.replace(lost, ended_at=11.0)
            assert self.find(early, **more) == ['r1']

    def test_failure_before_the_timeout_is_found_beside_a_late_endpoint(self):
        failed = examples.outcome(status=502, ended_at=11.0)
        given_up = examples.observed(
            [failed],
            abandoned=[observations.Abandonment('r1', 'e1', 12.5)],
            timeouts=[observations.Timeout(0.0, 2.0)],
            strict=True,
        )
        found = [each[0] for each in checks.find_violations(given_up)]
        assert found == ['quiet-endpoints']
