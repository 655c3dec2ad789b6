"""Copies of bills: between the ledger, the peers and the kept copies."""

from celeryward import errors

COPIES = 2


class CopyHandler:
    """Keeps copies for other daemons.

    :param replicas: :class:`platform.replicas.Replicas`.
    :param owner_died: async function of the name of a dead run of a daemon.
    """

    def __init__(self, replicas, owner_died):
        self.replicas = replicas
        self.report_death = owner_died

    async def keep(self, owner, bills):
        """Keep copies of bills.

        :raises errors.Overloaded: if there is no room for them.
        """
        errors.unwrap(self.replicas.keep(owner, bills))

    async def release(self, owner, bill_ids):
        """Drop copies of bills that the platform holds."""
        self.replicas.release(owner, bill_ids)

    async def owner_died(self, owner):
        """Take over the bills of a dead daemon."""
        await self.report_death(owner)


class CopySender:
    """Sends the bills of this daemon to its peers.

    :param control: :class:`control.Control`, whose peers exist once it is
        started.
    """

    def __init__(self, control):
        self.control = control

    async def keep(self, bills, deadline):
        """Return the owners that keep copies, as a frozen set.

        :raises errors.PeerFailure: if fewer than 2 peers keep them.
        """
        peers = self.control.peers
        held = () if peers is None else await peers.keep(bills, deadline)
        if len(held) < COPIES:
            raise errors.PeerFailure(
                f'{len(held)} of {COPIES} copies of bills are kept',
                step='keep bills',
                peer=self.control.settings.name,
            )
        return frozenset(member.owner for member in held)

    async def release(self, bill_ids):
        """Tell the holders of copies that the platform holds the bills."""
        if self.control.peers is not None:
            await self.control.peers.release(bill_ids)
