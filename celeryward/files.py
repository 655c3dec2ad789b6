"""Reads settings files."""

import pathlib

import yaml

from celeryward import decoding
from celeryward import errors

# The parser of YAML takes seconds for some thousand of nested collections.
MAX_COLLECTIONS = 500
# What :func:`parse_yaml` raises if the text is malformed.
YAML_ERRORS = (yaml.YAMLError, RecursionError, ValueError, OverflowError)


def read_text(path):
    """Return the text of a settings file.

    :raises errors.BadInput: if the file can't be read or is not UTF-8.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BadInput(
            f'{path}: {error}', step='settings', peer=str(path)
        ) from error


def parse_yaml(text):
    """Return the value of a YAML document within bounds.

    :raises YAML_ERRORS: if it is malformed or out of bounds.
    """
    if text.count('[') + text.count('{') > MAX_COLLECTIONS:
        raise ValueError(f'more than {MAX_COLLECTIONS} brackets')
    document = yaml.safe_load(text)
    decoding.check_bounds(document)
    return document
