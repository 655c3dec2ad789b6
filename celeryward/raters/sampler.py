"""The task that rates answers beside their requests."""

import collections
import dataclasses

import curio

from celeryward import deadlines
from celeryward import logs
from celeryward.raters import protocol
from celeryward.raters import quality

# Samples beyond this count are dropped: a slow rating service must not
# make a daemon hold answers.
MAX_QUEUED = 64
RATING_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RatingTask:
    """An answer to rate.

    :param quality.Choice choice: what the learner chose; None if nobody
        learns from the rating.
    :param tuple scores: scores of the request's earlier tiers.
    """

    request: protocol.RatingRequest
    choice: quality.Choice | None
    scores: tuple = ()


class Sampler:
    """Rates sampled answers one after the other.

    :param listener: function of request and :class:`protocol.Rating`.
    """

    def __init__(self, rater, learner, listener=None):
        self.rater = rater
        self.learner = learner
        self.listener = listener or (lambda request, rating: None)
        self.queue = collections.deque()
        self.arrived = curio.Event()
        self.dropped = 0

    async def enqueue(self, task):
        """Take a task, or drop it if too many are waiting."""
        if len(self.queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        self.queue.append(task)
        await self.arrived.set()

    async def run(self):
        """Rate samples as they come."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.queue:
                await self.process(self.queue.popleft())

    async def process(self, task):
        """Rate one task and pass on its score."""
        if not self.learner.health.may_probe:
            return
        deadline = deadlines.Deadline.after(RATING_SECONDS)
        score = await self.rate(task.request, deadline)
        if score is not None and task.choice is not None:
            self.learner.learn(task.choice, (*task.scores, score))

    async def rate(self, request, deadline):
        """Return the score of an answer, or None if there is none."""
        rating = await self.rater.rate(request, deadline)
        if rating.is_err():
            error = rating.unwrap_err()
            self.learner.health.failed()
            logs.bind_error(error, request_id=request.request_id).warning(
                'answer not rated: {}', error.message
            )
            return None
        self.learner.health.succeeded()
        self.listener(request, rating.unwrap())
        return rating.unwrap().score
