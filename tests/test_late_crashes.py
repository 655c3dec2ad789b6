"""Requests that crash endpoints at the end of their answers."""

import pytest

from tests import fakes
from tests import platform_crash_processes as processes
from tests import platform_crashes as crashing

RUN_SECONDS = 12.0
INTERVAL_SECONDS = 0.05
# Prime to the number of routers, so that all of them get harmful requests.
HARMFUL_EVERY = 13
# Requests with the harmful part that may reach endpoints later than 3 s after
# the fifth crash.
LATE_ARRIVALS = 3
SERVED_SHARE = 0.97


def request(number):
    """Return a request; all share a part, sound ones another one, too."""
    harmful = number % HARMFUL_EVERY == 0
    part = crashing.HARMFUL_PART if harmful else f'b{number % 5}'
    return f'/stream/{number}', f'aa:300,{part}:200,{number:x}:100', harmful


class TestRouterProcesses:
    """Guards against time that is taken for proof that parts are harmless.

    Answers that had been written for 1 s cleared their parts, and parts of
    longer ones were no evidence, so that the part was never refused.
    """

    @pytest.mark.parametrize('routers', (4,))
    @fakes.in_kernel
    async def test_all_routers_refuse_the_part(self, tmp_path, routers):
        fleet = processes.ProcessFleet(tmp_path, routers)
        try:
            await fleet.start()
            await fleet.send_regularly(RUN_SECONDS, INTERVAL_SECONDS, request)
        finally:
            await fleet.stop()
        assert len(fleet.crashes) >= 5
        assert fleet.late_harmful_arrivals() <= LATE_ARRIVALS
        assert fleet.served_share() >= SERVED_SHARE
