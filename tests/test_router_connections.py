"""Connections of a router, to endpoints and to callers."""

import curio
import pytest

from celeryward.callers import gateway
from celeryward import ingress
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.default_site()


class TestIdleConnections:
    """Guards against a failed shutdown while connections are closing."""

    @fakes.in_kernel
    async def test_connection_that_ends_meanwhile_is_skipped(self):
        """Shutdown used a socket that was closed during a cancellation."""
        idle_gateway = gateway.Gateway(
            None, ingress.ConfigurationHolder(), None
        )

        class Idle:
            def __init__(self, other=None):
                self.other = other
                self.closed = False

            def has_input(self):
                assert not self.closed
                return False

            def has_request(self):
                return False

            async def cancel(self):
                if self.other is not None:
                    self.other.closed = True
                    idle_gateway.tasks.pop(self.other, None)

        second = Idle()
        first = Idle(second)
        idle_gateway.tasks = {first: first, second: second}
        await idle_gateway.close_idle()


class TestPersistentConnections:
    """Guards against requests lost on persistent connections."""

    @standins.on_site
    async def test_one_connection_carries_many_requests(self, site):
        connection = await site.connect()
        for number in range(3):
            head, _ = await standins.request(
                connection, '/whole/x', request_id=f'r{number}'
            )
            assert head.status == 200
            connection.start_next_cycle()
        await connection.close()

    @standins.on_site
    async def test_shutdown_finishes_requests_and_closes_idle_connections(
        self, site
    ):
        """Shutdown failed on an idle connection that it had closed itself."""

        async def slow(runner, connection, arrival):
            await curio.sleep(0.8)
            await standins.send_default_response(runner, connection, arrival)

        for runner in site.runners.values():
            runner.default_action = slow
        idle = [await site.connect() for _ in range(3)]
        pending = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(lambda: site.arrivals())
        await site.router.stop()
        head, _ = await pending.join()
        assert head.status == 200
        for connection in idle:
            assert await connection.sock.recv(10) == b''
            await connection.close()
