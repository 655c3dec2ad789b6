"""Orders to endpoints that enforce or ignore fencing numbers."""

import curio
import pytest

from celeryward import catalog
from celeryward import deadlines
from celeryward.endpoints import load
from celeryward.endpoints import management
from celeryward.endpoints import order_sender
from celeryward.endpoints import orders
from celeryward import errors
from celeryward import http
from celeryward.objects import leases
from celeryward.objects import protocol as platform_protocol
from celeryward.standins import engine
from tests import fakes


class Setup:
    """An engine, its endpoint, and two contenders for the lease."""

    def __init__(self, clock, fencing):
        self.clock = clock
        self.engine = engine.EngineStandIn(('m@1',))
        self.engine.fenced = fencing is catalog.Fencing.ENFORCED
        self.fencing = fencing
        objects = fakes.ObjectClient()
        released = {'holder': '', 'fence': 0, 'released': True}
        objects.force_put(
            platform_protocol.StoredObject(
                leases.LEASE_KIND, 'rollouts', released
            )
        )
        self.leases = [
            leases.Leadership(objects, 'rollouts', holder)
            for holder in ('a', 'b')
        ]
        self.senders = [
            order_sender.OrderSender(lease, orders.TokenBucket(1.0, 4))
            for lease in self.leases
        ]

    async def start(self):
        await self.engine.start()
        self.endpoint = catalog.Endpoint(
            'e', '127.0.0.1', self.engine.port, 'd', fencing=self.fencing
        )
        # Fill the token buckets of weight loads.
        self.clock.now += 10.0
        await self.leases[0].renew_or_acquire()
        await self.leases[1].renew_or_acquire()

    async def take_over(self):
        """Let the lease expire and the second contender acquire it."""
        self.clock.now += leases.DURATION_SECONDS * 1.1
        await self.leases[1].renew_or_acquire()

    async def load(self, index, version='2'):
        return await self.senders[index].execute(
            self.endpoint, 'load', 'm', version
        )


@pytest.fixture
def with_setup(run, clock):
    def run_with(test, fencing):
        async def body():
            setup = Setup(clock, fencing)
            await setup.start()
            try:
                await test(setup)
            finally:
                await setup.engine.stop()

        run(body)

    return run_with


BOTH = pytest.mark.parametrize('fencing', list(catalog.Fencing))


class TestFencing:
    """Guards against orders of a previous lease holder."""

    @BOTH
    def test_order_takes_effect(self, with_setup, fencing):
        async def test(setup):
            report = (await setup.load(0)).unwrap()
            assert report.versions == ('m@1', 'm@2')
            assert setup.engine.orders[0]['fence'] == 1

        with_setup(test, fencing)

    @BOTH
    def test_holder_paused_beyond_its_lease_sends_nothing(
        self, with_setup, fencing
    ):
        async def test(setup):
            await setup.take_over()
            outcome = await setup.load(0)
            assert isinstance(outcome.unwrap_err(), leases.LeaseLost)
            assert setup.engine.orders == []

        with_setup(test, fencing)

    @BOTH
    def test_lease_that_expires_while_connecting_is_detected(
        self, with_setup, fencing, monkeypatch
    ):
        async def test(setup):
            connect = http.connect

            async def slow_connect(*arguments):
                connection = await connect(*arguments)
                setup.clock.now += leases.DURATION_SECONDS
                return connection

            monkeypatch.setattr(http, 'connect', slow_connect)
            outcome = await setup.load(0)
            assert isinstance(outcome.unwrap_err(), leases.LeaseLost)
            assert setup.engine.orders == []

        with_setup(test, fencing)

    def test_enforcing_endpoint_refuses_an_outdated_number(self, with_setup):
        async def test(setup):
            await setup.take_over()
            assert (await setup.load(1)).is_ok()
            # The previous holder still has an unexpired grant.
            valid = deadlines.Deadline(setup.clock.now + 1000.0)
            past = deadlines.Deadline(0.0)
            setup.leases[0].grant = leases.Grant(
                1, past, valid, after_release=True
            )
            outcome = await setup.load(0, '3')
            assert isinstance(outcome.unwrap_err(), orders.OutdatedFence)
            assert 'm@3' not in setup.engine.versions
            assert setup.leases[0].grant is None
            assert setup.leases[0].highest_fence == 2

        with_setup(test, catalog.Fencing.ENFORCED)

    def test_late_order_at_an_ignoring_endpoint_is_reverted(self, with_setup):
        async def test(setup):
            await setup.take_over()
            deferred = await setup.load(1)
            assert isinstance(deferred.unwrap_err(), orders.OrderDeferred)
            late = orders.Order('load', 'm', 'bad', 1)
            connection = await http.connect(
                '127.0.0.1', setup.engine.port, deadlines.Deadline.after(5.0)
            )
            await management.send_order(
                connection, late, deadlines.Deadline.after(5.0)
            )
            await connection.close()
            assert 'm@bad' in setup.engine.versions
            for _ in range(8):
                setup.clock.now += orders.ORDER_SECONDS / 8 + 0.1
                await setup.leases[1].renew_or_acquire()
            reverted = await setup.senders[1].execute(
                setup.endpoint, 'unload', 'm', 'bad'
            )
            assert reverted.unwrap().versions == ('m@1',)

        with_setup(test, catalog.Fencing.IGNORED)


class TestHandOver:
    """Guards against two holders whose orders go out for the same moment."""

    @BOTH
    def test_holder_paused_on_the_open_connection(
        self, with_setup, fencing, monkeypatch
    ):
        """It has checked its lease, and sends after the next holder leads."""
        send_order = management.send_order
        outcomes = []

        async def test(setup):
            async def send_after_takeover(connection, order, deadline):
                if order.fence == 1:
                    await setup.take_over()
                    outcomes.append(await setup.load(1))
                await send_order(connection, order, deadline)

            monkeypatch.setattr(management, 'send_order', send_after_takeover)
            outcomes.append(await setup.load(0))
            fences = [order['fence'] for order in setup.engine.orders]
            if fencing is catalog.Fencing.ENFORCED:
                assert fences == [2]
                assert isinstance(
                    outcomes[1].unwrap_err(), orders.OutdatedFence
                )
            else:
                # The next holder waits while such an order may take effect.
                assert isinstance(
                    outcomes[0].unwrap_err(), orders.OrderDeferred
                )
                assert fences == [1]

        with_setup(test, fencing)


class TestReleaseOfTheLease:
    """Guards against a next holder that sends while an order is running."""

    def test_end_of_one_order_does_not_hide_another_in_progress(
        self, with_setup, monkeypatch
    ):
        """The lease was released while an order could still take effect."""

        async def test(setup):
            sender = setup.senders[0]
            ends = {'2': curio.Event(), '3': curio.Event()}
            started = []

            async def send_order(connection, order, deadline):
                started.append(order.version)
                await ends[order.version].wait()

            monkeypatch.setattr(management, 'send_order', send_order)
            first = await curio.spawn(setup.load, 0, '2')
            while len(started) < 1:
                await curio.sleep(0.001)
            second = await curio.spawn(setup.load, 0, '3')
            while len(started) < 2:
                await curio.sleep(0.001)
            await ends['2'].set()
            await first.join()
            assert not sender.is_idle()
            await ends['3'].set()
            await second.join()
            assert sender.is_idle()

        with_setup(test, catalog.Fencing.IGNORED)


class TestVerification:
    """Guards against a wrong assumption about the effect of an order."""

    @BOTH
    def test_effect_is_verified_after_a_lost_response(
        self, with_setup, fencing
    ):
        async def test(setup):
            setup.engine.lose_order_answers = True
            assert 'm@2' in (await setup.load(0)).unwrap().versions
            assert len(setup.engine.orders) == 1

        with_setup(test, fencing)

    def test_order_in_effect_is_not_sent_again(self, with_setup):
        async def test(setup):
            assert (await setup.load(0, '1')).is_ok()
            assert setup.engine.orders == []

        with_setup(test, catalog.Fencing.IGNORED)

    def test_unknown_kind_is_bad_input(self):
        order = orders.Order('explode', 'm', '1', 1)
        with pytest.raises(errors.BadInput, match='change-role, load'):
            orders.is_in_effect(order, load.LoadReport())


class TestTokenBucket:
    """Guards against more loads than the weight store can serve."""

    def test_rate_and_burst_are_kept(self, clock):
        bucket = orders.TokenBucket(0.5, 2)
        assert not bucket.try_take()
        clock.now += 100.0
        assert [bucket.try_take() for _ in range(3)] == [True, True, False]
        clock.now += 1.9
        assert not bucket.try_take()
        clock.now += 0.2
        assert [bucket.try_take() for _ in range(2)] == [True, False]

    def test_load_waits_for_the_weight_store(self, with_setup):
        async def test(setup):
            outcomes = [await setup.load(0, str(n)) for n in range(2, 7)]
            assert [one.is_ok() for one in outcomes] == [True] * 4 + [False]
            assert isinstance(outcomes[-1].unwrap_err(), orders.OrderDeferred)

        with_setup(test, catalog.Fencing.ENFORCED)
