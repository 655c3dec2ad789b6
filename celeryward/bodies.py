"""Reads the bodies of messages, within bounds on their sizes."""

import contextlib

import h11

from celeryward import body_memory
from celeryward import errors
from celeryward import transport

MAX_BODY_BYTES = 16 * 1024 * 1024
# Smaller chunks are joined: kept apart they take up to 20 times their size.
MIN_CHUNK_BYTES = 1024
MAX_JOINED_BYTES = 65536
# Digits of a stated length that are read; more are above any limit.
MAX_LENGTH_DIGITS = 18


class BodyReader(transport.Transport):
    """A connection whose subclass parses what it reads.

    The subclass has ``h11`` and ``receive(step, deadline, extend)``, which
    returns the next h11 event.

    :ivar stated_length: length that the head of the body to read states, or
        None.
    :ivar ended_by_peer: whether only the end of the connection ends the body
        to read.
    """

    def __init__(self, sock, peer):
        super().__init__(sock, peer)
        self.stated_length = None
        self.ended_by_peer = False

    async def receive_chunks(
        self, step, next_deadline, first_deadline=None, extend=None
    ):
        """Yield the bytes of a body as they arrive.

        :param next_deadline: function that returns the deadline of the
            next chunk.
        :param Deadline first_deadline: deadline of the first chunk; by
            default that of ``next_deadline``.
        :param extend: as for :meth:`read`.
        :raises transport.Disconnected: if the connection ends inside the body,
            or ends it before the peer had received the whole request.
        """
        deadline = first_deadline or next_deadline()
        while True:
            event = await self.receive(step, deadline, extend)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.ended_by_peer:
                    self.check_received(step)
                return
            else:
                raise transport.Disconnected(
                    'connection closed inside a body',
                    step=step,
                    peer=self.peer,
                )
            deadline = next_deadline()

    async def receive_body(
        self,
        step,
        deadline,
        limit=MAX_BODY_BYTES,
        next_deadline=None,
        extend=None,
        hold=None,
    ):
        """Return a whole body of at most ``limit`` bytes.

        :param next_deadline: function that returns the deadline of the next
            chunk; by default each chunk has the deadline of the body.
        :param extend: as for :meth:`read`.
        :param body_memory.Hold hold: counts the body for as long as it is
            kept; None to count it until it has been read.
        :raises errors.BadInput: if the body is larger, or is given up because
            all bodies together are too large.
        """
        if self.stated_length is not None:
            self.check_size(self.stated_length, limit, step)
        next_deadline = next_deadline or (lambda: deadline)
        chunks = self.receive_chunks(step, next_deadline, extend=extend)
        if hold is not None:
            return await self.collect(chunks, step, limit, hold)
        with self.body_memory().hold(self.stop_reading) as own_hold:
            return await self.collect(chunks, step, limit, own_hold)

    async def collect(self, chunk_stream, step, limit, hold):
        """Return the chunks of a body as one, and count them meanwhile.

        The parameters are as for :meth:`receive_body`.
        """
        chunks = hold.contents
        size = 0
        try:
            async with contextlib.aclosing(chunk_stream):
                async for chunk in chunk_stream:
                    size += len(chunk)
                    self.check_size(size, limit, step)
                    await hold.resize(size, step, self.peer)
                    add_chunk(chunks, chunk)
        except transport.Disconnected:
            # The connection of a body that is given up is shut down.
            hold.check(step, self.peer)
            raise
        else:
            hold.check(step, self.peer)
            hold.give_up = None
            return b''.join(chunks)
        finally:
            # An error keeps this frame, and all that is in it, until its end.
            chunks.clear()

    def body_memory(self):
        """Return the :class:`body_memory.BodyMemory` of what is read here."""
        if self.h11.our_role is h11.SERVER:
            return body_memory.REQUESTS
        return body_memory.ANSWERS

    def check_size(self, size, limit, step):
        """Check the size of a body.

        :raises errors.BadInput: if it is above the limit.
        """
        if size > limit:
            raise errors.BadInput(
                f'body is larger than {limit} bytes',
                step=step,
                peer=self.peer,
            )


def stated_length(headers):
    """Return the length of a body that its head states, or None."""
    length = headers.get('content-length', '')
    is_number = length.isascii() and length.isdigit()
    if not is_number or 'transfer-encoding' in headers:
        return None
    return int(length[:MAX_LENGTH_DIGITS])


def request_length(headers):
    """Return the length of a request's body, None for one in chunks.

    Without either there is no body.
    """
    if 'transfer-encoding' in headers:
        return None
    return stated_length(headers) or 0


def add_chunk(chunks, chunk):
    """Append a chunk to a list, or to the small ones at its end."""
    if len(chunk) >= MIN_CHUNK_BYTES:
        chunks.append(chunk)
        return
    last = chunks[-1] if chunks else None
    if isinstance(last, bytearray) and len(last) < MAX_JOINED_BYTES:
        last += chunk
    else:
        chunks.append(bytearray(chunk))
