"""Extraction of the text of an answer for rating."""

from celeryward.endpoints import protocol


def answer_text(call, payload):
    """Return the text of an answer as the caller receives it.

    :param bytes payload: JSON body, or all events of a stream.
    """
    if not call.request.stream:
        return protocol.answer_text(payload)
    events = protocol.decode_events(payload)
    return ''.join(event.text() for event in events)
