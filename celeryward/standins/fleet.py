"""Stand-in engines of one model version, and a dispatcher to them.

For tests and benchmarks that dispatch requests without callers or platform.
"""

import dataclasses
import itertools

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
from celeryward.endpoints import protocol
from celeryward.endpoints import recovery
from celeryward import metrics
from celeryward import settings

VERSION = catalog.ModelVersion('large', '1', prompt_cost=1, answer_cost=1)
CUSTOMER = catalog.Customer('c', allowed=('large',))
CALL_TIMEOUT_SECONDS = 20.0
# Short timeouts only for tests of silent endpoints. With them, a pause of the
# whole process looks like a silent endpoint to other tests.
SILENCE_TIMEOUT_SECONDS = 0.25
TIMINGS = settings.Timings(
    connect_timeout=5.0,
    progress_timeout=10.0,
    first_byte_timeout=10.0,
    probe_interval=0.1,
    probe_timeout=5.0,
)
SILENCE_TIMINGS = dataclasses.replace(
    TIMINGS,
    progress_timeout=SILENCE_TIMEOUT_SECONDS,
    first_byte_timeout=SILENCE_TIMEOUT_SECONDS,
    probe_timeout=2.0,
)


class Fleet:
    """Dispatches chat requests to stand-in engines.

    :param engines: stand-ins that run ``large@1``.
    :param bool can_resume: whether the engines can resume streams.
    :param Timings timings: timeouts of calls and probes.
    """

    def __init__(self, engines, can_resume=True, timings=TIMINGS):
        self.engines = tuple(engines)
        self.can_resume = can_resume
        self.timings = timings
        self.current_catalog = catalog.Catalog()
        self.view = candidates.EndpointView(
            'domain-1', load.LoadView(), liveness.Liveness()
        )
        self.pool = pool.EndpointPool(timings)
        self.prober = prober.Prober(self, self.pool, self.view, timings)
        self.recovery = recovery.Recovery(
            self.view,
            self.pool,
            self.prober,
            fingerprints.SuspectRequests(),
            metrics.Metrics(),
        )
        self.dispatcher = dispatch.Dispatcher(
            self, self.view, self.pool, timings, self.recovery
        )
        self.request_numbers = itertools.count(1)

    def catalog(self):
        """Return the catalog, as the configuration does in a daemon."""
        return self.current_catalog

    async def start(self):
        """Start the engines and build the catalog that lists them."""
        endpoints = {}
        for index, engine in enumerate(self.engines):
            await engine.start()
            endpoints[f'engine-{index}'] = catalog.Endpoint(
                f'engine-{index}',
                '127.0.0.1',
                engine.port,
                'domain-1',
                serves=(VERSION.name,),
                can_resume=self.can_resume,
            )
        self.current_catalog = catalog.Catalog(
            customers={CUSTOMER.name: CUSTOMER},
            versions={VERSION.name: VERSION},
            endpoints=endpoints,
        )

    async def stop(self):
        """Close the pooled connections and stop the engines."""
        await self.pool.close()
        for engine in self.engines:
            await engine.stop()

    def make_attempt(self, text, stream=True):
        """Return a new :class:`attempts.Attempt` of a chat request."""
        request = calls.ChatRequest(
            'large', (calls.Message('user', text),), stream
        )
        call = calls.Call(
            f'request-{next(self.request_numbers)}',
            CUSTOMER,
            deadlines.Deadline.after(CALL_TIMEOUT_SECONDS),
            request,
        )
        return attempts.Attempt(call, 'large')

    async def stream(self, attempt):
        """Run a chat as a stream; return the text of the answer."""
        async for _ in self.dispatcher.stream(attempt):
            pass
        return answer_text(attempt)

    async def complete_chat(self, attempt):
        """Run a chat that is not streamed; return the text of the answer."""
        chunk = await self.dispatcher.complete_chat(attempt)
        return protocol.answer_text(chunk.payload)


def answer_text(attempt):
    """Return the text that an attempt has sent to its caller so far."""
    return protocol.resume_point(b''.join(attempt.emitted_payloads)).text
