"""Endpoints of the soak that are processes of their own."""

import pathlib
import signal
import subprocess
import sys
import time

import curio
import pytest

from benchmarks.soak import harmful_faults
from celeryward import http
from tests import platform_processes as processes
from tests import soak_endpoints

PAUSE_SECONDS = 0.6
PAUSED_ENDPOINT = pathlib.Path(__file__).with_name('paused_endpoint.py')
# The job is a process group of its own, as in an interactive shell.
SHELL_COMMAND = 'set -m; "$0" "$@" & read line'


class TestPauses:
    """Guards against pauses in which the endpoint goes on, or ends."""

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_requests_wait_for_a_process_that_stands_still(
        self, endpoint
    ):
        assert await soak_endpoints.ask(endpoint, 'before') == b'whole answer'
        began = time.monotonic()
        pause = await curio.spawn(endpoint.pause, PAUSE_SECONDS)
        await curio.sleep(0.05)
        assert await soak_endpoints.ask(endpoint, 'within') == b'whole answer'
        assert time.monotonic() - began >= PAUSE_SECONDS
        await pause.join()
        runs = endpoint.fleet.observed.executions
        assert [each.request_id for each in runs] == ['before', 'within']
        assert [each.undisturbed for each in runs] == [True, False]
        assert runs[1].at >= began + PAUSE_SECONDS

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_process_that_stands_still_is_ended(self, endpoint):
        pause = await curio.spawn(endpoint.pause, PAUSE_SECONDS)
        await curio.sleep(0.05)
        ended = endpoint.server
        await endpoint.crash(ended)
        assert ended.process.poll() == -signal.SIGKILL
        await endpoint.restart(ended)
        await pause.join()
        assert endpoint.server is not ended
        assert await soak_endpoints.ask(endpoint) == b'whole answer'

    def test_end_of_the_shell_that_started_the_soak_ends_no_paused_process(
        self, tmp_path
    ):
        with subprocess.Popen(
            ['bash', '-c', SHELL_COMMAND, sys.executable]
            + [str(PAUSED_ENDPOINT), str(tmp_path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
        ) as shell:
            assert shell.stdout.readline() == b'paused\n'
            shell.stdin.write(b'end\n')
            shell.stdin.flush()
            shell.wait(5.0)
            assert shell.stdout.readline() == b'runs\n'


class TestEnds:
    """Guards against processes that end unnoticed, or stay."""

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_harmful_part_ends_the_process_and_another_starts(
        self, endpoint
    ):
        first = endpoint.server
        part = f'{harmful_faults.PART_PREFIX}1'
        with pytest.raises(http.EXCHANGE_ERRORS):
            await soak_endpoints.ask(
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
        assert await soak_endpoints.ask(endpoint) == b'whole answer'

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_process_ends_with_its_harness(self, endpoint):
        async with curio.timeout_after(5.0):
            await endpoint.server.process.stdin.close()
            assert await endpoint.server.process.wait() == 0

    @soak_endpoints.on_endpoint(in_process=True)
    async def test_end_that_nothing_planned_is_an_error(self, endpoint):
        for number in (signal.SIGTERM, signal.SIGKILL):
            server = endpoint.server
            server.process.send_signal(number)
            async with curio.timeout_after(5.0):
                await server.following.wait()
            assert isinstance(server.following.exception, RuntimeError)
            await endpoint.restart(server)
