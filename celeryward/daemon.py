"""Composition root of a daemon: builds its components and runs its tasks."""

import functools
import random
import time
import uuid

import curio

from celeryward import awake_clock
from celeryward import bodies
from celeryward.callers import idempotency
from celeryward.callers import request_handler
from celeryward.callers import server
from celeryward.callers import sessions
from celeryward import closings
from celeryward import completion
from celeryward import connection_limits
from celeryward.daemons import bridge
from celeryward.daemons import control
from celeryward.daemons import copies
from celeryward.daemons import topics
from celeryward import deadlines
from celeryward.endpoints import candidates
from celeryward.endpoints import dispatch
from celeryward.endpoints import fingerprints
from celeryward.endpoints import liveness
from celeryward.endpoints import load
from celeryward.endpoints import order_sender
from celeryward.endpoints import orders
from celeryward.endpoints import pool
from celeryward.endpoints import prober
from celeryward.endpoints import recovery
from celeryward import listener
from celeryward import logs
from celeryward import memory_account
from celeryward import memory_bounds
from celeryward import metrics
from celeryward.objects import billing
from celeryward.objects import claim_store
from celeryward.objects import client
from celeryward.objects import configuration
from celeryward.objects import configuration_watcher
from celeryward.objects import flusher
from celeryward.objects import hosts
from celeryward.objects import ignored
from celeryward.objects import leases
from celeryward.objects import replicas
from celeryward.objects import window_publisher
from celeryward.operators import admin
from celeryward.raters import client as rater_client
from celeryward.raters import controller
from celeryward.raters import observer
from celeryward.raters import quality
from celeryward.raters import rollouts
from celeryward.raters import runner
from celeryward.raters import sampler
from celeryward import signals
from celeryward import stopping
from celeryward import supervision

FLUSH_RETRY_SECONDS = 0.2
LEASE_NAME = 'rollouts'
# Shared by all loads of weights, because the weight store bounds their rate.
WEIGHT_LOADS_PER_SECOND = 0.2
WEIGHT_LOAD_BURST = 2


def new_id():
    """Return a new unique id."""
    return uuid.uuid4().hex


class Daemon:
    """The components and tasks of one daemon.

    :param settings.Settings settings: checked settings.
    :param new_id: function that returns unique ids.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, settings, new_id=new_id, clock=time.time):
        self.settings = settings
        self.clock = clock
        self.metrics = metrics.Metrics()
        self.limits = connection_limits.derive_for_daemon(
            connection_limits.Host(0.0, connection_limits.own_descriptors()),
            settings.connections,
        )
        memory_bounds.apply(
            memory_account.derive(
                settings.memory_megabytes, bodies.MAX_BODY_BYTES
            )
        )
        self.stop_state = stopping.StopState()
        self.supervisor = supervision.Supervisor(
            self.metrics.count_task_failure
        )
        self.build_configuration()
        # The owner name is unique for each run, so that a restarted daemon
        # never reuses the name of an earlier batch. Peers identify this run
        # by the same name, see peer_died.
        self.ledger = billing.Ledger(f'{settings.name}-{new_id()[:12]}')
        self.build_billing()
        self.build_endpoints()
        rater = rater_client.RaterClient(
            settings.raters, settings.timings.rating_timeout
        )
        self.learner = quality.Learner(random.Random(settings.name))
        self.rating_sampler = sampler.Sampler(rater, self.learner)
        self.build_rollouts()
        self.request_handler = self.build_request_handler(
            settings, clock, new_id
        )
        self.build_listeners(new_id)
        self.control.announcer = topics.make_announcer(
            self, self.control.random
        )
        # Tasks by what they do.
        self.tasks = {}
        self.stopped = False

    def build_configuration(self):
        """Build the client of the platform and what follows its objects."""
        entries = ignored.IgnoredEntries(self.metrics.count_ignored_entry)
        self.configuration = configuration.ConfigurationStore(entries)
        self.client = client.ObjectClient(
            self.settings.platform,
            self.settings.timings.platform_timeout,
            self.settings.name,
            ignored_entries=entries,
        )
        self.watcher = configuration_watcher.ConfigurationWatcher(
            self.client, self.configuration, self.clock
        )

    def build_billing(self):
        """Build bills, their copies at peers, and claims."""
        self.replicas = replicas.Replicas()
        self.claims = claim_store.ClaimStore(self.client, self.clock)
        self.control = control.ControlPlane(
            self.settings,
            self.ledger.owner,
            self.configuration,
            self.watcher,
            copies.CopyHandler(self.replicas, self.peer_died),
            self.clock,
            functools.partial(
                bridge.Bridge,
                limits=self.limits['peers'],
                closed=self.make_closings('peers'),
            ),
            self.supervisor,
        )
        self.ledger.peers = copies.CopySender(self.control)
        self.flusher = flusher.Flusher(
            self.ledger,
            self.client,
            self.settings.timings.flush_interval,
            self.replicas,
            self.claims,
        )

    def build_endpoints(self):
        """Build the state of endpoints and the dispatcher of requests."""
        timings = self.settings.timings
        self.load = load.LoadView()
        self.liveness = liveness.Liveness()
        self.host_watcher = hosts.HostWatcher(
            self.client, self.configuration, self.liveness
        )
        self.pool = pool.EndpointPool(timings)
        self.endpoint_view = candidates.EndpointView(
            self.settings.failure_domain,
            self.load,
            self.liveness,
            self.settings.ranking,
        )
        self.prober = prober.Prober(
            self.configuration,
            self.pool,
            self.endpoint_view,
            timings,
            self.supervisor,
        )
        self.suspect_requests = fingerprints.SuspectRequests()
        self.recovery = recovery.Recovery(
            self.endpoint_view,
            self.pool,
            self.prober,
            self.suspect_requests,
            self.metrics,
        )
        self.dispatcher = dispatch.Dispatcher(
            self.configuration,
            self.endpoint_view,
            self.pool,
            timings,
            self.recovery,
            completion.CompletionCheck(self.stop_state),
        )

    def build_listeners(self, new_id):
        """Build the front ends of callers and operators.

        :param new_id: function that returns unique ids.
        """
        self.publisher = window_publisher.WindowPublisher(
            self.request_handler.recorder, self.client, self.clock
        )
        self.caller_server = server.CallerServer(
            self.request_handler,
            self.settings.timings,
            new_id,
            self.stop_state,
        )
        self.listener = listener.Listener(
            self.settings.callers.host,
            self.settings.callers.port,
            self.caller_server.handle,
            self.limits['callers'],
            self.make_closings('callers'),
        )
        self.admin_listener = listener.Listener(
            self.settings.admin.host,
            self.settings.admin.port,
            admin.AdminHandler(self).handle,
            self.limits['admin'],
            self.make_closings('admin'),
        )

    def make_closings(self, name):
        """Return what counts and logs the closed connections.

        :param str name: name of the listener.
        """
        return closings.Closings(name, self.metrics.count_closed_connection)

    def build_rollouts(self):
        """Build the components that compare versions and run roll-outs."""
        self.comparisons = rollouts.Comparisons()
        comparison_observer = observer.Observer(
            self.configuration, self.comparisons, self.rating_sampler
        )
        self.rating_sampler.listener = comparison_observer.rated
        self.dispatcher.observer = comparison_observer
        self.recovery.observer = comparison_observer
        source = self.ledger.owner
        self.leadership = leases.Leadership(self.client, LEASE_NAME, source)
        weight_load_bucket = orders.TokenBucket(
            WEIGHT_LOADS_PER_SECOND, WEIGHT_LOAD_BURST
        )
        self.order_sender = order_sender.OrderSender(
            self.leadership, weight_load_bucket
        )
        self.controller = controller.Controller(
            self.client,
            self.leadership,
            self.order_sender,
            self.comparisons,
            source,
        )

    def build_request_handler(self, settings, clock, new_id):
        """Return the handler of callers' requests."""
        return request_handler.RequestHandler(
            self.configuration,
            self.dispatcher,
            sessions.SessionSigner(settings.sessions.signing_keys),
            self.ledger,
            runner.CascadeRunner(
                self.configuration,
                self.dispatcher,
                self.learner,
                self.rating_sampler,
            ),
            self.metrics,
            clock,
            idempotency.IdempotentRunner(self.claims, new_id, clock),
            self.configuration_age,
        )

    def configuration_age(self):
        """Return seconds since the platform confirmed the configuration."""
        return max(0.0, self.clock() - self.configuration.confirmed_at)

    async def peer_died(self, owner):
        """Take over the bills of a dead peer.

        :param str owner: owner name in the ledger of that run of the peer; a
            restarted peer has another one.
        """
        has_due_copies = self.replicas.owner_died(owner)
        has_lost_copies = self.ledger.peer_died(owner)
        # Daemons without copies from or at this peer must not all flush at
        # the same moment.
        if has_due_copies or has_lost_copies:
            await self.flusher.wake()

    async def start(self):
        """Start all tasks; accept callers once a configuration is confirmed.

        It comes from the platform or, if the platform is unreachable or
        other daemons hold the watch, from peers.
        """
        await self.control.start()
        for step, peer, run in (
            ('measure pauses', self.settings.name, awake_clock.CLOCK.run),
            (
                'follow slots',
                'endpoints',
                self.request_handler.model_queues.follow_slots,
            ),
            ('poll hosts', self.client.peer, self.host_watcher.run),
            ('probe endpoints', 'endpoints', self.prober.run),
            ('write bills', self.client.peer, self.flusher.run),
            ('write windows', self.client.peer, self.publisher.run),
            ('rate answers', 'rating service', self.rating_sampler.run),
            ('hold lease', self.client.peer, self.leadership.run),
            ('run roll-outs', self.client.peer, self.controller.run),
        ):
            self.tasks[step] = await self.supervisor.spawn(step, peer, run)
        await self.admin_listener.start()
        await self.configuration.confirmed.wait()
        await self.prober.reconcile_tasks()
        await self.listener.start()
        logs.bind(step='start', peer=self.settings.name).info(
            'daemon listens on port {}', self.listener.port
        )

    async def stop(self, signalled_after=None):
        """Drain and stop.

        New requests are refused as not run, running ones are completed and
        bills are written before the tasks end.

        :param float signalled_after: seconds since the host was booted; the
            signal to stop was not sent before. None for now.
        :returns: the number of requests cut off at the drain deadline.
        """
        if self.stopped:
            return 0
        self.stopped = True
        deadline = self.begin_stop(signalled_after).finish_by
        self.request_handler.stopping = True
        await self.request_handler.refuse_unfinishable()
        await self.listener.stop_accepting()
        await self.caller_server.end_connections(deadline)
        cut_off = await self.caller_server.cut_off_active()
        await self.listener.drain(deadlines.Deadline.after(0.0))
        self.replicas.mark_all_due()
        while not await self.flusher.flush() and not deadline.expired():
            if self.ledger.is_replicated():
                # Peers write the bills once the platform is reachable again.
                break
            await curio.sleep(FLUSH_RETRY_SECONDS)
        await self.publisher.publish()
        for task in self.tasks.values():
            await task.cancel()
        await self.control.stop()
        if self.order_sender.is_idle():
            await self.leadership.release()
        await self.admin_listener.stop_accepting()
        await self.admin_listener.drain(deadlines.Deadline.after(0.0))
        await self.pool.close()
        logs.bind(step='stop', peer=self.settings.name).info(
            'daemon stopped; {} requests cut off', cut_off
        )
        return cut_off

    def begin_stop(self, signalled_after):
        """Begin the stop; return its :class:`stopping.StopSchedule`.

        No request is accepted from now on.
        """
        now = deadlines.BootDeadline.now()
        start = now if signalled_after is None else signalled_after
        schedule = stopping.StopSchedule.counted_from(
            start, 0.0, self.settings.timings.drain_timeout
        )
        self.stop_state.begin(schedule)
        logs.bind(
            step='stop',
            peer=self.settings.name,
            finish_by=round(schedule.finish_by.remaining(), 3),
            late=round(now - start, 3),
        ).info(
            'daemon stops with {} requests under way',
            len(self.caller_server.active),
        )
        return schedule

    async def start_and_print_port(self):
        """Start, then print the callers' port for the supervising process."""
        await self.start()
        print(f'daemon listens on port {self.listener.port}', flush=True)

    async def run(self):
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        with signals.signal_receiver() as receiver:
            await self.supervisor.spawn(
                'look for signals', 'signals', receiver.look_regularly
            )
            starting = await curio.spawn(self.start_and_print_port)
            await receiver.next_signal()
            await starting.cancel()
            return await self.stop(receiver.none_before)
