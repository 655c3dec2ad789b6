"""Keyed calls that are repeated at other hosts; part of the benchmark."""

import dataclasses
import itertools
import random

import curio

from benchmarks import fakes
from celeryward.callers import idempotency
from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward import errors
from celeryward.objects import claim_store

CALLS = 3_000
HOSTS = 6
ATTEMPTS = 4
LOST_ANSWERS = 1 / 3
OUTAGE_CALLS = range(1_000, 1_300)
# Faults of one attempt between its claim and its stored outcome.
FAULTS = ('none', 'refused', 'lost', 'killed', 'killed after', 'paused')
WEIGHTS = (50, 10, 15, 8, 8, 9)


class Killed(BaseException):
    """The daemon ends inside an attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the caller learned from one attempt.

    :param int number: number of the attempt.
    :param Execution execution: None if no answer arrived.
    :param bool earlier_unknown: whether the reply says that earlier
        attempts could not be checked.
    """

    number: int
    execution: errors.Execution | None
    earlier_unknown: bool


class Responder:
    """Takes the answer of an attempt."""

    started = False

    async def send_response(self, status, headers, body):
        """Take a whole answer."""


class Caller:
    """One logical call: its attempts, executions and replies."""

    def __init__(self, number, source, chosen):
        self.number = number
        self.random = source
        self.chosen = chosen
        self.attempts = itertools.count()
        self.executed = []
        self.replies = []
        self.woken = []
        self.paused = []

    def call(self):
        """Return the call that each attempt sends."""
        return calls.Call(
            f'call-{self.number}',
            catalog.Customer('shop'),
            deadlines.NEVER,
            None,
            idempotency_key=f'key-{self.number}' if self.chosen else '',
            digest='digest',
        )

    async def serve(self, number, fault, responder):
        """Run the call at the stand-in service, with a fault."""
        if fault == 'killed':
            raise Killed
        if fault == 'refused':
            raise errors.Overloaded('full', step='serve', peer='service')
        if fault == 'paused':
            woken = curio.Event()
            self.woken.append(woken)
            await woken.wait()
        self.executed.append(number)
        if fault == 'killed after':
            raise Killed
        if fault == 'lost':
            raise errors.OutcomeUnknown('lost', step='serve', peer='service')
        await responder.send_response(200, {}, b'{}')

    async def attempt(self, runner, fault):
        """Make one attempt and record the reply."""

        number = next(self.attempts)

        async def serve(responder):
            await self.serve(number, fault, responder)

        execution, earlier_unknown = errors.Execution.RAN, False
        try:
            await runner.run(self.call(), serve, Responder())
        except errors.CelerywardError as error:
            execution = error.execution
            earlier_unknown = hasattr(error, 'earlier_execution')
        except Killed:
            execution = None
        self.replies.append(Reply(number, execution, earlier_unknown))

    async def ask(self, runners):
        """Repeat the call at random hosts until it is answered."""
        for _ in range(ATTEMPTS):
            (fault,) = self.random.choices(FAULTS, WEIGHTS)
            runner = self.random.choice(runners)
            if fault == 'paused':
                waiting = len(self.woken)
                task = await curio.spawn(self.attempt, runner, fault)
                while len(self.woken) == waiting and not task.terminated:
                    await curio.sleep(0)
                self.paused.append(task)
                continue
            await self.attempt(runner, fault)
            if self.replies[-1].execution is errors.Execution.RAN:
                break
        for woken in self.woken:
            await woken.set()
        for task in self.paused:
            await task.join()

    def duplicates(self):
        """Return the executions after the first one."""
        return max(0, len(self.executed) - 1)

    def wrong_refusals(self):
        """Count the refusals whose "not run" is or becomes untrue."""
        return sum(map(self.is_wrong, self.replies))

    def is_wrong(self, reply):
        """Return whether "not run" is untrue, also by a later execution.

        It covers the attempt itself, and the earlier attempts unless the
        reply calls them unknown.
        """
        if reply.execution is not errors.Execution.NOT_RUN:
            return False
        if reply.earlier_unknown:
            return reply.number in self.executed
        return any(number <= reply.number for number in self.executed)


class PlainRunner:
    """Baseline: runs each attempt; an error is answered as not run."""

    async def run(self, call, serve, responder):
        """Run one attempt without a claim."""
        try:
            await serve(responder)
        except errors.CelerywardError as error:
            raise errors.NotRun(
                'failed', step=error.step, peer=error.peer
            ) from error


def build_runners(platform, source):
    """Return the runners of all hosts on one platform."""
    platform.lose_answer = lambda: source.random() < LOST_ANSWERS
    ids = map(str, itertools.count())
    stores = [
        claim_store.ClaimStore(platform, lambda: 0.0) for _ in range(HOSTS)
    ]
    return [
        idempotency.IdempotentRunner(store, lambda: next(ids), lambda: 0.0)
        for store in stores
    ]


async def run_calls(runners, platform, seed, chosen):
    """Make all calls; return the callers."""
    source = random.Random(seed)
    callers = []
    for number in range(CALLS):
        platform.unavailable = number in OUTAGE_CALLS
        caller = Caller(number, source, chosen)
        await caller.ask(runners)
        callers.append(caller)
        for runner in runners if chosen else ():
            runner.store.retry_at = deadlines.Deadline.after(0.0)
            await runner.store.store_pending_outcomes()
    return callers


async def measure(seed):
    """Print the results of keyed calls; return the misses."""
    platform = fakes.FakePlatform()
    runners = build_runners(platform, random.Random(seed + 1))
    chosen = await run_calls(runners, platform, seed, chosen=True)
    plain = await run_calls(
        [PlainRunner()], fakes.FakePlatform(), seed, chosen=False
    )
    print(
        f'  {CALLS} keyed calls, up to {ATTEMPTS} attempts at {HOSTS} hosts, '
        f'platform calls per 1,000 keyed calls '
        f'{1000 * platform.calls / CALLS:.0f}'
    )
    misses = 0
    for name, callers in (('chosen', chosen), ('baseline', plain)):
        duplicates = sum(caller.duplicates() for caller in callers)
        wrong = sum(caller.wrong_refusals() for caller in callers)
        ran = sum(1 for caller in callers if caller.executed)
        print(
            f'  {name:9} duplicate executions {duplicates}, '
            f'wrong "not run" {wrong}, calls that ran {ran}'
        )
        if name == 'chosen':
            misses += duplicates + wrong
    return misses
