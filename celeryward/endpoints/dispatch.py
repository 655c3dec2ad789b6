"""Dispatches requests to endpoints, with retries and resumed streams."""

import contextlib
import dataclasses

import curio
import result

from celeryward import awake_clock
from celeryward import calls
from celeryward import completion
from celeryward.endpoints import candidates
from celeryward.endpoints import load
from celeryward.endpoints import pool
from celeryward.endpoints import protocol
from celeryward.endpoints import work
from celeryward import errors
from celeryward import stopping

# A probation ends with a first token, which takes about 0.1 s.
PROBATION_POLL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Dispatcher:
    """Selects endpoints and dispatches requests to them.

    :param configuration: :class:`ConfigurationStore`.
    :param candidates.EndpointView view: state of the endpoints.
    :param pool.EndpointPool connections: connections to endpoints.
    :param recovery.Recovery recovery: decides what follows a failed dispatch.
    :param completion.CompletionCheck check: None for one without a stop.
    """

    def __init__(
        self,
        configuration,
        view,
        connections,
        timings,
        recovery,
        check=None,
    ):
        self.configuration = configuration
        self.view = view
        self.connections = connections
        self.timings = timings
        self.recovery = recovery
        self.completion = check or completion.CompletionCheck(
            stopping.StopState()
        )
        self.observer = None

    async def select_endpoint(self, attempt):
        """Select the endpoint of the next dispatch.

        :raises errors.NotRun: if there is none and no dispatch may have run.
        :raises errors.OutcomeUnknown: if there is none, and an earlier
            dispatch may have run.
        """
        try:
            return await self.select_candidate(attempt)
        except errors.NotRun as error:
            raise attempt.undispatched_error(error) from error

    def ensure_runnable(self, attempt):
        """Change the version of a request that it may no longer run on.

        :raises errors.NotRun: if a token of the version was passed on, or
            the request may run on no other version.
        """
        checked = self.check_target(attempt)
        if checked.is_ok():
            return
        if attempt.emitted_tokens or attempt.select_version is None:
            raise checked.unwrap_err()
        attempt.change_version()

    def check_target(self, attempt):
        """Return a result that says whether the request may run now."""
        current = self.configuration.catalog()
        customer = attempt.call.customer.name
        if isinstance(attempt.call.request, calls.ServiceRequest):
            return candidates.check_service(current, customer, attempt.model)
        if not attempt.pinned_version:
            # The selection that follows checks each version.
            return result.Ok(None)
        return candidates.check_version(
            current, customer, attempt.pinned_version
        )

    def recheck_target(self, attempt):
        """Check the target again once the connection is open.

        Opening a connection can take as long as the connect timeout.
        Meanwhile the target may have been withdrawn or revoked, or the
        endpoint may have started to leave.

        :raises errors.EndpointRefused: if the request may no longer run.
        :raises errors.EndpointLeft: if the endpoint is leaving.
        """
        checked = self.check_target(attempt)
        endpoint = attempt.candidate.endpoint
        if checked.is_err():
            # The endpoint did not fail; it may serve another version.
            attempt.tried -= {endpoint.name}
            raise errors.EndpointRefused(
                checked.unwrap_err().message,
                step='confirm target',
                peer=attempt.pinned_version or attempt.model,
            )
        if self.view.liveness.is_leaving(endpoint.name):
            raise errors.EndpointLeft(
                'endpoint left before the request was sent',
                step='confirm target',
                peer=endpoint.address,
            )

    async def select_candidate(self, attempt):
        """Select among the endpoints of the current catalog.

        A request that is suspected of crashing endpoints waits until the
        verdict on it is known, and while every endpoint that it may use is
        occupied by the probation of another suspect.

        :raises errors.HarmfulRequest: if the request crashes endpoints.
        :raises errors.DeadlineExceeded: if the deadline has passed.
        :raises errors.ShuttingDown: if a stop would cut the request off.
        :raises errors.Overloaded: if there is no candidate.
        """
        while True:
            if attempt.call.deadline.expired():
                raise errors.DeadlineExceeded(
                    'deadline passed before dispatch',
                    step='select',
                    peer=attempt.model,
                )
            self.check_completion(attempt.call, attempt.model)
            self.ensure_runnable(attempt)
            isolation = self.recovery.isolation(attempt)
            if not isolation.undecided:
                chosen = self.select(attempt, isolation)
                if chosen is not None:
                    break
                self.check_probation(attempt, isolation)
            await curio.sleep(PROBATION_POLL_SECONDS)
        attempt.candidate = chosen
        attempt.dispatches += 1
        attempt.call.progress.dispatches += 1
        attempt.dispatched_at = awake_clock.CLOCK()
        attempt.tried |= {chosen.endpoint.name}
        self.recovery.record_dispatch(attempt, isolation)
        return chosen

    def check_probation(self, attempt, isolation):
        """Check that a suspect may wait for probations of other suspects.

        :raises errors.Overloaded: if the request is no suspect, or has no
            candidate that a probation may occupy.
        """
        if not isolation.crashed_endpoints or not self.select_avoiding(
            attempt
        ):
            raise errors.Overloaded(
                'no live endpoint can run or resume the request',
                step='select',
                peer=attempt.model,
            )

    def check_completion(self, call, target):
        """Check that a dispatch that begins now can be finished.

        :param str target: name of the model or the service.
        :raises errors.ShuttingDown: if a stop would cut it off.
        """
        self.completion.check(work.of_call(call, target), target)

    def select(self, attempt, isolation):
        """Return the best candidate, or None."""
        if isolation.crashed_endpoints:
            return self.select_for_probation(attempt, isolation)
        chosen = self.select_avoiding(attempt, isolation.probation_endpoints)
        if chosen is None and isolation.probation_endpoints:
            chosen = self.select_avoiding(attempt)
        if chosen is None and attempt.allow_retry_candidates():
            chosen = self.select_avoiding(attempt)
        return chosen

    def select_for_probation(self, attempt, isolation):
        """Return the candidate for a suspect's probation, or None.

        Endpoints that crashed while running the request are used only if
        there are no others.
        """
        avoided = isolation.crashed_endpoints
        if self.select_avoiding(attempt, avoided) is None:
            avoided = frozenset()
        view = dataclasses.replace(self.view, ranking='least-connections')
        return self.select_avoiding(
            attempt, avoided | isolation.probation_endpoints, view
        )

    def select_avoiding(self, attempt, avoided=frozenset(), view=None):
        """Return the best candidate but for some endpoints, or None."""
        query = candidates.Query(
            self.configuration.catalog(),
            attempt.call,
            attempt.model,
            view or self.view,
            attempt.pinned_version,
            attempt.tried | avoided,
            attempt.digests,
            resuming=attempt.emitted_tokens > 0,
        )
        return candidates.select(query)

    async def stream(self, attempt):
        """Yield the chunks of one streamed answer, over all dispatches.

        :raises errors.OutcomeUnknown: if it can't be completed.
        :raises errors.Overloaded: if the request certainly did not run.
        """
        while True:
            chosen = await self.select_endpoint(attempt)
            # A stream is resumed only on the version that began it.
            attempt.pinned_version = chosen.version.name
            chunks = self.stream_once(attempt, chosen)
            try:
                async with contextlib.aclosing(chunks):
                    async for chunk in chunks:
                        attempt.add_chunk(chunk)
                        yield chunk
                await self.notify_observer(
                    attempt, b''.join(attempt.emitted_payloads)
                )
                return
            except errors.EndpointFailure as error:
                await self.recovery.handle_failure(attempt, error)

    async def stream_once(self, attempt, chosen):
        """Yield the chunks that one dispatch adds to a stream."""
        call = attempt.dispatched_call()
        resume = attempt.resume_point()
        expected = self.record_dispatch(attempt, chosen.endpoint)
        started = awake_clock.CLOCK()
        async with self.leased_connection(
            attempt, chosen.endpoint
        ) as connection:
            self.recheck_target(attempt)
            chunks = protocol.stream_chat(
                connection,
                call,
                chosen.version,
                resume,
                self.stream_read_deadlines(call, chosen.endpoint),
            )
            async with contextlib.aclosing(chunks):
                # Read outside the loop, because the loop runs for each token.
                first = await anext(chunks)
                seconds = awake_clock.CLOCK() - started
                name = chosen.endpoint.name
                self.view.load.record_first_token(name, seconds, expected)
                self.recovery.end_probation(attempt)
                if first.usage is not None:
                    attempt.add_last_run(first.usage, first.tokens)
                yield first
                async for chunk in chunks:
                    if chunk.usage is not None:
                        attempt.add_last_run(chunk.usage, chunk.tokens)
                    yield chunk

    def record_dispatch(self, attempt, endpoint):
        """Return the expectation of a dispatch, and record its prefixes."""
        cached = self.view.prefixes
        expected = load.Expectation.of(
            self.view.load, endpoint, cached, attempt.digests
        )
        cached.record_dispatch(endpoint.name, attempt.digests)
        return expected

    async def complete_chat(self, attempt):
        """Return the single chunk of an answer that is not streamed."""
        while True:
            chosen = await self.select_endpoint(attempt)
            attempt.pinned_version = chosen.version.name
            call = attempt.dispatched_call()
            self.record_dispatch(attempt, chosen.endpoint)
            try:
                async with self.leased_connection(
                    attempt, chosen.endpoint
                ) as connection:
                    self.recheck_target(attempt)
                    chunk = await protocol.complete_chat(
                        connection,
                        call,
                        chosen.version,
                        self.read_deadlines(call),
                    )
            except errors.EndpointFailure as error:
                await self.recovery.handle_failure(attempt, error)
                continue
            attempt.add_last_run(chunk.usage, chunk.tokens)
            await self.notify_observer(attempt, chunk.payload)
            return chunk

    async def forward(self, attempt):
        """Return the :class:`ServiceAnswer` of a plain service."""
        new_connection = not attempt.call.request.idempotent
        while True:
            chosen = await self.select_endpoint(attempt)
            # On a reused connection, an answer to an earlier request whose
            # caller chose the same id may still be outstanding.
            call = (
                attempt.call if new_connection else attempt.dispatched_call()
            )
            try:
                async with self.leased_connection(
                    attempt, chosen.endpoint, new_connection
                ) as connection:
                    self.recheck_target(attempt)
                    head, body = await protocol.forward(
                        connection, call, self.read_deadlines(call)
                    )
            except errors.EndpointFailure as error:
                await self.recovery.handle_failure(attempt, error)
                continue
            return ServiceAnswer(head.status, head.headers, body)

    @contextlib.asynccontextmanager
    async def leased_connection(self, attempt, endpoint, new_connection=False):
        """Lease a connection and count the dispatch as in flight."""
        call = attempt.call
        started = awake_clock.CLOCK()
        self.view.load.request_started(endpoint.name, call.priority)
        try:
            async with self.connections.lease(
                endpoint, call.deadline, new_connection
            ) as connection:
                yield connection
            seconds = awake_clock.CLOCK() - started
            self.view.load.record_service_time(endpoint.name, seconds)
            kind = work.of_call(call, attempt.model).kind
            self.completion.record(kind, seconds)
            self.recovery.record_response(attempt)
        except errors.EndpointFailure:
            # Recovery examines the failure and then ends the probation.
            raise
        except BaseException:
            self.recovery.end_probation(attempt)
            raise
        finally:
            self.view.load.request_finished(endpoint.name, call.priority)

    async def notify_observer(self, attempt, payload):
        """Notify the observer, if there is one, of a completed answer."""
        if self.observer is not None:
            await self.observer.finished(attempt, payload)

    def read_deadlines(self, call):
        """Return the read deadlines of a call."""
        return pool.ReadDeadlines(
            call.deadline,
            self.timings.first_byte_timeout,
            self.timings.progress_timeout,
        )

    def stream_read_deadlines(self, call, endpoint):
        """Return the read deadlines of a stream.

        The limit of the first byte follows from the usual time to the first
        token at this endpoint, because nothing else distinguishes a dead
        connection from a request in the endpoint's queue.
        """
        return pool.ReadDeadlines(
            call.deadline,
            self.view.load.first_byte_timeout(
                endpoint,
                self.timings.progress_timeout,
                self.timings.first_byte_timeout,
            ),
            self.timings.progress_timeout,
        )
