"""Runs the tiers of a cascade for one request."""

import dataclasses

from celeryward import calls
from celeryward.endpoints import dispatch
from celeryward.endpoints import protocol as endpoint_protocol
from celeryward import errors
from celeryward.raters import cascades
from celeryward.raters import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class CascadeOutcome:
    """The answer that a cascade settled on, and all of its runs."""

    payload: bytes
    attempt: dispatch.Attempt
    runs: tuple[calls.Run, ...]


class CascadeRunner:
    """Runs tiers until the cascade's rule is satisfied.

    :param rater: :class:`client.RaterClient`.
    """

    def __init__(self, configuration, dispatcher, rater):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.rater = rater

    async def run(self, call, route, begin):
        """Return the :class:`CascadeOutcome` of a request.

        The answer of each tier is held until it is accepted, because a
        rejected answer must not reach the caller.

        :param begin: function of a model that returns a context manager,
            which holds a slot and yields the placed
            :class:`dispatch.Attempt`.
        """
        cascade = self.configuration.catalog().cascades[route.cascade]
        rule = cascades.RULES.get(cascade.rule)
        scores = ()
        runs = ()
        outcome = None
        while True:
            step = rule(cascade, route.models, scores)
            if step is None:
                return outcome
            model = route.models[step.tier]
            try:
                async with begin(model) as attempt:
                    payload, text = await self.run_tier(attempt)
            except errors.NotRun:
                # A tier that is withdrawn, revoked or full meanwhile must
                # not turn the runs so far into an untrue "not run".
                if outcome is None:
                    raise
                return outcome
            runs += tuple(attempt.runs)
            outcome = CascadeOutcome(payload, attempt, runs)
            if step.final:
                return outcome
            scores += (await self.rate(call, attempt, text),)

    async def run_tier(self, attempt):
        """Return payload and text of one tier's whole answer."""
        if not attempt.call.request.stream:
            chunk = await self.dispatcher.whole(attempt)
            text = endpoint_protocol.answer_text(chunk.payload)
            return chunk.payload, text
        async for _ in self.dispatcher.stream(attempt):
            pass
        payload = b''.join(attempt.emitted)
        events = endpoint_protocol.decode_events(payload)
        return payload, ''.join(event.text() for event in events)

    async def rate(self, call, attempt, text):
        """Return the score of an answer, or None if there is none."""
        run = attempt.runs[-1]
        model, _, version = run.version.partition('@')
        request = protocol.RatingRequest(
            call.request_id,
            model,
            version,
            'chat',
            run.usage.prompt_tokens,
            text,
        )
        rating = await self.rater.rate(request, call.deadline)
        return rating.unwrap().score if rating.is_ok() else None
