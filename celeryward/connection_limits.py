"""Limits on the connections that clients open, derived from the host.

Each listener has a total of its own, so that no client of one can take the
descriptors or the memory of another: probes, scrapes and calls between routers
are answered while callers' connections are refused. Answers clients that open
connections without bound, pipeline requests or read no responses. Needs no
network.
"""

import dataclasses
import random
import resource

from celeryward import errors
from celeryward import memory_account
from celeryward.routers import members

# Descriptors for files and the log, and for connections to the store, to other
# routers and to endpoints that are probed.
FILE_DESCRIPTORS = 200
OWN_DESCRIPTORS = 64
# Endpoints are reached by a connection for each request under way.
DESCRIPTORS_PER_CALLER = 2
# Memory of a process without callers, with the bodies that it may hold.
BASE_MEGABYTES = 100.0
# Part of the rest that connections may take: in the process and its kernel.
CONNECTION_MEMORY_SHARE = 0.5
# Memory of a connection beside the bytes that are unread.
CONNECTION_BYTES = 32 * 1024
# Receive buffer of a connection, and of one between daemons, which carries
# messages of 2 MiB between regions.
INPUT_BYTES = 8192
PEER_INPUT_BYTES = 32768
# Part of a listener's connections that one address may have. A load balancer
# may be the only address; the rest is for all others.
ADDRESS_SHARE = 0.875
# Refused clients return within this time.
RETRY_SECONDS = (1.0, 4.0)
# Connections that the kernel keeps for any listener until they are accepted.
MIN_BACKLOG, MAX_BACKLOG = 64, 1024
# Most connections that any host may be set to.
MAX_CONNECTIONS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the connections of one listener.

    :param int total: most open connections.
    :param int per_address: most of them from one address.
    :param int requests_per_turn: requests of one connection that are answered
        before other connections get their turn.
    :param int unread_bytes: bytes of responses that are kept for a client
        that doesn't read.
    :param float write_seconds: time to write a response, in addition to what
        a slow reader needs for its size.
    :param int unread_input_bytes: size of the receive buffer.
    """

    total: int
    per_address: int
    requests_per_turn: int = 1
    unread_bytes: int = 32768
    write_seconds: float = 20.0
    unread_input_bytes: int = INPUT_BYTES

    @property
    def backlog(self):
        """Connections that the kernel keeps until they are accepted."""
        return max(MIN_BACKLOG, min(MAX_BACKLOG, self.total))


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """What a process may use of its host.

    :param float megabytes: memory; 0.0 if it isn't known.
    :param int descriptors: open files and connections.
    """

    megabytes: float
    descriptors: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """How a listener without callers gets its limit.

    :param int divisor: part of the descriptors, as 1 / divisor.
    :param int least: fewest connections that the router needs.
    :param int most: more are never needed.
    """

    divisor: int
    least: int
    most: int


# Kinds that a follower polls its leader for: configuration, endpoints, orders,
# and orders to drain.
FOLLOWED_KINDS = 4
# Other routers of the largest deployment; each may report a crash at once.
OTHER_ROUTERS = 194
ROUTER_CONNECTIONS = FOLLOWED_KINDS * members.MAX_FOLLOWERS + OTHER_ROUTERS
SHARES = {
    'readiness': Share(32, 4, 64),
    'metrics': Share(64, 2, 32),
    'routers': Share(3, 16, ROUTER_CONNECTIONS),
}
# Probes, scrapes and the command line use the same listener of a daemon.
DAEMON_ADMIN = Share(16, 4, 128)
# 340 daemons gossip with a few others a second and keep each connection for a
# minute; idle ones make room. A daemon opens as many itself.
DAEMON_PEERS = Share(12, 16, 512)
DESCRIPTORS_PER_PEER = 2
LEAST_CALLERS = 8
KEYS = {
    'callers': 'caller_connections',
    'readiness': 'readiness_connections',
    'metrics': 'metrics_connections',
    'routers': 'router_connections',
}
ADDRESS_KEY = 'caller_connections_per_address'


def host_of(placement):
    """Return the :class:`Host` of a router.

    What the host is said to allow may exceed the limit of this process.

    :param placement: :class:`router_settings.Placement`.
    """
    descriptors = own_descriptors()
    if placement.max_descriptors:
        descriptors = min(descriptors, placement.max_descriptors)
    return Host(placement.memory_mb, descriptors)


def own_descriptors():
    """Return how many descriptors this process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else MAX_CONNECTIONS


def derive(host, tuning):
    """Return the :class:`ListenerLimits` of a router by listener.

    :param tuning: :class:`router_settings.Tuning`; what it doesn't set is
        derived from the host.
    :raises errors.BadInput: if a limit is not allowed on this host.
    """
    totals = {
        name: limit(tuning, name, derived_share(host, share))
        for name, share in SHARES.items()
    }
    callers = derived_callers(host, tuning, sum(totals.values()))
    totals['callers'] = limit(tuning, 'callers', callers)
    check(host, totals, tuning)
    per_address = {name: address_share(totals[name]) for name in totals}
    if tuning.caller_connections_per_address is not None:
        per_address['callers'] = tuning.caller_connections_per_address
    return {
        name: ListenerLimits(
            total,
            per_address[name],
            tuning.requests_per_turn,
            tuning.unread_bytes,
            tuning.write_timeout,
            tuning.unread_input_bytes,
        )
        for name, total in totals.items()
    }


def derive_for_daemon(host, chosen):
    """Return the :class:`ListenerLimits` of a daemon by listener.

    :param chosen: :class:`settings.ConnectionSettings`.
    :raises errors.BadInput: if a limit is not allowed on this host.
    """
    admin = derived_share(host, DAEMON_ADMIN)
    if chosen.admin is not None:
        admin = chosen.admin
    usable = usable_descriptors(host)
    check_range('connections.admin', chosen.admin, DAEMON_ADMIN.least, usable)
    peers = derive_peers(host, chosen, usable - admin)
    # Derived limits give way to the one that is set for callers.
    taken = DAEMON_PEERS.least if chosen.peers is None else chosen.peers
    left = usable - admin - taken * DESCRIPTORS_PER_PEER
    most = max(LEAST_CALLERS, left // DESCRIPTORS_PER_CALLER)
    check_range('connections.callers', chosen.callers, LEAST_CALLERS, most)
    callers = chosen.callers
    if callers is None:
        left = usable - admin - peers * DESCRIPTORS_PER_PEER
        callers = min(MAX_CONNECTIONS, left // DESCRIPTORS_PER_CALLER)
        callers = max(LEAST_CALLERS, callers)
    totals = {'callers': callers, 'admin': admin, 'peers': peers}
    unread_input_bytes = {'peers': PEER_INPUT_BYTES}
    return {
        name: ListenerLimits(
            total,
            address_share(total),
            unread_input_bytes=unread_input_bytes.get(name, INPUT_BYTES),
        )
        for name, total in totals.items()
    }


def derive_peers(host, chosen, usable):
    """Return the limit of a daemon's connections from other daemons.

    :param chosen: :class:`settings.ConnectionSettings`.
    :param int usable: descriptors for these and callers' connections.
    :raises errors.BadInput: if the limit that is set is not allowed.
    """
    least = DAEMON_PEERS.least
    callers = LEAST_CALLERS if chosen.callers is None else chosen.callers
    left = usable - callers * DESCRIPTORS_PER_CALLER
    if chosen.peers is None:
        derived = derived_share(host, DAEMON_PEERS)
        return max(least, min(derived, left // DESCRIPTORS_PER_PEER))
    left = usable - LEAST_CALLERS * DESCRIPTORS_PER_CALLER
    most = max(least, left // DESCRIPTORS_PER_PEER)
    check_range('connections.peers', chosen.peers, least, most)
    return chosen.peers


def limit(tuning, name, derived):
    """Return the limit that operators set for a listener, or the derived."""
    chosen = getattr(tuning, KEYS[name])
    return derived if chosen is None else chosen


def address_share(total):
    """Return how many of all connections one address may have."""
    return max(1, int(total * ADDRESS_SHARE))


def usable_descriptors(host):
    """Return the descriptors that connections to listeners may take."""
    return host.descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS


def derived_share(host, share):
    """Return the limit of a listener without callers."""
    part = (host.descriptors - FILE_DESCRIPTORS) // share.divisor
    return max(share.least, min(share.most, part))


def derived_callers(host, tuning, others):
    """Return the limit of callers' connections.

    :param int others: connections of the other listeners.
    """
    left = usable_descriptors(host) - others
    callers = min(MAX_CONNECTIONS, left // DESCRIPTORS_PER_CALLER)
    if host.megabytes:
        free = (
            max(0.0, host.megabytes - BASE_MEGABYTES) * memory_account.MEGABYTE
        )
        size = CONNECTION_BYTES + tuning.unread_bytes
        callers = min(callers, int(free * CONNECTION_MEMORY_SHARE / size))
    return max(LEAST_CALLERS, callers)


def check(host, totals, tuning):
    """Check the limits that operators set.

    :raises errors.BadInput: with the key and the allowed range.
    """
    least = {name: share.least for name, share in SHARES.items()}
    least['callers'] = LEAST_CALLERS
    usable = usable_descriptors(host)
    for name, key in KEYS.items():
        taken = sum(
            total * weight(other)
            for other, total in totals.items()
            if other != name and getattr(tuning, KEYS[other]) is not None
        )
        most = max(least[name], (usable - taken) // weight(name))
        check_range(key, getattr(tuning, key), least[name], most)
    check_range(
        ADDRESS_KEY,
        tuning.caller_connections_per_address,
        1,
        totals['callers'],
    )


def weight(name):
    """Return the descriptors that a connection of a listener takes."""
    return DESCRIPTORS_PER_CALLER if name == 'callers' else 1


def check_range(key, value, least, most):
    """Check a limit that operators set; None is not checked.

    :raises errors.BadInput: if it is out of range.
    """
    if value is not None and not least <= value <= most:
        raise errors.BadInput(
            f'{key}: {value} is not from {least} to {most}, which this host'
            ' allows',
            step='settings',
            peer=key,
        )


def retry_seconds():
    """Return when a client that is refused may return."""
    return random.uniform(*RETRY_SECONDS)
