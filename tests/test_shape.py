"""Rules on the structure of the code that can be checked automatically."""

import ast
import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parent.parent / 'celeryward'
ADAPTER = PACKAGE.parent / 'platform'
CODECS = {'google', 'grpclib', 'h11', 'msgspec'}
DECISION_MODULES = (
    'calls.py',
    'closings.py',
    'connection_limits.py',
    'ingress.py',
    'callers/accounting.py',
    'callers/admission.py',
    'callers/router_admission.py',
    'callers/demand.py',
    'callers/relayed_requests.py',
    'callers/kept_requests.py',
    'callers/keys.py',
    'callers/limits.py',
    'callers/endpoint_timeouts.py',
    'callers/escalation.py',
    'callers/idle_timeout.py',
    'callers/replacements.py',
    'callers/retry_control.py',
    'callers/version_selection.py',
    'callers/planning.py',
    'callers/queues.py',
    'callers/resumption.py',
    'callers/sessions.py',
    'daemons/gossip.py',
    'daemons/inventory.py',
    'daemons/membership.py',
    'daemons/topics.py',
    'endpoints/answer_origin.py',
    'endpoints/candidates.py',
    'endpoints/closures.py',
    'endpoints/departures.py',
    'endpoints/drains.py',
    'endpoints/fingerprints.py',
    'endpoints/held_evidence.py',
    'endpoints/liveness.py',
    'endpoints/load.py',
    'endpoints/notices.py',
    'endpoints/prefixes.py',
    'endpoints/survival.py',
    'endpoints/orders.py',
    'endpoints/outcomes.py',
    'endpoints/ranking.py',
    'endpoints/runners.py',
    'endpoints/selection.py',
    'endpoints/reopening.py',
    'endpoints/retries.py',
    'endpoints/warm_up_shares.py',
    'endpoints/warm_up_states.py',
    'endpoints/warm_ups.py',
    'operators/burn.py',
    'operators/report.py',
    'operators/windows.py',
    'objects/batches.py',
    'objects/billing.py',
    'objects/claims.py',
    'objects/configuration.py',
    'objects/confirmations.py',
    'objects/freshness.py',
    'objects/ignored.py',
    'objects/leases.py',
    'objects/receivers.py',
    'objects/replicas.py',
    'raters/cascades.py',
    'raters/estimates.py',
    'raters/evidence.py',
    'raters/quality.py',
    'raters/releases.py',
    'raters/rollouts.py',
    'raters/sizes.py',
    'routers/members.py',
    'routers/change_log.py',
    'routers/departure_news.py',
    'routers/pacing.py',
)


def imported_packages(path):
    """Yield the top-level package of each imported module."""
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.partition('.')[0]
        elif isinstance(node, ast.ImportFrom):
            yield node.module.partition('.')[0]


class TestDecisionModules:
    """Guards against decision modules that depend on an encoding."""

    @pytest.mark.parametrize('name', DECISION_MODULES)
    def test_decisions_import_no_codec(self, name):
        assert CODECS.isdisjoint(imported_packages(PACKAGE / name))


class TestDataClasses:
    """Guards against mutable data classes."""

    def test_every_data_class_is_frozen(self):
        mutable = [
            f'{path.name}:{node.name}'
            for folder in (PACKAGE, ADAPTER)
            for path in folder.rglob('*.py')
            for node in ast.walk(ast.parse(path.read_text('utf-8')))
            if isinstance(node, ast.ClassDef)
            for decorator in node.decorator_list
            if 'dataclass' in ast.unparse(decorator)
            and 'frozen=True' not in ast.unparse(decorator)
        ]
        assert mutable == []


class TestDesignPage:
    """Guards against a module table that differs from the code."""

    def test_table_names_exactly_the_modules(self):
        page = PACKAGE.parent.joinpath('docs/design.md').read_text('utf-8')
        rows = re.findall(r'^\| `celeryward\.(\w+)` \|(.*)$', page, re.M)
        assert len(rows) == 8
        for package, row in rows:
            named = set(re.findall(r'`(\w+)`', row))
            present = {
                path.stem
                for path in PACKAGE.joinpath(package).glob('*.py')
                if not path.stem.startswith(('__', 'exchange_'))
            }
            assert named == present, package
