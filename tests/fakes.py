"""Fakes and helpers that several test modules share."""

import dataclasses
import functools
import time

import curio
import result

from celeryward import errors
from celeryward import event_loop
from celeryward.objects import protocol


TEST_SECONDS = 60.0


def in_kernel(test):
    """Decorator that runs a coroutine test in a new curio kernel."""

    @functools.wraps(test)
    def run(*arguments, **fixtures):
        async def guarded():
            async with curio.timeout_after(TEST_SECONDS):
                await test(*arguments, **fixtures)

        event_loop.run(guarded)

    return run


class Clock:
    """The clocks of a host, which only the test advances.

    ``suspended`` is the time for which the host was suspended; only the
    boot-time clock counts it.
    """

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self):
        self.now = 1000.0
        self.suspended = 0.0

    def monotonic(self):
        return self.now

    def clock_gettime(self, clock):
        assert clock == self.CLOCK_BOOTTIME
        return self.now + self.suspended


class CallableClock:
    """A clock for code that takes a function; only the test advances it."""

    def __init__(self, now=0.0):
        self.now = now

    def __call__(self):
        return self.now


class ObjectClient:
    """Fake of :class:`objects.client.ObjectClient` with objects in memory.

    ``lost_responses`` is the number of next writes that take effect but whose
    responses are lost; ``unavailable`` fails all calls but deletions;
    ``before_write`` is called with the object before each write.
    """

    def __init__(self):
        self.stored = {}
        self.revision = 0
        self.lost_responses = 0
        self.unavailable = False
        self.before_write = lambda stored: None

    def error(self, kind, **fields):
        return result.Err(kind('fake', step='fake', peer='fake', **fields))

    async def get(self, kind, name):
        if self.unavailable:
            return self.error(errors.PlatformUnavailable)
        found = self.stored.get((kind, name))
        return result.Ok(found) if found else self.error(errors.NotFound)

    async def list(self, kind):
        if self.unavailable:
            return self.error(errors.PlatformUnavailable)
        items = tuple(
            each for each in self.stored.values() if each.kind == kind
        )
        return result.Ok(protocol.ObjectList(items, self.revision))

    async def create(self, stored):
        return await self.put(stored, 0)

    async def put(self, stored, expected):
        if self.unavailable:
            return self.error(errors.PlatformUnavailable)
        self.before_write(stored)
        current = self.stored.get(stored.key)
        if (current.revision if current else 0) != expected:
            return self.error(errors.Conflict, current=current)
        written = self.force_put(stored)
        if self.lost_responses:
            self.lost_responses -= 1
            return self.error(errors.WriteUnknown)
        return result.Ok(written)

    async def delete(self, stored):
        current = self.stored.get(stored.key)
        if current is None or current.revision != stored.revision:
            return self.error(errors.Conflict, current=current)
        return result.Ok(self.stored.pop(stored.key))

    def force_put(self, stored):
        """Store an object unconditionally, as another writer would."""
        self.revision += 1
        written = dataclasses.replace(stored, revision=self.revision)
        self.stored[stored.key] = written
        return written
