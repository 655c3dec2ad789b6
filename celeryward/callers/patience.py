"""How long a router waits for the answers of endpoints."""

import time

from celeryward.callers import relayed_requests
from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward.raters import sizes

# A repeatable request is sent elsewhere if the head of the answer takes this
# part of the objective, or this many times as long as usual.
HEAD_OBJECTIVE_PART = 0.9
HEAD_USUAL_FACTOR = 5.0
MIN_HEAD_SECONDS = 0.25
HEAD_SAMPLE_WEIGHT = 0.1
# Least time for a whole body after its head, before it is asked elsewhere.
MIN_BODY_SECONDS = 1.0
# A stream goes on elsewhere after this many times the pause that is on time.
PAUSE_FACTOR = 1.5


class Patience:
    """Knows what heads of answers usually take, for a unit of work."""

    def __init__(self):
        self.usual_head = {}

    def head_deadline(self, relayed, plan):
        """Return when the head of an answer is due.

        A request that may run once only waits until its deadline.
        """
        if not relayed.route.retryable or not relayed.has_alternative():
            return relayed.deadline
        usual = self.usual_head.get(self.head_key(relayed, plan), 0.0)
        seconds = max(
            MIN_HEAD_SECONDS,
            HEAD_OBJECTIVE_PART * relayed.route.objective_seconds,
            HEAD_USUAL_FACTOR * usual * relayed_requests.work(relayed.ask),
        )
        return deadlines.Deadline.after(seconds).earlier(relayed.deadline)

    def pause_seconds(self, relayed):
        """Return the longest wait for the next event of a stream."""
        if forwarding.is_stream(relayed.route) and relayed.has_alternative():
            return PAUSE_FACTOR * relayed.route.event_gap_seconds
        return relayed.route.timeout_seconds

    def body_seconds(self, relayed):
        """Return the time allowed for a whole body after its head."""
        if relayed.route.retryable and relayed.has_alternative():
            return max(MIN_BODY_SECONDS, relayed.route.objective_seconds)
        return relayed.route.timeout_seconds

    def head_key(self, relayed, plan):
        """Return what heads are compared with."""
        return relayed.route.name, plan.size.model if plan.size else ''

    def note_head(self, relayed, plan, answer):
        """Update the usual time to the head."""
        key = self.head_key(relayed, plan)
        sample = answer.seconds / relayed_requests.work(relayed.ask)
        usual = self.usual_head.get(key, sample)
        self.usual_head[key] = usual + HEAD_SAMPLE_WEIGHT * (sample - usual)

    def timing(self, relayed, size, answer):
        """Return how a request stands if it is sent to a larger size.

        The larger model waits at least as long as the small one did.
        """
        usual = self.usual_head.get((relayed.route.name, size.model), 0.0)
        return sizes.Timing(
            relayed.route.objective_seconds,
            time.monotonic() - relayed.started_at,
            max(answer.seconds, usual * relayed_requests.work(relayed.ask)),
        )
