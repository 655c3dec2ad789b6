"""What counts as the end of an endpoint's process under its requests."""

import math
import socket
import time

import curio
import pytest

from celeryward import awake_clock
from celeryward.endpoints import crash_watch
from celeryward.endpoints import crashes
from celeryward.endpoints import runners
from celeryward.endpoints import survival
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

    def survived(self, site, *, seconds, known=0, service='llm', **state):
        """Return the survived parts beside three runs.

        :param int known: number of whole answers of 1 s that were seen.
        :param state: attributes of the runs.
        """
        watch = site.router.crash_watch
        runner = site.router.runners.runners['llm-1']
        for _ in range(known):
            watch.durations.record('llm', 1.0)
        traits = crashes.RequestTraits('request-1', ('aa',))
        runs = [watch.begin(runner, lambda: traits) for _ in range(3)]
        for run in runs:
            run.record_output()
            run.read_at -= seconds
            for name, value in state.items():
                setattr(run, name, value)
        lost = crashes.RequestTraits('request-2', ('aa', 'bad'))
        found = watch.survived_parts(
            crashes.Crash('e', 1.0, service, time.monotonic(), (lost,))
        )
        for run in runs:
            watch.end(run)
        return found

    @standins.on_site
    async def test_answer_far_longer_than_usual_has_survived(self, site):
        seconds = survival.MIN_SURVIVAL_SECONDS
        assert self.survived(site, seconds=seconds, known=4) == {'aa'}

    @standins.on_site
    async def test_answer_of_usual_length_has_not_survived(self, site):
        """Endpoints crashed at the end of answers of 1.4 s."""
        assert not self.survived(site, seconds=3.0, known=4)

    @standins.on_site
    async def test_many_answers_go_on_while_none_was_whole(self, site):
        assert self.survived(site, seconds=1.0) == {'aa'}

    @pytest.mark.parametrize('known', (0, 4))
    @standins.on_site
    async def test_other_answers_show_nothing(self, site, known):
        seconds = survival.MIN_SURVIVAL_SECONDS
        assert not self.survived(site, seconds=0.5, known=known)
        for more in (
            {'crashed': True},
            {'broken': True},
            {'service': 'app'},
        ):
            assert not self.survived(
                site, seconds=seconds, known=known, **more
            )

    @standins.on_site
    async def test_part_of_an_answer_that_goes_on_is_not_accused(self, site):
        router = site.router
        for _ in range(4):
            router.crash_watch.durations.record('llm', 1.0)
        runner = router.runners.runners['llm-1']
        traits = crashes.RequestTraits('request-1', ('aa',))
        run = router.crash_watch.begin(runner, lambda: traits)
        run.record_output()
        run.read_at -= survival.MIN_SURVIVAL_SECONDS
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


class TestSurvival:
    """Guards against time alone as proof that parts are harmless."""

    def test_few_answers_tell_no_usual_length(self):
        durations = survival.AnswerDurations()
        for _ in range(survival.MIN_ANSWERS - 1):
            durations.record('llm', 30.0)
        assert durations.survival_seconds('llm') == math.inf
        durations.record('llm', 1.0)
        assert durations.survival_seconds('llm') == 120.0
        assert durations.survival_seconds('app') == math.inf

    def test_durations_are_bounded(self):
        durations = survival.AnswerDurations()
        for number in range(2 * survival.MAX_SERVICES):
            durations.record(str(number), 1.0)
        for _ in range(2 * survival.MAX_ANSWERS):
            durations.record('llm', 1.0)
        assert len(durations.seconds) == survival.MAX_SERVICES
        assert len(durations.seconds['llm']) == survival.MAX_ANSWERS

    def test_two_go_on_for_each_that_was_lost(self):
        going_on = [('aa', 'bb')] * 3 + [('aa',)]
        lost = [('aa', 'bb'), ('aa', 'bb'), ('bad',)]
        assert survival.find_outnumbering(going_on, lost) == {'aa'}

    def test_few_that_go_on_show_nothing(self):
        assert not survival.find_outnumbering([('bad',)] * 2, [('bad',)])


class TestTraits:
    """Guards against crashes that don't accuse what caused them."""

    def run(self, **more):
        traits = crashes.RequestTraits('request-1', ('aa',))
        return crash_watch.WatchedRun(None, lambda: traits, **more)

    @standins.on_site
    async def test_parts_of_a_stream_under_way_count(self, site):
        """Endpoints crashed at the end of answers of 1.4 s."""
        found = record_crashes(site)
        run = self.run()
        run.record_output()
        run.began_at -= 5.0
        runner = site.router.runners.runners['llm-1']
        await site.router.crash_watch.report(runner, time.monotonic(), [run])
        assert found[0].requests == (run.traits(),)

    def test_survival_counts_once(self):
        run = self.run(survival_seconds=1.0)
        run.record_output()
        assert not run.count_survival()
        run.read_at -= 1.0
        assert run.count_survival()
        assert not run.count_survival()

    def test_trial_needs_a_whole_answer(self):
        for is_trial in (False, True):
            run = self.run(is_trial=is_trial)
            run.record_output()
            run.read_at -= 5.0
            assert run.goes_on() is not is_trial

    @fakes.in_kernel
    async def test_answer_that_is_read_after_a_pause_has_not_just_begun(self):
        reading = await curio.spawn(awake_clock.CLOCK.run)
        await curio.sleep(0)
        run = self.run()
        run.crashed = True
        time.sleep(crash_watch.BEGIN_SECONDS)
        run.record_output()
        assert not run.crashed_at_begin()
        await reading.cancel()

    @fakes.in_kernel
    async def test_pause_after_the_beginning_clears_no_part(self):
        reading = await curio.spawn(awake_clock.CLOCK.run)
        await curio.sleep(0)
        run = self.run(survival_seconds=crash_watch.BEGIN_SECONDS)
        run.record_output()
        time.sleep(crash_watch.BEGIN_SECONDS)
        assert not run.has_survived()
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
