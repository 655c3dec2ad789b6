"""Decides whether a further run continues a stream that has begun."""

from celeryward import errors


def check_answer(answer):
    """Check that an answer can continue a stream.

    :param forwarding.Answer answer: the answer of a further run.
    :raises errors.AnswerInvalid: if it has another status or content type
        than a stream; its body is not part of the caller's stream.
    """
    if not answer.is_event_stream:
        raise errors.AnswerInvalid(
            f'endpoint answered {answer.head.status} instead of the rest of '
            'a stream',
            step='resume',
            peer=answer.connection.peer,
            sent=True,
        )
