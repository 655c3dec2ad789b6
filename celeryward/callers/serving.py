"""The whole path of a request, from its body to its bill."""

import contextlib
import dataclasses
import functools
import time

import curio

from celeryward.callers import accounting
from celeryward.callers import admission
from celeryward.callers import demand
from celeryward.callers import gates
from celeryward.callers import keys
from celeryward.callers import limits
from celeryward.callers import placement
from celeryward.callers import protocol
from celeryward.callers import sessions
from celeryward import calls
from celeryward.endpoints import attempts
from celeryward import errors
from celeryward.objects import batches
from celeryward.operators import windows


class Serving:
    """Authenticates, admits, runs, answers and bills requests.

    :param configuration: :class:`ConfigurationStore`.
    :param dispatcher: :class:`dispatch.Dispatcher`.
    :param signer: :class:`sessions.SessionSigner`.
    :param ledger: :class:`billing.Ledger`.
    :param cascade_runner: :class:`runner.CascadeRunner`.
    :param clock: function that returns UTC seconds.
    :param once.OnceRunner once: runs calls with an idempotency key.
    :param configuration_age: function that returns the seconds since the
        configuration was last known to be the newest.
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
        once,
        configuration_age=lambda: 0.0,
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.signer = signer
        self.ledger = ledger
        self.cascade_runner = cascade_runner
        self.metrics = metrics
        self.clock = clock
        self.once = once
        self.configuration_age = configuration_age
        self.recorder = windows.Recorder(ledger.owner)
        self.accounts = accounting.Accounts(
            configuration, self.recorder, metrics, clock
        )
        self.limiter = limits.Limiter(ledger.owner)
        self.gates = gates.Gates(
            configuration,
            self.limiter.shares,
            dispatcher.view.liveness,
        )
        self.stopping = False

    def authenticate(self, head, peer):
        """Return the customer whose key the request carries.

        :raises errors.ShuttingDown: if the daemon is stopping.
        :raises errors.Unauthenticated: if no customer has the key.
        """
        if self.stopping:
            raise errors.ShuttingDown(
                'daemon is stopping', step='admit', peer=peer
            )
        key = protocol.bearer_key(head.headers)
        current = self.configuration.catalog()
        return errors.unwrap(keys.authenticate(current, key, peer))

    @contextlib.contextmanager
    def admitted(self, customer, target):
        """Apply the limits, and count the result in the metrics.

        :raises errors.LimitExceeded: if the customer is at a limit.
        """
        started = time.monotonic()
        entered = self.limiter.enter(customer, started, self.clock())
        if entered.is_err():
            code = entered.unwrap_err().code
            self.accounts.record(customer.name, target, code)
            raise entered.unwrap_err()
        try:
            with self.accounts.open(customer, target) as account:
                yield account
        finally:
            self.limiter.leave(customer, time.monotonic() - started)

    def day(self):
        """Return the day that costs are charged to."""
        return limits.day_of(self.clock())

    def demand(self):
        """Return the next :class:`demand.Demand`, to be sent to peers."""
        models = tuple(
            demand.ModelDemand(model, wanted)
            for model, wanted in self.gates.wanted()
        )
        return self.limiter.summary(time.monotonic(), self.day(), models)

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
            claim_key=head.headers.get('idempotency-key', ''),
            priority=protocol.decode_priority(head.headers, customer, peer),
            digest=batches.digest_request(head.method, head.target, body),
        )
        current = self.configuration.catalog()
        route = errors.unwrap(
            admission.route_chat(current, customer, request.model)
        )
        with self.admitted(customer, request.model) as account:
            call = dataclasses.replace(call, account=account)
            run = functools.partial(self.run_chat, call, route)
            await self.once.run(call, run, responder)

    async def run_chat(self, call, route, responder):
        """Run an admitted chat request, if its bill can be kept."""
        errors.unwrap(self.ledger.admit())
        if route.cascade:
            await self.run_cascade(call, route, responder)
        elif call.request.stream:
            await self.run_stream(call, route, responder)
        else:
            await self.run_whole(call, route, responder)

    async def run_stream(self, call, route, responder):
        """Stream one model's answer; bill it before its last byte.

        :returns: the finished :class:`attempts.Attempt`.
        """
        started = time.monotonic()
        placer = self.placer(call, route)
        async with self.begin(placer, route.models[0]) as attempt:
            try:
                await self.pass_on(placer, attempt, responder, started)
            except (errors.CallerGone, curio.TaskCancelled):
                if not attempt.billed and attempt.emitted:
                    await self.bill_partial(call, attempt)
                raise
        return attempt

    async def bill_partial(self, call, attempt):
        """Bill what was generated before the answer was cut off."""
        if not attempt.finished:
            attempt.add_partial_run()
        await self.bill(call, attempt.runs)

    async def pass_on(self, placer, attempt, responder, started):
        """Send the chunks of a stream to the caller as they arrive."""
        chunks = self.dispatcher.stream(attempt)
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                if not responder.started:
                    headers = self.answer_headers(attempt, placer)
                    await responder.start_stream(headers)
                    self.note_first_token(attempt.call, started)
                if chunk.usage is None:
                    await responder.send(chunk.payload)
                else:
                    attempt.billed = True
                    await self.bill(attempt.call, attempt.runs)
                    await responder.finish_stream(chunk.payload)

    def note_first_token(self, call, started):
        """Note the time to the first token of a streamed answer."""
        seconds = time.monotonic() - started
        self.metrics.latency('first_token').record(seconds)
        if call.account is not None:
            call.account.first_token = seconds

    async def run_whole(self, call, route, responder):
        """Answer with one model's whole answer, after billing it.

        :returns: the finished :class:`attempts.Attempt`.
        """
        placer = self.placer(call, route)
        async with self.begin(placer, route.models[0]) as attempt:
            chunk = await self.dispatcher.complete_chat(attempt)
        attempt.add_chunk(chunk)
        await self.bill(call, attempt.runs)
        headers = self.answer_headers(attempt, placer)
        headers['content-type'] = 'application/json'
        await responder.send_whole(200, headers, chunk.payload)
        return attempt

    async def run_cascade(self, call, route, responder):
        """Answer with the first tier that meets the quality target.

        A tier whose answer is taken without a rating is not held back.
        """
        start = self.cascade_runner.begin(call, route)
        if start.step.final:
            await self.run_single(call, route, responder, start)
            return
        placer = self.placer(call, route)
        begin = functools.partial(self.begin, placer)
        outcome = await self.cascade_runner.run(call, route, begin, start)
        await self.bill(call, outcome.runs)
        headers = self.answer_headers(outcome.attempt, placer)
        if not call.request.stream:
            headers['content-type'] = 'application/json'
            await responder.send_whole(200, headers, outcome.payload)
            return
        await responder.start_stream(headers)
        await responder.finish_stream(outcome.payload)

    async def run_single(self, call, route, responder, start):
        """Pass one tier's answer straight on to the caller.

        If the pool of a cheap tier certainly takes no work, the strongest
        tier answers.
        """
        model = route.models[start.step.tier]
        single = dataclasses.replace(route, models=(model,))
        serve = self.run_stream if call.request.stream else self.run_whole
        try:
            attempt = await serve(call, single, responder)
        except errors.Overloaded:
            if responder.started or model == route.models[-1]:
                raise
            strongest = dataclasses.replace(route, models=route.models[-1:])
            await serve(call, strongest, responder)
            return
        await self.cascade_runner.finish_single(start, attempt)

    def placer(self, call, route):
        """Return the :class:`placement.Placer` of a request."""
        return placement.Placer(
            self.configuration,
            call,
            route,
            sessions.open_session(self.signer, call, self.clock()),
            self.configuration_age,
        )

    @contextlib.asynccontextmanager
    async def begin(self, placer, model):
        """Hold a slot of a model; yield the :class:`attempts.Attempt`.

        The request is placed once it has the slot, because versions may be
        withdrawn while it waits.

        :raises errors.NotRun: if it can't run.
        """
        arrived = time.monotonic()
        async with self.gates.slot(placer.call, model):
            waited = time.monotonic() - arrived
            self.metrics.latency('queue_wait').record(waited)
            new_placement = functools.partial(placer.place, model)
            attempt = attempts.Attempt(
                placer.call, model, new_placement=new_placement
            )
            attempt.change_version()
            yield attempt

    def answer_headers(self, attempt, placer):
        """Return the headers that tell what served a request."""
        headers = {
            'x-served-by': attempt.version,
            'x-session': self.signer.sign(placer.session),
        }
        if placer.changed:
            headers['x-version-changed'] = 'true'
        return headers

    async def bill(self, call, runs):
        """Settle the bill of a request; its last byte goes out after."""
        bill = calls.Bill(
            call.request_id,
            call.customer.name,
            call.request.model,
            tuple(runs),
            self.clock(),
            batches.bill_id(call.customer.name, call.request_id, call.digest),
        )
        await self.ledger.settle(bill)
        self.limiter.spend(bill.customer, bill.cost, self.day())
        if call.account is not None:
            self.accounts.settled(call.account, bill)
        self.metrics.bills.inc()
        for run in runs:
            self.metrics.answer_tokens.labels(run.version).inc(
                run.usage.answer_tokens
            )

    async def serve_service(self, head, body, deadline, responder):
        """Forward one request to a plain service."""
        peer = responder.connection.peer
        customer = self.authenticate(head, peer)
        name = protocol.service_name(head)
        current = self.configuration.catalog()
        service = errors.unwrap(
            admission.route_service(current, customer, name)
        )
        request = protocol.decode_service(head, body, service)
        call = calls.Call(
            responder.request_id,
            customer,
            deadline,
            request,
            claim_key=head.headers.get('idempotency-key', ''),
            priority=protocol.decode_priority(head.headers, customer, peer),
            digest=batches.digest_request(head.method, head.target, body),
        )
        with self.admitted(customer, name):
            run = functools.partial(self.run_service, call)
            await self.once.run(call, run, responder)

    async def run_service(self, call, responder):
        """Forward an admitted request and pass the answer on."""
        attempt = attempts.Attempt(call, call.request.service)
        answer = await self.dispatcher.forward(attempt)
        headers = protocol.service_headers(answer.headers)
        await responder.send_whole(answer.status, headers, answer.body)
