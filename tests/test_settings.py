"""Settings files of daemons."""

import pytest

from celeryward import errors
from celeryward import settings

MINIMAL = 'name: daemon-1\nfailure_domain: domain-1\n'


class TestSettings:
    """Guards against invalid settings files that are accepted."""

    def test_defaults_complete_a_minimal_file(self):
        parsed = settings.parse(MINIMAL, 'a.yaml')
        assert parsed.name == 'daemon-1'
        assert parsed.timings.probe_interval == 2.0

    def test_all_errors_are_reported_at_once(self):
        text = 'name: UPPER\ncallers: {port: 70000}\nnmae: x\n'
        with pytest.raises(errors.BadInput) as raised:
            settings.parse(text, 'a.yaml')
        message = raised.value.message
        assert 'a.yaml: name: value' in message
        assert 'a.yaml: failure_domain: required' in message
        assert 'a.yaml: callers.port: value 70000' in message
        assert 'a.yaml: nmae: unknown key' in message

    @pytest.mark.parametrize('text', ['', '[', '- a', 'name: [1]'])
    def test_malformed_documents_are_bad_input(self, text):
        with pytest.raises(errors.BadInput):
            settings.parse(text, 'a.yaml')

    def test_a_missing_file_is_bad_input(self, tmp_path):
        with pytest.raises(errors.BadInput, match='absent.yaml'):
            settings.load(tmp_path / 'absent.yaml')
