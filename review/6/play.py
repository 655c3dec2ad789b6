"""Runners that leave while the store cuts off waiting watches."""

import asyncio
import collections
import importlib.util
import pathlib
import random
import time

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / 'record.txt'
SPEC = importlib.util.spec_from_file_location(
    'site_standins', FOLDER.parent / 'standins-2' / 'site.py'
)
site_standins = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(site_standins)

ROUTERS = 2
# A quarter of the runners leaves.
RUNNERS = 12
LEAVING = 3
CLIENTS_PER_ROUTER = 12
# A runner works so long on each order.
ORDER_SECONDS = 0.3
# `drainMs`, and how much longer a leaving runner serves.
DRAIN_SECONDS = 2.0
LONGER_SECONDS = 0.3
# Of the stand-ins, which measure in one process.
MEASURE_SECONDS = 0.02
# The waiting watches are cut off twice, so long after each other; a runner
# leaves between the two.
CUT_SECONDS = 0.4
LEAVE_AFTER_SECONDS = (0.05, 0.3)
REST_SECONDS = 4.0


async def order(runner, arrival):
    """Work on an order for a while, then answer."""
    await asyncio.sleep(ORDER_SECONDS)
    return runner.sealed(arrival)


class Clients:
    """Clients that send one order after the other."""

    def __init__(self, site):
        self.site = site
        self.outcomes = {}
        self.ended = False

    async def run(self, router, client):
        """Send orders to one router until told to end."""
        number = 0
        while not self.ended:
            number += 1
            name = f'order-{router.number}-{client}-{number}'
            headers = site_standins.request_headers(name, deadline_ms=2500)
            self.site.record.line(f'client {name} sends an order')
            got = await site_standins.call(
                router.callers, 'POST', '/order/x', headers
            )
            self.outcomes[name] = got.status
            self.site.record.line(f'client {name} got {got.status}')


async def cut_twice(store):
    """Cut off the watches that wait, and the ones that follow them."""
    await store.cut_watches()
    await asyncio.sleep(CUT_SECONDS)
    await store.cut_watches()


async def leave(site, runner):
    """Let a runner leave without `draining`; return when it was accepted."""
    cutting = None
    if site_standins.with_trouble():
        cutting = asyncio.create_task(cut_twice(site.store))
    await asyncio.sleep(random.uniform(*LEAVE_AFTER_SECONDS))
    await site.store.delete('servers', runner.name)
    accepted_at = time.monotonic()
    await asyncio.sleep(DRAIN_SECONDS + LONGER_SECONDS)
    runner.leave()
    if cutting is not None:
        await cutting
    await asyncio.sleep(REST_SECONDS)
    return accepted_at


def find_late(site, runner, accepted_at):
    """Return the ids of the orders that a runner got after `drainMs`."""
    border = accepted_at + DRAIN_SECONDS + MEASURE_SECONDS
    late = [each for each in runner.arrivals if each.at > border]
    latest = max((each.at for each in runner.arrivals), default=accepted_at)
    site.record.line(
        f'{runner.name}: last order {latest - accepted_at:.2f} s after its'
        f' entry was removed, {len(late)} after drainMs'
    )
    return [each.id for each in late]


async def play():
    """Play the case; return whether the rule held."""
    site = site_standins.Site(RECORD)
    runners = [
        site_standins.Runner(site.record, f'app-{n}', 'app', order)
        for n in range(RUNNERS)
    ]
    route = site_standins.route('order', 'non_idempotent', 'app')
    spec = site_standins.configuration(1, [route], ['app'])
    clients = Clients(site)
    late = []
    try:
        await site.start(runners, spec, ROUTERS)
        tasks = [
            asyncio.create_task(clients.run(router, client))
            for router in site.routers
            for client in range(CLIENTS_PER_ROUTER)
        ]
        await asyncio.sleep(REST_SECONDS)
        for runner in runners[:LEAVING]:
            accepted_at = await leave(site, runner)
            late += find_late(site, runner, accepted_at)
        clients.ended = True
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    cut = [name for name in late if clients.outcomes.get(name) != 200]
    text = (
        f'orders after drainMs: {len(late)}, of these cut: {len(cut)};'
        f' answers {dict(collections.Counter(clients.outcomes.values()))}'
    )
    site.record.line(text)
    print(text)
    return not late


if __name__ == '__main__':
    site_standins.run(play)
