"""Decides whether a request leaves an endpoint whose answer is late.

An endpoint may be silent for a second or so and then go on. A request that
leaves it loses what it has waited for, and everything if nothing can take the
place of the answer. It therefore leaves only when an attempt, time, another
endpoint and a token of the retry budget are secured. This answers endpoints
that fall silent, one alone or many at the same moment.
"""

from celeryward.callers import endpoint_timeouts

# Longest silence after which a sound endpoint is expected to go on.
SOUND_SILENCE_SECONDS = 1.5
# Time that another endpoint needs at least, whatever heads take usually.
MIN_REPLACEMENT_SECONDS = 0.25


class MovePolicy:
    """Secures the replacement of answers that are late.

    :param queues: :class:`queueing.QueueEstimates`.
    :param timeouts: :class:`endpoint_timeouts.EndpointTimeouts`.
    :param retries: :class:`retry_control.RetryControl`.
    """

    def __init__(self, queues, timeouts, retries):
        self.queues = queues
        self.timeouts = timeouts
        self.retries = retries

    def may_leave(self, relayed, waited_seconds, head_arrived):
        """Return whether a request leaves its endpoint now.

        If so, the token of its next dispatch is taken.

        :param float waited_seconds: time waited for the part that is late.
        :param bool head_arrived: whether the answer has begun.
        """
        if head_arrived and waited_seconds < SOUND_SILENCE_SECONDS:
            return False
        if not self.survives_silence(relayed, waited_seconds):
            return False
        if self.secure_replacement(relayed) is None:
            return False
        relayed.budget_charged = True
        return True

    def survives_silence(self, relayed, waited_seconds):
        """Return whether a move can't lose the answer to a sound silence.

        Either the next endpoint has time for such a silence, too, or this one
        has been silent for longer than a sound endpoint is.
        """
        return (
            waited_seconds >= SOUND_SILENCE_SECONDS
            or relayed.deadline.remaining() >= SOUND_SILENCE_SECONDS
        )

    def secure_replacement(self, relayed):
        """Return the plan of another dispatch and take its token, or None.

        None if the request may not run again, has no time left for it, or
        would not be served sooner.
        """
        if not (relayed.route.retryable and relayed.has_attempts_left()):
            return None
        needed = max(
            MIN_REPLACEMENT_SECONDS, self.timeouts.usual_head_seconds(relayed)
        )
        if relayed.deadline.remaining() < needed:
            return None
        plan = self.retries.plan_retry(relayed)
        if plan is None or plan.suspected or self.has_queue(relayed, plan):
            return None
        return plan if self.retries.take(plan.service) else None

    def has_queue(self, relayed, plan):
        """Return whether the request would wait long at another endpoint."""
        longest = (
            endpoint_timeouts.MAX_OTHER_QUEUE_FRACTION
            * relayed.route.objective_seconds
        )
        return self.queues.seconds(plan.runner.id) >= longest
