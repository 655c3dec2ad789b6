"""Leader election by a lease object."""

import pytest

from celeryward.objects import leases
from celeryward.objects import protocol
from tests import fakes

TAKEOVER_SECONDS = leases.DURATION_SECONDS * (1 + leases.RATE_MARGIN)


@pytest.fixture
def objects(clock):
    return fakes.ObjectClient()


def leadership(objects, holder):
    return leases.Leadership(objects, 'rollouts', holder)


class TestTakeover:
    """Guards against two holders at once and repeated fencing numbers."""

    @fakes.in_kernel
    async def test_one_of_two_becomes_the_holder(self, objects):
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        assert first.current_grant(5.0).unwrap().fence == 1
        assert second.current_grant(0.0).is_err()

    @fakes.in_kernel
    async def test_paused_holder_has_stopped_before_the_takeover(
        self, objects, clock
    ):
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        # The rate of each clock may be off by the margin, in opposite
        # directions.
        clock.now += leases.DURATION_SECONDS * (1 - leases.RATE_MARGIN)
        assert first.current_grant(0.0).is_err()
        await second.renew_or_acquire()
        assert second.current_grant(0.0).is_err()
        clock.now += leases.DURATION_SECONDS * 2 * leases.RATE_MARGIN
        await second.renew_or_acquire()
        assert second.current_grant(0.0).unwrap().fence == 2
        await first.renew_or_acquire()
        assert first.current_grant(0.0).is_err()

    @fakes.in_kernel
    async def test_holder_on_a_suspended_host_holds_nothing_afterwards(
        self, objects, clock
    ):
        """The monotonic clock stood still, so that the lease seemed valid."""
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        await first.renew_or_acquire()
        await second.renew_or_acquire()
        clock.suspended += TAKEOVER_SECONDS
        assert first.current_grant(0.0).is_err()

    @fakes.in_kernel
    async def test_renewals_of_a_live_holder_prevent_a_takeover(
        self, objects, clock
    ):
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        for _ in range(20):
            await first.renew_or_acquire()
            await second.renew_or_acquire()
            clock.now += leases.RENEWAL_SECONDS
        assert first.current_grant(0.0).unwrap().fence == 1
        assert second.current_grant(0.0).is_err()

    @fakes.in_kernel
    async def test_restarted_daemon_gets_a_higher_fence(self, objects, clock):
        await leadership(objects, 'a-run-1').renew_or_acquire()
        restarted = leadership(objects, 'a-run-2')
        await restarted.renew_or_acquire()
        assert restarted.current_grant(0.0).is_err()
        clock.now += TAKEOVER_SECONDS
        await restarted.renew_or_acquire()
        grant = restarted.current_grant(0.0).unwrap()
        assert (grant.fence, grant.after_release) == (2, False)

    @fakes.in_kernel
    async def test_released_lease_is_acquired_at_once(self, objects):
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        await first.renew_or_acquire()
        await first.release()
        assert first.current_grant(0.0).is_err()
        await second.renew_or_acquire()
        grant = second.current_grant(0.0).unwrap()
        assert (grant.fence, grant.after_release) == (2, True)

    @fakes.in_kernel
    async def test_holder_cleared_by_an_operator_is_not_a_release(
        self, objects
    ):
        first, second = leadership(objects, 'a'), leadership(objects, 'b')
        await first.renew_or_acquire()
        cleared = protocol.StoredObject(
            'Lease', 'rollouts', {'holder': '', 'fence': 1}
        )
        objects.force_put(cleared)
        await first.renew_or_acquire()
        assert first.current_grant(0.0).is_err()
        await second.renew_or_acquire()
        grant = second.current_grant(0.0).unwrap()
        assert (grant.fence, grant.after_release) == (2, False)


class TestLostAnswers:
    """Guards against a wrong grant after a write with unknown outcome."""

    @fakes.in_kernel
    async def test_lost_answer_to_a_takeover_is_read_back(self, objects):
        objects.lost_responses = 1
        first = leadership(objects, 'a')
        await first.renew_or_acquire()
        assert first.current_grant(0.0).unwrap().fence == 1

    @fakes.in_kernel
    async def test_lost_answer_to_a_renewal_is_read_back(self, objects, clock):
        first = leadership(objects, 'a')
        await first.renew_or_acquire()
        before = first.current_grant(0.0).unwrap().deadline
        clock.now += leases.RENEWAL_SECONDS
        objects.lost_responses = 1
        await first.renew_or_acquire()
        assert first.current_grant(0.0).unwrap().deadline > before

    @fakes.in_kernel
    async def test_failed_renewal_does_not_extend_the_grant(
        self, objects, clock
    ):
        first = leadership(objects, 'a')
        await first.renew_or_acquire()
        before = first.current_grant(0.0).unwrap().deadline
        clock.now += leases.RENEWAL_SECONDS
        objects.unavailable = True
        await first.renew_or_acquire()
        assert first.current_grant(0.0).unwrap().deadline == before

    @fakes.in_kernel
    async def test_holder_that_finds_another_holder_steps_down(self, objects):
        first = leadership(objects, 'a')
        await first.renew_or_acquire()
        other = {'holder': 'b', 'fence': 2, 'attempt': 1}
        objects.force_put(protocol.StoredObject('Lease', 'rollouts', other))
        await first.renew_or_acquire()
        assert first.current_grant(0.0).is_err()
