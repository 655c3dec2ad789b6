"""The generated reference of all settings."""

import pathlib

import pytest

from celeryward import errors
from celeryward.operators import cli
from celeryward.operators import reference
from celeryward import settings

SETTINGS_PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'


def keys_with_rows():
    """Return the keys that have a row in the reference."""
    lines = reference.render().splitlines()
    return {line.split('`')[1] for line in lines if line.startswith('| `')}


def leaf_keys(values, prefix=''):
    """Yield the path of each value in nested dictionaries."""
    for name, value in values.items():
        if isinstance(value, dict):
            yield from leaf_keys(value, f'{prefix}{name}.')
        else:
            yield f'{prefix}{name}'


class TestReference:
    """Guards against a page that differs from the settings in the code."""

    def test_page_is_what_the_command_prints(self, capsys):
        with pytest.raises(SystemExit) as ended:
            cli.main(['settings'])
        assert ended.value.code == cli.EXIT_OK
        assert capsys.readouterr().out == SETTINGS_PAGE.read_text(
            encoding='utf-8'
        )

    def test_every_setting_has_a_row(self):
        parsed = settings.parse(
            'name: daemon-1\nfailure_domain: domain-1\nraters: {}\n', 'a.yaml'
        )
        expected = set(leaf_keys(settings.ADAPTER.dump_python(parsed)))
        assert expected - keys_with_rows() == set()

    def test_keys_of_optional_and_listed_objects_have_rows(self):
        expected = {'raters.port', 'seeds[].host', 'seeds[].port'}
        assert expected - keys_with_rows() == set()

    def test_undescribed_constraint_raises_an_error(self):
        with pytest.raises(errors.BadInput, match='multipleOf'):
            reference.describe_constraints(
                {'type': 'integer', 'multipleOf': 2}
            )

    def test_pipes_in_a_pattern_are_escaped(self):
        row = reference.Row('log.level', 'string', '`"A"`', 'matches `A|B`')
        assert row.to_markdown().count(' | ') == 3
        assert 'A\\|B' in row.to_markdown()
