"""Requests through a router, against stand-ins of the users' platform."""

import time

import curio
import h11
import pytest

from celeryward.callers import gateway
from celeryward import http
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.usual_site()


class TestPassage:
    """Guards against requests that change on their way."""

    @standins.on_site
    async def test_method_target_and_body_are_unchanged(self, site):
        target = '/whole/x%2Fy?a=1&b=%20'
        head, body = await site.ask(target, 'POST', b'\x00\xffbody')
        assert (head.status, body) == (200, b'whole answer')
        arrival = site.arrivals()[0]
        assert arrival.head.method == 'POST'
        assert arrival.head.target == target
        assert arrival.body == b'\x00\xffbody'

    @standins.on_site
    async def test_seal_and_status_are_unchanged(self, site):
        act = standins.answering(418, b'odd', x_more='kept')
        for runner in site.runners.values():
            runner.usual = act
        head, body = await site.ask('/once/x', 'POST', b'1')
        assert (head.status, body) == (418, b'odd')
        assert head.headers['celeryward-response-seal'].startswith('seal-app')
        assert head.headers['x-more'] == 'kept'

    @standins.on_site
    async def test_key_is_replaced_by_the_customer(self, site):
        await site.ask('/whole/x', celeryward_tenant='forged')
        headers = site.arrivals()[0].head.headers
        assert headers['celeryward-tenant'] == 'customer-a'
        assert 'authorization' not in headers

    @standins.on_site
    async def test_headers_of_the_router_are_not_the_callers(self, site):
        await site.ask(
            '/stream/x',
            celeryward_hold='h',
            celeryward_pin_ms='9',
            celeryward_kv_backup='1.2.3.4:5',
            kv_from='1.2.3.4:5/x',
            celeryward_expect_instance='other',
        )
        arrival = site.arrivals()[0]
        for name in (
            'celeryward-hold',
            'celeryward-pin-ms',
            'celeryward-kv-backup',
            'kv-from',
        ):
            assert name not in arrival.head.headers
        expected = arrival.head.headers['celeryward-expect-instance']
        assert expected in ('llm-1', 'llm-2')

    @standins.on_site
    async def test_deadline_passed_on_is_what_is_left(self, site):
        site.runners['llm-1'].script.append(standins.refusing())
        site.runners['llm-2'].script.append(standins.refusing())
        await site.ask('/whole/x', celeryward_deadline_ms='1200')
        left = int(site.arrivals()[0].head.headers['celeryward-deadline-ms'])
        assert 900 < left <= 1200

    @standins.on_site
    async def test_chunked_body_arrives_whole(self, site):
        connection = await site.connect()
        headers = standins.headers_of('/whole/x')
        headers['transfer-encoding'] = 'chunked'
        await connection.send(
            'send request',
            h11.Request(
                method='POST',
                target='/whole/x',
                headers=http.encode_headers(headers),
            ),
            h11.Data(data=b'first '),
            h11.Data(data=b'second'),
            h11.EndOfMessage(),
        )
        deadline = standins.base.deadlines.Deadline.after(3.0)
        head = await connection.receive_response(deadline)
        assert head.status == 200
        assert site.arrivals()[0].body == b'first second'
        await connection.close()


class TestAdmission:
    """Guards against wrong refusals."""

    @standins.on_site
    async def test_unknown_route_key_and_missing_key(self, site):
        head, _ = await site.ask('/nowhere/x')
        assert head.status == 404
        head, _ = await site.ask('/whole/x', authorization='Bearer wrong')
        assert head.status == 401
        head, _ = await site.ask('/whole/x', authorization=None)
        assert head.status == 401
        head, _ = await site.ask('/open/x', authorization=None)
        assert head.status == 200
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_malformed_numbers_are_bad_input(self, site):
        """A malformed header failed again when its failure was logged."""
        head, _ = await site.ask('/whole/x', last_event_id='many')
        assert head.status == 400
        head, _ = await site.ask('/whole/x', request_id=None)
        assert head.status == 400
        assert site.arrivals() == []

    @standins.on_site
    async def test_longest_prefix_wins(self, site):
        routes = [
            standins.route('short', 'idempotent', 'llm'),
            standins.route(
                'long', 'idempotent', 'app', pathPrefix='/short/long/'
            ),
        ]
        spec = standins.configuration(2, routes=routes)
        await site.store.put('config', 'main', spec)
        held = site.router.configuration
        await standins.until(lambda: held.current.version == 2)
        await site.ask('/short/long/x')
        assert site.runners['app-1'].arrivals or site.runners['app-2'].arrivals

    @standins.on_site
    async def test_large_and_ambiguous_requests_are_rejected(self, site):
        head, _ = await site.ask('/whole/x', 'POST', b'x' * 100001)
        assert head.status == 413
        head, _ = await site.ask('/whole/x', x_long='x' * 17000)
        assert head.status == 431
        connection = await site.connect()
        raw = (
            b'POST /whole/x HTTP/1.1\r\nHost: service.example\r\n'
            b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /whole/smuggled HTTP/1.1\r\n\r\n'
        )
        await connection.sock.sendall(raw)
        answer = await connection.sock.recv(1000)
        assert answer.startswith(b'HTTP/1.1 400')
        assert site.arrivals() == []
        await connection.close()


class TestAtMostOnce:
    """Guards against second runs and untrue refusals."""

    @standins.on_site
    async def test_broken_connection_is_not_repeated(self, site):
        for runner in site.runners.values():
            runner.usual = standins.broken
        head, _ = await site.ask('/once/x', 'POST', b'1')
        assert head.status == 502
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_refused_request_goes_to_another_endpoint(self, site):
        site.runners['app-1'].usual = standins.refusing()
        head, _ = await site.ask('/once/x', 'POST', b'1')
        assert head.status == 200

    @standins.on_site
    async def test_refusal_by_all_says_when_to_come_back(self, site):
        for runner in site.runners.values():
            runner.usual = standins.refusing()
        head, _ = await site.ask('/once/x', 'POST', b'1')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0

    @standins.on_site
    async def test_failure_of_an_idempotent_request_is_repeated(self, site):
        for runner in site.runners.values():
            runner.script.append(standins.answering(500, b'failed'))
        head, body = await site.ask('/whole/x')
        # Both endpoints fail; the endpoint's own failure is passed on.
        assert (head.status, body) == (500, b'failed')
        assert 'celeryward-response-seal' in head.headers
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_request_that_ran_is_never_called_not_run(self, site):
        """A lost answer and no further endpoint gave 503, a false promise."""
        site.router.runners.remove('app-2')
        site.runners['app-1'].usual = standins.broken
        head, _ = await site.ask('/whole/x')
        assert len(site.arrivals()) == 1
        assert head.status == 502

    @standins.on_site
    async def test_failure_of_a_single_run_is_passed_on(self, site):
        for runner in site.runners.values():
            runner.usual = standins.answering(500, b'failed')
        head, _ = await site.ask('/once/x', 'POST', b'1')
        assert head.status == 500
        assert len(site.arrivals()) == 1


class TestForeignAnswers:
    """Guards against bytes that are not the endpoint's answer."""

    @pytest.mark.parametrize(
        'act',
        [
            standins.answering(200, b'unsigned', seal=False),
            standins.answering(200, b'x', celeryward_attempt_id='other'),
            standins.answering(200, b'x', content_encoding='gzip'),
            standins.answering(500, b'unsigned', seal=False),
        ],
    )
    @fakes.in_kernel
    async def test_answer_goes_to_nobody(self, site, act):
        await site.start()
        for runner in site.runners.values():
            runner.usual = act
        head, body = await site.ask('/once/x', 'POST', b'1')
        assert (head.status, body) == (502, b'')
        assert len(site.arrivals()) == 1
        await site.stop()

    @standins.on_site
    async def test_extra_answer_is_not_given_to_the_next_request(self, site):
        async def twice(runner, connection, arrival):
            await standins.usual(runner, connection, arrival)
            extra = (
                b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n'
                b'celeryward-response-seal: s\r\n\r\nextra'
            )
            await connection.sock.sendall(extra)

        for runner in site.runners.values():
            runner.script.append(twice)
        for number in range(4):
            _, body = await site.ask('/whole/x', request_id=f'r{number}')
            assert body == b'whole answer'

    @standins.on_site
    async def test_truncated_answer_is_not_passed_on(self, site):
        async def truncated(runner, connection, arrival):
            head = runner.head(arrival, **{'content-length': '50'})
            await connection.send(
                'answer',
                h11.Response(
                    status_code=200, headers=http.encode_headers(head)
                ),
                h11.Data(data=b'short'),
            )
            raise http.Disconnected('cut', step='answer', peer='test')

        for runner in site.runners.values():
            runner.usual = truncated
        head, body = await site.ask('/once/x', 'POST', b'1')
        assert (head.status, body) == (502, b'')


class TestStreams:
    """Guards against missing, doubled or joined events."""

    @standins.on_site
    async def test_stream_is_passed_on(self, site):
        head, body = await site.ask('/stream/x')
        assert head.headers['content-type'] == 'text/event-stream'
        assert body == standins.events(4)

    @standins.on_site
    async def test_broken_stream_goes_on_elsewhere(self, site):
        async def torn(runner, connection, arrival):
            await standins.stream(
                runner, connection, arrival, 2, torn=b'id: 3\ndata: pie'
            )

        site.runners['llm-1'].script.append(torn)
        # The home of the prompt may be either endpoint.
        site.router.outcomes.set_lost('llm-2', True)
        _, body = await site.ask('/stream/x')
        assert body == standins.events(4)
        resumed = site.runners['llm-2'].arrivals[0]
        assert resumed.head.headers['last-event-id'] == '2'

    @standins.on_site
    async def test_event_that_is_missing_is_fetched(self, site):
        async def gap(runner, connection, arrival):
            head = runner.head(arrival, **{'transfer-encoding': 'chunked'})
            await connection.send(
                'answer',
                h11.Response(
                    status_code=200, headers=http.encode_headers(head)
                ),
                h11.Data(data=standins.event(1) + standins.event(3)),
                h11.EndOfMessage(),
            )

        site.runners['llm-1'].script.append(gap)
        site.router.outcomes.set_lost('llm-2', True)
        _, body = await site.ask('/stream/x')
        assert body == standins.events(4)
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_stream_that_can_not_resume_does_not_look_whole(self, site):
        async def cut(runner, connection, arrival):
            await standins.stream(runner, connection, arrival, 2)

        for runner in site.runners.values():
            runner.usual = cut
        with pytest.raises(http.Disconnected):
            await site.ask('/rigid/x')
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_caller_resumes_at_its_event(self, site):
        _, body = await site.ask('/stream/x', last_event_id='3')
        assert body == standins.event(4)


class TestSizes:
    """Guards against dear models without need, and poor answers."""

    @standins.on_site
    async def test_confident_small_answer_is_kept(self, site):
        await site.ask('/stream/x')
        assert [each.model for each in site.arrivals()] == ['small']

    @standins.on_site
    async def test_doubtful_answer_is_asked_of_the_largest(self, site):
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        _, body = await site.ask('/stream/x')
        assert body == standins.events(4)
        models = [each.model for each in site.arrivals()]
        assert sorted(models) == ['large', 'small']

    @standins.on_site
    async def test_without_budget_the_small_answer_is_kept(self, site):
        for runner in site.runners.values():
            runner.confidence = {'small': 5}
        budget = site.router.relay.budgets['llm']
        budget.tokens = 1.5
        budget.debt = 100.0
        _, body = await site.ask('/stream/x')
        assert body == standins.events(4)
        assert [each.model for each in site.arrivals()] == ['small']


class TestTime:
    """Guards against callers that wait too long, and work for nobody."""

    @standins.on_site
    async def test_route_timeout_ends_the_wait(self, site):
        for runner in site.runners.values():
            runner.usual = standins.hanging
        started = time.monotonic()
        head, _ = await site.ask('/once/x', 'POST', celeryward_deadline_ms='9')
        assert head.status in (503, 504)
        head, _ = await site.ask(
            '/once/x', 'POST', celeryward_deadline_ms='300'
        )
        assert head.status == 504
        assert time.monotonic() - started < 0.6

    @standins.on_site
    async def test_work_ends_when_the_caller_leaves(self, site):
        for runner in site.runners.values():
            runner.usual = standins.hanging
        connection = await site.connect()
        headers = standins.headers_of('/once/x')
        await http.send_request(connection, 'POST', '/once/x', headers, b'1')
        await standins.until(lambda: len(site.arrivals()) == 1)
        await connection.close()
        ended = site.runners['app-1'].ended, site.runners['app-2'].ended
        await standins.until(lambda: any(ended), seconds=0.5)

    @standins.on_site
    async def test_hanging_endpoint_is_left_by_what_may_repeat(self, site):
        site.runners['app-1'].usual = standins.hanging
        for _ in range(2):
            head, _ = await site.ask('/whole/x')
            assert head.status == 200


class TestIdleConnections:
    """Guards against a stop that fails while connections end by themselves."""

    @fakes.in_kernel
    async def test_connection_that_ends_meanwhile_is_passed_over(self):
        """A stop of a busy router failed on a socket closed meanwhile."""
        closing = gateway.Gateway(None, None, None)

        class Idle:
            def __init__(self, other=None):
                self.other = other
                self.closed = False

            def has_input(self):
                assert not self.closed
                return False

            async def cancel(self):
                if self.other is not None:
                    self.other.closed = True
                    closing.tasks.pop(self.other, None)

        second = Idle()
        first = Idle(second)
        closing.tasks = {first: first, second: second}
        await closing.close_idle()


class TestKeptConnections:
    """Guards against lost requests on connections that are kept."""

    @standins.on_site
    async def test_one_connection_carries_many_requests(self, site):
        connection = await site.connect()
        for number in range(3):
            head, _ = await standins.ask(
                connection, '/whole/x', request_id=f'r{number}'
            )
            assert head.status == 200
            connection.start_next_cycle()
        await connection.close()

    @standins.on_site
    async def test_stop_answers_what_runs_and_ends_idle_ones(self, site):
        """A stop failed on an idle connection that it had closed itself."""

        async def slow(runner, connection, arrival):
            await curio.sleep(0.8)
            await standins.usual(runner, connection, arrival)

        for runner in site.runners.values():
            runner.usual = slow
        idle = [await site.connect() for _ in range(3)]
        asking = await curio.spawn(site.ask, '/whole/x')
        await standins.until(lambda: site.arrivals())
        await site.router.stop()
        head, _ = await asking.join()
        assert head.status == 200
        for connection in idle:
            assert await connection.sock.recv(10) == b''
            await connection.close()


class TestEvidence:
    """Guards against answers that count for no software version."""

    @standins.on_site
    async def test_answers_of_plain_services_are_usual(self, site):
        """Only their failures counted, so that failing looked usual."""
        runner = site.runners['app-1']
        for _ in range(3):
            runner.script.append(standins.answering(500))
            await site.ask('/whole/x')
        for _ in range(40):
            await site.ask('/whole/x')
        baseline = site.router.releases.baselines[('app', 'whole ')]
        assert baseline.failure_rate < 0.1
        assert baseline.head_samples >= 40
        assert not site.router.releases.runs.runs
