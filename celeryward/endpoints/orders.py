"""Orders to endpoints: their kinds, effects and preconditions."""

import dataclasses

from celeryward import catalog
from celeryward import deadlines
from celeryward import errors
from celeryward import registry

ORDERS = registry.Registry('order kind')

# The maximum execution time of an order at an endpoint.
ORDER_SECONDS = 30.0
# Minimum remaining time of the lease when an order is sent. It covers the
# transfer to an endpoint that ignores fencing numbers.
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
    """The endpoint does not show the effect of an order."""

    code = 'order_failed'


class OrderDeferred(errors.NotRun):
    """The order must not be sent yet and may be repeated later.

    An order of the previous holder may still be in progress, or the rate of
    the weight store is exhausted.
    """

    code = 'not_yet'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order to an endpoint.

    :param str kind: registered name in ``ORDERS``.
    :param int fence: fencing number of the lease holder.
    :param str role: the new role, for the kind ``change-role``.
    """

    kind: str
    model: str
    version: str
    fence: int
    role: str = ''

    @property
    def target(self):
        """The model version of the order, as ``model@version``."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderKind:
    """The effect of a kind of order.

    :param has_taken_effect: function of the order and of the versions and
        role of the endpoint; it returns whether the order has taken effect.
    :param bool reads_weights: whether the order reads from the weight store.
    """

    has_taken_effect: object
    reads_weights: bool = False


def register(name, reads_weights=False):
    """Return a decorator that registers the check of an order kind."""

    def register_check(has_taken_effect):
        ORDERS.register(name)(OrderKind(has_taken_effect, reads_weights))
        return has_taken_effect

    return register_check


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


def is_in_effect(order, report):
    """Return whether a load report shows the effect of an order."""
    return ORDERS.get(order.kind).has_taken_effect(
        order, report.versions, report.role
    )


def earliest_send(endpoint, grant):
    """Return the time from which the lease holder may send orders.

    An endpoint that ignores fencing numbers may still be executing an order
    of the previous holder, for at most ``ORDER_SECONDS``.

    :param leases.Grant grant: the grant of the lease.
    :returns: a :class:`deadlines.Deadline`; expired if orders may be sent.
    """
    if endpoint.fencing is catalog.Fencing.ENFORCED or grant.after_release:
        return grant.acquired_at
    return deadlines.Deadline(grant.acquired_at.at + ORDER_SECONDS)


class TokenBucket:
    """Rate limit of weight loads, as a token bucket.

    The bucket starts empty, so that successive lease holders together don't
    exceed the rate of a single one.

    :param float rate: loads per second.
    :param int burst: maximum number of loads in a burst.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.full_at = deadlines.Deadline.after(burst / rate)

    def try_take(self):
        """Take a token; return whether there was one."""
        missing = self.full_at.remaining() * self.rate
        if missing > self.burst - 1 + 1e-9:
            return False
        full_from = (
            self.full_at.at if missing else deadlines.Deadline.after(0.0).at
        )
        self.full_at = deadlines.Deadline(full_from + 1 / self.rate)
        return True
