"""Runs one request at endpoints, with retries and resumes."""

import contextlib
import dataclasses
import time

from celeryward import calls
from celeryward.endpoints import candidates
from celeryward.endpoints import pool
from celeryward.endpoints import protocol
from celeryward.endpoints import retries
from celeryward import errors
from celeryward import logs

MAX_DISPATCHES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Attempt:
    """What one request has tried and passed on so far.

    :param Call call: the request.
    :param str model: name of the model or service.
    :param str pinned: version to keep to; empty for any.
    """

    def __init__(self, call, model, pinned=''):
        self.call = call
        self.model = model
        self.pinned = pinned
        self.tried = frozenset()
        self.dispatches = 0
        self.emitted = []
        self.emitted_tokens = 0
        self.candidate = None
        self.runs = []
        self.dispatched_at = 0.0

    @property
    def version(self):
        """Name of the version that runs the request."""
        return self.candidate.version.name

    def add(self, chunk):
        """Note a chunk that goes to the caller."""
        self.emitted.append(chunk.payload)
        self.emitted_tokens += chunk.tokens

    def resume_point(self):
        """Return the :class:`protocol.Resume`, or None before any token."""
        if not self.emitted_tokens:
            return None
        events = protocol.decode_events(b''.join(self.emitted))
        text = ''.join(event.text() for event in events)
        return protocol.Resume(self.emitted_tokens, text)

    def add_run(self, usage):
        """Note what one execution used."""
        version = self.candidate.version
        cost = version.cost(usage.prompt_tokens, usage.answer_tokens)
        endpoint = self.candidate.endpoint.name
        self.runs.append(calls.Run(version.name, endpoint, usage, cost))


class Dispatcher:
    """Selects endpoints and runs requests there.

    :param configuration: :class:`ConfigurationStore`.
    :param candidates.View view: what the daemon knows.
    :param pool.EndpointPool connections: connections to endpoints.
    """

    def __init__(self, configuration, view, connections, timings, metrics):
        self.configuration = configuration
        self.view = view
        self.connections = connections
        self.timings = timings
        self.metrics = metrics
        self.observer = None

    def choose(self, attempt):
        """Select the endpoint of the next dispatch.

        :raises errors.DeadlineExceeded: if the deadline has passed.
        :raises errors.Overloaded: if there is no candidate.
        """
        call = attempt.call
        if call.deadline.expired():
            raise errors.DeadlineExceeded(
                'deadline passed before dispatch',
                step='select',
                peer=attempt.model,
            )
        query = candidates.Query(
            self.configuration.catalog(),
            call,
            attempt.model,
            self.view,
            attempt.pinned,
            attempt.tried,
        )
        chosen = candidates.select(query)
        if chosen is None:
            raise errors.Overloaded(
                'no live endpoint runs a permitted version',
                step='select',
                peer=attempt.model,
            )
        attempt.candidate = chosen
        attempt.dispatches += 1
        attempt.dispatched_at = time.monotonic()
        attempt.tried |= {chosen.endpoint.name}
        return chosen

    async def stream(self, attempt):
        """Yield the chunks of one whole streamed answer.

        :raises errors.OutcomeUnknown: if it can't be completed.
        :raises errors.Overloaded: if it certainly did not run.
        """
        while True:
            chosen = self.choose(attempt)
            # A resumed stream stays on the version that began it.
            attempt.pinned = chosen.version.name
            chunks = self.stream_once(attempt, chosen)
            try:
                async with contextlib.aclosing(chunks):
                    async for chunk in chunks:
                        attempt.add(chunk)
                        yield chunk
                await self.observe(attempt, b''.join(attempt.emitted))
                return
            except errors.EndpointFailure as error:
                self.after_failure(attempt, error)

    async def stream_once(self, attempt, chosen):
        """Yield the chunks of one dispatch."""
        call = attempt.call
        resume = attempt.resume_point()
        async with self.leased(call, chosen.endpoint) as connection:
            async for chunk in protocol.stream_chat(
                connection, call, chosen.version, resume, self.reads(call)
            ):
                if chunk.usage is not None:
                    attempt.add_run(chunk.usage)
                yield chunk

    async def whole(self, attempt):
        """Return the chunk of one whole answer that is not streamed."""
        while True:
            chosen = self.choose(attempt)
            attempt.pinned = chosen.version.name
            call = attempt.call
            try:
                async with self.leased(call, chosen.endpoint) as connection:
                    chunk = await protocol.whole_chat(
                        connection, call, chosen.version, self.reads(call)
                    )
            except errors.EndpointFailure as error:
                self.after_failure(attempt, error)
                continue
            attempt.add_run(chunk.usage)
            await self.observe(attempt, chunk.payload)
            return chunk

    async def forward(self, attempt):
        """Return the :class:`ServiceAnswer` of a plain service."""
        call = attempt.call
        fresh = not call.request.idempotent
        while True:
            chosen = self.choose(attempt)
            try:
                async with self.leased(
                    call, chosen.endpoint, fresh
                ) as connection:
                    head, body = await protocol.forward(
                        connection, call, self.reads(call)
                    )
            except errors.EndpointFailure as error:
                self.after_failure(attempt, error)
                continue
            return ServiceAnswer(head.status, head.headers, body)

    @contextlib.asynccontextmanager
    async def leased(self, call, endpoint, fresh=False):
        """Borrow a connection and count the dispatch as in flight."""
        self.view.load.started(endpoint.name)
        try:
            async with self.connections.lease(
                endpoint, call.deadline, fresh
            ) as connection:
                yield connection
        except errors.ConnectionFailed as error:
            if not error.sent:
                interval = self.timings.probe_interval
                self.view.liveness.failed(endpoint.name, interval)
            raise
        finally:
            self.view.load.finished(endpoint.name)

    async def observe(self, attempt, payload):
        """Tell the observer of a completed answer, if there is one."""
        if self.observer is not None:
            await self.observer.finished(attempt, payload)

    def reads(self, call):
        """Return the read deadlines of a call."""
        return pool.ReadTimings(
            call.deadline,
            self.timings.first_byte_timeout,
            self.timings.progress_timeout,
        )

    def after_failure(self, attempt, error):
        """Return if the request is to be dispatched again.

        :raises errors.CelerywardError: the error for the caller, if not.
        """
        if self.observer is not None:
            self.observer.failed(attempt, error)
        endpoint = attempt.candidate.endpoint
        action = retries.after_failure(
            attempt.call, error, attempt.emitted_tokens, endpoint.can_resume
        )
        logs.bind_error(error, request_id=attempt.call.request_id).warning(
            'dispatch failed: {}; action {}', error.message, action.value
        )
        exhausted = attempt.dispatches >= MAX_DISPATCHES
        if action is retries.Action.FAIL or exhausted:
            raise retries.final_error(attempt.call, error) from error
        self.metrics.retries.labels(error.code).inc()
