"""Runs a program in curio's event loop, in which input goes before timers.

A process that was stopped learns of its timers and of its input at the same
moment. epoll_wait then reports no input: the signal that continues the process
interrupts it, and Python doesn't call it again once the timeout has passed.
Without another look every wait whose deadline lies in the pause would end
although what it waits for is there.
"""

import selectors

import curio


class InputFirstSelector(selectors.DefaultSelector):
    """A selector that looks for input again when a wait ends without any."""

    def select(self, timeout=None):
        """Return the events as the base class does."""
        events = super().select(timeout)
        if events or timeout == 0:
            return events
        return super().select(0)


def run(main, *arguments):
    """Run a coroutine function with arguments; return its result."""
    return curio.run(main, *arguments, selector=InputFirstSelector())
