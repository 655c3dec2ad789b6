"""The admin port of a daemon: metrics, health and status."""

import dataclasses

import msgspec

from celeryward import deadlines
from celeryward import http
from celeryward import listener

IDLE_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointStatus:
    """State of one endpoint as a daemon sees it.

    :param bool live: whether the endpoint may receive new requests.
    :param int in_flight: requests that this daemon has in flight there.
    :param float load: utilisation; 1.0 means that all slots are in use.
    """

    name: str
    live: bool
    in_flight: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of one peer daemon as a daemon sees it.

    :param bool holder: whether the peer holds a watch for its failure
        domain.
    """

    name: str
    failure_domain: str
    address: str
    live: bool
    holder: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of one daemon.

    :param int revision: revision of the configuration in force.
    :param int pending_bills: bills that are not yet at the platform.
    :param float confirmed_at: UTC seconds when the platform last confirmed
        the configuration.
    :param bool holds_watch: whether this daemon watches the platform.
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
    """Serves the admin port of one daemon."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def handle(self, connection):
        """Serve one connection to its end, in the task that calls this."""

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
        """Return status, content type and body of the response to a path."""
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
        """Return the response to a readiness check of a load balancer."""
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
            daemon.control.watch_task is not None,
            tuple(self.peer_statuses()),
        )

    def peer_statuses(self):
        """Yield the :class:`PeerStatus` of each known peer daemon."""
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
