"""The listeners of the router process, within the limits of its host."""

import dataclasses
import functools

from celeryward import closings
from celeryward import connection_limits
from celeryward import listener
from celeryward import memory_account
from celeryward import memory_bounds
from celeryward import router_monitoring


@dataclasses.dataclass(frozen=True, slots=True)
class RouterListeners:
    """One :class:`listener.Listener` for each address of a router.

    :param readiness: requests of the load balancer.
    :param metrics: requests for the metrics.
    :param callers: requests of callers.
    :param routers: requests of other routers.
    """

    readiness: listener.Listener
    metrics: listener.Listener
    callers: listener.Listener
    routers: listener.Listener

    def __iter__(self):
        """Yield all listeners."""
        return (getattr(self, each.name) for each in dataclasses.fields(self))

    async def start(self):
        """Start all listeners, in the order of the fields."""
        for each in self:
            await each.start()


def make_listeners(router):
    """Return the :class:`RouterListeners` of a router; bound its memory.

    :param router: :class:`router.Router` with all other components.
    """
    placement = router.placement
    host = connection_limits.host_of(placement)
    limits = connection_limits.derive(host, router.tuning)
    memory_bounds.apply(memory_account.derive(host.megabytes))

    def make(name, address, handler):
        return listener.Listener(
            address.host,
            address.port,
            handler,
            limits[name],
            closings.Closings(name, router.metrics.count_closed_connection),
        )

    return RouterListeners(
        readiness=make(
            'readiness',
            placement.readiness,
            functools.partial(
                router_monitoring.answer_readiness, router.is_ready
            ),
        ),
        metrics=make(
            'metrics',
            placement.metrics,
            functools.partial(
                router_monitoring.answer_metrics, router.metrics
            ),
        ),
        callers=make('callers', placement.callers, router.gateway.handle),
        routers=make(
            'routers', placement.routers, router.view.publisher.handle
        ),
    )
