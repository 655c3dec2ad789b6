"""Reads the JSON log lines of routers from files or standard input."""

import dataclasses
import datetime
import sys
import typing

import msgspec

from celeryward import errors

STANDARD_INPUT = '-'
UNKNOWN_ROUTER = '?'


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param datetime time: by the clock of the router.
    :param str router: the router that wrote it.
    :param int number: place among the lines of its source.
    :param dict fields: everything that the line says.
    """

    time: datetime.datetime
    router: str
    number: int
    message: str
    request_id: str
    fields: dict[str, typing.Any]

    def get(self, name, default=''):
        """Return one field."""
        return self.fields.get(name, default)


def read(sources):
    """Yield the lines of all sources; what is not a log line is left out.

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
    """Yield the :class:`Line` of each text that is one."""
    for number, text in enumerate(texts):
        # Collectors put names or times before the object.
        start = text.find('{')
        try:
            fields = msgspec.json.decode(text[start:]) if start >= 0 else None
            time = datetime.datetime.fromisoformat(fields['time'])
            message = fields['message']
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # Plain text of libraries between the lines of the router.
            continue
        yield Line(
            time,
            fields.get('router', UNKNOWN_ROUTER),
            number,
            message,
            fields.get('request_id', '-'),
            fields,
        )
