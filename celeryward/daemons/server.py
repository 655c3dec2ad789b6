"""The task that serves requests of other daemons."""

import result

from celeryward.daemons import bridge
from celeryward.daemons import exchange_pb2
from celeryward.daemons import protocol
from celeryward import errors
from celeryward import logs
from celeryward import registry

CALLS = registry.Registry('daemon call')


class RefuseCopies:
    """Handler of copies for a daemon that keeps none.

    A handler's ``keep`` and ``release`` return at once, because gossip waits
    for them; ``owner_died`` runs in a task of its own.

    A refusal makes the owner choose another peer, so that it never counts
    a copy that does not exist.
    """

    def keep(self, owner, bills):
        """Refuse to keep copies of bills.

        :returns: ``Ok`` or ``Err`` with an error of this project.
        """
        return result.Err(
            errors.PeerFailure(
                'this daemon keeps no copies', step='keep', peer=owner
            )
        )

    def release(self, owner, bill_ids):
        """Drop copies of bills that the platform holds."""

    async def owner_died(self, owner):
        """Take over the bills of a dead daemon."""


class PeerServer:
    """Answers the requests that a bridge receives.

    :param link: :class:`bridge.Bridge`.
    :param gossip: :class:`gossip.Gossip`.
    :param copies: handler of copies, as :class:`RefuseCopies`.
    :param announcer: :class:`topics.Announcer`, or None to ignore what
        peers announce.
    """

    def __init__(self, link, gossip, copies, announcer=None):
        self.bridge = link
        self.gossip = gossip
        self.copies = copies
        self.announcer = announcer

    async def run(self):
        """Answer requests until the bridge stops; never cancelled.

        In curio 1.6 a cancelled ``get`` on a UniversalQueue can deadlock
        the next ``put``: it queues the item again under the queue's lock.
        """
        while True:
            request = await self.bridge.requests.get()
            if request is bridge.STOPPED:
                return
            self.bridge.reply(request, await self.answer(request))

    async def answer(self, request):
        """Return the reply message, or the error that refuses."""
        try:
            call = CALLS.get(request.method)
            return await call(self, request.message)
        except errors.CelerywardError as error:
            logs.bind_error(error).info(
                'request of a peer refused: {}', error.message
            )
            return error


@CALLS.register('Exchange')
async def exchange(peer_server, message):
    """Answer the digest of a peer."""
    digest = protocol.read_digest(message)
    return protocol.digest_message(peer_server.gossip.answer_digest(digest))


@CALLS.register('Push')
async def push(peer_server, message):
    """Take over new revisions; the store's listener passes them on."""
    changes = protocol.read_changes(message)
    peer_server.gossip.configuration.accept(changes)
    return exchange_pb2.Receipt()


@CALLS.register('Keep')
async def keep(peer_server, message):
    """Keep copies of a peer's bills."""
    bills = protocol.read_bills(message)
    errors.unwrap(peer_server.copies.keep(message.owner, bills))
    return exchange_pb2.Receipt()


@CALLS.register('Release')
async def release(peer_server, message):
    """Drop copies of bills that the platform holds."""
    bill_ids = tuple(message.bill_ids)
    peer_server.copies.release(message.owner, bill_ids)
    return exchange_pb2.Receipt()


@CALLS.register('Announce')
async def announce(peer_server, message):
    """Take over what a peer announces."""
    if peer_server.announcer is not None:
        announced = protocol.read_announcements(message)
        peer_server.announcer.accept(announced)
    return exchange_pb2.Receipt()
