"""The wait for the next part of an endpoint's answer.

An endpoint that is silent may go on. A part that is late therefore doesn't end
the wait; it only asks whether the request gives the answer up. This serves
endpoints that fall silent, one alone or many at once, and needs no network to
be tested.
"""

import time

from celeryward import deadlines

# Delay between two questions of one wait.
ASK_AGAIN_SECONDS = 0.25


async def never_give_up(waited_seconds, head_arrived):
    """Return False: the request waits until its deadline."""
    return False


class Wait:
    """Waits for one part of an answer after the other.

    :param on_late: async function that is called when a part is late, with the
        seconds waited for it and whether the head has arrived. It returns
        whether the answer is given up.
    :param deadlines.Deadline deadline: ends the wait in any case.
    """

    def __init__(self, on_late, deadline):
        self.on_late = on_late
        self.deadline = deadline
        self.began_at = time.monotonic()
        self.ask_again_at = deadlines.Deadline(self.began_at)
        self.head_arrived = False

    def begin_next(self):
        """Begin the wait for the next part."""
        self.began_at = time.monotonic()
        self.head_arrived = True

    def seconds(self):
        """Return the time waited for the current part, in seconds."""
        return time.monotonic() - self.began_at

    async def is_given_up(self):
        """Return whether the request gives the answer up now."""
        return await self.on_late(self.seconds(), self.head_arrived)

    async def extend(self):
        """Return a later deadline of the part, or None to give it up."""
        if self.deadline.expired():
            return None
        if self.ask_again_at.expired():
            if await self.is_given_up():
                return None
            self.ask_again_at = deadlines.Deadline.after(ASK_AGAIN_SECONDS)
        return self.ask_again_at.earlier(self.deadline)
