"""Measures departures of endpoints and the retry budget.

``python -m benchmarks.membership --seed N`` runs streams on stand-in
engines over loopback, with the default intervals. In two cases an engine
leaves, announced by its load report or by the platform's list of hosts; the
baseline ignores both. In the third case all engines refuse all work; the
baseline has no retry budget.
"""

import argparse
import dataclasses
import random
import time

import curio

from celeryward import deadlines
from celeryward.endpoints import liveness
from celeryward.endpoints import recovery
from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs
from celeryward.objects import client
from celeryward.objects import hosts
from celeryward.objects import protocol
from celeryward import settings
from celeryward.standins import engine
from celeryward.standins import fleet
from celeryward.standins import platform

ENGINES = 4
CALLERS = 12
DEPARTURE_SECONDS = 2.0
RUN_SECONDS = 8.0
REFUSED_REQUESTS = 100
PAUSE_SECONDS = 0.1
PLATFORM_SECONDS = 1.0


class NoDepartures(liveness.Liveness):
    """Baseline: knows only failures."""

    def is_leaving(self, name):
        """Ignore announcements and the host list."""
        return False


class Unlimited(retries.RetryBudget):
    """Baseline: allows every retry."""

    def try_take(self):
        """Allow a retry."""
        return True


class Recorder(recovery.Recovery):
    """Records the times of dispatches to the engine that leaves."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.times = []
        self.dispatches = 0

    def record_dispatch(self, attempt, isolation):
        """Record a dispatch."""
        super().record_dispatch(attempt, isolation)
        self.dispatches += 1
        if attempt.candidate.endpoint.name == 'engine-0':
            self.times.append(time.monotonic())


class Run:
    """One fleet with callers."""

    def __init__(self, seed, live=None, token_seconds=0.05):
        self.source = random.Random(seed)
        self.engines = [
            engine.EngineStandIn(
                (fleet.VERSION.name,), token_seconds=token_seconds
            )
            for _ in range(ENGINES)
        ]
        self.fleet = fleet.Fleet(self.engines, timings=settings.Timings())
        view = self.fleet.view
        if live is not None:
            view = dataclasses.replace(view, liveness=live)
            self.fleet.view = self.fleet.dispatcher.view = view
            self.fleet.prober.liveness = live
        self.recorder = Recorder(
            view,
            self.fleet.pool,
            self.fleet.prober,
            self.fleet.recovery.suspects,
            self.fleet.recovery.metrics,
        )
        self.fleet.recovery = self.fleet.dispatcher.recovery = self.recorder
        self.failed = 0

    async def call(self, requests=None, until=None):
        """Send the requests of one caller."""
        sent = 0
        while sent != requests and (until is None or not until.expired()):
            sent += 1
            await curio.sleep(self.source.expovariate(1 / PAUSE_SECONDS))
            try:
                await self.fleet.stream(
                    self.fleet.make_attempt(f'question {sent}')
                )
            except errors.CelerywardError:
                self.failed += 1

    async def measure_departure(self, listed):
        """Print how long a leaving engine gets new work."""
        await self.fleet.start()
        stand_in = platform.PlatformStandIn()
        await stand_in.start()
        watcher = hosts.HostWatcher(
            client.ObjectClient(
                settings.Address(port=stand_in.port), PLATFORM_SECONDS, 'm'
            ),
            self.fleet,
            self.fleet.view.liveness,
        )
        background = [
            await curio.spawn(self.fleet.prober.run, daemon=True),
            await curio.spawn(watcher.run, daemon=True),
        ]
        end = deadlines.Deadline.after(RUN_SECONDS)
        tasks = [
            await curio.spawn(self.call, None, end) for _ in range(CALLERS)
        ]
        await curio.sleep(DEPARTURE_SECONDS + self.source.random())
        leaving_at = time.monotonic()
        if listed:
            address = self.fleet.current_catalog.endpoints['engine-0'].address
            stand_in.hosts = (protocol.Host('h', address, 'leaving'),)
        else:
            self.engines[0].leaving = True
        for task in tasks:
            await task.join()
        for task in background:
            await task.cancel()
        await stand_in.stop()
        await self.fleet.stop()
        late = [at - leaving_at for at in self.recorder.times]
        after = sum(1 for seconds in late if seconds > 3.0)
        return f'{max(late):6.2f} {after:9} {self.failed:7}'

    async def measure_budget(self, budget):
        """Print the load that retries add while engines refuse."""
        await self.fleet.start()
        for each in self.engines:
            each.refusing = True
        self.recorder.budget = budget
        tasks = [
            await curio.spawn(self.call, REFUSED_REQUESTS)
            for _ in range(CALLERS)
        ]
        for task in tasks:
            await task.join()
        await self.fleet.stop()
        first = CALLERS * REFUSED_REQUESTS
        added = self.recorder.dispatches - first
        return f'{first:6} {added:8} {added / first:7.1%} {self.failed:8}'


def main():
    """Print one line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    logs.configure('CRITICAL', 'text')
    print('departure     rule          last s  after 3 s  failed')
    for listed in (False, True):
        for rule in (NoDepartures, liveness.Liveness):
            figures = curio.run(Run(seed, rule()).measure_departure, listed)
            case = 'listed' if listed else 'announced'
            print(f'{case:13} {rule.__name__:13} {figures}')
    print('retries       first  repeats   added   failed')
    for budget in (Unlimited, retries.RetryBudget):
        run = Run(seed, token_seconds=0.0)
        figures = curio.run(run.measure_budget, budget())
        print(f'{budget.__name__:12} {figures}')


if __name__ == '__main__':
    main()
