"""Connections that a router keeps to its endpoints."""

import pytest

from tests import platform_standins as standins

REQUESTS = 12


def open_connections(site):
    """Return the number of open connections at all endpoints of a site."""
    return sum(len(runner.listener.tasks) for runner in site.runners.values())


def count_accepted(runner):
    """Return a list that grows with each connection at an endpoint."""
    accepted = []
    handle = runner.listener.handler

    async def record_and_handle(connection):
        accepted.append(connection.peer)
        await handle(connection)

    runner.listener.handler = record_and_handle
    return accepted


class TestOneShotRequests:
    """Guards against connections that only pile up at an endpoint."""

    @pytest.fixture
    def site(self):
        return standins.Site([standins.RunnerStandIn('app-1', 'app')])

    @standins.on_site
    async def test_one_after_another_leave_one_connection(self, site):
        """Idle connections filled the endpoint, which reset new ones."""
        for number in range(REQUESTS):
            head, _ = await site.request(
                '/once/x', 'POST', request_id=f'request-{number}'
            )
            assert head.status == 200
        await standins.wait_until(lambda: open_connections(site) == 1)

    @standins.on_site
    async def test_their_connections_serve_requests_that_may_repeat(
        self, site
    ):
        accepted = count_accepted(site.runners['app-1'])
        for number in range(REQUESTS):
            once = number % 3 == 0
            path, method = ('/once/x', 'POST') if once else ('/whole/x', 'GET')
            await site.request(path, method, request_id=f'request-{number}')
        assert len(site.arrivals()) == REQUESTS
        assert len(accepted) == REQUESTS // 3
