"""Endpoints of the soak that are processes of their own."""

import time

import curio
import pytest

from benchmarks.soak import fleet as fleets
from benchmarks.soak import harmful_faults
from benchmarks.soak import process_endpoints
from celeryward import deadlines
from celeryward import http
from tests import fakes
from tests import platform_processes as processes
from tests import platform_standins as standins

PAUSE_SECONDS = 0.6


async def ask(endpoint, request_id='r1', path='/whole/x', **headers):
    """Send a request through the endpoint's proxy; return its body."""
    deadline = deadlines.Deadline.after(5.0)
    connection = await http.connect('127.0.0.1', endpoint.proxy.port, deadline)
    headers = standins.request_headers(path, request_id=request_id, **headers)
    try:
        await http.send_request(connection, 'POST', path, headers, b'body')
        await connection.receive_response(deadline)
        return await connection.receive_body('read body', deadline)
    finally:
        await connection.close()


def on_endpoint(test):
    """Decorator that runs a coroutine test on a started endpoint."""

    @fakes.in_kernel
    async def run(self, tmp_path):
        fleet = fleets.Fleet(1, tmp_path, 0, 2, process_endpoints=2)
        await fleet.start()
        try:
            await test(self, fleet.endpoints[1])
        finally:
            await fleet.stop()

    return run


class TestPauses:
    """Guards against pauses in which the endpoint goes on, or ends."""

    @on_endpoint
    async def test_requests_wait_for_a_process_that_stands_still(
        self, endpoint
    ):
        assert await ask(endpoint, 'before') == b'whole answer'
        began = time.monotonic()
        pause = await curio.spawn(endpoint.pause, PAUSE_SECONDS)
        await curio.sleep(0.05)
        assert await ask(endpoint, 'within') == b'whole answer'
        assert time.monotonic() - began >= PAUSE_SECONDS
        await pause.join()
        runs = endpoint.fleet.observed.executions
        assert [each.request_id for each in runs] == ['before', 'within']
        assert [each.undisturbed for each in runs] == [True, False]
        assert runs[1].at >= began + PAUSE_SECONDS

    @on_endpoint
    async def test_process_that_stands_still_is_ended(self, endpoint):
        pause = await curio.spawn(endpoint.pause, PAUSE_SECONDS)
        await curio.sleep(0.05)
        ended = endpoint.server
        await endpoint.crash()
        assert ended.process.poll() in process_endpoints.PLANNED_STATUSES
        await endpoint.restart()
        await pause.join()
        assert endpoint.server is not ended
        assert await ask(endpoint) == b'whole answer'


class TestEnds:
    """Guards against processes that end unnoticed, or stay."""

    @on_endpoint
    async def test_harmful_part_ends_the_process_and_another_starts(
        self, endpoint
    ):
        first = endpoint.server
        part = f'{harmful_faults.PART_PREFIX}1'
        with pytest.raises(http.EXCHANGE_ERRORS):
            await ask(
                endpoint, 'r1', '/stream/x', **processes.prompt_headers([part])
            )
        await first.process.wait()
        assert first.process.poll() == harmful_faults.CRASH_STATUS
        async with curio.timeout_after(10.0):
            while endpoint.crashed or endpoint.server is first:
                await curio.sleep(0.05)
        observed = endpoint.fleet.observed
        assert [each.part for each in observed.harmful] == [part]
        assert [each.part for each in observed.crashes] == [part]
        assert await ask(endpoint) == b'whole answer'

    @on_endpoint
    async def test_process_ends_with_its_harness(self, endpoint):
        async with curio.timeout_after(5.0):
            await endpoint.server.process.stdin.close()
            assert await endpoint.server.process.wait() == 0

    @on_endpoint
    async def test_end_that_nothing_planned_is_an_error(self, endpoint):
        endpoint.server.process.terminate()
        async with curio.timeout_after(5.0):
            await endpoint.server.following.wait()
        assert isinstance(endpoint.server.following.exception, RuntimeError)
