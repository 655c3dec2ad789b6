"""The task that rates sampled answers outside the request path."""

import collections
import dataclasses

import curio

from celeryward import deadlines
from celeryward import logs
from celeryward.raters import protocol
from celeryward.raters import quality

# Rating tasks beyond this count are dropped, so that a slow rating service
# can't make a daemon buffer answers without a bound.
MAX_QUEUED = 64
RATING_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class RatingTask:
    """An answer to rate.

    :param quality.Choice choice: choice of the learner for the request; None
        if the rating is not used for learning.
    :param tuple scores: scores of the tiers that ran before.
    """

    request: protocol.RatingRequest
    choice: quality.Choice | None
    scores: tuple = ()


class Sampler:
    """Rates queued answers, one at a time.

    :param rater: :class:`client.RaterClient`.
    :param learner: :class:`quality.Learner`.
    :param listener: function of :class:`protocol.RatingRequest` and
        :class:`protocol.Rating`, called after each rating.
    """

    def __init__(self, rater, learner, listener=None):
        self.rater = rater
        self.learner = learner
        self.listener = listener or (lambda request, rating: None)
        self.queue = collections.deque()
        self.arrived = curio.Event()
        self.dropped = 0

    async def enqueue(self, task):
        """Queue a task, or drop it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        self.queue.append(task)
        await self.arrived.set()

    async def run(self):
        """Process queued tasks until cancelled."""
        while True:
            while self.queue:
                await self.process(self.queue.popleft())
            await self.arrived.wait()
            self.arrived.clear()

    async def process(self, task):
        """Rate one answer and pass its score to the learner."""
        if not self.learner.health.may_probe:
            return
        deadline = deadlines.Deadline.after(RATING_SECONDS)
        score = await self.rate(task.request, deadline)
        if score is not None and task.choice is not None:
            self.learner.learn(task.choice, (*task.scores, score))

    async def rate(self, request, deadline):
        """Return the score of an answer, or None if it can't be rated."""
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
