"""Properties of every decoder of what other programs have written.

A short run with the same examples each time is part of the tests. A long one
with new examples: CELERYWARD_EXAMPLES=10000 pytest tests/test_decoders.py
"""

import dataclasses
import functools
import gc
import math
import random
import re
import sys

from adapter import records
from adapter import settings_file
from adapter import store
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from celeryward.callers import protocol as callers
from celeryward.daemons import exchange_pb2
from celeryward.daemons import protocol as daemons
from celeryward import decoding
from celeryward.endpoints import chat_events
from celeryward.endpoints import management
from celeryward.endpoints import protocol as endpoints
from celeryward import errors
from celeryward.objects import client
from celeryward.objects import protocol as objects
from celeryward.objects import records as catalog_records
from celeryward.operators import log_lines
from celeryward.raters import protocol as raters
from celeryward import registry
from celeryward import router_settings
from celeryward.routers import protocol as routers
from celeryward import settings
from tests import odd_inputs
from tests import platform_standins as standins

DIALECT = store.StoreDialect()
RUNNER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'born': 1000,
    'models': [{'name': 'm'}],
}
ORDER = {'service': 's', 'target': 'v2', 'durationS': 60}
MEMBER = {'zone': 'a', 'address': '10.0.0.1:80', 'linkMbps': 10}
SPECS = (RUNNER, ORDER, MEMBER, standins.configuration())


def entry(name, spec, status=None):
    meta = {'name': name, 'revision': 3, 'created': 1, 'deleting': False}
    return {'meta': meta, 'spec': spec, 'status': status}


ENTRIES = [
    entry('a', RUNNER),
    entry('s', ORDER, {'state': 'done', 'target': 'v2', 'startedMs': 5}),
    entry('r', MEMBER),
    entry('main', standins.configuration()),
]
PAGE = {'entries': ENTRIES, 'hasMore': True, 'currentRev': 7}
EVENTS = {
    'events': [{'object': each, 'deleted': False} for each in ENTRIES],
    'currentRev': 7,
}
STORED = {
    'kind': 'Endpoint',
    'name': 'e',
    'spec': {'host': 'h', 'port': 80, 'failure_domain': 'a'},
    'revision': 3,
    'schema_version': 1,
}
CHANGE = {'type': 'put', 'revision': 3, 'object': STORED}
OUTCOME = {
    'service': 's',
    'target': 'v2',
    'created': 1,
    'endpoint': 'e',
    'criterion': 'head',
    'is_hit': True,
    'log_ratio': 0.5,
}
EXPOSURE = {
    'service': 's',
    'target': 'v2',
    'created': 1,
    'exposure': {'requests': 3, 'exposed': 1},
}
LOAD = {
    'running': 1,
    'waiting': 2,
    'capacity': 8,
    'leaving': False,
    'versions': ['m@1'],
    'role': '',
}
CHOICE = {'message': {'content': 'x'}, 'delta': {'content': 'x'}}
USAGE = {'prompt_tokens': 3, 'completion_tokens': 4}


@dataclasses.dataclass(frozen=True)
class Decoder:
    """A decoder under test.

    :param documents: JSON values that are valid.
    :param errors: the exceptions that it documents.
    """

    decode: object
    documents: tuple
    errors: tuple


DECODERS = registry.Registry('decoder')


def decoder(name, *documents, raises=()):
    """Return a decorator that registers a decoder with its properties."""

    def decorate(function):
        DECODERS.register(name)(Decoder(function, documents, raises))
        return function

    return decorate


MALFORMED = (msgspec.DecodeError,)


@decoder('store: object', *ENTRIES, raises=MALFORMED)
def decode_store_object(body):
    read_all(DIALECT.decode_object('servers', body))


@decoder('store: page', PAGE, raises=MALFORMED)
def decode_store_page(body):
    read_all(*DIALECT.decode_page('servers', body).items)


@decoder('store: list', PAGE, raises=MALFORMED)
def decode_store_list(body):
    read_all(*DIALECT.decode_list('servers', body).items)


@decoder('store: changes', EVENTS, raises=MALFORMED)
def decode_store_changes(body):
    found = DIALECT.decode_changes('servers', body)
    read_all(*(change.object for change in found.changes))


def read_all(*found):
    """Read objects as every kind, and encode them for other routers."""
    for stored in found:
        for read in (
            records.read_runner,
            records.read_order,
            records.read_member,
            records.read_configuration,
        ):
            outcome = read(stored)
            if outcome.is_ok():
                check_runner(outcome.unwrap())
    routers.encode(found)


def check_runner(found):
    if hasattr(found, 'slots'):
        assert 1 <= found.port <= 65535
        assert 1 <= found.slots
        assert math.isfinite(found.started_at)


@decoder('objects: object', STORED, raises=MALFORMED)
def decode_object(body):
    read_catalog(objects.ObjectDialect().decode_object('', body))


@decoder('objects: list', {'items': [STORED], 'revision': 7}, raises=MALFORMED)
def decode_list(body):
    for stored in objects.ObjectDialect().decode_list('', body).items:
        read_catalog(stored)


@decoder('objects: change', CHANGE, raises=MALFORMED)
def decode_change(body):
    change = client.decode_change('', body)
    if change.object is not None:
        read_catalog(change.object)


def read_catalog(stored):
    catalog_records.read(stored)
    objects.encode(stored)


@decoder(
    'objects: hosts',
    {'items': [{'name': 'h', 'address': 'a', 'state': 'live'}]},
    raises=MALFORMED,
)
def decode_hosts(body):
    client.decode_hosts('Host', body)


@decoder(
    'routers: list',
    {'items': [STORED], 'revision': 7, 'confirmed_seconds': 0.1},
    raises=MALFORMED,
)
def decode_router_list(body):
    page = routers.RouterDialect().decode_page('servers', body)
    routers.encode(page.items)


@decoder(
    'routers: changes',
    {
        'changes': [CHANGE],
        'revision': 7,
        'confirmed_seconds': 0.1,
        'away_seconds': 3.0,
    },
    raises=MALFORMED,
)
def decode_router_changes(body):
    found = routers.RouterDialect().decode_changes('servers', body)
    routers.encode(found.changes)
    assert 0 <= found.revision < 2**63


@decoder('routers: evidence', {'exposures': [EXPOSURE], 'outcomes': [OUTCOME]})
def decode_evidence(body):
    report = routers.parse_request('/evidence', body)
    if report is not None:
        decoding.check_bounds(report)


@decoder('routers: request', 'x')
def decode_router_request(body):
    text = body.decode('latin-1')
    routers.parse_request(f'/changes/servers?since={text}&wait={text}')


@decoder('endpoints: load', LOAD, raises=(errors.ProtocolError,))
def decode_load(body):
    report = management.decode_load(body, 'peer')
    assert 0 <= report.running + report.waiting < 2**32
    assert 1 <= max(1, report.capacity) < 2**32


@decoder(
    'endpoints: cache events',
    {'events': [{'number': 1, 'type': 'stored', 'prefix': 'af'}]},
    raises=(errors.ProtocolError,),
)
def decode_cache_events(body):
    for event in management.decode_cache_events(body, 'peer').events:
        int(event.prefix, 16)
        assert 0 <= event.number < 2**63


@decoder(
    'endpoints: order refusal', {'fence': 3}, raises=(errors.ProtocolError,)
)
def decode_refusal(body):
    assert 0 <= management.decode_refusal(body, 'peer').fence < 2**63


@decoder(
    'endpoints: answer',
    {'choices': [CHOICE], 'usage': USAGE},
    raises=MALFORMED,
)
def decode_answer(body):
    answer = endpoints.decode_answer(body)
    check_usage(answer.usage)
    assert isinstance(answer.text(), str)


@decoder(
    'endpoints: event', {'choices': [CHOICE], 'usage': USAGE}, raises=MALFORMED
)
def decode_event(body):
    event = endpoints.decode_event(body)
    assert isinstance(event.text(), str)
    if event.usage is not None:
        check_usage(event.usage)


@decoder(
    'endpoints: checked event',
    {'choices': [CHOICE], 'error': None},
    raises=(errors.AnswerInvalid,),
)
def check_event_data(body):
    chat_events.check_data(body, 'peer')


def check_usage(usage):
    assert 0 <= usage.prompt_tokens < 2**32
    assert 0 <= usage.completion_tokens < 2**32


@decoder('raters: rating', {'score': 0.5}, raises=MALFORMED)
def decode_rating(body):
    assert 0 <= raters.decode_rating(body).score <= 1


@decoder(
    'callers: chat',
    {
        'model': 'm',
        'messages': [{'role': 'user', 'content': 'x'}],
        'max_tokens': 3,
        'temperature': 0.5,
    },
    raises=(errors.BadInput,),
)
def decode_chat(body):
    request, _ = callers.decode_chat(body, 'peer')
    assert 0 <= request.max_tokens < 2**32


@decoder(
    'operators: log line',
    {'time': '2026-12-04T10:00:00+00:00', 'message': 'm', 'router': 'r'},
)
def decode_log_line(body):
    list(log_lines.parse([body.decode('latin-1')]))


BAD_INPUT = (errors.BadInput,)


@decoder(
    'settings of a router',
    {'value_factor': 3.0, 'metrics_port': 1},
    raises=BAD_INPUT,
)
def decode_router_settings(body):
    tuning = router_settings.parse(body.decode('latin-1'), 'file')
    assert 0 < tuning.metrics_port <= 65535


@decoder(
    'settings of a daemon',
    {'name': 'd', 'failure_domain': 'a', 'timings': {'drain_timeout': 3}},
    raises=BAD_INPUT,
)
def decode_settings(body):
    settings.parse(body.decode('latin-1'), 'file')


SETTINGS = """
nodeName = "front-1"
zone = "a"
ip = "10.0.0.1"
portRange = [7340, 7355]
listen = {front = "10.0.0.1:80", ready = "10.0.0.1:81"}
provider = {address = "10.0.0.9:90", historyS = 20}
limits = {linkMbps = 100}
[bounds]
strictRevoke = true
revokeMs = 5000
graceS = 8
configApplyMs = 2000
drainMs = 2000
contactMs = 3000
retryRatio = 0.9
retryWindowS = 10
retrySlack = 54
"""
VALUES = re.compile(r'"[^"]*"|\[[^]]*\]|\b[0-9.]+\b|true')
ODD_VALUES = (
    '[' * odd_inputs.DEPTH + ']' * odd_inputs.DEPTH,
    '[' * odd_inputs.DEPTH,
    '9' * 400,
    '9' * 5000,
    '-1',
    '0',
    '99999',
    'nan',
    'inf',
    '-inf',
    '1e999',
    'true',
    '""',
    '"\\ud800"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:-1"',
    '2026-12-04T10:00:00',
    '{}',
    '[]',
    '[[]]',
    '"' + 'x' * 5000 + '"',
    '\0',
)


def odd_settings(seed):
    """Return the text of a settings file with one or two odd values."""
    generator = random.Random(seed)
    text = SETTINGS
    for _ in range(generator.choice((1, 2))):
        found = generator.choice(list(VALUES.finditer(text)))
        odd = generator.choice(ODD_VALUES)
        text = text[: found.start()] + odd + text[found.end() :]
    return text


def daemon_messages(seed):
    """Return messages of other daemons with odd content."""
    generator = random.Random(seed)
    odd = functools.partial(
        generator.choice, (0.0, 1.0, -1.0, math.inf, math.nan, 1e308)
    )
    member = exchange_pb2.Member(
        owner='o', port=generator.choice((0, 80, 2**32 - 1)), started_at=odd()
    )
    stored = odd_inputs.mutated(generator, STORED)
    changes = [exchange_pb2.Change(type='put', revision=3, object=stored)]
    run = exchange_pb2.Run(
        version='m@1',
        prompt_tokens=generator.choice((1, 2**64 - 1)),
        cost=odd(),
    )
    bill = exchange_pb2.Bill(request_id='r', runs=[run], finished_at=odd())
    content = generator.choice(
        (
            msgspec.msgpack.encode({'daemon': 'd', 'day': 2**64 - 1}),
            msgspec.msgpack.encode(
                {
                    'daemon': 'd',
                    'customers': [{'customer': 'c', 'rate': odd()}],
                }
            ),
            msgspec.msgpack.encode([{'endpoint': 'e', 'at': odd()}]),
            msgspec.msgpack.encode(
                [{'endpoint': 'e', 'leaving': True, 'at': odd()}]
            ),
            b'\x91' * odd_inputs.DEPTH,
            generator.randbytes(20),
        )
    )
    topic = generator.choice(('demand', 'suspects', 'departures', 'newer'))
    return (
        exchange_pb2.Digest(
            member_ids=[1] * generator.choice((0, 1, 2)),
            counters=[1],
            members=[member],
            confirmed_at=odd(),
            bucket_hashes=[1] * generator.choice((0, 3, 64, 100)),
            bucket_numbers=[generator.choice((1, 63, 64, 2**32 - 1))],
            changes=changes,
        ),
        exchange_pb2.Changes(changes=changes),
        exchange_pb2.Bills(owner='o', bills=[bill]),
        exchange_pb2.Announcements(
            announcements=[
                exchange_pb2.Announcement(
                    topic=topic, source='s', sequence=1, content=content
                )
            ]
        ),
    )


def read_daemon_messages(seed):
    """Read messages of other daemons; only the documented error passes."""
    readers = (
        daemons.read_digest,
        daemons.read_changes,
        daemons.read_bills,
        daemons.read_announcements,
    )
    for read, message in zip(readers, daemon_messages(seed), strict=True):
        try:
            found = read(message)
        except errors.ProtocolError:
            continue
        decoding.check_bounds(found)


SEEDS = strategies.integers(0, 2**64 - 1)
RUN = hypothesis.settings(
    max_examples=odd_inputs.EXAMPLES,
    derandomize=odd_inputs.EXAMPLES <= odd_inputs.SHORT_EXAMPLES,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestDecoders:
    """Guards against input that ends a task or passes its bounds."""

    @pytest.mark.parametrize('name', DECODERS.entries)
    def test_only_documented_errors_are_raised(self, name):
        found = DECODERS.get(name)

        @RUN
        @hypothesis.given(odd_inputs.bodies(*found.documents))
        def check(body):
            try:
                found.decode(body)
            except found.errors:
                return

        check()

    @pytest.mark.parametrize('name', DECODERS.entries)
    def test_valid_documents_are_read(self, name):
        found = DECODERS.get(name)
        for document in found.documents:
            found.decode(msgspec.json.encode(document))

    @RUN
    @hypothesis.given(SEEDS)
    def test_messages_of_daemons(self, seed):
        read_daemon_messages(seed)

    @RUN
    @hypothesis.given(SEEDS)
    def test_settings_files_of_the_platform(self, seed):
        try:
            placement = settings_file.parse(odd_settings(seed), 9464, 'file')
        except errors.BadInput:
            return
        for address in (placement.callers, placement.store):
            assert 0 < address.port <= 65535
        for value in dataclasses.astuple(placement.bounds)[1:]:
            assert math.isfinite(value)


class TestMemory:
    """Guards against odd input whose traces stay in memory."""

    # One block for each tenth input.
    MAX_GROWTH_BLOCKS = 1_000

    def test_memory_does_not_grow_over_10000_inputs(self):
        self.feed(range(1_000))
        before = self.allocated_blocks()
        self.feed(range(1_000, 11_000))
        assert self.allocated_blocks() - before < self.MAX_GROWTH_BLOCKS

    def allocated_blocks(self):
        """Return the number of memory blocks that are in use."""
        gc.collect()
        return sys.getallocatedblocks()

    def feed(self, seeds):
        """Decode one input for each seed, by the decoders in turn."""
        names = list(DECODERS.entries)
        for seed in seeds:
            generator = random.Random(seed)
            found = DECODERS.get(names[seed % len(names)])
            document = generator.choice(found.documents)
            try:
                found.decode(odd_inputs.mutated(generator, document))
            except found.errors:
                continue
