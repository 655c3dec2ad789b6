"""Secures another run of a request whose answer is late.

An endpoint may be silent for a second or so and then go on, so that no request
leaves it: another endpoint runs the request as well. That run is started only
when an attempt, time, a place at another endpoint and a token of the retry
budget are secured. This answers endpoints that fall silent, one alone or many
at the same moment. Needs no network.
"""

# Silence from which on a stream under way counts as late.
LATE_STREAM_SECONDS = 1.5
# Time that another endpoint needs at least, whatever heads take usually.
MIN_REPLACEMENT_SECONDS = 0.25
# Another endpoint doesn't help if its queue is longer than this fraction of
# the objective.
MAX_OTHER_QUEUE_FRACTION = 0.5


class ReplacementPolicy:
    """Secures further runs of requests.

    :param queues: :class:`queueing.QueueEstimates`.
    :param timeouts: :class:`endpoint_timeouts.EndpointTimeouts`.
    :param retries: :class:`retry_control.RetryControl`.
    """

    def __init__(self, queues, timeouts, retries):
        self.queues = queues
        self.timeouts = timeouts
        self.retries = retries

    def secure(self, relayed):
        """Return the plan of a further run with its place, or None.

        Its token is taken. None if the request may not run again, has no time
        left for it, would not be served sooner, or may crash endpoints.
        """
        if not (relayed.route.retryable and relayed.has_attempts_left()):
            return None
        if self.retries.planner.is_suspected(relayed):
            return None
        least_seconds = max(
            MIN_REPLACEMENT_SECONDS, self.timeouts.usual_head_seconds(relayed)
        )
        plan = self.retries.plan_retry(relayed, least_seconds)
        if plan is None or plan.suspected or self.has_queue(relayed, plan):
            return None
        if not self.retries.take(plan.service):
            return None
        return self.retries.planner.reserve(plan)

    def has_queue(self, relayed, plan):
        """Return whether the request would wait long at another endpoint."""
        longest = MAX_OTHER_QUEUE_FRACTION * relayed.route.objective_seconds
        return self.queues.seconds(plan.runner.id) >= longest


def is_late(is_stream, waited_seconds, head_arrived, is_lost):
    """Return whether a part of an answer is so late that a hedge may help.

    :param bool is_stream: whether the answer is a stream.
    :param float waited_seconds: time waited for the part.
    :param bool head_arrived: whether the answer has begun.
    :param bool is_lost: whether the endpoint accepts no connection.
    """
    under_way = is_stream and head_arrived
    return not under_way or is_lost or waited_seconds >= LATE_STREAM_SECONDS
