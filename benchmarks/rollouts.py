"""Requests exposed to bad versions, and false halts of good ones.

The timed roll-out has the same shares, 10 minutes for each, and looks at
the end of each stage whether a mean is worse by a fixed degree.
"""

import argparse
import dataclasses
import random
import statistics

from celeryward import catalog
from celeryward.raters import rollouts

REQUESTS_PER_SECOND = 100
CHECK_SECONDS = 5
STAGE_SECONDS = 600
STAGE_SHARES = (*rollouts.STAGE_SHARES, 1.0)
# A roll-out that is not finished after a day counts as stuck.
LONGEST_SECONDS = 86_400
MAX_RATING_LOSS = 0.1
MAX_ERROR_EXCESS = 0.05
MAX_SLOWDOWN = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """How a version behaves.

    :param float rating: mean score.
    :param float slowness: factor on the time for each token.
    """

    rating: float = 0.88
    errors: float = 0.005
    slowness: float = 1.0

    def draw(self, chance):
        """Return the values of all signals for one request."""
        failed = chance.random() < self.errors
        score = min(1.0, max(0.0, chance.gauss(self.rating, 0.1)))
        latency = self.slowness * chance.lognormvariate(-3.9, 0.3)
        return {'error': failed, 'rating': score, 'latency': latency}


GOOD = Version()
BAD = {
    'rating 0.05 lower': Version(rating=0.83),
    'rating 0.20 lower': Version(rating=0.68),
    'errors 10 points more': Version(errors=0.105),
    'errors all': Version(errors=1.0),
    'latency 1.3 times': Version(slowness=1.3),
    'latency 2 times': Version(slowness=2.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """How a roll-out ended.

    :param int exposed: requests that the new version served until then.
    """

    halted: bool
    finished: bool
    exposed: int
    seconds: float


def run_sequential(chance, version):
    """Roll a version out by the decisions under test."""
    rollout = catalog.Rollout('r', 'm', '1', '2', rollouts.STAGE_SHARES[0])
    status = rollouts.Status(epoch=1, to_version='2')
    comparisons = rollouts.Comparisons()
    comparisons.begin_epoch('r', status.epoch)
    exposed = 0
    seconds = 0.0
    while seconds < LONGEST_SECONDS:
        batch = round(REQUESTS_PER_SECOND * CHECK_SECONDS * rollout.share)
        seconds += CHECK_SECONDS
        exposed += batch
        for _ in range(batch):
            for is_new, source in ((False, GOOD), (True, version)):
                for name, value in source.draw(chance).items():
                    comparisons.observe('r', name, 'chat', is_new, value)
        decision = rollouts.decide(rollout, status, comparisons.counts['r'])
        if decision.action is rollouts.Action.HALT:
            return Outcome(True, False, exposed, seconds)
        if decision.action is rollouts.Action.FINISH:
            return Outcome(False, True, exposed, seconds)
        if decision.action is rollouts.Action.ADVANCE:
            rollout = dataclasses.replace(rollout, share=decision.share)
            status = dataclasses.replace(status, epoch=status.epoch + 1)
            comparisons.begin_epoch('r', status.epoch)
    return Outcome(False, False, exposed, seconds)


def run_timed(chance, version):
    """Roll a version out by the clock, with fixed limits."""
    exposed = 0
    for number, share in enumerate(STAGE_SHARES, 1):
        count = round(REQUESTS_PER_SECOND * STAGE_SECONDS * share)
        exposed += count
        seconds = number * STAGE_SECONDS
        sampled = min(count, 1000)
        new = [version.draw(chance) for _ in range(sampled)]
        old = [GOOD.draw(chance) for _ in range(sampled)]
        if exceeds_limits(new, old):
            return Outcome(True, False, exposed, seconds)
    return Outcome(False, True, exposed, seconds)


def exceeds_limits(new, old):
    """Return whether a mean is worse than its fixed limit."""

    def mean(drawn, name):
        return statistics.fmean(one[name] for one in drawn)

    return (
        mean(new, 'rating') < mean(old, 'rating') - MAX_RATING_LOSS
        or mean(new, 'error') > mean(old, 'error') + MAX_ERROR_EXCESS
        or mean(new, 'latency') > mean(old, 'latency') * MAX_SLOWDOWN
    )


def report(seed, title, version, count):
    """Print one line for each method to roll a version out."""
    methods = {'timed': run_timed, 'sequential': run_sequential}
    for name, method in methods.items():
        chance = random.Random(f'{seed} {title} {name}')
        ended = [method(chance, version) for _ in range(count)]
        halted = sum(one.halted for one in ended)
        finished = sum(one.finished for one in ended)
        exposed = sorted(one.exposed for one in ended)
        seconds = statistics.median(one.seconds for one in ended)
        print(
            f'seed {seed} {title} {name}: halted {halted}/{count}'
            f' finished {finished}/{count}'
            f' exposed mean {statistics.fmean(exposed):.0f}'
            f' p95 {exposed[int(0.95 * count)]}'
            f' median seconds {seconds:.0f}',
            flush=True,
        )


def main():
    """Run good and bad versions for one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--good', type=int, default=1000)
    parser.add_argument('--bad', type=int, default=200)
    asked = parser.parse_args()
    report(asked.seed, 'good version', GOOD, asked.good)
    for title, version in BAD.items():
        report(asked.seed, title, version, asked.bad)


if __name__ == '__main__':
    main()
