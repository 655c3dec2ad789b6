"""Generates odd inputs for decoders: valid documents with odd parts."""

import os
import random

from hypothesis import strategies
import msgspec

# Examples for each decoder; by hand with CELERYWARD_EXAMPLES=10000.
EXAMPLES = int(os.environ.get('CELERYWARD_EXAMPLES', '40'))
SHORT_EXAMPLES = 40
DEPTH = 2000
FRAGMENTS = (
    b'[' * DEPTH + b']' * DEPTH,
    b'{"x":' * DEPTH + b'1' + b'}' * DEPTH,
    b'[' * DEPTH,
    b']' * 20,
    b'9' * 400,
    b'9' * 5000,
    b'-1',
    b'0',
    b'99999',
    b'18446744073709551616',
    b'1.5',
    b'1e308',
    b'1e999',
    b'NaN',
    b'-Infinity',
    b'true',
    b'null',
    b'""',
    b'"\\ud800"',
    b'"\\q"',
    b'"\xff"',
    b'"a\\r\\nb"',
    b'"' + b'x' * 5000 + b'"',
    b'"10.0.0.1:99999"',
    b'{}',
    b'[]',
    b'[null]',
    b'[[], {}]',
    b'{"\\ud800": 1}',
    b'"',
    b',',
    b'',
)


def paths(value, prefix=()):
    """Yield the path of each part of a JSON value."""
    yield prefix
    keys = ()
    if isinstance(value, dict):
        keys = value
    elif isinstance(value, list):
        keys = range(len(value))
    for key in keys:
        yield from paths(value[key], (*prefix, key))


def replaced(value, path, part):
    """Return a JSON value with one part replaced."""
    if not path:
        return part
    copied = value.copy()
    copied[path[0]] = replaced(value[path[0]], path[1:], part)
    return copied


def mutated(generator, document):
    """Return a JSON document with a few odd parts as bytes."""
    for _ in range(generator.choice((0, 1, 1, 1, 2, 3))):
        path = generator.choice(list(paths(document)))
        fragment = msgspec.Raw(generator.choice(FRAGMENTS))
        document = replaced(document, path, fragment)
    body = msgspec.json.encode(document)
    if generator.random() < 0.1:
        body = body[: generator.randrange(len(body) + 1)]
    if generator.random() < 0.1:
        cut = generator.randrange(len(body) + 1)
        body = body[:cut] + generator.randbytes(4) + body[cut:]
    return body


def bodies(*documents):
    """Return a strategy for bodies that resemble some documents."""
    return strategies.builds(
        lambda seed, document: mutated(random.Random(seed), document),
        strategies.integers(0, 2**64 - 1),
        strategies.sampled_from(documents),
    ) | strategies.binary(max_size=40)
