"""Texts of answers, to be rated."""

from celeryward.endpoints import protocol


def answer_text(call, payload):
    """Return the text of an answer as it went to the caller."""
    if not call.request.stream:
        return protocol.answer_text(payload)
    events = protocol.decode_events(payload)
    return ''.join(event.text() for event in events)
