"""The admin port of a daemon: metrics, health and status."""

import dataclasses

import msgspec

from celeryward import deadlines
from celeryward import http
from celeryward import listener

IDLE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What a daemon knows of one endpoint."""

    name: str
    live: bool
    in_flight: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a daemon knows of one peer daemon.

    :param bool holder: whether it holds a watch for its failure domain.
    """

    name: str
    failure_domain: str
    address: str
    live: bool
    holder: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of one daemon at a glance.

    :param float confirmed_at: UTC seconds when the platform last confirmed
        the configuration.
    :param bool holds_watch: whether this daemon holds a watch.
    """

    name: str
    failure_domain: str
    revision: int
    stopping: bool
    pending_bills: int
    endpoints: tuple[EndpointStatus, ...]
    confirmed_at: float
    holds_watch: bool
    peers: tuple[PeerStatus, ...]


class AdminHandler:
    """Answers the operators' requests to one daemon."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def handle(self, connection):
        """Run the task of one operator connection."""

        async def handle_request(head):
            await connection.receive_body(
                'read request', deadlines.Deadline.after(IDLE_SECONDS)
            )
            status, content_type, body = self.respond(head.path)
            await http.send_response(
                connection, status, {'content-type': content_type}, body
            )

        try:
            await listener.serve_connection(
                connection, handle_request, IDLE_SECONDS
            )
        except http.EXCHANGE_ERRORS:
            return

    def respond(self, path):
        """Return status, content type and body for a path."""
        if path == '/metrics':
            text = self.daemon.metrics.exposition()
            return 200, 'text/plain; version=0.0.4', text
        if path == '/healthz':
            return 200, 'text/plain', b'ok\n'
        if path == '/readyz':
            return self.readiness()
        if path == '/status':
            body = msgspec.json.encode(self.status())
            return 200, 'application/json', body
        return 404, 'text/plain', b'no such path\n'

    def readiness(self):
        """Answer whether callers are served, for the balancer."""
        daemon = self.daemon
        if daemon.request_handler.stopping:
            return 503, 'text/plain', b'stopping\n'
        if not daemon.configuration.confirmed.is_set():
            return 503, 'text/plain', b'no configuration yet\n'
        return 200, 'text/plain', b'ready\n'

    def status(self):
        """Return the :class:`DaemonStatus`."""
        daemon = self.daemon
        endpoints = daemon.configuration.catalog().endpoints.values()
        return DaemonStatus(
            daemon.settings.name,
            daemon.settings.failure_domain,
            daemon.configuration.revision,
            daemon.request_handler.stopping,
            daemon.ledger.pending_bills,
            tuple(
                EndpointStatus(
                    endpoint.name,
                    daemon.liveness.is_live(endpoint.name),
                    daemon.load.in_flight[endpoint.name],
                    daemon.load.utilisation(endpoint),
                )
                for endpoint in endpoints
            ),
            daemon.configuration.confirmed_at,
            daemon.control.watching is not None,
            tuple(self.peer_statuses()),
        )

    def peer_statuses(self):
        """Yield the :class:`PeerStatus` of each known peer."""
        members = self.daemon.control.members
        entries = members.states.values() if members is not None else ()
        holders = {}
        for entry in entries:
            domain = entry.member.failure_domain
            if domain not in holders:
                holders[domain] = members.watch_holders(domain)
            yield PeerStatus(
                entry.member.name,
                domain,
                f'{entry.member.address}:{entry.member.port}',
                entry.live,
                entry.live and entry.member in holders[domain],
            )
