"""Writes of the verdicts on roll-outs."""

import curio
import pytest
import result

from celeryward import errors
from celeryward.objects import verdicts
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from tests import fakes

State = rollout_orders.State


class SlowStore:
    """Lets something happen while the first write is under way."""

    def __init__(self):
        self.written = []
        self.meanwhile = None

    async def put_status(self, order):
        """Record a write, and refuse it."""
        self.written.append((order.service, order.state))
        if len(self.written) == 1:
            self.meanwhile()
        return result.Err(errors.Conflict('changed', step='t', peer='t'))


class Outages:
    """Is settled until told otherwise."""

    settled = True

    def is_settled(self):
        """Return whether verdicts of other routers would have arrived."""
        return self.settled


class Leader:
    """The members of a router that leads."""

    is_leader = True


class SameOrders:
    """Writes orders as they are."""

    def write_order(self, order):
        """Return the order."""
        return order


class TestVerdictsDuringAWrite:
    """Guards against a completion that is written after it was withdrawn."""

    def make_writer(self, monkeypatch):
        """Return a writer and its rollouts, with two completions due."""
        monkeypatch.setattr(verdicts, 'RETRY_SECONDS', 0.0)
        clock = fakes.CallableClock()
        rollouts = releases.Releases(0.15, 5.0, clock)
        rollouts.runs.clock = clock
        for service in ('first', 'second'):
            rollouts.accept(
                rollout_orders.Order(service, 'v2', 20.0, started_at=1.0)
            )
            rollouts.decide(service, State.DONE)
        clock.now += 2 * releases.COMPLETION_SETTLE_SECONDS
        writer = verdicts.VerdictWriter(
            SlowStore(), rollouts, SameOrders(), Leader(), Outages()
        )
        return writer, rollouts

    async def write_all(self, writer):
        """Let the writer write for a moment."""
        task = await curio.spawn(writer.run)
        await curio.sleep(0.15)
        await task.cancel()
        return writer.client.written

    @pytest.mark.parametrize('change', ('rollback', 'outage'))
    @fakes.in_kernel
    async def test_second_completion_is_checked_again_after_the_first_write(
        self, change, monkeypatch
    ):
        writer, rollouts = self.make_writer(monkeypatch)

        def meanwhile():
            if change == 'rollback':
                rollouts.decide('second', State.ROLLED_BACK)
            else:
                writer.outages.settled = False

        writer.client.meanwhile = meanwhile
        written = await self.write_all(writer)
        assert written[0] == ('first', State.DONE)
        assert ('second', State.DONE) not in written
        if change == 'rollback':
            assert ('second', State.ROLLED_BACK) in written

    @fakes.in_kernel
    async def test_all_completions_are_written(self, monkeypatch):
        writer, _ = self.make_writer(monkeypatch)
        writer.client.meanwhile = lambda: None
        written = await self.write_all(writer)
        assert written[:2] == [('first', State.DONE), ('second', State.DONE)]
