"""Control plane of one daemon: gossip with peers and the platform watch."""

import random
import time

import curio

from celeryward.daemons import bridge
from celeryward.daemons import client
from celeryward.daemons import gossip
from celeryward.daemons import membership
from celeryward.daemons import server
from celeryward import logs
from celeryward import supervision

# Part of a round by which its length varies, so that the rounds of daemons
# that started together do not stay synchronised.
ROUND_JITTER = 0.2
# A seed that does not respond must not keep a daemon from the platform.
SEED_TIMEOUT_SECONDS = 5.0


class ControlPlane:
    """Runs the tasks of one daemon that communicate with its peers.

    :param settings.Settings settings: checked settings.
    :param str owner: unique name of this run of the daemon.
    :param configuration: :class:`ConfigurationStore`.
    :param watcher: :class:`ConfigurationWatcher`, run while this daemon is
        a watch holder.
    :param copy_handler: handler of copies of bills, such as
        :class:`copies.CopyHandler`.
    :param clock: function that returns UTC seconds.
    :param make_bridge: class of the bridge.
    :param supervisor: :class:`supervision.Supervisor`.
    """

    def __init__(
        self,
        settings,
        owner,
        configuration,
        watcher,
        copy_handler,
        clock=time.time,
        make_bridge=bridge.Bridge,
        supervisor=None,
    ):
        self.supervisor = supervisor or supervision.Supervisor()
        self.round_seconds = settings.timings.gossip_interval
        self.settings = settings
        self.owner = owner
        self.configuration = configuration
        self.watcher = watcher
        self.copy_handler = copy_handler
        self.clock = clock
        self.random = random.Random(owner)
        self.bridge = make_bridge(settings.peers.host, settings.peers.port)
        self.announcer = None
        self.members = None
        self.gossip = None
        self.peers = None
        self.watch_task = None
        self.server_task = None
        self.tasks = []
        self.pending_changes = []
        self.has_pending_changes = curio.UniversalEvent()
        configuration.listeners.append(self.queue_push)

    async def start(self):
        """Listen for peers, then start the tasks."""
        await self.bridge.start()
        self.members = membership.Membership(
            self.own_member(), self.round_seconds
        )
        seeds = [
            gossip.Contact(seed.host, seed.port)
            for seed in self.settings.seeds
        ]
        self.gossip = gossip.Gossip(
            self.members, self.configuration, seeds, self.random, self.clock
        )
        self.peers = client.Peers(self.bridge, self.gossip)
        peer_server = server.PeerServer(
            self.bridge, self.gossip, self.copy_handler, self.announcer
        )
        self.server_task = await curio.spawn(peer_server.run, daemon=True)
        for step, run in (('gossip', self.run), ('push', self.run_pushes)):
            task = await self.supervisor.spawn(step, 'daemons', run)
            self.tasks.append(task)

    def own_member(self):
        """Return this daemon as a member."""
        settings = self.settings
        return membership.Member(
            owner=self.owner,
            name=settings.name,
            host_name=settings.host_name or settings.name,
            address=settings.peers.host,
            port=self.bridge.port,
            failure_domain=settings.failure_domain,
            started_at=self.clock(),
        )

    async def stop(self):
        """Stop all tasks and close the connections."""
        await self.stop_watch()
        for task in self.tasks:
            await task.cancel()
        if self.peers is not None:
            await self.peers.stop()
        await self.bridge.stop()
        if self.server_task is not None:
            await self.server_task.join()

    async def run(self):
        """Run the rounds of gossip until cancelled."""
        await self.exchange_with_seeds()
        while True:
            await self.run_round()
            jitter = self.random.uniform(-ROUND_JITTER, ROUND_JITTER)
            await curio.sleep(self.round_seconds * (1 + jitter))

    async def exchange_with_seeds(self):
        """Exchange with each seed once before the first round.

        A starting daemon thus learns of running ones, and does not become a
        watch holder only because it knows no other member.
        """
        started = [
            await self.peers.exchange(seed) for seed in self.gossip.seeds
        ]
        async with curio.ignore_after(SEED_TIMEOUT_SECONDS):
            for done in started:
                await done.unwrap()

    async def run_round(self):
        """Run one round: heartbeat, failure detection, watch, exchanges."""
        self.members.advance_heartbeat()
        for member in self.members.mark_dead():
            logs.bind(step='membership', peer=member.name).info(
                'peer is dead: {}', member.owner
            )
            await self.supervisor.spawn(
                'take over bills',
                member.name,
                self.copy_handler.owner_died,
                member.owner,
            )
        await self.update_watch()
        for contact in self.gossip.choose_contacts():
            await self.peers.exchange(contact)
        await self.peers.send_releases()
        await self.announce()

    async def announce(self):
        """Send the announcements of this daemon and those to relay."""
        if self.announcer is None:
            return
        announced = self.announcer.collect()
        if announced:
            await self.peers.announce(announced)

    async def update_watch(self):
        """Start or stop the platform watch if the watch holders changed."""
        holds = self.members.holds_watch()
        if holds and self.watch_task is None:
            logs.bind(step='watch', peer=self.watcher.client.peer).info(
                'this daemon holds a watch for its failure domain'
            )
            self.watch_task = await self.supervisor.spawn(
                'watch', self.watcher.client.peer, self.watcher.run
            )
        elif not holds:
            await self.stop_watch()

    async def stop_watch(self):
        """Stop the watch, if this daemon holds one."""
        if self.watch_task is not None:
            watch_task, self.watch_task = self.watch_task, None
            await watch_task.cancel()

    def queue_push(self, changes):
        """Queue changes that the store accepted, whatever their source."""
        self.pending_changes += changes
        self.has_pending_changes.set()

    async def run_pushes(self):
        """Push queued changes to a few peers.

        Sets that are too large are left to anti-entropy.
        """
        while True:
            await self.has_pending_changes.wait()
            self.has_pending_changes.clear()
            changes, self.pending_changes = self.pending_changes, []
            if len(changes) <= gossip.MAX_PUSHED_CHANGES:
                await self.peers.push(changes, self.watch_task is not None)
