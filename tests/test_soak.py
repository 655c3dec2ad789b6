"""Plan and checks of the soak test, and a short run of real processes."""

import dataclasses
import random
import subprocess
import time

import curio
import pytest

from benchmarks import retrying_callers
from benchmarks.soak import callers
from benchmarks.soak import checks
from benchmarks.soak import completion_checks
from benchmarks.soak import fleet
from benchmarks.soak import lateness
from benchmarks.soak import observations
from benchmarks.soak import plans
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


UNANSWERED = outcome(
    whole=False, error='Disconnected: closed', written_at=10.0, reused=True
)
# None of these is a reason to leave a request unanswered.
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


LATE_SECONDS = lateness.MIN_LATE_SECONDS + 0.2
ON_TIME_SECONDS = 0.3
VIOLATIONS = {
    'unknown-keys': observed([outcome(key=callers.UNKNOWN_KEY)]),
    'revoked-keys': observed([outcome(key='k')], revoked_at={'k': 4.9}),
    'known-keys': observed([outcome(status=401)], []),
    'at-most-once': observed([outcome(kind='once')], [EXECUTION, EXECUTION]),
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
        late.faults = [observations.FaultSpan(9.0, 9.5, 'endpoint-reset')]
        assert list(checks.find_violations(late))
        late.faults = [observations.FaultSpan(9.0, 9.5, 'store-away')]
        assert not list(checks.find_violations(late))

    def test_stop_that_had_to_be_killed_is_found(self):
        found = observed(
            stops=[observations.Stop('router-0', 9.0, 18.0, None)]
        )
        assert [each[0] for each in checks.find_violations(found)] == [
            'planned-stops'
        ]


class TestAnswered:
    """Guards against faults that excuse more or less than they cause."""

    def find(self, *faults, unanswered=UNANSWERED, **more):
        found = observed([unanswered], faults=faults, **more)
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
        unread = observed([UNANSWERED], [])
        assert list(checks.find_violations(unread)) == []
        first = dataclasses.replace(UNANSWERED, reused=False)
        assert list(checks.find_violations(observed([first], [])))
        late = dataclasses.replace(UNANSWERED, ended_at=11.0)
        assert list(checks.find_violations(observed([late], [])))

    def test_caller_that_left_is_excused(self):
        left = dataclasses.replace(UNANSWERED, left_early=True)
        assert self.find(unanswered=left) == []
        unwritten = dataclasses.replace(UNANSWERED, written_at=None)
        assert self.find(unanswered=unwritten) == []

    def test_late_harness_excuses_only_runs_that_were_given_up(self):
        given_up = VIOLATIONS['quiet-endpoints']
        late = observations.FaultSpan(9.5, 10.05, lateness.FAULT_NAME)
        excused = observed(
            given_up.outcomes,
            abandoned=given_up.abandoned,
            timeouts=given_up.timeouts,
            faults=[late],
        )
        assert list(checks.find_violations(excused)) == []
        assert self.find(late) == ['answered']

    def test_odd_entries_excuse_no_late_requests(self):
        late = observed(left_at={'e1': 7.0})
        late.faults = [observations.FaultSpan(6.0, 11.0, 'odd-entry')]
        found = list(checks.find_violations(late))
        assert [each[0] for each in found] == ['leaving-endpoints']


class TestContracts:
    """Guards against checks of endpoints' notices that see too little."""

    def test_departure_is_judged_after_its_bound(self):
        assert not list(checks.find_violations(told_to_leave(12.0)))
        assert list(checks.find_violations(told_to_leave(12.2)))

    def test_two_requests_are_allowed_in_a_pause(self):
        allowed = told_to_pause(10.4, 10.6, 12.9, 13.1)
        assert not list(checks.find_violations(allowed))

    @pytest.mark.parametrize('told', [told_to_leave, told_to_pause])
    def test_other_router_has_not_been_told(self, told):
        found = told(12.2, 12.3, 12.4, router='router-1')
        assert not list(checks.find_violations(found))

    @pytest.mark.parametrize('told', [told_to_leave, told_to_pause])
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
        found = told_to_leave(12.2)
        found.outcomes[0] = outcome(whole=False)
        assert not list(checks.find_violations(found))
        found = told_to_pause(12.2, 12.3, 12.4, undisturbed=False)
        assert not list(checks.find_violations(found))


class TestStops:
    """Guards against checks of planned stops that excuse too much."""

    def find(self, found):
        return [each[0] for each in checks.find_violations(found)]

    @pytest.mark.parametrize('kind', completion_checks.MUST_NOT_RUN_TWICE)
    def test_request_whose_outcome_is_unknown_is_found(self, kind):
        assert self.find(in_stop(late_request(kind=kind))) == ['late-in-stops']

    def test_repeatable_request_may_fail(self):
        assert self.find(in_stop(late_request(kind='whole'))) == []

    def test_true_refusal_is_no_violation(self):
        refused = late_request(status=503, not_run=True)
        assert self.find(in_stop(refused, executions=())) == []
        found = self.find(in_stop(refused))
        assert found == ['late-in-stops', 'true-refusals']

    def test_request_before_the_stop_is_not_late(self):
        assert self.find(in_stop(late_request(), ordered_at=10.01)) == []

    def test_reset_on_the_way_excuses_only_what_did_not_arrive(self):
        reset = observations.FaultSpan(10.0, 10.05, 'endpoint-reset', 'e2')
        lost = late_request()
        assert self.find(in_stop(lost, executions=(), faults=[reset])) == []
        assert self.find(in_stop(lost, executions=())) == ['late-in-stops']
        found = self.find(in_stop(lost, faults=[reset]))
        assert found == ['late-in-stops']

    def test_deadline_excuses_only_when_it_is_reached(self):
        reached = late_request(deadline_seconds=0.1)
        assert self.find(in_stop(reached)) == []
        early = late_request(deadline_seconds=4.0)
        assert self.find(in_stop(early)) == ['late-in-stops']

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
            UNANSWERED, kind=kind, started_at=began_at, ended_at=16.5
        )
        execution = dataclasses.replace(EXECUTION, at=began_at)
        found = in_stop(
            lost,
            executions=[execution],
            abandoned=[observations.Abandonment('r1', 'e1', 16.5)],
        )
        assert excused is not ('answered' in self.find(found))

    def test_work_that_was_given_up_in_the_middle_is_found(self):
        lost = dataclasses.replace(UNANSWERED, kind='stream', ended_at=13.0)
        found = in_stop(
            lost, abandoned=[observations.Abandonment('r1', 'e1', 13.0)]
        )
        assert 'answered' in self.find(found)

    def test_pause_of_another_fault_excuses_a_late_end(self):
        late = VIOLATIONS['stops-in-time'].stops
        pause = observations.FaultSpan(9.0, 12.0, 'router-pause', 'router-0')
        assert self.find(observed(stops=late, faults=[pause])) == []
        other = dataclasses.replace(pause, target='router-1')
        found = self.find(observed(stops=late, faults=[other]))
        assert found == ['stops-in-time']


class TestExits:
    """Guards against ends of processes that are seen late or never."""

    def start(self, seconds):
        return subprocess.Popen(['sleep', str(seconds)])

    def test_end_is_seen_while_it_is_waited_for(self):
        process = self.start(0.2)
        began = observations.now()
        ended_at = fleet.wait_for_exit(process.pid, 5.0)
        assert 0.1 < ended_at - began < 2.0
        assert process.poll() == 0

    def test_process_that_has_ended_is_not_waited_for(self):
        process = self.start(0)
        process.wait()
        began = observations.now()
        assert fleet.wait_for_exit(process.pid, 5.0) - began < 1.0

    def test_process_that_goes_on_is_waited_for_no_longer_than_allowed(self):
        process = self.start(30)
        began = observations.now()
        assert fleet.wait_for_exit(process.pid, 0.2) - began >= 0.2
        assert process.poll() is None
        process.kill()
        process.wait()


class TestRetries:
    """Guards against callers that retry what may have run."""

    @pytest.mark.parametrize(
        'status,error,result',
        [
            (200, '', 'whole'),
            (200, 'Disconnected', 'cut'),
            (429, '', 'refused'),
            (503, 'Disconnected', 'refused'),
            (404, '', 'rejected'),
            (502, '', 'cut'),
            (0, 'Disconnected', 'cut'),
        ],
    )
    def test_result_follows_from_the_answer(self, status, error, result):
        fields = {'status': status} | ({'error': error} if error else {})
        caller = retrying_callers.Caller(None, 1, 1, ())
        assert caller.judge(fields, 'r1', 5.0) == result

    @pytest.mark.parametrize('kind', retrying_callers.KINDS)
    def test_only_what_may_run_twice_is_retried_without_a_promise(self, kind):
        def retried(result):
            attempt = retrying_callers.Attempt('r1', 'a', 1.0, 2.0, result)
            return retrying_callers.may_retry(kind, attempt)

        assert retried('refused') and retried('crossed')
        assert retried('cut') is kind.repeatable
        assert not retried('whole') and not retried('rejected')


class TestLateness:
    """Guards against recovery that is judged while the store stands still."""

    def test_harness_that_was_late_is_waited_for(self):
        began = observations.now()
        curio.run(self.wait_beside_late_tasks)
        assert observations.now() - began > LATE_SECONDS + ON_TIME_SECONDS

    async def wait_beside_late_tasks(self):
        await curio.spawn(self.run_late, daemon=True)
        await lateness.wait_until_on_time(ON_TIME_SECONDS, 5.0)

    async def run_late(self):
        await curio.sleep(ON_TIME_SECONDS / 2)
        time.sleep(LATE_SECONDS)

    def test_late_tasks_are_recorded(self):
        found = observed()
        began = observations.now()
        curio.run(self.watch_late_tasks, found)
        assert lateness.was_late(found, began)
        assert lateness.longest_seconds(found) >= LATE_SECONDS

    async def watch_late_tasks(self, found):
        await curio.spawn(lateness.watch, found, daemon=True)
        await self.run_late()
        await curio.sleep(ON_TIME_SECONDS)


class TestPlan:
    """Guards against plans that differ between runs of the same seed."""

    @pytest.mark.parametrize('version', plans.PLANS.entries)
    def test_seed_decides_the_plan(self, version):
        made = [
            plans.make_plan(random.Random(seed), 20.0, 1.0, version)
            for seed in (7, 7, 8)
        ]
        assert made[0] == made[1] != made[2]
        assert len(made[0]) >= 20

    def test_fifty_seeds_include_every_fault(self):
        names = {
            event.fault
            for seed in range(50)
            for event in plans.make_plan(random.Random(seed), 15.0, 1.0)
        }
        assert names == set(plans.FAULTS.entries)

    def test_first_plan_has_one_fault_a_second(self):
        plan = plans.make_plan(random.Random(7), 20.0, 1.0, version=1)
        assert len(plan) == 20

    def test_known_seeds_keep_the_plans_that_failed(self):
        plan = plans.make_plan(random.Random(303), 15.0, 1.0, version=1)
        assert [each.fault for each in plan[:3]] == [
            'endpoint-reset',
            'router-kill',
            'store-history-lost',
        ]
        assert {each.fault for each in plan} <= set(plans.FIRST_FAULTS)


class TestRun:
    """Guards against guarantees that routers violate under faults."""

    def test_short_run_has_no_violations(self, tmp_path):
        size = soak.Size(seconds=4.0, routers=3, callers=4, plan=1)
        found, violations = curio.run(soak.run, 5, size, tmp_path)
        assert violations == []
        assert len(found.executions) > 50

    def test_short_run_of_newer_faults_has_no_violations(self, tmp_path):
        size = soak.Size(seconds=3.0, rate=2.0, routers=3, callers=4, plan=2)
        found, violations = curio.run(soak.run, 8564, size, tmp_path)
        assert violations == []
        assert len(found.executions) > 50
