"""Evaluates what the answers of endpoints state about the endpoints.

Only an answer that is certainly to the request that was sent counts, so that
a late or copied head of another answer has no effect on any endpoint.
"""

from celeryward.endpoints import closures
from celeryward.endpoints import runners
from celeryward.endpoints import warm_ups
from celeryward import errors

STATUS_UNAVAILABLE = 503
# Kind under which ignored parts of answers are counted.
ANSWER_KIND = 'answers'
# Characters of an odd value that are logged.
LOGGED_CHARACTERS = 40


class NoticeReader:
    """Records the notices in the heads of answers.

    ``reported`` holds the endpoints whose odd requests to wait were logged.
    ``place_listeners`` are coroutine functions that are called with an
    endpoint when it may take one more request.

    :param table: :class:`runners.RunnerTable`.
    :param endpoint_closures: :class:`closures.Closures`.
    :param closures.PauseBounds pause_bounds: bounds on requests to wait.
    :param estimates: :class:`reopening.ReopeningEstimates`.
    :param cold_endpoints: :class:`warm_ups.WarmUps`.
    :param ignored_entries: :class:`ignored.IgnoredEntries`.
    """

    def __init__(
        self,
        table,
        endpoint_closures,
        pause_bounds,
        estimates,
        cold_endpoints,
        ignored_entries,
    ):
        self.ignored = ignored_entries
        self.warm_ups = cold_endpoints
        self.table = table
        self.closures = endpoint_closures
        self.pause_bounds = pause_bounds
        self.estimates = estimates
        self.place_listeners = []
        self.reported = set()
        table.listeners.append(self.forget)

    def forget(self, runner):
        """Drop what was logged of an endpoint whose run is over."""
        self.reported.discard(runner.key)

    async def record(self, request_id, runner, status, metadata, in_flight):
        """Record the notices in the head of an answer.

        The answer must be certainly to the request, as
        :mod:`celeryward.endpoints.answer_origin` decides. A misdirected
        request was answered by another endpoint.

        :param str request_id: the request.
        :param runners.Runner runner: the endpoint that it was sent to.
        :param int status: the status of the answer.
        :param ingress.ResponseMetadata metadata: what the head says.
        :param int in_flight: this router's requests at the endpoint.
        """
        if metadata.misdirected:
            return
        if metadata.leaving and is_own_answer(metadata):
            self.table.announce_departure(runner, request_id)
        if metadata.cold_seconds != 0.0 and is_own_answer(metadata):
            if metadata.cold_seconds is None:
                self.ignored.record(
                    ANSWER_KIND, runner.id, 'cold time of an answer'
                )
            self.warm_ups.extend(
                runner, metadata.cold_seconds, warm_ups.ANSWER
            )
        if status == STATUS_UNAVAILABLE and metadata.retry_after:
            self.close(runner, metadata.retry_after, in_flight, request_id)
        elif status != STATUS_UNAVAILABLE and not metadata.not_run:
            self.closures.record_accepted(runner)
            await self.notify_listeners(runner)

    def close(self, runner, text, in_flight, request_id):
        """Close an endpoint that has turned a request away."""
        pause = closures.read_pause(text, self.pause_bounds)
        is_new = runner.key not in self.reported
        if pause.is_odd and is_new and self.table.is_available(runner):
            self.reported.add(runner.key)
            bind_logger(runner, request_id, pause).warning(
                'endpoint sent an odd Retry-After: {!r}',
                text[:LOGGED_CHARACTERS],
            )
        if pause.seconds <= 0.0:
            return
        if not self.closures.is_closed(runner):
            bind_logger(runner, request_id, pause).info('endpoint closed')
        self.closures.close(runner, pause.seconds, in_flight)

    async def give_back(self, place):
        """Give back a place at an endpoint, if that was not done before."""
        if self.closures.give_back(place) and place.opening is not None:
            await self.notify_listeners(place.runner)

    async def notify_listeners(self, runner):
        """Tell the listeners that an endpoint may take one more request."""
        for listener in self.place_listeners:
            await listener(runner)


def closed_error(runner):
    """Return the error for a request that a closed endpoint must not get."""
    return errors.EndpointClosed(
        'endpoint closed before the request was sent',
        step='send request',
        peer=runner.address,
    )


def cold_error(runner):
    """Return the error for a request that has no slot at a cold endpoint."""
    return errors.EndpointCold(
        'no slot at a cold endpoint when the request was to be sent',
        step='send request',
        peer=runner.address,
    )


def is_own_answer(metadata):
    """Return whether the endpoint itself has made an answer."""
    return bool(metadata.request_id or metadata.sealed or metadata.not_run)


def bind_logger(runner, request_id, pause):
    """Return a logger with the fields of a closed endpoint bound."""
    return runners.bind_logger(
        runner,
        announced_to=request_id,
        closed_seconds=round(pause.seconds, 3),
    )
