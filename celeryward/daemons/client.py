"""Calls to peer daemons, by one task for each peer."""

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
from celeryward import supervision

CALL_TIMEOUT_SECONDS = 3.0
# Leaves time to try another peer before the ledger's deadline of 0.5 s.
KEEP_TIMEOUT_SECONDS = 0.2
# The task of a peer and its connection end if no job arrives for this long,
# so that a daemon does not keep connections to all 339 others.
IDLE_TIMEOUT_SECONDS = 60.0
MAX_QUEUED_JOBS = 64
# Per exchange; each step carries up to 500 changes.
MAX_EXCHANGE_STEPS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A call that the task of one peer is to make.

    :param work: coroutine function without parameters that returns ``Ok`` or
        ``Err``.
    :param curio.Result done: receives the outcome; None if nobody waits.
    """

    work: object
    done: curio.Result | None = None


class Peer:
    """Makes all calls to one peer, one at a time.

    :param bridge: :class:`bridge.Bridge`.
    :param decisions: :class:`gossip.Gossip`.
    :param contact: :class:`gossip.Contact` of the peer.
    """

    def __init__(self, bridge, decisions, contact):
        self.bridge = bridge
        self.gossip = decisions
        self.contact = contact
        self.jobs = curio.Queue(maxsize=MAX_QUEUED_JOBS)
        self.last_exchange = None

    async def run(self):
        """Run queued jobs until none arrives within the idle time-out."""
        while True:
            job = None
            async with curio.ignore_after(IDLE_TIMEOUT_SECONDS):
                job = await self.jobs.get()
            if job is None:
                if self.jobs.empty():
                    return
                # Put after the time-out, before this task ran again.
                continue
            outcome = await self.run_job(job)
            if outcome.is_err():
                error = outcome.unwrap_err()
                logs.bind_error(error).debug('{}', error.message)
            if job.done is not None:
                await job.done.set_value(outcome)

    async def run_job(self, job):
        """Return the outcome of a job; any error becomes ``PeerFailure``.

        Whoever waits for the job would otherwise wait for ever.
        """
        try:
            return await job.work()
        except Exception as error:
            failure = errors.PeerFailure(
                supervision.describe(error),
                step=supervision.raised_at(error),
                peer=f'{self.contact.address}:{self.contact.port}',
            )
            logs.bind_error(failure).error('job failed: {}', failure.message)
            return result.Err(failure)

    async def call(self, method, message, deadline=None):
        """Call a method of the peer.

        :returns: ``Ok`` with the reply message or ``Err(PeerFailure)``.
        """
        deadline = deadline or deadlines.Deadline.after(CALL_TIMEOUT_SECONDS)
        return await self.bridge.call(self.contact, method, message, deadline)

    async def exchange(self):
        """Exchange the changes that this daemon or the peer lacks.

        :returns: ``Ok`` with the last digest of the peer, or ``Err``.
        """
        digest = self.gossip.open_exchange()
        for _ in range(MAX_EXCHANGE_STEPS):
            message = protocol.digest_message(digest)
            outcome = (await self.call('Exchange', message)).and_then(
                decode_digest
            )
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
        """Send copies of bills for the peer to keep."""
        message = protocol.bills_message(owner, bills)
        return await self.call('Keep', message, deadline)

    async def release(self, owner, bill_ids):
        """Tell the peer to drop copies; the platform has stored the bills."""
        message = exchange_pb2.BillIds(owner=owner, bill_ids=bill_ids)
        return await self.call('Release', message)


def decode_digest(message):
    """Return ``Ok`` with the digest of a reply, or ``Err(ProtocolError)``."""
    try:
        return result.Ok(protocol.read_digest(message))
    except errors.ProtocolError as error:
        return result.Err(error)


class Peers:
    """The peers of a daemon, each with its task.

    :param bridge: :class:`bridge.Bridge`.
    :param decisions: :class:`gossip.Gossip`.
    """

    def __init__(self, bridge, decisions):
        self.bridge = bridge
        self.gossip = decisions
        self.members = decisions.members
        self.peers = {}
        self.tasks = {}
        self.copy_holders = {}
        self.pending_releases = {}

    async def get_peer(self, contact):
        """Return the peer at a contact; start its task if none runs."""
        if contact not in self.peers:
            peer = Peer(self.bridge, self.gossip, contact)
            self.peers[contact] = peer
            self.tasks[contact] = await curio.spawn(
                self.run_peer, peer, daemon=True
            )
        return self.peers[contact]

    async def run_peer(self, peer):
        """Run the jobs of one peer, then close its connection."""
        try:
            await peer.run()
        finally:
            self.peers.pop(peer.contact, None)
            self.tasks.pop(peer.contact, None)
            self.bridge.disconnect(peer.contact)

    async def stop(self):
        """Cancel the task of every peer."""
        for task in list(self.tasks.values()):
            await task.cancel()

    async def queue_job(self, contact, method, *arguments):
        """Queue a call of a :class:`Peer` method.

        :returns: :class:`curio.Result`, or None if the queue is full.
        """
        peer = await self.get_peer(contact)
        if peer.jobs.full():
            return None
        done = curio.Result()
        work = functools.partial(getattr(peer, method), *arguments)
        await peer.jobs.put(Job(work, done))
        return done

    async def exchange(self, contact):
        """Queue an exchange with a peer, unless one is queued or running.

        Exchanges with a slow peer would pile up before other calls to it.
        """
        peer = await self.get_peer(contact)
        if peer.last_exchange is None or peer.last_exchange.is_set():
            peer.last_exchange = await self.queue_job(contact, 'exchange')
        return peer.last_exchange

    async def push(self, changes, cross_domain):
        """Queue the push of new revisions to a few peers."""
        for contact in self.gossip.push_contacts(cross_domain):
            await self.queue_job(contact, 'push', changes)

    async def announce(self, announcements):
        """Queue announcements to a few peers."""
        for contact in self.gossip.push_contacts(True):
            await self.queue_job(contact, 'announce', announcements)

    async def keep(self, bills, deadline):
        """Store copies of bills at two peers on other hosts.

        One of them is in another failure domain if one is reachable there. A
        peer that fails, refuses or does not reply in time is replaced by the
        next candidate.

        :returns: the owners of the peers that hold copies, by which
            ``owner_died`` names them later.
        :raises errors.PeerFailure: if fewer than two peers accepted copies
            before the deadline.
        """
        holders, contacted = [], []
        candidates = list(self.members.copy_candidates())
        while len(holders) < billing.MIN_REPLICAS and not deadline.expired():
            chosen = choose_distinct_hosts(
                candidates, holders, billing.MIN_REPLICAS - len(holders)
            )
            if not chosen:
                break
            candidates = [
                member for member in candidates if member not in chosen
            ]
            contacted += chosen
            for bill in bills:
                # Peers whose reply was lost may hold a copy too.
                self.copy_holders[bill.id or bill.request_id] = tuple(
                    contacted
                )
            attempt = deadlines.Deadline.after(KEEP_TIMEOUT_SECONDS)
            holders += await self.send_copies(
                chosen, bills, attempt.earlier(deadline)
            )
        if len(holders) < billing.MIN_REPLICAS:
            raise errors.PeerFailure(
                f'{len(holders)} of {billing.MIN_REPLICAS} peers keep copies',
                step='keep',
                peer=', '.join(member.name for member in contacted) or '-',
            )
        return tuple(member.owner for member in holders)

    async def send_copies(self, members, bills, deadline):
        """Send copies to members in parallel; return those that accepted."""
        owner = self.members.own.owner
        results = [
            await self.queue_job(
                gossip.member_contact(member), 'keep', owner, bills, deadline
            )
            for member in members
        ]
        accepting = []
        for member, done in zip(members, results):
            outcome = None
            if done is not None:
                async with curio.ignore_after(deadline.remaining()):
                    outcome = await done.unwrap()
            if outcome is not None and outcome.is_ok():
                accepting.append(member)
        return accepting

    async def release(self, bill_ids):
        """Tell the holders to drop copies; the platform has stored the bills.

        A release that fails is retried at the next release and in each round
        of gossip.

        :param bill_ids: ids of bills, or request ids of bills without an id.
        """
        for bill_id in bill_ids:
            for member in self.copy_holders.pop(bill_id, ()):
                self.pending_releases.setdefault(member, set()).add(bill_id)
        await self.send_releases()

    async def send_releases(self):
        """Send all pending releases to live members.

        Releases for members that have been forgotten are dropped.
        """
        live = set(self.members.live())
        for member in list(self.pending_releases):
            if member in live:
                await curio.spawn(self.send_release, member, daemon=True)
            elif member not in self.members.dead():
                del self.pending_releases[member]

    async def send_release(self, member):
        """Send the pending releases of one member."""
        bill_ids = self.pending_releases.pop(member, None)
        if bill_ids is None:
            return
        done = await self.queue_job(
            gossip.member_contact(member),
            'release',
            self.members.own.owner,
            tuple(bill_ids),
        )
        if done is None or (await done.unwrap()).is_err():
            self.pending_releases.setdefault(member, set()).update(bill_ids)


def choose_distinct_hosts(candidates, holders, count):
    """Return up to ``count`` candidates, each on a host without a copy.

    Candidates in a failure domain without a copy come first.
    """
    chosen = []
    for _ in range(count):
        holding = [*holders, *chosen]
        hosts = {member.host_name for member in holding}
        domains = {member.failure_domain for member in holding}
        eligible = [
            entry for entry in candidates if entry.host_name not in hosts
        ]
        eligible.sort(key=lambda entry: entry.failure_domain in domains)
        chosen += eligible[:1]
    return chosen
