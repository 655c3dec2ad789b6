"""Failure detection by heartbeats, and the choice of watch holders."""

import dataclasses
import time

import xxhash

from celeryward import deadlines

WATCH_HOLDERS_PER_DOMAIN = 2
# A member is dead if its heartbeat counter has not advanced for this many
# rounds. With 42 daemons in a failure domain a counter reaches all of them in
# at most 8 rounds; benchmarks/daemons.py prints the longest gap.
LOCAL_DEADLINE_ROUNDS = 10
# Fewer messages carry the counters of other failure domains.
REMOTE_DEADLINE_ROUNDS = 90
# Dead members are kept and contacted from time to time, so that both sides of
# a healed network partition find each other.
DEAD_RETENTION_SECONDS = 3600.0
# Shorter gaps between rounds are normal scheduling delays of the host.
MIN_PAUSE_ROUNDS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One run of a daemon, as it describes itself.

    :param str owner: unique for each run, also the owner of its bills.
    :param str name: name of the daemon, kept over restarts.
    :param float started_at: UTC seconds; orders the runs of one name.
    """

    owner: str
    name: str
    host_name: str
    address: str
    port: int
    failure_domain: str
    started_at: float

    @property
    def id(self):
        """The id of the member in messages."""
        return member_id(self.owner)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The latest known heartbeat counter of one member."""

    member_id: int
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """State of one member as this daemon sees it.

    :param Deadline deadline: when the member becomes dead unless its counter
        advances before.
    :param Deadline forget_at: when the member is removed if it is dead.
    """

    member: Member
    counter: int
    deadline: deadlines.Deadline
    forget_at: deadlines.Deadline
    live: bool = True


def member_id(owner):
    """Return the id of a member in messages, a 32-bit hash of its owner."""
    return xxhash.xxh32_intdigest(owner.encode())


def rendezvous_order(key, members):
    """Return members ordered by rendezvous hash, equally at all daemons.

    :param str key: a failure domain or an owner; each has its own order.
    """
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{key}\0{member.owner}'.encode()),
            member.owner,
        ),
    )


class Membership:
    """This daemon and the members that it knows, with their states.

    :param Member own: this daemon.
    :param float round_seconds: seconds between two rounds of gossip.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, own, round_seconds, clock=time.monotonic):
        self.own = own
        self.round_seconds = round_seconds
        self.clock = clock
        self.heartbeat_counter = 0
        self.states = {}
        self.unknown_ids = set()
        self.superseded = []
        self.checked_at = clock()
        self.rounds_since_pause = LOCAL_DEADLINE_ROUNDS

    def deadline_after(self, seconds):
        """Return the deadline this many seconds from now."""
        return deadlines.Deadline(self.clock() + seconds)

    def advance_heartbeat(self):
        """Advance the own heartbeat counter."""
        self.heartbeat_counter += 1

    def is_local(self, member):
        """Return whether a member is in the own failure domain."""
        return member.failure_domain == self.own.failure_domain

    def next_deadline(self, member):
        """Return the deadline of a member whose counter just advanced."""
        rounds = REMOTE_DEADLINE_ROUNDS
        if self.is_local(member):
            rounds = LOCAL_DEADLINE_ROUNDS
        return self.deadline_after(rounds * self.round_seconds)

    def add_members(self, members):
        """Add members that are not known, unless a newer run of them is."""
        for member in members:
            if member.id == self.own.id or member.id in self.states:
                continue
            older = self.runs_of(member.name)
            if any(run.started_at > member.started_at for run in older):
                continue
            for run in older:
                self.supersede_run(run)
            self.unknown_ids.discard(member.id)
            self.states[member.id] = MemberState(
                member,
                0,
                self.next_deadline(member),
                self.deadline_after(DEAD_RETENTION_SECONDS),
            )

    def runs_of(self, name):
        """Return the known runs of one daemon."""
        return [
            entry.member
            for entry in self.states.values()
            if entry.member.name == name
        ]

    def supersede_run(self, run):
        """Remove a run whose daemon has restarted.

        If it was live, the next :meth:`mark_dead` returns it as dead.
        """
        if self.states.pop(run.id).live:
            self.superseded.append(run)

    def record_heartbeats(self, heartbeats):
        """Renew the deadline of each member whose counter advanced.

        Ids that can't be resolved are added to the unknown ones.
        """
        for heartbeat in heartbeats:
            entry = self.states.get(heartbeat.member_id)
            if entry is None:
                if heartbeat.member_id != self.own.id:
                    self.unknown_ids.add(heartbeat.member_id)
                continue
            if heartbeat.counter > entry.counter:
                self.states[heartbeat.member_id] = MemberState(
                    entry.member,
                    heartbeat.counter,
                    self.next_deadline(entry.member),
                    self.deadline_after(DEAD_RETENTION_SECONDS),
                )

    def pop_unknown_ids(self, limit):
        """Return up to ``limit`` unknown ids, and forget all of them.

        Heartbeats add those again that stay unknown.
        """
        unknown_ids, self.unknown_ids = self.unknown_ids, set()
        return tuple(unknown_ids)[:limit]

    def find_live(self, member_id):
        """Return the live member with an id, or None."""
        if member_id == self.own.id:
            return self.own
        entry = self.states.get(member_id)
        return entry.member if entry is not None and entry.live else None

    def mark_dead(self):
        """Mark members whose deadline passed; return those newly dead.

        Removes dead members whose retention has ended.
        """
        now = self.clock()
        elapsed, self.checked_at = now - self.checked_at, now
        self.rounds_since_pause += 1
        if elapsed > MIN_PAUSE_ROUNDS * self.round_seconds:
            self.discount_pause(elapsed)
        dead, self.superseded = self.superseded, []
        for key, entry in list(self.states.items()):
            if entry.live and entry.deadline.at <= now:
                self.states[key] = dataclasses.replace(entry, live=False)
                dead.append(entry.member)
            elif not entry.live and entry.forget_at.at <= now:
                del self.states[key]
        return dead

    def discount_pause(self, seconds):
        """Postpone the deadlines by a pause of this process.

        Heartbeats that are missing because of it are no evidence that other
        members are dead. After a pause that is not one of a series, each
        member gets the time to be heard of again. In a series, each pause
        counts as one round, so that dead members are still detected.

        :param float seconds: time since the last round.
        """
        counted, least = self.round_seconds, deadlines.Deadline(0.0)
        if self.rounds_since_pause > LOCAL_DEADLINE_ROUNDS:
            counted = 0.0
            least = self.deadline_after(
                LOCAL_DEADLINE_ROUNDS * self.round_seconds
            )
        self.rounds_since_pause = 0
        for key, entry in self.states.items():
            postponed = deadlines.Deadline(
                entry.deadline.at + seconds - counted
            )
            self.states[key] = dataclasses.replace(
                entry, deadline=max(postponed, least)
            )

    def live(self):
        """Return the live members other than this daemon."""
        return [entry.member for entry in self.states.values() if entry.live]

    def dead(self):
        """Return the dead members that are still kept."""
        return [
            entry.member for entry in self.states.values() if not entry.live
        ]

    def watch_holders(self, failure_domain):
        """Return the members that hold a watch for a failure domain."""
        candidates = [
            member
            for member in (*self.live(), self.own)
            if member.failure_domain == failure_domain
        ]
        return rendezvous_order(failure_domain, candidates)[
            :WATCH_HOLDERS_PER_DOMAIN
        ]

    def holds_watch(self):
        """Return whether this daemon is a watch holder of its domain."""
        return self.own in self.watch_holders(self.own.failure_domain)

    def copy_candidates(self):
        """Yield members that may keep copies of bills, best ones first.

        All run on other hosts. The first two are in the own failure domain
        and in another one, if both exist.
        """
        other_hosts = [
            member
            for member in rendezvous_order(self.own.owner, self.live())
            if member.host_name != self.own.host_name
        ]
        local = [member for member in other_hosts if self.is_local(member)]
        remote = [member for member in other_hosts if member not in local]
        yield from local[:1]
        yield from remote
        yield from local[1:]
