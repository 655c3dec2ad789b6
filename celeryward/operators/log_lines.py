"""Reads the JSON log lines of routers from files or standard input."""

import dataclasses
import datetime
import sys
import typing

import msgspec

from celeryward import decoding
from celeryward import errors

STANDARD_INPUT = '-'
UNKNOWN_ROUTER = '?'


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param datetime time: time by the clock of the router.
    :param str router: name of the router that wrote the line.
    :param int number: index among the lines of its source.
    :param str request_id: ``-`` if the line belongs to no request.
    :param dict fields: all fields of the JSON object.
    """

    time: datetime.datetime
    router: str
    number: int
    message: str
    request_id: str
    fields: dict[str, typing.Any]

    def get(self, name, default=''):
        """Return the value of a field, or a default."""
        return self.fields.get(name, default)


def read(sources):
    """Yield the log lines of all sources; other text is skipped.

    :param sources: paths of files; ``-`` for standard input.
    :raises errors.BadInput: if a file can't be read.
    """
    for source in sources:
        if source == STANDARD_INPUT:
            yield from parse(sys.stdin)
            continue
        try:
            with open(source, encoding='utf-8', errors='replace') as stream:
                yield from parse(stream)
        except OSError as error:
            raise errors.BadInput(
                f'{source}: {error}', step='read log', peer=source
            ) from error


def parse(texts):
    """Yield a :class:`Line` for each text that is a log line."""
    for number, text in enumerate(texts):
        # Log collectors prefix the JSON object with names or times.
        start = text.find('{')
        try:
            fields = (
                decoding.decode_value(text[start:]) if start >= 0 else None
            )
            time = datetime.datetime.fromisoformat(fields['time'])
            message = fields['message']
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # Libraries write plain text between the log lines.
            continue
        yield Line(
            time,
            fields.get('router', UNKNOWN_ROUTER),
            number,
            message,
            fields.get('request_id', '-'),
            fields,
        )
