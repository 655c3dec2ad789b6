"""Requests written to an endpoint after their version was withdrawn.

Requests wait before dispatch and while their connection opens; meanwhile
the versions of the model are withdrawn and restored in turn. Three
dispatchers run the same seeded sequence: a check at entry only, a check
at each dispatch, and the check in force, which is repeated once the
connection is ready. Usage: python -m benchmarks.withdrawal --seed N
"""

import contextlib
import dataclasses
import random

import curio

from benchmarks import seeded
from celeryward.callers import admission
from celeryward.callers import sessions
from celeryward.callers import version_selection
from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward.endpoints import attempts
from celeryward.endpoints import candidates
from celeryward.endpoints import dispatch
from celeryward.endpoints import fingerprints
from celeryward.endpoints import liveness
from celeryward.endpoints import load
from celeryward.endpoints import pool
from celeryward.endpoints import prober
from celeryward.endpoints import recovery
from celeryward import errors
from celeryward import metrics
from celeryward import settings
from celeryward.standins import engine

REQUESTS = 2_000
CONCURRENT = 25
LONGEST_WAIT_SECONDS = 0.01
WITHDRAWAL_SECONDS = 0.1
CUSTOMER = catalog.Customer('customer', allowed=('m',))


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Results of one dispatcher."""

    answered: int
    refused: int
    started: int
    started_withdrawn: int


class Store:
    """Holds the catalog, whose withdrawn version changes.

    :param int port: port of the engine that runs both versions.
    """

    def __init__(self, port):
        self.endpoint = catalog.Endpoint(
            'engine',
            '127.0.0.1',
            port,
            'domain-1',
            ('m@1', 'm@2'),
            capacity=CONCURRENT,
        )
        self.withdrawn = ''
        self.change('2')

    def catalog(self):
        """Return the catalog in force."""
        return self.current

    def change(self, withdrawn):
        """Withdraw one version and restore the other."""
        self.withdrawn = f'm@{withdrawn}'
        versions = {}
        for number in ('1', '2'):
            state = catalog.VersionState.LIVE
            if number == withdrawn:
                state = catalog.VersionState.WITHDRAWN
            version = catalog.ModelVersion('m', number, state)
            versions[version.name] = version
        self.current = catalog.Catalog(
            customers={CUSTOMER.name: CUSTOMER},
            versions=versions,
            endpoints={'engine': self.endpoint},
        )


class WatchedPool(pool.EndpointPool):
    """Opens connections slowly and counts writes to withdrawn versions."""

    def __init__(self, store, rng):
        super().__init__(settings.Timings())
        self.store = store
        self.rng = rng
        self.started = 0
        self.started_withdrawn = 0

    async def acquire_idle(self, endpoint):
        """Return no idle connection, so that each request connects."""
        return None

    async def open(self, endpoint, deadline):
        """Open a connection after a random wait."""
        await curio.sleep(self.rng.uniform(0, LONGEST_WAIT_SECONDS))
        connection = await super().open(endpoint, deadline)
        send = connection.send

        async def count_and_send(step, request, *events):
            headers = dict(request.headers)
            version = headers[b'x-model-version'].decode('ascii')
            self.started += 1
            self.started_withdrawn += version == self.store.withdrawn
            await send(step, request, *events)

        connection.send = count_and_send
        return connection


class EachDispatch(dispatch.Dispatcher):
    """Baseline: does not check again once the connection is ready."""

    def recheck_target(self, attempt):
        """Skip the second check."""


class EntryOnly(EachDispatch):
    """Baseline: dispatches by the version that was chosen at entry."""

    async def select_endpoint(self, attempt):
        """Choose the only endpoint and the version chosen at entry."""
        attempt.dispatches += 1
        attempt.candidate = candidates.Candidate(
            self.configuration.endpoint,
            catalog.ModelVersion(*attempt.pinned_version.split('@')),
        )
        return attempt.candidate


class Trial:
    """Sends all requests through one kind of dispatcher."""

    def __init__(self, kind, seed, port):
        self.rng = random.Random(seed)
        self.store = Store(port)
        self.pool = WatchedPool(self.store, self.rng)
        view = candidates.EndpointView(
            'domain-1', load.LoadView(), liveness.Liveness()
        )
        timings = settings.Timings()
        recovering = recovery.Recovery(
            view,
            self.pool,
            prober.Prober(self.store, self.pool, view, timings),
            fingerprints.SuspectRequests(),
            metrics.Metrics(),
        )
        self.dispatcher = kind(
            self.store, view, self.pool, timings, recovering
        )
        self.left = REQUESTS
        self.answered = 0
        self.refused = 0

    async def run(self):
        """Return the :class:`Figures`."""
        async with curio.TaskGroup() as group:
            withdrawing = await curio.spawn(self.keep_withdrawing)
            for _ in range(CONCURRENT):
                await group.spawn(self.send_requests)
        await withdrawing.cancel()
        return Figures(
            self.answered,
            self.refused,
            self.pool.started,
            self.pool.started_withdrawn,
        )

    async def keep_withdrawing(self):
        """Withdraw the versions in turn."""
        while True:
            for number in ('1', '2'):
                await curio.sleep(WITHDRAWAL_SECONDS)
                self.store.change(number)

    async def send_requests(self):
        """Send requests until none is left."""
        while self.left:
            self.left -= 1
            message = calls.Message('user', 'x')
            call = calls.Call(
                f'request-{self.left}',
                CUSTOMER,
                deadlines.Deadline.after(10.0),
                calls.ChatRequest('m', (message,), max_tokens=1),
            )
            attempt = attempts.Attempt(call, 'm')
            attempt.select_version = lambda call=call: self.place(call)
            attempt.change_version()
            await curio.sleep(self.rng.uniform(0, LONGEST_WAIT_SECONDS))
            with contextlib.suppress(errors.CelerywardError):
                self.refused += 1
                await self.dispatcher.complete_chat(attempt)
                self.refused -= 1
                self.answered += 1

    def place(self, call):
        """Return the placement of a call by the newest catalog."""
        placed = version_selection.select_version(
            self.store.catalog(),
            call,
            admission.ChatRoute(('m',)),
            'm',
            sessions.Session(call.request_id),
            age=0.0,
        )
        return errors.unwrap(placed)


async def measure(seed):
    """Print one line for each kind of dispatcher."""
    for kind in (EntryOnly, EachDispatch, dispatch.Dispatcher):
        runner = engine.EngineStandIn(('m@1', 'm@2'))
        await runner.start()
        figures = await Trial(kind, seed, runner.port).run()
        await runner.stop()
        print(f'{kind.__name__}: {figures}')


if __name__ == '__main__':
    seeded.main(measure, __doc__)
