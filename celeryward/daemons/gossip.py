"""Whom to contact and what to send; free of any encoding."""

import dataclasses
import time

from celeryward.daemons import inventory
from celeryward.daemons import membership
from celeryward.objects import protocol

PUSH_FANOUT = 3
# Each daemon contacts one other failure domain every few rounds, in turn.
CROSS_DOMAIN_ROUNDS = 4
# Dead members and seeds are tried this often, to find healed links.
UNREACHABLE_RETRY_ROUNDS = 8
# Heartbeats of other failure domains relayed in one message.
MAX_RELAYED_HEARTBEATS = 16
# Descriptions of members, about 80 bytes each, in one message.
MAX_MEMBERS_PER_DIGEST = 32
# A daemon that starts asks again until it has everything, so that one
# message stays well under the window of 4 MiB.
MAX_CHANGES_PER_DIGEST = 500
# More changes at once come from a list or a start, when peers hold most of
# them; anti-entropy finds those that they lack.
MAX_PUSHED_CHANGES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Where a daemon listens for its peers."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """What one daemon tells another in an exchange.

    :param int fingerprint: equal if both hold the same revisions.
    :param float confirmed_at: UTC seconds when the platform last confirmed
        the sender's configuration.
    :param tuple bucket_hashes: sent when the fingerprints differ.
    :param tuple bucket_numbers: buckets that ``entries`` covers.
    :param tuple wanted: keys of changes that the sender asks for.
    """

    heartbeats: tuple[membership.Heartbeat, ...] = ()
    members: tuple[membership.Member, ...] = ()
    unknown_ids: tuple[int, ...] = ()
    fingerprint: int = 0
    confirmed_at: float = 0.0
    bucket_hashes: tuple[int, ...] = ()
    bucket_numbers: tuple[int, ...] = ()
    entries: tuple[inventory.Entry, ...] = ()
    changes: tuple[protocol.Change, ...] = ()
    wanted: tuple[int, ...] = ()


def member_contact(member):
    """Return where a member listens."""
    return Contact(member.address, member.port)


class Gossip:
    """Decides about the exchanges and pushes of one daemon.

    An exchange has up to three steps. The first carries fingerprints; if
    they differ, the answer carries bucket hashes, the second step carries
    the entries of the differing buckets and is answered by the changes that
    the opener lacks, and the third pushes the changes that it was members for.

    :param members: :class:`membership.Membership`.
    :param configuration: :class:`ConfigurationStore`.
    :param tuple seeds: contacts from the settings.
    :param random: source of random choices.
    :param clock: function that returns UTC seconds.
    """

    def __init__(self, members, configuration, seeds, random, clock=time.time):
        self.members = members
        self.configuration = configuration
        self.inventory = inventory.Inventory(configuration)
        self.seeds = tuple(seeds)
        self.random = random
        self.clock = clock
        self.round = random.randrange(
            CROSS_DOMAIN_ROUNDS * UNREACHABLE_RETRY_ROUNDS
        )

    def choose_contacts(self):
        """Return whom to exchange with in the next round."""
        self.round += 1
        chosen = self.choose_local()
        if not chosen or self.round % CROSS_DOMAIN_ROUNDS == 0:
            chosen += self.choose_remote()
        if not chosen or self.round % UNREACHABLE_RETRY_ROUNDS == 0:
            chosen += self.choose_unreachable()
        return list(dict.fromkeys(chosen))

    def choose_local(self):
        """Return one live contact of the own failure domain, if any."""
        local = filter(self.members.is_local, self.members.live())
        return self.sample_contact(
            [member_contact(member) for member in local]
        )

    def choose_remote(self):
        """Return one contact of the failure domain whose turn it is.

        A domain without a live member is members as well, since it may have
        been cut off and healed.
        """
        domains = {}
        for member in self.members.live() + self.members.dead():
            if not self.members.is_local(member):
                domains.setdefault(member.failure_domain, []).append(member)
        if not domains:
            return []
        turn = self.round // CROSS_DOMAIN_ROUNDS % len(domains)
        found = domains[sorted(domains)[turn]]
        live = set(self.members.live())
        preferred = [member for member in found if member in live]
        return self.sample_contact(
            [member_contact(member) for member in preferred or found]
        )

    def choose_unreachable(self):
        """Return one dead member or seed, which may be back."""
        live = {member_contact(member) for member in self.members.live()}
        live.add(member_contact(self.members.own))
        dead = [member_contact(member) for member in self.members.dead()]
        return self.sample_contact(
            [
                contact
                for contact in (*dead, *self.seeds)
                if contact not in live
            ]
        )

    def sample_contact(self, contacts):
        """Return a list of one random contact, or an empty list."""
        return [self.random.choice(contacts)] if contacts else []

    def push_contacts(self, from_platform):
        """Return the peers that get new changes at once.

        Peers of the own failure domain come first. A holder of the watch
        sends to another failure domain too, which may not reach the
        platform.
        """
        live = self.members.live()
        local = [member for member in live if self.members.is_local(member)]
        remote = [
            member for member in live if not self.members.is_local(member)
        ]
        self.random.shuffle(local)
        self.random.shuffle(remote)
        if from_platform:
            chosen = remote[:1] + local + remote[1:]
        else:
            chosen = local + remote
        return [member_contact(member) for member in chosen[:PUSH_FANOUT]]

    def open_exchange(self):
        """Return the digest that opens an exchange."""
        return self.make_digest(self.heartbeats())

    def make_digest(self, heartbeats, members=()):
        """Return a digest with the state of the own configuration."""
        return Digest(
            heartbeats=tuple(heartbeats),
            members=tuple(members),
            unknown_ids=self.members.take_unknown(MAX_MEMBERS_PER_DIGEST),
            fingerprint=self.inventory.fingerprint,
            confirmed_at=self.configuration.confirmed_at,
        )

    def heartbeats(self):
        """Return own, local and a few relayed heartbeats."""
        own = membership.Heartbeat(self.members.own.id, self.members.counter)
        local, remote = [], []
        for key, entry in self.members.seen.items():
            if not entry.live:
                continue
            group = local if self.members.is_local(entry.member) else remote
            group.append(membership.Heartbeat(key, entry.counter))
        if len(remote) > MAX_RELAYED_HEARTBEATS:
            remote = self.random.sample(remote, MAX_RELAYED_HEARTBEATS)
        return [own, *local, *remote]

    def answer_digest(self, digest):
        """Take over a digest of another daemon and return the answer."""
        self.merge_digest(digest)
        members = self.known_members(digest)
        if not digest.heartbeats:
            return self.answer_entries(digest, members)
        peer_counters = {
            heartbeat.member_id: heartbeat.counter
            for heartbeat in digest.heartbeats
        }
        newer = [
            heartbeat
            for heartbeat in self.heartbeats()
            if heartbeat.counter > peer_counters.get(heartbeat.member_id, -1)
        ]
        reply = self.make_digest(newer, members)
        if self.has_same_revisions(digest):
            return reply
        return dataclasses.replace(
            reply, bucket_hashes=tuple(self.inventory.bucket_hashes)
        )

    def answer_entries(self, digest, members):
        """Answer a second step, the only one without heartbeats.

        Returns what the other side lacks and asks for what is missing.
        """
        lacking = self.inventory.newer_than(
            digest.bucket_numbers, digest.entries
        )
        return dataclasses.replace(
            self.make_digest((), members),
            changes=tuple(lacking[:MAX_CHANGES_PER_DIGEST]),
            wanted=self.inventory.wanted(digest.entries),
        )

    def next_digest(self, reply):
        """Return the next digest of an exchange, or None if it is over."""
        accepted = self.merge_digest(reply)
        if accepted and not self.has_same_revisions(reply):
            # One message did not hold all changes.
            return self.open_exchange()
        numbers = self.inventory.differing(reply.bucket_hashes)
        members = self.known_members(reply)
        if not numbers and not members and not self.members.unknown:
            return None
        return dataclasses.replace(
            self.make_digest((), members),
            bucket_numbers=numbers,
            entries=self.inventory.entries(numbers),
        )

    def requested_changes(self, reply):
        """Return the changes that the other side asks for."""
        known = [key for key in reply.wanted if key in self.inventory.keys]
        return [
            self.inventory.change(key)
            for key in known[:MAX_CHANGES_PER_DIGEST]
        ]

    def known_members(self, digest):
        """Return the members that the other side does not know."""
        found = map(self.members.find, digest.unknown_ids)
        return tuple(member for member in found if member)[
            :MAX_MEMBERS_PER_DIGEST
        ]

    def merge_digest(self, digest):
        """Take over members, heartbeats and changes of a digest.

        :returns: the changes that were new.
        """
        self.members.learn(digest.members)
        self.members.observe(digest.heartbeats)
        accepted = self.configuration.accept(digest.changes)
        if self.has_same_revisions(digest):
            # A later confirmation holds only for the same revisions. A
            # clock that runs ahead must not make them look newer.
            self.configuration.confirm(min(digest.confirmed_at, self.clock()))
        return accepted

    def has_same_revisions(self, digest):
        """Return whether the other side holds the same revisions."""
        return digest.fingerprint == self.inventory.fingerprint
