"""Which connections a listener accepts, without a network."""

import dataclasses
import math
import types

import pytest

from celeryward import closings
from celeryward import connection_limits
from celeryward import errors
from celeryward import open_connections
from celeryward import router_settings
from celeryward.routers import members
from celeryward import settings
from tests import fakes

SMALLEST = connection_limits.Host(160.0, 1638)
LARGEST = connection_limits.Host(552.0, 10250)
# Open caller connections of a host in ordinary use.
ORDINARY_CALLERS = 400
# Other routers of the largest deployment.
ROUTERS = 194
# Daemons that open a connection to one in a minute, at one a second each.
GOSSIPING_DAEMONS = 60


# The connections whose reason was asked for.
looks = []


@dataclasses.dataclass(frozen=True, eq=False)
class Connection:
    """A connection as the limits see it."""

    waiting_since: float | None
    reason: str = 'idle'

    @property
    def closable_at(self):
        if self.waiting_since is None:
            return math.inf
        return self.waiting_since + open_connections.MIN_WAIT_SECONDS

    def close_reason(self):
        looks.append(self)
        return self.reason


def derive(host, **tuned):
    """Return the limits of a router on a host."""
    return connection_limits.derive(host, router_settings.Tuning(**tuned))


class TestDerivedLimits:
    """Guards against defaults that ordinary use reaches, or a host can't."""

    @pytest.mark.parametrize('host', (SMALLEST, LARGEST))
    def test_ordinary_use_is_within_and_descriptors_suffice(self, host):
        limits = derive(host)
        assert limits['callers'].per_address >= ORDINARY_CALLERS
        assert limits['routers'].per_address >= ROUTERS
        polls = connection_limits.FOLLOWED_KINDS * members.MAX_FOLLOWERS
        assert limits['routers'].total >= polls + ROUTERS
        others = sum(
            each.total for name, each in limits.items() if name != 'callers'
        )
        used = 2 * limits['callers'].total + others
        assert used + connection_limits.FILE_DESCRIPTORS < host.descriptors

    def test_memory_of_callers_connections_is_within_the_host(self):
        callers = derive(SMALLEST)['callers']
        size = connection_limits.CONNECTION_BYTES + callers.unread_bytes
        left = (160 - connection_limits.BASE_MEGABYTES) * 1024 * 1024
        assert callers.total * size <= left / 2

    @pytest.mark.parametrize('host', ((110.0, 400), (0.0, 64)))
    def test_a_tiny_host_keeps_what_the_router_needs(self, host):
        limits = derive(connection_limits.Host(*host))
        assert limits['callers'].total >= connection_limits.LEAST_CALLERS
        assert limits['readiness'].total >= 4
        assert all(each.per_address >= 1 for each in limits.values())


class TestHost:
    """Guards against limits that the process has no descriptors for."""

    @pytest.mark.parametrize(
        'stated,used', ((0, 900), (800, 800), (9999, 900))
    )
    def test_descriptors_are_within_the_limit_of_the_process(
        self, monkeypatch, stated, used
    ):
        monkeypatch.setattr(
            connection_limits.resource, 'getrlimit', lambda _: (900, 9999)
        )
        placement = types.SimpleNamespace(
            max_descriptors=stated, memory_mb=160.0
        )
        assert connection_limits.host_of(placement).descriptors == used


class TestChosenLimits:
    """Guards against limits that a host can't keep or a router can't use."""

    def test_chosen_limits_are_in_force(self):
        limits = derive(
            SMALLEST, caller_connections=300, caller_connections_per_address=5
        )
        assert limits['callers'].total == 300
        assert limits['callers'].per_address == 5

    @pytest.mark.parametrize(
        'key,value,allowed',
        (
            ('caller_connections', 0, 'from 8 to 687'),
            ('caller_connections', 688, 'from 8 to 687'),
            ('caller_connections_per_address', 0, 'from 1 to '),
            ('caller_connections_per_address', 9999, 'from 1 to '),
            ('readiness_connections', 3, 'from 4 to 1374'),
            ('metrics_connections', 1, 'from 2 to 1374'),
            ('router_connections', 1375, 'from 16 to 1374'),
        ),
    )
    def test_a_limit_out_of_range_is_refused_by_its_key(
        self, key, value, allowed
    ):
        with pytest.raises(errors.BadInput, match=f'{key}: .*{allowed}'):
            derive(SMALLEST, **{key: value})

    def test_chosen_limits_count_against_each_other(self):
        with pytest.raises(errors.BadInput, match='caller_connections: 600'):
            derive(SMALLEST, caller_connections=600, router_connections=400)

    @pytest.mark.parametrize('key', router_settings.INTEGER_RANGES)
    def test_bounds_of_a_connection_are_checked_with_the_file(self, key):
        with pytest.raises(errors.BadInput, match=f'a.yaml: {key}: 0 is not'):
            router_settings.parse(f'{key}: 0', 'a.yaml')

    def test_limits_of_a_daemon_are_checked(self):
        chosen = settings.ConnectionSettings(callers=800)
        host = connection_limits.Host(0.0, 1638)
        with pytest.raises(errors.BadInput, match='connections.callers: 800'):
            connection_limits.derive_for_daemon(host, chosen)
        derived = connection_limits.derive_for_daemon(
            host, settings.ConnectionSettings()
        )
        assert derived['callers'].total > ORDINARY_CALLERS
        assert derived['peers'].per_address > GOSSIPING_DAEMONS

    def test_limits_of_a_daemon_that_are_set_leave_descriptors(self):
        host = connection_limits.Host(0.0, 1638)
        usable = connection_limits.usable_descriptors(host)
        for chosen in ({}, {'callers': 600}, {'peers': 600}):
            derived = connection_limits.derive_for_daemon(
                host, settings.ConnectionSettings(**chosen)
            )
            taken = derived['admin'].total + 2 * (
                derived['callers'].total + derived['peers'].total
            )
            assert taken <= usable, chosen
        for chosen in ({'peers': 700}, {'callers': 600, 'peers': 600}):
            with pytest.raises(errors.BadInput, match='connections'):
                connection_limits.derive_for_daemon(
                    host, settings.ConnectionSettings(**chosen)
                )


class TestOpenConnections:
    """Guards against connections beyond a limit, and needless closes."""

    def make(self, *waiting_since, address='a'):
        """Return open connections and a clock; limits are 4, 3 of one."""
        clock = fakes.CallableClock(10.0)
        limits = connection_limits.ListenerLimits(4, 3)
        made = open_connections.OpenConnections(limits, clock)
        for since in waiting_since:
            made.add(Connection(since), address)
        return made, clock

    def find(self, made, cause, address):
        """Return since when the connection to close is idle, or None."""
        found, _ = made.longest_waiting(cause, address)
        return found and found.waiting_since

    def test_each_limit_is_named(self):
        made, _ = self.make(None, None, None)
        assert made.full('a') == 'address'
        assert made.full('b') == ''
        made.add(Connection(None), 'b')
        assert made.full('c') == 'total'

    def test_longest_idle_connection_of_the_address_makes_room(self):
        made, _ = self.make(5.0, 3.0, None)
        made.add(Connection(1.0), 'b')
        assert self.find(made, 'address', 'a') == 3.0

    def test_address_with_most_idle_connections_makes_room_for_others(self):
        made, _ = self.make(5.0, 3.0)
        made.add(Connection(1.0), 'b')
        made.add(Connection(None), 'c')
        assert self.find(made, 'total', 'd') == 3.0

    def test_busy_and_young_connections_stay(self):
        made, _ = self.make(None, 9.5, None)
        assert self.find(made, 'address', 'a') is None

    def test_connection_that_may_not_be_closed_stays(self):
        made, _ = self.make(5.0)
        made.add(Connection(3.0, reason=''), 'a')
        assert self.find(made, 'address', 'a') == 5.0

    def test_connections_that_may_not_be_closed_are_looked_at_once(self):
        """Each search looked at them anew, a second late for each."""
        made, clock = self.make()
        for number in range(500):
            made.add(Connection(number / 1000, reason=''), 'a')
            made.add(Connection(5.0 + number / 1000), 'b')
        looks.clear()
        for number in range(400):
            found, _ = made.longest_waiting('total', 'c')
            assert found.waiting_since == 5.0 + number / 1000
            made.remove(found)
        assert len(looks) <= 900
        clock.now += open_connections.SEARCH_SECONDS
        assert self.find(made, 'address', 'a') is None
        assert len(looks) <= 1400

    def test_vain_search_of_one_address_costs_others_nothing(self):
        made, clock = self.make(None, 9.5)
        assert self.find(made, 'address', 'a') is None
        made.add(Connection(1.0), 'a')
        assert self.find(made, 'address', 'a') is None
        made.add(Connection(2.0), 'b')
        assert self.find(made, 'address', 'b') == 2.0
        clock.now += open_connections.SEARCH_SECONDS
        assert self.find(made, 'address', 'a') == 1.0

    def test_search_keeps_no_connection_that_was_removed(self):
        """Each would keep its input until the next search."""
        made, _ = self.make(5.0, 3.0, 4.0)
        assert self.find(made, 'total', 'b') == 3.0
        assert self.find(made, 'address', 'a') == 3.0
        for connection in tuple(made.addresses):
            made.remove(connection)
        assert not any(made.found.values())

    def test_removed_connections_leave_nothing(self):
        made, _ = self.make(None)
        connection = next(iter(made.addresses))
        made.remove(connection)
        made.remove(connection)
        assert not made.addresses and not made.counts


class TestClosings:
    """Guards against a log line for each client that returns at once."""

    def test_each_is_counted_and_one_line_a_second_is_written(self):
        counted, lines = [], []
        clock = fakes.CallableClock(10.0)
        made = closings.Closings(
            'callers', lambda *c: counted.append(c), clock
        )
        sink = closings.logs.logger.add(lines.append, level='WARNING')
        try:
            for _ in range(50):
                made.record('total', 'p')
            clock.now += closings.LOG_SECONDS
            made.record('idle', 'p')
        finally:
            closings.logs.logger.remove(sink)
        assert counted == [('callers', 'total')] * 50 + [('callers', 'idle')]
        assert len(lines) == 2
        assert lines[1].record['extra']['total'] == 49
