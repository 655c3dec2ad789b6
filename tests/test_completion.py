"""Decisions whether work that begins now can be finished."""

import math
import time

import pytest

from celeryward import completion
from celeryward import deadlines
from celeryward import errors
from celeryward import stopping


def make_check(seconds_left=None):
    """Return a check of a process that stops in some seconds, or not."""
    stop = stopping.StopState()
    if seconds_left is not None:
        until = deadlines.BootDeadline.after(seconds_left)
        stop.begin(stopping.StopSchedule(until, until))
    return completion.CompletionCheck(stop)


def make_work(seconds, rule='repeatable', least_seconds=0.0):
    """Return work with some seconds until its deadline."""
    deadline = deadlines.Deadline.after(seconds)
    return completion.Work('kind', deadline, rule, least_seconds)


class TestStopState:
    """Guards against a stop that is believed to have time it doesn't have."""

    def test_process_that_does_not_stop_has_all_time(self):
        assert stopping.StopState().seconds_left() == math.inf

    def test_time_is_counted_while_the_host_is_suspended(self, monkeypatch):
        stop = stopping.StopState()
        until = deadlines.BootDeadline.after(5.0)
        stop.begin(stopping.StopSchedule(until, until))
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        monkeypatch.setattr(time, 'clock_gettime', lambda clock: now + 4.0)
        assert stop.seconds_left() < 1.1


class TestRequestsDuringAStop:
    """Guards against requests that are begun and cut off by a stop."""

    @pytest.mark.parametrize('rule', ('repeatable', 'losable', 'once'))
    def test_any_request_begins_without_a_stop(self, rule):
        assert make_check().can_finish(make_work(100.0, rule))

    @pytest.mark.parametrize('rule', ('repeatable', 'losable', 'once'))
    def test_request_whose_deadline_comes_first_begins(self, rule):
        assert make_check(3.0).can_finish(make_work(2.0, rule))

    @pytest.mark.parametrize('rule', ('repeatable', 'losable', 'once'))
    def test_request_of_unknown_duration_does_not_begin(self, rule):
        assert not make_check(3.0).can_finish(make_work(10.0, rule))

    def test_request_begins_if_it_usually_ends_in_time(self):
        check = make_check(3.0)
        check.record('kind', 2.0)
        assert check.can_finish(make_work(10.0))
        assert check.can_finish(make_work(10.0, 'losable'))

    def test_request_that_usually_takes_too_long_does_not_begin(self):
        check = make_check(3.0)
        check.record('kind', 4.0)
        assert not check.can_finish(make_work(10.0))

    def test_answer_that_can_not_be_continued_has_a_wider_margin(self):
        check = make_check(3.0)
        for seconds in (1.0, 5.0):
            check.record('kind', seconds)
        assert check.can_finish(make_work(10.0))
        assert not check.can_finish(make_work(10.0, 'losable'))

    def test_request_that_must_not_run_twice_needs_its_whole_deadline(self):
        check = make_check(3.0)
        check.record('kind', 0.01)
        assert not check.can_finish(make_work(10.0, 'once'))

    def test_refusal_says_that_nothing_ran_and_when_to_return(self):
        with pytest.raises(errors.ShuttingDown) as raised:
            make_check(3.0).check(make_work(10.0), 'peer')
        assert raised.value.execution is errors.Execution.NOT_RUN
        assert raised.value.retry_at.remaining() < 1.0


class TestDeadline:
    """Guards against further work that can't end before the deadline."""

    def test_work_needs_its_least_time(self):
        assert make_check().can_finish(make_work(1.0, least_seconds=0.5))
        assert not make_check().can_finish(make_work(0.4, least_seconds=0.5))

    def test_error_says_that_nothing_ran(self):
        with pytest.raises(errors.DeadlineExceeded):
            make_check().check(make_work(0.1, least_seconds=0.5), 'peer')
