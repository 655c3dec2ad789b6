"""The planned stop of a router, one step after the other.

The platform ends the process some seconds after its signal, whatever the
router knows of it. All steps take their time from one schedule, which counts
from the earliest moment at which the signal can have been sent.
"""

import time

import curio

from celeryward import deadlines
from celeryward import listener
from celeryward import logs
from celeryward import stopping

# Time between two looks at the deadlines of a stop. A sleep until a deadline
# would last too long if the host is suspended meanwhile.
POLL_SECONDS = 0.05
# Time for the tasks of a router to end, after all callers have their answers.
LAST_TASKS_SECONDS = 0.1


class RouterShutdown:
    """Stops a router.

    :param router: :class:`router.Router`.
    """

    def __init__(self, router):
        self.router = router
        self.log = logs.bind(step='stop', peer=router.placement.name)

    async def run(self, signalled_after=None):
        """Drain and stop; requests that outlast the schedule are cut off.

        A second call does nothing: the stop that has begun goes on.

        :param float signalled_after: as for :meth:`router.Router.stop`.
        """
        router = self.router
        if router.stop_state.is_stopping:
            return
        started = time.monotonic()
        schedule = self.begin(signalled_after)
        # The store may be slow, and nothing else depends on the removal.
        removal = await router.supervisor.spawn(
            'deregister', router.view.store.peer, router.view.deregister
        )
        await sleep_until(schedule.accept_until)
        await router.listeners.callers.stop_accepting()
        await self.end_connections(schedule.finish_by)
        cut_off = await router.gateway.cut_off_active()
        async with curio.ignore_after(schedule.finish_by.remaining()):
            await removal.wait()
        await end_tasks((removal, *router.tasks))
        self.log.info(
            'router stopped after {:.1f} s; {} requests cut off',
            time.monotonic() - started,
            cut_off,
        )

    async def end_connections(self, finish_by):
        """Wait until no connection is open, or until the end of the stop.

        Connections that were just accepted may still bring a request, which
        is refused.
        """
        gateway = self.router.gateway
        close_at = deadlines.BootDeadline.after(listener.LAST_REQUESTS_SECONDS)
        while gateway.tasks and not finish_by.expired():
            if close_at.expired():
                await gateway.close_idle()
            await curio.sleep(POLL_SECONDS)
        await gateway.close_idle()

    def begin(self, signalled_after):
        """Begin the stop; return its :class:`stopping.StopSchedule`."""
        router = self.router
        now = deadlines.BootDeadline.now()
        start = now if signalled_after is None else signalled_after
        schedule = stopping.StopSchedule.counted_from(
            start,
            router.tuning.stop_accepting_after,
            router.placement.bounds.stop_seconds - router.tuning.stop_reserve,
        )
        router.stop_state.begin(schedule)
        router.gateway.begin_drain()
        self.log.bind(
            accept_until=round(schedule.accept_until.remaining(), 3),
            finish_by=round(schedule.finish_by.remaining(), 3),
            late=round(now - start, 3),
        ).info(
            'router stops with {} requests under way',
            len(router.gateway.active),
        )
        return schedule


async def end_tasks(tasks):
    """Cancel tasks; one that doesn't end in time must not keep the process."""
    for task in tasks:
        await task.cancel(blocking=False)
    async with curio.ignore_after(LAST_TASKS_SECONDS):
        for task in tasks:
            await task.wait()


async def sleep_until(deadline):
    """Return once a deadline on the boot-time clock has passed."""
    while not deadline.expired():
        await curio.sleep(min(POLL_SECONDS, deadline.remaining()))
