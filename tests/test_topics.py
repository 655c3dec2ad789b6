"""Announcements of topics between daemons."""

import random

import curio
import pytest

from celeryward.callers import demand
from celeryward import daemon
from celeryward.daemons import protocol
from celeryward.daemons import topics
from celeryward import errors
from celeryward.objects import batches
from celeryward.operators import demo
from celeryward import settings


class RecordingTopic:
    """Topic that records the content that it accepts."""

    type = demand.Demand
    relayed = True

    def __init__(self):
        self.accepted = []
        self.next_content = None

    def collect(self, force):
        collected, self.next_content = self.next_content, None
        return collected

    def accept(self, content):
        self.accepted.append(content)


def announcer(name):
    topic = RecordingTopic()
    made = topics.Announcer(name, {'demand': topic}, random.Random(1))
    return made, topic


class TestAnnouncer:
    """Guards against announcements that are lost, repeated or endless."""

    def test_relayed_once_and_never_back_to_itself(self):
        first, topic = announcer('a')
        second, seen = announcer('b')
        topic.next_content = demand.Demand('a', 1)
        sent = first.collect()
        second.accept(sent)
        second.accept(sent)
        relayed = second.collect()
        assert seen.accepted == [demand.Demand('a', 1)]
        assert relayed == sent
        assert second.collect() == []
        first.accept(relayed)
        assert topic.accepted == []
        assert first.collect() == []

    def test_late_older_announcement_is_dropped(self):
        first, topic = announcer('a')
        second, seen = announcer('b')
        topic.next_content = demand.Demand('a', 1)
        older = first.collect()
        topic.next_content = demand.Demand('a', 2)
        second.accept(first.collect())
        second.accept(older)
        assert [each.sequence for each in seen.accepted] == [2]


class TestEncoding:
    """Guards against content that another daemon can't read."""

    def test_round_trip_and_unknown_topics(self):
        content = demand.Demand(
            'a', 3, 7, (demand.CustomerDemand('c', 1.0, 2.0, 3.0),)
        )
        known = topics.Announcement('demand', 'a', 3, content)
        newer = topics.Announcement('invented-later', 'a', 4, 5)
        message = protocol.announcements_message([known, newer])
        assert protocol.read_announcements(message) == [known]

    def test_malformed_content_is_a_protocol_error(self):
        broken = topics.Announcement('demand', 'a', 1, 'text')
        message = protocol.announcements_message([broken])
        with pytest.raises(errors.ProtocolError):
            protocol.read_announcement(message.announcements[0])

    def test_malformed_content_costs_no_other_announcement(self):
        broken = topics.Announcement('demand', 'a', 1, 'text')
        valid = topics.Announcement('demand', 'b', 1, demand.Demand('b'))
        message = protocol.announcements_message([broken, valid])
        faults = []
        found = protocol.read_announcements(
            message, lambda *fault: faults.append(fault)
        )
        assert found == [valid]
        assert [fault[:2] for fault in faults] == [('demand', 'a')]


class TestTwoDaemons:
    """Guards against limits that each daemon applies in full."""

    def test_demand_and_members_arrive_at_the_peer(self, run):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            platform = cluster.daemon.settings.platform
            first = await start('first', platform)
            seed = settings.Address(port=first.control.bridge.port)
            second = await start('second', platform, seed)
            await demo.send_example(first.listener.port, demo.EXAMPLES[0])
            shares = second.request_handler.limiter.shares
            owner = first.ledger.owner
            while (
                owner not in shares.reachable or owner not in shares.summaries
            ):
                await curio.sleep(0.01)
            assert shares.daemon_count == 2
            assert second.configuration_age() < 60.0
            await second.stop()
            await first.stop()
            await cluster.stop()

        run(test)

    def test_bills_with_copies_wait_for_the_flush_interval(self, run):
        async def test():
            cluster, first, others = await bill_at_first_of_three()
            # Longer than bills wait that have too few copies.
            await curio.sleep(1.5)
            assert all(other.replicas.count == 1 for other in others)
            assert not stored_bills(cluster)
            await first.stop()
            await check_billed_once(cluster, others)

        run(test)

    def test_bills_of_a_dead_peer_are_written(self, run):
        async def test():
            cluster, first, others = await bill_at_first_of_three()
            assert all(other.replicas.count == 1 for other in others)
            await kill(first)
            await check_billed_once(cluster, others)

        run(test)

    def test_planned_stop_in_an_outage_leaves_the_bills_to_peers(self, run):
        async def test():
            cluster, first, others = await bill_at_first_of_three()
            await cluster.platform.set_unavailable(True)
            # The drain timeout is longer than the time limit of the test.
            await first.stop()
            await cluster.platform.set_unavailable(False)
            await check_billed_once(cluster, others)

        run(test)


async def start(name, platform, *seeds):
    """Start a daemon that flushes its bills only after a long interval."""
    made = daemon.Daemon(
        settings.Settings(
            name=name,
            failure_domain='domain-1',
            host_name=f'host-{name}',
            platform=platform,
            seeds=list(seeds),
            timings=settings.Timings(
                gossip_interval=0.05, flush_interval=30.0
            ),
        )
    )
    await made.start()
    return made


async def bill_at_first_of_three():
    """Return a cluster and three daemons; the first one has a bill."""
    cluster = demo.Cluster()
    await cluster.start()
    platform = cluster.daemon.settings.platform
    first = await start('first', platform)
    seed = settings.Address(port=first.control.bridge.port)
    others = [await start(name, platform, seed) for name in ('b', 'c')]
    while len(first.control.members.live()) < 2:
        await curio.sleep(0.01)
    await demo.send_example(first.listener.port, demo.EXAMPLES[0])
    return cluster, first, others


async def check_billed_once(cluster, others):
    """Wait for the bill at the platform, stop all, and count the bills."""
    while not stored_bills(cluster):
        await curio.sleep(0.01)
    for other in others:
        await other.stop()
    await cluster.stop()
    assert len(stored_bills(cluster)) == 1


async def kill(made):
    """Stop a daemon without draining, as if its host had failed."""
    for task in made.tasks.values():
        await task.cancel()
    await made.control.stop()
    await made.listener.stop_accepting()
    await made.admin_listener.stop_accepting()


def stored_bills(cluster):
    """Return the bills at the platform."""
    return [
        bill
        for stored in cluster.platform.objects.values()
        if stored.kind == batches.BATCH_KIND
        for bill in batches.from_object(stored).all_bills()
    ]
