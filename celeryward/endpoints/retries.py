"""Retry policy: whether a failed dispatch may be repeated."""

import enum

from celeryward import calls
from celeryward import errors

# Retries allowed for each first dispatch.
RETRY_RATIO = 0.1
# Enough for the requests of one endpoint that fails just after the start of
# this process.
INITIAL_TOKENS = 10.0
# Enough for the requests of one large endpoint; the budget saves no more.
MAX_TOKENS = 100.0


class Action(enum.Enum):
    """The reaction to a failed dispatch."""

    RETRY = 'retry'
    RESUME = 'resume'
    FAIL = 'fail'


def choose_action(call, error, emitted_tokens):
    """Return the action after a failed dispatch.

    :param errors.EndpointFailure error: the cause of the failure.
    :param int emitted_tokens: number of tokens sent to the caller.
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
    """Return the error for the caller after the last failure.

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
    """Limits the load that is added by retries, as a token bucket.

    Each first dispatch adds a fraction of a token and each retry takes one.
    The first dispatches repay the initial tokens before they add any, so
    that the number of retries never exceeds the larger of the initial tokens
    and that fraction of the first dispatches.

    :param float ratio: tokens added by each first dispatch.
    :param float initial: number of initial tokens.
    :param float maximum: capacity of the bucket.
    """

    def __init__(
        self, ratio=RETRY_RATIO, initial=INITIAL_TOKENS, maximum=MAX_TOKENS
    ):
        self.ratio = ratio
        self.maximum = maximum
        self.tokens = initial
        self.debt = initial

    def record_first_dispatch(self):
        """Add tokens for a first dispatch, once the debt is repaid."""
        if self.debt > 0:
            self.debt -= self.ratio
            return
        self.tokens = min(self.maximum, self.tokens + self.ratio)

    def try_take(self, reserve=0.0):
        """Take a token for a retry; return whether there was one.

        :param float reserve: number of tokens that have to remain.
        """
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
