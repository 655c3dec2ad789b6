"""Plan and checks of the soak test, and a short run of real processes."""

import random
import signal
import subprocess
import sys
import time

import curio
import pytest

from benchmarks import retrying_callers
from benchmarks.soak import checks
from benchmarks.soak import fleet
from benchmarks.soak import lateness
from benchmarks.soak import observations
from benchmarks.soak import plans
from benchmarks.soak import soak
from tests import platform_standins as standins
from tests import soak_observations as examples

LATE_SECONDS = lateness.MIN_LATE_SECONDS + 0.2
ON_TIME_SECONDS = 0.3


class TestChecks:
    """Guards against checks that accept every run."""

    @pytest.mark.parametrize('name', examples.VIOLATIONS)
    def test_each_check_finds_its_violation(self, name):
        found = list(checks.find_violations(examples.VIOLATIONS[name]))
        assert [each[0] for each in found] == [name]

    def test_every_check_has_a_violation(self):
        assert set(examples.VIOLATIONS) == set(checks.CHECKS.entries)

    def test_good_requests_are_no_violation(self):
        assert list(checks.find_violations(examples.observed())) == []

    def test_stream_with_a_duplicate_event_is_found(self):
        duplicated = standins.event(1) + standins.events(
            checks.EVENTS_PER_ANSWER
        )
        found = examples.observed(
            [examples.outcome(kind='stream', body=duplicated)]
        )
        assert [each[0] for each in checks.find_violations(found)] == [
            'whole-answers'
        ]

    def test_faults_excuse_only_what_they_cause(self):
        late = examples.observed(left_at={'e1': 7.0})
        late.faults = [observations.FaultSpan(9.0, 9.5, 'endpoint-reset')]
        assert list(checks.find_violations(late))
        late.faults = [observations.FaultSpan(9.0, 9.5, 'store-away')]
        assert not list(checks.find_violations(late))

    def test_stop_that_had_to_be_killed_is_found(self):
        found = examples.observed(
            stops=[observations.Stop('router-0', 9.0, 18.0, None)]
        )
        assert [each[0] for each in checks.find_violations(found)] == [
            'planned-stops'
        ]


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


class TestStarts:
    """Guards against signals that end the interpreter of a router."""

    def start(self, program):
        router = fleet.RouterProcess('router-0', '127.0.0.1', 'a')
        router.popen = subprocess.Popen([sys.executable, '-c', program])
        return router

    @pytest.mark.parametrize(
        'handler', ['signal.SIG_IGN', 'lambda *_: sys.exit(0)']
    )
    def test_signal_is_sent_once_it_is_handled(self, handler):
        router = self.start(
            'import signal, sys, time; time.sleep(0.3);'
            f'signal.signal(signal.SIGTERM, {handler}); time.sleep(0.3)'
        )
        curio.run(router.signal_handled, signal.SIGTERM)
        assert router.popen.wait() == 0

    def test_process_that_ends_is_not_waited_for(self):
        router = self.start('')
        curio.run(router.signal_handled, signal.SIGTERM)
        assert router.popen.poll() == 0

    def test_router_that_stops_as_it_starts_ends_with_zero(self, tmp_path):
        found = fleet.Fleet(1, tmp_path, routers=1, endpoints=0)
        curio.run(self.start_and_stop, found)
        assert [stop.exit_status for stop in found.observed.stops] == [0] * 5

    async def start_and_stop(self, found):
        for _ in range(5):
            await found.routers[0].proxy.start()
            found.start_router(found.routers[0])
            await found.stop_router(found.routers[0])
            await found.routers[0].proxy.stop()


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
        found = examples.observed()
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
