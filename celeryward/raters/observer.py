"""Observation of finished requests to models with a running rollout."""

import collections

from celeryward import awake_clock
from celeryward import calls
from celeryward import catalog
from celeryward.raters import cascades
from celeryward.raters import protocol
from celeryward.raters import sampler
from celeryward.raters import texts

# Unpaired ratings of the old version that are collected for each kind of
# request, as partners for ratings of the new version.
MAX_UNPAIRED_OLD_RATINGS = 8
# Number of recent ratings that are remembered, so that an answer that both the
# observer and the cascades had rated is counted once.
MAX_RECENT_RATINGS = 1000


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
        self.recent_rating_keys = collections.deque(maxlen=MAX_RECENT_RATINGS)

    def running_rollout(self, model, version):
        """Return the running rollout from or to a version, or None."""
        known = self.configuration.catalog().rollouts_by_model.get(model, ())
        running = (
            rollout
            for rollout in known
            if rollout.state is catalog.RolloutState.RUNNING
            and version in (rollout.from_version, rollout.to_version)
        )
        rollout = next(running, None)
        if rollout is None:
            return None
        self.comparisons.begin_epoch(
            rollout.name, self.stored_epoch(rollout.name)
        )
        return rollout

    def stored_epoch(self, name):
        """Return the epoch in the stored status of a rollout."""
        change = self.configuration.latest_changes.get(('Rollout', name))
        return change.object.status.get('epoch', 0) if change else 0

    async def finished(self, attempt, payload):
        """Add observations of an answer that an endpoint completed."""
        version = attempt.candidate.version
        rollout = self.running_rollout(version.model, version.version)
        if rollout is None:
            return
        call = attempt.call
        kind = cascades.classify_request(call.request)
        is_new = version.version == rollout.to_version
        usage = attempt.runs[-1].usage
        seconds = awake_clock.CLOCK() - attempt.dispatched_at
        latency = seconds / max(1, usage.answer_tokens)
        self.add_observation(rollout, 'error', kind, is_new, False)
        self.add_observation(rollout, 'latency', kind, is_new, latency)
        rating_kind = (cascades.classify_length(usage.prompt_tokens), kind[1])
        unpaired = self.comparisons.count_unpaired(
            rollout.name, 'rating', rating_kind, False
        )
        if is_new or unpaired < MAX_UNPAIRED_OLD_RATINGS:
            request = protocol.RatingRequest(
                call.request_id,
                version.model,
                version.version,
                kind[1],
                usage.prompt_tokens,
                texts.answer_text(call, payload),
            )
            await self.ratings.enqueue(sampler.RatingTask(request, None))

    def failed(self, attempt, error):
        """Add an observation of a dispatch that failed after it was sent.

        A refused request is not counted, because the version did not run.
        """
        candidate = attempt.candidate
        is_chat = isinstance(attempt.call.request, calls.ChatRequest)
        if not error.sent or not is_chat:
            return
        version = candidate.version
        rollout = self.running_rollout(version.model, version.version)
        if rollout is not None:
            kind = cascades.classify_request(attempt.call.request)
            is_new = version.version == rollout.to_version
            self.add_observation(rollout, 'error', kind, is_new, True)

    def rated(self, request, rating):
        """Add an observation of a rating, whichever part requested it."""
        key = (request.request_id, request.model, request.version)
        rollout = self.running_rollout(request.model, request.version)
        if rollout is None or key in self.recent_rating_keys:
            return
        self.recent_rating_keys.append(key)
        length = cascades.classify_length(request.prompt_tokens)
        is_new = request.version == rollout.to_version
        kind = (length, request.task)
        self.add_observation(rollout, 'rating', kind, is_new, rating.score)

    def add_observation(self, rollout, name, kind, is_new, value):
        """Add one observation to the comparisons."""
        self.comparisons.observe(rollout.name, name, kind, is_new, value)
