"""Splits ``text/event-stream`` bodies into events and orders those."""

import dataclasses
import re

from celeryward import errors

MEDIA_TYPE = 'text/event-stream'
MAX_EVENT_BYTES = 1024 * 1024
END_OF_EVENT = re.compile(rb'\r?\n\r?\n')
MAX_PARTIAL_END_BYTES = 3
EVENT_ID = re.compile(rb'^id: ?(\d{1,18})\r?$', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event as received, with the blank line that ends it.

    :param int | None number: the event's id; None if it has none.
    """

    number: int | None
    raw: bytes


def has_stream_type(headers):
    """Return whether the content type, if there is one, is a stream's."""
    content_type = headers.get('content-type', MEDIA_TYPE)
    return content_type.partition(';')[0].strip().lower() == MEDIA_TYPE


def find_end(buffer, start):
    """Return the position after the next end of an event, 0 for none."""
    match = END_OF_EVENT.search(buffer, start)
    return match.end() if match else 0


class Splitter:
    """Splits a body into events.

    :param str peer: address of the endpoint, used in errors.
    """

    def __init__(self, peer):
        self.peer = peer
        self.buffer = bytearray()

    def feed(self, piece):
        """Yield the events that a piece of the body completes.

        :raises errors.AnswerInvalid: if an event is too large.
        """
        # What was searched before holds no end, but perhaps a part of one.
        start = max(0, len(self.buffer) - MAX_PARTIAL_END_BYTES)
        self.buffer += piece
        begin = 0
        try:
            while end := find_end(self.buffer, start):
                raw = bytes(self.buffer[begin:end])
                begin = start = end
                found = EVENT_ID.search(raw)
                yield Event(int(found[1]) if found else None, raw)
        finally:
            del self.buffer[:begin]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise errors.AnswerInvalid(
                f'event is larger than {MAX_EVENT_BYTES} bytes',
                step='read events',
                peer=self.peer,
                sent=True,
            )


class EventSequence:
    """Tracks the event ids of one answer over several runs.

    :param int last: id of the last event that the caller received.
    """

    def __init__(self, last=0):
        self.last = last

    def copy(self):
        """Return a sequence that goes on from the same event."""
        return EventSequence(self.last)

    def filter_new(self, events, peer):
        """Yield the events that the caller does not have yet.

        :raises errors.AnswerInvalid: if an event is missing or unnumbered;
            the events before it are still yielded.
        """
        for event in events:
            if event.number is None or event.number > self.last + 1:
                raise errors.AnswerInvalid(
                    f'event {event.number} follows event {self.last}',
                    step='read events',
                    peer=peer,
                    sent=True,
                )
            if event.number == self.last + 1:
                self.last = event.number
                yield event
