"""Runs a program in curio's event loop, in which input goes before timers.

A process that was stopped learns of its timers and of its input at the same
moment. epoll_wait then reports no input: the signal that continues the process
interrupts it, and Python doesn't call it again once the timeout has passed.
Without another look every wait whose deadline lies in the pause would end
although what it waits for is there.

A task that was cancelled keeps no traceback, and with it no local variables.
"""

import selectors

import curio

from celeryward import errors


class InputFirstSelector(selectors.DefaultSelector):
    """A selector that looks for input again when a wait ends without any."""

    def select(self, timeout=None):
        """Return the events as the base class does."""
        events = super().select(timeout)
        if events or timeout == 0:
            return events
        return super().select(0)


class Task(curio.Task):
    """A task that releases its frames when it has been cancelled.

    They refer to the task, so that what they hold, such as the body of a
    request whose caller has left, would be kept until garbage is collected.
    """

    @property
    def exception(self):
        """The error that ended the task, or None."""
        return super().exception

    @exception.setter
    def exception(self, error):
        if isinstance(error, curio.CancelledError):
            errors.drop_tracebacks(error)
        curio.Task.exception.fset(self, error)


def run(main, *arguments):
    """Run a coroutine function with arguments; return its result."""
    return curio.run(
        main, *arguments, selector=InputFirstSelector(), taskcls=Task
    )
