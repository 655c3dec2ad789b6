"""Measures the rule for harmful requests against two baselines.

``python -m benchmarks.crashes --seed N`` sends innocent and harmful streams
through two daemons to stand-in engines over loopback. Each caller of a
harmful request sends it several times, through either daemon. The daemons
exchange fingerprints every 50 ms. The baselines keep no fingerprints, or
count crashes without probation.
"""

import argparse
import collections
import dataclasses
import random

import curio

from celeryward.endpoints import fingerprints
from celeryward.endpoints import recovery
from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs
from celeryward.standins import engine
from celeryward.standins import fleet

ENGINES = 6
DAEMONS = 2
INNOCENT_CALLERS = 16
INNOCENT_REQUESTS = 40
HARMFUL_REQUESTS = 4
HARMFUL_SENDS = 5
RESTART_SECONDS = 0.3
GOSSIP_SECONDS = 0.05
PAUSE_SECONDS = 0.05
POPULAR_PROMPTS = 5
HARMFUL = 'harmful'


class NoFingerprints(fingerprints.SuspectRequests):
    """Baseline: remembers nothing."""

    def record_crash(self, endpoint, fingerprint):
        """Ignore a crash."""


class CountOnly(recovery.Recovery):
    """Baseline: refuses after two crashes, without any probation."""

    def isolation(self, attempt):
        """Refuse harmful requests and isolate nothing."""
        if self.suspects.has_evidence():
            self.check_harmful(attempt)
        return recovery.NO_ISOLATION

    def check_harmful(self, attempt):
        """Refuse at the second crash, without waiting for peers."""
        errors.unwrap(self.suspects.check(attempt.fingerprint))
        return False


RULES = {
    'no fingerprints': (NoFingerprints, recovery.Recovery),
    'count only': (fingerprints.SuspectRequests, CountOnly),
    'probation': (fingerprints.SuspectRequests, recovery.Recovery),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one rule."""

    crashes: int
    worst: int
    innocent: collections.Counter


class Run:
    """One rule on one seed."""

    def __init__(self, rule, seed):
        self.engines = [self.make_engine() for _ in range(ENGINES)]
        self.fleets = [self.make_fleet(rule) for _ in range(DAEMONS)]
        self.source = random.Random(seed)
        self.innocent = collections.Counter()
        self.crashes_by_request = collections.Counter()

    def make_engine(self):
        """Return an engine that harmful prompts crash."""
        made = engine.EngineStandIn((fleet.VERSION.name,), token_seconds=0.004)
        made.crash_on = HARMFUL
        made.restart_seconds = RESTART_SECONDS
        return made

    def make_fleet(self, rule):
        """Return one daemon with a rule."""
        suspects, kind = RULES[rule]
        made = fleet.Fleet(self.engines)
        made.recovery = made.dispatcher.recovery = kind(
            made.view,
            made.pool,
            made.prober,
            suspects(),
            made.recovery.metrics,
        )
        # The budget is measured elsewhere and would hide the difference.
        made.recovery.budget.tokens = retries.MAX_TOKENS
        return made

    async def send(self, text):
        """Send one request through a random daemon; return its result."""
        chosen = self.source.choice(self.fleets)
        try:
            await chosen.stream(chosen.make_attempt(text))
        except errors.CelerywardError as error:
            return error.code
        return 'answered'

    async def send_innocent(self, caller):
        """Send the requests of one innocent caller."""
        for number in range(INNOCENT_REQUESTS):
            await curio.sleep(self.source.expovariate(1 / PAUSE_SECONDS))
            text = f'question {caller} {number}'
            if self.source.random() < 0.2:
                text = f'popular {self.source.randrange(POPULAR_PROMPTS)}'
            self.innocent[await self.send(text)] += 1

    async def send_harmful(self, number):
        """Send one harmful request several times."""
        await curio.sleep(0.4 * (number + 1))
        for _ in range(HARMFUL_SENDS):
            await self.send(f'{HARMFUL} {number}')
            await curio.sleep(PAUSE_SECONDS)

    async def gossip(self):
        """Exchange fingerprints between the daemons."""
        while True:
            await curio.sleep(GOSSIP_SECONDS)
            for one in self.fleets:
                exported = one.recovery.suspects.export()
                for other in self.fleets:
                    other.recovery.suspects.merge(exported)

    async def run(self):
        """Return the :class:`Outcome`."""
        await self.fleets[0].start()
        for each in self.fleets:
            each.current_catalog = self.fleets[0].current_catalog
        background = [await curio.spawn(self.gossip, daemon=True)]
        for each in self.fleets:
            background.append(await curio.spawn(each.prober.run, daemon=True))
        tasks = []
        for caller in range(INNOCENT_CALLERS):
            tasks.append(await curio.spawn(self.send_innocent, caller))
        for number in range(HARMFUL_REQUESTS):
            tasks.append(await curio.spawn(self.send_harmful, number))
        for task in tasks:
            await task.join()
        for task in background:
            await task.cancel()
        await curio.sleep(2 * RESTART_SECONDS)
        for each in self.fleets:
            await each.pool.close()
        for each in self.engines:
            await each.stop()
        by_prompt = sum(
            (each.crash_counts for each in self.engines), collections.Counter()
        )
        worst = max(by_prompt.values())
        return Outcome(sum(by_prompt.values()), worst, self.innocent)


def main():
    """Print one line for each rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    logs.configure('CRITICAL', 'text')
    print(
        f'{HARMFUL_REQUESTS} harmful requests, sent {HARMFUL_SENDS} times '
        f'each, {INNOCENT_CALLERS * INNOCENT_REQUESTS} innocent ones'
    )
    print('seed rule             crashes  worst  innocent results')
    for seed in range(options.seed, options.seed + options.seeds):
        for rule in RULES:
            outcome = curio.run(Run(rule, seed).run)
            print(
                f'{seed:4} {rule:16} {outcome.crashes:7} {outcome.worst:6}  '
                f'{dict(outcome.innocent)}'
            )


if __name__ == '__main__':
    main()
