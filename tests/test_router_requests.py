"""Requests through a router, with stand-ins for store and endpoints."""

import dataclasses
import time

import curio
import h11
import pytest

from celeryward import http
from tests import fakes
from tests import platform_standins as standins

# A refusal that names its request, as the protocol says.
REFUSE_NAMED = standins.respond_with(503, celeryward_not_executed='1')


@pytest.fixture
def site():
    return standins.default_site()


class TestForwarding:
    """Guards against requests and answers that the router alters."""

    @standins.on_site
    async def test_method_target_and_body_are_unchanged(self, site):
        target = '/whole/x%2Fy?a=1&b=%20'
        head, body = await site.request(target, 'POST', b'\x00\xffbody')
        assert (head.status, body) == (200, b'whole answer')
        arrival = site.arrivals()[0]
        assert arrival.head.method == 'POST'
        assert arrival.head.target == target
        assert arrival.body == b'\x00\xffbody'

    @standins.on_site
    async def test_status_headers_and_body_of_answer_are_unchanged(self, site):
        act = standins.respond_with(418, b'odd', x_more='kept')
        for runner in site.runners.values():
            runner.default_action = act
        head, body = await site.request('/once/x', 'POST', b'1')
        assert (head.status, body) == (418, b'odd')
        assert head.headers['celeryward-response-seal'].startswith('seal-app')
        assert head.headers['x-more'] == 'kept'

    @standins.on_site
    async def test_api_key_is_replaced_by_the_customer_name(self, site):
        await site.request('/whole/x', celeryward_tenant='forged')
        headers = site.arrivals()[0].head.headers
        assert headers['celeryward-tenant'] == 'customer-a'
        assert 'authorization' not in headers

    @standins.on_site
    async def test_router_headers_of_callers_are_dropped(self, site):
        await site.request(
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
    async def test_forwarded_deadline_is_the_remaining_time(self, site):
        site.runners['llm-1'].scripted_actions.append(
            standins.refuse_unexecuted()
        )
        site.runners['llm-2'].scripted_actions.append(
            standins.refuse_unexecuted()
        )
        await site.request('/whole/x', celeryward_deadline_ms='1200')
        remaining = int(
            site.arrivals()[0].head.headers['celeryward-deadline-ms']
        )
        assert 900 < remaining <= 1200

    @standins.on_site
    async def test_chunked_body_arrives_whole(self, site):
        connection = await site.connect()
        headers = standins.request_headers('/whole/x')
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


class TestTunnels:
    """Guards against tunnels, whose success has no body to relay."""

    @pytest.mark.parametrize('path', ('/whole/x', '/once/x', '/stream/x'))
    @standins.on_site
    async def test_request_for_a_tunnel_is_rejected_unread(self, site, path):
        """Endpoints ran it, and the caller got a head and a close, or 502."""
        head, _ = await site.request(path, 'CONNECT')
        assert (head.status, site.arrivals()) == (400, [])


class TestAtMostOnce:
    """Guards against second runs and false claims that none happened."""

    @standins.on_site
    async def test_request_is_not_retried_after_a_broken_connection(
        self, site
    ):
        for runner in site.runners.values():
            runner.default_action = standins.disconnect
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 502
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_refused_request_is_retried_at_another_endpoint(self, site):
        site.runners['app-1'].default_action = REFUSE_NAMED
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 200

    @standins.on_site
    async def test_refusal_by_all_endpoints_has_retry_after(self, site):
        for runner in site.runners.values():
            runner.default_action = REFUSE_NAMED
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 503
        assert float(head.headers['retry-after']) > 0

    @standins.on_site
    async def test_failed_idempotent_request_is_retried(self, site):
        for runner in site.runners.values():
            runner.scripted_actions.append(
                standins.respond_with(500, b'failed')
            )
        head, body = await site.request('/whole/x')
        # Both endpoints fail; the error answer of an endpoint is relayed.
        assert (head.status, body) == (500, b'failed')
        assert 'celeryward-response-seal' in head.headers
        assert len(site.arrivals()) == 2

    @standins.on_site
    async def test_request_that_may_have_run_is_not_reported_as_not_run(
        self, site
    ):
        """503, which promises "not run", was sent after a lost answer.

        It happened when no other endpoint was left for a retry.
        """
        site.router.runners.remove('app-2')
        site.runners['app-1'].default_action = standins.disconnect
        head, _ = await site.request('/whole/x')
        assert len(site.arrivals()) == 1
        assert head.status == 502

    @standins.on_site
    async def test_error_answer_of_a_single_run_is_relayed(self, site):
        for runner in site.runners.values():
            runner.default_action = standins.respond_with(500, b'failed')
        head, _ = await site.request('/once/x', 'POST', b'1')
        assert head.status == 500
        assert len(site.arrivals()) == 1


class TestInvalidAnswers:
    """Guards against relaying what is not the answer to the request."""

    @pytest.mark.parametrize(
        'act',
        [
            standins.respond_with(200, b'unsigned', seal=False),
            standins.respond_with(200, b'x', content_encoding='gzip'),
            standins.respond_with(500, b'unsigned', seal=False),
        ],
    )
    @fakes.in_kernel
    async def test_invalid_answer_is_not_relayed(self, site, act):
        await site.start()
        for runner in site.runners.values():
            runner.default_action = act
        head, body = await site.request('/once/x', 'POST', b'1')
        assert (head.status, body) == (502, b'')
        assert len(site.arrivals()) == 1
        await site.stop()

    @standins.on_site
    async def test_answer_that_names_another_request_is_not_relayed(
        self, site
    ):
        act = standins.respond_with(200, b'x', celeryward_attempt_id='other')
        for runner in site.runners.values():
            runner.default_action = act
        started = time.monotonic()
        head, body = await site.request('/once/x', 'POST', b'1')
        assert (head.status, body) == (504, b'')
        assert time.monotonic() - started < 3.0
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_surplus_answer_is_not_relayed_to_the_next_request(
        self, site
    ):
        async def twice(runner, connection, arrival):
            await standins.send_default_response(runner, connection, arrival)
            extra = (
                b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n'
                b'celeryward-response-seal: s\r\n\r\nextra'
            )
            await connection.sock.sendall(extra)

        for runner in site.runners.values():
            runner.scripted_actions.append(twice)
        for number in range(4):
            _, body = await site.request('/whole/x', request_id=f'r{number}')
            assert body == b'whole answer'

    @standins.on_site
    async def test_truncated_answer_is_not_relayed(self, site):
        async def truncated(runner, connection, arrival):
            head = runner.response_headers(arrival, **{'content-length': '50'})
            await connection.send(
                'answer',
                h11.Response(
                    status_code=200, headers=http.encode_headers(head)
                ),
                h11.Data(data=b'short'),
            )
            raise http.Disconnected('cut', step='answer', peer='test')

        for runner in site.runners.values():
            runner.default_action = truncated
        head, body = await site.request('/once/x', 'POST', b'1')
        assert (head.status, body) == (502, b'')


class TestTimeouts:
    """Guards against late answers, and work that no caller waits for."""

    @standins.on_site
    async def test_deadline_ends_the_wait(self, site):
        for runner in site.runners.values():
            runner.default_action = standins.never_respond
        started = time.monotonic()
        head, _ = await site.request(
            '/once/x', 'POST', celeryward_deadline_ms='9'
        )
        assert head.status in (503, 504)
        head, _ = await site.request(
            '/once/x', 'POST', celeryward_deadline_ms='300'
        )
        assert head.status == 504
        assert time.monotonic() - started < 0.6

    @standins.on_site
    async def test_request_is_cancelled_when_the_caller_disconnects(
        self, site
    ):
        for runner in site.runners.values():
            runner.default_action = standins.never_respond
        connection = await site.connect()
        headers = standins.request_headers('/once/x')
        await http.send_request(connection, 'POST', '/once/x', headers, b'1')
        await standins.wait_until(lambda: len(site.arrivals()) == 1)
        await connection.close()
        ended = site.runners['app-1'].ended, site.runners['app-2'].ended
        await standins.wait_until(lambda: any(ended), seconds=0.5)

    @standins.on_site
    async def test_request_keeps_its_place_at_the_only_endpoint(self, site):
        """It left the queue of the last endpoint and failed at once."""

        async def queue(runner, connection, arrival):
            await curio.sleep(1.4)
            await standins.send_default_response(runner, connection, arrival)

        for runner in list(site.runners.values()):
            if runner.service == 'llm':
                runner.default_action = queue
        only = [
            each for each in site.runners.values() if each.service == 'llm'
        ]
        for runner in only[1:]:
            await site.store.delete('servers', runner.id)
        table = site.router.runners
        await standins.wait_until(
            lambda: len(list(table.of_service('llm'))) == 1
        )
        head, body = await site.request('/stream/x')
        assert head.status == 200
        assert body == standins.events(4)

    @standins.on_site
    async def test_retryable_request_leaves_a_hanging_endpoint(self, site):
        site.runners['app-1'].default_action = standins.never_respond
        for _ in range(2):
            head, _ = await site.request('/whole/x')
            assert head.status == 200


class TestStop:
    """Guards against accepted requests that a stop leaves without answer."""

    @standins.on_site
    async def test_request_that_outlasts_the_stop_gets_an_answer(self, site):
        """Its connection was closed without a response."""
        placement = site.router.placement
        bounds = dataclasses.replace(placement.bounds, stop_seconds=1.0)
        site.router.placement = dataclasses.replace(placement, bounds=bounds)
        for runner in site.runners.values():
            runner.default_action = standins.never_respond
        pending = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(lambda: site.arrivals())
        await site.router.stop()
        head, _ = await pending.join()
        assert head.status == 502
        assert 'retry-after' not in head.headers

    @standins.on_site
    async def test_connection_in_the_queue_of_the_kernel_is_served(self, site):
        """Closing the listener reset connections that were not yet taken."""
        listening = site.router.listeners.callers
        await listening.accept_task.cancel()
        connection = await site.connect()
        pending = await curio.spawn(standins.request, connection, '/whole/x')
        await listening.stop_accepting()
        head, _ = await pending.join()
        assert head.status == 200
        await connection.close()


class TestReleaseStatistics:
    """Guards against answers that are missing in the statistics."""

    @standins.on_site
    async def test_successes_of_services_without_models_count(self, site):
        """Only failures counted, so that failing looked normal."""
        runner = site.runners['app-1']
        for _ in range(3):
            runner.scripted_actions.append(standins.respond_with(500))
            await site.request('/whole/x')
        for _ in range(40):
            await site.request('/whole/x')
        baseline = site.router.releases.baselines.of('app', 'whole ')
        assert baseline.failure_rate < 0.1
        assert baseline.head.samples >= 40
        assert not site.router.releases.runs.runs
