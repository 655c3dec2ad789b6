"""Sends orders to endpoints and verifies their effect."""

import msgspec
import result

from celeryward import deadlines
from celeryward.endpoints import management
from celeryward.endpoints import orders
from celeryward import errors
from celeryward import http
from celeryward import logs

READ_SECONDS = 2.0
TRANSPORT_ERRORS = (
    errors.EndpointFailure,
    *http.EXCHANGE_ERRORS,
    msgspec.DecodeError,
)


class OrderSender:
    """Sends orders while this daemon holds the lease.

    :param leadership: :class:`leases.Leadership`.
    ``pending`` holds the deadline of each order whose answer has not arrived,
    by its connection.

    :param orders.TokenBucket bucket: rate limit of the weight store.
    """

    def __init__(self, leadership, bucket):
        self.leadership = leadership
        self.bucket = bucket
        self.pending = {}

    def is_idle(self):
        """Return whether no order can still be in progress.

        Only then may the lease be released, since the next holder of a
        released lease sends its orders at once.
        """
        return all(until.expired() for until in self.pending.values())

    async def execute(self, endpoint, kind, model, version, role=''):
        """Send an order, unless it is in effect already, and verify it.

        :returns: ``Ok(LoadReport)`` if the endpoint shows the effect, else
            ``Err`` with ``LeaseLost``, ``OrderDeferred``, ``OutdatedFence`` or
            ``OrderFailed``. An order that was not sent may be repeated.
        """
        checked = self.leadership.current_grant(orders.SEND_MARGIN_SECONDS)
        if checked.is_err():
            return checked
        grant = checked.unwrap()
        order = orders.Order(kind, model, version, grant.fence, role)
        if not orders.earliest_send(endpoint, grant).expired():
            reason = 'an order of the previous holder may be in progress'
            return result.Err(
                make_error(orders.OrderDeferred, reason, endpoint)
            )
        report = await self.read_load(endpoint)
        if report is not None and orders.is_in_effect(order, report):
            return result.Ok(report)
        reads_weights = orders.ORDERS.get(kind).reads_weights
        if reads_weights and not self.bucket.try_take():
            reason = 'the rate limit of the weight store is reached'
            return result.Err(
                make_error(orders.OrderDeferred, reason, endpoint)
            )
        return await self.send(endpoint, order)

    async def send(self, endpoint, order):
        """Send an order and verify its effect."""
        deadline = deadlines.Deadline.after(orders.ORDER_SECONDS)
        try:
            connection = await http.connect(
                endpoint.host, endpoint.port, deadline
            )
            try:
                # The lease may have expired while reading, connecting or
                # in a pause of the process; so it is checked again just
                # before the order is sent.
                checked = self.leadership.current_grant(
                    orders.SEND_MARGIN_SECONDS
                )
                if checked.is_err():
                    return checked
                if checked.unwrap().fence != order.fence:
                    reason = 'the lease was lost and acquired again'
                    return result.Err(
                        make_error(orders.OrderDeferred, reason, endpoint)
                    )
                self.forget_expired()
                self.pending[connection] = deadline
                await management.send_order(connection, order, deadline)
                self.pending.pop(connection, None)
            finally:
                await connection.close()
        except orders.OutdatedFence as error:
            self.leadership.step_down(error.fence)
            return result.Err(error)
        except TRANSPORT_ERRORS as error:
            logs.bind(step='send order', peer=endpoint.name).warning(
                'no response to order {} {}: {}',
                order.kind,
                order.target,
                error,
            )
        return await self.confirm(endpoint, order)

    def forget_expired(self):
        """Drop the orders that can no longer be in progress."""
        self.pending = {
            connection: until
            for connection, until in self.pending.items()
            if not until.expired()
        }

    async def confirm(self, endpoint, order):
        """Return ``Ok(LoadReport)`` if the order is in effect."""
        report = await self.read_load(endpoint)
        if report is not None and orders.is_in_effect(order, report):
            return result.Ok(report)
        reason = f'order {order.kind} {order.target} has not taken effect'
        return result.Err(make_error(orders.OrderFailed, reason, endpoint))

    async def read_load(self, endpoint):
        """Return the load report of an endpoint; None if unreachable."""
        deadline = deadlines.Deadline.after(READ_SECONDS)
        try:
            connection = await http.connect(
                endpoint.host, endpoint.port, deadline
            )
            try:
                return await management.read_load(connection, deadline)
            finally:
                await connection.close()
        except TRANSPORT_ERRORS as error:
            logs.bind(step='read load', peer=endpoint.name).warning(
                'cannot read the load report of the endpoint: {}', error
            )
            return None


def make_error(error_class, reason, endpoint):
    """Return an error of the given class about an order."""
    return error_class(reason, step='send order', peer=endpoint.name)
