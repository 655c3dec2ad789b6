"""Wire format of requests to endpoints: chat completions and services."""

import contextlib
import dataclasses
import functools
import typing

import msgspec

from celeryward import body_memory
from celeryward import calls
from celeryward import deadlines
from celeryward import decoding
from celeryward.endpoints import chat_events
from celeryward.endpoints import event_stream
from celeryward.endpoints import response_checks
from celeryward import errors
from celeryward import http
from celeryward import logs

CHAT_PATH = '/v1/chat/completions'
EVENT_END = b'\n\n'
EVENT_START = b'data: '
DONE_EVENT = b'data: [DONE]\n\n'
USAGE_FIELD = b'"usage"'
# Longest wait for the end of a body after its last event.
DRAIN_SECONDS = 0.2
TokenCount = typing.Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a broken stream is resumed.

    :param int tokens: tokens that the caller has received.
    :param str text: their text.
    """

    tokens: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One or more events of a streamed answer, or a whole answer.

    :param bytes payload: bytes to pass on to the caller.
    :param int tokens: number of generated tokens in the payload.
    :param Usage usage: set on the last chunk.
    """

    payload: bytes
    tokens: int
    usage: calls.Usage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UsageFields:
    """The ``usage`` object of the wire format."""

    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0

    def to_usage(self):
        """Return the usage as :class:`calls.Usage`."""
        return calls.Usage(self.prompt_tokens, self.completion_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class ChatAnswer:
    """The fields that the daemon reads of an answer in one piece."""

    choices: list[dict]
    usage: UsageFields = UsageFields()

    def text(self):
        """Return the text of the first choice."""
        return content_of(self.choices, 'message')


@dataclasses.dataclass(frozen=True, slots=True)
class ChatEvent:
    """The fields that the daemon reads of a streamed event."""

    choices: list[dict] = dataclasses.field(default_factory=list)
    usage: UsageFields | None = None

    def text(self):
        """Return the text that the event adds."""
        return content_of(self.choices, 'delta')


def content_of(choices, part):
    """Return the text in a part of the first choice; empty if none is."""
    found = choices[0].get(part) if choices else None
    content = found.get('content') if isinstance(found, dict) else None
    return content if isinstance(content, str) else ''


def decode_answer(body):
    """Return the :class:`ChatAnswer` in a body.

    :raises msgspec.DecodeError: if it is malformed.
    """
    return decoding.decode(ANSWER_DECODER, body)


def decode_event(body):
    """Return the :class:`ChatEvent` in the data of an event.

    :raises msgspec.DecodeError: if it is malformed.
    """
    return decoding.decode(EVENT_DECODER, body)


ANSWER_DECODER = msgspec.json.Decoder(ChatAnswer)
EVENT_DECODER = msgspec.json.Decoder(ChatEvent)


def encode_chat(request, resume=None):
    """Return the body of a chat request as JSON bytes."""
    body = {
        'model': request.model,
        'messages': request.messages,
        'stream': request.stream,
    }
    if request.max_tokens:
        body['max_tokens'] = request.max_tokens
    if request.temperature is not None:
        body['temperature'] = request.temperature
    if resume is not None:
        body['resume'] = resume
    return msgspec.json.encode(body)


def chat_headers(call, version):
    """Return the headers of a chat request."""
    return {
        'content-type': 'application/json',
        'x-request-id': call.request_id,
        'x-model-version': version.name,
        'x-timeout-ms': str(int(call.deadline.remaining() * 1000)),
        'x-priority': str(call.priority),
    }


class EventSplitter:
    """Splits a byte stream into blocks that end at an event boundary.

    :param str peer: address of the endpoint, used in errors.
    """

    def __init__(self, peer):
        self.peer = peer
        self.buffer = b''
        self.done = False

    def split(self, data):
        """Return the complete events in the buffer as one block of bytes.

        :raises errors.AnswerInvalid: if an event is too large.
        """
        block, separator, self.buffer = (self.buffer + data).rpartition(
            EVENT_END
        )
        if len(self.buffer) > event_stream.MAX_EVENT_BYTES:
            raise errors.AnswerInvalid(
                f'event is larger than {event_stream.MAX_EVENT_BYTES} bytes',
                step='read stream',
                peer=self.peer,
                sent=True,
            )
        events = block + separator
        if events.endswith(DONE_EVENT):
            self.done = True
        return events

    def check_done(self):
        """Raise an error if ``[DONE]`` has not arrived."""
        if not self.done:
            raise errors.AnswerTruncated(
                'stream ended without [DONE]',
                step='read stream',
                peer=self.peer,
                sent=True,
            )


def count_events(events):
    """Return the number of data events.

    Line feeds in JSON strings are escaped, so that the data of an event
    can't contain the start of another one.
    """
    inner = events.count(EVENT_END + EVENT_START)
    return inner + events.startswith(EVENT_START)


def decode_events(events):
    """Yield the :class:`ChatEvent` of each data event except ``[DONE]``."""
    for event in events.split(EVENT_END):
        if event.startswith(EVENT_START) and not event.endswith(b'[DONE]'):
            yield decode_event(event[len(EVENT_START) :])


def resume_point(events):
    """Return the :class:`ResumePoint` after some events.

    Each event with text is one token.
    """
    texts = [text for event in decode_events(events) if (text := event.text())]
    return ResumePoint(len(texts), ''.join(texts))


async def start_chat(connection, call, version, read_deadlines, resume=None):
    """Send a chat request; return the checked head of its response."""
    headers = chat_headers(call, version)
    body = encode_chat(call.request, resume)
    await http.send_request(
        connection, 'POST', CHAT_PATH, headers, body, call.deadline
    )
    response = await connection.receive_response(read_deadlines.first_byte())
    response_checks.check_head(response, call, connection.peer)
    return response


async def stream_chat(connection, call, version, resume, read_deadlines):
    """Run a streamed chat on a connection and yield its chunks.

    The last chunk carries the usage and the end marker, also if they arrive
    apart: neither may reach the caller before the request is billed.

    :raises errors.AnswerTruncated: if the stream ends without ``[DONE]``.
    :raises errors.AnswerInvalid: if the answer or its rest is an error.
    """
    response = await start_chat(
        connection, call, version, read_deadlines, resume
    )
    chat_events.check_content_type(response, connection.peer)
    splitter = EventSplitter(connection.peer)
    held = b''
    tokens = 0
    pieces = receive_pieces(connection, splitter, read_deadlines)
    async with contextlib.AsyncExitStack() as resources:
        await resources.enter_async_context(contextlib.aclosing(pieces))
        memory = resources.enter_context(
            body_memory.ANSWERS.hold(connection.stop_reading)
        )
        async for piece in pieces:
            connection.meter.begin_work()
            complete = splitter.split(piece)
            chat_events.check_events(complete, connection.peer)
            held += complete
            await connection.meter.take_turn(read_deadlines.deadline)
            await hold_events(complete, memory, connection)
            if splitter.done:
                break
            events, held = split_before_usage(held)
            if events:
                count = count_events(events)
                tokens += count
                yield Chunk(events, count)
        splitter.check_done()
        await drain_body(pieces)
    yield parse_last_chunk(held, tokens, connection.peer)


def receive_pieces(connection, splitter, read_deadlines):
    """Return a generator of the pieces of a streamed answer.

    Engines may send the head while the request is still in their queue, so
    that the first byte of the body has the limit of the first byte too.
    """
    return connection.receive_chunks(
        'read stream',
        functools.partial(next_piece_deadline, splitter, read_deadlines),
        read_deadlines.first_byte(),
    )


def next_piece_deadline(splitter, read_deadlines):
    """Return the deadline of the next piece of a streamed answer."""
    progress = read_deadlines.progress()
    if not splitter.done:
        return progress
    return progress.earlier(deadlines.Deadline.after(DRAIN_SECONDS))


def split_before_usage(events):
    """Return some events and, apart from them, the last if it is the usage.

    Engines may send the usage before the end marker, in a piece of its own.
    """
    first, separator, last = events.removesuffix(EVENT_END).rpartition(
        EVENT_END
    )
    if USAGE_FIELD not in last:
        return events, b''
    with contextlib.suppress(msgspec.DecodeError):
        for event in decode_events(last):
            if event.usage is not None and not event.text():
                return first + separator, last + EVENT_END
    return events, b''


async def hold_events(events, memory, connection):
    """Count some events as held in memory.

    The daemon keeps what it has passed on, to resume the stream.

    :param body_memory.Hold memory: what the stream holds so far.
    :raises errors.BadInput: if the stream is too large.
    """
    size = memory.size + len(events)
    connection.check_size(size, http.MAX_BODY_BYTES, 'read stream')
    await memory.resize(size, 'read stream', connection.peer)


async def drain_body(pieces):
    """Read the end of the body so that the connection can be reused.

    The answer is already complete. If the body doesn't end, only the
    connection is lost.
    """
    try:
        async for _ in pieces:
            return
    except http.EXCHANGE_ERRORS as error:
        logs.bind_error(error).info(
            'body did not end after the last event: {}', error.message
        )


def parse_last_chunk(events, tokens, peer):
    """Return the last :class:`Chunk` of a stream.

    :param int tokens: number of generated tokens in the chunks before.
    :raises errors.AnswerInvalid: if an event is malformed.
    """
    try:
        decoded = list(decode_events(events))
    except msgspec.DecodeError as error:
        raise errors.AnswerInvalid(
            f'malformed event: {error}',
            step='read stream',
            peer=peer,
            sent=True,
        ) from error
    count = sum(1 for event in decoded if event.text())
    for event in decoded:
        if event.usage is not None:
            return Chunk(events, count, event.usage.to_usage())
    return Chunk(events, count, calls.Usage(0, tokens + count))


async def complete_chat(connection, call, version, read_deadlines):
    """Run a chat that is not streamed; return its body as one chunk."""
    response = await start_chat(connection, call, version, read_deadlines)
    answer = await response_checks.receive_delimited_body(
        connection, response, call, read_deadlines
    )
    try:
        decoded = decode_answer(answer)
    except msgspec.DecodeError as error:
        raise errors.AnswerInvalid(
            f'malformed answer: {error}',
            step='read body',
            peer=connection.peer,
            sent=True,
        ) from error
    usage = decoded.usage.to_usage()
    return Chunk(answer, usage.answer_tokens, usage)


def answer_text(body):
    """Return the text of an answer in one piece."""
    return decode_answer(body).text()


async def forward(connection, call, read_deadlines):
    """Forward a service request; return the head and body of the response."""
    request = call.request
    headers = {
        **request.headers,
        'x-request-id': call.request_id,
        'x-timeout-ms': str(int(call.deadline.remaining() * 1000)),
    }
    method, target = request.method, request.target
    await http.send_request(
        connection, method, target, headers, request.body, call.deadline
    )
    response = await connection.receive_response(read_deadlines.first_byte())
    response_checks.check_service_head(response, call, connection.peer)
    body = await response_checks.receive_delimited_body(
        connection, response, call, read_deadlines, method
    )
    return response, body
