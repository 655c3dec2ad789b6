"""A program that answers each request with bytes without end.

``python tests/flood_server.py KIND`` prints its port and serves until its
standard input closes. It runs in a process of its own, so that only the router
is slowed down by what it has to read.
"""

import socket
import sys
import threading

HEAD = (
    'HTTP/1.1 {status} OK\r\n'
    'celeryward-response-seal: seal\r\n'
    'celeryward-attempt-id: {request_id}\r\n'
    '{more}\r\n'
)
CHUNKED = 'transfer-encoding: chunked\r\n'
STREAM = f'{CHUNKED}content-type: text/event-stream\r\n'
PIECE = b'x' * 65536


def chunk(data):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


def small_events():
    """Yield the events of a stream without end."""
    number = 0
    while True:
        first = number + 1
        number += 1000
        yield b''.join(
            chunk(b'id: %d\ndata: x\n\n' % each)
            for each in range(first, number + 1)
        )


def always(piece):
    """Yield one piece without end."""
    while True:
        yield piece


# Status, further header lines and pieces of each kind of answer.
KINDS = {
    'body to the close': (200, '', lambda: always(PIECE)),
    'chunks': (200, CHUNKED, lambda: always(chunk(PIECE))),
    'one large chunk': (
        200,
        CHUNKED,
        lambda: large_chunk(),
    ),
    'large length': (
        200,
        'content-length: 99999999999\r\n',
        lambda: always(PIECE),
    ),
    'error body': (500, CHUNKED, lambda: always(chunk(PIECE))),
    'small chunks': (200, CHUNKED, lambda: always(chunk(b'x') * 10000)),
    'small events': (200, STREAM, small_events),
    'event without end': (200, STREAM, lambda: always(chunk(PIECE))),
}


def large_chunk():
    """Yield the pieces of one chunk without end."""
    yield b'fffffffffff\r\n'
    yield from always(PIECE)


def serve(connection, kind):
    """Answer the first request on a connection until it is closed."""
    received = b''
    while b'\r\n\r\n' not in received:
        data = connection.recv(65536)
        if not data:
            return
        received += data
    request_id = ''
    for line in received.decode('latin-1').split('\r\n'):
        name, _, value = line.partition(': ')
        if name.lower() == 'celeryward-attempt-id':
            request_id = value
    status, more, pieces = KINDS[kind]
    head = HEAD.format(status=status, request_id=request_id, more=more)
    try:
        connection.sendall(head.encode())
        for piece in pieces():
            connection.sendall(piece)
    except OSError:
        connection.close()


def main(kind):
    """Serve until standard input closes."""
    listening = socket.create_server(('127.0.0.1', 0), backlog=256)
    sys.stdout.write(f'{listening.getsockname()[1]}\n')
    sys.stdout.flush()
    threading.Thread(
        target=accept, args=(listening, kind), daemon=True
    ).start()
    sys.stdin.read()


def accept(listening, kind):
    """Start a thread for each connection."""
    while True:
        connection, _ = listening.accept()
        threading.Thread(
            target=serve, args=(connection, kind), daemon=True
        ).start()


if __name__ == '__main__':
    main(sys.argv[1])
