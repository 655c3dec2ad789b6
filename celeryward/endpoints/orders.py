"""Orders to endpoints: their kinds, and when one may be sent."""

import dataclasses

from celeryward import catalog
from celeryward import deadlines
from celeryward import errors
from celeryward import registry

ORDERS = registry.Registry('order kind')

# The longest time that an endpoint may take for an order.
ORDER_SECONDS = 30.0
# Time that must be left on the lease when an order goes out, for the way
# to an endpoint that ignores fencing numbers.
SEND_MARGIN_SECONDS = 3.0


class OutdatedFence(errors.CelerywardError):
    """An endpoint has seen a higher fencing number.

    :param int fence: the highest number that the endpoint knows.
    """

    code = 'outdated_fence'
    execution = errors.Execution.NOT_RUN

    def __init__(self, message, *, step, peer, fence=0):
        super().__init__(message, step=step, peer=peer)
        self.fence = fence


class OrderFailed(errors.CelerywardError):
    """An order did not bring the endpoint to the wanted state."""

    code = 'order_failed'


class NotYet(errors.NotRun):
    """An order of the previous holder may still be under way."""

    code = 'not_yet'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order.

    :param str kind: registered name in ``ORDERS``.
    :param int fence: fencing number of the lease holder.
    :param str role: the new role, for orders that change it.
    """

    kind: str
    model: str
    version: str
    fence: int
    role: str = ''

    @property
    def target(self):
        """The version that the order is about, ``model@version``."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderKind:
    """What an order changes.

    :param done: function of order, versions and role of the endpoint that
        tells whether the order has taken effect.
    :param bool reads_weights: whether it loads from the weight store.
    """

    done: object
    reads_weights: bool = False


def register(name, reads_weights=False):
    """Return a decorator that registers the effect of an order kind."""

    def store(done):
        ORDERS.register(name)(OrderKind(done, reads_weights))
        return done

    return store


@register('load', reads_weights=True)
def is_loaded(order, versions, role):
    """Return whether the endpoint runs the version."""
    return order.target in versions


@register('unload')
def is_unloaded(order, versions, role):
    """Return whether the endpoint does not run the version."""
    return order.target not in versions


@register('change-role')
def has_role(order, versions, role):
    """Return whether the endpoint has the role."""
    return role == order.role


def is_done(order, report):
    """Return whether an endpoint's load report shows an order's effect."""
    return ORDERS.get(order.kind).done(order, report.versions, report.role)


def earliest(endpoint, grant):
    """Return the deadline from which a holder may send orders.

    An endpoint that ignores fencing numbers may still be executing the
    longest order of the previous holder.
    """
    if endpoint.fencing is catalog.Fencing.ENFORCED or grant.clean:
        return grant.taken_at
    return deadlines.Deadline(grant.taken_at.at + ORDER_SECONDS)


class TokenBucket:
    """Keeps weight loads to the rate of the weight store.

    It starts empty, so that a series of takeovers does not load faster
    than one holder would.

    :param float rate: loads a second.
    :param int burst: loads that may follow each other at once.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.full_at = deadlines.Deadline.after(burst / rate)

    def try_take(self):
        """Take one token; return whether there was one."""
        missing = self.full_at.remaining() * self.rate
        if missing > self.burst - 1 + 1e-9:
            return False
        base = self.full_at.at if missing else deadlines.Deadline.after(0.0).at
        self.full_at = deadlines.Deadline(base + 1 / self.rate)
        return True
