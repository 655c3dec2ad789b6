"""Base class of the stand-ins: an HTTP server on loopback."""

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
    """An HTTP server on loopback; subclasses implement :meth:`answer`.

    :param int port: 0 lets the operating system choose one.
    """

    def __init__(self, port=0):
        self.listener = listener.Listener('127.0.0.1', port, self.handle)

    @property
    def port(self):
        """The port that the server is bound to."""
        return self.listener.port

    async def start(self):
        """Start to accept connections."""
        await self.listener.start()

    async def stop(self):
        """Stop without draining: close the listener and all connections."""
        await self.listener.stop_accepting()
        await self.listener.drain(deadlines.Deadline.after(0.0))

    async def handle(self, connection):
        """Serve requests on one connection until either side closes it."""

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
        """Send the response to one request."""
        raise NotImplementedError


async def send_json(connection, status, value, headers=None):
    """Send a response with a value as its JSON body."""
    head = {'content-type': 'application/json', **(headers or {})}
    body = msgspec.json.encode(value)
    await http.send_response(connection, status, head, body)
