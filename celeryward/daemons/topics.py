"""What daemons announce to each other beside their configuration.

An announcement is sent to a few peers. Those of a relayed topic pass it on
once, unchanged; the others merge it and announce their own state if it
changed. Everything is announced again now and then, because a chain of
peers can miss a daemon.
"""

import dataclasses

from celeryward.callers import demand
from celeryward.endpoints import fingerprints
from celeryward.endpoints import liveness
from celeryward import registry

TOPICS = registry.Registry('topic')
# Rounds after which unchanged content is announced again.
REANNOUNCE_ROUNDS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Content of one topic from one daemon.

    :param str source: name of the run of the daemon that made it.
    :param int sequence: grows with each announcement of the source.
    """

    topic: str
    source: str
    sequence: int
    content: object


@TOPICS.register('demand')
class DemandTopic:
    """What customers ask of each daemon.

    :param daemon: :class:`daemon.Daemon`.
    """

    type = demand.Demand
    relayed = True

    def __init__(self, daemon):
        self.daemon = daemon
        self.last_announced = demand.Demand('')

    def collect(self, force):
        """Return the content to announce, or None if it is unchanged."""
        self.update_shares()
        summary = self.daemon.request_handler.demand()
        if not force and not summary.differs(self.last_announced):
            return None
        self.last_announced = summary
        return summary

    def update_shares(self):
        """Tell the limits which daemons take part in the division."""
        members = self.daemon.control.members
        reachable = [member.owner for member in members.live()]
        expected = len(reachable) + len(members.dead()) + 1
        shares = self.daemon.request_handler.limiter.shares
        shares.set_members(reachable, expected)

    def accept(self, content):
        """Take over the content of a peer."""
        self.daemon.request_handler.limiter.shares.accept(content)


@TOPICS.register('suspects')
class SuspectsTopic:
    """Fingerprints of requests that ran in crashes of endpoints."""

    type = tuple[fingerprints.ExportedEvidence, ...]
    relayed = False

    def __init__(self, daemon):
        self.suspects = daemon.recovery.suspects
        self.revision = 0

    def collect(self, force):
        """Return the content to announce, or None if it is unchanged."""
        since = 0 if force else self.revision
        self.revision = self.suspects.revision
        return self.suspects.export(since) or None

    def accept(self, content):
        """Take over the content of a peer."""
        self.suspects.merge(content)


@TOPICS.register('departures')
class DeparturesTopic:
    """Endpoints that announced that they leave."""

    type = tuple[liveness.Announcement, ...]
    relayed = False

    def __init__(self, daemon):
        self.liveness = daemon.liveness
        self.last_names = frozenset()

    def collect(self, force):
        """Return the content to announce, or None if it is unchanged."""
        exported = self.liveness.export()
        names = frozenset(announced.endpoint for announced in exported)
        changed = names != self.last_names
        self.last_names = names
        return exported if exported and (changed or force) else None

    def accept(self, content):
        """Take over the content of a peer."""
        self.liveness.merge(content)


class Announcer:
    """Collects what this daemon announces, and takes over what others do.

    :param str source: name of this run of the daemon.
    :param dict topics: topics by name.
    :param random: source of random choices.
    """

    def __init__(self, source, topics, random):
        self.source = source
        self.topics = topics
        self.sequence = 0
        # Daemons that started together repeat in different rounds.
        self.round = random.randrange(REANNOUNCE_ROUNDS)
        self.last_sequences = {}
        self.pending_relays = []

    def collect(self):
        """Return what is to be sent in the next round."""
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
        """Take over announcements that are newer than what was seen."""
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
    """Return an announcer of all registered topics of a daemon."""
    topics = {name: make(daemon) for name, make in TOPICS.entries.items()}
    return Announcer(daemon.ledger.owner, topics, random)
