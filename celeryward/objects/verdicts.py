"""A task that writes the starts and verdicts of roll-outs to the store."""

import curio

from celeryward import errors
from celeryward import logs
from celeryward.raters import restored_orders

CHECK_INTERVAL_SECONDS = 0.25
# A verdict must reach the other routers before they decide otherwise.
ROLLOUT_CHECK_INTERVAL_SECONDS = 0.05
# Followers write later than leaders, so that usually a leader has already
# written the state and followers write nothing.
FOLLOWER_DELAY_SECONDS = 1.0
RETRY_SECONDS = 0.5


class VerdictWriter:
    """Writes the start and the verdict of each order once.

    Writes are conditional on the revision of the order, so that the first
    router to write decides. The others adopt the state that it wrote, from
    the conflict response or from the watch.

    :param client: :class:`client.ObjectClient`.
    :param releases: :class:`releases.Releases`.
    :param translator: has ``write_order(order)``, which returns the stored
        object with its new status, and ``read_order(stored)``.
    :param members: :class:`members.Members`.
    :param outages: :class:`outages.OutageTracker`.
    :param restored: :class:`restored_orders.RestoredOrders`.
    """

    def __init__(
        self, client, releases, translator, members, outages, restored=None
    ):
        self.restored = restored or restored_orders.RestoredOrders(
            releases, outages
        )
        self.outages = outages
        self.members = members
        self.client = client
        self.releases = releases
        self.translator = translator

    async def run(self):
        """Write starts and verdicts until cancelled."""
        while True:
            await curio.sleep(
                ROLLOUT_CHECK_INTERVAL_SECONDS
                if self.releases.has_running_order
                else CHECK_INTERVAL_SECONDS
            )
            delay = 0.0 if self.members.is_leader else FOLLOWER_DELAY_SECONDS
            self.restored.remove_expired()
            self.releases.decide_due()
            for order in tuple(self.releases.orders_without_start(delay)):
                await self.write(order)
            for order in self.restored.due_writes(self.members.is_leader):
                await self.write(order)
            for order in self.due_verdicts():
                # Each write takes time, in which other verdicts may change.
                if order in self.due_verdicts():
                    await self.write(order)

    def due_verdicts(self):
        """Return the orders whose verdict is to be written now, with it."""
        self.releases.decide_due()
        settled = self.outages.is_settled()
        return tuple(self.releases.orders_without_verdict(settled))

    async def write(self, order):
        """Write the state of an order; after a conflict, adopt the stored.

        An order whose revision is of an earlier generation is not written.
        """
        if order.service in self.restored.outdated:
            return
        outcome = await self.client.put_status(
            self.translator.write_order(order)
        )
        if outcome.is_ok():
            self.adopt(outcome.unwrap())
            return
        error = outcome.unwrap_err()
        logs.bind_error(error, service=order.service).warning(
            'state {} not written: {}', order.state.value, error.message
        )
        if isinstance(error, errors.Conflict) and error.current is not None:
            self.adopt(error.current)
        else:
            await curio.sleep(RETRY_SECONDS)

    def adopt(self, stored):
        """Apply the stored state of an order."""
        order = self.translator.read_order(stored)
        if order.is_ok():
            self.restored.accept(order.unwrap())
