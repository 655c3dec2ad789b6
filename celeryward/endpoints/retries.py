"""Whether a failed dispatch may be repeated."""

import enum

from celeryward import calls
from celeryward import errors

RETRY_SHARE = 0.1
# Enough for the requests of one endpoint that dies just after a start.
START_TOKENS = 10.0
# Enough for the requests of one large endpoint; older savings expire.
MAX_TOKENS = 100.0


class Action(enum.Enum):
    """What follows a failed dispatch."""

    RETRY = 'retry'
    RESUME = 'resume'
    FAIL = 'fail'


def after_failure(call, error, emitted_tokens):
    """Return the action after a failed dispatch.

    :param errors.EndpointFailure error: why the dispatch failed.
    :param int emitted_tokens: tokens that the caller has received.
    """
    if error.sent and not is_idempotent(call):
        return Action.FAIL
    return Action.RESUME if emitted_tokens else Action.RETRY


def is_idempotent(call):
    """Return whether a request may be executed more than once."""
    if isinstance(call.request, calls.ServiceRequest):
        return call.request.idempotent
    return True


def final_error(error, may_have_run):
    """Return the error that the caller sees for a last failure.

    :param bool may_have_run: whether any dispatch may have run.
    :returns: ``Overloaded`` if the request certainly did not run, else
        ``OutcomeUnknown``.
    """
    if not may_have_run:
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


class RetryBudget:
    """Bounds the load that retries add, as a token bucket.

    Each first dispatch adds a share of a token and each repeated dispatch
    takes one. The tokens of the start are a loan, which the first dispatches
    repay, so that repeats never exceed the larger of the loan and that share
    of the first dispatches.

    :param float share: tokens for each first dispatch.
    :param float start: tokens of the start.
    :param float most: largest number of saved tokens.
    """

    def __init__(self, share=RETRY_SHARE, start=START_TOKENS, most=MAX_TOKENS):
        self.share = share
        self.most = most
        self.tokens = start
        self.loan = start

    def first_dispatch(self):
        """Add the share of one first dispatch, once the loan is repaid."""
        if self.loan > 0:
            self.loan -= self.share
            return
        self.tokens = min(self.most, self.tokens + self.share)

    def take(self, reserve=0.0):
        """Return whether one repeated dispatch is allowed.

        :param float reserve: tokens that have to be left after it.
        """
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
