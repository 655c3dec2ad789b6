"""Answers readiness probes of load balancers and scrapes of metrics."""

from celeryward import http
from celeryward import listener

# Idle timeout of their connections.
IDLE_SECONDS = 30.0


async def answer_readiness(is_ready, connection):
    """Answer the load balancer's readiness probes on one connection.

    :param is_ready: function that returns whether it may send requests.
    """

    async def answer(head):
        status = 200 if is_ready() else 503
        await http.send_response(connection, status, {}, b'')

    await listener.serve_ignoring_bodies(
        connection, answer, IDLE_SECONDS, IDLE_SECONDS
    )


async def answer_metrics(metrics, connection):
    """Serve the metrics on one connection.

    :param metrics: :class:`router_metrics.RouterMetrics`.
    """

    async def answer(head):
        headers = {'content-type': 'text/plain; version=0.0.4'}
        body = metrics.exposition()
        await http.send_response(connection, 200, headers, body)

    await listener.serve_ignoring_bodies(
        connection, answer, IDLE_SECONDS, IDLE_SECONDS
    )
