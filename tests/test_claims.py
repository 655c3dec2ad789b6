"""Idempotency keys: at most one attempt with a key runs."""

import curio
import pytest
import result

from benchmarks import fakes
from celeryward.callers import idempotency
from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward import errors
from celeryward.objects import claim_store
from celeryward.objects import claims

SHOP = catalog.Customer('shop')


def call(key='k', digest='d', customer=SHOP):
    return calls.Call(
        'r',
        customer,
        deadlines.NEVER,
        None,
        idempotency_key=key,
        digest=digest,
    )


class FakeResponder:
    """Records the response that a caller receives.

    :param bool disconnected: whether sending fails with
        ``CallerDisconnected``.
    :param platform: fake platform whose only claim is recorded as it is
        when the response is sent, or None.
    """

    def __init__(self, disconnected=False, platform=None):
        self.disconnected = disconnected
        self.platform = platform
        self.stored_claim = None
        self.response = None
        self.started = False

    async def send_response(self, status, headers, body):
        self.started = True
        if self.platform:
            (self.stored_claim,) = self.platform.of_kind(claims.CLAIM_KIND)
        if self.disconnected:
            raise errors.CallerDisconnected(
                'caller disconnected', step='send', peer='caller'
            )
        self.response = (status, headers, body)


class Host:
    """Runner and claim store of one daemon, with a stand-in service."""

    def __init__(self, name, platform, executed):
        ids = (f'{name}-{number}' for number in range(1000))
        self.store = claim_store.ClaimStore(platform, lambda: self.now)
        self.runner = idempotency.IdempotentRunner(
            self.store, lambda: next(ids), lambda: self.now
        )
        self.executed = executed
        self.now = 0.0
        self.body = b'{}'
        self.error = None
        self.paused = None

    async def serve(self, responder):
        if self.paused is not None:
            await self.paused.wait()
        if self.error is not None:
            raise self.error
        self.executed.append('run')
        await responder.send_response(201, {'x-part': '7'}, self.body)

    async def attempt(self, sent_call=None, disconnected=False):
        """Make one attempt; return its response or its error."""
        responder = FakeResponder(disconnected)
        try:
            await self.runner.run(sent_call or call(), self.serve, responder)
        except errors.CelerywardError as error:
            return error
        return responder.response


class Pair:
    """Two hosts with a shared platform and a shared execution log."""

    def __init__(self):
        self.platform = fakes.FakePlatform()
        self.executed = []
        self.a = Host('a', self.platform, self.executed)
        self.b = Host('b', self.platform, self.executed)

    def end_outage(self):
        """End the outage and let all hosts probe the platform at once."""
        self.platform.unavailable = False
        for host in (self.a, self.b):
            host.store.retry_at = deadlines.Deadline.after(0.0)


@pytest.fixture
def pair():
    return Pair()


class TestRetries:
    """Guards against a second execution through another host."""

    def test_stored_outcome_is_replayed(self, run, pair):
        first = run(pair.a.attempt)
        assert pair.platform.calls == 2
        second = run(pair.b.attempt)
        assert first[2] == second[2] == b'{}'
        assert second[:2] == (201, {'x-part': '7', 'x-replayed': 'true'})
        assert len(pair.executed) == 1

    def test_outcome_is_stored_before_the_last_byte(self, run, pair):
        responder = FakeResponder(platform=pair.platform)
        run(pair.a.runner.run, call(), pair.a.serve, responder)
        claim = claims.from_object(responder.stored_claim)
        assert claim.state is claims.State.RAN

    def test_outcome_is_stored_for_a_caller_that_disconnects(self, run, pair):
        assert isinstance(
            run(pair.a.attempt, None, True), errors.CallerDisconnected
        )
        assert run(pair.b.attempt)[0] == 201
        assert len(pair.executed) == 1

    def test_large_response_is_not_stored_and_the_retry_says_so(
        self, run, pair
    ):
        pair.a.body = b'x' * (claims.MAX_STORED_BODY_BYTES + 1)
        assert run(pair.a.attempt)[0] == 201
        error = run(pair.b.attempt)
        assert error.code == 'outcome_not_stored'
        assert error.execution is errors.Execution.RAN
        assert len(pair.executed) == 1

    def test_unknown_outcome_stays_unknown(self, run, pair):
        pair.a.error = errors.OutcomeUnknown('lost', step='s', peer='p')
        run(pair.a.attempt)
        error = run(pair.b.attempt)
        assert error.code == 'claim_held'
        assert error.execution is errors.Execution.UNKNOWN
        assert pair.executed == []

    def test_refused_attempt_leaves_the_key_usable(self, run, pair):
        pair.a.error = errors.Overloaded('full', step='s', peer='p')
        run(pair.a.attempt)
        assert run(pair.b.attempt)[0] == 201
        assert run(pair.a.attempt)[0] == 201
        assert len(pair.executed) == 1


class TestPausedHolder:
    """Guards against a second execution when a paused daemon resumes."""

    def test_retry_at_another_host_does_not_say_not_run(self, run, pair):
        async def test():
            pair.a.paused = curio.Event()
            holding = await curio.spawn(pair.a.attempt)
            while not pair.platform.objects:
                await curio.sleep(0)
            retried = await pair.b.attempt()
            await pair.a.paused.set()
            assert (await holding.join())[0] == 201
            return retried

        assert run(test).execution is errors.Execution.UNKNOWN
        assert run(pair.b.attempt)[0] == 201
        assert len(pair.executed) == 1

    def test_late_not_run_does_not_overwrite_the_claim_of_a_retry(
        self, run, pair
    ):
        pair.a.error = errors.Overloaded('full', step='s', peer='p')
        run(pair.a.attempt)
        stale = pair.platform.of_kind(claims.CLAIM_KIND)[0]
        run(pair.b.attempt)
        late = claim_store.AcquiredClaim(
            claims.from_object(stale), stale.revision
        )
        run(pair.a.store.store_outcome, late, late.claim.as_not_run())
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.a.attempt, call())[1]['x-replayed'] == 'true'


class TestOtherContent:
    """Guards against replaying the response of a different request."""

    def test_other_body_is_refused(self, run, pair):
        run(pair.a.attempt)
        error = run(pair.b.attempt, call(digest='other'))
        assert error.code == 'key_reused'
        assert error.execution is errors.Execution.NOT_RUN

    def test_keys_of_customers_are_separate(self, run, pair):
        run(pair.a.attempt)
        other = call(customer=catalog.Customer('other'), digest='other')
        assert run(pair.b.attempt, other)[0] == 201
        assert len(pair.executed) == 2

    def test_names_of_claims_do_not_collide(self):
        assert claims.claim_name('ab', 'c') != claims.claim_name('a', 'bc')

    def test_key_is_reusable_after_its_retention(self, run, pair):
        run(pair.a.attempt)
        pair.b.now = claims.RETENTION_SECONDS
        assert run(pair.b.attempt, call(digest='other'))[0] == 201

    def test_too_long_key_is_bad_input(self, run, pair):
        assert run(pair.a.attempt, call(key='k' * 256)).code == 'bad_input'


class TestPlatformFaults:
    """Guards against false refusals and second executions in outages."""

    def test_outage_refuses_and_reports_earlier_attempts_as_unknown(
        self, run, pair
    ):
        pair.platform.unavailable = True
        error = run(pair.a.attempt)
        assert error.code == 'claim_unchecked'
        assert error.execution is errors.Execution.NOT_RUN
        assert error.earlier_execution is errors.Execution.UNKNOWN
        assert pair.executed == []

    def test_outage_calls_the_platform_once(self, run, pair):
        pair.platform.unavailable = True
        for _ in range(50):
            run(pair.a.attempt)
        assert pair.platform.calls == 1

    def test_unresponsive_platform_is_probed_by_one_call(
        self, run, pair, monkeypatch
    ):
        async def never(stored):
            creates.append(stored)
            await curio.Event().wait()

        async def test():
            first = await pair.a.attempt()
            pair.a.store.retry_at = deadlines.Deadline.after(0.0)
            probing = await curio.spawn(pair.a.attempt)
            while len(creates) < 2:
                await curio.sleep(0)
            concurrent = await pair.a.attempt()
            return first, concurrent, await probing.join()

        creates = []
        monkeypatch.setattr(claim_store, 'ACQUIRE_TIMEOUT_SECONDS', 0.05)
        monkeypatch.setattr(pair.platform, 'create', never)
        assert {error.code for error in run(test)} == {'claim_unchecked'}
        assert len(creates) == 2

    def test_call_from_before_an_outage_is_not_its_probe(self, run, pair):
        """Such a call kept the probe from starting, and let two start."""

        async def create(stored):
            ends.append(curio.Event())
            await ends[-1].wait()
            conflict = errors.Conflict('c', step='s', peer='p', current=None)
            return result.Err(conflict)

        async def test():
            earlier = await curio.spawn(pair.a.attempt)
            await curio.sleep(0)
            store = pair.a.store
            store.mark_unavailable()
            store.retry_at = deadlines.Deadline.after(0.0)
            probing = await curio.spawn(pair.a.attempt)
            await curio.sleep(0)
            assert len(ends) == 2
            await ends[0].set()
            await earlier.join()
            store.retry_at = deadlines.Deadline.after(0.0)
            await pair.a.attempt()
            assert len(ends) == 2
            await ends[1].set()
            await probing.join()

        ends = []
        pair.platform.create = create
        pair.platform.unavailable = True
        run(test)

    def test_replayed_outcome_ends_the_refusals_of_an_outage(self, run, pair):
        """Only one call at a time was let through until one had run."""
        run(pair.a.attempt)
        pair.a.store.mark_unavailable()
        pair.end_outage()
        assert run(pair.a.attempt)[1]['x-replayed'] == 'true'
        assert not pair.a.store.unavailable

    def test_outcome_is_stored_after_the_platform_times_out(
        self, run, pair, monkeypatch
    ):
        async def never(stored, revision):
            await curio.Event().wait()

        monkeypatch.setattr(claim_store, 'STORE_TIMEOUT_SECONDS', 0.05)
        with monkeypatch.context() as silent:
            silent.setattr(pair.platform, 'put', never)
            assert run(pair.a.attempt)[0] == 201
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.attempt)[1]['x-replayed'] == 'true'

    def test_call_without_a_key_is_served_in_an_outage(self, run, pair):
        pair.platform.unavailable = True
        assert run(pair.a.attempt, call(key=''))[0] == 201

    def test_lost_answers_to_all_writes_are_resolved(self, run, pair):
        pair.platform.lose_answer = lambda: True
        assert run(pair.a.attempt)[0] == 201
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.attempt)[1]['x-replayed'] == 'true'
        assert len(pair.executed) == 1

    def test_outage_right_after_a_lost_answer_to_a_create(self, run, pair):
        def lose_answer_and_disconnect():
            pair.platform.unavailable = True
            return True

        pair.platform.lose_answer = lose_answer_and_disconnect
        assert run(pair.a.attempt).code == 'claim_unchecked'
        pair.platform.lose_answer = lambda: False
        pair.end_outage()
        assert run(pair.b.attempt).code == 'claim_held'
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.attempt)[0] == 201
        assert len(pair.executed) == 1

    def test_late_create_of_a_refused_attempt_does_not_hold_its_key(
        self, run, pair, monkeypatch
    ):
        """A refused call blocked its key for the retention time."""
        late = []

        async def lose_then_fail(stored):
            late.append(stored)
            kind = errors.PlatformUnavailable
            if len(late) == 1:
                kind = errors.WriteUnknown
            return result.Err(kind('fault', step='create', peer='fake'))

        with monkeypatch.context() as faulty:
            faulty.setattr(pair.platform, 'create', lose_then_fail)
            error = run(pair.a.attempt)
        assert error.execution is errors.Execution.NOT_RUN
        run(pair.a.store.store_pending_outcomes)
        # The first create takes effect only now.
        run(pair.platform.create, late[0])
        assert run(pair.b.attempt)[0] == 201
        assert len(pair.executed) == 1

    def test_late_replacement_of_a_claim_does_not_hold_its_key(
        self, run, pair, monkeypatch
    ):
        """A refused call that replaced a claim of a call that did not run."""
        pair.b.error = errors.Overloaded('full', step='s', peer='p')
        run(pair.b.attempt)
        pair.b.error = None
        late = []

        async def lose(stored, revision):
            late.append((stored, revision))
            pair.platform.unavailable = True
            error = errors.WriteUnknown('fault', step='put', peer='fake')
            return result.Err(error)

        with monkeypatch.context() as faulty:
            faulty.setattr(pair.platform, 'put', lose)
            assert run(pair.a.attempt).code == 'claim_unchecked'
        pair.end_outage()
        run(pair.a.store.store_pending_outcomes)
        run(pair.platform.put, *late[0])
        assert run(pair.b.attempt)[0] == 201

    def test_outcome_is_stored_after_an_outage(self, run, pair):
        async def serve(responder):
            pair.platform.unavailable = True
            await type(pair.a).serve(pair.a, responder)

        pair.a.serve = serve
        assert run(pair.a.attempt)[0] == 201
        pair.end_outage()
        assert run(pair.b.attempt).code == 'claim_held'
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.attempt)[1]['x-replayed'] == 'true'
