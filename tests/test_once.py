"""Exactly-once billing and at-most-once execution, end to end."""

import dataclasses

import curio
import msgspec
import pytest

from celeryward.callers import server
from celeryward import calls
from celeryward import daemon
from celeryward.endpoints import protocol
from celeryward import errors
from celeryward.objects import batches
from celeryward.objects import billing
from celeryward.objects import claims
from celeryward.operators import demo

RESERVE = demo.Example('', 'POST', '/v1/services/orders/reserve', {'part': 7})
READ = demo.Example('', 'GET', '/v1/services/orders/parts', {})
STREAM = demo.chat_example('', 'large', 'x', stream=True)
# Fails a test if a disconnect leaves an async generator open.
UNRAISABLE_WARNINGS = 'error::pytest.PytestUnraisableExceptionWarning'


@pytest.fixture
def with_cluster(run):
    """Return a function that runs a test against a running cluster."""

    def run_with(test):
        async def body():
            cluster = demo.Cluster()
            await cluster.start()
            try:
                return await test(cluster)
            finally:
                await cluster.platform.set_unavailable(False)
                await cluster.stop()

        return run(body)

    return run_with


async def send(host, example, **headers):
    example = dataclasses.replace(example, headers=headers)
    head, body = await demo.send_example(host.listener.port, example)
    return head, msgspec.json.decode(body)


async def start_second_host(cluster):
    """Start another daemon with the same platform and endpoints."""
    first = cluster.daemon.settings
    host = daemon.Daemon(dataclasses.replace(first, name='second'))
    await host.start()
    return host


def bills(cluster):
    """Return the bills that the daemon has in memory."""
    return [
        bill
        for pending_batch in cluster.daemon.ledger.pending_batches
        for bill in pending_batch.bills.values()
    ]


async def wait_for_outcome(cluster):
    """Wait until the outcome is stored in the claim, after the answer."""
    while True:
        for stored in cluster.platform.objects.values():
            if stored.kind == claims.CLAIM_KIND:
                if stored.spec['state'] != claims.State.OPEN.value:
                    return
        await curio.sleep(0.001)


class TestBills:
    """Guards against requests that are billed twice or not at all."""

    @pytest.mark.filterwarnings(UNRAISABLE_WARNINGS)
    @pytest.mark.parametrize('method', ['start_stream', 'finish_stream'])
    def test_caller_disconnects(self, with_cluster, monkeypatch, method):
        async def disconnect(responder, payload):
            raise errors.CallerDisconnected('gone', step='send', peer='caller')

        async def test(cluster):
            monkeypatch.setattr(server.Responder, method, disconnect)
            with pytest.raises(errors.CelerywardError):
                await send(cluster.daemon, STREAM)
            (bill,) = bills(cluster)
            assert 1 <= bill.runs[0].usage.answer_tokens <= 8

        with_cluster(test)

    def test_caller_disconnects_before_the_only_chunk(
        self, with_cluster, monkeypatch
    ):
        async def disconnect(responder, headers):
            raise errors.CallerDisconnected('gone', step='send', peer='caller')

        async def test(cluster):
            dispatcher = cluster.daemon.dispatcher

            async def stream(attempt):
                usage = calls.Usage(3, 8)
                await dispatcher.select_endpoint(attempt)
                chunk = protocol.Chunk(b'data: [DONE]\n\n', 8, usage)
                attempt.add_chunk(chunk)
                attempt.add_last_run(usage, 8)
                yield chunk

            monkeypatch.setattr(dispatcher, 'stream', stream)
            monkeypatch.setattr(server.Responder, 'start_stream', disconnect)
            with pytest.raises(errors.CelerywardError):
                await send(cluster.daemon, STREAM)
            (bill,) = bills(cluster)
            assert bill.runs[0].usage == calls.Usage(3, 8)

        with_cluster(test)

    @pytest.mark.filterwarnings(UNRAISABLE_WARNINGS)
    def test_caller_disconnects_within_a_stream(
        self, with_cluster, monkeypatch
    ):
        sent = []

        async def disconnect(responder, payload):
            sent.append(payload)
            if len(sent) == 3:
                raise errors.CallerDisconnected(
                    'gone', step='send', peer='caller'
                )

        async def test(cluster):
            cluster.large.token_seconds = 0.01
            monkeypatch.setattr(server.Responder, 'send', disconnect)
            with pytest.raises(errors.CelerywardError):
                await send(cluster.daemon, STREAM)
            (bill,) = bills(cluster)
            received = b''.join(sent).count(b'data: ')
            assert bill.runs[0].usage.answer_tokens == received

        with_cluster(test)

    def test_copies_precede_the_last_byte(self, with_cluster, monkeypatch):
        order = []

        class Peers:
            async def keep(self, kept, deadline):
                order.append('copies')
                return ('b', 'c')

            async def release(self, ids):
                pass

        finish = server.Responder.finish_stream

        async def record_order(responder, payload):
            order.append('last byte')
            await finish(responder, payload)

        async def test(cluster):
            cluster.daemon.ledger.peers = Peers()
            monkeypatch.setattr(
                server.Responder, 'finish_stream', record_order
            )
            await demo.send_example(cluster.daemon.listener.port, STREAM)
            assert order == ['copies', 'last byte']

        with_cluster(test)

    def test_cascade_has_one_bill_with_its_runs(self, with_cluster):
        async def test(cluster):
            await send(
                cluster.daemon, demo.chat_example('', 'auto', 'long ' * 60)
            )
            (bill,) = bills(cluster)
            versions = [run.version for run in bill.runs]
            assert versions == ['small@1', 'large@1']

        with_cluster(test)

    def test_refused_and_replayed_requests_are_not_billed(self, with_cluster):
        async def test(cluster):
            await send(cluster.daemon, demo.chat_example('', 'secret', 'x'))
            key = {'idempotency-key': 'k', 'x-request-id': 'r'}
            example = demo.chat_example('', 'small', 'x')
            first = await send(cluster.daemon, example, **key)
            await wait_for_outcome(cluster)
            key['x-request-id'] = 'r2'
            again = await send(cluster.daemon, example, **key)
            assert first[1] == again[1]
            assert again[0].headers['x-replayed'] == 'true'
            assert len(bills(cluster)) == 1

        with_cluster(test)

    def test_full_ledger_refuses_models_only(self, with_cluster):
        async def test(cluster):
            cluster.daemon.ledger.bounds = billing.Bounds(0, 0)
            head, body = await send(
                cluster.daemon, demo.chat_example('', 'small', 'x')
            )
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'
            assert body['error']['code'] == 'billing_backlog'
            assert (await send(cluster.daemon, RESERVE))[0].status == 200

        with_cluster(test)

    def test_daemon_writes_bills_of_a_dead_peer(self, with_cluster):
        async def test(cluster):
            identity = batches.bill_id('workshop', 'r')
            copy = calls.Bill(
                *('r', 'workshop', 'small', (), 1.0), identity, 'gone-0'
            )
            cluster.daemon.replicas.keep('gone', [copy])
            await cluster.daemon.peer_died('gone')
            await cluster.daemon.flusher.flush()
            assert (batches.BATCH_KIND, 'gone-0') in cluster.platform.objects

        with_cluster(test)

    def test_two_hosts_that_ran_one_request_bill_it_once(self, with_cluster):
        async def test(cluster):
            other = await start_second_host(cluster)
            for host in (cluster.daemon, other):
                example = demo.chat_example('', 'small', 'x')
                await send(host, example, **{'x-request-id': 'same'})
            await other.stop()
            await cluster.daemon.flusher.flush()
            stored = [
                batches.from_object(each)
                for each in cluster.platform.objects.values()
                if each.kind == batches.BATCH_KIND
            ]
            assert len(stored) == 2
            assert len(list(batches.deduplicate(stored))) == 1

        with_cluster(test)


class TestIdempotencyKeys:
    """Guards against a call with a key that runs twice."""

    def test_lost_answer_is_not_retried_by_another_host(self, with_cluster):
        async def test(cluster):
            other = await start_second_host(cluster)
            cluster.orders.lose_answers = True
            key = {'idempotency-key': 'k'}
            first, _ = await send(cluster.daemon, RESERVE, **key)
            cluster.orders.lose_answers = False
            second, body = await send(other, RESERVE, **key)
            await other.stop()
            assert (first.status, second.status) == (502, 409)
            assert second.headers['x-execution'] == 'unknown'
            assert body['error']['code'] == 'claim_held'
            assert sum(cluster.orders.executed.values()) == 1

        with_cluster(test)

    def test_retry_at_another_host_replays_the_answer(self, with_cluster):
        async def test(cluster):
            other = await start_second_host(cluster)
            key = {'idempotency-key': 'k'}
            first = await send(cluster.daemon, RESERVE, **key)
            second = await send(other, RESERVE, **key)
            await other.stop()
            assert second[1] == first[1]
            assert sum(cluster.orders.executed.values()) == 1

        with_cluster(test)

    def test_lost_claim_answers_run_the_call_once(self, with_cluster):
        async def test(cluster):
            cluster.platform.lose_answers = lambda received: True
            key = {'idempotency-key': 'k'}
            head, _ = await send(cluster.daemon, RESERVE, **key)
            assert head.status == 200
            assert sum(cluster.orders.executed.values()) == 1
            cluster.platform.lose_answers = lambda received: False

        with_cluster(test)

    def test_unreachable_platform(self, with_cluster):
        async def test(cluster):
            await cluster.platform.set_unavailable(True)
            # The connection is refused, so nothing can have been sent.
            await cluster.platform.stop()
            key = {'idempotency-key': 'k'}
            head, body = await send(cluster.daemon, RESERVE, **key)
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'
            assert head.headers['x-earlier-execution'] == 'unknown'
            assert body['error']['code'] == 'claim_unchecked'
            assert (await send(cluster.daemon, RESERVE))[0].status == 200

        with_cluster(test)

    def test_key_with_another_body_is_refused(self, with_cluster):
        async def test(cluster):
            key = {'idempotency-key': 'k'}
            await send(cluster.daemon, RESERVE, **key)
            changed = dataclasses.replace(RESERVE, body={'part': 8})
            head, body = await send(cluster.daemon, changed, **key)
            assert head.status == 422
            assert body['error']['code'] == 'key_reused'

        with_cluster(test)

    def test_streamed_answer_is_replayed_whole(self, with_cluster):
        async def test(cluster):
            example = dataclasses.replace(
                STREAM, headers={'idempotency-key': 'k'}
            )
            port = cluster.daemon.listener.port
            first = await demo.send_example(port, example)
            again = await demo.send_example(port, example)
            assert again[1] == first[1]
            assert again[1].endswith(b'data: [DONE]\n\n')

        with_cluster(test)


class TestExecutionHeader:
    """Guards against "not run" for a request that may have run."""

    def test_sent_request_without_another_endpoint(self, with_cluster):
        async def test(cluster):
            cluster.orders.lose_answers = True
            head, body = await send(cluster.daemon, READ)
            assert head.status == 502
            assert body['error']['code'] == 'outcome_unknown'
            assert head.headers['x-execution'] == 'unknown'

        with_cluster(test)

    def test_cascade_whose_first_tier_ran(self, with_cluster):
        async def test(cluster):
            await cluster.large.stop()
            example = demo.chat_example('', 'auto', 'long ' * 60)
            head, _ = await send(cluster.daemon, example)
            assert head.headers['x-execution'] != 'not-run'

        with_cluster(test)

    def test_unreachable_endpoint_is_not_run(self, with_cluster):
        async def test(cluster):
            await cluster.orders.stop()
            head, _ = await send(cluster.daemon, RESERVE)
            assert head.status == 503
            assert head.headers['x-execution'] == 'not-run'

        with_cluster(test)

    def test_key_of_a_call_that_was_not_run_can_be_reused(self, with_cluster):
        async def test(cluster):
            key = {'idempotency-key': 'k'}
            expired = {**key, 'x-timeout-ms': '1'}
            cluster.daemon.claims.client = SlowClient(cluster.daemon.client)
            head, _ = await send(cluster.daemon, RESERVE, **expired)
            assert (head.status, head.headers['x-execution']) == (
                504,
                'not-run',
            )
            head, _ = await send(cluster.daemon, RESERVE, **key)
            assert head.status == 200

        with_cluster(test)


class SlowClient:
    """A platform client that takes more than 1 ms to create an object."""

    def __init__(self, client):
        self.client = client

    def __getattr__(self, name):
        return getattr(self.client, name)

    async def create(self, stored):
        await curio.sleep(0.01)
        return await self.client.create(stored)
