"""How a router reloads its settings."""

import dataclasses
import os

import pytest

from celeryward import errors
from celeryward import signals
from tests import fakes
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.Site(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('llm-1'),
        ]
    )


class TestReload:
    """Guards against a reload that ends the process or changes nothing."""

    @standins.on_site
    async def test_changed_bounds_are_in_force(self, site):
        site.bounds = dataclasses.replace(
            site.bounds, revoked_key_seconds=2.0, session_seconds=9.0
        )
        freshness_state = site.router.freshness
        await standins.wait_until(
            lambda: freshness_state.max_age_seconds < 1.0, 2.5
        )
        assert site.router.releases.sessions.session_seconds == 9.0

    @standins.on_site
    async def test_changed_bounds_shorten_the_waits(self, site):
        """Waits were computed from the bounds at the start."""
        view = site.router.view
        before = view.publisher.pacing.poll_wait
        site.bounds = dataclasses.replace(
            site.bounds, leave_seconds=1.5, history_seconds=2.0
        )
        site.router.reload()
        assert view.source.pacing.poll_wait < before
        assert view.publisher.pacing == view.source.pacing
        primary, endpoints, orders = view.watchers
        assert primary.timings.wait_seconds < 1.0
        assert endpoints.timings.wait_seconds < 2.0
        assert orders.timings.wait_seconds < 2.0

    @standins.on_site
    async def test_reload_keeps_the_port_of_the_store(self, site):
        port = site.store.port
        site.bounds = dataclasses.replace(site.bounds, session_seconds=9.0)
        site.router.reload()
        assert site.store.port == port

    @standins.on_site
    async def test_malformed_settings_keep_the_last(self, site):
        def fail():
            raise errors.BadInput('torn', step='settings', peer='file')

        site.router.read_placement = fail
        site.router.reload()
        assert site.router.placement == site.placement()

    @fakes.in_kernel
    async def test_reload_signal_does_not_end_the_process(self):
        """Without a handler, the reload signal kills the process."""
        numbers = (*signals.STOP_SIGNALS, signals.RELOAD_SIGNAL)
        with signals.signal_receiver(numbers) as receiver:
            os.kill(os.getpid(), signals.RELOAD_SIGNAL)
            assert await receiver.next_signal() == signals.RELOAD_SIGNAL
