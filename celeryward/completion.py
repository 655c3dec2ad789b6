"""Decides whether work that begins now can be finished.

Everything that starts work on a request asks here: its first dispatch, and a
retry, a hedge, a larger model, the rest of a stream, or a request that has
waited. What the work usually takes is compared with what is left of the
request's deadline and of a planned stop. Work that would be cut off is better
refused at once: another host still serves it. This answers planned stops under
load, and failures late in the time of a request. Needs no network.
"""

from collections import abc
import dataclasses

from celeryward import deadlines
from celeryward import durations
from celeryward import errors
from celeryward import registry

# Retry delay of a refusal: other hosts take new connections.
STOPPING_RETRY_SECONDS = 0.1
# Mean deviations above the mean duration that work is planned with.
USUAL_DEVIATIONS = 2.0
# The same for work that is lost if it is cut off.
LOSABLE_DEVIATIONS = 4.0

RULES = registry.Registry('completion rule')


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work on a request that would begin now.

    :param kind: names the work that takes a similar time; hashable.
    :param deadlines.Deadline deadline: of the request.
    :param str rule: name of the rule for a planned stop.
    :param float least_seconds: time that must be left until the deadline.
    """

    kind: abc.Hashable
    deadline: deadlines.Deadline
    rule: str
    least_seconds: float = 0.0


@RULES.register('repeatable')
def fits_usually(estimate, seconds_left):
    """Return whether work that callers may repeat usually ends in time."""
    return fits(estimate, USUAL_DEVIATIONS, seconds_left)


@RULES.register('losable')
def fits_almost_always(estimate, seconds_left):
    """Return whether work ends in time whose answer can't be continued."""
    return fits(estimate, LOSABLE_DEVIATIONS, seconds_left)


@RULES.register('once')
def fits_certainly(estimate, seconds_left):
    """Return False: work that must not run twice needs its whole deadline.

    If it were cut off, its caller could never know whether it took effect.
    """
    return False


def fits(estimate, deviations, seconds_left):
    """Return whether an estimated duration fits; an unknown one doesn't."""
    if estimate is None:
        return False
    return estimate.upper_bound(deviations) <= seconds_left


class CompletionCheck:
    """Measures how long work takes, and judges work that would begin.

    :param stopping.StopState stop: the planned stop of this process.
    """

    def __init__(self, stop):
        self.stop = stop
        self.estimates = {}

    def record(self, kind, seconds):
        """Record how long some work took that was finished."""
        estimate = self.estimates.get(kind)
        if estimate is None:
            self.estimates[kind] = durations.DurationEstimate(seconds)
        else:
            self.estimates[kind] = estimate.updated(seconds)

    def can_finish(self, work):
        """Return whether work that begins now can be finished."""
        return self.fits_deadline(work) and self.fits_stop(work)

    def fits_deadline(self, work):
        """Return whether enough time is left until the deadline."""
        return (
            not work.least_seconds
            or work.deadline.remaining() >= work.least_seconds
        )

    def fits_stop(self, work):
        """Return whether a planned stop leaves the time that is needed.

        No request needs more than the time until its deadline.
        """
        seconds_left = self.stop.seconds_left()
        if work.deadline.remaining() <= seconds_left:
            return True
        estimate = self.estimates.get(work.kind)
        return RULES.get(work.rule)(estimate, seconds_left)

    def check(self, work, peer):
        """Check that work that begins now can be finished.

        :param str peer: where the work would be done, for the error.
        :raises errors.DeadlineExceeded: if too little of its deadline is left.
        :raises errors.ShuttingDown: if too little of a stop is left.
        """
        if not self.fits_deadline(work):
            raise errors.DeadlineExceeded(
                'too little time is left until the deadline',
                step='select',
                peer=peer,
                retry_at=deadlines.Deadline.after(STOPPING_RETRY_SECONDS),
            )
        if not self.fits_stop(work):
            raise errors.ShuttingDown(
                'the stop leaves too little time',
                step='select',
                peer=peer,
                retry_at=deadlines.Deadline.after(STOPPING_RETRY_SECONDS),
            )
