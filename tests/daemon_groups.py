"""Control planes of several daemons in one process, for tests."""

import curio
import result

from celeryward.daemons import control
from celeryward.objects import client
from celeryward.objects import configuration
from celeryward.objects import configuration_watcher
from celeryward.objects import protocol as objects
from celeryward import settings
from celeryward.standins import platform

OBJECT = objects.StoredObject('Customer', 'a', {'allowed': ['m']}, 5)
POLL_SECONDS = 0.02
# A daemon is dead after 10 rounds, which must be long even on a busy host.
TIMINGS = settings.Timings(gossip_interval=0.2)


async def wait_until(condition):
    """Wait for a condition; the time limit of the test bounds it."""
    while not condition():
        await curio.sleep(POLL_SECONDS)


class RecordingCopyHandler:
    """Handler that records the copies and deaths that it is told of."""

    def __init__(self):
        self.kept = {}
        self.dead = []

    def keep(self, owner, bills):
        for bill in bills:
            self.kept[owner, bill.id] = bill
        return result.Ok(None)

    def release(self, owner, bill_ids):
        for bill_id in bill_ids:
            self.kept.pop((owner, bill_id), None)

    async def owner_died(self, owner):
        self.dead.append(owner)


class Daemon:
    """The control plane of one daemon, with its own store and watcher."""

    def __init__(self, name, domain, port, seeds=(), copies=None):
        checked = settings.Settings(
            name=name,
            failure_domain=domain,
            platform=settings.Address(port=port),
            seeds=list(seeds),
            timings=TIMINGS,
        )
        self.store = configuration.ConfigurationStore()
        self.client = client.ObjectClient(checked.platform, 3.0, name)
        self.copies = copies or RecordingCopyHandler()
        self.control = control.ControlPlane(
            checked,
            f'{name}-run',
            self.store,
            configuration_watcher.ConfigurationWatcher(
                self.client, self.store
            ),
            self.copies,
        )

    @property
    def holds_watch(self):
        return self.control.watch_task is not None

    def seed(self):
        return settings.Address(port=self.control.bridge.port)


class DaemonGroup:
    """A platform stand-in and daemons, started one after another."""

    def __init__(self):
        self.platform = platform.PlatformStandIn()
        self.daemons = []

    async def add(self, name, domain, copies=None):
        seeds = [self.daemons[0].seed()] if self.daemons else []
        port = self.platform.port
        started = Daemon(name, domain, port, seeds, copies)
        await started.control.start()
        self.daemons.append(started)
        return started

    async def add_all(self, domains, daemons_per_domain):
        for number in range(domains * daemons_per_domain):
            await self.add(f'd{number}', f'f{number % domains}')
        await wait_until(self.all_known)

    def all_known(self):
        expected = len(self.daemons) - 1
        return all(
            len(entry.control.members.live()) == expected
            for entry in self.daemons
        )

    async def stop_rounds(self):
        """Stop the rounds, so that a busy host can't make peers look dead."""
        for daemon in self.daemons:
            for task in daemon.control.tasks:
                await task.cancel()

    def holders(self, domain):
        return [
            entry
            for entry in self.daemons
            if entry.control.settings.failure_domain == domain
            and entry.holds_watch
        ]

    def all_hold(self, revision):
        return all(
            entry.store.revisions.get(OBJECT.key) == revision
            for entry in self.daemons
        )

    def all_confirmed(self):
        return all(entry.store.confirmed_at > 0.0 for entry in self.daemons)

    async def kill(self, daemon):
        self.daemons.remove(daemon)
        await daemon.control.stop()


def run_with_group(run, test):
    """Run a test with a started platform.

    :param run: function that runs a coroutine function in a new kernel.
    """

    async def body():
        group = DaemonGroup()
        await group.platform.start()
        try:
            await test(group)
        finally:
            for daemon in list(group.daemons):
                await group.kill(daemon)
            await group.platform.stop()

    run(body)
