"""Fixtures that all tests share."""

import curio
import hypothesis
import pytest

from celeryward import deadlines
from celeryward import event_loop
from celeryward import logs
from celeryward.operators import demo
from celeryward.standins import fleet
from tests import fakes

TEST_SECONDS = 30.0

# Hypothesis generates the same examples in each run, and no example fails
# because it is slow.
hypothesis.settings.register_profile(
    'repeatable', deadline=None, derandomize=True
)
hypothesis.settings.load_profile('repeatable')


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep log lines out of the output of the tests."""
    logs.configure('CRITICAL', 'text')


@pytest.fixture
def run():
    """Return a function that runs a coroutine function in a new kernel."""

    def run_to_end(function, *arguments):
        async def guarded():
            return await curio.timeout_after(
                TEST_SECONDS, function, *arguments
            )

        return event_loop.run(guarded)

    return run_to_end


@pytest.fixture
def clock(monkeypatch):
    """Return the clock of all deadlines, which only the test advances."""
    clock = fakes.Clock()
    monkeypatch.setattr(deadlines, 'time', clock)
    return clock


@pytest.fixture
def with_fleet(run):
    """Return a function that runs a test against started engines."""

    def run_with(test, *engines, **options):
        async def body():
            started = fleet.Fleet(engines, **options)
            await started.start()
            try:
                return await test(started)
            finally:
                await started.stop()

        return run(body)

    return run_with


@pytest.fixture
def with_cluster(run):
    """Return a function that runs a test against a started cluster."""

    def run_with(test):
        async def body():
            cluster = demo.Cluster()
            await cluster.start()
            try:
                return await test(cluster)
            finally:
                await cluster.stop()

        return run(body)

    return run_with
