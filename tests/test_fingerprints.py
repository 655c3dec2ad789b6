"""Detection of requests that crash endpoints."""

import dataclasses

import curio
import pytest

from celeryward import calls
from celeryward.endpoints import fingerprints
from celeryward import errors
from celeryward.standins import engine
from celeryward.standins import fleet

VERSIONS = (fleet.VERSION.name,)


class Daemon:
    """The suspects of one daemon, with a clock that the test sets."""

    def __init__(self, name='d'):
        self.now = 100.0
        self.ids = 0
        self.name = name
        self.suspects = fingerprints.SuspectRequests(
            lambda: self.now, self.new_id
        )

    def new_id(self):
        self.ids += 1
        return f'{self.name}{self.ids}'

    def crash(self, endpoint, *running, alone=''):
        if alone:
            self.suspects.begin_probation(endpoint, alone)
        for fingerprint in running:
            self.suspects.record_crash(endpoint, fingerprint)
        self.suspects.end_probation(endpoint, alone)

    def refused(self, fingerprint):
        return self.suspects.check(fingerprint).is_err()


def fingerprint(text, model='large', **options):
    request = calls.ChatRequest(
        model, (calls.Message('user', text),), **options
    )
    return fingerprints.fingerprint_request(model, request)


class TestFingerprint:
    """Guards against unrecognised retries and against stored prompts."""

    def test_retries_have_the_same_fingerprint(self):
        first = fingerprint('the  same\nprompt')
        assert fingerprint('the same prompt ', stream=True) == first
        assert fingerprint('the same prompt', max_tokens=5) == first

    def test_other_requests_differ(self):
        assert fingerprint('a b') != fingerprint('ab')
        assert fingerprint('a') != fingerprint('a', model='small')

    def test_evidence_holds_no_text(self):
        daemon = Daemon()
        daemon.crash('e1', fingerprint('secret prompt'))
        assert 'secret' not in repr(daemon.suspects.export())


class TestEvidence:
    """Guards against repeated crashes and refused harmless requests."""

    def test_crashes_of_two_endpoints_refuse(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        assert daemon.suspects.is_suspect('f') and not daemon.refused('f')
        daemon.crash('e2', 'f')
        assert daemon.refused('f')

    def test_a_second_crash_on_probation_counts_on_the_same_endpoint(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        daemon.crash('e1', 'f')
        assert not daemon.refused('f')
        daemon.crash('e1', 'f', alone='f')
        assert daemon.refused('f')

    def test_a_response_clears_a_suspect(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        daemon.suspects.record_response('f')
        daemon.crash('e2', 'f')
        assert not daemon.refused('f')

    def test_a_harmless_request_beside_a_harmful_one_is_not_refused(self):
        daemon = Daemon()
        daemon.crash('e1', 'harmful', 'harmless')
        daemon.crash('e2', 'harmless', alone='harmful')
        assert daemon.refused('harmful')
        assert not daemon.refused('harmless')
        assert daemon.suspects.is_suspect('harmless')

    def test_an_answered_prompt_is_not_refused_after_a_shared_probation(self):
        daemon = Daemon()
        daemon.suspects.record_response('popular')
        daemon.crash('e1', 'harmful', 'popular')
        daemon.crash('e2', 'popular', alone='popular')
        assert daemon.refused('popular')
        daemon.crash('e2', 'harmful', alone='harmful')
        assert daemon.refused('harmful')
        assert not daemon.refused('popular')

    def test_evidence_expires(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        daemon.crash('e2', 'f')
        daemon.now += fingerprints.EVIDENCE_SECONDS + 1
        assert not daemon.suspects.has_evidence()
        assert not daemon.refused('f')
        assert daemon.suspects.export() == ()

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(fingerprints, 'MAX_EVIDENCE', 5)
        daemon = Daemon()
        for number in range(20):
            daemon.crash('e1', f'f{number}')
        assert len(daemon.suspects.evidence_by_fingerprint) == 5


class TestGossip:
    """Guards against evidence that is lost or counted twice by gossip."""

    def test_daemons_add_up_their_crashes(self):
        one, two = Daemon('a'), Daemon('b')
        two.now = 5000.0
        one.crash('e1', 'f')
        two.crash('e2', 'f')
        assert one.suspects.merge(two.suspects.export()) == 1
        assert one.refused('f') and not two.refused('f')
        two.suspects.merge(one.suspects.export())
        assert two.refused('f')

    def test_one_crash_seen_by_two_daemons_counts_once(self):
        one, two = Daemon('a'), Daemon('b')
        one.crash('e1', 'f')
        two.crash('e1', 'f')
        one.suspects.merge(two.suspects.export())
        assert not one.refused('f')

    def test_merging_is_idempotent(self):
        one, two = Daemon('a'), Daemon('b')
        one.crash('e1', 'f')
        exported = one.suspects.export()
        assert two.suspects.merge(exported) == 1
        two.suspects.record_response('f')
        assert two.suspects.merge(exported) == 0
        assert not two.suspects.is_suspect('f')
        one.suspects.merge(two.suspects.export())
        assert not one.suspects.is_suspect('f')

    def test_only_changes_are_exported(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        seen = daemon.suspects.revision
        daemon.crash('e1', 'g')
        exported = daemon.suspects.export(seen)
        assert [entry.fingerprint for entry in exported] == ['g']

    def test_crashes_are_attributed_by_evidence_of_a_peer(self):
        one, two = Daemon('a'), Daemon('b')
        two.now = 5000.0
        one.crash('e1', 'harmless')
        one.crash('e2', 'harmless')
        two.crash('e1', 'harmful')
        two.crash('e2', 'harmful', alone='harmful')
        assert one.refused('harmless')
        one.suspects.merge(two.suspects.export())
        assert not one.refused('harmless')


class TestDecisionDelay:
    """Guards against refusals before the evidence of peers arrives."""

    def test_two_crashes_without_probation_wait_for_peers(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        daemon.crash('e2', 'f')
        assert daemon.suspects.is_undecided('f')
        daemon.now += fingerprints.DECISION_DELAY_SECONDS
        assert not daemon.suspects.is_undecided('f')

    def test_a_crash_on_probation_does_not_wait(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        daemon.crash('e2', 'f', alone='f')
        assert not daemon.suspects.is_undecided('f')


class TestDispatches:
    """Guards against a harmful request that crashes many engines."""

    @pytest.fixture
    def with_engines(self, run):
        def run_with(test, count=4):
            async def body():
                engines = [
                    engine.EngineStandIn(VERSIONS, token_seconds=0.002)
                    for _ in range(count)
                ]
                for each in engines:
                    each.crash_on = 'harmful'
                started = fleet.Fleet(engines)
                await started.start()
                try:
                    await test(started)
                finally:
                    await started.stop()
                return sum(sum(e.crash_counts.values()) for e in engines)

            return run(body)

        return run_with

    def test_harmful_request_crashes_two_endpoints(self, with_engines):
        async def test(started):
            for execution in (
                errors.Execution.UNKNOWN,
                errors.Execution.NOT_RUN,
            ):
                attempt = started.make_attempt('harmful')
                with pytest.raises(errors.HarmfulRequest) as caught:
                    await started.stream(attempt)
                assert caught.value.execution is execution

        assert with_engines(test) == 2

    def test_harmful_request_is_refused_by_peers(self, with_engines):
        async def test(started):
            with pytest.raises(errors.HarmfulRequest):
                await started.stream(started.make_attempt('harmful'))
            other = fleet.Fleet(started.engines)
            other.current_catalog = started.current_catalog
            exported = started.recovery.suspects.export()
            other.recovery.suspects.merge(exported)
            with pytest.raises(errors.HarmfulRequest):
                await other.stream(other.make_attempt('harmful'))

        assert with_engines(test) == 2

    def test_concurrent_requests_are_answered(self, with_engines):
        async def test(started):
            beside = [
                await curio.spawn(
                    started.stream, started.make_attempt(f'harmless {number}')
                )
                for number in range(8)
            ]
            with pytest.raises(errors.HarmfulRequest):
                await started.stream(started.make_attempt('harmful'))
            for task in beside:
                assert await task.join()
            assert not started.recovery.suspects.probations

        with_engines(test)

    def test_probation_excludes_other_requests(self, with_engines):
        async def test(started):
            recovery = started.recovery
            recovery.suspects.begin_probation('engine-0', 'f')
            recovery.suspects.record_crash('engine-3', 'f')
            chosen = {
                (
                    await started.dispatcher.select_endpoint(
                        started.make_attempt('x')
                    )
                ).endpoint.name
                for _ in range(8)
            }
            assert 'engine-0' not in chosen

        with_engines(test)

    def test_an_undecided_request_waits(self, with_engines):
        async def test(started):
            suspects = started.recovery.suspects
            attempt = started.make_attempt('x')
            for name in ('engine-0', 'engine-1'):
                suspects.record_crash(name, attempt.fingerprint)
            waiting = await curio.spawn(started.stream, attempt)
            await curio.sleep(0.1)
            assert attempt.dispatches == 0
            for name in ('engine-0', 'engine-1'):
                suspects.begin_probation(name, 'harmful')
                suspects.record_crash(name, 'harmful')
                suspects.end_probation(name, 'harmful')
            assert await waiting.join()

        with_engines(test)

    def test_a_suspect_waits_for_an_endpoint_without_probation(
        self, with_engines
    ):
        async def test(started):
            suspects = started.recovery.suspects
            attempt = started.make_attempt('x')
            suspects.record_crash('engine-1', attempt.fingerprint)
            suspects.begin_probation('engine-0', 'f')
            suspects.begin_probation('engine-1', 'g')
            waiting = await curio.spawn(started.stream, attempt)
            await curio.sleep(0.1)
            assert attempt.dispatches == 0
            suspects.end_probation('engine-0', 'f')
            assert await waiting.join()
            assert attempt.candidate.endpoint.name == 'engine-0'

        with_engines(test, count=2)


class TestExportedEvidence:
    """Guards against fields that a message can't encode."""

    def test_entries_are_plain_values(self):
        daemon = Daemon()
        daemon.crash('e1', 'f')
        entry = dataclasses.asdict(daemon.suspects.export()[0])
        assert entry['fingerprint'] == 'f'
        assert entry['crashes'][0]['endpoint'] == 'e1'
