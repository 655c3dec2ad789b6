"""The router process: creates its components, runs its tasks, shuts down."""

import os

import curio

from celeryward import awake_clock
from celeryward.callers import gateway
from celeryward.callers import relay
from celeryward.callers import router_admission
from celeryward import completion
from celeryward.endpoints import closures
from celeryward.endpoints import crash_watch
from celeryward.endpoints import fleet_retries
from celeryward.endpoints import forwarding
from celeryward.endpoints import harmful_guard
from celeryward.endpoints import monitor
from celeryward.endpoints import notices
from celeryward.endpoints import outcomes
from celeryward.endpoints import pool
from celeryward.endpoints import queueing
from celeryward.endpoints import reopening
from celeryward.endpoints import runners
from celeryward.endpoints import warm_up_shares
from celeryward.endpoints import warm_ups
from celeryward import errors
from celeryward import ingress
from celeryward import logs
from celeryward.objects import freshness
from celeryward.objects import ignored
from celeryward.raters import releases
from celeryward.raters import sizes
from celeryward import router_listeners
from celeryward import router_metrics
from celeryward import router_shutdown
from celeryward.routers import crash_news
from celeryward.routers import departure_news
from celeryward import signals
from celeryward import stopping
from celeryward import store_view
from celeryward import supervision

# Lower bound on the assumed number of routers. Routers share the slack of the
# retry budget and the evaluation of new versions, and a router may not have
# discovered all others yet.
MIN_ROUTERS = 7
SETTINGS_POLL_SECONDS = 1.0
OVERDUE_POLL_SECONDS = 0.25
IDLE_POLL_SECONDS = 0.25


class Router:
    """One router with all of its components.

    :param Placement placement: addresses and bounds from the platform.
    :param Tuning tuning: settings that operators may tune.
    :param translator: converts between the formats of a platform and the
        types of this package; docs/design.md lists its members.
    :param read_placement: function that reads the placement again; None if
        the placement can't change.
    """

    def __init__(self, placement, tuning, translator, read_placement=None):
        self.read_placement = read_placement
        self.placement = placement
        self.tuning = tuning
        self.translator = translator
        self.tasks = []
        self.metrics = router_metrics.RouterMetrics()
        self.supervisor = supervision.Supervisor(
            self.metrics.count_task_failure
        )
        self.build_state()
        self.build_store_view()
        self.build_forwarding()
        self.build_crash_handling()
        self.build_callers()
        self.listeners = router_listeners.make_listeners(self)
        self.runners.listeners.append(self.forget_runner)
        self.notice_reader.place_listeners.append(
            self.relay.waiter.place_freed
        )
        router_metrics.register_gauges(self.metrics, self)

    def build_state(self):
        """Create what the router knows of its surroundings and of itself."""
        bounds = self.placement.bounds
        self.configuration = ingress.ConfigurationHolder()
        self.freshness = freshness.Freshness(self.key_age_limit())
        self.endpoint_freshness = freshness.Freshness()
        self.stop_state = stopping.StopState()
        self.completion = completion.CompletionCheck(self.stop_state)
        self.runners = runners.RunnerTable()
        self.outcomes = outcomes.OutcomeTracker()
        self.queues = queueing.QueueEstimates(awake_clock.CLOCK)
        self.closures = closures.Closures()
        self.estimates = reopening.ReopeningEstimates(
            self.closures, self.count_routers
        )
        self.releases = releases.Releases(
            bounds.bad_version_share,
            bounds.session_seconds,
            decider_count=self.count_deciders,
            bad_version_slack=bounds.bad_version_slack,
        )
        self.releases.runs.clock = awake_clock.CLOCK

    def build_store_view(self):
        """Create what follows the store and the other routers."""
        self.view = store_view.StoreView(
            self.placement,
            self.tuning,
            self.translator,
            self.freshness,
            self.endpoint_freshness,
            self.releases,
            ignored.IgnoredEntries(self.metrics.count_ignored_entry),
            departure_news.DepartureNews(self.runners),
        )
        self.warm_ups = warm_ups.WarmUps(
            warm_up_shares.ColdRules(
                lambda: self.placement.bounds, self.configuration
            ),
            self.runners,
            self.view.members,
            MIN_ROUTERS,
            self.placement.first_start,
        )

    def build_forwarding(self):
        """Create the components that send requests to endpoints."""
        tuning = self.tuning
        self.connections = pool.EndpointPool(tuning)
        self.notice_reader = notices.NoticeReader(
            self.runners,
            self.closures,
            closures.PauseBounds(
                tuning.max_closed_seconds, tuning.unreadable_closed_seconds
            ),
            self.estimates,
            self.warm_ups,
            self.view.ignored,
        )
        self.forwarder = forwarding.Forwarder(
            self.connections,
            self.translator,
            self.outcomes,
            self.runners,
            self.queues,
            self.notice_reader,
        )

    def build_crash_handling(self):
        """Create the components that notice crashes and what causes them."""
        self.crash_watch = crash_watch.CrashWatch(
            self.runners, self.connections, self.outcomes
        )
        self.guard = harmful_guard.make_guard(
            self.view.members.rank, self.forwarder
        )
        self.crash_watch.listeners += [
            self.metrics.count_crash,
            self.record_crash,
        ]
        self.guard.listeners += [
            self.crash_watch.avoid_ended,
            self.warm_ups.record_ends,
        ]
        self.crash_news = crash_news.CrashNews(
            self.guard, self.view.members, self.view.source.client_of
        )
        self.view.publisher.crash_news = self.crash_news

    async def record_crash(self, crash):
        """Record a crash, and the parts that answers under way survive."""
        survived = self.crash_watch.survived_parts(crash)
        cleared = self.guard.harmful.survivals(crash, survived)
        await self.guard.record(*cleared, crash)

    def build_callers(self):
        """Create the components that serve callers."""
        placement, tuning = self.placement, self.tuning
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
                sizes.make_value_model(tuning),
                self.endpoint_freshness,
                self.queues,
                self.closures,
                self.estimates,
                self.completion,
                self.crash_watch,
                self.guard,
                self.warm_ups,
            ),
            self.forwarder,
            self.translator,
            self.retry_allowance,
            self.metrics,
        )
        self.gateway = gateway.Gateway(
            self.relay, self.configuration, self.metrics, self.stop_state
        )

    def key_age_limit(self):
        """Return the largest age of the configuration for accepting API keys.

        Requests with a key are refused while the configuration was last
        confirmed more than this many seconds ago.
        """
        bound = self.placement.bounds.revoked_key_seconds
        return bound - self.tuning.key_reserve

    def retry_allowance(self):
        """Return the allowance of the known routers.

        :returns: :class:`fleet_retries.FleetAllowance`.
        """
        bounds = self.placement.bounds
        return fleet_retries.FleetAllowance(
            bounds.retry_ratio,
            bounds.retry_ratio * self.tuning.retry_part,
            bounds.retry_slack,
            bounds.retry_window_seconds,
            self.count_routers(),
        )

    def count_routers(self):
        """Return the number of known routers, at least :data:`MIN_ROUTERS`.

        This router is included.
        """
        return max(MIN_ROUTERS, self.view.members.count)

    def count_deciders(self):
        """Return the number of routers with as much evidence as this one."""
        return self.view.members.decider_count

    def forget_runner(self, runner):
        """Delete what was recorded of an endpoint that was removed."""
        self.outcomes.forget(runner.id)
        self.queues.forget(runner.id)

    def is_ready(self):
        """Return whether the load balancer may send requests here."""
        return (
            not self.stop_state.is_stopping
            and self.configuration.current is not None
            and bool(self.runners.runners)
            and not self.runners.drains.is_awaited
            and self.freshness.is_fresh()
        )

    async def start(self):
        """Start all listeners and tasks.

        Every request is refused until a configuration has been received.
        """
        logs.bind(
            step='start',
            peer=self.placement.name,
            failure_domain=self.placement.failure_domain,
            pid=os.getpid(),
        ).info('router starts')
        await self.listeners.start()
        self.view.build_watchers(self.configuration, self.runners)
        self.tasks += await self.view.start_tasks(self.supervisor)
        for step, peer, run in (
            ('measure pauses', self.placement.name, awake_clock.CLOCK.run),
            ('monitor endpoints', 'endpoints', self.monitor.run),
            ('poll settings', self.placement.name, self.poll_settings),
            ('tell of crashes', 'routers', self.crash_news.run),
            ('report overdue runs', 'endpoints', self.report_overdue_runs),
            (
                'close unused connections',
                'endpoints',
                self.close_unused_connections,
            ),
        ):
            self.tasks.append(await self.supervisor.spawn(step, peer, run))

    async def stop(self, signalled_after=None):
        """Drain and stop. Requests that outlast the stop time are cut off.

        :param float signalled_after: seconds since the host was booted; the
            signal to stop was not sent before. None for now.
        """
        await router_shutdown.RouterShutdown(self).run(signalled_after)

    def reload(self):
        """Read the placement again and apply what has changed in its bounds.

        The addresses of the start stay in use. If the settings can't be read,
        the previous ones stay in force.
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
        self.view.set_bounds(bounds)
        self.releases.set_bounds(
            bounds.bad_version_share,
            bounds.session_seconds,
            bounds.bad_version_slack,
        )
        logs.bind(step='reload', peer=placement.name).info('settings reloaded')

    async def poll_settings(self):
        """Reload changed settings, also if no signal announces the change.

        The retry budgets follow the settings and the number of routers.
        """
        while True:
            await curio.sleep(SETTINGS_POLL_SECONDS)
            self.reload()
            self.relay.retries.update()

    async def report_overdue_runs(self):
        """Report runs at new versions that have not ended in time."""
        while True:
            await curio.sleep(OVERDUE_POLL_SECONDS)
            self.releases.runs.report_overdue()

    async def close_unused_connections(self):
        """Close idle connections to endpoints that have left or leave."""
        while True:
            await curio.sleep(IDLE_POLL_SECONDS)
            addresses = self.runners.available_addresses()
            await self.connections.close_except(addresses)

    async def run(self):
        """Run until SIGTERM or SIGINT, then drain and stop."""
        numbers = (*signals.STOP_SIGNALS, signals.RELOAD_SIGNAL)
        with signals.signal_receiver(numbers) as receiver:
            await self.supervisor.spawn(
                'look for signals', 'signals', receiver.look_regularly
            )
            await self.start()
            while await receiver.next_signal() == signals.RELOAD_SIGNAL:
                self.reload()
            await self.stop(receiver.none_before)
