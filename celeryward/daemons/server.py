"""Server for the requests of peer daemons."""

import result

from celeryward.daemons import bridge
from celeryward.daemons import exchange_pb2
from celeryward.daemons import protocol
from celeryward import errors
from celeryward import logs
from celeryward import registry
from celeryward import supervision

HANDLERS = registry.Registry('daemon call')


class RefusingCopyHandler:
    """Handler for a daemon that keeps no copies of bills.

    The refusal makes the owner choose another peer, so that it never counts
    a copy that does not exist.

    Handlers must not block in ``keep`` and ``release``, because one task
    serves all requests of peers, those of gossip included; ``owner_died``
    runs in a task of its own.
    """

    def keep(self, owner, bills):
        """Refuse to keep copies of bills.

        :returns: ``Err(PeerFailure)``; other handlers may return ``Ok``.
        """
        return result.Err(
            errors.PeerFailure(
                'this daemon keeps no copies', step='keep', peer=owner
            )
        )

    def release(self, owner, bill_ids):
        """Drop copies of bills that the platform has stored."""

    async def owner_died(self, owner):
        """Take over the bills of a dead daemon."""


class PeerServer:
    """Serves the requests that a bridge receives.

    :param link: :class:`bridge.Bridge`.
    :param gossip: :class:`gossip.Gossip`.
    :param copy_handler: handler of copies of bills, such as
        :class:`copies.CopyHandler`.
    :param announcer: :class:`topics.Announcer`, or None to ignore what
        peers announce.
    """

    def __init__(self, link, gossip, copy_handler, announcer=None):
        self.bridge = link
        self.gossip = gossip
        self.copy_handler = copy_handler
        self.announcer = announcer

    async def run(self):
        """Serve requests until the bridge stops; must not be cancelled.

        In curio 1.6 a cancelled ``get`` of a UniversalQueue can deadlock the
        next ``put``, because it requeues the item under the queue's lock.
        """
        while True:
            request = await self.bridge.requests.get()
            if request is bridge.STOPPED:
                return
            self.bridge.reply(request, await self.handle(request))

    async def handle(self, request):
        """Return the reply message, or the error that refuses the request."""
        try:
            handler = HANDLERS.get(request.method)
            return await handler(self, request.message)
        except errors.CelerywardError as error:
            logs.bind_error(error).info(
                'request of a peer refused: {}', error.message
            )
            return error
        except Exception as error:
            failure = errors.ProtocolError(
                supervision.describe(error),
                step=supervision.raised_at(error),
                peer='daemon',
            )
            logs.bind_error(failure).error(
                'request of a peer failed: {}', failure.message
            )
            return failure


@HANDLERS.register('Exchange')
async def exchange(peer_server, message):
    """Reply to the digest of a peer."""
    digest = protocol.read_digest(message)
    return protocol.digest_message(peer_server.gossip.answer_digest(digest))


@HANDLERS.register('Push')
async def push(peer_server, message):
    """Accept new revisions; a listener of the store pushes them on."""
    changes = protocol.read_changes(message)
    peer_server.gossip.configuration.accept(changes)
    return exchange_pb2.Receipt()


@HANDLERS.register('Keep')
async def keep(peer_server, message):
    """Keep copies of a peer's bills."""
    bills = protocol.read_bills(message)
    errors.unwrap(peer_server.copy_handler.keep(message.owner, bills))
    return exchange_pb2.Receipt()


@HANDLERS.register('Release')
async def release(peer_server, message):
    """Drop copies of bills that the platform has stored."""
    bill_ids = tuple(message.bill_ids)
    peer_server.copy_handler.release(message.owner, bill_ids)
    return exchange_pb2.Receipt()


@HANDLERS.register('Announce')
async def announce(peer_server, message):
    """Accept the announcements of a peer."""
    if peer_server.announcer is not None:
        ignored = peer_server.gossip.configuration.ignored
        announced = protocol.read_announcements(message, ignored.record)
        peer_server.announcer.accept(announced)
    return exchange_pb2.Receipt()
