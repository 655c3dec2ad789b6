"""Timeouts of the router for the answers of endpoints."""

import time

from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward.raters import sizes

# The head of an answer to a retryable request is late if it takes longer than
# this fraction of the objective and than this many times its mean.
HEAD_OBJECTIVE_FRACTION = 0.9
HEAD_MEAN_FACTOR = 5.0
MIN_HEAD_SECONDS = 0.25
HEAD_SAMPLE_WEIGHT = 0.1
# The time to a head without a queue is a low quantile: it falls quickly with
# faster heads and rises slowly with others.
FASTER_SAMPLE_WEIGHT = 0.2
SLOWER_SAMPLE_WEIGHT = 0.02
# A body is late after this time from its head at the soonest.
MIN_BODY_SECONDS = 1.0
# The next event of a stream is late after a pause of this many times the
# objective.
PAUSE_FACTOR = 1.5


class EndpointTimeouts:
    """Derives timeouts from objectives and measured times to the head.

    ``mean_head_seconds`` holds an exponential moving average of the seconds
    to the head of an answer, for each unit of work, by route and model;
    ``unqueued_head_seconds`` those of a request that waits in no queue.
    """

    def __init__(self):
        self.mean_head_seconds = {}
        self.unqueued_head_seconds = {}

    def may_hedge(self, relayed):
        """Return whether another run may ever replace a late answer.

        It may be under way already, with an answer that is held. Whether one
        can begin is decided when an answer is late.
        """
        return relayed.route.retryable and (
            len(relayed.running) > 1 or relayed.has_attempts_left()
        )

    def head_deadline(self, relayed, plan):
        """Return the deadline from which an answer's head is late.

        :returns: :class:`deadlines.Deadline`.
        """
        if not self.may_hedge(relayed):
            return relayed.deadline
        mean = self.mean_head_seconds.get(self.mean_key(relayed, plan), 0.0)
        seconds = max(
            MIN_HEAD_SECONDS,
            HEAD_OBJECTIVE_FRACTION * relayed.route.objective_seconds,
            HEAD_MEAN_FACTOR
            * mean
            * relayed_requests.work_units(relayed.metadata),
        )
        return deadlines.Deadline.after(seconds).earlier(relayed.deadline)

    def pause_seconds(self, relayed):
        """Return the seconds after which an event of a stream is late."""
        is_stream = forwarding.is_stream(relayed.route)
        if is_stream and self.may_hedge(relayed):
            return PAUSE_FACTOR * relayed.route.event_gap_seconds
        return relayed.route.timeout_seconds

    def body_seconds(self, relayed):
        """Return the seconds from its head after which a body is late."""
        if self.may_hedge(relayed):
            return max(MIN_BODY_SECONDS, relayed.route.objective_seconds)
        return relayed.route.timeout_seconds

    def mean_key(self, relayed, plan):
        """Return the key of the mean: the route and the model."""
        return relayed.route.name, plan.size.model if plan.size else ''

    def usual_head_seconds(self, relayed):
        """Return the usual time to a head at the request's size of model."""
        model = relayed.size.model if relayed.size else ''
        mean = self.mean_head_seconds.get((relayed.route.name, model), 0.0)
        return mean * relayed_requests.work_units(relayed.metadata)

    def record_head_seconds(self, relayed, plan, answer):
        """Update the mean time to the head with a new answer."""
        key = self.mean_key(relayed, plan)
        sample = answer.seconds / relayed_requests.work_units(relayed.metadata)
        mean = self.mean_head_seconds.get(key, sample)
        self.mean_head_seconds[key] = mean + HEAD_SAMPLE_WEIGHT * (
            sample - mean
        )
        unqueued = self.unqueued_head_seconds.get(key, sample)
        weight = (
            FASTER_SAMPLE_WEIGHT if sample < unqueued else SLOWER_SAMPLE_WEIGHT
        )
        self.unqueued_head_seconds[key] = unqueued + weight * (
            sample - unqueued
        )

    def queue_seconds(self, relayed, plan, answer):
        """Return how long a request waited in the queue of its endpoint."""
        unqueued = self.unqueued_head_seconds.get(
            self.mean_key(relayed, plan), 0.0
        )
        units = relayed_requests.work_units(relayed.metadata)
        return max(0.0, answer.seconds - unqueued * units)

    def timing(self, relayed, plan, size, answer, endpoint_queue_seconds):
        """Return the :class:`sizes.Timing` of another run at a larger size.

        :param float endpoint_queue_seconds: estimated wait at the endpoint,
            which less urgent requests have even if this one had none.

        The larger model is assumed to take at least as long as the small
        one did.
        """
        mean = self.mean_head_seconds.get(
            (relayed.route.name, size.model), 0.0
        )
        return sizes.Timing(
            relayed.route.objective_seconds,
            time.monotonic() - relayed.started_at,
            max(
                answer.seconds,
                mean * relayed_requests.work_units(relayed.metadata),
            ),
            max(
                self.queue_seconds(relayed, plan, answer),
                endpoint_queue_seconds,
            ),
        )
