"""Runners that crash on a part of a prompt, and fleets of routers on them.

Like the stand-ins, this module contains the wire format of the platform.
"""

import contextlib
import dataclasses
import functools
import socket
import time

from adapter import translator
import curio
import h11

from celeryward import errors
from celeryward import http
from celeryward import listener
from celeryward import router
from celeryward import router_settings
from celeryward.standins import base
from tests import fakes
from tests import platform_standins as standins

HARMFUL_PART = 'bad0bad0'
RESTART_SECONDS = 2.0
EVENTS = 6
EVENT_SECONDS = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request that a caller sent.

    :param float at: monotonic seconds.
    :param int status: status of the answer; 0 for none.
    :param bool whole: whether the answer was whole.
    """

    at: float
    harmful: bool
    status: int
    whole: bool
    seconds: float


class CrashingRunner(standins.RunnerStandIn):
    """A runner that crashes during an answer on the harmful part.

    It is back under another id after ``restart_seconds`` of the fleet.

    :param Fleet fleet: counts its crashes.
    :param bool before_head: whether it crashes before the head of the answer,
        not after an event.
    """

    def __init__(self, fleet, runner_id, before_head=False):
        super().__init__(runner_id, events=EVENTS)
        self.fleet = fleet
        self.before_head = before_head
        self.default_action = self.answer_or_crash
        self.number = 0
        self.born = 1700000000000
        self.running = True
        self.repaired = False

    def entry(self, state='ready'):
        """Return the spec of the runner's object in the store."""
        return super().entry(state) | {'born': self.born}

    async def answer_or_crash(self, runner, connection, arrival):
        """Send a stream, or crash where one begins on the harmful part."""
        parts = arrival.head.headers.get('celeryward-prompt-prefix', '')
        harmful = not self.repaired and any(
            part in parts for part in self.fleet.harmful_parts
        )
        if harmful:
            self.fleet.harmful_arrivals.append(time.monotonic())
        await curio.sleep(EVENT_SECONDS)
        if harmful and self.before_head:
            await self.crash()
        first = await standins.begin_stream(runner, connection, arrival)
        for number in range(first, self.events + 1):
            data = standins.event(number)
            await connection.send('answer', h11.Data(data=data))
            if harmful and number >= self.fleet.crash_event:
                await self.crash()
            await curio.sleep(self.fleet.event_seconds)
        await connection.send('answer', h11.EndOfMessage())

    async def crash(self):
        """End all connections and come back later."""
        if self.running:
            self.running = False
            self.fleet.crashes.append(time.monotonic())
            port = self.port
            # A process that ends accepts nothing more, unlike one that stops.
            await self.listener.accept_task.cancel()
            await self.listener.sock.close()
            self.listener.sock = None
            await curio.spawn(self.restart, port, daemon=True)
        raise http.Disconnected('crashed', step='answer', peer='test')

    async def restart(self, port):
        """End all connections, then start under another id."""
        await self.listener.drain(base.deadlines.Deadline.after(0.0))
        await curio.sleep(self.fleet.restart_seconds)
        old_id = self.id
        self.number += 1
        self.id = f'{old_id.partition(".")[0]}.{self.number}'
        self.born += 1000
        self.listener = listener.Listener('127.0.0.1', port, self.handle)
        await self.start()
        self.running = True
        await self.fleet.store.delete('servers', old_id)
        await self.fleet.store.put('servers', self.id, self.entry())


class Fleet:
    """A store, runners and several routers in one kernel.

    :param int routers: number of routers, half of them in each of two
        failure domains if there are more than one.
    """

    def __init__(self, routers=1, runners=10, before_head=False):
        self.store = standins.StoreStandIn()
        self.runners = [
            CrashingRunner(self, f'llm-{number}', before_head)
            for number in range(runners)
        ]
        self.router_count = routers
        self.routers = []
        self.ports = {}
        self.crashes = []
        self.harmful_arrivals = []
        self.harmful_parts = (HARMFUL_PART,)
        self.event_seconds = EVENT_SECONDS
        # Event of an answer on a harmful part after which runners crash.
        self.crash_event = 1
        self.restart_seconds = RESTART_SECONDS
        self.deadline_ms = 3000
        self.sent = []

    async def start(self):
        """Start all parts and wait until the routers are ready."""
        await self.store.start()
        for runner in self.runners:
            await runner.start()
            await self.store.put('servers', runner.id, runner.entry())
        await self.store.put('config', 'main', standins.configuration())
        for number in range(self.router_count):
            await self.start_router(number)
        for each in self.routers:
            await standins.wait_until(each.is_ready)
        await standins.wait_until(
            lambda: all(
                each.view.members.count == self.router_count
                for each in self.routers
            ),
            12.0,
        )

    async def start_router(self, number):
        """Start one router; it replaces an earlier one with its number."""
        local = router_settings.Address('127.0.0.1', 0)
        # Other routers know it by its port, also after a restart.
        port = self.ports.setdefault(number, free_port())
        placement = router_settings.Placement(
            f'router-{number}',
            'ab'[number % 2],
            local,
            local,
            local,
            router_settings.Address('127.0.0.1', self.store.port),
            standins.BOUNDS,
            router_settings.Address('127.0.0.1', port),
            first_start=True,
        )
        tuning = router_settings.Tuning(
            configuration_wait=0.3, object_wait=5.0, stop_accepting_after=0.3
        )
        started = router.Router(placement, tuning, translator.Translator())
        await started.start()
        self.routers[number : number + 1] = [started]
        return started

    async def stop(self):
        """Stop all parts without draining."""
        for each in self.routers:
            await stop_router(each)
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()

    def caller_address(self, index):
        """Return host and port at which a router serves callers."""
        return '127.0.0.1', self.routers[index].listeners.callers.port

    async def send(self, index, path, parts, harmful=False):
        """Send one request to a router; record what became of it."""
        started = time.monotonic()
        status, whole = 0, False
        try:
            connection = await http.connect(
                *self.caller_address(index),
                base.deadlines.Deadline.after(2.0),
            )
            try:
                head, body = await standins.request(
                    connection,
                    path,
                    'POST',
                    b'{}',
                    request_id=f'r-{len(self.sent)}-{started}',
                    celeryward_deadline_ms=str(self.deadline_ms),
                    celeryward_prompt_prefix=parts,
                )
                status = head.status
                whole = status == 200 and body == standins.events(EVENTS)
            finally:
                await connection.close()
        except (*http.EXCHANGE_ERRORS, errors.ConnectionFailed):
            whole = False
        self.sent.append(
            Sent(started, harmful, status, whole, time.monotonic() - started)
        )

    async def send_regularly(self, seconds, interval, request):
        """Send requests to the routers in turn until a time has passed.

        :param request: function of a number that returns path, parts and
            whether the request is harmful.
        """
        group = curio.TaskGroup()
        async with group:
            for number in range(int(seconds / interval)):
                path, parts, harmful = request(number)
                index = number % self.router_count
                await group.spawn(self.send, index, path, parts, harmful)
                await curio.sleep(interval)

    def late_harmful_arrivals(self, seconds=3.0):
        """Return how many harmful requests arrived long after the 5th crash.

        :param float seconds: time after the fifth crash.
        """
        if len(self.crashes) < 5:
            return 0
        limit = sorted(self.crashes)[4] + seconds
        return sum(at > limit for at in self.harmful_arrivals)

    def accused_sound_traits(self):
        """Return the culprits of all routers that need no harmful part."""
        return {
            culprit.traits
            for each in self.routers
            for culprit in each.guard.harmful.culprits('llm')
            if culprit.traits.isdisjoint(self.harmful_parts)
        }

    async def crash_a_runner(self):
        """End the process of one runner, whatever it runs."""
        running = [each for each in self.runners if each.running]
        chosen = running[len(self.crashes) % len(running)]
        with contextlib.suppress(http.Disconnected):
            await chosen.crash()

    def served_share(self, since=0.0):
        """Return the share of sound requests that got a whole answer.

        :param float since: monotonic seconds.
        """
        sound = [
            each for each in self.sent if not each.harmful and each.at >= since
        ]
        return sum(each.whole for each in sound) / len(sound)


async def stop_router(stopped):
    """Stop a router without draining."""
    for task in stopped.tasks:
        await task.cancel()
    for part in stopped.listeners:
        await part.stop_accepting()
        await part.drain(base.deadlines.Deadline.after(0.0))


def free_port():
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def on_fleet(test):
    """Decorator that runs a coroutine test on a started fleet."""

    @fakes.in_kernel
    @functools.wraps(test)
    async def run(self, fleet, **others):
        await fleet.start()
        try:
            await test(self, fleet, **others)
        finally:
            await fleet.stop()

    return run
