"""The wait for the next part of an endpoint's answer.

An endpoint that is silent may go on. A part that is late therefore doesn't end
the wait; it only lets another endpoint run the request as well. This serves
endpoints that fall silent, one alone or many at once, and needs no network to
be tested.
"""

import time

from celeryward import deadlines

# Delay between two notices of one late part.
NOTICE_INTERVAL_SECONDS = 0.25


async def ignore_late(waited_seconds, head_arrived, is_lost=False):
    """Do nothing: the request waits until its deadline."""


class Wait:
    """Waits for one part of an answer after the other.

    :param on_late: async function that is called while a part is late, with
        the seconds waited for it, whether the head has arrived, and whether
        the endpoint accepts no connection.
    :param deadlines.Deadline deadline: ends the wait.
    """

    def __init__(self, on_late, deadline):
        self.on_late = on_late
        self.deadline = deadline
        self.began_at = time.monotonic()
        self.next_notice_at = deadlines.Deadline(self.began_at)
        self.head_arrived = False

    def begin_next(self):
        """Begin the wait for the next part."""
        self.began_at = time.monotonic()
        self.head_arrived = True

    def seconds(self):
        """Return the time waited for the current part, in seconds."""
        return time.monotonic() - self.began_at

    async def report_loss(self):
        """Report that the endpoint accepts no connection."""
        await self.on_late(self.seconds(), self.head_arrived, True)

    async def extend(self):
        """Return a later deadline of the part, None after the last one."""
        if self.deadline.expired():
            return None
        if self.next_notice_at.expired():
            await self.on_late(self.seconds(), self.head_arrived)
            self.next_notice_at = deadlines.Deadline.after(
                NOTICE_INTERVAL_SECONDS
            )
        return self.next_notice_at.earlier(self.deadline)
