"""The answer of an endpoint, whose body is read on demand."""

import contextlib

from celeryward import body_memory
from celeryward import deadlines
from celeryward.endpoints import event_stream
from celeryward import errors

# A body that takes longer than the time allowed for it has to arrive at this
# rate on average.
MIN_BODY_BYTES_PER_SECOND = 65536.0


class Answer:
    """The response of an endpoint; its body is read on demand.

    :param http.Response head: status line and header.
    :param ingress.ResponseMetadata metadata: what the translator read in the
        head.
    :param float seconds: time from the dispatch to the head, without pauses of
        this process.
    :param waits.Wait wait: the wait for the next part of the body.
    :param on_data: function that is called when bytes of the body arrive.
    """

    def __init__(
        self, connection, forwarded, head, metadata, seconds, wait, on_data
    ):
        self.wait = wait
        self.connection = connection
        self.forwarded = forwarded
        self.head = head
        self.metadata = metadata
        self.seconds = seconds
        self.on_data = on_data

    @property
    def is_event_stream(self):
        """Whether status and content type, if any, are those of a stream."""
        return self.head.status == 200 and event_stream.has_stream_type(
            self.head.headers
        )

    async def body(self, hold=None):
        """Return the whole body.

        :param body_memory.Hold hold: as for
            :meth:`http.Connection.receive_body`.

        Its deadline moves out as bytes arrive at the minimum rate, up to the
        deadline of the request.
        """
        begun = deadlines.Deadline.after(self.forwarded.body_seconds)
        read_before = self.connection.bytes_read

        def due():
            read = self.connection.bytes_read - read_before
            if read:
                self.on_data()
            extension = read / MIN_BODY_BYTES_PER_SECOND
            return deadlines.Deadline(begun.at + extension).earlier(
                self.forwarded.deadline
            )

        return await self.connection.receive_body(
            'read body',
            self.forwarded.deadline,
            next_deadline=due,
            extend=self.wait.extend,
            hold=hold,
        )

    async def events(self, sequence):
        """Yield lists of complete events, as they arrive.

        Bytes that complete no event don't extend the wait for the next one.

        :param event_stream.EventSequence sequence: checks the order of the
            events and drops those that the caller already has.
        :raises errors.AnswerTruncated: if the body ends inside an event.
        """
        connection = self.connection
        splitter = event_stream.Splitter(connection.peer)
        due = self.forwarded.next_event_deadline()
        chunks = self.connection.receive_chunks(
            'read events', lambda: due, extend=self.wait.extend
        )
        with body_memory.ANSWERS.hold(connection.stop_reading) as hold:
            hold.contents = splitter.buffer
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    self.on_data()
                    connection.meter.begin_work()
                    new_events = sequence.filter_new(
                        splitter.feed(chunk), connection.peer
                    )
                    ready, failure = collect_until_error(new_events)
                    await connection.meter.take_turn(due, self.wait.extend)
                    await hold.resize(
                        len(splitter.buffer), 'read events', connection.peer
                    )
                    if ready:
                        yield ready
                        due = self.forwarded.next_event_deadline()
                        self.wait.begin_next()
                    if failure is not None:
                        raise failure
            hold.check('read events', connection.peer)
            self.check_end(sequence, splitter)

    def check_end(self, sequence, splitter):
        """Check that a stream which has ended is whole.

        :raises errors.AnswerTruncated: if it isn't.
        """
        if not (sequence.last or self.head.is_framed):
            raise self.truncated('stream without a frame ended without event')
        if splitter.buffer:
            raise self.truncated('stream ended inside an event')

    def truncated(self, message):
        """Return the error of a stream that was broken off."""
        return errors.AnswerTruncated(
            message,
            step='read events',
            peer=self.connection.peer,
            sent=True,
        )


def collect_until_error(events):
    """Return the events before an error, and the error or None."""
    ready = []
    try:
        for event in events:
            ready.append(event)
    except errors.AnswerInvalid as error:
        return ready, error
    return ready, None
