"""Values of entries that no router can use; most tests use no network."""

from adapter import records
from adapter import translator
import pytest

from celeryward import logs
from celeryward.objects import ignored
from celeryward.objects import protocol
from celeryward.objects import receivers
from celeryward.raters import releases
from tests import platform_standins as standins


@pytest.fixture
def site():
    return standins.Site(
        [
            standins.RunnerStandIn('app-1', 'app'),
            standins.RunnerStandIn('app-2', 'app'),
        ]
    )


def runner_spec(**more):
    return {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'born': 1000,
        **more,
    }


def read_runner(**more):
    spec = runner_spec(**more)
    return records.read_runner(protocol.StoredObject('servers', 'r', spec, 3))


class TestRunnerBounds:
    """Guards against endpoints with values that no endpoint can have."""

    @pytest.mark.parametrize(
        'odd',
        [
            {'address': '10.0.0.1:99999'},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:-5'},
            {'address': '10.0.0.1:' + '9' * 5000},
            {'address': '10.0.0.1: 80'},
            {'address': '10.0.0.1:8_0'},
            {'slots': -3},
            {'slots': 0},
            {'slots': 10**400},
            {'slots': 10**9},
            {'born': float('inf')},
            {'born': float('nan')},
            {'born': 10**400},
            {'born': -1},
            {'service': 's' * 100_000},
            {'service': ''},
            {'version': 'v\ud800'},
            {'models': [{'name': 'm'}] * 10_000},
            {'models': {'name': 'm'}},
        ],
    )
    def test_value_out_of_range_names_no_endpoint(self, odd):
        assert read_runner(**odd).is_err()

    @pytest.mark.parametrize('field', ['zone', 'state', 'born', 'slots'])
    def test_nested_field_names_no_endpoint(self, field):
        nested = []
        for _ in range(5000):
            nested = [nested]
        assert read_runner(**{field: nested}).is_err()

    def test_values_at_the_bounds_are_read(self):
        runner = read_runner(address='10.0.0.1:65535', slots=1, born=0)
        assert runner.unwrap().port == 65535
        assert read_runner(address='10.0.0.1:1').unwrap().port == 1

    @pytest.mark.parametrize('name', ['a\r\nb', 'a\0', ' a', '\ud800'])
    def test_name_that_no_header_can_carry_names_no_endpoint(self, name):
        stored = protocol.StoredObject('servers', name, runner_spec(), 3)
        assert records.read_runner(stored).is_err()


class TestOrders:
    """Guards against a roll-out that ends because its order can't be read."""

    def receiver(self):
        return receivers.OrderReceiver(
            releases.Releases(0.1, 5.0),
            translator.Translator(),
            ignored.IgnoredEntries(),
        )

    def test_odd_order_leaves_the_roll_out_under_way(self):
        found = self.receiver()
        spec = {'service': 'llm', 'target': 'v2', 'durationS': 60}
        order = protocol.StoredObject('rollouts', 'llm', spec, 1)
        odd = protocol.UnreadableObject('rollouts', 'llm', {}, 2, fault='odd')
        found.on_list([order])
        found.on_change(protocol.Change('put', 2, odd))
        found.on_list([odd])
        assert set(found.releases.progress) == {'llm'}
        found.on_change(protocol.Change('delete', 3, odd))
        assert not found.releases.progress


class TestIgnoredEntries:
    """Guards against odd entries that are silent, or that flood the log."""

    def test_each_distinct_fault_is_logged_once_and_counted(self):
        lines, counted = [], []
        sink = logs.logger.add(lines.append, level='WARNING')
        entries = ignored.IgnoredEntries(counted.append)
        for _ in range(3):
            entries.record('servers', 'a', 'one')
        entries.record('servers', 'a', 'two')
        logs.logger.remove(sink)
        assert len(lines) == 2
        assert counted == ['servers'] * 4

    def test_remembered_faults_are_bounded(self):
        entries = ignored.IgnoredEntries()
        for number in range(10_000):
            entries.record('servers', 'n' * 10_000, f'{number}' * 1000)
        assert len(entries.known) == ignored.MAX_KNOWN_FAULTS
        longest = max(len(''.join(key)) for key in entries.known)
        assert longest < 400

    @standins.on_site
    async def test_count_is_exported_by_kind(self, site):
        await site.store.put('servers', 'odd', {'state': 'odd'})
        count = b'celeryward_router_entries_ignored_total{kind="servers"}'
        await standins.wait_until(
            lambda: count in site.router.metrics.exposition(), 1.5
        )
