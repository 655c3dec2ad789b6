"""Wire format of load reports, cache events and orders of endpoints."""

import dataclasses
import re

import msgspec

from celeryward.endpoints import load
from celeryward.endpoints import orders
from celeryward.endpoints import prefixes
from celeryward import errors
from celeryward import http

# Reports with larger numbers are malformed.
MAX_REPORTED_REQUESTS = 1_000_000
MAX_EVENT_NUMBER = 2**53
PREFIX_PATTERN = re.compile('[0-9a-fA-F]{1,16}')


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """Body of ``GET /cache-events``; there may be gaps in the numbers."""

    events: tuple[prefixes.CacheEvent, ...] = ()


EVENTS_DECODER = msgspec.json.Decoder(CacheEvents)
LOAD_DECODER = msgspec.json.Decoder(load.LoadReport)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefusal:
    """Body of the response to a refused order.

    :param int fence: the highest fencing number that the endpoint has seen.
    """

    fence: int = 0


REFUSAL_DECODER = msgspec.json.Decoder(OrderRefusal)


async def send_order(connection, order, deadline):
    """Send one order and wait until the endpoint has executed it.

    :raises orders.OutdatedFence: if the endpoint has seen a higher number.
    :raises errors.EndpointRefused: if it does not execute the order.
    """
    body = {
        'kind': order.kind,
        'model': order.model,
        'version': order.version,
        'fence': order.fence,
    }
    if order.role:
        body['role'] = order.role
    headers = {
        'content-type': 'application/json',
        'x-timeout-ms': str(int(deadline.remaining() * 1000)),
    }
    response, answer = await http.exchange(
        connection,
        'POST',
        '/orders',
        headers,
        msgspec.json.encode(body),
        deadline,
    )
    if response.status == 409:
        refusal = REFUSAL_DECODER.decode(answer)
        raise orders.OutdatedFence(
            f'endpoint has seen fencing number {refusal.fence}',
            step='send order',
            peer=connection.peer,
            fence=refusal.fence,
        )
    if response.status != 200:
        raise errors.EndpointRefused(
            f'endpoint answered {response.status} to an order',
            step='send order',
            peer=connection.peer,
        )


async def read_load(connection, deadline):
    """Return the :class:`load.LoadReport` of an endpoint.

    :raises errors.ProtocolError: if the response is malformed.
    """
    report = await read_report(connection, '/load', LOAD_DECODER, deadline)
    counts = (report.running, report.waiting, report.capacity)
    if not all(0 <= count <= MAX_REPORTED_REQUESTS for count in counts):
        raise errors.ProtocolError(
            'malformed report: a count is out of range',
            step='read /load',
            peer=connection.peer,
        )
    return report


async def read_cache_events(connection, since, deadline):
    """Return the :class:`CacheEvents` of an engine since a number.

    Malformed events are left out.

    :raises errors.ProtocolError: if the response is malformed.
    """
    target = f'/cache-events?since={since}'
    answer = await read_report(connection, target, EVENTS_DECODER, deadline)
    return CacheEvents(tuple(filter(is_valid_event, answer.events)))


def is_valid_event(event):
    """Return whether the number and the prefix of an event are in range."""
    return (
        0 <= event.number <= MAX_EVENT_NUMBER
        and PREFIX_PATTERN.fullmatch(event.prefix) is not None
    )


async def read_report(connection, target, decoder, deadline):
    """Request and decode one report of an endpoint.

    :raises errors.ProtocolError: if the response is malformed.
    """
    response, body = await http.exchange(
        connection, 'GET', target, {}, b'', deadline
    )
    step = f'read {target.partition("?")[0]}'
    if response.status != 200:
        raise errors.ProtocolError(
            f'endpoint answered {response.status}',
            step=step,
            peer=connection.peer,
        )
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.ProtocolError(
            f'malformed report: {error}', step=step, peer=connection.peer
        ) from error
