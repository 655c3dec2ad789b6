"""Observes finished requests of models that have a roll-out."""

import collections
import time

from celeryward import calls
from celeryward import catalog
from celeryward.raters import cascades
from celeryward.raters import protocol
from celeryward.raters import sampler
from celeryward.raters import texts

# Ratings of the old version that are made ahead, by kind of request.
RATED_AHEAD = 8
# Requests whose rating is not counted again if another part of the daemon
# has the same answer rated too.
RECENT_RATINGS = 1000


class Observer:
    """Passes errors, latencies and ratings to the comparisons.

    :param configuration: :class:`configuration.ConfigurationStore`.
    :param comparisons: :class:`rollouts.Comparisons`.
    :param ratings: :class:`sampler.Sampler`.
    """

    def __init__(self, configuration, comparisons, ratings):
        self.configuration = configuration
        self.comparisons = comparisons
        self.ratings = ratings
        self.recent = collections.deque(maxlen=RECENT_RATINGS)

    def rollout_of(self, model, version):
        """Return the running roll-out that a version takes part in."""
        rollout = self.configuration.catalog().rollout_by_model.get(model)
        if rollout is None or version not in (
            rollout.from_version,
            rollout.to_version,
        ):
            return None
        if rollout.state is not catalog.RolloutState.RUNNING:
            return None
        self.comparisons.begin_epoch(rollout.name, self.epoch_of(rollout.name))
        return rollout

    def epoch_of(self, name):
        """Return the epoch that the roll-out's stored status states."""
        change = self.configuration.objects.get(('Rollout', name))
        return change.object.status.get('epoch', 0) if change else 0

    async def finished(self, attempt, payload):
        """Observe an answer that an endpoint completed."""
        version = attempt.candidate.version
        rollout = self.rollout_of(version.model, version.version)
        if rollout is None:
            return
        call = attempt.call
        kind = cascades.classify_request(call.request)
        is_new = version.version == rollout.to_version
        usage = attempt.runs[-1].usage
        seconds = time.monotonic() - attempt.dispatched_at
        latency = seconds / max(1, usage.answer_tokens)
        self.note(rollout, 'error', kind, is_new, False)
        self.note(rollout, 'latency', kind, is_new, latency)
        rated = (cascades.classify_length(usage.prompt_tokens), kind[1])
        unpaired = self.comparisons.count_unpaired(
            rollout.name, 'rating', rated, False
        )
        if is_new or unpaired < RATED_AHEAD:
            request = protocol.RatingRequest(
                call.request_id,
                version.model,
                version.version,
                kind[1],
                usage.prompt_tokens,
                texts.answer_text(call, payload),
            )
            await self.ratings.offer(sampler.Sample(request, None))

    def failed(self, attempt, error):
        """Observe a dispatch that failed after it was sent.

        A refusal says nothing of the version: it did not run.
        """
        candidate = attempt.candidate
        is_chat = isinstance(attempt.call.request, calls.ChatRequest)
        if not error.sent or not is_chat:
            return
        version = candidate.version
        rollout = self.rollout_of(version.model, version.version)
        if rollout is not None:
            kind = cascades.classify_request(attempt.call.request)
            is_new = version.version == rollout.to_version
            self.note(rollout, 'error', kind, is_new, True)

    def rated(self, request, rating):
        """Observe a rating, whoever asked for it."""
        key = (request.request_id, request.model, request.version)
        rollout = self.rollout_of(request.model, request.version)
        if rollout is None or key in self.recent:
            return
        self.recent.append(key)
        length = cascades.classify_length(request.prompt_tokens)
        is_new = request.version == rollout.to_version
        kind = (length, request.task)
        self.note(rollout, 'rating', kind, is_new, rating.score)

    def note(self, rollout, name, kind, is_new, value):
        """Add one observation to the comparisons."""
        self.comparisons.observe(rollout.name, name, kind, is_new, value)
