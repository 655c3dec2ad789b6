"""Options of TCP sockets.

The keep-alive options, in seconds, probe an idle connection, and a dead peer
is detected after the time of TCP_USER_TIMEOUT, as on a connection with
unacknowledged data. The kernel also counts a sound peer that takes no bytes,
though it acknowledges the probes.
"""

import fcntl
import select
import socket
import struct
import termios

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Longer than a sound peer stands still.
USER_TIMEOUT_MILLISECONDS = 5000
INT = struct.Struct('i')
# From linux/sockios.h: bytes that TCP has not sent at all.
SIOCOUTQNSD = 0x894B


def disable_nagle(sock):
    """Send small writes at once, so that no token waits for an ACK."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def detect_dead_peer(sock):
    """Let the kernel reset a connection whose peer no longer responds.

    Without these options a connection stays open for minutes after a network
    partition.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def reset_on_close(sock, enabled):
    """Choose whether closing a socket resets its connection.

    This holds also if the process is killed. Bytes that the peer hasn't
    received are lost.
    """
    linger = struct.pack('ii', enabled, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def bound_unsent(sock, size):
    """Let the kernel keep no more than so many bytes that it can't send.

    Without this it keeps megabytes for a peer that doesn't read.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)


def bound_unread(sock, size):
    """Let the kernel keep few bytes that were received and not read.

    It keeps up to one and a half times the size. Sockets that a listening
    socket accepts, and those that wait for it, have its size.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def is_readable(sock):
    """Return whether a socket has input, its end or a connection to accept."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def input_has_ended(sock):
    """Return whether the peer has ended its output, also by a reset."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def is_broken(sock):
    """Return whether both directions have ended, as by a reset.

    A reset that follows an orderly end of the input shows in no read.
    """
    poller = select.poll()
    poller.register(sock.fileno(), 0)
    return bool(poller.poll(0))


def count_readable(sock):
    """Return how many bytes can be read now.

    The end of the stream counts as one.

    :raises OSError: if the socket is closed.
    """
    held = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(INT.size))
    return INT.unpack(held)[0] + input_has_ended(sock)


def has_bytes(sock):
    """Return whether bytes can be read; the end of the stream is none."""
    return query_unread(sock) > 0


def query_unread(sock):
    """Return how many bytes can be read; 0 if the system doesn't tell."""
    return query_size(sock, termios.FIONREAD)


def is_ended(sock):
    """Return whether the peer has closed, even if there is input to read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def count_unreceived(sock):
    """Return how many of the sent bytes the peer hasn't received yet.

    0 if the system doesn't tell.
    """
    return query_size(sock, termios.TIOCOUTQ)


def count_unsent(sock):
    """Return how many bytes wait because the peer has no room for them.

    0 if the system doesn't tell.
    """
    return query_size(sock, SIOCOUTQNSD)


def query_size(sock, number):
    """Return the number of bytes that an ioctl tells; 0 if it fails."""
    try:
        answer = fcntl.ioctl(sock.fileno(), number, bytes(INT.size))
    except OSError:
        return 0
    return INT.unpack(answer)[0]
