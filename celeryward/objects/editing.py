"""Updates of stored records that keep the fields of other schema versions."""

import dataclasses

from celeryward.objects import records


def build_update(stored, declared, oldest_reader):
    """Return the object to write for a declared record.

    :param protocol.StoredObject stored: the stored object; None if there is
        none yet.
    :param protocol.StoredObject declared: a valid record.
    :param int oldest_reader: newest schema version that the oldest reader
        knows; fields for this reader are added to those of the newer
        version.
    """
    kind = declared.kind
    newest = records.NEWEST_VERSIONS[kind]
    stored_version = 0 if stored is None else stored.schema_version
    version = max(declared.schema_version, stored_version)
    spec_version = min(version, newest)
    spec = records.upgrade(
        kind,
        min(declared.schema_version, spec_version),
        spec_version,
        declared.spec,
    )
    status = {}
    if stored is not None:
        spec = merge_declared(stored, declared, spec, spec_version)
        status = stored.status
    spec = spec | records.legacy_fields(
        kind, spec_version, oldest_reader, spec
    )
    return dataclasses.replace(
        declared, spec=spec, schema_version=version, status=status
    )


def merge_declared(stored, declared, spec, spec_version):
    """Return the declared spec with the stored fields that it must keep.

    A declared record of the stored version or a newer one replaces all
    fields that the schema has, and keeps only unknown ones. An older record
    replaces only the fields that it contains.

    :param dict spec: the declared spec, upgraded to ``spec_version``.
    """
    if declared.schema_version < stored.schema_version:
        return deep_merge(stored.spec, spec)
    version = min(stored.schema_version, spec_version)
    before = records.upgrade(stored.kind, version, spec_version, stored.spec)
    names = records.field_names(stored.kind, spec_version)
    # Fields for older readers are computed from the new spec, not kept.
    names |= records.legacy_field_names(stored.kind, spec_version)
    unknown = {
        name: value for name, value in before.items() if name not in names
    }
    return unknown | spec


def deep_merge(stored, changed):
    """Return the stored spec with some fields replaced.

    :param dict stored: spec as stored, perhaps by a newer release.
    :param dict changed: fields to replace; dictionaries are merged
        recursively.
    """
    merged = dict(stored)
    for name, value in changed.items():
        before = merged.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            value = deep_merge(before, value)
        merged[name] = value
    return merged


def differences(before, after, prefix=''):
    """Yield a line for each value that was removed or added.

    :param str prefix: prefix of the keys.
    """
    for name in sorted(before.keys() | after.keys()):
        key = f'{prefix}{name}'
        old = before.get(name)
        new = after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from differences(old, new, f'{key}.')
        elif old != new:
            if name in before:
                yield f'- {key}: {old!r}'
            if name in after:
                yield f'+ {key}: {new!r}'
