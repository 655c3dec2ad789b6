"""Keeps tasks that follow something running, whatever error they meet."""

import time

import curio

from celeryward import logs

MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0
# A function that ran this long before an error starts again after the
# shortest backoff.
HEALTHY_SECONDS = 10.0


class Supervisor:
    """Runs functions again after errors; cancellation still ends them.

    What a function follows is not confirmed while it fails, so that its age
    rises and whatever depends on its freshness refuses.

    :param count: function of a step, called for each error.
    """

    def __init__(self, count=lambda step: None):
        self.count = count

    async def spawn(self, step, peer, function, *arguments):
        """Start a task that runs a coroutine function until it returns.

        :param str step: what the function does, for the log and the metric.
        :param str peer: what it follows.
        :returns: the curio task.
        """
        return await curio.spawn(
            self.run, step, peer, function, *arguments, daemon=True
        )

    async def run(self, step, peer, function, *arguments):
        """Run a coroutine function until it returns; return its value."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            started = time.monotonic()
            try:
                return await function(*arguments)
            # curio's cancellation is no Exception and passes.
            except Exception as error:
                self.record(step, peer, error, backoff)
            if time.monotonic() - started > HEALTHY_SECONDS:
                backoff = MIN_BACKOFF_SECONDS
            await curio.sleep(backoff)
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    def record(self, step, peer, error, backoff):
        """Count and log one error."""
        self.count(step)
        logs.bind(step=step, peer=peer, at=raised_at(error)).error(
            'task failed: {}; starts again in {:.2f} s',
            describe(error),
            backoff,
        )


def describe(error):
    """Return the type and the message of an error of any kind."""
    return f'{type(error).__name__}: {error}'[:200]


def raised_at(error):
    """Return file and line at which an error was raised."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return '-'
    return f'{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}'
