"""Cold endpoints that many routers share; without a network."""

import pytest

from celeryward.endpoints import warm_ups
from tests import warm_up_fleet


class TestManyRouters:
    """Guards against a sum of all routers above the bound, or a low one."""

    @pytest.mark.parametrize('count', (7, 12, 87))
    @pytest.mark.parametrize('seed', (1, 2))
    def test_steady_demand_uses_half_of_the_rate(self, count, seed):
        fleet = warm_up_fleet.Fleet(count, seed)
        fleet.list_endpoint()
        fleet.play(15.0, 0.2)
        assert fleet.most_in_a_second() <= 20
        assert fleet.rate() >= 5.0

    @pytest.mark.parametrize('count', (7, 87))
    def test_surges_of_demand(self, count):
        fleet = warm_up_fleet.Fleet(count, 3)
        fleet.list_endpoint()
        for _ in range(4):
            fleet.play(2.5, 0.0)
            fleet.play(1.0, 1.0)
        assert fleet.most_in_a_second() <= 20

    def test_routers_restart(self):
        fleet = warm_up_fleet.Fleet(87, 4)
        fleet.list_endpoint()
        for number in range(8):
            fleet.play(1.0, 0.5)
            for name in fleet.names[number::29]:
                fleet.start(name, fleet.names)
        assert fleet.most_in_a_second() <= 20
        assert fleet.rate() >= 5.0

    def test_routers_are_added_during_a_partition(self):
        fleet = warm_up_fleet.Fleet(62, 5)
        added = [f'new{number}' for number in range(25)]
        names = fleet.names + added
        for name in added:
            fleet.start(name, names)
        fleet.clock.now += warm_ups.QUIET_SECONDS
        # A third of the routers is cut off from the store.
        for name in fleet.names[::3] + fleet.names[1::3]:
            fleet.routers[name].members.replace(
                warm_up_fleet.known(name, names, fleet.clock).known.values()
            )
        fleet.names = names
        fleet.list_endpoint()
        fleet.play(10.0, 0.5)
        assert fleet.most_in_a_second() <= 20
        assert fleet.rate() >= 5.0

    def test_routers_that_lost_contact_keep_their_part(self):
        fleet = warm_up_fleet.Fleet(87, 6)
        for name in fleet.names[:40]:
            fleet.routers[name].members.replace(
                warm_up_fleet.known(
                    name, fleet.names[:40], fleet.clock
                ).known.values()
            )
            assert fleet.routers[name].router_count() == 87
        fleet.list_endpoint()
        fleet.play(10.0, 0.5)
        assert fleet.most_in_a_second() <= 20

    @pytest.mark.parametrize('seed', (1, 2, 3))
    def test_entry_of_the_next_process_gives_no_further_slots(self, seed):
        fleet = warm_up_fleet.Fleet(87, seed)
        fleet.play(10.0, 0.0)
        for state in fleet.routers.values():
            state.expect_restart(fleet.endpoint)
        fleet.play(2.0, 0.0)
        fleet.write_seconds = 0.04
        fleet.play(0.05, 1.0)
        fleet.replace_endpoint()
        fleet.play(2.0, 1.0)
        assert fleet.most_in_a_second() <= 20

    @pytest.mark.parametrize('count', (5, 20, 87))
    def test_routers_that_are_not_registered_send_nothing(self, count):
        fleet = warm_up_fleet.Fleet(0, 9)
        names = [f'r{number}' for number in range(count)]
        for name in names:
            fleet.start(name, None)
        fleet.clock.now += 2 * warm_ups.QUIET_SECONDS
        fleet.play(3.0, 0.5)
        assert not fleet.arrivals
        for name in names:
            listed = warm_up_fleet.known(name, names, fleet.clock)
            fleet.routers[name].members.replace(listed.known.values())
        fleet.play(warm_ups.QUIET_SECONDS - 0.1, 0.5)
        assert not fleet.arrivals
        fleet.play(3.0, 0.5)
        assert fleet.arrivals
        assert fleet.most_in_a_second() <= 20

    def test_suspended_routers_send_nothing_late(self):
        fleet = warm_up_fleet.Fleet(87, 7)
        fleet.list_endpoint()
        for number in range(5):
            fleet.play(0.5, 0.5)
            fleet.play(1.5, 0.5, absent=set(fleet.names[number::2]))
        assert fleet.most_in_a_second() <= 20
        # Half of the routers is away for three quarters of the time.
        assert fleet.rate() >= 5.0 * (1.0 - 0.75 / 2)

    def test_router_that_knows_no_other_assumes_more(self):
        fleet = warm_up_fleet.Fleet(1, 8)
        assert fleet.routers['r0'].router_count() == 7
