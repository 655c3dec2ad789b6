"""Outdated orders that take effect, with and without the lease checks.

Three daemons with clocks of different rates contend for one lease and are
paused at random, also between a check and the send that follows it.
"""

import argparse
import collections
import dataclasses
import random

import curio

from celeryward import catalog
from celeryward import deadlines
from celeryward.endpoints import orders
from celeryward import logs
from celeryward.objects import leases
from tests import fakes

TICK_SECONDS = 0.5
DAEMONS = 3
CLOCK_RATE_SPREAD = 0.02
PAUSES_PER_SECOND = 0.01
# Part of the orders before whose send the sender is paused.
PAUSED_SENDS = 0.01
ENDPOINT = {
    fencing: catalog.Endpoint('e', '', 0, 'd', fencing=fencing)
    for fencing in catalog.Fencing
}


@dataclasses.dataclass(frozen=True, slots=True)
class Protection:
    """How a holder decides to send, and how the endpoint behaves."""

    name: str
    checked: bool
    fencing: catalog.Fencing


PROTECTIONS = (
    Protection('no checks', False, catalog.Fencing.IGNORED),
    Protection(
        'lease checked, fencing ignored', True, catalog.Fencing.IGNORED
    ),
    Protection(
        'lease checked, fencing enforced', True, catalog.Fencing.ENFORCED
    ),
)


class Contender:
    """One daemon with its own clock and pauses."""

    def __init__(self, objects, clock, index, chance):
        self.clock = clock
        self.lease = leases.Leadership(objects, 'rollouts', f'd{index}')
        self.rate = 1 + chance.uniform(-CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD)
        self.paused_until = 0.0
        self.step_at = 0.0

    async def run_until(self, now):
        """Renew or take the lease if that is due."""
        self.clock.now = now * self.rate
        if now >= self.step_at:
            await self.lease.renew_or_acquire()
            held = self.lease.grant is not None
            wait = leases.RENEWAL_SECONDS if held else leases.DURATION_SECONDS
            self.step_at = now + wait

    def fence_after_pause(self, now, protection):
        """Return the fencing number to send with at a time, or None.

        It is asked before the lease task runs again, as it would be by a
        daemon that resumes after a pause.
        """
        self.clock.now = now * self.rate
        grant = self.lease.grant
        if not protection.checked:
            return grant.fence if grant else None
        if self.lease.current_grant(orders.SEND_MARGIN_SECONDS).is_err():
            return None
        ready = orders.earliest_send(
            ENDPOINT[protection.fencing], grant
        ).expired()
        return grant.fence if ready else None


class Simulation:
    """One run of all daemons and one endpoint."""

    def __init__(self, seed, protection, longest_pause):
        self.longest_pause = longest_pause
        self.chance = random.Random(seed)
        self.protection = protection
        self.clock = fakes.Clock()
        deadlines.time = self.clock
        self.objects = fakes.ObjectClient()
        self.daemons = [
            Contender(self.objects, self.clock, number, self.chance)
            for number in range(DAEMONS)
        ]
        self.counts = collections.Counter()
        self.delayed = []
        self.highest = 0

    async def run(self, seconds):
        """Return counts of orders by their outcome."""
        now = 0.0
        while now < seconds:
            now += TICK_SECONDS
            for fence in await self.send_all(now):
                self.arrive(fence)
        self.counts['takeovers'] = self.newest_fence()
        return self.counts

    async def send_all(self, now):
        """Return the fencing numbers of the orders that arrive now."""
        arriving = [fence for at, fence in self.delayed if at <= now]
        self.delayed = [one for one in self.delayed if one[0] > now]
        for daemon in self.daemons:
            if self.chance.random() < PAUSES_PER_SECOND * TICK_SECONDS:
                self.pause(daemon, now)
            if daemon.paused_until > now:
                continue
            fence = daemon.fence_after_pause(now, self.protection)
            await daemon.run_until(now)
            if fence is None:
                continue
            self.counts['sent'] += 1
            if self.chance.random() < PAUSED_SENDS:
                self.pause(daemon, now)
                self.delayed.append((daemon.paused_until, fence))
            else:
                arriving.append(fence)
        return arriving

    def pause(self, daemon, now):
        """Pause a daemon for a random time."""
        until = now + self.chance.uniform(0.0, self.longest_pause)
        daemon.paused_until = max(daemon.paused_until, until)

    def arrive(self, fence):
        """Execute or refuse an order at the endpoint.

        An outdated order that arrives before the first one of the newest
        holder is corrected when that one reads the state back.
        """
        enforced = self.protection.fencing is catalog.Fencing.ENFORCED
        if enforced and fence < self.highest:
            self.counts['refused'] += 1
            return
        self.counts['outdated'] += fence < self.newest_fence()
        self.counts['after the new holder acted'] += fence < self.highest
        self.highest = max(self.highest, fence)

    def newest_fence(self):
        """Return the fencing number of the stored lease."""
        lease = self.objects.stored.get((leases.LEASE_KIND, 'rollouts'))
        return lease.spec['fence'] if lease else 0


def main():
    """Print one line for each protection."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=100_000.0)
    parser.add_argument('--longest-pause', type=float, default=40.0)
    asked = parser.parse_args()
    logs.configure('CRITICAL', 'text')
    for protection in PROTECTIONS:
        simulation = Simulation(asked.seed, protection, asked.longest_pause)
        counts = curio.run(simulation.run, asked.seconds)
        found = ', '.join(f'{name} {n}' for name, n in counts.items())
        print(f'seed {asked.seed} {protection.name}: {found}')


if __name__ == '__main__':
    main()
