"""Receives signals in a curio task, and bounds when they were sent."""

import contextlib
import signal
import socket

import curio
from curio import io

from celeryward import deadlines
from celeryward import standstills

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
# Time between two looks for signals that have arrived. The time for a stop
# counts from the last look that found none.
LOOK_SECONDS = 0.25


class SignalReceiver:
    """The signals of this process, in the order in which they arrived.

    ``none_before`` is a time in seconds since the host was booted: signals
    that are received later were not sent before it. A process that was stopped
    or busy learns late of its signals, and nothing says when they were sent.
    The system delivers them before the process runs again, so that a look
    which finds none proves that there was none.

    :param reader: non-blocking socket with the number of each signal.
    """

    def __init__(self, reader):
        self.reader = reader
        self.waiting = io.Socket(reader)
        self.none_before = deadlines.BootDeadline.now()

    async def next_signal(self):
        """Return the number of the next signal."""
        return (await self.waiting.recv(1))[0]

    def look(self):
        """Move ``none_before`` on if no signal has arrived."""
        # Read first: a signal that is sent after the clock was read may not
        # have arrived yet.
        now = deadlines.BootDeadline.now()
        try:
            self.reader.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            self.none_before = now

    async def look_regularly(self):
        """Look for signals and for standstills until cancelled."""
        watch = standstills.StandstillWatch(LOOK_SECONDS)
        while True:
            watch.look()
            self.look()
            await curio.sleep(LOOK_SECONDS)


@contextlib.contextmanager
def signal_receiver(numbers=STOP_SIGNALS):
    """Yield a :class:`SignalReceiver`.

    Python writes the number of each signal to a socket that a task reads. A
    handler in Python could instead run while its thread holds a lock. The
    previous handlers are restored at the end.

    :param tuple numbers: signals to receive.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    reader.setblocking(False)
    receiver = SignalReceiver(reader)
    previous_handlers = [
        (number, signal.signal(number, _ignore)) for number in numbers
    ]
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    try:
        yield receiver
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous_handlers:
            signal.signal(number, handler)
        writer.close()
        reader.close()


def _ignore(number, frame):
    pass
