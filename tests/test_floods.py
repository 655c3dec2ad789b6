"""Many endpoints' answers without end, and all other requests beside them."""

import contextlib
import gc
import pathlib
import subprocess
import sys
import time
import tracemalloc

import curio
import pytest

from celeryward import bodies
from celeryward import body_memory
from celeryward.endpoints import event_stream
from celeryward import errors
from celeryward import http
from celeryward.standins import engine
from celeryward.standins import fleet
from tests import fakes
from tests import platform_standins as standins

PROGRAM = pathlib.Path(__file__).with_name('flood_server.py')
# All answers together have 32 MiB, and each connection has its buffers.
MEMORY_BYTES = 48 * 1000 * 1000
FLOODS = 40
# A request that takes 0.05 s alone.
SLOWEST_SECONDS = 0.5


@contextlib.contextmanager
def flood_server(kind):
    """Run a program that answers without end; yield its port."""
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM), kind],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield int(process.stdout.readline())
    finally:
        process.stdin.close()
        process.wait(10.0)


class FloodedSite(standins.Site):
    """A site with a service that answers without end."""

    def __init__(self, port):
        super().__init__(
            [standins.RunnerStandIn('app-1', 'app')],
        )
        self.flood_port = port

    async def start(self, spec=None):
        """Start all parts and wait until the router is ready."""
        spec = standins.configuration()
        for path, kind in (('flood', 'idempotent'), ('fall', 'stream')):
            spec['routes'].append(
                standins.route(path, kind, 'flood', maxAttempts=1)
            )
        spec['services'].append({'name': 'flood'})
        await self.store.start()
        entry = standins.RunnerStandIn('flood-1', 'flood')
        await entry.start()
        await self.store.put(
            'servers',
            'flood-1',
            entry.entry()
            | {'address': f'127.0.0.1:{self.flood_port}', 'slots': 100},
        )
        await entry.stop()
        await super().start(spec)

    async def flood(self, count, path):
        """Send requests whose answers don't end; return their tasks."""
        return [
            await curio.spawn(self.send_ignoring, path, daemon=True)
            for _ in range(count)
        ]

    async def send_ignoring(self, path):
        """Send a request, whatever becomes of it; return its seconds."""
        started = time.monotonic()
        with contextlib.suppress(*http.EXCHANGE_ERRORS):
            await self.request(path)
        return time.monotonic() - started

    async def slowest_other(self, seconds):
        """Return how long the slowest sound request takes meanwhile."""
        until = time.monotonic() + seconds
        slowest = 0.0
        while time.monotonic() < until:
            started = time.monotonic()
            head, _ = await self.request('/whole/x')
            assert head.status == 200
            slowest = max(slowest, time.monotonic() - started)
            await curio.sleep(0.02)
        return slowest


def play(kind, test):
    """Run a coroutine function on a site that is flooded by a program."""
    with flood_server(kind) as port:

        async def body():
            site = FloodedSite(port)
            await site.start()
            try:
                async with curio.timeout_after(30.0):
                    await test(site)
            finally:
                await site.stop()

        curio.run(body)


def reset_peak_memory():
    """Reset the peak of this process's memory; return the current size."""
    pathlib.Path('/proc/self/clear_refs').write_text('5', 'ascii')
    return peak_memory()


def peak_memory():
    """Return the peak of this process's memory in bytes."""
    for line in pathlib.Path('/proc/self/status').open(encoding='ascii'):
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * 1024
    raise AssertionError('no VmHWM')


async def nothing():
    """Give up a body that is not being read."""


class TestMemory:
    """Guards against answers that each stay within their bound, in sum."""

    @pytest.mark.parametrize(
        'kind,path',
        (
            ('body to the close', '/flood/x'),
            ('chunks', '/flood/x'),
            ('one large chunk', '/flood/x'),
            ('large length', '/flood/x'),
            ('error body', '/flood/x'),
            ('error body', '/fall/x'),
            ('event without end', '/fall/x'),
        ),
    )
    def test_sum_of_answers_is_bounded(self, kind, path):
        before = reset_peak_memory()

        async def test(site):
            tasks = await site.flood(FLOODS, path)
            for task in tasks:
                await task.join()
            assert peak_memory() - before < MEMORY_BYTES

        play(kind, test)

    def test_failed_streams_keep_no_part_of_their_events(self):
        """Their errors kept 1 MiB each until cycles were collected."""

        async def test(site):
            tasks = await site.flood(4, '/fall/x')
            for task in tasks:
                await task.join()
            kept = [
                each.buffer
                for each in gc.get_objects()
                if isinstance(each, event_stream.Splitter)
            ]
            assert not any(kept)

        gc.disable()
        try:
            play('event without end', test)
        finally:
            gc.enable()
            # The garbage is not left to the time of the next test.
            gc.collect()

    def test_length_above_the_bound_is_refused_at_the_head(self):
        async def test(site):
            assert await site.send_ignoring('/flood/x') < 0.3

        play('large length', test)


class TestGivenUp:
    """Guards against bodies that are given up and still kept or passed on."""

    @fakes.in_kernel
    async def test_body_takes_no_memory_while_its_reader_is_held_back(self):
        memory = body_memory.BodyMemory(10)
        with memory.hold(nothing) as first, memory.hold(nothing) as second:
            first.contents = bytearray(8)
            await first.resize(8, 'read', 'peer')
            await second.resize(6, 'read', 'peer')
            assert first.given_up and not first.contents
            assert not second.given_up

    @fakes.in_kernel
    async def test_body_whose_end_had_arrived_is_not_passed_on_empty(self):
        memory = body_memory.BodyMemory(10)

        async def pieces():
            yield b'x' * 8
            await second.resize(6, 'read', 'peer')

        with memory.hold(nothing) as first, memory.hold(nothing) as second:
            reader = bodies.BodyReader(None, 'peer')
            with pytest.raises(errors.BodyMemoryExhausted):
                await reader.collect(pieces(), 'read', 100, first)


class TestSmallChunks:
    """Guards against bodies that take many times what is counted."""

    @pytest.mark.parametrize('size', (1, 2, 8, 100, 1000, 5000))
    @fakes.in_kernel
    async def test_chunks_of_a_body_take_about_their_size(self, size):
        memory = body_memory.BodyMemory(MEMORY_BYTES)
        chunk = bytes(size)
        count = 200_000 // size
        taken = []

        async def pieces():
            for _ in range(count):
                yield bytes(bytearray(chunk))
            taken.append(tracemalloc.get_traced_memory()[0])

        with memory.hold(nothing) as hold:
            reader = bodies.BodyReader(None, 'peer')
            tracemalloc.start()
            try:
                body = await reader.collect(
                    pieces(), 'read', MEMORY_BYTES, hold
                )
            finally:
                tracemalloc.stop()
        assert body == chunk * count
        assert taken[0] < 1.5 * len(body)


class TestTime:
    """Guards against answers that keep the process from all others."""

    @pytest.mark.parametrize(
        'kind,path',
        (
            ('small chunks', '/flood/x'),
            ('small events', '/fall/x'),
            ('chunks', '/flood/x'),
        ),
    )
    def test_other_requests_are_served_meanwhile(self, kind, path):
        async def test(site):
            await site.flood(4, path)
            assert await site.slowest_other(3.0) < SLOWEST_SECONDS

        play(kind, test)


class EndlessEngine(engine.EngineStandIn):
    """An engine whose streams go on without end."""

    async def send_stream(self, connection, echo, words, first, usage):
        await super().send_stream(connection, echo, self, first, usage)

    def __len__(self):
        return sys.maxsize

    def __getitem__(self, index):
        return 'word ' * 1000


class TestDaemon:
    """Guards against streams of engines that a daemon keeps without bound."""

    @pytest.mark.parametrize('streams', (1, 3))
    def test_stream_without_end_is_given_up(
        self, with_fleet, monkeypatch, streams
    ):
        monkeypatch.setattr(body_memory.ANSWERS, 'limit', 1024 * 1024)

        made = []

        async def run(started):
            made.append(started.make_attempt('a'))
            with pytest.raises(errors.CelerywardError):
                await started.stream(made[-1])

        async def test(started):
            async with curio.TaskGroup() as group:
                for _ in range(streams):
                    await group.spawn(run, started)
            kept = [b''.join(each.emitted_payloads) for each in made]
            assert sum(map(len, kept)) < 2 * streams * 1024 * 1024
            assert body_memory.ANSWERS.used == 0

        with_fleet(test, EndlessEngine((fleet.VERSION.name,)))
