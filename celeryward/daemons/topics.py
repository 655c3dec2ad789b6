"""Announcements: state that daemons exchange beside the configuration.

An announcement is sent to a few peers. If its topic is relayed, they forward
it once, unchanged; otherwise they merge it and announce their own state if
that has changed. Unchanged state is announced again at intervals, because
forwarding to a few peers may not reach every daemon.
"""

import dataclasses

from celeryward.callers import demand
from celeryward.endpoints import crash_reports
from celeryward.endpoints import crashes
from celeryward.endpoints import fingerprints
from celeryward.endpoints import liveness
from celeryward import registry

TOPICS = registry.Registry('topic')
# Rounds between announcements of unchanged content.
REANNOUNCE_ROUNDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Content of one topic, announced by one daemon.

    :param str source: owner name of the run of the announcing daemon.
    :param int sequence: grows with each announcement of the source.
    :param content: value of the topic's ``type``.
    """

    topic: str
    source: str
    sequence: int
    content: object


@TOPICS.register('demand')
class DemandTopic:
    """Demand of the customers at each daemon, for dividing their limits.

    :param daemon: :class:`daemon.Daemon`.
    """

    type = demand.Demand
    relayed = True

    def __init__(self, daemon):
        self.daemon = daemon
        self.last_announced = demand.Demand('')

    def collect(self, force):
        """Return the content to announce, or None if there is none.

        :param bool force: return unchanged content too.
        """
        self.update_shares()
        summary = self.daemon.request_handler.demand()
        if not force and not summary.differs(self.last_announced):
            return None
        self.last_announced = summary
        return summary

    def update_shares(self):
        """Update the daemons among which the limits are divided."""
        members = self.daemon.control.members
        reachable = [member.owner for member in members.live()]
        daemon_count = len(reachable) + len(members.dead()) + 1
        shares = self.daemon.request_handler.limiter.shares
        shares.set_members(reachable, daemon_count)

    def accept(self, content):
        """Merge the content that a peer announced."""
        self.daemon.request_handler.limiter.shares.accept(content)


@TOPICS.register('suspects')
class SuspectsTopic:
    """Fingerprints of requests that were running when endpoints crashed."""

    type = tuple[fingerprints.ExportedEvidence, ...]
    relayed = False

    def __init__(self, daemon):
        self.suspects = daemon.recovery.suspects
        self.revision = 0

    def collect(self, force):
        """Return the content to announce, or None if there is none.

        :param bool force: return unchanged content too.
        """
        since = 0 if force else self.revision
        self.revision = self.suspects.revision
        return self.suspects.export(since) or None

    def accept(self, content):
        """Merge the content that a peer announced."""
        self.suspects.merge(content)


@TOPICS.register('crashes')
class CrashesTopic:
    """Crashes of endpoints, and the messages that they are attributed to.

    The newest evidence is announced, as much as one message may have.
    """

    type = crash_reports.CrashReport
    relayed = False

    def __init__(self, daemon):
        self.harmful = daemon.recovery.harmful
        self.changes = 0

    def collect(self, force):
        """Return the content to announce, or None if there is none.

        :param bool force: return unchanged content too.
        """
        if not force and self.changes == self.harmful.changes:
            return None
        self.changes = self.harmful.changes
        newest = crash_reports.take_entries(
            reversed(tuple(self.harmful.evidence()))
        )
        if not newest:
            return None
        return crash_reports.make_report('', newest, self.harmful.clock())

    def accept(self, content):
        """Merge the content that a peer announced."""
        found = crash_reports.read_evidence(content, self.harmful.clock())
        for each in found:
            if isinstance(each, crashes.Crash):
                # The start of a process is this daemon's estimate.
                each = dataclasses.replace(each, started_at=0.0)
            self.harmful.record(each)


@TOPICS.register('departures')
class DeparturesTopic:
    """Endpoints that have announced their shutdown."""

    type = tuple[liveness.Announcement, ...]
    relayed = False

    def __init__(self, daemon):
        self.liveness = daemon.liveness
        self.last_names = frozenset()

    def collect(self, force):
        """Return the content to announce, or None if there is none.

        :param bool force: return unchanged content too.
        """
        exported = self.liveness.export()
        names = frozenset(announced.endpoint for announced in exported)
        changed = names != self.last_names
        self.last_names = names
        return exported if exported and (changed or force) else None

    def accept(self, content):
        """Merge the content that a peer announced."""
        self.liveness.merge(content)


class Announcer:
    """Collects the announcements of this daemon, and accepts those of peers.

    :param str source: owner name of this run of the daemon.
    :param dict topics: topics by name.
    :param random: source of random choices.
    """

    def __init__(self, source, topics, random):
        self.source = source
        self.topics = topics
        self.sequence = 0
        # Spreads the repeated announcements of daemons that started together.
        self.round = random.randrange(REANNOUNCE_ROUNDS)
        self.last_sequences = {}
        self.pending_relays = []

    def collect(self):
        """Return the announcements to send in the next round."""
        self.round += 1
        force = self.round % REANNOUNCE_ROUNDS == 0
        announced, self.pending_relays = self.pending_relays, []
        for name, topic in self.topics.items():
            content = topic.collect(force)
            if content is not None:
                self.sequence += 1
                announced.append(
                    Announcement(name, self.source, self.sequence, content)
                )
        return announced

    def accept(self, announcements):
        """Accept announcements newer than the last one of their source."""
        for announced in announcements:
            key = (announced.topic, announced.source)
            last_sequence = self.last_sequences.get(key, 0)
            if announced.source == self.source or (
                announced.sequence <= last_sequence
            ):
                continue
            self.last_sequences[key] = announced.sequence
            topic = self.topics[announced.topic]
            topic.accept(announced.content)
            if topic.relayed:
                self.pending_relays.append(announced)


def make_announcer(daemon, random):
    """Return an announcer for all registered topics of a daemon."""
    topics = {name: make(daemon) for name, make in TOPICS.entries.items()}
    return Announcer(daemon.ledger.owner, topics, random)
