"""What the stand-ins share: an HTTP server with faults to inject."""

import dataclasses

import msgspec

from celeryward import deadlines
from celeryward import http
from celeryward import listener

IDLE_SECONDS = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request that a stand-in received."""

    head: http.Request
    body: bytes

    def json(self):
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


class StandIn:
    """An HTTP server on loopback; subclasses answer requests.

    :param int port: 0 lets the host choose one.
    """

    def __init__(self, port=0):
        self.listener = listener.Listener('127.0.0.1', port, self.handle)

    @property
    def port(self):
        """The port that the stand-in listens on."""
        return self.listener.port

    async def start(self):
        """Start to serve."""
        await self.listener.start()

    async def stop(self):
        """Stop at once: close the listener and every connection."""
        await self.listener.stop_accepting()
        await self.listener.drain(deadlines.Deadline.after(0.0))

    async def handle(self, connection):
        """Serve one connection."""

        async def handle_request(head):
            deadline = deadlines.Deadline.after(IDLE_SECONDS)
            body = await connection.receive_body('read request', deadline)
            await self.answer(connection, ReceivedRequest(head, body))

        try:
            await listener.serve_connection(
                connection, handle_request, IDLE_SECONDS
            )
        except http.EXCHANGE_ERRORS:
            return

    async def answer(self, connection, received):
        """Answer one request."""
        raise NotImplementedError


async def send_json(connection, status, value, headers=None):
    """Send a value as a JSON answer."""
    head = {'content-type': 'application/json', **(headers or {})}
    body = msgspec.json.encode(value)
    await http.send_response(connection, status, head, body)
