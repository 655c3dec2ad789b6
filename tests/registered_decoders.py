"""The decoders of what other programs have written, with valid documents."""

import dataclasses
import math

from adapter import records
from adapter import store
import msgspec

from celeryward.callers import protocol as callers
from celeryward import decoding
from celeryward.endpoints import chat_events
from celeryward.endpoints import crash_reports
from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
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
from celeryward.routers import crash_protocol
from celeryward.routers import protocol as routers
from celeryward import settings
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
            records.read_drain,
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
    'routers: crash report',
    {
        'sender': 'r',
        'crashes': [
            {
                'endpoint': 'e',
                'started_at': 1.0,
                'service': 's',
                'age_seconds': 2.0,
                'requests': [{'fingerprint': 'f', 'parts': ['p']}],
                'is_trial': True,
            }
        ],
        'cleared': [{'service': 's', 'trait': 'p', 'age_seconds': 1.0}],
        'trials': [{'service': 's', 'traits': ['p'], 'age_seconds': 1.0}],
        'next': 3,
    },
    raises=MALFORMED,
)
def decode_crash_report(body):
    report = crash_protocol.read_report(body)
    found = crash_reports.read_evidence(report, 10000.0)
    assert all(6400.0 <= each.at <= 10000.0 for each in found)
    harmful = harmful_requests.HarmfulRequests(clock=lambda: 10000.0)
    for crash in found:
        if isinstance(crash, crashes.Crash):
            harmful.record_crash(crash)


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
