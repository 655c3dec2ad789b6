"""Receives signals in a curio task."""

import contextlib
import signal
import socket

from curio import io

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


@contextlib.contextmanager
def signal_receiver(numbers=STOP_SIGNALS):
    """Yield an async function that returns the number of the next signal.

    Python writes the number of each signal to a socket that a task reads. A
    handler in Python could instead run while its thread holds a lock. The
    previous handlers are restored at the end.

    :param tuple numbers: signals to receive.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    previous_handlers = [
        (number, signal.signal(number, _ignore)) for number in numbers
    ]
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    receiver = io.Socket(reader)

    async def next_signal():
        return (await receiver.recv(1))[0]

    try:
        yield next_signal
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous_handlers:
            signal.signal(number, handler)
        writer.close()
        reader.close()


def _ignore(number, frame):
    pass
