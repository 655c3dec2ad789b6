"""What counts as the end of an endpoint's process under its requests."""

import socket
import time

import curio
import pytest

from celeryward import awake_clock
from celeryward.endpoints import crash_watch
from celeryward.endpoints import crashes
from celeryward.endpoints import runners
from celeryward import http
from tests import fakes
from tests import platform_standins as standins

PARTS = 'aa:300,bb:500,cc:200'


@pytest.fixture
def site():
    return standins.default_site()


def record_crashes(site):
    """Return the list to which the crashes of a site are added."""
    found = []

    async def add(crash):
        found.append(crash)

    site.router.crash_watch.listeners.append(add)
    return found


async def end_process(runner, connection, arrival):
    """End the process of the runner after the first event of a stream."""
    await standins.begin_stream(runner, connection, arrival)
    await curio.spawn(runner.stop, daemon=True)
    await curio.sleep(0.5)


async def send_cut_stream(site):
    """Send a request whose stream ends with its endpoint."""
    with pytest.raises(http.Disconnected):
        await site.request('/rigid/x', 'POST', celeryward_prompt_prefix=PARTS)


class TestCrashWatch:
    """Guards against evidence where only a connection or the way failed."""

    @standins.on_site
    async def test_end_of_a_process_is_found_with_its_requests(self, site):
        found = record_crashes(site)
        for runner in site.runners.values():
            if runner.service == 'llm':
                runner.scripted_actions.append(end_process)
        await send_cut_stream(site)
        await standins.wait_until(lambda: found, 2.0)
        (request,) = found[0].requests
        assert request.parts == ('aa', 'bb')

    @standins.on_site
    async def test_end_is_found_after_the_caller_has_left(self, site):
        """The task that noticed the break is cancelled with its caller."""
        found = record_crashes(site)
        watch = site.router.crash_watch
        runner = site.router.runners.runners['llm-1']
        await site.runners['llm-1'].stop()
        traits = crashes.RequestTraits('request-1', ('aa',))
        run = watch.begin(runner, lambda: traits)
        task = await curio.spawn(watch.record_break, run)
        await curio.sleep(0)
        await task.cancel()
        await standins.wait_until(lambda: found, 2.0)
        await standins.wait_until(lambda: not watch.broken, 2.0)
        watch.end(run)

    @standins.on_site
    async def test_broken_connection_is_no_evidence(self, site):
        found = record_crashes(site)
        for runner in site.runners.values():
            runner.scripted_actions.append(standins.disconnect)
        await site.request('/rigid/x', 'POST')
        await curio.sleep(0.5)
        assert not found

    @standins.on_site
    async def test_end_of_a_leaving_endpoint_is_no_evidence(self, site):
        found = record_crashes(site)
        for runner in site.runners.values():
            runner.leaving = True
            runner.scripted_actions.append(end_process)
        await send_cut_stream(site)
        await curio.sleep(0.5)
        assert not found

    @pytest.mark.parametrize('backlog_is_full', (False, True))
    @standins.on_site
    async def test_endpoint_that_stands_still_has_not_ended(
        self, site, backlog_is_full
    ):
        found = record_crashes(site)
        watch = site.router.crash_watch
        with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
            address = listener.getsockname()
            runner = runners.Runner('still-1', 'app', *address, 'a')
            site.router.runners.put(runner)
            waiting = [socket.create_connection(address)]
            while backlog_is_full and len(waiting) < 4:
                waiting.append(socket.socket())
                waiting[-1].setblocking(False)
                waiting[-1].connect_ex(address)
            run = watch.begin(runner, lambda: crashes.RequestTraits('r'))
            await watch.record_break(run)
            await standins.wait_until(lambda: not watch.broken, 4.0)
            watch.end(run)
            for each in waiting:
                each.close()
        assert not (found or watch.ended)


class TestSurvivedParts:
    """Guards against parts that are accused while answers with them go on."""

    def survived(self, site, *, seconds, crashed=False, service='llm'):
        """Return the survived parts beside one run."""
        watch = site.router.crash_watch
        runner = site.router.runners.runners['llm-1']
        traits = crashes.RequestTraits('request-1', ('aa',))
        run = watch.begin(runner, lambda: traits)
        run.record_output()
        run.read_at -= seconds
        run.crashed = crashed
        found = watch.survived_parts(service)
        watch.end(run)
        return found

    @standins.on_site
    async def test_answer_that_goes_on_has_survived_its_parts(self, site):
        assert self.survived(site, seconds=1.0) == {'aa'}

    @standins.on_site
    async def test_other_answers_show_nothing(self, site):
        assert not self.survived(site, seconds=0.5)
        assert not self.survived(site, seconds=1.0, crashed=True)
        assert not self.survived(site, seconds=1.0, service='app')

    @standins.on_site
    async def test_part_of_an_answer_that_goes_on_is_not_accused(self, site):
        router = site.router
        runner = router.runners.runners['llm-1']
        traits = crashes.RequestTraits('request-1', ('aa',))
        run = router.crash_watch.begin(runner, lambda: traits)
        run.record_output()
        run.read_at -= crash_watch.SURVIVAL_SECONDS
        began_at = time.monotonic() - 3.0
        for number in range(3):
            harmful = crashes.RequestTraits(f'h-{number}', ('aa', 'bad'))
            at = began_at + number
            await router.record_crash(
                crashes.Crash(f'e{number}', 1.0, 'llm', at, (harmful,))
            )
        router.crash_watch.end(run)
        culprits = router.guard.harmful.culprits('llm')
        assert [each.traits for each in culprits] == [frozenset({'bad'})]


class TestTraits:
    """Guards against parts that are taken for the cause of a later crash."""

    def run(self, **more):
        traits = crashes.RequestTraits('request-1', ('aa',))
        return crash_watch.WatchedRun(None, lambda: traits, **more)

    def test_parts_of_a_stream_under_way_are_left_out(self):
        run = self.run()
        assert crash_watch.run_traits(run).parts == ('aa',)
        run.record_output()
        run.began_at -= crash_watch.SURVIVAL_SECONDS
        assert crash_watch.run_traits(run).parts == ()

    @fakes.in_kernel
    async def test_answer_that_is_read_after_a_pause_accuses_no_part(self):
        reading = await curio.spawn(awake_clock.CLOCK.run)
        await curio.sleep(0)
        run = self.run()
        run.crashed = True
        time.sleep(crash_watch.SURVIVAL_SECONDS)
        run.record_output()
        assert crash_watch.run_traits(run).parts == ()
        assert not run.crashed_at_begin()
        await reading.cancel()

    @fakes.in_kernel
    async def test_pause_after_the_beginning_clears_no_part(self):
        reading = await curio.spawn(awake_clock.CLOCK.run)
        await curio.sleep(0)
        run = self.run()
        run.record_output()
        time.sleep(crash_watch.SURVIVAL_SECONDS)
        assert not run.has_survived()
        assert crash_watch.run_traits(run).parts == ()
        await reading.cancel()

    def test_parts_of_one_request_are_bounded(self):
        parts = crashes.traits_of_parts([str(n) for n in range(100)])
        assert parts == tuple(
            str(n) for n in range(99 - crashes.MAX_PARTS, 99)
        )

    def test_long_ids_of_parts_are_bounded(self):
        trait = crashes.trait_of_part('x' * 5000)
        assert len(trait) <= crashes.MAX_PART_CHARACTERS
        assert trait != crashes.trait_of_part('x' * 5001)
