"""A router's connection to the store, direct or through other routers."""

import dataclasses

from celeryward import logs
from celeryward.objects import client
from celeryward.objects import kind_watcher
from celeryward.objects import outages
from celeryward.objects import receivers
from celeryward.objects import verdicts
from celeryward.raters import restored_orders
from celeryward.routers import change_log
from celeryward.routers import client as router_client
from celeryward.routers import discovery
from celeryward.routers import evidence
from celeryward.routers import members
from celeryward.routers import pacing
from celeryward.routers import publisher
from celeryward.routers import source

# Pause that merges several changes into one call. It is shorter than the time
# for which a router may still use a leaving endpoint.
OBJECT_COALESCE_SECONDS = 0.4
# Age of the last confirmation at which a kind is read again if its revision
# is known to be old. Departures of endpoints must take effect sooner than
# verdicts on versions.
STALE_ENDPOINTS_SECONDS = 0.2
STALE_ORDERS_SECONDS = 2.5
MIN_PRIMARY_WAIT_SECONDS = 0.2
# A shorter wait would cost too many calls; a silent connection may delay a
# drain beyond a short bound.
MIN_DRAIN_WAIT_SECONDS = 1.0
# Part of the store's history that a watch may wait. A watch that outlasts the
# history has to start again with a list.
MAX_WAIT_HISTORY_SHARE = 0.7


class StoreView:
    """Watches the store and publishes its changes to other routers.

    :param Placement placement: name, addresses and bounds of the router.
    :param Tuning tuning: settings of the operators.
    :param translator: translates between a platform's objects and the
        router's types.
    :param freshness: :class:`freshness.Freshness` of the configuration.
    :param endpoint_freshness: :class:`freshness.Freshness` of the endpoints.
    :param releases: :class:`releases.Releases`.
    :param ignored: :class:`ignored.IgnoredEntries`.
    :param departure_news.DepartureNews news: exchanged with other routers.
    """

    def __init__(
        self,
        placement,
        tuning,
        translator,
        freshness,
        endpoint_freshness,
        releases,
        ignored,
        news,
    ):
        self.ignored = ignored
        self.placement = placement
        self.tuning = tuning
        self.translator = translator
        self.freshness = freshness
        self.endpoint_freshness = endpoint_freshness
        self.releases = releases
        self.store = client.ObjectClient(
            placement.store,
            tuning.store_timeout,
            placement.name,
            translator.dialect,
            ignored,
        )
        kinds = translator.kinds
        self.members = members.Members(own_member(placement))
        self.change_logs = {
            kind: change_log.ChangeLog()
            for kind in (kinds.configuration, kinds.endpoints, kinds.orders)
        }
        self.outages = outages.OutageTracker(placement.bounds)
        self.restored_orders = restored_orders.RestoredOrders(
            releases, self.outages
        )
        self.follows_drains = placement.bounds.domain_drain_seconds > 0.0
        self.build_peers(news)
        self.watchers = ()
        self.verdict_writer = None

    def begin_generation(self):
        """Prepare for lists that may lack what was written lately."""
        self.outages.record_failure(self.outages.clock())
        self.restored_orders.begin_generation()

    def build_peers(self, news):
        """Create what finds other routers and exchanges changes with them."""
        self.store.generations.listeners.append(self.begin_generation)
        kinds = self.translator.kinds
        shared_pacing = make_pacing(self.placement.bounds)
        self.source = source.ChangeSource(
            self.store,
            self.members,
            shared_pacing,
            kinds.configuration,
            self.outages,
            news,
        )
        self.publisher = publisher.Publisher(
            self.change_logs,
            {
                kinds.configuration: self.freshness,
                kinds.endpoints: self.endpoint_freshness,
                kinds.orders: self.freshness,
            },
            shared_pacing,
            self.outages,
            self.members,
            self.releases,
            news,
            kinds.endpoints,
        )
        self.source.generations = self.store.generations
        self.publisher.generations = self.store.generations
        self.discovery = discovery.PeerDiscovery(
            self.store,
            kinds.routers,
            self.members,
            self.translator,
            self.placement.first_start,
            self.ignored,
        )
        self.evidence_reporter = evidence.EvidenceReporter(
            self.releases, self.members, self.source, news
        )

    def build_watchers(self, configuration, runners):
        """Build the watchers that update the router's state.

        :param configuration: :class:`ingress.ConfigurationHolder`.
        :param runners: :class:`runners.RunnerTable`.
        """
        kinds = self.translator.kinds
        timings = self.watch_timings(self.placement.bounds)
        primary = self.make_watcher(
            kinds.configuration,
            timings[0],
            receivers.ConfigurationReceiver(
                configuration, self.freshness, self.translator, self.ignored
            ),
        )
        endpoints = receivers.EndpointReceiver(
            runners,
            self.translator,
            self.outages,
            self.endpoint_freshness,
            self.ignored,
        )
        orders = receivers.OrderReceiver(
            self.releases,
            self.translator,
            self.ignored,
            self.restored_orders,
        )
        self.watchers = (
            primary,
            self.make_watcher(kinds.endpoints, timings[1], endpoints, primary),
            self.make_watcher(kinds.orders, timings[2], orders, primary),
        )
        if self.follows_drains:
            self.watchers += (self.make_drain_watcher(runners, timings[3]),)
        self.verdict_writer = self.make_verdict_writer()

    def make_verdict_writer(self):
        """Return what writes the states of orders."""
        return verdicts.VerdictWriter(
            self.store,
            self.releases,
            self.translator,
            self.members,
            self.outages,
            self.restored_orders,
        )

    def make_drain_watcher(self, runners, timings):
        """Return the watcher of orders to drain failure domains.

        Its polls wait as long at other routers as at the store, to be few.
        It makes no calls to catch up with another watcher.
        """
        kind = self.translator.kinds.drains
        runners.drains.await_list()
        self.change_logs[kind] = change_log.ChangeLog()
        self.publisher.freshness[kind] = runners.drains.freshness
        self.publisher.max_ages[kind] = self.max_drain_age(timings)
        self.source.long_kinds = frozenset((kind,))
        receiver = receivers.DrainReceiver(
            runners, self.translator, self.ignored, self.outages
        )
        return self.make_watcher(kind, timings, receiver, self.watchers[0])

    def max_drain_age(self, timings):
        """Return the age above which no orders to drain are published.

        A poll of the store that is not answered by then has failed.
        """
        return timings.wait_seconds + self.tuning.store_timeout

    def drain_timings(self, bounds, longest_wait):
        """Return the timings of the watcher of orders to drain, in a tuple.

        If the connection of a poll is silent, the poll fails after its wait
        and a timeout, and the next one brings the change within the bound.
        There are none if such orders are not followed.

        :param float longest_wait: longest wait of any poll.
        """
        if not self.follows_drains:
            return ()
        started_with = self.placement.bounds.domain_drain_seconds
        wait = (
            (bounds.domain_drain_seconds or started_with)
            - outages.PROPAGATION_RESERVE_SECONDS
            - self.tuning.store_timeout
            - kind_watcher.MAX_RETRY_SECONDS
            - router_client.TIMEOUT_SECONDS
        )
        wait = max(MIN_DRAIN_WAIT_SECONDS, min(wait, longest_wait))
        return (kind_watcher.WatchTimings(wait, confirm_changes=True),)

    def watch_timings(self, bounds):
        """Return the timings of the watchers, in their order.

        Each response to the primary watcher confirms the endpoints too, so
        that its wait is limited by the bound on departures.
        """
        propagation_seconds = (
            bounds.leave_seconds - outages.PROPAGATION_RESERVE_SECONDS
        )
        primary_wait = min(
            self.tuning.configuration_wait,
            max(MIN_PRIMARY_WAIT_SECONDS, propagation_seconds),
        )
        orders = kind_watcher.WatchTimings(
            min(
                self.tuning.object_wait,
                MAX_WAIT_HISTORY_SHARE * bounds.history_seconds,
            ),
            OBJECT_COALESCE_SECONDS,
            stale_seconds=STALE_ORDERS_SECONDS,
        )
        return (
            kind_watcher.WatchTimings(primary_wait, confirm_changes=True),
            dataclasses.replace(orders, stale_seconds=STALE_ENDPOINTS_SECONDS),
            orders,
            *self.drain_timings(bounds, orders.wait_seconds),
        )

    def set_bounds(self, bounds):
        """Apply bounds that have changed to all waits."""
        self.outages.set_bounds(bounds)
        self.source.pacing = self.publisher.pacing = make_pacing(bounds)
        for watcher, timings in zip(
            self.watchers, self.watch_timings(bounds), strict=True
        ):
            watcher.timings = timings
        if self.follows_drains:
            kind = self.translator.kinds.drains
            self.publisher.max_ages[kind] = self.max_drain_age(
                self.watchers[-1].timings
            )
        if (bounds.domain_drain_seconds > 0.0) != self.follows_drains:
            logs.bind(step='reload', peer=self.placement.name).warning(
                'drains of failure domains are switched at the next start'
            )

    def make_watcher(self, kind, timings, receiver, primary=None):
        """Return the watcher of a kind."""
        return kind_watcher.KindWatcher(
            self.source,
            kind,
            timings,
            receiver,
            primary,
            self.change_logs[kind],
            ignored_entries=self.ignored,
        )

    async def start_tasks(self, supervisor):
        """Start the tasks that follow the store and the other routers.

        :param supervisor: :class:`supervision.Supervisor`.
        :returns: the tasks.
        """
        peer = self.store.peer
        steps = (
            *((f'follow {each.kind}', each.run) for each in self.watchers),
            ('write verdicts', self.verdict_writer.run),
            ('discover routers', self.discovery.run),
        )
        tasks = [
            await supervisor.spawn(step, peer, run) for step, run in steps
        ]
        report = self.evidence_reporter.run
        tasks.append(
            await supervisor.spawn('report evidence', 'routers', report)
        )
        return tasks

    async def deregister(self):
        """Deregister at the store; stop publishing to other routers."""
        self.publisher.stopping = True
        await self.discovery.deregister()


def make_pacing(bounds):
    """Return the :class:`pacing.Pacing` within all bounds, or None."""
    return pacing.make_pacing(min(bounds.apply_seconds, bounds.leave_seconds))


def own_member(placement):
    """Return this router as a member."""
    return members.Member(
        placement.name,
        placement.failure_domain,
        placement.routers.host,
        placement.routers.port,
        placement.link_mbps,
    )
