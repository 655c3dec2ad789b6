"""Reads settings files."""

import pathlib

from celeryward import errors


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
