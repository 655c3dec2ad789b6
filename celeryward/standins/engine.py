"""Stand-in of a model engine that generates words from the prompt's length."""

import collections
import weakref

import curio
import h11
import msgspec

from celeryward.endpoints import prefixes
from celeryward import http
from celeryward import listener
from celeryward.standins import base

WORDS = ('align', 'the', 'part', 'then', 'fasten', 'each', 'bolt', 'evenly')


class EngineStandIn(base.StandIn):
    """Answers chat requests with deterministic words.

    Attributes that inject faults:

    - ``break_after``: number of tokens after which a stream's connection is
      closed; with ``break_inside_event`` half an event is sent before.
    - ``silent_after``: number of tokens after which a stream stalls.
    - ``refusing``: refuse each chat as not run.
    - ``crash_on``: text in a prompt that crashes the engine; it restarts
      after ``restart_seconds``, unless these are 0.
    - ``lose_order_answers``: execute orders, then close the connection
      without a response.

    With ``fenced`` the engine refuses orders whose fencing token is lower
    than the highest that it has received.

    :param tuple versions: ``model@version`` names that it runs.
    :param int tokens: tokens of an answer if the request sets no limit.
    :param float token_seconds: delay before each token; 0 for none.
    """

    def __init__(self, versions, port=0, tokens=16, token_seconds=0.0):
        super().__init__(port)
        self.versions = tuple(versions)
        self.tokens = tokens
        self.token_seconds = token_seconds
        self.first_token_seconds = 0.0
        self.capacity = 8
        self.running = 0
        self.leaving = False
        self.refusing = False
        self.break_after = None
        self.silent_after = None
        self.break_inside_event = False
        self.crash_on = None
        self.restart_seconds = 0.0
        self.crash_counts = collections.Counter()
        self.crashing = False
        self.connections = weakref.WeakSet()
        self.silent_connections = set()
        self.cache_events = []
        self.chats_started = collections.Counter()
        self.fenced = False
        self.highest_fence = 0
        self.role = ''
        self.orders = []
        self.lose_order_answers = False

    async def answer(self, connection, received):
        """Dispatch one request by its path."""
        self.connections.add(connection)
        if connection in self.silent_connections:
            await curio.sleep(3600)
        path = received.head.path
        if path == '/v1/chat/completions':
            await self.answer_chat(connection, received)
        elif path == '/load':
            await base.send_json(connection, 200, self.load())
        elif path == '/cache-events':
            since = int(received.head.target.rpartition('=')[2])
            await base.send_json(connection, 200, self.events_since(since))
        elif path == '/health':
            await base.send_json(connection, 200, {'status': 'ok'})
        elif path == '/orders':
            await self.answer_order(connection, received.json())
        elif path == '/drain':
            self.leaving = True
            await base.send_json(connection, 200, {})
        else:
            await base.send_json(connection, 404, {})

    def load(self):
        """Return the load report as a dictionary."""
        return {
            'running': self.running,
            'waiting': 0,
            'capacity': self.capacity,
            'leaving': self.leaving,
            'versions': self.versions,
            'role': self.role,
        }

    async def answer_order(self, connection, order):
        """Execute one order; refuse it if its fencing token is outdated."""
        if self.fenced and order['fence'] < self.highest_fence:
            refusal = {'fence': self.highest_fence}
            await base.send_json(connection, 409, refusal)
            return
        self.highest_fence = max(self.highest_fence, order['fence'])
        self.orders.append(order)
        name = f'{order["model"]}@{order["version"]}'
        if order['kind'] == 'load':
            self.versions = tuple(dict.fromkeys((*self.versions, name)))
        elif order['kind'] == 'unload':
            self.versions = tuple(v for v in self.versions if v != name)
        elif order['kind'] == 'change-role':
            self.role = order.get('role', '')
        if self.lose_order_answers:
            raise http.Disconnected(
                'stand-in drops the response',
                step='answer order',
                peer=connection.peer,
            )
        await base.send_json(connection, 200, self.load())

    async def answer_chat(self, connection, received):
        """Answer one chat request, with a stream or as a whole."""
        headers = received.head.headers
        version = headers.get('x-model-version', '')
        echo = {'x-request-id': headers.get('x-request-id', '')}
        if self.refusing or version not in self.versions:
            echo['x-execution'] = 'not-run'
            await base.send_json(connection, 503, {}, echo)
            return
        body = received.json()
        prompt = ' '.join(each['content'] for each in body['messages'])
        self.chats_started[version] += 1
        self.record_cached_prefixes(body['messages'])
        if self.crash_on and self.crash_on in prompt:
            await curio.spawn(self.crash, prompt, daemon=True)
            await curio.sleep(3600)
        self.running += 1
        try:
            count = body.get('max_tokens') or self.tokens
            words = list(self.words(prompt, count))
            usage = {
                'prompt_tokens': len(prompt.split()),
                'completion_tokens': count,
            }
            if body.get('stream'):
                first = body.get('resume', {}).get('tokens', 0)
                text = body.get('resume', {}).get('text', '')
                if text != ''.join(words[:first]):
                    await base.send_json(connection, 400, {}, echo)
                    return
                await self.send_stream(connection, echo, words, first, usage)
            else:
                await self.send_whole(connection, echo, words, usage)
        finally:
            self.running -= 1

    async def crash(self, prompt):
        """Stop; restart on the same port if ``restart_seconds`` are set."""
        if self.crashing:
            return
        self.crashing = True
        self.crash_counts[prompt] += 1
        self.cache_events.clear()
        port = self.port
        await self.stop()
        if self.restart_seconds:
            await curio.sleep(self.restart_seconds)
            self.listener = listener.Listener('127.0.0.1', port, self.handle)
            await self.start()
        self.crashing = False

    def silence_connections(self):
        """Stall all open connections; new ones are served."""
        self.silent_connections = set(self.connections)

    def events_since(self, since):
        """Return the cache events whose number is at least ``since``."""
        return {'events': self.cache_events[since:]}

    def record_cached_prefixes(self, messages):
        """Record cache events as if the prompt's prefixes were cached."""
        lines = (f'{each["role"]}: {each["content"]}' for each in messages)
        for digest in prefixes.digest_prefixes('\n'.join(lines)):
            number = len(self.cache_events)
            event = prefixes.CacheEvent(number, 'stored', f'{digest:x}')
            self.cache_events.append(event)

    def words(self, prompt, count):
        """Yield ``count`` words, which depend only on the prompt's length."""
        offset = len(prompt)
        for index in range(count):
            yield WORDS[(offset + index) % len(WORDS)] + ' '

    async def send_whole(self, connection, echo, words, usage):
        """Send the answer as one JSON object."""
        if self.token_seconds:
            await curio.sleep(self.token_seconds * len(words))
        message = {'role': 'assistant', 'content': ''.join(words)}
        choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
        answer = {
            'object': 'chat.completion',
            'choices': [choice],
            'usage': usage,
        }
        await base.send_json(connection, 200, answer, echo)

    async def send_stream(self, connection, echo, words, first, usage):
        """Send the answer as events that begin with the token ``first``."""
        head = {
            'content-type': 'text/event-stream',
            'transfer-encoding': 'chunked',
            **echo,
        }
        await connection.send(
            'send stream',
            h11.Response(status_code=200, headers=http.encode_headers(head)),
        )
        await curio.sleep(self.first_token_seconds)
        for index in range(first, len(words)):
            await self.inject_fault(connection, index)
            if self.token_seconds:
                await curio.sleep(self.token_seconds)
            delta = {'delta': {'content': words[index]}}
            event = encode_event({'choices': [delta]})
            await connection.send('send stream', h11.Data(data=event))
        last = encode_event({'choices': [], 'usage': usage})
        await connection.send(
            'send stream',
            h11.Data(data=last + b'data: [DONE]\n\n'),
            h11.EndOfMessage(),
        )

    async def inject_fault(self, connection, index):
        """Break or stall the stream if a fault is set for this token."""
        if index == self.break_after:
            if self.break_inside_event:
                half = h11.Data(data=b'data: {"choices": [{"del')
                await connection.send('send stream', half)
            raise http.Disconnected(
                'stand-in breaks off the stream',
                step='send stream',
                peer=connection.peer,
            )
        if index == self.silent_after:
            await curio.sleep(3600)


def encode_event(value):
    """Return a server-sent event with a value as its JSON data."""
    return b'data: ' + msgspec.json.encode(value) + b'\n\n'
