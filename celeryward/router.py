"""One router process: builds its parts, starts its tasks and stops them."""

import os
import time

import curio

from celeryward.callers import gateway
from celeryward.callers import relay
from celeryward.callers import router_admission
from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward.endpoints import monitor
from celeryward.endpoints import outcomes
from celeryward.endpoints import pool
from celeryward.endpoints import retries
from celeryward.endpoints import runners
from celeryward import errors
from celeryward import http
from celeryward import ingress
from celeryward import listener
from celeryward import logs
from celeryward.objects import freshness
from celeryward.raters import releases
from celeryward.raters import sizes
from celeryward import router_metrics
from celeryward import signals
from celeryward import store_view

# Connections of the balancer and of those who read metrics.
CALL_IDLE_SECONDS = 30.0
# A router may not know yet of all others, with which it shares the slack of
# the retry budget and the judgement of new versions.
MIN_ROUTERS = 7
MIN_BURST = 7.0
MAX_BURST = 8.0
STOP_POLL_SECONDS = 0.05
SETTINGS_POLL_SECONDS = 1.0
REVIEW_SECONDS = 0.25


class Router:
    """All parts of one router.

    :param Placement placement: where it runs.
    :param Tuning tuning: what operators set.
    :param translator: translates between a platform and the product; see
        docs/design.md for its members.
    :param read_placement: function that reads the placement again, or None
        if it can't change.
    """

    def __init__(self, placement, tuning, translator, read_placement=None):
        self.read_placement = read_placement
        self.placement = placement
        self.tuning = tuning
        self.translator = translator
        self.tasks = []
        bounds = placement.bounds
        self.configuration = ingress.ConfigurationHolder()
        self.freshness = freshness.Freshness(self.key_age_limit())
        self.endpoint_freshness = freshness.Freshness()
        self.runners = runners.RunnerTable()
        self.outcomes = outcomes.OutcomeTracker()
        self.releases = releases.Releases(
            bounds.bad_version_share,
            bounds.session_seconds,
            router_count=self.count_routers,
        )
        self.view = store_view.StoreView(
            placement,
            tuning,
            translator,
            self.freshness,
            self.endpoint_freshness,
        )
        self.connections = pool.EndpointPool(tuning)
        self.metrics = router_metrics.RouterMetrics()
        self.forwarder = forwarding.Forwarder(
            self.connections, translator, self.outcomes, self.runners
        )
        self.monitor = monitor.Monitor(
            self.runners, self.outcomes, self.connections, self.forwarder
        )
        self.relay = relay.Relay(
            router_admission.RouterState(
                placement.failure_domain,
                self.configuration,
                self.freshness,
                self.runners,
                self.outcomes,
                self.releases,
                economy(tuning),
                self.endpoint_freshness,
            ),
            self.forwarder,
            translator,
            self.new_budget,
            self.metrics,
        )
        self.gateway = gateway.Gateway(
            self.relay, self.configuration, self.metrics
        )
        self.callers = listener.Listener(
            placement.callers.host,
            placement.callers.port,
            self.gateway.handle,
        )
        self.readiness = listener.Listener(
            placement.readiness.host,
            placement.readiness.port,
            self.answer_readiness,
        )
        self.exposition = listener.Listener(
            placement.metrics.host,
            placement.metrics.port,
            self.answer_metrics,
        )
        self.peers = listener.Listener(
            placement.routers.host,
            placement.routers.port,
            self.view.publisher.handle,
        )
        self.runners.listeners.append(self.forget_runner)
        self.add_gauges()
        self.stopping = False

    def add_gauges(self):
        """Expose what the router believes."""
        holder = self.configuration
        for name, text, value in (
            (
                'configuration_version',
                'Version of the configuration in force; 0 for none.',
                lambda: holder.current.version if holder.current else 0,
            ),
            (
                'configuration_age_seconds',
                'Time since the store confirmed it; -1 for never.',
                lambda: shown_age(self.freshness),
            ),
            (
                'endpoints_age_seconds',
                'Time since the store confirmed the list of endpoints;'
                ' -1 for never.',
                lambda: shown_age(self.endpoint_freshness),
            ),
            (
                'endpoints_missing',
                'Endpoints whose entry is missing and that are still used.',
                lambda: len(self.runners.missing),
            ),
            (
                'endpoints',
                'Endpoints that are listed.',
                lambda: len(self.runners.runners),
            ),
            (
                'endpoints_lost',
                'Endpoints that can not be reached.',
                lambda: len(self.outcomes.lost),
            ),
            (
                'store_calls',
                'Calls to the store.',
                lambda: self.view.store.calls,
            ),
            (
                'routers',
                'Routers that are known.',
                lambda: self.view.members.count,
            ),
        ):
            self.metrics.gauge(name, text, value)

    def key_age_limit(self):
        """Return the age of the configuration up to which keys are good."""
        bound = self.placement.bounds.revoked_key_seconds
        return bound - self.tuning.key_reserve

    def new_budget(self):
        """Return a retry budget within what all routers may use."""
        bounds = self.placement.bounds
        least = min(MIN_BURST, bounds.retry_slack / MIN_ROUTERS)
        share = bounds.retry_slack / self.count_routers()
        slack = min(MAX_BURST, max(least, share))
        return retries.RetryBudget(
            ratio=bounds.retry_ratio * self.tuning.retry_part,
            initial=slack,
            maximum=slack,
        )

    def count_routers(self):
        """Return how many routers are known, this one included."""
        return max(MIN_ROUTERS, self.view.members.count)

    def forget_runner(self, runner):
        """Drop what is known of an endpoint that is gone."""
        self.outcomes.forget(runner.id)

    def is_ready(self):
        """Return whether callers are welcome."""
        return (
            not self.stopping
            and self.configuration.current is not None
            and bool(self.runners.runners)
            and self.freshness.is_fresh()
        )

    async def answer_readiness(self, connection):
        """Answer the balancer's question on one connection."""

        async def answer(head):
            status = 200 if self.is_ready() else 503
            await http.send_response(connection, status, {}, b'')

        await listener.serve_calls(
            connection, answer, CALL_IDLE_SECONDS, CALL_IDLE_SECONDS
        )

    async def answer_metrics(self, connection):
        """Serve the metrics on one connection."""

        async def answer(head):
            text = {'content-type': 'text/plain; version=0.0.4'}
            body = self.metrics.exposition()
            await http.send_response(connection, 200, text, body)

        await listener.serve_calls(
            connection, answer, CALL_IDLE_SECONDS, CALL_IDLE_SECONDS
        )

    async def start(self):
        """Start all tasks. Until there is configuration, all is refused."""
        logs.bind(
            step='start',
            peer=self.placement.name,
            failure_domain=self.placement.failure_domain,
            pid=os.getpid(),
        ).info('router starts')
        await self.readiness.start()
        await self.exposition.start()
        await self.callers.start()
        await self.peers.start()
        self.view.follow(self.configuration, self.runners, self.releases)
        others = (
            self.monitor.run,
            self.follow_settings,
            self.review_releases,
        )
        for run in (*self.view.runs(), *others):
            self.tasks.append(await curio.spawn(run, daemon=True))

    async def stop(self):
        """Stop without cutting off a request, as far as time allows."""
        self.stopping = True
        started = time.monotonic()
        end = deadlines.Deadline.after(
            self.placement.bounds.stop_seconds - self.tuning.stop_reserve
        )
        self.gateway.begin_drain()
        logs.bind(step='stop', peer=self.placement.name).info(
            'router stops with {} requests under way', len(self.gateway.active)
        )
        accepting = deadlines.Deadline.after(self.tuning.stop_accepting_after)
        await self.view.leave()
        await curio.sleep(accepting.earlier(end).remaining())
        await self.callers.stop_accepting()
        while self.gateway.active and not end.expired():
            await self.gateway.close_idle()
            await curio.sleep(STOP_POLL_SECONDS)
        await self.gateway.close_idle()
        cut_off = len(self.gateway.active)
        for task in self.tasks:
            await task.cancel()
        logs.bind(step='stop', peer=self.placement.name).info(
            'router stopped after {:.1f} s; {} requests cut off',
            time.monotonic() - started,
            cut_off,
        )

    def reload(self):
        """Take over what has changed in the settings of the platform.

        Addresses stay those of the start. Settings that can't be read leave
        the last ones in force.
        """
        if self.read_placement is None:
            return
        try:
            placement = self.read_placement()
        except errors.BadInput as error:
            logs.bind_error(error).error(
                'settings not reloaded: {}', error.message
            )
            return
        if placement == self.placement:
            return
        self.placement = placement
        bounds = placement.bounds
        self.freshness.max_age_seconds = self.key_age_limit()
        self.view.outages.set_bounds(bounds)
        self.releases.set_bounds(
            bounds.bad_version_share, bounds.session_seconds
        )
        logs.bind(step='reload', peer=placement.name).info('settings reloaded')

    async def follow_settings(self):
        """Notice settings that change without a signal."""
        while True:
            await curio.sleep(SETTINGS_POLL_SECONDS)
            self.reload()

    async def review_releases(self):
        """Judge new versions by the runs that are under way."""
        while True:
            await curio.sleep(REVIEW_SECONDS)
            self.releases.runs.report_overdue()

    async def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        numbers = (*signals.STOP_SIGNALS, signals.RELOAD_SIGNAL)
        with signals.stop_signals(numbers) as next_signal:
            await self.start()
            while await next_signal() == signals.RELOAD_SIGNAL:
                self.reload()
            await self.stop()


def shown_age(known):
    """Return the age of the last confirmation in seconds; -1 for none."""
    age = known.age()
    return -1.0 if age is None else age


def economy(tuning):
    """Return what answers are worth, as operators set it."""
    return sizes.ValueModel(
        tuning.value_per_token,
        tuning.confidence_midpoint,
        tuning.confidence_width,
    )
