"""Endpoints that are warming up, on the wire of the users' platform."""

import dataclasses
import time

from adapter import messages
from adapter import records
from adapter import settings_file
import curio
import pytest

from celeryward import http
from celeryward.objects import protocol
from tests import platform_odd_entries
from tests import platform_standins as standins
from tests import test_adapter
from tests import test_notices as notices
from tests import test_resumed_streams

COLD = {'coldS': 3.0, 'coldPerS': 10.0}
ODD_NUMBERS = (-1, 1e12, float('nan'), 10**400, '3', True, [])
BOUNDS = dataclasses.replace(
    standins.BOUNDS, limits_cold=True, cold_overage=1.5, cold_slack=5.0
)


def configuration(**fields):
    """Return a configuration whose service has cold times."""
    services = [{'name': 'app', **fields}, {'name': 'llm', **fields}]
    return standins.configuration(services=services)


class ColdSite(standins.Site):
    """A site with a limit whose router has been running for a while."""

    async def start(self, spec=None):
        await super().start(spec or configuration(**COLD))
        await standins.wait_until(
            lambda: self.router.view.members.list_received
        )
        self.router.warm_ups.quiet_until = 0.0

    async def cool(self, runner_id, cold_ms=60_000):
        """Write an entry that says that an endpoint is cold."""
        table = self.router.runners
        entry = self.runners[runner_id].entry() | {'coldLeftMs': cold_ms}
        await self.store.put('servers', runner_id, entry)
        await standins.wait_until(
            lambda: self.router.warm_ups.is_cold(table.runners[runner_id])
        )


@pytest.fixture
def site():
    return ColdSite(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('app-2', 'app'),
            standins.RunnerStandIn('llm-1'),
            standins.RunnerStandIn('llm-2'),
        ],
        bounds=BOUNDS,
    )


async def check_unlimited(site):
    """Check that cold endpoints get requests like warm ones."""
    for runner in site.runners.values():
        entry = runner.entry() | {'coldLeftMs': 60_000, 'born': 0}
        await site.store.put('servers', runner.id, entry)
    await curio.sleep(0.7)
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(site.request, '/whole/x') for _ in range(40)
        ]
    assert {task.result[0].status for task in tasks} == {200}
    assert all(site.runners[each].arrivals for each in ('app-1', 'app-2'))
    assert len(site.arrivals()) == 40
    assert site.router.warm_ups.slots_taken == 0


class TestDecoding:
    """Guards against odd values that break more than themselves."""

    def test_settings_have_a_limit_only_where_it_is_written(self):
        text = test_adapter.SETTINGS
        bounds = settings_file.parse(text, 1, 'x').bounds
        assert not bounds.limits_cold
        text = text.replace('[bounds]', '[bounds]\ncoldOverage = 1.5')
        bounds = settings_file.parse(text, 1, 'x').bounds
        assert bounds.limits_cold
        assert (bounds.cold_overage, bounds.cold_slack) == (1.5, 0.0)

    def read_service(self, **fields):
        stored = test_adapter.stored(configuration(**fields))
        return records.read_configuration(stored).unwrap().services['app']

    def test_service_has_cold_times(self):
        service = self.read_service(**COLD)
        assert (service.cold_seconds, service.cold_per_second) == (3.0, 10.0)
        assert not service.faults
        service = self.read_service()
        assert (service.cold_seconds, service.cold_per_second) == (0.0, 0.0)
        assert not service.faults

    @pytest.mark.parametrize('value', ODD_NUMBERS)
    @pytest.mark.parametrize('name', ('coldS', 'coldPerS'))
    def test_odd_number_of_a_service_counts_as_none(self, name, value):
        service = self.read_service(**{name: value})
        assert (service.cold_seconds, service.cold_per_second) == (0.0, 0.0)
        assert [name in fault for fault in service.faults] == [True]

    @pytest.mark.parametrize(
        ('value', 'seconds'),
        ((2500, 2.5), (0, 0.0), (None, 0.0))
        + tuple((each, None) for each in ODD_NUMBERS),
    )
    def test_cold_time_of_an_entry(self, value, seconds):
        spec = platform_odd_entries.ENTRIES['servers'] | {'coldLeftMs': value}
        stored = protocol.StoredObject('servers', 'app-1', spec, 1)
        assert records.read_runner(stored).unwrap().cold_seconds == seconds

    @pytest.mark.parametrize(
        ('text', 'seconds'),
        (
            ('2500', 2.5),
            (' 1.5 ', 0.0015),
            ('0', 0.0),
            ('-1', None),
            ('3600001', None),
            ('9' * 400, None),
            ('nan', None),
            ('soon', None),
            ('\u0663', None),
        ),
    )
    def test_cold_time_of_an_answer(self, text, seconds):
        head = http.Response(200, {'celeryward-cold-ms': text})
        assert messages.read_response(head).cold_seconds == seconds


class TestColdEndpoints:
    """Guards against more requests than a cold endpoint sustains."""

    @standins.on_site
    async def test_warm_endpoint_gets_the_requests(self, site):
        await site.cool('app-1')
        # A slot is open by now.
        await curio.sleep(1.0)
        for _ in range(12):
            head, _ = await site.request('/whole/x')
            assert head.status == 200
        assert notices.arrival_count(site, 'app-1') == 0

    @standins.on_site
    async def test_requests_beyond_the_slots_wait_or_are_refused(self, site):
        await site.cool('app-1')
        await site.cool('app-2')
        spacing = site.router.warm_ups.share_of(
            site.router.runners.runners['app-1']
        ).spacing
        began = time.monotonic()
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(site.request, '/whole/x') for _ in range(20)
            ]
        seconds = time.monotonic() - began
        heads = [task.result[0] for task in tasks]
        served = [head for head in heads if head.status == 200]
        assert 0 < len(served) <= 2 * (1 + seconds / spacing)
        assert len(served) == len(site.arrivals())
        for head in heads:
            assert head.status == 200 or head.headers['retry-after']

    @pytest.mark.parametrize(
        ('service', 'path', 'action'),
        (
            ('app', '/whole/x', standins.respond_with(500)),
            ('app', '/whole/x', standins.never_respond),
            ('llm', '/stream/x', test_resumed_streams.break_off(2)),
        ),
        ids=('retry', 'hedge', 'resumed-stream'),
    )
    @standins.on_site
    async def test_further_dispatch_takes_a_slot_too(
        self, site, service, path, action
    ):
        for number in (1, 2):
            await site.cool(f'{service}-{number}')
            runner = site.runners[f'{service}-{number}']
            runner.scripted_actions.append(action)
        await curio.sleep(1.0)
        try:
            await site.request(path)
        except http.Disconnected:
            # A stream that breaks off for good.
            pass
        assert len(site.arrivals()) >= 2
        assert site.router.warm_ups.slots_taken == len(site.arrivals())

    @standins.on_site
    async def test_slot_is_taken_before_connecting(self, site):
        pool = site.router.connections
        open_connection = pool.open

        async def open_late(endpoint, deadline):
            await curio.sleep(0.2)
            return await open_connection(endpoint, deadline)

        pool.open = open_late
        await site.cool('app-1')
        await site.cool('app-2')
        await curio.sleep(1.0)
        async with curio.TaskGroup() as group:
            for _ in range(4):
                await group.spawn(site.request, '/whole/x')
            await curio.sleep(0.1)
            assert site.router.warm_ups.slots_taken == 2
        assert site.router.warm_ups.refused_writes == 0

    @standins.on_site
    async def test_endpoint_that_becomes_cold_during_connecting(self, site):
        pool = site.router.connections
        open_connection = pool.open
        chosen = curio.Event()

        async def open_late(endpoint, deadline):
            connection = await open_connection(endpoint, deadline)
            if endpoint.id == 'app-1':
                await chosen.set()
                await curio.sleep(0.2)
            return connection

        pool.open = open_late
        site.router.warm_ups.quiet_until = time.monotonic() + 1e6
        async with curio.TaskGroup() as group:
            sent = await notices.send_until(group, site, chosen)
            table = site.router.runners
            site.router.warm_ups.extend(table.runners['app-1'], 60.0)
        assert notices.arrival_count(site, 'app-1') == 0
        assert notices.arrival_count(site, 'app-2') == sent
        assert site.router.warm_ups.refused_writes

    @standins.on_site
    async def test_endpoint_that_refuses_connections_restarts_cold(self, site):
        await site.runners['app-1'].stop()
        table = site.router.runners
        for _ in range(20):
            await site.request('/whole/x')
        assert site.router.warm_ups.is_cold(table.runners['app-1'])
        assert not site.router.warm_ups.is_cold(table.runners['app-2'])

    @standins.on_site
    async def test_answer_says_that_its_endpoint_is_cold(self, site):
        site.runners['app-1'].scripted_actions.append(
            standins.respond_with(200, celeryward_cold_ms='60000')
        )
        await notices.ask_until_arrival(site, 'app-1')
        table = site.router.runners
        assert site.router.warm_ups.is_cold(table.runners['app-1'])
        assert not site.router.warm_ups.is_cold(table.runners['app-2'])

    @standins.on_site
    async def test_odd_time_of_an_answer_is_counted(self, site):
        site.runners['app-1'].scripted_actions.append(
            standins.respond_with(200, celeryward_cold_ms='soon')
        )
        await notices.ask_until_arrival(site, 'app-1')
        assert (
            b'entries_ignored_total{kind="answers"} 1.0'
            in site.router.metrics.exposition()
        )

    @standins.on_site
    async def test_odd_entry_is_counted_and_stays_usable(self, site):
        entry = site.runners['app-1'].entry() | {'coldLeftMs': -5}
        await site.store.put('servers', 'app-1', entry)
        metrics = site.router.metrics
        await standins.wait_until(
            lambda: (
                b'entries_ignored_total{kind="servers"}'
                in metrics.exposition()
            )
        )
        assert b'endpoints_cold 1.0' in metrics.exposition()
        assert 'app-1' in site.router.runners.runners


class TestServiceWithoutRate:
    """Guards against effects on services without a limit."""

    @standins.on_site
    async def test_cold_endpoints_get_requests_as_before(self, site):
        spec = configuration(coldS=3.0) | {'version': 2}
        await site.store.put('config', 'main', spec)
        await standins.wait_until(
            lambda: site.router.configuration.current.version == 2
        )
        await check_unlimited(site)


class TestSettingsWithoutOverage:
    """Guards against effects on deployments without a limit."""

    @pytest.fixture
    def site(self, site):
        site.bounds = standins.BOUNDS
        return site

    @standins.on_site
    async def test_cold_endpoints_get_requests_as_before(self, site):
        await check_unlimited(site)
        assert not site.router.warm_ups.states
