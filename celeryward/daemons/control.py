"""The control traffic of one daemon: gossip, watch duty and peers."""

import random
import time

import curio

from celeryward.daemons import bridge
from celeryward.daemons import client
from celeryward.daemons import gossip
from celeryward.daemons import membership
from celeryward.daemons import server
from celeryward import logs

# Rounds are spread out, so that daemons started together do not stay in step.
JITTER = 0.2
# A seed that is silent must not keep a daemon from the platform.
JOIN_SECONDS = 5.0


class Control:
    """Starts and joins the parts that talk to other daemons.

    :param settings.Settings settings: checked settings.
    :param str owner: unique name of this run of the daemon.
    :param configuration: :class:`ConfigurationStore`.
    :param watcher: :class:`Watcher`, run while this daemon holds the watch.
    :param copy_handler: handler of copies of bills.
    :param clock: function that returns UTC seconds.
    :param make_bridge: class of the bridge.
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
    ):
        self.interval = settings.timings.gossip_interval
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
        self.watching = None
        self.serving = None
        self.tasks = []
        self.accepted = []
        self.has_accepted = curio.UniversalEvent()
        configuration.listeners.append(self.note_accepted)

    async def start(self):
        """Listen, then start the tasks."""
        await self.bridge.start()
        self.members = membership.Membership(self.describe(), self.interval)
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
        self.serving = await curio.spawn(peer_server.run, daemon=True)
        for run in (self.run, self.run_pushes):
            self.tasks.append(await curio.spawn(run, daemon=True))

    def describe(self):
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
        """End all tasks and close the connections."""
        await self.stop_watch()
        for task in self.tasks:
            await task.cancel()
        if self.peers is not None:
            await self.peers.stop()
        await self.bridge.stop()
        if self.serving is not None:
            await self.serving.join()

    async def run(self):
        """Run the rounds of gossip until cancelled."""
        await self.join()
        while True:
            await self.run_round()
            jitter = self.random.uniform(-JITTER, JITTER)
            await curio.sleep(self.interval * (1 + jitter))

    async def join(self):
        """Exchange with the seeds once before the first round.

        A daemon that starts beside running ones learns of them first, so
        that it does not hold a watch only because it knows nobody.
        """
        started = [
            await self.peers.exchange(seed) for seed in self.gossip.seeds
        ]
        async with curio.ignore_after(JOIN_SECONDS):
            for done in started:
                await done.unwrap()

    async def run_round(self):
        """Run one round: heartbeat, deaths, watch duty and exchanges."""
        self.members.advance_heartbeat()
        for member in self.members.mark_dead():
            logs.bind(step='membership', peer=member.name).info(
                'peer is dead: {}', member.owner
            )
            await curio.spawn(
                self.copy_handler.owner_died, member.owner, daemon=True
            )
        await self.adjust_watch()
        for contact in self.gossip.choose_contacts():
            await self.peers.exchange(contact)
        await self.peers.send_releases()
        await self.announce()

    async def announce(self):
        """Send what is new of this daemon and what peers announced."""
        if self.announcer is None:
            return
        announced = self.announcer.collect()
        if announced:
            await self.peers.announce(announced)

    async def adjust_watch(self):
        """Start or end the watch at the platform, as membership says."""
        holds = self.members.holds_watch()
        if holds and self.watching is None:
            logs.bind(step='watch', peer=self.watcher.client.peer).info(
                'this daemon holds a watch for its failure domain'
            )
            self.watching = await curio.spawn(self.watcher.run, daemon=True)
        elif not holds:
            await self.stop_watch()

    async def stop_watch(self):
        """End the watch, if this daemon holds one."""
        if self.watching is not None:
            watching, self.watching = self.watching, None
            await watching.cancel()

    def note_accepted(self, changes):
        """Queue changes that the store accepted, from whatever source."""
        self.accepted += changes
        self.has_accepted.set()

    async def run_pushes(self):
        """Push accepted changes to a few peers."""
        while True:
            await self.has_accepted.wait()
            self.has_accepted.clear()
            changes, self.accepted = self.accepted, []
            if len(changes) <= gossip.MAX_PUSHED_CHANGES:
                await self.peers.push(changes, self.watching is not None)
