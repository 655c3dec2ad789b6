"""Checks the answer of an engine to be a chat, before it is passed on.

An engine that fails may send an error in place of a chat or of its rest, with
status 200, and also with the end marker of a chat.
"""

import dataclasses
import re

import msgspec

from celeryward import decoding
from celeryward.endpoints import event_stream
from celeryward import errors

END_OF_EVENT = b'\n\n'
DATA = b'data:'
DONE = b'[DONE]'
# A field of an event, or a comment.
FIELD = re.compile(rb'(?:data|event|id|retry)?:')
ERROR_EVENT = re.compile(rb'event: ?error\r?$')


@dataclasses.dataclass(frozen=True, slots=True)
class ChatData:
    """The fields that are checked of the data of an event."""

    choices: list[dict] = dataclasses.field(default_factory=list)
    error: msgspec.Raw | None = None


DATA_DECODER = msgspec.json.Decoder(ChatData)


def check_content_type(response, peer):
    """Check that a response, if it names a type, is an event stream.

    :raises errors.AnswerInvalid: if it isn't.
    """
    if not event_stream.has_stream_type(response.headers):
        raise invalid('answer is no event stream', peer)


def check_events(events, peer):
    """Check complete events of a chat.

    :raises errors.AnswerInvalid: if one of them is an error, or no event.
    """
    for event in events.split(END_OF_EVENT):
        for line in event.splitlines():
            if line.startswith(DATA):
                check_data(line[len(DATA) :].strip(), peer)
            elif not FIELD.match(line):
                raise invalid('line of a stream is no field', peer)
            elif ERROR_EVENT.match(line):
                raise invalid('stream has an error event', peer)


def check_data(data, peer):
    """Check the data of an event."""
    if data == DONE:
        return
    try:
        decoded = decoding.decode(DATA_DECODER, data)
    except msgspec.DecodeError as error:
        raise invalid(f'malformed event: {error}', peer) from error
    if decoded.error is not None:
        raise invalid('stream has an error object', peer)


def invalid(message, peer):
    """Return the error for an answer that is no chat."""
    return errors.AnswerInvalid(
        message, step='read stream', peer=peer, sent=True
    )
