"""Waiting for signals in a curio task."""

import contextlib
import signal
import socket

from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.contextmanager
def stop_signals():
    """Yield an async function that returns when a stop signal arrives.

    Python writes each signal's number to a socket, which a task can read;
    a handler in Python code could run while a lock is held.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    before = [
        (number, signal.signal(number, _ignore)) for number in STOP_SIGNALS
    ]
    wakeup = signal.set_wakeup_fd(writer.fileno())
    receiving = io.Socket(reader)

    async def wait():
        await receiving.recv(1)

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
