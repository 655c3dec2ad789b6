"""Bounds the memory of answers that clients are slow to read.

While a write waits for its client, the process holds the piece that is
written, the events that it was made of, and what has been read behind them.
Where all such writes together hold too much, the one whose client has taken
nothing for longest is given up. Answers many clients that read late.
"""

import contextlib

from celeryward import memory_account

# A piece of a stream is held as received, split into events, and framed,
# beside the input behind it. A whole answer counts as a body elsewhere, and is
# copied once.
COPIES = 4
MAX_PIECE_BYTES = 64 * 1024


class UnreadAnswers:
    """The writes that wait for their clients.

    ``sizes`` has the bytes that each connection holds.

    :param int limit: most bytes of all together.
    """

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.sizes = {}

    @contextlib.asynccontextmanager
    async def hold(self, connection, size):
        """Count a write for as long as the block runs.

        :param connection: :class:`transport.Transport` that waits for its
            client.
        :param int size: bytes of the write.
        """
        held = size + (COPIES - 1) * min(size, MAX_PIECE_BYTES)
        self.sizes[connection] = held
        self.used += held
        try:
            await self.make_room()
            yield
        finally:
            self.release(connection)

    async def make_room(self):
        """Give writes up until the others are within the limit."""
        while self.used > self.limit and len(self.sizes) > 1:
            stalled = min(self.sizes, key=stalled_since)
            self.release(stalled)
            stalled.left_unread = True
            await stalled.shut_down()

    def release(self, connection):
        """Stop to count a write; it may have been given up before."""
        self.used -= self.sizes.pop(connection, 0)


def stalled_since(connection):
    """Return since when a client has taken nothing, in monotonic seconds."""
    return connection.client_wait.since


UNREAD_ANSWERS = UnreadAnswers(memory_account.MOST_UNREAD_BYTES)
