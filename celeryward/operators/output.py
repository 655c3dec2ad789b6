"""Output of commands, as text or as JSON."""

import msgspec

from celeryward import errors
from celeryward import registry

FORMATS = registry.Registry('output format')


@FORMATS.register('json')
def format_json(value):
    """Return a value as indented JSON."""
    encoded = msgspec.json.encode(value)
    return msgspec.json.format(encoded, indent=2).decode('utf-8')


@FORMATS.register('text')
def format_text(value):
    """Return a value as lines of names and values."""
    return '\n'.join(format_lines(msgspec.to_builtins(value)))


def format_lines(value, indent=''):
    """Yield lines for nested builtins."""
    if isinstance(value, dict):
        for name, inner in value.items():
            if isinstance(inner, (dict, list, tuple)) and inner:
                yield f'{indent}{name}:'
                yield from format_lines(inner, f'{indent}  ')
            else:
                yield f'{indent}{name}: {format_scalar(inner)}'
    elif isinstance(value, (list, tuple)):
        for inner in value:
            if isinstance(inner, dict):
                flat = ' '.join(
                    f'{k}={format_scalar(v)}' for k, v in inner.items()
                )
                yield f'{indent}{flat}'
            else:
                yield f'{indent}{format_scalar(inner)}'
    else:
        yield f'{indent}{format_scalar(value)}'


def format_scalar(value):
    """Return one value as text."""
    if value is None or value == '' or value == [] or value == ():
        return '-'
    if isinstance(value, float):
        return f'{value:.6g}'
    return str(value)


def parse_address(text, option):
    """Return host and port of an address such as ``127.0.0.1:8080``.

    :raises errors.BadInput: if the text is no such address.
    """
    host, _, port = str(text).rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise errors.BadInput(
            f'--{option}: value {text!r}: must be HOST:PORT',
            step='arguments',
            peer=option,
        )
    return host, int(port)
