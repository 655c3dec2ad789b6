"""Orders of a store that has returned from an older copy of its data.

An order or its status may be missing there until it is written again. Until
then the router goes on by what it knew. Needs no network.
"""

import dataclasses

from celeryward import deadlines
from celeryward import logs
from celeryward.raters import rollout_orders

# Usually a leader has written a state before its followers write it.
FOLLOWER_DELAY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeptOrder:
    """An order that stays in force although the store no longer has it.

    :param deadlines.Deadline until: time until which it is kept.
    :param rollout_orders.Order | None listed: order that the store has in
        its place.
    """

    until: deadlines.Deadline
    listed: rollout_orders.Order | None


@dataclasses.dataclass(frozen=True, slots=True)
class UnwrittenOrder:
    """An order whose state the store has lost.

    :param rollout_orders.Order order: the order with that state.
    :param deadlines.Deadline follower_at: when a follower writes it, unless a
        leader has.
    """

    order: rollout_orders.Order
    follower_at: deadlines.Deadline


class RestoredOrders:
    """Applies orders so that a restore of the store loses no verdict.

    ``outdated`` holds the services whose order is of an earlier generation
    of the store's data; its revision must not be used. ``unwritten`` holds
    the orders whose stored state was lost, by service, with that state.

    :param releases: :class:`releases.Releases`.
    :param outages: :class:`outages.OutageTracker`, which says how long an
        order that is missing is kept.
    """

    def __init__(self, releases, outages):
        self.releases = releases
        self.outages = outages
        self.outdated = set()
        self.unwritten = {}
        self.kept = {}

    def begin_generation(self):
        """Record that the store has returned from an older copy."""
        self.outdated = set(self.releases.progress)
        self.kept.clear()
        self.unwritten.clear()

    def accept(self, order):
        """Apply an order that was written, or one with a known target.

        One without a status has the state of the same order in the earlier
        generation. Its verdict is then written again.
        """
        known = self.releases.progress.get(order.service)
        is_outdated = order.service in self.outdated
        self.forget(order.service)
        if (
            not is_outdated
            or known is None
            or known.order.target != order.target
            or order.state is not rollout_orders.State.RUNNING
        ):
            self.releases.accept(order)
            return
        if known.order.state is not rollout_orders.State.RUNNING:
            # Its runs must not be judged again.
            order = dataclasses.replace(order, state=known.order.state)
            self.unwritten[order.service] = UnwrittenOrder(
                order, deadlines.Deadline.after(FOLLOWER_DELAY_SECONDS)
            )
        self.releases.progress[order.service] = dataclasses.replace(
            known, order=order
        )
        logs.bind(
            step='roll-out', peer=order.service, software=order.target
        ).info('roll-out {} restored', known.verdict.value)

    def accept_listed(self, order):
        """Apply an order of a complete list.

        It may be one that the order in force had replaced.
        """
        known = self.releases.progress.get(order.service)
        if (
            order.service in self.outdated
            and known is not None
            and known.order.target != order.target
        ):
            self.keep(order.service, order)
        else:
            self.accept(order)

    def due_writes(self, is_leader):
        """Return the orders whose state is to be written again now."""
        return tuple(
            each.order
            for each in self.unwritten.values()
            if is_leader or each.follower_at.expired()
        )

    def remove_unlisted(self, service):
        """Remove an order that is missing in a complete list."""
        if service in self.outdated:
            self.keep(service, None)
        else:
            self.releases.remove(service)

    def remove(self, service):
        """Remove an order that was deleted."""
        self.forget(service)
        self.releases.remove(service)

    def keep(self, service, listed):
        """Keep the order in force for a while, in place of a listed one."""
        kept = self.kept.get(service)
        until = kept.until if kept else self.outages.keep_until()
        self.kept[service] = KeptOrder(until, listed)
        if kept is None:
            logs.bind(
                step='roll-out',
                peer=service,
                kept=round(max(0.0, until.remaining()), 3),
            ).info('roll-out missing; kept for a while')
        self.remove_expired()

    def remove_expired(self):
        """Replace the orders that were kept until now."""
        for service, kept in tuple(self.kept.items()):
            if not kept.until.expired():
                continue
            self.remove(service)
            if kept.listed is not None:
                self.releases.accept(kept.listed)

    def forget(self, service):
        """Forget that the order of a service is outdated."""
        self.outdated.discard(service)
        self.kept.pop(service, None)
        self.unwritten.pop(service, None)
