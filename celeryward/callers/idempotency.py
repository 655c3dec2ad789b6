"""At-most-once execution of calls that have an idempotency key."""

import curio

from celeryward import errors
from celeryward.objects import claim_store
from celeryward.objects import claims

NOT_RUN_ERRORS = (errors.NotRun, errors.BadInput)


class RecordingResponder:
    """Writes a response to another responder and records it.

    The outcome is stored before the last byte is sent. A caller that
    retries right after the response, or that closed the connection at its
    end, then gets the same response again.

    :param responder: the responder of the caller's connection.
    :param store: async function that stores a :class:`claims.Response`.
    """

    def __init__(self, responder, store):
        self.responder = responder
        self.store = store
        self.status = None
        self.headers = {}
        self.pieces = []
        self.size = 0
        self.complete = False

    @property
    def started(self):
        """Whether a part of the response was sent."""
        return self.responder.started

    @property
    def request_id(self):
        """The request id of this attempt."""
        return self.responder.request_id

    @property
    def connection(self):
        """The connection of the caller."""
        return self.responder.connection

    async def start_stream(self, headers):
        """Record and send the head of a streamed response."""
        recorded = {'content-type': 'text/event-stream', **headers}
        self.record_head(200, recorded)
        await self.responder.start_stream(headers)

    async def send(self, payload):
        """Record and send a piece of a streamed response."""
        self.record_content(payload)
        await self.responder.send(payload)

    async def finish_stream(self, payload):
        """Send the last piece of a streamed response, after storing it."""
        self.record_content(payload)
        await self.store_response()
        await self.responder.finish_stream(payload)

    async def send_response(self, status, headers, body):
        """Send a response that is not streamed, after storing it."""
        self.record_head(status, headers)
        self.record_content(body)
        await self.store_response()
        await self.responder.send_response(status, headers, body)

    def record_head(self, status, headers):
        """Record status and headers."""
        self.status = status
        self.headers = dict(headers)

    def record_content(self, payload):
        """Record a piece; drop all if the response is too large to store."""
        self.size += len(payload)
        if self.size <= claims.MAX_STORED_BODY_BYTES:
            self.pieces.append(payload)
        else:
            self.pieces.clear()

    async def store_response(self):
        """Store the complete response."""
        self.complete = True
        await self.store(self.response())

    def response(self):
        """Return what was recorded as a :class:`claims.Response`."""
        fits = self.size <= claims.MAX_STORED_BODY_BYTES
        return claims.Response(
            self.status,
            self.headers,
            b''.join(self.pieces),
            stored=self.complete and fits,
        )


class IdempotentRunner:
    """Runs calls, those with an idempotency key at most once.

    :param claim_store.ClaimStore store: the claims of this daemon.
    :param new_id: function that returns unique ids.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, store, new_id, clock):
        self.store = store
        self.new_id = new_id
        self.clock = clock

    async def run(self, call, serve, responder):
        """Run a call, or replay the stored response of an earlier attempt.

        :param serve: async function that runs the call, given a responder.
        :raises errors.ClaimHeld: if an earlier attempt has not finished.
        :raises errors.ClaimUnchecked: if the platform can't be reached.
        """
        if not call.idempotency_key:
            await serve(responder)
            return
        claim = errors.unwrap(
            claims.open_claim(call, self.new_id(), self.clock())
        )
        acquired = errors.unwrap(await self.store.acquire(claim))
        if isinstance(acquired, claim_store.AcquiredClaim):
            await self.run_claimed(acquired, serve, responder, call.progress)
            return
        headers = {**acquired.headers, 'x-replayed': 'true'}
        await responder.send_response(acquired.status, headers, acquired.body)

    async def run_claimed(self, claimed, serve, responder, progress):
        """Run a call whose key is claimed, and store its outcome.

        An incomplete response is recorded as run, without its content. If
        the outcome is unknown, the claim stays open and later attempts fail
        with :class:`errors.ClaimHeld`.

        :param claim_store.AcquiredClaim claimed: the claim of this attempt.
        :param calls.Progress progress: what has been done for the call.
        """

        async def store(response):
            await self.store.store_outcome(
                claimed, claimed.claim.as_ran(response)
            )

        recording = RecordingResponder(responder, store)
        try:
            await serve(recording)
        except NOT_RUN_ERRORS:
            if recording.status is None:
                await self.store_not_run(claimed)
            raise
        except curio.TaskCancelled:
            # Cut off, or left by its caller, while it waited.
            if not progress.dispatches:
                await self.store_not_run(claimed)
            raise
        finally:
            if recording.status is not None and not recording.complete:
                await store(recording.response())

    async def store_not_run(self, claimed):
        """Store that a call has not run, so that its key can be used again."""
        await self.store.store_outcome(claimed, claimed.claim.as_not_run())
