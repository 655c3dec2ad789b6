"""One daemon: builds its parts, starts its tasks and stops them."""

import signal
import time
import uuid

import curio

from celeryward.callers import server
from celeryward.callers import serving
from celeryward.callers import sessions
from celeryward import deadlines
from celeryward.endpoints import candidates
from celeryward.endpoints import dispatch
from celeryward.endpoints import fingerprints
from celeryward.endpoints import liveness
from celeryward.endpoints import load
from celeryward.endpoints import pool
from celeryward.endpoints import prober
from celeryward.endpoints import recovery
from celeryward import http
from celeryward import logs
from celeryward import metrics
from celeryward.operators import admin
from celeryward.platform import billing
from celeryward.platform import client
from celeryward.platform import configuration
from celeryward.platform import flusher
from celeryward.platform import hosts
from celeryward.platform import watcher
from celeryward.raters import client as rater_client
from celeryward.raters import runner

FLUSH_RETRY_SECONDS = 0.2


def new_id():
    """Return a new unique id."""
    return uuid.uuid4().hex


class Daemon:
    """All parts of one daemon.

    :param settings.Settings settings: checked settings.
    :param new_id: function that returns unique ids.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, settings, new_id=new_id, clock=time.time):
        self.settings = settings
        timings = settings.timings
        self.metrics = metrics.Metrics()
        self.configuration = configuration.ConfigurationStore()
        self.client = client.ObjectClient(
            settings.platform, timings.platform_timeout, settings.name
        )
        self.watcher = watcher.Watcher(self.client, self.configuration)
        # A restarted daemon must not reuse the batch names of its past.
        self.ledger = billing.Ledger(f'{settings.name}-{new_id()[:12]}')
        self.flusher = flusher.Flusher(
            self.ledger, self.client, timings.flush_interval
        )
        self.load = load.LoadView()
        self.liveness = liveness.Liveness()
        self.hosts = hosts.HostWatcher(
            self.client, self.configuration, self.liveness
        )
        self.pool = pool.EndpointPool(timings)
        self.view = candidates.View(
            settings.failure_domain, self.load, self.liveness, settings.ranking
        )
        self.prober = prober.Prober(
            self.configuration, self.pool, self.view, timings
        )
        self.fingerprints = fingerprints.Fingerprints()
        self.recovery = recovery.Recovery(
            self.view,
            self.pool,
            self.prober,
            self.fingerprints,
            self.metrics,
        )
        self.dispatcher = dispatch.Dispatcher(
            self.configuration, self.view, self.pool, timings, self.recovery
        )
        self.serving = self.build_serving(settings, clock)
        self.callers = server.CallerServer(self.serving, timings, new_id)
        self.listener = http.Listener(
            settings.callers.host, settings.callers.port, self.callers.handle
        )
        self.admin = http.Listener(
            settings.admin.host, settings.admin.port, admin.Admin(self).handle
        )
        self.tasks = []
        self.stopped = False

    def build_serving(self, settings, clock):
        """Build the part that serves requests."""
        rater = rater_client.RaterClient(
            settings.raters, settings.timings.rating_timeout
        )
        return serving.Serving(
            self.configuration,
            self.dispatcher,
            sessions.SessionSigner(settings.sessions.signing_keys),
            self.ledger,
            runner.CascadeRunner(self.configuration, self.dispatcher, rater),
            self.metrics,
            clock,
        )

    async def start(self):
        """Start all tasks; callers are accepted once there is a catalog."""
        for run in (
            self.watcher.run,
            self.hosts.run,
            self.prober.run,
            self.flusher.run,
        ):
            self.tasks.append(await curio.spawn(run, daemon=True))
        await self.admin.start()
        await self.watcher.listed.wait()
        await self.prober.adjust()
        await self.listener.start()
        logs.bind(step='start', peer=self.settings.name).info(
            'daemon listens on port {}', self.listener.port
        )

    async def stop(self):
        """Stop without cutting off a request.

        New requests are refused as not run, running ones are answered, and
        bills are written before the tasks end.

        :returns: the number of requests cut off at the drain deadline.
        """
        if self.stopped:
            return 0
        self.stopped = True
        deadline = deadlines.Deadline.after(
            self.settings.timings.drain_timeout
        )
        self.serving.stopping = True
        await self.listener.stop_accepting()
        await self.callers.wait_idle(deadline)
        cut_off = len(self.callers.busy)
        await self.listener.drain(deadlines.Deadline.after(0.0))
        while not await self.flusher.flush() and not deadline.expired():
            await curio.sleep(FLUSH_RETRY_SECONDS)
        for task in self.tasks:
            await task.cancel()
        await self.admin.stop_accepting()
        await self.admin.drain(deadlines.Deadline.after(0.0))
        await self.pool.close()
        logs.bind(step='stop', peer=self.settings.name).info(
            'daemon stopped; {} requests cut off', cut_off
        )
        return cut_off

    async def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        async with curio.SignalQueue(signal.SIGTERM, signal.SIGINT) as signals:
            starting = await curio.spawn(self.start)
            await signals.get()
            await starting.cancel()
            return await self.stop()
