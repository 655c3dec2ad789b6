"""One task for each peer daemon: exchanges, pushes and copies of bills."""

import dataclasses
import functools

import curio
import result

from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward.daemons import protocol
from celeryward import deadlines
from celeryward import errors
from celeryward import logs
from celeryward.objects import billing

CALL_SECONDS = 3.0
# Leaves time to ask another peer before the ledger's deadline of 0.5 s.
KEEP_SECONDS = 0.2
# A peer task and its connection end when nothing is sent for this long, so
# that a daemon does not hold a connection to all 339 others.
IDLE_SECONDS = 60.0
MAX_WAITING_JOBS = 64
# Bounds the steps of one exchange; each carries up to 500 changes.
MAX_STEPS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Work for the task of one peer.

    :param work: coroutine function without parameters.
    :param curio.Result done: receives the outcome, or None.
    """

    work: object
    done: curio.Result | None = None


class Peer:
    """The only user of the connection to one peer.

    :param bridge: :class:`bridge.Bridge`.
    :param gossip: :class:`gossip.Gossip`.
    """

    def __init__(self, bridge, decisions, contact):
        self.bridge = bridge
        self.gossip = decisions
        self.contact = contact
        self.jobs = curio.Queue(maxsize=MAX_WAITING_JOBS)

    async def run(self):
        """Do one job after the other until none came for some time."""
        while True:
            job = None
            async with curio.ignore_after(IDLE_SECONDS):
                job = await self.jobs.get()
            if job is None:
                return
            outcome = await job.work()
            if outcome.is_err():
                error = outcome.unwrap_err()
                logs.bind_error(error).debug('{}', error.message)
            if job.done is not None:
                await job.done.set_value(outcome)

    async def call(self, method, message, deadline=None):
        """Call one method of the peer."""
        deadline = deadline or deadlines.Deadline.after(CALL_SECONDS)
        return await self.bridge.call(self.contact, method, message, deadline)

    async def exchange(self):
        """Compare revisions with the peer and exchange what differs."""
        digest = self.gossip.open_exchange()
        for _ in range(MAX_STEPS):
            message = protocol.digest_message(digest)
            outcome = (await self.call('Exchange', message)).and_then(read)
            if outcome.is_err():
                return outcome
            digest = self.gossip.next_digest(outcome.unwrap())
            requested = self.gossip.requested_changes(outcome.unwrap())
            if requested:
                await self.push(requested)
            if digest is None:
                break
        return outcome

    async def push(self, changes):
        """Send new revisions."""
        return await self.call('Push', protocol.changes_message(changes))

    async def announce(self, announcements):
        """Send announcements."""
        message = protocol.announcements_message(announcements)
        return await self.call('Announce', message)

    async def keep(self, owner, bills, deadline):
        """Ask the peer to keep copies of bills."""
        message = protocol.bills_message(owner, bills)
        return await self.call('Keep', message, deadline)

    async def release(self, owner, bill_ids):
        """Tell the peer that the platform holds these bills."""
        message = exchange_pb2.BillIds(owner=owner, bill_ids=bill_ids)
        return await self.call('Release', message)


def read(message):
    """Return ``Ok`` with the digest of a reply, or ``Err``."""
    try:
        return result.Ok(protocol.read_digest(message))
    except errors.ProtocolError as error:
        return result.Err(error)


class Peers:
    """All peers of a daemon.

    :param bridge: :class:`bridge.Bridge`.
    :param decisions: :class:`gossip.Gossip`.
    """

    def __init__(self, bridge, decisions):
        self.bridge = bridge
        self.gossip = decisions
        self.members = decisions.members
        self.peers = {}
        self.tasks = {}
        self.kept = {}
        self.releases = {}

    async def peer(self, contact):
        """Return the peer at a contact, whose task runs."""
        if contact not in self.peers:
            peer = Peer(self.bridge, self.gossip, contact)
            self.peers[contact] = peer
            self.tasks[contact] = await curio.spawn(
                self.run_peer, peer, daemon=True
            )
        return self.peers[contact]

    async def run_peer(self, peer):
        """Run the task of one peer, then close its connection."""
        try:
            await peer.run()
        finally:
            self.peers.pop(peer.contact, None)
            self.tasks.pop(peer.contact, None)
            self.bridge.disconnect(peer.contact)

    async def stop(self):
        """End the task of every peer."""
        for task in list(self.tasks.values()):
            await task.cancel()

    async def start_job(self, contact, method, *arguments):
        """Queue a job; return its result, or None if too many wait."""
        peer = await self.peer(contact)
        if peer.jobs.full():
            return None
        done = curio.Result()
        work = functools.partial(getattr(peer, method), *arguments)
        await peer.jobs.put(Job(work, done))
        return done

    async def exchange(self, contact):
        """Exchange with a peer in its task."""
        return await self.start_job(contact, 'exchange')

    async def push(self, changes, cross_domain):
        """Send new revisions to a few peers at once."""
        for contact in self.gossip.push_contacts(cross_domain):
            await self.start_job(contact, 'push', changes)

    async def announce(self, announcements):
        """Send announcements to a few peers."""
        for contact in self.gossip.push_contacts(True):
            await self.start_job(contact, 'announce', announcements)

    async def keep(self, bills, deadline):
        """Store copies of bills at two peers on other hosts.

        One is in another failure domain where one can be reached. A peer
        that fails, refuses or stays silent is replaced by the next one.

        :returns: the owners of the peers that hold copies, as
            ``owner_died`` names them later.
        :raises errors.PeerFailure: if fewer than two peers took copies
            before the deadline.
        """
        holders, asked = [], []
        candidates = list(self.members.copy_candidates())
        while len(holders) < billing.MIN_REPLICAS and not deadline.expired():
            chosen = spread(
                candidates, holders, billing.MIN_REPLICAS - len(holders)
            )
            if not chosen:
                break
            candidates = [
                member for member in candidates if member not in chosen
            ]
            asked += chosen
            for bill in bills:
                # A peer whose reply is lost may hold a copy, too.
                self.kept[bill.id or bill.request_id] = tuple(asked)
            attempt = deadlines.Deadline.after(KEEP_SECONDS)
            holders += await self.keep_at(
                chosen, bills, attempt.earlier(deadline)
            )
        if len(holders) < billing.MIN_REPLICAS:
            raise errors.PeerFailure(
                f'{len(holders)} of {billing.MIN_REPLICAS} peers keep copies',
                step='keep',
                peer=', '.join(member.name for member in asked) or '-',
            )
        return tuple(member.owner for member in holders)

    async def keep_at(self, members, bills, deadline):
        """Send copies to members at once; return those that took them."""
        owner = self.members.own.owner
        started = [
            await self.start_job(
                gossip.member_contact(member), 'keep', owner, bills, deadline
            )
            for member in members
        ]
        took = []
        for member, done in zip(members, started):
            outcome = None
            if done is not None:
                async with curio.ignore_after(deadline.remaining()):
                    outcome = await done.unwrap()
            if outcome is not None and outcome.is_ok():
                took.append(member)
        return took

    async def release(self, bill_ids):
        """Tell the holders of copies that the platform holds these bills.

        :param bill_ids: ids of bills, or request ids of bills without one.

        A release that fails is repeated at the next one and at each round
        of gossip.
        """
        for bill_id in bill_ids:
            for member in self.kept.pop(bill_id, ()):
                self.releases.setdefault(member, set()).add(bill_id)
        await self.send_releases()

    async def send_releases(self):
        """Send all outstanding releases to members that are live."""
        live = set(self.members.live())
        for member in list(self.releases):
            if member in live:
                await curio.spawn(self.release_at, member, daemon=True)
            elif member not in self.members.dead():
                del self.releases[member]

    async def release_at(self, member):
        """Send the outstanding releases of one member."""
        bill_ids = self.releases.pop(member, None)
        if bill_ids is None:
            return
        done = await self.start_job(
            gossip.member_contact(member),
            'release',
            self.members.own.owner,
            tuple(bill_ids),
        )
        if done is None or (await done.unwrap()).is_err():
            self.releases.setdefault(member, set()).update(bill_ids)


def spread(candidates, holders, count):
    """Return the next members, each on a host of its own.

    The order of candidates alternates domains at its start; a second copy
    prefers a failure domain that holds none yet.
    """
    chosen = []
    for _ in range(count):
        held = [*holders, *chosen]
        hosts = {member.host_name for member in held}
        domains = {member.failure_domain for member in held}
        free = [entry for entry in candidates if entry.host_name not in hosts]
        free.sort(key=lambda entry: entry.failure_domain in domains)
        chosen += free[:1]
    return chosen
