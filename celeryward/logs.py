"""Logging with loguru: text or JSON on standard error, or bounded JSON lines.

Prompts, answers, API keys and session tokens must never be logged. Log lines
about a request bind ``request_id``, ``step`` and ``peer``.
"""

import os
import sys
import time

import loguru
import msgspec

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {message}'
    ' request_id={extra[request_id]} step={extra[step]} peer={extra[peer]}\n'
)
MAX_LINES_PER_SECOND = 200
MAX_URGENT_LINES_PER_SECOND = 400
MAX_BUFFERED_BYTES = 256 * 1024
# Requests that are refused before they have a route or a customer. Clients may
# send thousands of them.
REFUSAL_LINES_PER_SECOND = 30
# Clients choose request ids and parts of error messages.
MAX_FIELD_CHARACTERS = 512
DEFAULT_CONTEXT = {'request_id': '-', 'step': '-', 'peer': '-'}

logger = loguru.logger


def configure(level, log_format):
    """Write the log to standard error.

    :param str level: lowest level that is written.
    :param str log_format: ``text`` or ``json``.
    """
    logger.remove()
    logger.configure(extra=DEFAULT_CONTEXT)
    if log_format == 'json':
        logger.add(write_json, level=level)
    else:
        logger.add(sys.stderr, level=level, format=TEXT_FORMAT)


def write_json(message):
    """Write one log record as a JSON line."""
    sys.stderr.write(encode_json(message.record).decode('utf-8'))


def encode_json(record):
    """Return a log record as a JSON line."""
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
    line = {name: shorten(value) for name, value in line.items()}
    return msgspec.json.encode(line) + b'\n'


def shorten(value):
    """Return a field of a line, a long text without its end."""
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
        return f'{value[:MAX_FIELD_CHARACTERS]}...'
    return value


def configure_bounded(level, descriptor, router=''):
    """Write the log as JSON lines to a descriptor, without ever blocking.

    :param str level: lowest level that is written.
    :param int descriptor: open file descriptor, such as standard output.
    :param str router: name of the router, which is added to each line.
    """
    logger.remove()
    logger.configure(extra={**DEFAULT_CONTEXT, 'router': router})
    logger.add(BoundedSink(descriptor).write, level=level, catch=False)


class BoundedSink:
    """Writes log lines to a descriptor at a bounded rate, without blocking.

    Lines beyond the rate of their level are dropped, and all lines while the
    buffer is full because the reader stalls. Lines below WARNING have the
    lower rate, so they are dropped first. The number of dropped lines is
    written before the next line that is not dropped.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.current_second = 0
        self.lines_in_second = 0
        self.dropped = 0
        self.buffer = b''

    def write(self, message):
        """Write one loguru message, or drop and count it."""
        record = message.record
        second = int(self.clock())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        urgent = record['level'].no >= loguru.logger.level('WARNING').no
        bound = MAX_URGENT_LINES_PER_SECOND if urgent else MAX_LINES_PER_SECOND
        self.flush()
        if (
            self.lines_in_second >= bound
            or len(self.buffer) > MAX_BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        self.lines_in_second += 1
        if self.dropped:
            self.buffer += encode_dropped_count(record, self.dropped)
            self.dropped = 0
        self.buffer += encode_json(record)
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts now."""
        try:
            while self.buffer:
                written = os.write(self.descriptor, self.buffer)
                self.buffer = self.buffer[written:]
        except BlockingIOError:
            # The reader stalls. The buffer is written with a later line.
            return
        except OSError:
            # The reader has closed the pipe. Nothing can report the error.
            self.dropped += self.buffer.count(b'\n')
            self.buffer = b''


class LineBudget:
    """Bounds the lines that one cause writes, so that others have room.

    :param int most: lines in a second.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, most, clock=time.monotonic):
        self.most = most
        self.clock = clock
        self.current_second = 0
        self.lines_in_second = 0

    def allows_line(self):
        """Return whether one more line may be written now, and count it."""
        second = int(self.clock())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        return self.lines_in_second <= self.most


def encode_dropped_count(record, count):
    """Return the JSON line that reports the number of dropped lines."""
    line = {
        'time': record['time'].isoformat(),
        'level': 'WARNING',
        'message': 'log lines left out',
        'left_out': count,
    }
    return msgspec.json.encode(line) + b'\n'


def bind(**context):
    """Return a logger that adds fields to each line."""
    return logger.bind(**context)


def bind_error(error, **context):
    """Return a logger that adds the step and peer of an error."""
    return logger.bind(step=error.step, peer=error.peer, **context)
