"""The end of the requests that a stop cuts off.

The task of each connection answers its own caller when it is cancelled, so
that a caller that doesn't read holds up no other answer. By then the request
can't be passed on any more: one that was not passed on before has not run and
never will.
"""

import curio

from celeryward import completion
from celeryward import deadlines
from celeryward import errors
from celeryward import logs

# Time for the last answers. A caller that doesn't read must not keep the
# process until it is killed.
LAST_ANSWERS_SECONDS = 0.25


async def cancel(tasks):
    """Cancel the tasks of connections; return once all have answered.

    Those that take too long are left to the end of the process.
    """
    tasks = tuple(tasks)
    for task in tasks:
        await task.cancel(blocking=False)
    async with curio.ignore_after(LAST_ANSWERS_SECONDS):
        for task in tasks:
            await task.wait()


async def answer(send_error, error):
    """Send the error of a request that is cut off, in a bounded time.

    :param send_error: async function of the error.
    """
    async with curio.ignore_after(LAST_ANSWERS_SECONDS):
        await send_error(error)


def make_error(may_have_run, peer):
    """Return the error of a request that is cut off.

    :param bool may_have_run: whether an endpoint may have run the request.
    """
    if may_have_run:
        return errors.OutcomeUnknown(
            'stopped before the answer was complete', step='stop', peer=peer
        )
    return errors.ShuttingDown(
        'stopped before the request was passed on',
        step='stop',
        peer=peer,
        retry_at=deadlines.Deadline.after(completion.STOPPING_RETRY_SECONDS),
    )


def log(error, start, **context):
    """Log a request that is cut off, and what it had of the stop.

    :param stopping.RequestStart start: when it began.
    """
    logs.bind_error(
        error,
        execution=error.execution.value,
        **context,
        **start.log_fields(),
    ).warning('request cut off by the stop')
