"""Wire format of the callers' HTTP API: chat completions and services."""

import dataclasses
import math

import msgspec

from celeryward import calls
from celeryward import deadlines
from celeryward import decoding
from celeryward import errors

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/v1/services/'
MAX_PRIORITY_CHARACTERS = 10
# Header fields that are hop-by-hop or are meant for this system.
UNFORWARDED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'idempotency-key',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-idempotent',
        'x-request-id',
        'x-timeout-ms',
    )
)
STATUS_OF_CODE = {
    'bad_input': 400,
    'unauthenticated': 401,
    'not_permitted': 403,
    'unknown_target': 404,
    'claim_held': 409,
    'outcome_not_stored': 409,
    'key_reused': 422,
    'harmful_request': 422,
    'limit_exceeded': 429,
    'outcome_unknown': 502,
    'endpoint_failure': 502,
    'billing_backlog': 503,
    'claim_unchecked': 503,
    'not_run': 503,
    'overloaded': 503,
    'version_unavailable': 503,
    'shutting_down': 503,
    'deadline_exceeded': 504,
}
DEFAULT_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class WireMessage:
    """One message of the chat wire format."""

    role: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class WireChat:
    """Body of a request in the usual chat completions format."""

    model: str
    messages: list[WireMessage]
    stream: bool = False
    max_tokens: int = 0
    temperature: float | None = None
    session: str = ''


MAX_TOKENS = 2**31 - 1
CHAT_DECODER = msgspec.json.Decoder(WireChat)


def decode_chat(body, peer):
    """Return a pair of :class:`calls.ChatRequest` and session id.

    :raises errors.BadInput: if the body is malformed.
    """
    try:
        wire = decoding.decode(CHAT_DECODER, body)
    except msgspec.DecodeError as error:
        raise errors.BadInput(
            f'body: {error}', step='decode request', peer=peer
        ) from error
    if not wire.messages:
        raise errors.BadInput(
            'messages: must not be empty', step='decode request', peer=peer
        )
    if wire.max_tokens < 0:
        raise errors.BadInput(
            'max_tokens: must be 0 or more', step='decode request', peer=peer
        )
    if wire.max_tokens > MAX_TOKENS:
        raise errors.BadInput(
            f'max_tokens: must be at most {MAX_TOKENS}',
            step='decode request',
            peer=peer,
        )
    messages = tuple(
        calls.Message(message.role, message.content)
        for message in wire.messages
    )
    request = calls.ChatRequest(
        wire.model, messages, wire.stream, wire.max_tokens, wire.temperature
    )
    return request, wire.session


def decode_service_request(head, body, service):
    """Return a request as a :class:`calls.ServiceRequest`.

    It is idempotent if its method is for this service, or if the caller
    says so.

    :param catalog.Service service: the service that the path names.
    """
    rest = head.target[len(SERVICE_PREFIX) :].partition('/')[2]
    headers = {
        name: value
        for name, value in head.headers.items()
        if name not in UNFORWARDED_HEADERS
    }
    marked = head.headers.get('x-idempotent', '').lower() == 'true'
    idempotent = marked or head.method in service.idempotent_methods
    return calls.ServiceRequest(
        service.name, head.method, f'/{rest}', headers, body, idempotent
    )


def forwarded_headers(headers):
    """Return the headers of a service's answer to send to the caller."""
    return {
        name: value
        for name, value in headers.items()
        if name not in UNFORWARDED_HEADERS
    }


def service_name(head):
    """Return the name of the service in the path."""
    rest = head.path[len(SERVICE_PREFIX) :]
    return rest.partition('/')[0]


def bearer_key(headers):
    """Return the bearer token of the request, or an empty string."""
    scheme, _, key = headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def decode_deadline(headers, max_seconds, peer):
    """Return the deadline that the caller asks for.

    :param float max_seconds: upper bound, and default without the header.
    :raises errors.BadInput: if the header is not a positive integer.
    """
    text = headers.get('x-timeout-ms', '')
    if not text:
        return deadlines.Deadline.after(max_seconds)
    if not text.isascii() or not text.isdigit() or float(text) == 0.0:
        raise errors.BadInput(
            f'x-timeout-ms: {text[:20]!r} is no positive integer',
            step='decode request',
            peer=peer,
        )
    return deadlines.Deadline.after(min(max_seconds, float(text) / 1000))


def decode_priority(headers, customer, peer):
    """Return the priority; at most that of the customer.

    :raises errors.BadInput: if the header is not an integer of usual length.
    """
    text = headers.get('x-priority', '')
    if not text:
        return customer.priority
    try:
        if len(text) > MAX_PRIORITY_CHARACTERS:
            raise ValueError(text)
        return min(customer.priority, int(text))
    except ValueError as error:
        raise errors.BadInput(
            f'x-priority: {text[:20]!r} is no integer',
            step='decode request',
            peer=peer,
        ) from error


def status_of(error):
    """Return the HTTP status of an error."""
    return STATUS_OF_CODE.get(error.code, DEFAULT_STATUS)


def error_headers(error, request_id):
    """Return the headers of an error response."""
    headers = {
        'content-type': 'application/json',
        'x-request-id': request_id,
        'x-execution': error.execution.value,
    }
    earlier = getattr(error, 'earlier_execution', None)
    if earlier is not None:
        headers['x-earlier-execution'] = earlier.value
    retry_at = getattr(error, 'retry_at', None)
    if retry_at is not None:
        seconds = max(1, math.ceil(retry_at.remaining()))
        headers['retry-after'] = str(seconds)
    return headers


def encode_error(error, request_id):
    """Return the JSON body of an error response."""
    fields = {
        'code': error.code,
        'message': error.message,
        'execution': error.execution.value,
        'request_id': request_id,
    }
    earlier = getattr(error, 'earlier_execution', None)
    if earlier is not None:
        fields['earlier_execution'] = earlier.value
    return msgspec.json.encode({'error': fields})


def encode_error_event(error, request_id):
    """Return the server-sent event that ends a failed stream."""
    body = encode_error(error, request_id)
    return b'event: error\ndata: ' + body + b'\n\n'
