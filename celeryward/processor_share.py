"""Bounds the time that the process spends on input that never pauses.

A peer that sends small pieces without a pause costs far more time than bytes.
Each piece is cheap, so that no limit of one connection notices it; all of them
together would take the process from everyone else. Connections whose input
takes more than a small part of the time share a fixed part of it. A process
that stands still in the middle of some work has done no more of it, so that
what counts is bounded by the processor time. Answers many peers that send
without end. Needs no network.
"""

import time

import curio

from celeryward import deadlines
from celeryward import logs

# Work on one connection without a turn of the others.
SLICE_SECONDS = 0.002
# Part of the time above which the input of one connection is held back.
FLOOD_SHARE = 0.1
# Part of the time that all such connections have together.
SHARED_PART = 0.25
# Work on a busy host lasts longer than its processor time. It counts up to so
# many times that, because the other connections wait as long.
MAX_SLOWDOWN = 4.0
# A shorter wait is not logged.
LOGGED_WAIT_SECONDS = 0.25


class SharedTime:
    """The time of the connections that are held back.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.free_at = 0.0

    def reserve(self, seconds):
        """Return how long to wait after work of some seconds."""
        now = self.clock()
        self.free_at = max(now, self.free_at) + seconds / SHARED_PART
        return self.free_at - now


class InputMeter:
    """Measures the work on the input of one connection.

    :param str peer: address of the peer, used in the log.
    :param SharedTime shared: shared by all connections of the process.
    :param clock: function that returns monotonic seconds.
    :param work_clock: function that returns processor seconds of the thread.
    """

    def __init__(
        self,
        peer='-',
        shared=None,
        clock=time.monotonic,
        work_clock=time.thread_time,
    ):
        self.peer = peer
        self.shared = shared or SHARED_TIME
        self.clock = clock
        self.work_clock = work_clock
        self.busy = 0.0
        self.began_at = 0.0
        self.used_before = 0.0
        self.measured_from = clock()
        self.logged = False

    def begin_work(self):
        """Begin to measure work, which must not wait for anything."""
        self.began_at = self.clock()
        self.used_before = self.work_clock()

    def end_work(self):
        """Count the work since its begin."""
        lasted = self.clock() - self.began_at
        used = self.work_clock() - self.used_before
        self.busy += min(lasted, MAX_SLOWDOWN * used)

    def delay(self):
        """Return how long to wait now; None to go on at once."""
        if self.busy < SLICE_SECONDS:
            return None
        now = self.clock()
        elapsed = now - self.measured_from
        busy, self.busy = self.busy, 0.0
        self.measured_from = now
        if busy < FLOOD_SHARE * elapsed:
            return None
        seconds = self.shared.reserve(busy)
        self.log(seconds, busy, elapsed)
        return seconds

    def log(self, seconds, busy, elapsed):
        """Log the first long wait of the connection."""
        if self.logged or seconds < LOGGED_WAIT_SECONDS:
            return
        self.logged = True
        logs.bind(step='read', peer=self.peer).info(
            'input is held back for {:.2f} s after {:.3f} s of work in'
            ' {:.3f} s',
            seconds,
            busy,
            elapsed,
        )

    async def take_turn(self, deadline, extend=None):
        """End the measured work; let others go on if it was much.

        :param Deadline deadline: when the wait ends, however long it should
            be.
        :param extend: async function that is called when the deadline has
            passed; it returns a later one, or None to end the wait.
        """
        self.end_work()
        seconds = self.delay()
        if seconds is None:
            return
        held_until = deadlines.Deadline.after(seconds)
        await curio.sleep(held_until.earlier(deadline).remaining())
        while extend is not None and not held_until.expired():
            deadline = await extend()
            if deadline is None:
                break
            await curio.sleep(held_until.earlier(deadline).remaining())
        self.measured_from = self.clock()


SHARED_TIME = SharedTime()
