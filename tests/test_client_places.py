"""Ordinary callers beside clients that hold every place for callers.

Crowds and bounds were fixed before such clients made room. No test checks a
time or a share of requests.
"""

import threading

import curio
import pytest

from tests import platform_processes
from tests import test_client_limits
from tests import test_client_memory
from tests import test_pauses

# The host of these tests has 80 places for callers.
CLIENTS = 300
# The ordinary caller is given up before the crowd ends.
CROWD_SECONDS = test_client_limits.ANSWER_SECONDS + 10.0
FILL_SECONDS = 2.0
ANSWERS = 3
LONG_ANSWER = test_client_limits.request('/whole/long')


class TestOrdinaryCaller:
    """Guards against clients that keep an ordinary caller from its answer."""

    @pytest.mark.parametrize(
        'sources',
        (test_client_memory.SOURCES, test_client_limits.SAME_SOURCE),
        ids=('other addresses', 'one balancer'),
    )
    @pytest.mark.parametrize(
        'kind',
        (
            'pipeline',
            'silence',
            'endless head',
            'slow body',
            'heads',
            'unread answers',
        ),
    )
    def test_is_answered_while_clients_misuse_their_places(
        self, tmp_path, kind, sources
    ):
        sent = test_client_limits.NO_ROUTE
        if kind == 'unread answers':
            kind, sent = 'pipeline', LONG_ANSWER

        async def check(site):
            site.runner.default_action = test_client_limits.answer_long
            with test_client_limits.crowd_of(site.program.pid) as crowd:
                crowd.add(
                    CLIENTS,
                    kind,
                    (test_pauses.HOST, platform_processes.CALLER_PORT),
                    sent,
                    sources,
                    again=True,
                )
                await check_beside(site, crowd)

        test_client_memory.run_on_site(
            tmp_path, test_client_memory.LOW_MEGABYTES, check
        )


async def check_beside(site, crowd):
    """Check that ordinary requests are answered while a crowd goes on."""
    answered = threading.Event()
    running = await curio.spawn(
        curio.run_in_thread, crowd.run, CROWD_SECONDS, answered
    )
    await curio.sleep(FILL_SECONDS)
    try:
        for _ in range(ANSWERS):
            await test_client_limits.wait_for_answer(site)
    finally:
        answered.set()
        await running.join()
    test_client_memory.check_bounds(
        crowd, site.program, test_client_memory.LOW_MEGABYTES
    )
