"""Bounds the memory of all bodies that a process holds at the same time.

Each body has a bound of its own, but many bodies together would still exceed
the memory of the process. Where they do, the largest one that is still being
read is given up, since it is most likely one without end. Answers many peers
that send without end at the same moment. Needs no network.
"""

import contextlib

from celeryward import errors
from celeryward import memory_account


class BodyMemory:
    """The bytes of the bodies that are held, and their bound.

    :param int limit: most bytes of all bodies together.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.holds = set()

    @contextlib.contextmanager
    def hold(self, give_up=None):
        """Yield a :class:`Hold`, which is released at the end of the block.

        :param give_up: coroutine function that is called to end the reading
            of the body when its memory is needed; None if it can't end.
        """
        hold = Hold(self, give_up)
        self.holds.add(hold)
        try:
            yield hold
        finally:
            hold.release()

    async def make_room(self, growing):
        """Give up the largest bodies until the others are within the limit.

        :param Hold growing: is given up if no other body is being read.
        """
        while self.used > self.limit:
            read = [hold for hold in self.holds if hold.give_up is not None]
            largest = max(read, key=lambda hold: hold.size, default=growing)
            largest.given_up = True
            largest.release()
            if largest is growing:
                return
            await largest.give_up()


class Hold:
    """The memory of one body.

    ``given_up`` tells whether its memory was needed for others. ``give_up``
    is None once the body has been read. ``contents`` is what its reader has
    collected so far.
    """

    def __init__(self, memory, give_up=None):
        self.memory = memory
        self.give_up = give_up
        self.size = 0
        self.given_up = False
        self.contents = []

    async def resize(self, size, step, peer):
        """Set the size of the body.

        :param int size: in bytes.
        :raises errors.BodyMemoryExhausted: if this body was given up.
        """
        if not self.given_up:
            self.memory.used += size - self.size
            self.size = size
            await self.memory.make_room(self)
        self.check(step, peer)

    def check(self, step, peer):
        """Check that the body was not given up.

        :raises errors.BodyMemoryExhausted: if it was.
        """
        if self.given_up:
            raise errors.BodyMemoryExhausted(
                f'all bodies together exceed {self.memory.limit} bytes, and '
                'this is the largest',
                step=step,
                peer=peer,
            )

    def release(self):
        """Return the memory, and drop the contents that took it.

        The reader itself may be held back for some time, and its error keeps
        its variables.
        """
        self.contents.clear()
        self.memory.used -= self.size
        self.size = 0
        self.memory.holds.discard(self)


# For what peers answer, and for what callers send.
ANSWERS = BodyMemory(memory_account.MOST_BODY_BYTES)
REQUESTS = BodyMemory(memory_account.MOST_BODY_BYTES)
