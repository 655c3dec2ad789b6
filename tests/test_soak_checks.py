"""What the checks of the soak test excuse, and what they don't."""

import dataclasses

import pytest

from benchmarks.soak import checks
from benchmarks.soak import completion_checks
from benchmarks.soak import lateness
from benchmarks.soak import observations
from benchmarks.soak import soak
from tests import soak_observations as examples

# The checks are registered when their modules are imported.
CHECK_MODULES = soak.CHECK_MODULES
NO_EXCUSES = (
    'configuration-idle',
    'configuration-routes',
    'endpoint-leave',
    'endpoint-quiet',
    'odd-entry',
    'router-reload',
    'router-stop',
    'store-away',
)


class TestAnswered:
    """Guards against faults that excuse more or less than they cause."""

    def find(self, *faults, unanswered=examples.UNANSWERED, **more):
        found = examples.observed([unanswered], faults=faults, **more)
        return [each[0] for each in checks.find_violations(found)]

    @pytest.mark.parametrize('name', NO_EXCUSES)
    @pytest.mark.parametrize('target', ['e1', 'router-0', ''])
    def test_planned_work_and_silence_excuse_nothing(self, name, target):
        span = observations.FaultSpan(9.0, 11.0, name, target)
        assert self.find(span) == ['answered']

    @pytest.mark.parametrize(
        'name,target,other',
        [
            ('endpoint-reset', 'e1', 'e2'),
            ('endpoint-stop', 'e1', 'e2'),
            ('router-kill', 'router-0', 'router-1'),
            ('router-pause', 'router-0', 'router-1'),
        ],
    )
    def test_faults_excuse_only_their_target(self, name, target, other):
        span = observations.FaultSpan(10.0, 10.05, name, target)
        assert self.find(span) == []
        span = dataclasses.replace(span, target=other)
        assert self.find(span) == ['answered']

    def test_earlier_fault_excuses_nothing(self):
        span = observations.FaultSpan(8.0, 9.9, 'endpoint-reset', 'e1')
        assert self.find(span) == ['answered']

    def test_answer_that_the_endpoint_broke_off_is_excused(self):
        assert self.find(broken_off=['r1']) == []
        stop = observations.Stop('router-0', 9.0, 11.0, 0)
        assert self.find(stops=[stop]) == ['answered', 'planned-stops']
        assert self.find(stops=[stop], broken_off=['r1']) == []

    def test_timeout_excuses_only_as_long_as_it_is_in_force(self):
        long = [observations.Timeout(0.0, 2.0)]
        short = [observations.Timeout(9.0, 0.1)]
        assert self.find(timeouts=long) == ['answered']
        assert self.find(timeouts=long + short) == []
        outdated = [observations.Timeout(-20.0, 0.1)]
        assert self.find(timeouts=outdated + long) == ['answered']

    def test_crossed_close_is_excused_if_no_endpoint_was_reached(self):
        unread = examples.observed([examples.UNANSWERED], [])
        assert list(checks.find_violations(unread)) == []
        first = dataclasses.replace(examples.UNANSWERED, reused=False)
        assert list(checks.find_violations(examples.observed([first], [])))
        late = dataclasses.replace(examples.UNANSWERED, ended_at=11.0)
        assert list(checks.find_violations(examples.observed([late], [])))

    def test_caller_that_left_is_excused(self):
        left = dataclasses.replace(examples.UNANSWERED, left_early=True)
        assert self.find(unanswered=left) == []
        unwritten = dataclasses.replace(examples.UNANSWERED, written_at=None)
        assert self.find(unanswered=unwritten) == []

    def test_late_harness_excuses_only_runs_that_were_given_up(self):
        given_up = examples.VIOLATIONS['quiet-endpoints']
        late = observations.FaultSpan(9.5, 10.05, lateness.FAULT_NAME)
        excused = examples.observed(
            given_up.outcomes,
            abandoned=given_up.abandoned,
            timeouts=given_up.timeouts,
            faults=[late],
        )
        assert list(checks.find_violations(excused)) == []
        assert self.find(late) == ['answered']

    @pytest.mark.parametrize('body', [b'', b'whole'])
    @pytest.mark.parametrize('ended_at', [10.5, 12.0])
    def test_replaced_run_is_excused_if_the_timeout_ends_the_other(
        self, body, ended_at
    ):
        given_up = examples.VIOLATIONS['quiet-endpoints']
        partial = examples.outcome(
            kind='stream', whole=False, body=body, ended_at=ended_at
        )
        found = examples.observed(
            [partial],
            abandoned=given_up.abandoned,
            timeouts=given_up.timeouts,
        )
        names = [each[0] for each in checks.find_violations(found)]
        excused = bool(body) and ended_at == 12.0
        assert names == ([] if excused else ['quiet-endpoints'])

    def test_odd_entries_excuse_no_late_requests(self):
        late = examples.observed(left_at={'e1': 7.0})
        late.faults = [observations.FaultSpan(6.0, 11.0, 'odd-entry')]
        found = list(checks.find_violations(late))
        assert [each[0] for each in found] == ['leaving-endpoints']


class TestContracts:
    """Guards against checks of endpoints' notices that see too little."""

    def test_departure_is_judged_after_its_bound(self):
        assert not list(checks.find_violations(examples.told_to_leave(12.0)))
        assert list(checks.find_violations(examples.told_to_leave(12.2)))

    def test_two_requests_are_allowed_in_a_pause(self):
        allowed = examples.told_to_pause(10.4, 10.6, 12.9, 13.1)
        assert not list(checks.find_violations(allowed))

    @pytest.mark.parametrize(
        'told', [examples.told_to_leave, examples.told_to_pause]
    )
    def test_other_router_has_not_been_told(self, told):
        found = told(12.2, 12.3, 12.4, router='router-1')
        assert not list(checks.find_violations(found))

    @pytest.mark.parametrize(
        'told', [examples.told_to_leave, examples.told_to_pause]
    )
    @pytest.mark.parametrize(
        'name,target,excused',
        [
            ('router-kill', 'router-0', True),
            ('router-stop', 'router-0', True),
            ('router-stop', 'router-1', False),
            ('router-reload', 'router-0', False),
            ('store-away', '', False),
        ],
    )
    def test_only_a_restart_of_the_router_excuses(
        self, told, name, target, excused
    ):
        found = told(12.2, 12.3, 12.4)
        found.faults = [observations.FaultSpan(11.0, 11.5, name, target)]
        assert excused is not bool(list(checks.find_violations(found)))

    def test_answer_that_was_not_passed_on_tells_nothing(self):
        found = examples.told_to_leave(12.2)
        found.outcomes[0] = examples.outcome(whole=False)
        assert not list(checks.find_violations(found))
        found = examples.told_to_pause(12.2, 12.3, 12.4, undisturbed=False)
        assert not list(checks.find_violations(found))


class TestStops:
    """Guards against checks of planned stops that excuse too much."""

    def find(self, found):
        return [each[0] for each in checks.find_violations(found)]

    @pytest.mark.parametrize('kind', completion_checks.MUST_NOT_RUN_TWICE)
    def test_request_whose_outcome_is_unknown_is_found(self, kind):
        assert self.find(
            examples.in_stop(examples.late_request(kind=kind))
        ) == ['late-in-stops']

    def test_repeatable_request_may_fail(self):
        assert (
            self.find(examples.in_stop(examples.late_request(kind='whole')))
            == []
        )

    def test_true_refusal_is_no_violation(self):
        refused = examples.late_request(status=503, not_run=True)
        assert self.find(examples.in_stop(refused, executions=())) == []
        found = self.find(examples.in_stop(refused))
        assert found == ['late-in-stops', 'true-refusals']

    def test_request_before_the_stop_is_not_late(self):
        assert (
            self.find(
                examples.in_stop(examples.late_request(), ordered_at=10.01)
            )
            == []
        )

    def test_reset_on_the_way_excuses_only_what_did_not_arrive(self):
        reset = observations.FaultSpan(10.0, 10.05, 'endpoint-reset', 'e2')
        lost = examples.late_request()
        assert (
            self.find(examples.in_stop(lost, executions=(), faults=[reset]))
            == []
        )
        assert self.find(examples.in_stop(lost, executions=())) == [
            'late-in-stops'
        ]
        found = self.find(examples.in_stop(lost, faults=[reset]))
        assert found == ['late-in-stops']

    def test_deadline_excuses_only_when_it_is_reached(self):
        reached = examples.late_request(deadline_seconds=0.1)
        assert self.find(examples.in_stop(reached)) == []
        early = examples.late_request(deadline_seconds=4.0)
        assert self.find(examples.in_stop(early)) == ['late-in-stops']

    @pytest.mark.parametrize(
        'ended_at,target,until,names',
        [
            (13.7, 'router-0', 10.7, []),
            (14.3, 'router-0', 10.7, ['late-in-stops']),
            (13.55, 'router-0', 10.7, ['late-in-stops']),
            (11.2, 'router-0', 10.7, ['late-in-stops']),
            (13.7, 'router-1', 10.7, ['late-in-stops']),
            (13.7, 'router-0', 9.9, ['late-in-stops']),
        ],
    )
    def test_timeout_counts_from_the_end_of_a_suspension_that_met_the_request(
        self, ended_at, target, until, names
    ):
        late = examples.late_request(kind='rigid', ended_at=ended_at)
        span = observations.FaultSpan(
            9.5, until, observations.SUSPENSION, target
        )
        found = examples.in_stop(
            late, faults=[span], timeouts=[observations.Timeout(0.0, 3.0)]
        )
        assert self.find(found) == names

    def test_suspension_in_a_stop_excuses_neither_late_end_nor_lost_request(
        self,
    ):
        span = observations.FaultSpan(
            9.0, 12.0, observations.SUSPENSION, 'router-0'
        )
        for name in ('stops-in-time', 'answered', 'planned-stops'):
            found = examples.VIOLATIONS[name]
            suspended = examples.observed(
                found.outcomes,
                found.executions,
                stops=found.stops,
                faults=[span],
            )
            assert self.find(suspended) == [name]

    @pytest.mark.parametrize(
        'kind,began_at,excused',
        [
            ('stream', 9.5, True),
            ('stream', 12.5, False),
            ('rigid', 8.5, True),
            ('rigid', 9.5, False),
        ],
    )
    def test_work_at_the_end_of_a_stop_excuses_what_began_early(
        self, kind, began_at, excused
    ):
        lost = dataclasses.replace(
            examples.UNANSWERED, kind=kind, started_at=began_at, ended_at=16.5
        )
        execution = dataclasses.replace(examples.EXECUTION, at=began_at)
        found = examples.in_stop(
            lost,
            executions=[execution],
            abandoned=[observations.Abandonment('r1', 'e1', 16.5)],
        )
        assert excused is not ('answered' in self.find(found))

    def test_work_that_was_given_up_in_the_middle_is_found(self):
        lost = dataclasses.replace(
            examples.UNANSWERED, kind='stream', ended_at=13.0
        )
        found = examples.in_stop(
            lost, abandoned=[observations.Abandonment('r1', 'e1', 13.0)]
        )
        assert 'answered' in self.find(found)

    def test_pause_of_another_fault_excuses_a_late_end(self):
        late = examples.VIOLATIONS['stops-in-time'].stops
        pause = observations.FaultSpan(9.0, 12.0, 'router-pause', 'router-0')
        assert self.find(examples.observed(stops=late, faults=[pause])) == []
        other = dataclasses.replace(pause, target='router-1')
        found = self.find(examples.observed(stops=late, faults=[other]))
        assert found == ['stops-in-time']
