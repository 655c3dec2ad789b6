"""Memory of a process as its platform counts it, from /proc.

Bytes that were received and not yet read count, also those of connections
that wait to be accepted.
"""

import contextlib
import dataclasses
import os
import pathlib
import re

LISTENING = '0A'
SOCKET_LINK = re.compile(r'socket:\[(\d+)\]')


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """A row of /proc/net/tcp.

    :param str local: address and port as the kernel writes them.
    :param int unread: bytes received and not read; of a listening socket the
        connections that wait to be accepted.
    """

    local: str
    state: str
    unread: int
    inode: str


def connections():
    """Yield the IPv4 TCP sockets of this machine."""
    lines = pathlib.Path('/proc/net/tcp').read_text('ascii').splitlines()
    for line in lines[1:]:
        fields = line.split()
        _, unread = fields[4].split(':')
        yield Connection(fields[1], fields[3], int(unread, 16), fields[9])


def socket_inodes(pid):
    """Return the inodes of a process's open sockets."""
    inodes = set()
    for entry in os.scandir(f'/proc/{pid}/fd'):
        with contextlib.suppress(FileNotFoundError):
            match = SOCKET_LINK.fullmatch(os.readlink(entry.path))
            if match:
                inodes.add(match[1])
    return inodes


def unread_bytes(pid):
    """Return the bytes that a process has received and not read."""
    inodes = socket_inodes(pid)
    rows = tuple(connections())
    listening = {
        row.local
        for row in rows
        if row.state == LISTENING and row.inode in inodes
    }
    return sum(
        row.unread
        for row in rows
        if row.state != LISTENING
        and (
            row.inode in inodes or row.inode == '0' and row.local in listening
        )
    )


def resident_bytes(pid):
    """Return the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text('ascii')
    return int(re.search(r'VmRSS:\s+(\d+)', text)[1]) * 1024
