"""Entries of the platform's store that can't be read, as others write them.

Like the stand-ins, this module contains the wire format of the platform.
"""

import msgspec

from celeryward import registry

ODD_FIELDS = registry.Registry('odd field')
NESTED_LISTS = 100_000
DIGITS = 5_000
# A sound entry of each kind.
ENTRIES = {
    'servers': {
        'service': 'app',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': 1700000000000,
        'models': [],
    },
    'rollouts': {'service': 'nobody', 'target': 'v9', 'durationS': 10},
    'routers': {'zone': 'a', 'address': '127.0.0.1:9', 'linkMbps': 100},
}
# For each kind, a field with a number and one with text.
NUMBERS = {'servers': 'slots', 'rollouts': 'durationS', 'routers': 'linkMbps'}
TEXTS = {'servers': 'zone', 'rollouts': 'target', 'routers': 'zone'}
ADDRESS = 'address'


@ODD_FIELDS.register('nested')
def nest_text(kind):
    """Return an entry with deeply nested lists in place of a text."""
    lists = b'[' * NESTED_LISTS + b']' * NESTED_LISTS
    return {**ENTRIES[kind], TEXTS[kind]: msgspec.Raw(lists)}


@ODD_FIELDS.register('digits')
def enlarge_number(kind):
    """Return an entry with an integer of thousands of digits."""
    return {**ENTRIES[kind], NUMBERS[kind]: msgspec.Raw(b'9' * DIGITS)}


@ODD_FIELDS.register('infinite')
def overflow_number(kind):
    """Return an entry with a number above the range of a double."""
    return {**ENTRIES[kind], NUMBERS[kind]: msgspec.Raw(b'1e999')}


@ODD_FIELDS.register('surrogate')
def break_text(kind):
    """Return an entry with half of a surrogate pair in a text."""
    return {**ENTRIES[kind], TEXTS[kind]: msgspec.Raw(b'"\\ud800"')}


@ODD_FIELDS.register('port')
def exceed_port(kind):
    """Return an entry with a port out of range."""
    return {**ENTRIES[kind], ADDRESS: '127.0.0.1:99999'}


@ODD_FIELDS.register('negative')
def negate_number(kind):
    """Return an entry with a negative number and port."""
    return {**ENTRIES[kind], NUMBERS[kind]: -3, ADDRESS: '127.0.0.1:-5'}


@ODD_FIELDS.register('missing')
def leave_fields_out(kind):
    """Return an entry without most of its fields."""
    return {TEXTS[kind]: 'a'}


@ODD_FIELDS.register('list')
def replace_by_list(kind):
    """Return a list in place of an entry's fields."""
    return [1, None, {}]
