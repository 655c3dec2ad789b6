"""Requests that a router admits or rejects."""

import pytest

from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.default_site()


class TestAdmission:
    """Guards against requests that are admitted or rejected wrongly."""

    @standins.on_site
    async def test_unknown_route_wrong_key_and_missing_key(self, site):
        head, _ = await site.request('/nowhere/x')
        assert head.status == 404
        head, _ = await site.request('/whole/x', authorization='Bearer wrong')
        assert head.status == 401
        head, _ = await site.request('/whole/x', authorization=None)
        assert head.status == 401
        head, _ = await site.request('/open/x', authorization=None)
        assert head.status == 200
        assert len(site.arrivals()) == 1

    @standins.on_site
    async def test_malformed_headers_are_bad_input(self, site):
        """Logging the rejection of a malformed header raised an exception."""
        head, _ = await site.request('/whole/x', last_event_id='many')
        assert head.status == 400
        head, _ = await site.request('/whole/x', request_id=None)
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
        router_configuration = site.router.configuration
        await standins.wait_until(
            lambda: router_configuration.current.version == 2
        )
        await site.request('/short/long/x')
        assert site.runners['app-1'].arrivals or site.runners['app-2'].arrivals

    @standins.on_site
    async def test_large_and_ambiguous_requests_are_rejected(self, site):
        head, _ = await site.request('/whole/x', 'POST', b'x' * 100001)
        assert head.status == 413
        head, _ = await site.request('/whole/x', x_long='x' * 17000)
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
