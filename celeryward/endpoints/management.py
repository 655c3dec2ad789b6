"""Wire format of load reports, cache events and orders of endpoints."""

import dataclasses
import re

import msgspec

from celeryward import decoding
from celeryward.endpoints import load
from celeryward.endpoints import orders
from celeryward.endpoints import prefixes
from celeryward import errors
from celeryward import http

# Reports with larger numbers are malformed.
MAX_REPORTED_REQUESTS = 1_000_000
MAX_NUMBER = 2**53
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
        refusal = decode_refusal(answer, connection.peer)
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
    return await read_report(connection, '/load', decode_load, deadline)


async def read_cache_events(connection, since, deadline):
    """Return the :class:`CacheEvents` of an engine since a number.

    Malformed events are left out.

    :raises errors.ProtocolError: if the response is malformed.
    """
    target = f'/cache-events?since={since}'
    return await read_report(connection, target, decode_cache_events, deadline)


async def read_report(connection, target, decode, deadline):
    """Request and decode one report of an endpoint.

    :param decode: function of the body and the address of the endpoint.
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
    return decode(body, connection.peer)


def decode_load(body, peer):
    """Return the :class:`load.LoadReport` in a body.

    :raises errors.ProtocolError: if it is malformed or out of range.
    """
    report = decode_report(LOAD_DECODER, body, peer)
    for count in (report.running, report.waiting, report.capacity):
        check_range(count, MAX_REPORTED_REQUESTS, peer)
    return report


def decode_cache_events(body, peer):
    """Return the :class:`CacheEvents` in a body; odd events are left out.

    :raises errors.ProtocolError: if the body is malformed.
    """
    answer = decode_report(EVENTS_DECODER, body, peer)
    return CacheEvents(tuple(filter(is_valid_event, answer.events)))


def is_valid_event(event):
    """Return whether number and prefix of a cache event are in range."""
    return (
        0 <= event.number <= MAX_NUMBER
        and PREFIX_PATTERN.fullmatch(event.prefix) is not None
    )


def decode_refusal(body, peer):
    """Return the :class:`OrderRefusal` in a body.

    :raises errors.ProtocolError: if it is malformed or out of range.
    """
    refusal = decode_report(REFUSAL_DECODER, body, peer)
    check_range(refusal.fence, MAX_NUMBER, peer)
    return refusal


def decode_report(decoder, body, peer):
    """Return what a decoder makes of an answer of an endpoint.

    :raises errors.ProtocolError: if it is malformed.
    """
    try:
        return decoding.decode(decoder, body)
    except msgspec.DecodeError as error:
        raise errors.ProtocolError(
            f'malformed report: {error}', step='read report', peer=peer
        ) from error


def check_range(value, high, peer):
    """Check that a number of an endpoint is from 0 to a bound.

    :raises errors.ProtocolError: if it is not.
    """
    if not 0 <= value <= high:
        raise errors.ProtocolError(
            f'number is not from 0 to {high}', step='read report', peer=peer
        )
