"""Declared records in YAML files."""

import pathlib

import msgspec
import yaml

from celeryward import errors
from celeryward.objects import protocol
from celeryward.objects import records

# The command ``get`` prints ``writer``, ``status`` and ``created``. They are
# allowed in a file, so that its output can be applied, but are not written.
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
        unless the file states the revision that it is based on.
    :raises errors.BadInput: with one line for each error in the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BadInput(
            f'{path}: {error}', step='read records', peer=str(path)
        ) from error
    return parse(text, str(path))


def parse(text, source):
    """Return the declared records in a YAML text, as :func:`load` does.

    :param str source: name of the file for messages.
    """
    documents = read_documents(text, source)
    messages = [
        f'{source}: document {number}: {message}'
        for number, document in enumerate(documents, start=1)
        for message in document_errors(document)
    ]
    if messages:
        raise errors.BadInput(
            '\n'.join(messages), step='read records', peer=source
        )
    return [
        msgspec.convert(document, protocol.StoredObject)
        for document in documents
    ]


def read_documents(text, source):
    """Return the documents of a YAML text that are not empty.

    :raises errors.BadInput: if it is not valid YAML, or has no document.
    """
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
    return documents


def document_errors(document):
    """Yield a line for each error of a document.

    Its spec is only read if the rest of it is correct.
    """
    messages = list(envelope_errors(document))
    if messages:
        yield from messages
        return
    read = records.read(msgspec.convert(document, protocol.StoredObject))
    if read.is_err():
        yield from read.unwrap_err().message.split('\n')


def envelope_errors(document):
    """Yield a line for each error of a document outside of its spec."""
    if not isinstance(document, dict):
        yield 'must be a mapping with kind, name and spec'
        return
    for key in REQUIRED_KEYS:
        if key not in document:
            yield f'{key}: required key is missing'
    for key in document:
        if key not in KNOWN_KEYS:
            yield f'{key}: unknown key; known: {", ".join(KNOWN_KEYS)}'
    for key in ('kind', 'name'):
        value = document.get(key, 'x')
        if not isinstance(value, str) or not value or '/' in value:
            yield (
                f'{key}: value {value!r}: must be a non-empty string '
                'without "/"'
            )
    for key in ('schema_version', 'revision', 'created'):
        value = document.get(key, 1)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            yield f'{key}: value {value!r}: must be a non-negative integer'
    for key in ('spec', 'status'):
        if not isinstance(document.get(key, {}), dict):
            yield f'{key}: must be a mapping'
    if not isinstance(document.get('writer', ''), str):
        yield 'writer: must be a string'


def dump(stored):
    """Return a stored object as a YAML document."""
    document = msgspec.to_builtins(stored)
    return yaml.safe_dump(document, sort_keys=False)
