"""Who is alive: heartbeat counters, deadlines and the holders of a watch."""

import dataclasses
import time

import xxhash

from celeryward import deadlines

WATCH_HOLDERS_PER_DOMAIN = 2
# At 42 daemons in a failure domain a counter needs at most 8 rounds to reach
# all of them; benchmarks/daemons.py prints the longest gap.
LOCAL_DEADLINE_ROUNDS = 10
# Counters of other failure domains travel in fewer messages.
REMOTE_DEADLINE_ROUNDS = 90
# A dead daemon is still contacted now and then, so that both sides of a
# healed partition find each other.
DEAD_RETENTION_SECONDS = 3600.0
# Fewer missed rounds are scheduling noise of the host.
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
        """A 32-bit hash of the owner that stands for it in messages."""
        return member_id(self.owner)


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The counter that one member has reached."""

    member_id: int
    counter: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """What this daemon knows of one member.

    :param Deadline deadline: when the member counts as dead, unless its
        counter advances before.
    :param Deadline forget_at: when a dead member is forgotten.
    """

    member: Member
    counter: int
    deadline: deadlines.Deadline
    forget_at: deadlines.Deadline
    live: bool = True


def member_id(owner):
    """Return the id that stands for an owner in messages."""
    return xxhash.xxh32_intdigest(owner.encode())


def rendezvous_order(key, members):
    """Return members by rendezvous hash, so that all daemons agree.

    :param str key: what the members are ranked for.
    """
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{key}\0{member.owner}'.encode()),
            member.owner,
        ),
    )


class Membership:
    """The members that this daemon knows, itself included.

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

    def deadline_after(self, seconds):
        """Return the deadline that many seconds from now."""
        return deadlines.Deadline(self.clock() + seconds)

    def advance_heartbeat(self):
        """Advance the own counter."""
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
        """Take over descriptions of members that were not known."""
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
        """Drop a run whose daemon has started again."""
        if self.states.pop(run.id).live:
            self.superseded.append(run)

    def record_heartbeats(self, heartbeats):
        """Renew the deadline of each member whose counter advanced."""
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
        """Return ids to ask for; those still unknown are noted again."""
        unknown_ids, self.unknown_ids = self.unknown_ids, set()
        return tuple(unknown_ids)[:limit]

    def find_live(self, member_id):
        """Return the live member with an id, or None."""
        if member_id == self.own.id:
            return self.own
        entry = self.states.get(member_id)
        return entry.member if entry is not None and entry.live else None

    def mark_dead(self):
        """Mark members whose deadline passed; return the newly dead ones."""
        now = self.clock()
        paused = now - self.checked_at > MIN_PAUSE_ROUNDS * self.round_seconds
        self.checked_at = now
        if paused:
            # This daemon was paused itself, so that silence during the
            # pause says nothing about the others.
            self.renew_deadlines()
        dead, self.superseded = self.superseded, []
        for key, entry in list(self.states.items()):
            if entry.live and entry.deadline.at <= now:
                self.states[key] = dataclasses.replace(entry, live=False)
                dead.append(entry.member)
            elif not entry.live and entry.forget_at.at <= now:
                del self.states[key]
        return dead

    def renew_deadlines(self):
        """Start the deadline of each live member again."""
        for key, entry in self.states.items():
            self.states[key] = dataclasses.replace(
                entry, deadline=self.next_deadline(entry.member)
            )

    def live(self):
        """Return the live members without this daemon."""
        return [entry.member for entry in self.states.values() if entry.live]

    def dead(self):
        """Return the dead members that are not forgotten yet."""
        return [
            entry.member for entry in self.states.values() if not entry.live
        ]

    def watch_holders(self, failure_domain):
        """Return the members that hold the watch for a failure domain."""
        candidates = [
            member
            for member in (*self.live(), self.own)
            if member.failure_domain == failure_domain
        ]
        return rendezvous_order(failure_domain, candidates)[
            :WATCH_HOLDERS_PER_DOMAIN
        ]

    def holds_watch(self):
        """Return whether this daemon is one of its domain's holders."""
        return self.own in self.watch_holders(self.own.failure_domain)

    def copy_candidates(self):
        """Yield members for copies of bills, the best ones first.

        All are on other hosts. The first two are in the own failure domain
        and in another one, where both exist.
        """
        elsewhere = [
            member
            for member in rendezvous_order(self.own.owner, self.live())
            if member.host_name != self.own.host_name
        ]
        local = [member for member in elsewhere if self.is_local(member)]
        remote = [member for member in elsewhere if member not in local]
        yield from local[:1]
        yield from remote
        yield from local[1:]
