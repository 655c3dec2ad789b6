"""Records, their schema versions, and the configuration made of them."""

from celeryward.objects import configuration
from celeryward.objects import editing
from celeryward.objects import protocol
from celeryward.objects import records


def make_stored(kind, name, spec, schema_version=1, revision=1):
    return protocol.StoredObject(
        kind, name, spec, revision=revision, schema_version=schema_version
    )


class TestSchemaVersions:
    """Guards against misread records of another schema version."""

    def test_old_customer_is_upgraded(self):
        spec = {'allowed': ['m'], 'requests_per_s': 3}
        customer = records.read(make_stored('Customer', 'a', spec)).unwrap()
        assert customer.limits.requests_per_s == 3.0

    def test_old_and_new_model_version_read_alike(self):
        base = {'model': 'm', 'version': '1'}
        old = make_stored('ModelVersion', 'm@1', {**base, 'token_cost': 2})
        costs = {'prompt_cost': 2, 'answer_cost': 2}
        new = make_stored('ModelVersion', 'm@1', {**base, **costs}, 2)
        assert records.read(old) == records.read(new)

    def test_newer_record_is_read_by_its_known_fields(self):
        spec = {'allowed': ['m'], 'invented_later': 1}
        read = records.read(make_stored('Customer', 'a', spec, 9))
        assert read.unwrap().allowed == ('m',)

    def test_unknown_field_of_a_known_version_is_refused(self):
        read = records.read(make_stored('Customer', 'a', {'alowed': []}, 2))
        assert 'spec.alowed' in read.unwrap_err().message


class TestEditing:
    """Guards against an update that loses fields of another version."""

    def test_old_writer_keeps_fields_it_does_not_know(self):
        limits = {'requests_per_s': 1, 'concurrent': 2, 'later': 9}
        before = make_stored('Customer', 'a', {'limits': limits, 'new': 3}, 9)
        declared = make_stored('Customer', 'a', {'requests_per_s': 5}, 1)
        written = editing.build_update(before, declared, oldest_reader=2)
        assert written.schema_version == 9
        assert written.spec == {
            'limits': {'requests_per_s': 5, 'concurrent': 2, 'later': 9},
            'new': 3,
        }

    def test_new_writer_adds_fields_for_old_readers(self):
        spec = {'limits': {'requests_per_s': 7}}
        declared = make_stored('Customer', 'a', spec, 2)
        written = editing.build_update(None, declared, oldest_reader=1)
        old_reader = records.TYPE_ADAPTERS['Customer', 1]
        known = records.readable_fields(written, 1)
        assert old_reader.validate_python(known).requests_per_s == 7
        customer = records.read(written).unwrap()
        assert customer.limits.requests_per_s == 7

    def test_same_version_removes_an_omitted_field(self):
        before = make_stored(
            'Customer', 'a', {'allowed': ['m'], 'priority': 4}, 2
        )
        declared = make_stored('Customer', 'a', {'allowed': ['n']}, 2)
        written = editing.build_update(before, declared, oldest_reader=2)
        assert written.spec == {'allowed': ['n']}

    def test_newer_writer_upgrades_the_stored_fields(self):
        before = make_stored(
            'Customer', 'a', {'requests_per_s': 4, 'kept': 1}, 1
        )
        declared = make_stored('Customer', 'a', {'priority': 1}, 2)
        written = editing.build_update(before, declared, oldest_reader=2)
        assert written.spec == {'kept': 1, 'priority': 1}


class TestConfigurationStore:
    """Guards against a configuration that reverts."""

    def make_change(self, revision, rate, type_='put'):
        spec = {'requests_per_s': rate}
        record = make_stored('Customer', 'a', spec, revision=revision)
        return protocol.Change(type_, revision, record)

    def test_older_revision_never_replaces_a_newer_one(self):
        store = configuration.ConfigurationStore()
        store.accept([self.make_change(5, 50.0)])
        assert store.accept([self.make_change(4, 40.0)]) == []
        limits = store.catalog().customers['a'].limits
        assert limits.requests_per_s == 50.0

    def test_late_change_does_not_restore_a_deleted_object(self):
        store = configuration.ConfigurationStore()
        store.accept(
            [self.make_change(5, 1.0), self.make_change(6, 1.0, 'delete')]
        )
        store.accept([self.make_change(5, 1.0)])
        assert store.catalog().customers == {}

    def test_malformed_revision_keeps_the_last_valid_one(self):
        store = configuration.ConfigurationStore()
        store.accept([self.make_change(5, 50.0)])
        store.accept([self.make_change(6, -1.0)])
        assert 'a' in store.catalog().customers
