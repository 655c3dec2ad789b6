"""The whole path of a request, from its body to its bill."""

import contextlib
import dataclasses

from celeryward.callers import admission
from celeryward.callers import keys
from celeryward.callers import protocol
from celeryward.callers import sessions
from celeryward import calls
from celeryward.endpoints import dispatch
from celeryward import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The session of a chat request and the version it runs on.

    :param str pinned: ``model@version`` to run on, or empty.
    :param bool changed: whether the session's version was withdrawn.
    """

    session: sessions.Session
    pinned: str
    changed: bool = False


class Serving:
    """Authenticates, admits, runs, answers and bills requests.

    :param configuration: :class:`ConfigurationStore`.
    :param dispatcher: :class:`dispatch.Dispatcher`.
    :param signer: :class:`sessions.SessionSigner`.
    :param ledger: :class:`billing.Ledger`.
    :param cascade_runner: :class:`runner.CascadeRunner`.
    :param clock: function that returns UTC seconds.
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
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.signer = signer
        self.ledger = ledger
        self.cascade_runner = cascade_runner
        self.metrics = metrics
        self.clock = clock
        self.concurrency = admission.Concurrency()
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
        """Count a request as running, and its result in the metrics.

        :raises errors.LimitExceeded: if the customer is at its limit.
        """
        entered = self.concurrency.enter(customer)
        if entered.is_err():
            self.count(customer, target, entered.unwrap_err().code)
            raise entered.unwrap_err()
        code = 'ok'
        try:
            yield
        except errors.CelerywardError as error:
            code = error.code
            raise
        finally:
            self.concurrency.leave(customer)
            self.count(customer, target, code)

    def count(self, customer, target, code):
        """Count one request in the metrics."""
        self.metrics.requests.labels(customer.name, target, code).inc()

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
        )
        current = self.configuration.catalog()
        route = errors.unwrap(
            admission.route_chat(current, customer, request.model)
        )
        with self.admitted(customer, request.model):
            if route.cascade:
                await self.run_cascade(call, route, responder)
            elif request.stream:
                await self.run_stream(call, route, responder)
            else:
                await self.run_whole(call, route, responder)

    async def run_stream(self, call, route, responder):
        """Stream one model's answer; bill it before its last byte.

        :returns: the finished :class:`dispatch.Attempt`.
        """
        placement = self.place(call, route)
        attempt = dispatch.Attempt(call, route.models[0], placement.pinned)
        started = self.clock()
        chunks = self.dispatcher.stream(attempt)
        try:
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    if not responder.started:
                        headers = self.answer_headers(attempt, placement)
                        await responder.start_stream(headers)
                        self.metrics.latency('first_token').record(
                            self.clock() - started
                        )
                    if chunk.usage is None:
                        await responder.send(chunk.payload)
                    else:
                        await self.bill(call, attempt.runs)
                        await responder.finish_stream(chunk.payload)
        except errors.CallerGone:
            if not attempt.runs:
                attempt.add_run(calls.Usage(0, attempt.emitted_tokens))
                await self.bill(call, attempt.runs)
            raise
        return attempt

    async def run_whole(self, call, route, responder):
        """Answer with one model's whole answer, after billing it.

        :returns: the finished :class:`dispatch.Attempt`.
        """
        placement = self.place(call, route)
        attempt = dispatch.Attempt(call, route.models[0], placement.pinned)
        chunk = await self.dispatcher.whole(attempt)
        attempt.add(chunk)
        await self.bill(call, attempt.runs)
        headers = self.answer_headers(attempt, placement)
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
        outcome = await self.cascade_runner.run(call, route, self.place, start)
        await self.bill(call, outcome.runs)
        headers = self.answer_headers(outcome.attempt, outcome.placement)
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

    def place(self, call, route, model=None):
        """Return the :class:`Placement` of a request on a model.

        :raises errors.Overloaded: if no permitted version is live.
        """
        model = model or route.models[0]
        current = self.configuration.catalog()
        session = self.signer.verify(call.session_token)
        if session is None:
            session = sessions.Session(call.session_id or call.request_id)
        if route.pinned:
            return Placement(session, route.pinned)
        kept = current.versions.get(f'{model}@{session.versions.get(model)}')
        if kept is not None and kept.usable:
            return Placement(session, kept.name)
        chosen = sessions.choose_version(
            current, call.customer, model, session.id
        )
        if chosen is None:
            raise errors.Overloaded(
                'no permitted version is live', step='place', peer=model
            )
        versions = {**session.versions, model: chosen.version}
        return Placement(
            sessions.Session(session.id, versions),
            chosen.name,
            changed=model in session.versions,
        )

    def answer_headers(self, attempt, placement):
        """Return the headers that tell what served a request."""
        headers = {
            'x-served-by': attempt.version,
            'x-session': self.signer.sign(placement.session),
        }
        if placement.changed:
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
        )
        await self.ledger.settle(bill)
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
        )
        with self.admitted(customer, name):
            attempt = dispatch.Attempt(call, name)
            answer = await self.dispatcher.forward(attempt)
            headers = protocol.service_headers(answer.headers)
            await responder.send_whole(answer.status, headers, answer.body)
