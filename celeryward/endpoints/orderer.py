"""Sends orders to endpoints and reads back what they did."""

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


class Orderer:
    """Sends the orders of the lease holder.

    :param leadership: :class:`leases.Leadership`.
    :param TokenBucket bucket: rate of the weight store.
    """

    def __init__(self, leadership, bucket):
        self.leadership = leadership
        self.bucket = bucket
        self.unanswered_until = deadlines.Deadline.after(0.0)

    def quiet(self):
        """Return whether no order can still be under way.

        Only then may the lease be given back: the next holder of a lease
        that was given back does not wait.
        """
        return self.unanswered_until.expired()

    async def order(self, endpoint, kind, model, version, role=''):
        """Bring an endpoint into a state, if it is not in it yet.

        :returns: ``Ok(LoadReport)`` once the endpoint shows the effect, or
            ``Err`` with ``LeaseLost``, ``OrderDeferred``, ``OutdatedFence`` or
            ``OrderFailed``. An order that was not sent may be repeated.
        """
        granted = self.leadership.held(orders.SEND_MARGIN_SECONDS)
        if granted.is_err():
            return granted
        grant = granted.unwrap()
        order = orders.Order(kind, model, version, grant.fence, role)
        if not orders.earliest_send(endpoint, grant).expired():
            reason = 'an order of the previous holder may be under way'
            return result.Err(refuse(orders.OrderDeferred, reason, endpoint))
        report = await self.read(endpoint)
        if report is not None and orders.is_in_effect(order, report):
            return result.Ok(report)
        reads_weights = orders.ORDERS.get(kind).reads_weights
        if reads_weights and not self.bucket.try_take():
            reason = 'the weight store takes no further load now'
            return result.Err(refuse(orders.OrderDeferred, reason, endpoint))
        return await self.send(endpoint, order)

    async def send(self, endpoint, order):
        """Send an order and read back its effect."""
        deadline = deadlines.Deadline.after(orders.ORDER_SECONDS)
        try:
            connection = await http.connect(
                endpoint.host, endpoint.port, deadline
            )
            try:
                # Reading and connecting took time, or the daemon was
                # paused: the lease is checked last before the bytes go.
                granted = self.leadership.held(orders.SEND_MARGIN_SECONDS)
                if granted.is_err():
                    return granted
                if granted.unwrap().fence != order.fence:
                    reason = 'the lease was lost and taken again'
                    return result.Err(
                        refuse(orders.OrderDeferred, reason, endpoint)
                    )
                answered_before = self.unanswered_until
                self.unanswered_until = deadline
                await management.send_order(connection, order, deadline)
                self.unanswered_until = answered_before
            finally:
                await connection.close()
        except orders.OutdatedFence as error:
            self.leadership.drop(error.fence)
            return result.Err(error)
        except TRANSPORT_ERRORS as error:
            logs.bind(step='send order', peer=endpoint.name).warning(
                'order {} {} has no answer: {}',
                order.kind,
                order.target,
                error,
            )
        return await self.confirm(endpoint, order)

    async def confirm(self, endpoint, order):
        """Return ``Ok`` if the endpoint shows the effect of an order."""
        report = await self.read(endpoint)
        if report is not None and orders.is_in_effect(order, report):
            return result.Ok(report)
        reason = f'{order.kind} {order.target} shows no effect'
        return result.Err(refuse(orders.OrderFailed, reason, endpoint))

    async def read(self, endpoint):
        """Return the load report of an endpoint, or None."""
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
                'state of the endpoint is not known: {}', error
            )
            return None


def refuse(kind, reason, endpoint):
    """Return an error about an order to an endpoint."""
    return kind(reason, step='send order', peer=endpoint.name)
