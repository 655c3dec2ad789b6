"""Many clients of one process that misuse its connections on purpose.

Each client does one thing at each step, and never reads unless its behaviour
does. The loop is bounded in time, and the connections in number.
"""

import contextlib
import os
import pathlib
import socket
import time

from celeryward import registry
from tests import process_memory

STEP_SECONDS = 0.02
RECEIVE_BUFFER_BYTES = 4096
PIPELINED_REQUESTS = 4000
LONG_LINE_BYTES = 5000
LONG_BODY_BYTES = 1_000_000
MAX_CONNECTS = 50

BEHAVIOURS = registry.Registry('client behaviour')


class Client:
    """One connection at a time, from one source address.

    :param behaviour: function that is called with this client at each step.
    :param address: address to connect to.
    :param str source: address to connect from.
    :param bytes request: what the behaviour sends.
    :param bool reconnects: whether it connects again after each close.
    """

    def __init__(self, behaviour, address, source, request, reconnects):
        self.behaviour = behaviour
        self.address = address
        self.source = source
        self.request = request
        self.reconnects = reconnects
        self.connects = 0
        self.sock = None
        self.unsent = b''

    def connect(self):
        """Open a new connection without waiting for it."""
        self.close()
        self.connects += 1
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        self.sock.bind((self.source, 0))
        self.sock.connect_ex(self.address)
        self.unsent = b''
        self.steps = 0

    def step(self):
        """Do what the behaviour does next, if the connection allows it."""
        try:
            self.behaviour(self)
            self.steps += 1
        except BlockingIOError:
            return
        except OSError:
            self.close()
            if self.reconnects and self.connects < MAX_CONNECTS:
                self.connect()

    def close(self):
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()


@BEHAVIOURS.register('pipeline')
def pipeline(client):
    """Send many requests without reading a response."""
    if client.steps == 0 and not client.unsent:
        client.unsent = client.request * PIPELINED_REQUESTS
    send_unsent(client)
    if client.reconnects:
        client.sock.send(client.request)


@BEHAVIOURS.register('silence')
def stay_silent(client):
    """Send nothing; notice a close."""
    if not client.sock.recv(1, socket.MSG_PEEK):
        raise ConnectionError


@BEHAVIOURS.register('endless head')
def extend_head(client):
    """Send a head of a request without its end."""
    client.sock.send(b'x: y\r\n' if client.steps else client.request[:-2])


@BEHAVIOURS.register('slow body')
def trickle_body(client):
    """Send a body one byte at a time."""
    if client.steps == 0:
        head = client.request.replace(b'GET', b'POST')[:-2]
        client.sock.send(head + b'content-length: 9000\r\n\r\n')
    client.sock.send(b'x')


@BEHAVIOURS.register('heads')
def send_long_heads(client):
    """Send long heads one after the other without reading a response."""
    if not client.unsent:
        line = b'x: ' + b'y' * LONG_LINE_BYTES + b'\r\n'
        client.unsent = client.request[:-2] + line * 3 + b'\r\n'
    send_unsent(client)


@BEHAVIOURS.register('bodies')
def send_long_bodies(client):
    """Send long bodies one after the other without reading a response."""
    if not client.unsent:
        head = client.request.replace(b'GET', b'POST')[:-2]
        length = b'content-length: %d\r\n\r\n' % LONG_BODY_BYTES
        client.unsent = head + length + bytes(LONG_BODY_BYTES)
    send_unsent(client)


def send_unsent(client):
    """Send what is left until the connection takes no more."""
    while client.unsent:
        sent = client.sock.send(client.unsent[:65536])
        client.unsent = client.unsent[sent:]


@BEHAVIOURS.register('TLS')
def greet_by_tls(client):
    """Send what looks like the begin of TLS."""
    client.sock.send(b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' * 40)


@BEHAVIOURS.register('slow reader')
def read_slowly(client):
    """Send a few requests with long responses, and read a few bytes."""
    if client.steps < 5:
        client.sock.send(client.request)
    client.sock.recv(16)


class Crowd:
    """Clients that run together.

    :param int pid: the process that they connect to.
    """

    def __init__(self, pid):
        self.pid = pid
        self.clients = []
        self.most_descriptors = 0
        # Resident memory and input that isn't read, together.
        self.most_bytes = 0
        self.size_before = peak_memory(pid)

    def add(self, count, behaviour, address, request, sources, again=False):
        """Add clients whose source addresses take turns."""
        self.clients += [
            Client(
                BEHAVIOURS.get(behaviour),
                address,
                sources[number % len(sources)],
                request,
                again,
            )
            for number in range(count)
        ]

    def run(self, seconds, ended=None):
        """Connect new clients and take the steps of all for some time.

        :param threading.Event ended: ends this earlier.
        """
        for client in self.clients:
            if client.sock is None:
                client.connect()
        until = time.monotonic() + seconds
        while time.monotonic() < until and not (ended and ended.is_set()):
            for client in self.clients:
                if client.sock.fileno() >= 0:
                    client.step()
            self.count_descriptors()
            self.count_memory()
            time.sleep(STEP_SECONDS)

    def count_descriptors(self):
        """Remember the most descriptors that the process had open."""
        with contextlib.suppress(FileNotFoundError):
            count = len(os.listdir(f'/proc/{self.pid}/fd'))
            self.most_descriptors = max(self.most_descriptors, count)

    def count_memory(self):
        """Remember the most memory that counts for the process."""
        with contextlib.suppress(FileNotFoundError):
            unread = process_memory.unread_bytes(self.pid)
            held = unread + process_memory.resident_bytes(self.pid)
            self.most_bytes = max(self.most_bytes, held)

    def growth(self):
        """Return by how many bytes the process has grown at most."""
        return peak_memory(self.pid) - self.size_before

    def close(self):
        """Close all connections."""
        for client in self.clients:
            client.close()


def peak_memory(pid):
    """Return the peak of a process's memory in bytes."""
    for line in pathlib.Path(f'/proc/{pid}/status').open(encoding='ascii'):
        if line.startswith('VmHWM'):
            return int(line.split()[1]) * 1024
    raise AssertionError('no VmHWM')
