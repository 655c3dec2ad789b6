"""Goodput of a whole daemon over HTTP at and above an engine's capacity.

A daemon and an engine whose slots slow each other down run in this process.
Requests arrive at random times; one counts if its answer is whole and comes
before its deadline. The daemon is measured with its queue and without it.
Usage: python -m benchmarks.overload_path --seed N
"""

import collections
import contextlib
import dataclasses
import random
import time

import curio

from benchmarks import seeded
from celeryward.callers import model_queues
from celeryward import errors
from celeryward import http
from celeryward.operators import demo
from celeryward.standins import engine

SLOTS = 8
SERVICE_SECONDS = 0.2
STEPS = 10
DEADLINE_MS = 1_200
DURATION_SECONDS = 8.0
FAILURES = (errors.CelerywardError, http.ReadTimeout, http.Disconnected)


class CongestedEngine(engine.EngineStandIn):
    """Shares its speed among the requests beyond its slots."""

    async def send_whole(self, connection, echo, words, usage):
        """Answer after the time that the present load takes."""
        for _ in range(STEPS):
            slower = max(1.0, self.running / SLOTS)
            await curio.sleep(SERVICE_SECONDS / STEPS * slower)
        await super().send_whole(connection, echo, words, usage)


class Unqueued(model_queues.ModelQueues):
    """Baseline: lets each request pass at once."""

    @contextlib.asynccontextmanager
    async def slot(self, call, model):
        """Hold nothing."""
        yield


class Trial:
    """Sends requests to one daemon.

    :param float load: multiple of the engine's capacity.
    """

    def __init__(self, seed, load, gated):
        self.rng = random.Random(seed)
        self.rate = load * SLOTS / SERVICE_SECONDS
        self.gated = gated
        self.cluster = demo.Cluster()
        self.cluster.small = CongestedEngine(('small@1',))
        self.results = collections.Counter()

    async def run(self):
        """Return the answered requests a second and all results."""
        await self.cluster.start()
        if not self.gated:
            handler = self.cluster.daemon.request_handler
            replaced = handler.model_queues
            handler.model_queues = Unqueued(
                replaced.configuration, replaced.shares, replaced.liveness
            )
        async with curio.TaskGroup() as group:
            ends = time.monotonic() + DURATION_SECONDS
            while time.monotonic() < ends:
                await curio.sleep(self.rng.expovariate(self.rate))
                await group.spawn(self.ask)
        await self.cluster.stop()
        return self.results['answered'] / DURATION_SECONDS, self.results

    async def ask(self):
        """Send one request and count its result."""
        example = dataclasses.replace(
            demo.chat_example('', 'small', 'x'),
            headers={'x-timeout-ms': str(DEADLINE_MS)},
        )
        started = time.monotonic()
        port = self.cluster.daemon.listener.port
        try:
            head, _ = await demo.send_example(port, example)
        except FAILURES:
            self.results['broken'] += 1
            return
        late = time.monotonic() - started > DEADLINE_MS / 1000
        if head.status == 200:
            self.results['late' if late else 'answered'] += 1
        else:
            execution = head.headers['x-execution']
            self.results[f'{head.status} {execution}'] += 1


async def measure(seed):
    """Print one line for each run, and the ratios."""
    for gated in (False, True):
        goodput = []
        for load in (1.0, 2.0):
            rate, results = await Trial(seed, load, gated).run()
            goodput.append(rate)
            name = 'with queue' if gated else 'without queue'
            print(f'{name} at {load:g} x capacity: {rate:.1f}/s')
            print(f'  {dict(results)}')
        print(f'  goodput at 2 x / at 1 x = {goodput[1] / goodput[0]:.3f}')


if __name__ == '__main__':
    seeded.main(measure, __doc__)
