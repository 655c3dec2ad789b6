"""Whether a failed dispatch may be repeated."""

import enum

from celeryward import calls
from celeryward import errors


class Action(enum.Enum):
    """What follows a failed dispatch."""

    RETRY = 'retry'
    RESUME = 'resume'
    FAIL = 'fail'


def after_failure(call, error, emitted_tokens, can_resume):
    """Return the action after a failed dispatch.

    :param errors.EndpointFailure error: why the dispatch failed.
    :param int emitted_tokens: tokens that the caller has received.
    :param bool can_resume: whether the engine resumes streams.
    """
    if not error.sent:
        return Action.RESUME if emitted_tokens else Action.RETRY
    if not is_idempotent(call):
        return Action.FAIL
    if not emitted_tokens:
        return Action.RETRY
    return Action.RESUME if can_resume else Action.FAIL


def is_idempotent(call):
    """Return whether a request may be executed more than once."""
    if isinstance(call.request, calls.ServiceRequest):
        return call.request.idempotent
    return True


def final_error(call, error):
    """Return the error that the caller sees for a last failure.

    :returns: ``Overloaded`` if the request certainly did not run, else
        ``OutcomeUnknown``.
    """
    if not error.sent:
        return errors.Overloaded(
            f'no endpoint took the request: {error.message}',
            step=error.step,
            peer=error.peer,
        )
    return errors.OutcomeUnknown(
        f'the request may have run: {error.message}',
        step=error.step,
        peer=error.peer,
    )
