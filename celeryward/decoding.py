"""Bounded decoding of JSON and MessagePack that other programs have written.

Each decoder of this package raises ``msgspec.DecodeError`` and nothing else.
An array or object of independent parts is split into its parts first, so that
a part that can't be decoded costs only itself.
"""

import dataclasses
import itertools
import math
import re

import msgspec

# Deeper values can't be encoded, compared or printed without a recursion of
# the interpreter that may end in RecursionError.
MAX_DEPTH = 32
# At one depth; aliases of a YAML document may repeat a value without bound.
MAX_VALUES = 1_000_000
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
# Larger malformed bodies are not split, because that takes about a microsecond
# for each bracket, comma and string.
MAX_SPLIT_BYTES = 2 * 1024 * 1024
# What a decoder of msgspec raises besides ``DecodeError``.
UNDOCUMENTED_ERRORS = (RecursionError, OverflowError, ValueError)

MEMBERS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
ELEMENTS_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
VALUE_DECODER = msgspec.json.Decoder()
NAME_DECODER = msgspec.json.Decoder(str)
# A string without its end reaches to the end of the body, so that its start is
# not tried again at each quote inside it.
STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)'
TOKEN = re.compile(rb'%b|[\[{]+|[\]}]+|,' % STRING, re.DOTALL)
MEMBER = re.compile(rb'\s*(%b)\s*:\s*' % STRING, re.DOTALL)


def decode(decoder, body):
    """Return what a decoder makes of a body.

    :param decoder: a decoder of msgspec, for JSON or MessagePack.
    :raises msgspec.DecodeError: if the body is malformed.
    """
    try:
        return decoder.decode(body)
    except msgspec.DecodeError:
        raise
    except UNDOCUMENTED_ERRORS as error:
        raise msgspec.DecodeError(f'{type(error).__name__}: {error}') from None


def decode_value(body):
    """Return the JSON value in a body, whose size is within bounds.

    :raises msgspec.DecodeError: if it is malformed, nested more than
        :data:`MAX_DEPTH` times, or has an integer beyond 64 bits.
    """
    return decode_bounded(VALUE_DECODER, body)


def decode_bounded(decoder, body):
    """Return what a decoder makes of a body, if it is within bounds.

    :raises msgspec.DecodeError: as :func:`decode_value`.
    """
    value = decode(decoder, body)
    check_bounds(value)
    return value


def check_bounds(value):
    """Check nesting and numbers of a decoded value or data class.

    :raises msgspec.DecodeError: as :func:`decode_value`.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        inner = (child for each in level for child in children(each))
        level = list(itertools.islice(inner, MAX_VALUES + 1))
        if not level:
            return
        if len(level) > MAX_VALUES:
            raise msgspec.DecodeError(f'more than {MAX_VALUES} values')
    raise msgspec.DecodeError(f'nested more than {MAX_DEPTH} times')


def children(value):
    """Return the values inside a value, if it is a container.

    :raises msgspec.DecodeError: if it is an integer beyond 64 bits, or not a
        finite number.
    """
    if isinstance(value, str):
        return ()
    if isinstance(value, dict):
        return value.values()
    if isinstance(value, (list, tuple)):
        return value
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise msgspec.DecodeError('integer beyond 64 bits')
    if isinstance(value, float) and not math.isfinite(value):
        raise msgspec.DecodeError('number is not finite')
    if dataclasses.is_dataclass(value):
        names = (field.name for field in dataclasses.fields(value))
        return [getattr(value, name) for name in names]
    return ()


def split_members(body):
    """Return the members of a JSON object, still encoded, by name.

    Members that are malformed are split off all the same.

    :raises msgspec.DecodeError: if the body is no JSON object, or its end is
        missing.
    """
    try:
        return decode(MEMBERS_DECODER, body)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        return dict(scan_members(bytes(body)))


def split_elements(body):
    """Return the elements of a JSON array, still encoded.

    :raises msgspec.DecodeError: as :func:`split_members`.
    """
    try:
        return decode(ELEMENTS_DECODER, body)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        return list(scan_parts(bytes(body), b'['))


def scan_members(body):
    """Yield name and value of each member whose name can be read."""
    for part in scan_parts(body, b'{'):
        match = MEMBER.match(part)
        if match is None:
            continue
        try:
            name = NAME_DECODER.decode(match[1])
        except msgspec.DecodeError:
            continue
        yield name, part[match.end() :]


def scan_parts(body, opening):
    """Yield what commas separate in the outermost brackets of a body.

    Brackets are counted without recursion, whatever kind they are; whoever
    decodes a part detects those that don't match.

    :raises msgspec.DecodeError: if the first bracket is another one, the last
        one is missing, or the body is too large.
    """
    if len(body) > MAX_SPLIT_BYTES:
        raise msgspec.DecodeError('malformed, and too large to be split')
    if not body.lstrip().startswith(opening):
        raise msgspec.DecodeError(f'no {opening.decode()} at the start')
    depth = start = 0
    for token in TOKEN.finditer(body):
        first = token[0][:1]
        if first in b'[{':
            if depth == 0:
                start = token.start() + 1
            depth += len(token[0])
        elif first in b']}':
            if depth <= len(token[0]):
                yield from stripped(body[start : token.start() + depth - 1])
                return
            depth -= len(token[0])
        elif first == b',' and depth == 1:
            yield from stripped(body[start : token.start()])
            start = token.end()
    raise msgspec.DecodeError('end of the value is missing')


def stripped(part):
    """Yield a part without the white space around it, unless it is empty."""
    part = part.strip()
    if part:
        yield part
