"""Bridge between curio tasks and grpclib on an asyncio thread.

grpclib needs an asyncio loop, so the bridge runs one in a thread. Calls are
submitted by ``call_soon_threadsafe`` and their outcomes return in a
:class:`curio.UniversalResult`; requests of peers arrive in a
:class:`curio.UniversalQueue`. Both loops block in their selectors while they
wait.
"""

import asyncio
import contextlib
import dataclasses
import functools
import socket
import threading

import curio
from grpclib import client
from grpclib import config
from grpclib import const
from grpclib import exceptions
from grpclib import server
import result

from celeryward import closings
from celeryward import connection_limits
from celeryward.daemons import exchange_grpc
from celeryward.daemons import peer_sockets
from celeryward import errors

LISTEN_BACKLOG = 128
MAX_WAITING_REQUESTS = 256
REPLY_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 1.0
NO_LIMITS = connection_limits.ListenerLimits(
    connection_limits.MAX_CONNECTIONS, connection_limits.MAX_CONNECTIONS
)
# Input of a connection that no call has asked for yet. h2 allows 100 streams
# on a connection; grpclib has no setting for it.
WINDOW_BYTES = 65535
SERVER_CONFIGURATION = config.Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)
# Queued after the last request; ends the task that serves the queue.
STOPPED = None
CALL_ERRORS = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a peer, queued for a curio task.

    :param str method: name of the method in the proto file.
    :param reply: asyncio future of the reply message.
    """

    method: str
    message: object
    reply: asyncio.Future


class Service(exchange_grpc.DaemonsBase):
    """Forwards the requests of peers to curio.

    :param peer_sockets.PeerListener listener: has the connections of calls.
    """

    def __init__(self, requests, listener):
        self.requests = requests
        self.listener = listener

    async def Exchange(self, stream):  # noqa: N802
        """Forward a digest."""
        await self.forward('Exchange', stream)

    async def Push(self, stream):  # noqa: N802
        """Forward new revisions."""
        await self.forward('Push', stream)

    async def Keep(self, stream):  # noqa: N802
        """Forward copies of bills."""
        await self.forward('Keep', stream)

    async def Release(self, stream):  # noqa: N802
        """Forward the ids of bills that the platform has stored."""
        await self.forward('Release', stream)

    async def Announce(self, stream):  # noqa: N802
        """Forward announcements."""
        await self.forward('Announce', stream)

    async def forward(self, method, stream):
        """Serve a call within the limits of its connection.

        :raises exceptions.GRPCError: if the call is refused or the reply is
            an error.
        """
        connection = self.listener.by_address.get(stream.peer.addr())
        if connection is None:
            raise exceptions.GRPCError(
                const.Status.UNAVAILABLE, 'the connection is closed'
            )
        try:
            if not connection.begin_call():
                raise exceptions.GRPCError(
                    const.Status.RESOURCE_EXHAUSTED, 'too many calls'
                )
            await self.answer(method, stream, connection)
        finally:
            connection.end_call()

    async def answer(self, method, stream, connection):
        """Queue a request, await its reply and send it.

        The connection is closed if its client doesn't finish the request or
        has no room for the reply in time.

        :raises exceptions.GRPCError: if the reply is an error.
        """
        async with connection.deadline('input', REPLY_TIMEOUT_SECONDS):
            message = await stream.recv_message()
        reply = asyncio.get_running_loop().create_future()
        async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
            await self.requests.put(Request(method, message, reply))
            answer = await reply
        async with connection.deadline('unread', REPLY_TIMEOUT_SECONDS):
            if not isinstance(answer, errors.CelerywardError):
                await stream.send_message(answer)
                # Otherwise sent later, without a deadline.
                await stream.send_trailing_metadata()
                return
        raise exceptions.GRPCError(
            const.Status.FAILED_PRECONDITION, answer.message
        )


class Bridge:
    """gRPC client and server for the traffic between daemons.

    :param str host: address to listen on.
    :param int port: port to listen on; 0 selects a free one.
    :param connection_limits.ListenerLimits limits: limits of connections.
    :param closings.Closings closed: counts what is closed for the limits.
    """

    def __init__(self, host, port, limits=NO_LIMITS, closed=None):
        self.host = host
        self.port = port
        self.limits = limits
        self.closed = closed or closings.Closings('peers')
        self.requests = curio.UniversalQueue(maxsize=MAX_WAITING_REQUESTS)
        self.thread = None
        self.loop = None
        self.stopping = None
        self.channels = {}
        self.calls = set()

    async def start(self):
        """Open the listening socket and start the asyncio thread."""
        listener = open_listener(
            self.host, self.port, self.limits, self.closed
        )
        self.port = listener.getsockname()[1]
        started = curio.UniversalResult()
        self.thread = threading.Thread(
            target=self.run_thread,
            args=(listener, started),
            name='daemon-exchange',
            daemon=True,
        )
        self.thread.start()
        await started.unwrap()

    def run_thread(self, listener, started):
        """Run the asyncio loop until the bridge is stopped."""
        asyncio.run(self.serve(listener, started))

    async def serve(self, listener, started):
        """Serve peers until the bridge is stopped."""
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        grpc_server = server.Server(
            [Service(self.requests, listener)], config=SERVER_CONFIGURATION
        )
        await grpc_server.start(sock=listener)
        self.loop.call_soon(set_result, started, None)
        await self.stopping.wait()
        for call in self.calls:
            call.cancel()
        grpc_server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await grpc_server.wait_closed()
        for contact in list(self.channels):
            self.close_channel(contact)

    async def stop(self):
        """Close every connection and end the thread."""
        if self.thread is None:
            return
        self.submit(self.stopping.set)
        await curio.run_in_thread(self.thread.join)
        self.thread = None
        # Removes requests whose peers are gone, to make room for the sentinel.
        while not self.requests.empty():
            await self.requests.get()
        await self.requests.put(STOPPED)

    async def call(self, contact, method, message, deadline):
        """Call a method of a peer.

        :param contact: :class:`gossip.Contact`.
        :returns: ``Ok`` with the reply message or ``Err(PeerFailure)``.
        """
        outcome = curio.UniversalResult()
        if not self.submit(
            self.start_call, outcome, contact, method, message, deadline
        ):
            return peer_failure('the exchange was stopped', method, contact)
        return await outcome.unwrap()

    def submit(self, function, *arguments):
        """Schedule a function on the asyncio loop.

        :returns: False if the loop is closed.
        """
        try:
            self.loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # A check beforehand would race with the end of the loop.
            return False
        return True

    def start_call(self, outcome, contact, method, message, deadline):
        """Start a call; on the asyncio loop only."""
        if self.stopping.is_set():
            outcome.set_value(
                peer_failure('the exchange is stopping', method, contact)
            )
            return
        coroutine = self.send_request(contact, method, message, deadline)
        call = self.loop.create_task(coroutine)
        self.calls.add(call)
        call.add_done_callback(functools.partial(self.finish_call, outcome))

    def finish_call(self, outcome, call):
        """Pass the outcome of a call to the curio task that waits for it.

        Every exception becomes a ``PeerFailure``, because without an outcome
        the task of the peer would block forever. grpclib 0.4.9 raises
        AttributeError if its connection is closed while a call starts.
        """
        self.calls.discard(call)
        if call.cancelled():
            outcome.set_value(
                peer_failure('the exchange was stopped', 'call', '')
            )
        elif call.exception() is not None:
            outcome.set_value(peer_failure(repr(call.exception()), 'call', ''))
        else:
            outcome.set_value(call.result())

    async def send_request(self, contact, method, message, deadline):
        """Send one request; close the connection if that fails.

        The next call then replaces a connection that no longer responds.
        """
        try:
            async with asyncio.timeout(deadline.remaining()):
                stub = exchange_grpc.DaemonsStub(self.get_channel(contact))
                return result.Ok(await getattr(stub, method)(message))
        except exceptions.GRPCError as error:
            return peer_failure(error.message, method, contact)
        except CALL_ERRORS as error:
            self.close_channel(contact)
            reason = str(error) or type(error).__name__
            return peer_failure(reason, method, contact)

    def get_channel(self, contact):
        """Return the channel to a peer, which connects on first use."""
        if contact not in self.channels:
            self.channels[contact] = client.Channel(
                contact.address, contact.port
            )
        return self.channels[contact]

    def close_channel(self, contact):
        """Close the channel to a peer; on the asyncio loop only."""
        channel = self.channels.pop(contact, None)
        if channel is not None:
            channel.close()

    def disconnect(self, contact):
        """Close the channel to a peer; called from curio tasks."""
        self.submit(self.close_channel, contact)

    def reply(self, request, message):
        """Answer a request of a peer; called from curio tasks.

        :param message: reply message or :class:`errors.CelerywardError`.
        """
        self.submit(set_reply, request.reply, message)


def open_listener(host, port, limits=NO_LIMITS, closed=None):
    """Return a listening socket for asyncio."""
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = peer_sockets.PeerListener(family, limits, closed)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def set_result(outcome, value):
    """Set a :class:`curio.UniversalResult` from the asyncio thread.

    This is a plain function because inside a coroutine, even one of asyncio,
    curio selects the asynchronous variant of ``set_value``.
    """
    outcome.set_value(value)


def set_reply(reply, message):
    """Set the future of a reply, unless its request has ended."""
    if not reply.done():
        reply.set_result(message)


def peer_failure(message, method, contact):
    """Return ``Err(PeerFailure)`` for a failed call."""
    peer = f'{contact.address}:{contact.port}' if contact else '-'
    return result.Err(
        errors.PeerFailure(
            f'{method} failed: {message}', step=method.lower(), peer=peer
        )
    )
