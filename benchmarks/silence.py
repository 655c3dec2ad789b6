"""Measures the rule for silent connections against two baselines.

``python -m benchmarks.silence --seed N`` sends streams to two stand-in
engines over loopback. Several times, every open connection goes silent at
once, as after the loss of a connection table, while new connections work.
The baselines retry elsewhere without a probe; one of them also marks the
endpoint as failed. Progress deadlines are 0.25 s instead of 10 s.
"""

import argparse
import dataclasses
import random
import time

import curio

from celeryward.endpoints import recovery
from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs
from celeryward.standins import engine
from celeryward.standins import fleet

ENGINES = 2
CALLERS = 12
REQUESTS = 80
SILENCES = 4
PAUSE_SECONDS = 0.03


class RetryOnly(recovery.Recovery):
    """Baseline: retries elsewhere and changes nothing else."""

    async def diagnose(self, attempt, error):
        """Leave the pool and the endpoint as they are."""


class MarkFailed(recovery.Recovery):
    """Baseline: takes a silent connection for a failed endpoint."""

    async def diagnose(self, attempt, error):
        """Mark the endpoint without a probe."""
        name = attempt.candidate.endpoint.name
        self.view.liveness.mark_suspected(name, fleet.TIMINGS.probe_interval)


RULES = {
    'retry only': RetryOnly,
    'mark failed': MarkFailed,
    'probe and replace': recovery.Recovery,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one rule."""

    seconds: tuple[float, ...]
    silent_dispatches: int
    failed: int
    suspected: int


class Run:
    """One rule on one seed."""

    def __init__(self, rule, seed):
        engines = [
            engine.EngineStandIn((fleet.VERSION.name,), token_seconds=0.002)
            for _ in range(ENGINES)
        ]
        self.fleet = fleet.Fleet(engines, timings=fleet.SILENCE_TIMINGS)
        made = RULES[rule](
            self.fleet.view,
            self.fleet.pool,
            self.fleet.prober,
            self.fleet.recovery.suspects,
            self.fleet.recovery.metrics,
        )
        # The budget is measured elsewhere and would hide the difference.
        made.budget.tokens = retries.MAX_TOKENS
        self.fleet.recovery = self.fleet.dispatcher.recovery = made
        self.source = random.Random(seed)
        self.seconds = []
        self.failed = 0
        self.suspected = 0

    async def call(self):
        """Send the requests of one caller."""
        for _ in range(REQUESTS):
            await curio.sleep(self.source.expovariate(1 / PAUSE_SECONDS))
            started = time.monotonic()
            attempt = self.fleet.make_attempt('question')
            try:
                await self.fleet.stream(attempt)
                self.seconds.append(time.monotonic() - started)
            except errors.CelerywardError:
                self.failed += 1
            live = self.fleet.view.liveness
            self.suspected += sum(
                not live.is_live(name)
                for name in self.fleet.current_catalog.endpoints
            )

    async def silence(self):
        """Silence all open connections several times."""
        for _ in range(SILENCES):
            await curio.sleep(1.0)
            for each in self.fleet.engines:
                each.silence_connections()

    async def run(self):
        """Return the :class:`Outcome`."""
        await self.fleet.start()
        probing = await curio.spawn(self.fleet.prober.run, daemon=True)
        tasks = [await curio.spawn(self.call) for _ in range(CALLERS)]
        silencing = await curio.spawn(self.silence, daemon=True)
        for task in tasks:
            await task.join()
        await silencing.cancel()
        await probing.cancel()
        await self.fleet.stop()
        silent = self.fleet.recovery.metrics.registry.get_sample_value(
            'celeryward_retries_total', {'cause': 'connection_silent'}
        )
        return Outcome(
            tuple(self.seconds),
            int(silent or 0),
            self.failed,
            self.suspected,
        )


def main():
    """Print one line for each rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    logs.configure('CRITICAL', 'text')
    print(f'seed {options.seed}, {CALLERS * REQUESTS} streams')
    print(
        'rule                silent retries  failed  suspected  p99 s  max s'
    )
    for rule in RULES:
        outcome = curio.run(Run(rule, options.seed).run)
        ordered = sorted(outcome.seconds)
        tail = ordered[int(0.99 * len(ordered))]
        print(
            f'{rule:20} {outcome.silent_dispatches:13} {outcome.failed:7} '
            f'{outcome.suspected:10} {tail:6.2f} {ordered[-1]:6.2f}'
        )


if __name__ == '__main__':
    main()
