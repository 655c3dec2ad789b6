"""Runs one seed: start a fleet, inject faults under load, check."""

import collections
import dataclasses
import random

import curio

from benchmarks.soak import answer_faults
from benchmarks.soak import callers
from benchmarks.soak import checks
from benchmarks.soak import completion_checks
from benchmarks.soak import configuration_faults
from benchmarks.soak import contract_checks
from benchmarks.soak import contract_faults
from benchmarks.soak import end_checks
from benchmarks.soak import faults
from benchmarks.soak import fleet as fleets
from benchmarks.soak import harmful_faults
from benchmarks.soak import lateness
from benchmarks.soak import model_faults
from benchmarks.soak import observations
from benchmarks.soak import odd_entry_faults
from benchmarks.soak import pause_faults
from benchmarks.soak import plans
from benchmarks.soak import stop_faults
from celeryward import deadlines
from tests import platform_standins as standins

# Modules that register the faults of the plans, and the checks.
FAULT_MODULES = (
    answer_faults,
    configuration_faults,
    contract_faults,
    faults,
    harmful_faults,
    model_faults,
    odd_entry_faults,
    pause_faults,
    stop_faults,
)
CHECK_MODULES = (checks, completion_checks, contract_checks, end_checks)
RECOVERY_SECONDS = 15.0
# Longest wait for a harness that is late.
MAX_LATE_SECONDS = 60.0
RECOVERY_REQUESTS = 5
# Retries made just before the faults end still count against the retry
# budget; the recovery requests wait until they no longer do.
SETTLE_SECONDS = 2.0
SHOWN_LINES = 12
SHOWN_BY_CHECK = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Duration, fault rate and numbers of processes of a run.

    :param float seconds: period in which faults start.
    :param float rate: faults per second.
    :param int plan: version of the plan.
    """

    seconds: float = 15.0
    rate: float = 1.0
    routers: int = 4
    endpoints: int = 8
    callers: int = 8
    plan: int = plans.LATEST_PLAN


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee of the router that did not hold.

    :param str check: name of the check that failed.
    :param tuple lines: last log lines of the request.
    """

    check: str
    request_id: str
    text: str
    lines: tuple[str, ...]


async def run(seed, size, directory):
    """Run one seed; return the observations and the violations."""
    plan = plans.make_plan(
        random.Random(seed), size.seconds, size.rate, size.plan
    )
    fleet = make_fleet(seed, size, directory)
    try:
        await fleet.start()
        await execute_plan(fleet, plan, seed, size)
    finally:
        await fleet.stop()
    return fleet.observed, [
        Violation(
            name, request_id, text, tuple(last_log_lines(fleet, request_id))
        )
        for name, request_id, text in checks.find_violations(fleet.observed)
    ]


def make_fleet(seed, size, directory):
    """Return a fleet; half of its endpoints are processes in newer plans."""
    strict = size.plan >= plans.FIRST_STRICT_PLAN
    fleet = fleets.Fleet(
        seed,
        directory,
        size.routers,
        size.endpoints,
        size.endpoints // 2 if strict else 0,
    )
    fleet.observed.strict = strict
    return fleet


async def execute_plan(fleet, plan, seed, size):
    """Inject the planned faults under load, then test the recovery."""
    watchers = [
        await curio.spawn(fleet.poll_versions, daemon=True),
        await curio.spawn(lateness.watch, fleet.observed, daemon=True),
    ]
    caller_tasks = [
        await curio.spawn(callers.Caller(fleet, seed, number).run, daemon=True)
        for number in range(size.callers)
    ]
    started = observations.now()
    async with curio.TaskGroup() as injected:
        for event in plan:
            wait = started + event.at - observations.now()
            await curio.sleep(max(0.0, wait))
            await injected.spawn(plans.inject, fleet, event)
    unready = await wait_until_recovered(fleet)
    await lateness.wait_until_on_time(SETTLE_SECONDS, MAX_LATE_SECONDS)
    for task in caller_tasks:
        await task.cancel()
    for router in unready:
        fleet.observed.recovery.append(not_ready_outcome(router))
    caller = callers.Caller(fleet, seed, 'recovery')
    fleet.observed.recovery += await send_recovery_requests(fleet, caller)
    await caller.close()
    for task in watchers:
        await task.cancel()


async def wait_until_recovered(fleet):
    """Wait until all routers are ready; return those that are not.

    The time to recover begins again if the harness, and so the store, was
    late meanwhile: a router then rightly refuses requests.
    """
    limit = deadlines.Deadline.after(MAX_LATE_SECONDS)
    while True:
        began = observations.now()
        unready = await fleet.wait_until_ready(RECOVERY_SECONDS)
        was_late = lateness.was_late(fleet.observed, began)
        if not unready or not was_late or limit.expired():
            return unready


async def send_recovery_requests(fleet, caller):
    """Send requests of each kind after all faults; return the outcomes.

    They are sent again, all of them, if the harness was late meanwhile.
    """
    limit = deadlines.Deadline.after(MAX_LATE_SECONDS)
    while True:
        began = observations.now()
        outcomes = [
            await caller.send(kind, standins.KEY)
            for kind in callers.KINDS
            for _ in range(RECOVERY_REQUESTS)
        ]
        # A task that was late records it only once it has run again.
        await lateness.wait_until_on_time(0.0, MAX_LATE_SECONDS)
        if limit.expired() or not lateness.was_late(fleet.observed, began):
            return [each for each in outcomes if each is not None]


def not_ready_outcome(router):
    """Return a failed outcome for a router that is not ready."""
    at = observations.now()
    return observations.Outcome(
        '', 'ready', router.name, '', at, at, error='router is not ready'
    )


def last_log_lines(fleet, request_id):
    """Return the last log lines of a request."""
    return (
        fleet.find_log_lines(request_id)[-SHOWN_LINES:] if request_id else []
    )


def summarize(observed):
    """Return the numbers of requests, executions and faults as text.

    A run whose harness was late by seconds tests less than its plan says.
    """
    whole = sum(
        each.whole and each.status == checks.OK for each in observed.outcomes
    )
    return (
        f'{len(observed.outcomes)} requests, {whole} whole,'
        f' {len(observed.executions)} executions,'
        f' {len(observed.faults)} faults,'
        f' harness up to {lateness.longest_seconds(observed):.1f} s late'
    )


def print_report(seed, size, directory, observed, violations):
    """Print the violations of a run and the command that repeats it."""
    command = (
        f'python -m benchmarks.soak --seed={seed} --seconds={size.seconds} '
        f'--rate={size.rate} --routers={size.routers} '
        f'--endpoints={size.endpoints} --callers={size.callers} '
        f'--plan={size.plan}'
    )
    if not violations:
        print(f'seed {seed}: no violation; {summarize(observed)}')
        return
    print(f'seed {seed}: {len(violations)} violations; {summarize(observed)}')
    print(f'  logs in {directory}')
    print(f'  {command}')
    found = collections.Counter(each.check for each in violations)
    print(f'  {dict(found)}')
    for check in found:
        same = [each for each in violations if each.check == check]
        for violation in same[:SHOWN_BY_CHECK]:
            print(f'  {check}: {violation.request_id} {violation.text}')
            for line in violation.lines:
                print(f'    {line}')
