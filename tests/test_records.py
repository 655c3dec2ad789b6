"""Declared records and their schema versions."""

from celeryward.platform import configuration
from celeryward.platform import protocol
from celeryward.platform import records


def stored(kind, name, spec, schema_version=1, revision=1):
    return protocol.StoredObject(
        kind, name, spec, revision=revision, schema_version=schema_version
    )


class TestSchemaVersions:
    """Guards against records of another schema version being misread."""

    def test_old_customer_is_upgraded(self):
        spec = {'allowed': ['m'], 'requests_per_s': 3}
        customer = records.read(stored('Customer', 'a', spec)).unwrap()
        assert customer.limits.requests_per_s == 3.0

    def test_old_and_new_model_version_read_alike(self):
        base = {'model': 'm', 'version': '1'}
        old = stored('ModelVersion', 'm@1', {**base, 'token_cost': 2})
        costs = {'prompt_cost': 2, 'answer_cost': 2}
        new = stored('ModelVersion', 'm@1', {**base, **costs}, 2)
        assert records.read(old) == records.read(new)

    def test_newer_record_is_read_by_its_known_fields(self):
        spec = {'allowed': ['m'], 'invented_later': 1}
        read = records.read(stored('Customer', 'a', spec, 9))
        assert read.unwrap().allowed == ('m',)

    def test_unknown_field_of_a_known_version_is_refused(self):
        read = records.read(stored('Customer', 'a', {'alowed': []}, 2))
        assert 'spec.alowed' in read.unwrap_err().message

    def test_merge_keeps_fields_of_a_newer_writer(self):
        spec = {'limits': {'later': 1, 'concurrent': 2}, 'also_later': 3}
        merged = records.merge(spec, {'limits': {'concurrent': 5}})
        assert merged == {
            'limits': {'later': 1, 'concurrent': 5},
            'also_later': 3,
        }


class TestConfigurationStore:
    """Guards against a configuration that reverts."""

    def change(self, revision, rate, type_='put'):
        spec = {'requests_per_s': rate}
        record = stored('Customer', 'a', spec, revision=revision)
        return protocol.Change(type_, revision, record)

    def test_older_revision_never_replaces_a_newer_one(self):
        store = configuration.ConfigurationStore()
        store.accept([self.change(5, 50.0)])
        assert store.accept([self.change(4, 40.0)]) == []
        limits = store.catalog().customers['a'].limits
        assert limits.requests_per_s == 50.0

    def test_late_list_does_not_bring_back_a_deleted_object(self):
        store = configuration.ConfigurationStore()
        store.accept([self.change(5, 1.0), self.change(6, 1.0, 'delete')])
        store.accept([self.change(5, 1.0)])
        assert store.catalog().customers == {}

    def test_unreadable_revision_keeps_the_last_readable_one(self):
        store = configuration.ConfigurationStore()
        store.accept([self.change(5, 50.0)])
        store.accept([self.change(6, -1.0)])
        assert 'a' in store.catalog().customers
