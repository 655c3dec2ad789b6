"""Waiting for signals in a curio task."""

import contextlib
import signal
import socket

from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


@contextlib.contextmanager
def signal_receiver(numbers=STOP_SIGNALS):
    """Yield an async function that returns the next signal that arrives.

    Python writes each signal's number to a socket, which a task can read;
    a handler in Python code could run while a lock is held.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    before = [(number, signal.signal(number, _ignore)) for number in numbers]
    wakeup = signal.set_wakeup_fd(writer.fileno())
    receiving = io.Socket(reader)

    async def wait():
        return (await receiving.recv(1))[0]

    try:
        yield wait
    finally:
        signal.set_wakeup_fd(wakeup)
        for number, handler in before:
            signal.signal(number, handler)
        writer.close()
        reader.close()


def _ignore(number, frame):
    pass
