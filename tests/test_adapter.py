"""The adapter of the users' platform; no test uses a network."""

import dataclasses
import pathlib
import platform
import subprocess
import sys

from adapter import messages
from adapter import records
from adapter import settings_file
from adapter import store
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from celeryward import deadlines
from celeryward.endpoints import forwarding
from celeryward.endpoints import runners
from celeryward import errors
from celeryward import http
from celeryward.objects import protocol
from celeryward import router_settings
from tests import platform_standins as standins

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS = """
nodeName = "front-1"
zone = "a"
ip = "10.0.0.1"
portRange = [7340, 7355]
later = "unknown"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
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
[provider]
address = "10.0.0.9:90"
historyS = 20
"""

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-10, 10**6)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def stored(spec, status=None, name='main'):
    return protocol.StoredObject(
        'kind', name, spec, 3, status=status or {}, created=2
    )


class TestFolder:
    """Guards against a folder that shadows the standard module platform."""

    def test_folder_does_not_shadow_the_standard_module(self):
        assert hasattr(platform, 'system')
        assert not (ROOT / 'platform' / '__init__.py').exists()

    def test_started_program_imports_the_standard_module(self):
        code = (
            'import sys, runpy; sys.argv = ["platform/run.py"];'
            'sys.path.insert(0, "platform");'
            'runpy.run_path("platform/run.py", run_name="x");'
            'import platform; platform.system()'
        )
        subprocess.run([sys.executable, '-c', code], cwd=ROOT, check=True)

    def test_product_contains_no_names_of_the_platform(self):
        names = ('celeryward-', 'apikeys', 'pathprefix', 'coldleftms')
        for path in (ROOT / 'celeryward').rglob('*.py'):
            text = path.read_text('utf-8').lower()
            assert not [name for name in names if name in text], path


class TestSettingsFile:
    """Guards against settings that are misread, and errors without a cause."""

    def test_fields_become_a_placement(self, tmp_path):
        path = tmp_path / 'boot.toml'
        path.write_text(SETTINGS)
        placement = settings_file.load(path, 9000)
        assert placement.callers == router_settings.Address('10.0.0.1', 80)
        assert placement.store.port == 90
        assert placement.bounds.revoked_key_seconds == 5.0
        assert placement.bounds.domain_drain_seconds == 0.0

    def test_bound_on_drains_enables_them(self, tmp_path):
        path = tmp_path / 'boot.toml'
        bound = 'graceS = 8\nevacuateMs = 5000'
        path.write_text(SETTINGS.replace('graceS = 8', bound))
        placement = settings_file.load(path, 9000)
        assert placement.bounds.domain_drain_seconds == 5.0

    @pytest.mark.parametrize(
        ('before', 'after', 'named'),
        [
            ('zone = "a"', '', 'zone'),
            ('10.0.0.1:80', 'nowhere', 'nowhere'),
            ('historyS', 'other', 'historyS'),
            ('[listen]', '[listen', 'boot.toml'),
            ('10.0.0.1:80', '10.0.0.1:99999', 'from 1 to 65535'),
            ('[7340, 7355]', '[0]', 'from 1 to 65535'),
            ('graceS = 8', 'graceS = nan', 'graceS'),
            ('graceS = 8', 'graceS = -8', 'graceS'),
            ('drainMs = 2000', 'drainMs = 1e999', 'drainMs'),
            ('graceS = 8', 'graceS = 8\nevacuateMs = 0', 'evacuateMs'),
            ('graceS = 8', 'graceS = 8\nevacuateMs = "5"', 'evacuateMs'),
            ('strictRevoke = true', 'strictRevoke = "no"', 'boolean'),
            ('"unknown"', '[' * 3000 + ']' * 3000, 'boot.toml'),
            ('"unknown"', '9' * 5000, 'boot.toml'),
        ],
    )
    def test_error_names_the_fault(self, tmp_path, before, after, named):
        path = tmp_path / 'boot.toml'
        path.write_text(SETTINGS.replace(before, after))
        with pytest.raises(errors.BadInput, match=named):
            settings_file.load(path, 9000)


class TestTuning:
    """Guards against tuning that is ignored or out of range."""

    def test_shipped_file_is_valid(self):
        tuning = router_settings.load(ROOT / 'deploy' / 'router.yaml')
        assert tuning.value_factor > 0

    def test_operations_page_lists_every_key_with_its_default(self):
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text('utf-8')
        for field in dataclasses.fields(router_settings.Tuning):
            assert f'| `{field.name}` | {field.default} |' in page

    @pytest.mark.parametrize(
        ('text', 'named'),
        [
            ('odd: 1', 'odd'),
            ('key_reserve: soon', 'key_reserve'),
            ('connect_timeout: -1.0', 'connect_timeout'),
            ('[', 'file'),
            ('- 1', 'file'),
            ('a: ' + '[' * 3000, 'file'),
            ('metrics_port: ' + '9' * 5000, 'file'),
            ('metrics_port: 99999', 'metrics_port'),
            ('log_level: LOUD', 'log_level'),
            ('value_factor: .nan', 'file'),
            ('&a [*a, *a]', 'file'),
        ],
    )
    def test_error_names_the_fault(self, text, named):
        with pytest.raises(errors.BadInput, match=named):
            router_settings.parse(text, 'file')


class TestRecords:
    """Guards against objects of other writers that make a router fail."""

    @hypothesis.given(JSON)
    def test_arbitrary_spec_is_ignored(self, spec):
        spec = spec if isinstance(spec, dict) else {'x': spec}
        assert records.read_runner(stored(spec)).is_err()
        assert records.read_configuration(stored(spec)).is_err()
        assert records.read_order(stored(spec)).is_err()
        assert records.read_member(stored(spec)).is_err()

    @hypothesis.given(
        strategies.sampled_from(
            ['service', 'address', 'zone', 'version', 'slots', 'state']
        ),
        JSON,
    )
    def test_field_of_any_type_never_raises(self, name, value):
        entry = standins.RunnerStandIn('r')
        entry.listener.sock = None
        spec = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
        }
        runner = records.read_runner(stored(spec | {name: value}))
        assert runner.is_err() or isinstance(runner.unwrap(), runners.Runner)

    def test_invalid_entry_does_not_hide_the_others(self):
        entries = [
            {'meta': {'name': 'a', 'revision': 1, 'created': 1}, 'spec': 'x'},
            {'meta': {'name': 'b', 'revision': 2, 'created': 1}, 'spec': {}},
        ]
        body = msgspec.json.encode({'entries': entries, 'currentRev': 2})
        page = store.StoreDialect().decode_page('servers', body)
        assert [item.name for item in page.items] == ['a', 'b']

    def test_restart_under_the_same_id_has_another_key(self):
        spec = {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'born': 1000,
        }
        first = records.read_runner(stored(spec)).unwrap()
        second = records.read_runner(stored(spec | {'born': 2000})).unwrap()
        assert first.key != second.key


class TestDialect:
    """Guards against malformed responses of the store."""

    @hypothesis.given(JSON)
    def test_malformed_body_is_a_decode_error(self, value):
        body = msgspec.json.encode(value)
        dialect = store.StoreDialect()
        for decode in (
            dialect.decode_object,
            dialect.decode_page,
            dialect.decode_changes,
        ):
            with pytest.raises(msgspec.DecodeError):
                decode('kind', body)

    def test_encoded_object_is_decoded_unchanged(self):
        written = dataclasses.replace(stored({'a': 1}), status={'b': 2})
        body = store.StoreDialect().encode(written)
        decoded = store.StoreDialect().decode_object('kind', body)
        assert decoded == written


class TestMessages:
    """Guards against requests that are misread."""

    @pytest.mark.parametrize(
        'headers',
        [
            {'celeryward-attempt-id': ''},
            {'celeryward-deadline-ms': '-5'},
            {'celeryward-token-usage': 'many,few'},
            {'celeryward-prompt-prefix': 'aa:x'},
            {'last-event-id': '1.5'},
        ],
    )
    def test_malformed_number_is_bad_input(self, headers):
        headers = {'celeryward-attempt-id': 'r', **headers}
        with pytest.raises(errors.BadInput):
            messages.read_request(http.Request('GET', '/', headers))

    def test_hop_by_hop_headers_are_not_forwarded(self):
        lines = (
            (b'Host', b'h'),
            (b'Connection', b'close, X-Hop'),
            (b'X-Hop', b'1'),
            (b'X-Kept', b'2'),
            (b'Keep-Alive', b'timeout=3'),
        )
        head = http.Request('GET', '/', {}, lines)
        deadline = deadlines.Deadline.after(1.0)
        forwarded = forwarding.ForwardedRequest(
            head, b'', 'r', '', '', 5, deadline, deadline, 1.0, 1.0
        )
        runner = runners.Runner('r1', 's', '10.0.0.1', 80, 'a')
        names = [
            name
            for name, _ in messages.request_header_lines(forwarded, runner)
        ]
        assert b'X-Kept' in names
        assert not {b'X-Hop', b'Connection', b'Keep-Alive'} & set(names)


class TestConfidence:
    """Guards against an answer that is lost for its malformed confidence."""

    @pytest.mark.parametrize(
        ('text', 'found'),
        (
            ('70', 0.7),
            ('\u00b2', None),
            ('7.5', None),
            ('-1', None),
            ('', None),
            ('0100', 1.0),
            ('101', None),
            ('9' * 400, None),
            ('9' * 5000, None),
        ),
    )
    def test_only_whole_numbers_are_read(self, text, found):
        """A superscript digit, or thousands of digits, raised an error."""
        head = http.Response(200, {messages.CONFIDENCE: text})
        assert messages.read_response(head).confidence == found
