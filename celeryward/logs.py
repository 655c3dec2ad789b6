"""Logging by loguru, as text or as JSON lines.

Prompt text, answers, keys and tokens are never passed to the log. Each
line of the request path binds ``request_id``, ``step`` and ``peer``.
"""

import sys

import loguru
import msgspec

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {message}'
    ' request_id={extra[request_id]} step={extra[step]} peer={extra[peer]}\n'
)
DEFAULTS = {'request_id': '-', 'step': '-', 'peer': '-'}

logger = loguru.logger


def configure(level, style):
    """Send the log to standard error.

    :param str level: lowest level that is written.
    :param str style: ``text`` or ``json``.
    """
    logger.remove()
    logger.configure(extra=DEFAULTS)
    if style == 'json':
        logger.add(write_json, level=level)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def write_json(message):
    """Write one log record as a JSON line."""
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    sys.stderr.write(msgspec.json.encode(line).decode('utf-8') + '\n')


def bind(**context):
    """Return a logger whose lines carry the given context."""
    return logger.bind(**context)


def bind_error(error, **context):
    """Return a logger bound to the step and peer of an error."""
    return logger.bind(step=error.step, peer=error.peer, **context)
