"""Declared records in YAML files."""

import pathlib

import msgspec
import yaml

from celeryward import errors
from celeryward.objects import protocol
from celeryward.objects import records

# ``writer``, ``status`` and ``created`` are printed by ``get``; they may stand
# in a file, but are not written.
KNOWN_KEYS = (
    'kind',
    'name',
    'schema_version',
    'revision',
    'spec',
    'writer',
    'status',
    'created',
)
REQUIRED_KEYS = ('kind', 'name', 'spec')


def load(path):
    """Return the declared records of a YAML file.

    :returns: list of :class:`protocol.StoredObject`; ``revision`` is 0
        unless the file states the revision that it was made from.
    :raises errors.BadInput: with one line for each fault in the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BadInput(
            f'{path}: {error}', step='read records', peer=str(path)
        ) from error
    return parse(text, str(path))


def parse(text, source):
    """Return the declared records in a YAML text, as :func:`load`."""
    try:
        documents = [
            document
            for document in yaml.safe_load_all(text)
            if document is not None
        ]
    except yaml.YAMLError as error:
        raise errors.BadInput(
            f'{source}: not valid YAML: {error}',
            step='read records',
            peer=source,
        ) from error
    if not documents:
        raise errors.BadInput(
            f'{source}: no record in the file',
            step='read records',
            peer=source,
        )
    declared = []
    faults = []
    for number, document in enumerate(documents, start=1):
        where = f'{source}: document {number}'
        found = list(describe_faults(document))
        if found:
            faults += [f'{where}: {fault}' for fault in found]
            continue
        stored = msgspec.convert(document, protocol.StoredObject)
        declared.append(stored)
        read = records.read(stored)
        if read.is_err():
            lines = read.unwrap_err().message.split('\n')
            faults += [f'{where}: {line}' for line in lines]
    if faults:
        raise errors.BadInput(
            '\n'.join(faults), step='read records', peer=source
        )
    return declared


def describe_faults(document):
    """Yield a line for each fault in the frame of one document."""
    if not isinstance(document, dict):
        yield 'must be a mapping with kind, name and spec'
        return
    for key in REQUIRED_KEYS:
        if key not in document:
            yield f'{key}: required, but absent'
    for key in document:
        if key not in KNOWN_KEYS:
            yield f'{key}: unknown key; known: {", ".join(KNOWN_KEYS)}'
    for key in ('kind', 'name'):
        value = document.get(key, 'x')
        if not isinstance(value, str) or not value or '/' in value:
            yield f'{key}: value {value!r}: must be a text without "/"'
    for key in ('schema_version', 'revision', 'created'):
        value = document.get(key, 1)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            yield f'{key}: value {value!r}: must be a whole number'
    for key in ('spec', 'status'):
        if not isinstance(document.get(key, {}), dict):
            yield f'{key}: must be a mapping'
    if not isinstance(document.get('writer', ''), str):
        yield 'writer: must be a text'


def dump(stored):
    """Return a stored object as a YAML document."""
    document = msgspec.to_builtins(stored)
    return yaml.safe_dump(document, sort_keys=False)
