"""A process that stands still for a second and goes on."""

import pytest

from celeryward import logs
from celeryward import standstills
from tests import fakes


@pytest.fixture
def lines():
    """The messages that are logged."""
    messages = []
    sink = logs.logger.add(
        lambda message: messages.append(message.record['message'])
    )
    yield messages
    logs.logger.remove(sink)


class TestWatch:
    """Guards against a standstill that leaves no trace in the log."""

    def test_late_look_is_logged_with_the_work_of_the_process(self, lines):
        clock = fakes.CallableClock()
        work = fakes.CallableClock()
        watch = standstills.StandstillWatch(0.25, clock, work)
        clock.now = 2.25
        work.now = 0.125
        assert watch.look() == 2.0
        assert lines == ['process stood still for 2.00 s, with 0.12 s of work']

    def test_looks_in_time_are_not_logged(self, lines):
        clock = fakes.CallableClock()
        watch = standstills.StandstillWatch(0.25, clock, clock)
        for clock.now in (0.25, 0.6, 1.2):
            assert watch.look() == 0.0
        assert not lines
