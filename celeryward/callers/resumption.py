"""Decides whether a further run completes a stream that has begun.

Nothing in a stream marks its last event. A rest without any event therefore
can't be told from one that was lost, and doesn't complete the stream.
"""

from celeryward import errors


def check_answer(answer):
    """Check that an answer can continue a stream.

    :param answers.Answer answer: the answer of a further run.
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


def check_rest(answer, event_count):
    """Check that the run of an answer added events to a stream.

    :param int event_count: number of events that the caller got from it.
    :raises errors.AnswerTruncated: if there is none.
    """
    if not event_count:
        raise errors.AnswerTruncated(
            'rest of a stream has no event',
            step='resume',
            peer=answer.connection.peer,
            sent=True,
        )
