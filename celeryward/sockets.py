"""Options of TCP sockets."""

import socket

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 2000


def disable_nagle(sock):
    """Send small writes at once; tokens must not wait for an ACK."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def detect_dead_peer(sock):
    """Let the kernel end a connection whose other side has vanished.

    Without it a connection behind a partition stays open for minutes.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
