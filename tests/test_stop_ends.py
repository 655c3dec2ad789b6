"""What a stop leaves of the requests that it can't finish, and in the log."""

import dataclasses
import json

import curio
import pytest

from celeryward import logs
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.default_site()


@pytest.fixture
def log_lines():
    """Return the log records of the test, as dictionaries."""
    lines = []

    def keep(message):
        lines.append(json.loads(logs.encode_json(message.record)))

    sink = logs.logger.add(keep, level='INFO')
    yield lines
    logs.logger.remove(sink)


def shorten_stop(site, seconds):
    """Set how much time the platform gives the router to stop."""
    placement = site.router.placement
    bounds = dataclasses.replace(placement.bounds, stop_seconds=seconds)
    site.router.placement = dataclasses.replace(placement, bounds=bounds)


def mute(site):
    """Let no endpoint respond."""
    for runner in site.runners.values():
        runner.default_action = standins.never_respond


class TestLog:
    """Guards against cut-off requests that the log doesn't explain."""

    @standins.on_site
    async def test_stop_and_request_that_it_cuts_off_are_explained(
        self, site, log_lines
    ):
        shorten_stop(site, 1.0)
        mute(site)
        pending = await curio.spawn(site.request, '/whole/x')
        await standins.wait_until(site.arrivals)
        await site.router.stop()
        await pending.join()
        stops = next(
            line
            for line in log_lines
            if line['message'].startswith('router stops')
        )
        assert 0.2 < stops['accept_until'] <= 0.3
        assert 0.5 < stops['finish_by'] <= 0.6
        assert stops['late'] == 0.0
        cut_off = next(
            line
            for line in log_lines
            if line['message'] == 'request cut off by the stop'
        )
        assert cut_off['request_id'] == 'request-1'
        assert cut_off['stop_left'] is None
        assert cut_off['seconds'] >= 0.5
        assert not cut_off['answer_begun']
