"""Peer selection and digest contents of the gossip between daemons.

Decisions only; :mod:`protocol` encodes the messages.
"""

import dataclasses
import time

from celeryward.daemons import inventory
from celeryward.daemons import membership
from celeryward.objects import protocol

PUSH_FANOUT = 3
# Every this many rounds a daemon contacts another failure domain, chosen in
# turn.
CROSS_DOMAIN_ROUNDS = 4
# Every this many rounds a daemon contacts a dead member or a seed, to detect
# that a network partition has healed.
UNREACHABLE_RETRY_ROUNDS = 8
# Heartbeats of members in other failure domains, per digest.
MAX_RELAYED_HEARTBEATS = 16
# A member description takes about 80 bytes.
MAX_MEMBERS_PER_DIGEST = 32
# Keeps a message well below the HTTP/2 window of 4 MiB. A starting daemon
# repeats the exchange until it has all changes.
MAX_CHANGES_PER_DIGEST = 500
# Larger sets of changes come from a list or from a start, when peers hold
# most of them already; anti-entropy transfers the rest.
MAX_PUSHED_CHANGES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Address and port at which a daemon listens for its peers."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Content of one message of an exchange, in either direction.

    :param tuple unknown_ids: ids of members that the sender can't resolve.
    :param int fingerprint: equal if both hold the same revisions.
    :param float confirmed_at: UTC seconds when the platform last confirmed
        the sender's configuration.
    :param tuple bucket_hashes: sent if the fingerprints differ.
    :param tuple bucket_numbers: buckets that ``entries`` covers.
    :param tuple wanted: keys of changes that the sender requests.
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
    """Return the contact of a member."""
    return Contact(member.address, member.port)


class Gossip:
    """Chooses the peers and the messages of one daemon's gossip.

    An exchange has up to three steps, each started by the daemon that opened
    the exchange:

    1. Its digest carries the fingerprint. If the fingerprints differ, the
       reply carries the bucket hashes.
    2. Its digest carries the entries of the differing buckets. The reply
       carries the changes that the opener lacks and requests those that the
       peer lacks.
    3. It pushes the requested changes.

    :param members: :class:`membership.Membership`.
    :param configuration: :class:`ConfigurationStore`.
    :param tuple seeds: contacts of the seed daemons in the settings.
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
        """Advance the round and return the contacts to exchange with."""
        self.round += 1
        chosen = self.choose_local()
        if not chosen or self.round % CROSS_DOMAIN_ROUNDS == 0:
            chosen += self.choose_remote()
        if not chosen or self.round % UNREACHABLE_RETRY_ROUNDS == 0:
            chosen += self.choose_unreachable()
        return list(dict.fromkeys(chosen))

    def choose_local(self):
        """Return a live contact of the own failure domain, if any."""
        local = filter(self.members.is_local, self.members.live())
        return self.sample_contact(
            [member_contact(member) for member in local]
        )

    def choose_remote(self):
        """Return a contact of the failure domain whose turn it is.

        Domains without a live member take their turn too, because a network
        partition may have healed.
        """
        domains = {}
        for member in self.members.live() + self.members.dead():
            if not self.members.is_local(member):
                domains.setdefault(member.failure_domain, []).append(member)
        if not domains:
            return []
        turn = self.round // CROSS_DOMAIN_ROUNDS % len(domains)
        domain_members = domains[sorted(domains)[turn]]
        live = set(self.members.live())
        live_members = [member for member in domain_members if member in live]
        return self.sample_contact(
            [
                member_contact(member)
                for member in live_members or domain_members
            ]
        )

    def choose_unreachable(self):
        """Return the contact of a dead member or seed, if any.

        It may be reachable again.
        """
        live = {member_contact(member) for member in self.members.live()}
        live.add(member_contact(self.members.own))
        dead_contacts = [
            member_contact(member) for member in self.members.dead()
        ]
        return self.sample_contact(
            [
                contact
                for contact in (*dead_contacts, *self.seeds)
                if contact not in live
            ]
        )

    def sample_contact(self, contacts):
        """Return a list with one random contact, or an empty list."""
        return [self.random.choice(contacts)] if contacts else []

    def push_contacts(self, cross_domain):
        """Return the contacts to which new changes are pushed.

        Peers of the own failure domain come first, but for one peer of
        another domain if that is asked for: its domain may not reach the
        platform.

        :param bool cross_domain: whether one peer of another failure domain
            comes first.
        """
        live = self.members.live()
        local = [member for member in live if self.members.is_local(member)]
        remote = [
            member for member in live if not self.members.is_local(member)
        ]
        self.random.shuffle(local)
        self.random.shuffle(remote)
        if cross_domain:
            chosen = remote[:1] + local + remote[1:]
        else:
            chosen = local + remote
        return [member_contact(member) for member in chosen[:PUSH_FANOUT]]

    def open_exchange(self):
        """Return the digest that opens an exchange."""
        return self.make_digest(self.heartbeats())

    def make_digest(self, heartbeats, members=()):
        """Return a digest of the own configuration.

        Resets the set of unknown member ids, which the digest requests.
        """
        return Digest(
            heartbeats=tuple(heartbeats),
            members=tuple(members),
            unknown_ids=self.members.pop_unknown_ids(MAX_MEMBERS_PER_DIGEST),
            fingerprint=self.inventory.fingerprint,
            confirmed_at=self.configuration.confirmed_at,
        )

    def heartbeats(self):
        """Return the heartbeats to send.

        These are the own one, those of all live local members and a random
        sample of those of other failure domains.
        """
        own = membership.Heartbeat(
            self.members.own.id, self.members.heartbeat_counter
        )
        local, remote = [], []
        for key, entry in self.members.states.items():
            if not entry.live:
                continue
            group = local if self.members.is_local(entry.member) else remote
            group.append(membership.Heartbeat(key, entry.counter))
        if len(remote) > MAX_RELAYED_HEARTBEATS:
            remote = self.random.sample(remote, MAX_RELAYED_HEARTBEATS)
        return [own, *local, *remote]

    def answer_digest(self, digest):
        """Merge the digest of a peer and return the reply."""
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
        """Return the reply to a second step, which carries no heartbeats.

        It carries the changes that the peer lacks, and requests those that
        this daemon lacks.
        """
        newer_changes = self.inventory.newer_changes(
            digest.bucket_numbers, digest.entries
        )
        return dataclasses.replace(
            self.make_digest((), members),
            changes=tuple(newer_changes[:MAX_CHANGES_PER_DIGEST]),
            wanted=self.inventory.outdated_keys(digest.entries),
        )

    def next_digest(self, reply):
        """Return the next digest to send, or None if the exchange is over."""
        accepted = self.merge_digest(reply)
        if accepted and not self.has_same_revisions(reply):
            # The reply did not hold all changes.
            return self.open_exchange()
        numbers = self.inventory.differing_buckets(reply.bucket_hashes)
        members = self.known_members(reply)
        if not numbers and not members and not self.members.unknown_ids:
            return None
        return dataclasses.replace(
            self.make_digest((), members),
            bucket_numbers=numbers,
            entries=self.inventory.entries(numbers),
        )

    def requested_changes(self, reply):
        """Return the changes that the peer requests."""
        known = [
            key for key in reply.wanted if key in self.inventory.object_keys
        ]
        return [
            self.inventory.latest_change(key)
            for key in known[:MAX_CHANGES_PER_DIGEST]
        ]

    def known_members(self, digest):
        """Return the live members whose ids the peer could not resolve."""
        found = map(self.members.find_live, digest.unknown_ids)
        return tuple(member for member in found if member)[
            :MAX_MEMBERS_PER_DIGEST
        ]

    def merge_digest(self, digest):
        """Merge the members, heartbeats and changes of a digest.

        :returns: the changes that the store accepted as newer.
        """
        self.members.add_members(digest.members)
        self.members.record_heartbeats(digest.heartbeats)
        accepted = self.configuration.accept(digest.changes)
        if self.has_same_revisions(digest):
            # The peer's confirmation applies only to the same revisions.
            # The own clock bounds it, so that a peer whose clock is fast
            # can't make the configuration look fresher than it is.
            self.configuration.confirm(min(digest.confirmed_at, self.clock()))
        return accepted

    def has_same_revisions(self, digest):
        """Return whether the sender holds the same revisions."""
        return digest.fingerprint == self.inventory.fingerprint
