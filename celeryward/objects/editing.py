"""Changes to stored records that lose no field of another version."""

import dataclasses

from celeryward.objects import records


def revise(stored, declared, oldest_reader):
    """Return the object to write for a declared record.

    :param protocol.StoredObject stored: the object now, or None.
    :param protocol.StoredObject declared: a record that reads well.
    :param int oldest_reader: oldest schema version that a reader knows;
        fields for it are written beside those of the newer version.
    """
    kind = declared.kind
    newest = records.NEWEST_VERSIONS[kind]
    stored_version = 0 if stored is None else stored.schema_version
    version = max(declared.schema_version, stored_version)
    known = min(version, newest)
    spec = records.upgrade(
        kind, min(declared.schema_version, known), known, declared.spec
    )
    status = {}
    if stored is not None:
        spec = combine(stored, declared, spec, known)
        status = stored.status
    spec = spec | records.legacy_fields(kind, known, oldest_reader, spec)
    return dataclasses.replace(
        declared, spec=spec, schema_version=version, status=status
    )


def combine(stored, declared, spec, known):
    """Return the declared spec with what it can't express from the stored.

    A record of the stored version replaces all fields that its schema
    knows. An older one changes only the fields that it has.
    """
    if declared.schema_version < stored.schema_version:
        return merge(stored.spec, spec)
    version = min(stored.schema_version, known)
    before = records.upgrade(stored.kind, version, known, stored.spec)
    names = records.field_names(stored.kind, known)
    # Fields for older readers are written anew, never carried over.
    names |= records.legacy_field_names(stored.kind, known)
    unknown = {
        name: value for name, value in before.items() if name not in names
    }
    return unknown | spec


def merge(stored, changed):
    """Return a spec with changed fields that keeps every other field.

    :param dict stored: spec as stored, maybe by a newer writer.
    :param dict changed: fields to replace; dictionaries merge.
    """
    merged = dict(stored)
    for name, value in changed.items():
        before = merged.get(name)
        if isinstance(before, dict) and isinstance(value, dict):
            value = merge(before, value)
        merged[name] = value
    return merged


def differences(before, after, path=''):
    """Yield a line for each leaf that differs between two specs."""
    for name in sorted(before.keys() | after.keys()):
        key = f'{path}{name}'
        old = before.get(name)
        new = after.get(name)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from differences(old, new, f'{key}.')
        elif old != new:
            if name in before:
                yield f'- {key}: {old!r}'
            if name in after:
                yield f'+ {key}: {new!r}'
