"""Idempotency keys: at most one attempt with a key runs."""

import dataclasses

import curio
import pytest

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
    """Keeps the answer that a caller receives; ``gone`` refuses it."""

    def __init__(self, gone=False, platform=None):
        self.gone = gone
        self.platform = platform
        self.stored = None
        self.answer = None
        self.started = False

    async def send_response(self, status, headers, body):
        self.started = True
        if self.platform:
            (self.stored,) = self.platform.of_kind(claims.CLAIM_KIND)
        if self.gone:
            raise errors.CallerGone('gone', step='send', peer='caller')
        self.answer = (status, headers, body)


class Host:
    """One daemon's part that runs keyed calls, and its stand-in service."""

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

    async def ask(self, asked=None, gone=False):
        """Return the status and headers, or the error, of one attempt."""
        responder = FakeResponder(gone)
        try:
            await self.runner.run(asked or call(), self.serve, responder)
        except errors.CelerywardError as error:
            return error
        return responder.answer


class Pair:
    """Two hosts, one platform and one stand-in service."""

    def __init__(self):
        self.platform = fakes.FakePlatform()
        self.executed = []
        self.a = Host('a', self.platform, self.executed)
        self.b = Host('b', self.platform, self.executed)

    def back_again(self):
        """End an outage."""
        self.platform.away = False
        for host in (self.a, self.b):
            host.store.retry_at = deadlines.Deadline.after(0.0)


@pytest.fixture
def pair():
    return Pair()


class TestRetries:
    """Guards against a second execution through another host."""

    def test_stored_outcome_is_replayed(self, run, pair):
        first = run(pair.a.ask)
        assert pair.platform.calls == 2
        second = run(pair.b.ask)
        assert first[2] == second[2] == b'{}'
        assert second[:2] == (201, {'x-part': '7', 'x-replayed': 'true'})
        assert len(pair.executed) == 1

    def test_outcome_is_stored_before_the_last_byte(self, run, pair):
        responder = FakeResponder(platform=pair.platform)
        run(pair.a.runner.run, call(), pair.a.serve, responder)
        claim = claims.from_object(responder.stored)
        assert claim.state is claims.State.RAN

    def test_outcome_is_stored_for_a_caller_that_hangs_up(self, run, pair):
        assert isinstance(run(pair.a.ask, None, True), errors.CallerGone)
        assert run(pair.b.ask)[0] == 201
        assert len(pair.executed) == 1

    def test_large_answer_is_not_stored_and_the_retry_says_so(self, run, pair):
        pair.a.body = b'x' * (claims.MAX_STORED_BODY_BYTES + 1)
        assert run(pair.a.ask)[0] == 201
        error = run(pair.b.ask)
        assert error.code == 'outcome_not_stored'
        assert error.execution is errors.Execution.RAN
        assert len(pair.executed) == 1

    def test_unknown_outcome_stays_unknown(self, run, pair):
        pair.a.error = errors.OutcomeUnknown('lost', step='s', peer='p')
        run(pair.a.ask)
        error = run(pair.b.ask)
        assert error.code == 'claim_held'
        assert error.execution is errors.Execution.UNKNOWN
        assert pair.executed == []

    def test_refused_attempt_leaves_the_key_usable(self, run, pair):
        pair.a.error = errors.Overloaded('full', step='s', peer='p')
        run(pair.a.ask)
        assert run(pair.b.ask)[0] == 201
        assert run(pair.a.ask)[0] == 201
        assert len(pair.executed) == 1


class TestPausedHolder:
    """Guards against a daemon that sends after it was paused."""

    def test_retry_elsewhere_never_says_not_run(self, run, pair):
        async def test():
            pair.a.paused = curio.Event()
            holding = await curio.spawn(pair.a.ask)
            while not pair.platform.objects:
                await curio.sleep(0)
            meanwhile = await pair.b.ask()
            await pair.a.paused.set()
            assert (await holding.join())[0] == 201
            return meanwhile

        assert run(test).execution is errors.Execution.UNKNOWN
        assert run(pair.b.ask)[0] == 201
        assert len(pair.executed) == 1

    def test_late_mark_does_not_end_the_claim_of_a_retry(self, run, pair):
        pair.a.error = errors.Overloaded('full', step='s', peer='p')
        run(pair.a.ask)
        stale = pair.platform.of_kind(claims.CLAIM_KIND)[0]
        run(pair.b.ask)
        late = claim_store.AcquiredClaim(
            claims.from_object(stale), stale.revision
        )
        run(pair.a.store.store_outcome, late, late.claim.as_not_run())
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.a.ask, call())[1]['x-replayed'] == 'true'


class TestOtherContent:
    """Guards against a key that answers for another request."""

    def test_other_body_is_refused(self, run, pair):
        run(pair.a.ask)
        error = run(pair.b.ask, call(digest='other'))
        assert error.code == 'key_reused'
        assert error.execution is errors.Execution.NOT_RUN

    def test_keys_of_customers_are_separate(self, run, pair):
        run(pair.a.ask)
        other = call(customer=catalog.Customer('other'), digest='other')
        assert run(pair.b.ask, other)[0] == 201
        assert len(pair.executed) == 2

    def test_joined_names_do_not_meet(self):
        assert claims.claim_name('ab', 'c') != claims.claim_name('a', 'bc')

    def test_key_is_free_again_after_its_retention(self, run, pair):
        run(pair.a.ask)
        pair.b.now = claims.RETENTION_SECONDS
        assert run(pair.b.ask, call(digest='other'))[0] == 201

    def test_overlong_key_is_bad_input(self, run, pair):
        assert run(pair.a.ask, call(key='k' * 256)).code == 'bad_input'


class TestPlatformFaults:
    """Guards against untrue refusals and second runs without platform."""

    def test_outage_refuses_and_tells_attempts_apart(self, run, pair):
        pair.platform.away = True
        error = run(pair.a.ask)
        assert error.code == 'claim_unchecked'
        assert error.execution is errors.Execution.NOT_RUN
        assert error.earlier_execution is errors.Execution.UNKNOWN
        assert pair.executed == []

    def test_outage_asks_the_platform_once(self, run, pair):
        pair.platform.away = True
        for _ in range(50):
            run(pair.a.ask)
        assert pair.platform.calls == 1

    def test_silent_platform(self, run, pair, monkeypatch):
        async def never(stored):
            asked.append(stored)
            await curio.Event().wait()

        async def test():
            first = await pair.a.ask()
            pair.a.store.retry_at = deadlines.Deadline.after(0.0)
            probing = await curio.spawn(pair.a.ask)
            while len(asked) < 2:
                await curio.sleep(0)
            beside = await pair.a.ask()
            return first, beside, await probing.join()

        asked = []
        monkeypatch.setattr(claim_store, 'ACQUIRE_SECONDS', 0.05)
        monkeypatch.setattr(pair.platform, 'create', never)
        assert {error.code for error in run(test)} == {'claim_unchecked'}
        assert len(asked) == 2

    def test_silent_platform_at_the_end(self, run, pair, monkeypatch):
        async def never(stored, revision):
            await curio.Event().wait()

        monkeypatch.setattr(claim_store, 'STORE_OUTCOME_SECONDS', 0.05)
        with monkeypatch.context() as silent:
            silent.setattr(pair.platform, 'put', never)
            assert run(pair.a.ask)[0] == 201
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.ask)[1]['x-replayed'] == 'true'

    def test_call_without_a_key_is_served_in_an_outage(self, run, pair):
        pair.platform.away = True
        assert run(pair.a.ask, call(key=''))[0] == 201

    def test_every_lost_answer_is_resolved(self, run, pair):
        pair.platform.lose_answer = lambda: True
        assert run(pair.a.ask)[0] == 201
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.ask)[1]['x-replayed'] == 'true'
        assert len(pair.executed) == 1

    def test_outage_right_after_a_lost_claim(self, run, pair):
        def lose_and_leave():
            pair.platform.away = True
            return True

        pair.platform.lose_answer = lose_and_leave
        assert run(pair.a.ask).code == 'claim_unchecked'
        pair.platform.lose_answer = lambda: False
        pair.back_again()
        assert run(pair.b.ask).code == 'claim_held'
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.ask)[0] == 201
        assert len(pair.executed) == 1

    def test_outcome_is_stored_after_an_outage(self, run, pair):
        async def serve(responder):
            pair.platform.away = True
            await type(pair.a).serve(pair.a, responder)

        pair.a.serve = serve
        assert run(pair.a.ask)[0] == 201
        pair.back_again()
        assert run(pair.b.ask).code == 'claim_held'
        run(pair.a.store.store_pending_outcomes)
        assert run(pair.b.ask)[1]['x-replayed'] == 'true'


class TestStoredForm:
    """Guards against an answer that changes while it is stored."""

    def test_binary_body_survives(self):
        response = claims.Response(200, {'a': 'b'}, bytes(range(256)))
        claim = claims.Claim('n', 'a', 'd', 1.0).as_ran(response)
        assert claims.from_object(claim.to_object()) == claim

    def test_incomplete_answer_is_not_replayed(self):
        response = claims.Response(200, {}, b'half', stored=False)
        claim = claims.Claim('n', 'a', 'd', 1.0).as_ran(response)
        mine = dataclasses.replace(claim, attempt='b')
        decided = claims.decide(claim, mine, 0.0)
        assert decided.unwrap_err().code == 'outcome_not_stored'
