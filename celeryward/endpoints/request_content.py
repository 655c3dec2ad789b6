"""What distinguishes the requests that reach endpoints.

The evidence of crashes tells requests apart by it. Attempts at the same work
are equal: their ids, deadlines, counts of retries and the event after which an
answer goes on are left out. Needs no network.
"""

import dataclasses
import functools
import operator

from celeryward.endpoints import crashes
from celeryward import header_lines
from celeryward import registry

# Fields that callers and proxies set anew for each attempt, on any platform.
ATTEMPT_FIELDS = frozenset(
    (
        b'age',
        b'b3',
        b'baggage',
        b'content-length',
        b'date',
        b'forwarded',
        b'idempotency-key',
        b'last-event-id',
        b'traceparent',
        b'tracestate',
        b'uber-trace-id',
        b'via',
        b'x-amzn-trace-id',
        b'x-b3-flags',
        b'x-b3-parentspanid',
        b'x-b3-sampled',
        b'x-b3-spanid',
        b'x-b3-traceid',
        b'x-cloud-trace-context',
        b'x-correlation-id',
        b'x-forwarded-for',
        b'x-request-id',
        b'x-request-start',
        b'x-retry-count',
    )
)
FIELD_NAME = operator.itemgetter(0)
# Callers choose what their Connection headers name.
MAX_CACHED_SETS = 64
# How the content of each type of a daemon's requests is read, by its name.
READERS = registry.Registry('request type')


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContent:
    """All by which an endpoint can tell requests of different work apart.

    :param str model: the model that the caller names.
    :param tuple prompt: id or role, and tokens or text, of each part in order.
    :param tuple usage: numbers of tokens that the caller announces.
    :param tuple options: names and values of other parameters.
    :param bytes header: header lines, as :func:`join_lines` returns them.
    """

    customer: str = ''
    method: str = ''
    target: str = ''
    model: str = ''
    session: str = ''
    prompt: tuple[tuple, ...] = ()
    usage: tuple[int, ...] = ()
    options: tuple[tuple, ...] = ()
    header: bytes = b''
    body: bytes = b''

    def fingerprint(self):
        """Return the fingerprint, equal for attempts at the same work."""
        # The text of nested tuples of constants is unambiguous.
        others = repr(OTHER_FIELDS(self)).encode()
        return crashes.fingerprint(others, self.header, self.body)


OTHER_FIELDS = operator.attrgetter(
    *(
        field.name
        for field in dataclasses.fields(RequestContent)
        if field.name not in ('header', 'body')
    )
)


def join_lines(lines, attempt_fields=frozenset()):
    """Return the header lines that attempts at the same work share.

    :param lines: pairs of name and value, as bytes.
    :param frozenset attempt_fields: lower-case names of the fields of a
        platform that differ with each attempt.
    """
    left_out = names_left_out(
        header_lines.hop_by_hop_names(lines), attempt_fields
    )
    found = [
        (lower, value)
        for name, value in lines
        if (lower := name.lower()) not in left_out
    ]
    found.sort(key=FIELD_NAME)
    return b'\n'.join(map(b':'.join, found))


@functools.lru_cache(maxsize=MAX_CACHED_SETS)
def names_left_out(hop_by_hop, attempt_fields):
    """Return the lower-case names of the fields that tell nothing apart."""
    return ATTEMPT_FIELDS | hop_by_hop | attempt_fields


def read_content(model, request):
    """Return the :class:`RequestContent` of a daemon's request.

    :param str model: name of the model or plain service.
    :param request: :class:`calls.ChatRequest` or
        :class:`calls.ServiceRequest`.
    """
    return READERS.get(type(request).__name__)(model, request)


@READERS.register('ChatRequest')
def read_chat(model, request):
    """Return the content of a chat request."""
    return RequestContent(
        model=model,
        prompt=tuple(
            (message.role, message.content) for message in request.messages
        ),
        usage=(request.max_tokens,),
        options=(
            ('stream', request.stream),
            ('temperature', request.temperature),
        ),
    )


@READERS.register('ServiceRequest')
def read_service_request(model, request):
    """Return the content of a request to a plain service."""
    lines = [
        (name.encode(), value.encode(errors='surrogateescape'))
        for name, value in request.headers.items()
    ]
    return RequestContent(
        method=request.method,
        target=request.target,
        model=model,
        header=join_lines(lines),
        body=request.body,
    )
