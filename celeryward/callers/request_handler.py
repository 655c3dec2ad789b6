"""Handling of requests, from authentication to billing."""

import contextlib
import dataclasses
import functools
import time

import curio

from celeryward.callers import accounting
from celeryward.callers import admission
from celeryward.callers import demand
from celeryward.callers import keys
from celeryward.callers import limits
from celeryward.callers import model_queues
from celeryward.callers import protocol
from celeryward.callers import sessions
from celeryward.callers import version_selection
from celeryward import calls
from celeryward import completion
from celeryward import deadlines
from celeryward.endpoints import attempts
from celeryward import errors
from celeryward.objects import batches
from celeryward.operators import windows


class RequestHandler:
    """Authenticates, admits, runs, answers and bills requests.

    :param configuration: :class:`ConfigurationStore`.
    :param dispatcher: :class:`dispatch.Dispatcher`.
    :param signer: :class:`sessions.SessionSigner`.
    :param ledger: :class:`billing.Ledger`.
    :param cascade_runner: :class:`runner.CascadeRunner`.
    :param clock: function that returns UTC seconds.
    :param idempotent_runner: :class:`idempotency.IdempotentRunner`.
    :param configuration_age: function that returns the seconds since the
        platform last confirmed that the configuration is the newest.
    """

    def __init__(
        self,
        configuration,
        dispatcher,
        signer,
        ledger,
        cascade_runner,
        metrics,
        clock,
        idempotent_runner,
        configuration_age=lambda: 0.0,
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.signer = signer
        self.ledger = ledger
        self.cascade_runner = cascade_runner
        self.metrics = metrics
        self.clock = clock
        self.idempotent_runner = idempotent_runner
        self.configuration_age = configuration_age
        self.recorder = windows.Recorder(ledger.owner)
        self.usage_recorder = accounting.UsageRecorder(
            configuration, self.recorder, metrics, clock
        )
        self.limiter = limits.Limiter(ledger.owner)
        self.model_queues = model_queues.ModelQueues(
            configuration,
            self.limiter.shares,
            dispatcher.view.liveness,
        )
        self.stopping = False

    def authenticate(self, head, peer):
        """Return the customer that the API key of the request belongs to.

        :raises errors.ShuttingDown: if the daemon is stopping.
        :raises errors.Unauthenticated: if no customer has the key.
        """
        if self.stopping:
            raise errors.ShuttingDown(
                'daemon is stopping',
                step='admit',
                peer=peer,
                retry_at=deadlines.Deadline.after(
                    completion.STOPPING_RETRY_SECONDS
                ),
            )
        key = protocol.bearer_key(head.headers)
        catalog = self.configuration.catalog()
        return errors.unwrap(keys.authenticate(catalog, key, peer))

    @contextlib.contextmanager
    def admitted(self, customer, target):
        """Apply the customer's limits for the time of one request.

        The outcome is counted in the metrics. Yields the
        :class:`accounting.UsageRecord` of the request.

        :raises errors.LimitExceeded: if the customer is at a limit.
        """
        started = time.monotonic()
        entered = self.limiter.acquire(customer, started, self.clock())
        if entered.is_err():
            code = entered.unwrap_err().code
            self.usage_recorder.record(customer.name, target, code)
            raise entered.unwrap_err()
        try:
            with self.usage_recorder.track(customer, target) as usage_record:
                yield usage_record
        finally:
            self.limiter.release(customer, time.monotonic() - started)

    async def refuse_unfinishable(self):
        """Refuse the requests in queues that a stop would cut off."""
        await self.model_queues.refuse_waiting(
            self.dispatcher.check_completion
        )

    def billing_day(self):
        """Return the day that costs are charged to."""
        return limits.day_of(self.clock())

    def demand(self):
        """Return the next :class:`demand.Demand`, to be sent to peers."""
        models = tuple(
            demand.ModelDemand(model, wanted)
            for model, wanted in self.model_queues.outstanding_by_model()
        )
        return self.limiter.summary(
            time.monotonic(), self.billing_day(), models
        )

    async def serve_chat(self, head, body, deadline, responder):
        """Serve one chat request."""
        peer = responder.connection.peer
        customer = self.authenticate(head, peer)
        request, session_id = protocol.decode_chat(body, peer)
        call = calls.Call(
            responder.request_id,
            customer,
            deadline,
            request,
            session_token=head.headers.get('x-session', ''),
            session_id=session_id or head.headers.get('x-session-id', ''),
            idempotency_key=head.headers.get('idempotency-key', ''),
            priority=protocol.decode_priority(head.headers, customer, peer),
            digest=batches.digest_request(head.method, head.target, body),
            progress=responder.progress,
        )
        catalog = self.configuration.catalog()
        route = errors.unwrap(
            admission.route_chat(catalog, customer, request.model)
        )
        with self.admitted(customer, request.model) as usage_record:
            call = dataclasses.replace(call, usage_record=usage_record)
            run = functools.partial(self.run_chat, call, route)
            await self.idempotent_runner.run(call, run, responder)

    async def run_chat(self, call, route, responder):
        """Run an admitted chat request, if the ledger accepts its bill."""
        errors.unwrap(self.ledger.admit())
        if route.cascade:
            await self.run_cascade(call, route, responder)
        elif call.request.stream:
            await self.run_stream(call, route, responder)
        else:
            await self.run_unstreamed(call, route, responder)

    async def run_stream(self, call, route, responder):
        """Stream one model's answer; bill it before the last byte is sent.

        :returns: the finished :class:`attempts.Attempt`.
        """
        started = time.monotonic()
        selector = self.selector(call, route)
        async with self.start_attempt(selector, route.models[0]) as attempt:
            try:
                await self.relay_stream(selector, attempt, responder, started)
            except (errors.CallerDisconnected, curio.TaskCancelled):
                if not attempt.billed and attempt.emitted_payloads:
                    await self.bill_partial(call, attempt)
                raise
        return attempt

    async def bill_partial(self, call, attempt):
        """Bill the tokens that were generated before the stream broke off."""
        if not attempt.finished:
            attempt.add_partial_run()
        await self.bill(call, attempt.runs)

    async def relay_stream(self, selector, attempt, responder, started):
        """Relay the chunks of a stream to the caller as they arrive."""
        chunks = self.dispatcher.stream(attempt)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if not responder.started:
                    headers = self.answer_headers(attempt, selector)
                    await responder.start_stream(headers)
                    self.record_first_token(attempt.call, started)
                if chunk.usage is None:
                    await responder.send(chunk.payload)
                else:
                    attempt.billed = True
                    await self.bill(attempt.call, attempt.runs)
                    await responder.finish_stream(chunk.payload)

    def record_first_token(self, call, started):
        """Record the time to the first token of a streamed answer."""
        seconds = time.monotonic() - started
        self.metrics.latency('first_token').record(seconds)
        if call.usage_record is not None:
            call.usage_record.first_token_seconds = seconds

    async def run_unstreamed(self, call, route, responder):
        """Send one model's answer in one piece, after billing it.

        :returns: the finished :class:`attempts.Attempt`.
        """
        selector = self.selector(call, route)
        async with self.start_attempt(selector, route.models[0]) as attempt:
            chunk = await self.dispatcher.complete_chat(attempt)
        attempt.add_chunk(chunk)
        await self.bill(call, attempt.runs)
        headers = self.answer_headers(attempt, selector)
        headers['content-type'] = 'application/json'
        await responder.send_response(200, headers, chunk.payload)
        return attempt

    async def run_cascade(self, call, route, responder):
        """Run a cascade and send the answer that it accepts.

        An answer that is accepted without a rating is not buffered.
        """
        start = self.cascade_runner.begin(call, route)
        if start.step.final:
            await self.run_final_tier(call, route, responder, start)
            return
        selector = self.selector(call, route)
        start_attempt = functools.partial(self.start_attempt, selector)
        outcome = await self.cascade_runner.run(
            call, route, start_attempt, start
        )
        await self.bill(call, outcome.runs)
        headers = self.answer_headers(outcome.attempt, selector)
        if not call.request.stream:
            headers['content-type'] = 'application/json'
            await responder.send_response(200, headers, outcome.payload)
            return
        await responder.start_stream(headers)
        await responder.finish_stream(outcome.payload)

    async def run_final_tier(self, call, route, responder, start):
        """Relay the answer of the tier that is accepted without a rating.

        If the queue or the endpoints of a cheaper tier are overloaded, so
        that the request did not run, the strongest tier answers.
        """
        model = route.models[start.step.tier]
        single_route = dataclasses.replace(route, models=(model,))
        serve = self.run_stream if call.request.stream else self.run_unstreamed
        try:
            attempt = await serve(call, single_route, responder)
        except errors.Overloaded:
            if responder.started or model == route.models[-1]:
                raise
            strongest_route = dataclasses.replace(
                route, models=route.models[-1:]
            )
            await serve(call, strongest_route, responder)
            return
        await self.cascade_runner.record_single_tier(start, attempt)

    def selector(self, call, route):
        """Return the :class:`version_selection.VersionSelector` of a call."""
        return version_selection.VersionSelector(
            self.configuration,
            call,
            route,
            sessions.open_session(self.signer, call, self.clock()),
            self.configuration_age,
        )

    @contextlib.asynccontextmanager
    async def start_attempt(self, selector, model):
        """Occupy a slot of a model; yield the :class:`attempts.Attempt`.

        The version is chosen only when the request has its slot, because
        versions may be withdrawn while it waits.

        :raises errors.NotRun: if it can't run.
        """
        arrived = time.monotonic()
        check = functools.partial(selector.check, model)
        async with self.model_queues.slot(selector.call, model, check):
            waited = time.monotonic() - arrived
            self.metrics.latency('queue_wait').record(waited)
            select_version = functools.partial(selector.select, model)
            attempt = attempts.Attempt(
                selector.call, model, select_version=select_version
            )
            attempt.change_version()
            yield attempt

    def answer_headers(self, attempt, selector):
        """Return the headers with the version that served a request."""
        headers = {
            'x-served-by': attempt.version,
            'x-session': self.signer.sign(selector.session),
        }
        if selector.changed:
            headers['x-version-changed'] = 'true'
        return headers

    async def bill(self, call, runs):
        """Settle the bill of a request.

        Callers of this send the last byte only after it has returned.
        """
        bill = calls.Bill(
            call.request_id,
            call.customer.name,
            call.request.model,
            tuple(runs),
            self.clock(),
            batches.bill_id(call.customer.name, call.request_id, call.digest),
        )
        await self.ledger.record(bill)
        self.limiter.charge(bill.customer, bill.cost, self.billing_day())
        if call.usage_record is not None:
            self.usage_recorder.record_bill(call.usage_record, bill)
        self.metrics.bills.inc()
        for run in runs:
            self.metrics.answer_tokens.labels(run.version).inc(
                run.usage.answer_tokens
            )

    async def serve_service(self, head, body, deadline, responder):
        """Serve one request to a service without models."""
        peer = responder.connection.peer
        customer = self.authenticate(head, peer)
        name = protocol.service_name(head)
        catalog = self.configuration.catalog()
        service = errors.unwrap(
            admission.route_service(catalog, customer, name)
        )
        request = protocol.decode_service_request(head, body, service)
        call = calls.Call(
            responder.request_id,
            customer,
            deadline,
            request,
            idempotency_key=head.headers.get('idempotency-key', ''),
            priority=protocol.decode_priority(head.headers, customer, peer),
            digest=batches.digest_request(head.method, head.target, body),
            progress=responder.progress,
        )
        with self.admitted(customer, name):
            run = functools.partial(self.run_service, call)
            await self.idempotent_runner.run(call, run, responder)

    async def run_service(self, call, responder):
        """Forward an admitted request and relay the answer."""
        attempt = attempts.Attempt(call, call.request.service)
        answer = await self.dispatcher.forward(attempt)
        headers = protocol.forwarded_headers(answer.headers)
        await responder.send_response(answer.status, headers, answer.body)
