"""The newest revision of each object, and the catalog built from them."""

import types

import curio

from celeryward import catalog
from celeryward import logs
from celeryward.objects import ignored
from celeryward.objects import protocol
from celeryward.objects import records

CATALOG_FIELD_BY_KIND = {
    'Customer': 'customers',
    'ModelVersion': 'versions',
    'Cascade': 'cascades',
    'Rollout': 'rollouts',
    'Service': 'services',
    'Endpoint': 'endpoints',
    'ServiceLevel': 'service_levels',
}


class ConfigurationStore:
    """Keeps the newest revision of each object, and tombstones.

    Changes arrive from watches, lists (which can lag) and peers, in any
    order. An older revision never replaces a newer one, so that the
    configuration can't revert.

    ``confirmed_at`` is the time in UTC seconds at which the platform last
    confirmed that this configuration is its newest, 0.0 before the first
    time. The age of the configuration is computed from it.
    """

    def __init__(self, ignored_entries=None):
        self.ignored = ignored_entries or ignored.IgnoredEntries()
        self.latest_changes = {}
        self.revisions = {}
        self.entries = {field: {} for field in CATALOG_FIELD_BY_KIND.values()}
        self.revision = 0
        self.snapshot = catalog.Catalog()
        self.listeners = []
        self.confirmed_at = 0.0
        self.confirmed = curio.UniversalEvent()

    def catalog(self):
        """Return the catalog in force."""
        return self.snapshot

    def accept(self, changes):
        """Apply the changes that are newer than the stored revisions.

        :param changes: iterable of :class:`protocol.Change`.
        :returns: the list of changes that were newer.
        """
        accepted = [change for change in changes if self.accept_one(change)]
        if accepted:
            self.rebuild()
            for listener in self.listeners:
                listener(accepted)
        return accepted

    def confirm(self, confirmed_at):
        """Record when the platform confirmed the configuration."""
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.confirmed.set()

    def accept_list(self, kind, listed):
        """Apply a complete list of a kind and the deletions it implies.

        An object that is absent from the list was deleted if its stored
        revision is older than the list. A list that lags can be older than
        the object; it then doesn't show whether the object was deleted.

        :param protocol.ObjectList listed: all objects of the kind.
        """
        for fault in listed.faults:
            self.ignored.record(kind, '', fault)
        names = {stored.name for stored in listed.items}
        # An entry without a readable name may be any of those that are absent.
        deleted = (
            []
            if listed.faults
            else [
                protocol.Change('delete', listed.revision, change.object)
                for change in self.latest_changes.values()
                if change.object.kind == kind
                and change.type != 'delete'
                and change.object.name not in names
                and change.revision < listed.revision
            ]
        )
        puts = [
            protocol.Change('put', stored.revision, stored)
            for stored in listed.items
        ]
        return self.accept(puts + deleted)

    def accept_one(self, change):
        """Apply one change; return whether it was newer."""
        self.revision = max(self.revision, change.revision)
        stored = change.object
        if stored is None:
            return False
        if change.revision <= self.revisions.get(stored.key, 0):
            return False
        if change.type != 'delete' and isinstance(
            stored, protocol.UnreadableObject
        ):
            self.ignored.record(stored.kind, stored.name, stored.fault)
            return False
        self.revisions[stored.key] = change.revision
        self.latest_changes[stored.key] = change
        if stored.kind not in CATALOG_FIELD_BY_KIND:
            # Sent by a daemon of a newer release. It is stored and relayed
            # without being decoded, so that daemons of both releases have
            # the same revisions.
            return True
        entries = self.entries[CATALOG_FIELD_BY_KIND[stored.kind]]
        if change.type == 'delete':
            entries.pop(stored.name, None)
            return True
        read = records.read(stored)
        if read.is_ok():
            entries[stored.name] = read.unwrap()
        else:
            # The last valid revision stays in the catalog: a record that
            # this release can't decode must not remove a customer or an
            # endpoint.
            logs.bind_error(read.unwrap_err()).error(
                'record ignored: {}', read.unwrap_err().message
            )
        return True

    def rebuild(self):
        """Replace the catalog with one built from the newest revisions."""
        self.snapshot = catalog.Catalog(
            revision=self.revision,
            **{
                field: types.MappingProxyType(dict(entries))
                for field, entries in self.entries.items()
            },
        )
