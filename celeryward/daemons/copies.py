"""Adapters between the ledger, the replicas of bills and the peers."""

from celeryward import errors


class CopyHandler:
    """Keeps copies of bills for peer daemons.

    :param replicas: :class:`objects.replicas.Replicas`.
    :param on_owner_died: async function, called with the owner name of a dead
        run of a daemon.
    """

    def __init__(self, replicas, on_owner_died):
        self.replicas = replicas
        self.on_owner_died = on_owner_died

    def keep(self, owner, bills):
        """Keep copies of bills.

        :returns: ``Ok``, or ``Err(Overloaded)`` if there is no room.
        """
        return self.replicas.keep(owner, bills)

    def release(self, owner, bill_ids):
        """Drop copies of bills that the platform has stored."""
        self.replicas.release(owner, bill_ids)

    async def owner_died(self, owner):
        """Call the callback, which takes over the bills of a dead daemon."""
        await self.on_owner_died(owner)


class CopySender:
    """Sends copies of this daemon's bills to its peers.

    :param control: :class:`control.ControlPlane`, whose peers exist once it is
        started.
    """

    def __init__(self, control):
        self.control = control

    async def keep(self, bills, deadline):
        """Send copies to peers; return the owners that keep them.

        :raises errors.PeerFailure: if fewer than 2 peers accept them.
        """
        if self.control.peers is None:
            raise errors.PeerFailure(
                'the exchange with peers has not started',
                step='keep bills',
                peer=self.control.settings.name,
            )
        return await self.control.peers.keep(bills, deadline)

    async def release(self, bill_ids):
        """Tell peers to drop copies; the platform has stored the bills."""
        if self.control.peers is not None:
            await self.control.peers.release(bill_ids)
