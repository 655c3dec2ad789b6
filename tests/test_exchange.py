"""Control planes of several daemons over real connections."""

import socket

import curio
import pytest
import result

from celeryward import calls
from celeryward.daemons import bridge
from celeryward.daemons import client as peer_client
from celeryward.daemons import control
from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward.daemons import membership
from celeryward.daemons import protocol
from celeryward.daemons import server
from celeryward import deadlines
from celeryward import errors
from celeryward.objects import client
from celeryward.objects import configuration
from celeryward.objects import configuration_watcher
from celeryward.objects import protocol as objects
from celeryward import settings
from celeryward.standins import platform

BILL = calls.Bill(
    'r1',
    'a',
    'm',
    (calls.Run('m@1', 'e1', calls.Usage(3, 4), 0.5),),
    12.5,
    'b1',
    'd0-run-1',
)
OBJECT = objects.StoredObject('Customer', 'a', {'allowed': ['m']}, 5)
POLL_SECONDS = 0.02
# A daemon is dead after 10 rounds, which must be long even on a busy host.
TIMINGS = settings.Timings(gossip_interval=0.2)


def long_deadline():
    return deadlines.Deadline.after(20.0)


async def wait_until(condition):
    """Wait for a condition; the time limit of the test bounds it."""
    while not condition():
        await curio.sleep(POLL_SECONDS)


class RecordingCopyHandler:
    """Handler that records the copies and deaths that it is told of."""

    def __init__(self):
        self.kept = {}
        self.dead = []

    def keep(self, owner, bills):
        for bill in bills:
            self.kept[owner, bill.id] = bill
        return result.Ok(None)

    def release(self, owner, bill_ids):
        for bill_id in bill_ids:
            self.kept.pop((owner, bill_id), None)

    async def owner_died(self, owner):
        self.dead.append(owner)


class Daemon:
    """The control plane of one daemon, with its own store and watcher."""

    def __init__(self, name, domain, port, seeds=(), copies=None):
        checked = settings.Settings(
            name=name,
            failure_domain=domain,
            platform=settings.Address(port=port),
            seeds=list(seeds),
            timings=TIMINGS,
        )
        self.store = configuration.ConfigurationStore()
        self.client = client.ObjectClient(checked.platform, 3.0, name)
        self.copies = copies or RecordingCopyHandler()
        self.control = control.ControlPlane(
            checked,
            f'{name}-run',
            self.store,
            configuration_watcher.ConfigurationWatcher(
                self.client, self.store
            ),
            self.copies,
        )

    @property
    def holds_watch(self):
        return self.control.watch_task is not None

    def seed(self):
        return settings.Address(port=self.control.bridge.port)


class DaemonGroup:
    """A platform stand-in and daemons, started one after another."""

    def __init__(self):
        self.platform = platform.PlatformStandIn()
        self.daemons = []

    async def add(self, name, domain, copies=None):
        seeds = [self.daemons[0].seed()] if self.daemons else []
        port = self.platform.port
        started = Daemon(name, domain, port, seeds, copies)
        await started.control.start()
        self.daemons.append(started)
        return started

    async def add_all(self, domains, daemons_per_domain):
        for number in range(domains * daemons_per_domain):
            await self.add(f'd{number}', f'f{number % domains}')
        await wait_until(self.all_known)

    def all_known(self):
        expected = len(self.daemons) - 1
        return all(
            len(entry.control.members.live()) == expected
            for entry in self.daemons
        )

    async def stop_rounds(self):
        """Stop the rounds, so that a busy host can't make peers look dead."""
        for daemon in self.daemons:
            for task in daemon.control.tasks:
                await task.cancel()

    def holders(self, domain):
        return [
            entry
            for entry in self.daemons
            if entry.control.settings.failure_domain == domain
            and entry.holds_watch
        ]

    def all_hold(self, revision):
        return all(
            entry.store.revisions.get(OBJECT.key) == revision
            for entry in self.daemons
        )

    def all_confirmed(self):
        return all(entry.store.confirmed_at > 0.0 for entry in self.daemons)

    async def kill(self, daemon):
        self.daemons.remove(daemon)
        await daemon.control.stop()


@pytest.fixture
def with_group(run):
    """Return a function that runs a test with a started platform."""

    def run_with_group(test):
        async def body():
            group = DaemonGroup()
            await group.platform.start()
            try:
                await test(group)
            finally:
                for daemon in list(group.daemons):
                    await group.kill(daemon)
                await group.platform.stop()

        run(body)

    return run_with_group


class TestMessages:
    """Guards against fields that are lost or mixed up in messages."""

    def test_bill_keeps_every_field(self):
        message = protocol.bills_message('d1-run', (BILL, BILL))
        data = message.SerializeToString()
        read = exchange_pb2.Bills.FromString(data)
        assert protocol.read_bills(read) == (BILL, BILL)

    def test_change_keeps_every_field(self):
        change = objects.Change('delete', 6, OBJECT)
        message = protocol.changes_message([change])
        assert protocol.read_changes(message) == (change,)

    def test_parallel_fields_of_different_length_are_refused(self):
        message = exchange_pb2.Digest(member_ids=[1, 2], counters=[1])
        with pytest.raises(errors.ProtocolError):
            protocol.read_digest(message)

    def test_malformed_object_is_refused(self):
        message = exchange_pb2.Change(type='put', revision=1, object=b'{')
        with pytest.raises(errors.ProtocolError):
            protocol.read_change(message)

    def test_message_is_bounded_but_holds_at_least_one_change(self):
        spec = {'allowed': ['x' * protocol.MAX_CHANGE_BYTES]}
        large = objects.StoredObject('Customer', 'a', spec, 5)
        change = objects.Change('put', 5, large)
        message = protocol.changes_message([change, change])
        assert len(message.changes) == 1


class TestBridge:
    """Guards against calls that never end and peers that block each other."""

    def test_peer_that_is_absent_is_a_failure(self, run):
        async def test():
            own = bridge.Bridge('127.0.0.1', 0)
            await own.start()
            contact = gossip.Contact('127.0.0.1', 1)
            message = exchange_pb2.Digest()
            outcome = await own.call(
                contact, 'Exchange', message, long_deadline()
            )
            await own.stop()
            assert isinstance(outcome.unwrap_err(), errors.PeerFailure)

        run(test)

    def test_peer_that_is_silent_ends_at_the_deadline(self, run):
        async def test():
            own = bridge.Bridge('127.0.0.1', 0)
            await own.start()
            # No task serves the queue of the bridge.
            contact = gossip.Contact('127.0.0.1', own.port)
            deadline = deadlines.Deadline.after(0.1)
            message = exchange_pb2.Digest()
            outcome = await own.call(contact, 'Exchange', message, deadline)
            assert outcome.is_err()
            assert own.channels == {}
            await own.stop()

        run(test)

    def test_exchanges_with_a_silent_peer_do_not_pile_up(self, run):
        """Copies of bills waited behind them, each for its time-out."""

        async def test():
            started = Daemon('d0', 'f0', 1)
            silent = bridge.Bridge('127.0.0.1', 0)
            await silent.start()
            await started.control.start()
            contact = gossip.Contact('127.0.0.1', silent.port)
            peers = started.control.peers
            for _ in range(5):
                await peers.exchange(contact)
                await curio.sleep(0.01)
            assert peers.peers[contact].jobs.empty()
            await started.control.stop()
            await silent.stop()

        run(test)

    def test_replies_do_not_wait_for_an_ack(self):
        # asyncio sets TCP_NODELAY only if the protocol is explicit.
        with bridge.open_listener('127.0.0.1', 0) as listener:
            assert listener.proto == socket.IPPROTO_TCP

    def test_unexpected_error_of_a_call_is_a_failure(self, run):
        class Broken(bridge.Bridge):
            async def send_request(self, contact, method, message, deadline):
                raise AttributeError('closed while the call began')

        async def test():
            own = Broken('127.0.0.1', 0)
            await own.start()
            contact = gossip.Contact('127.0.0.1', own.port)
            message = exchange_pb2.Digest()
            outcome = await own.call(
                contact, 'Exchange', message, long_deadline()
            )
            await own.stop()
            assert isinstance(outcome.unwrap_err(), errors.PeerFailure)
            # A call after the stop fails as well, and does not block.
            outcome = await own.call(
                contact, 'Exchange', message, long_deadline()
            )
            assert outcome.is_err()

        run(test)


class TestCopies:
    """Guards against counting copies of bills that do not exist."""

    @pytest.fixture(autouse=True)
    def long_keep_timeout(self, monkeypatch):
        # On a busy host a peer may reply late.
        monkeypatch.setattr(peer_client, 'KEEP_TIMEOUT_SECONDS', 20.0)

    def test_copies_are_kept_elsewhere_and_released(self, with_group):
        async def test(group):
            await group.add_all(2, 2)
            await group.stop_rounds()
            owner, *others = group.daemons
            peers = owner.control.peers
            owners = await peers.keep((BILL,), long_deadline())
            holders = [entry for entry in others if entry.copies.kept]
            holder_owners = [entry.control.owner for entry in holders]
            domains = {e.control.settings.failure_domain for e in holders}
            assert sorted(owners) == holder_owners
            assert domains == {'f0', 'f1'}
            for entry in holders:
                assert entry.copies.kept == {('d0-run', 'b1'): BILL}
            await peers.release(['b1'])
            await wait_until(lambda: not any(e.copies.kept for e in holders))

        with_group(test)

    def test_refusal_is_replaced_by_another_peer(self, with_group):
        async def test(group):
            owner = await group.add('d0', 'f0')
            await group.add('d1', 'f0', server.RefusingCopyHandler())
            await group.add('d2', 'f1')
            await group.add('d3', 'f1')
            await wait_until(group.all_known)
            await group.stop_rounds()
            owners = await owner.control.peers.keep((BILL,), long_deadline())
            assert set(owners) == {'d2-run', 'd3-run'}

        with_group(test)

    def test_copy_whose_reply_was_lost_is_released(self, with_group):
        class ReplyLosingCopyHandler(RecordingCopyHandler):
            def keep(self, owner, bills):
                super().keep(owner, bills)
                return server.RefusingCopyHandler().keep(owner, bills)

        async def test(group):
            owner = await group.add('d0', 'f0')
            lossy = await group.add('d1', 'f0', ReplyLosingCopyHandler())
            await wait_until(group.all_known)
            await group.stop_rounds()
            with pytest.raises(errors.PeerFailure, match='0 of 2'):
                await owner.control.peers.keep((BILL,), long_deadline())
            assert lossy.copies.kept
            await owner.control.peers.release(['b1'])
            await wait_until(lambda: not lossy.copies.kept)

        with_group(test)

    def test_only_copies_that_exist_are_counted(self, with_group):
        async def test(group):
            owner = await group.add('d0', 'f0')
            await group.add('d1', 'f0', server.RefusingCopyHandler())
            await wait_until(group.all_known)
            await group.stop_rounds()
            await group.add('d2', 'f1')
            await wait_until(group.all_known)
            await group.stop_rounds()
            with pytest.raises(errors.PeerFailure, match='1 of 2'):
                await owner.control.peers.keep((BILL,), long_deadline())

        with_group(test)

    def test_death_of_the_owner_is_reported(self, with_group):
        async def test(group):
            await group.add_all(1, 3)
            owner = group.daemons[2]
            await group.kill(owner)
            for entry in group.daemons:
                dead = entry.copies.dead
                await wait_until(lambda dead=dead: 'd2-run' in dead)

        with_group(test)


class TestWatchHolders:
    """Guards against a failure domain that no longer gets changes."""

    def test_two_daemons_per_domain_hold_a_watch_and_are_replaced(
        self, with_group
    ):
        async def test(group):
            await group.add_all(2, 4)
            wanted = membership.WATCH_HOLDERS_PER_DOMAIN
            for domain in ('f0', 'f1'):
                await wait_until(
                    lambda d=domain: len(group.holders(d)) == wanted
                )
            await group.platform.put(OBJECT)
            await wait_until(lambda: group.all_hold(1))
            for holder in group.holders('f0'):
                await group.kill(holder)
            await group.platform.put(OBJECT)
            await wait_until(lambda: group.all_hold(2))
            await wait_until(lambda: len(group.holders('f0')) == wanted)

        with_group(test)

    def test_daemon_that_starts_without_the_platform_asks_peers(
        self, with_group
    ):
        async def test(group):
            await group.platform.put(OBJECT)
            await group.add_all(1, 2)
            await wait_until(lambda: group.all_hold(1))
            await wait_until(group.all_confirmed)
            await group.platform.set_unavailable(True)
            started = await group.add('d9', 'f0')
            await wait_until(lambda: started.store.confirmed_at > 0.0)
            assert 'a' in started.store.catalog().customers

        with_group(test)

    def test_deletion_during_an_outage_arrives_by_the_list(self, with_group):
        async def test(group):
            await group.platform.put(OBJECT)
            await group.add_all(1, 3)
            await wait_until(lambda: group.all_hold(1))
            await wait_until(lambda: len(group.holders('f0')) == 2)
            clients = [entry.client for entry in group.holders('f0')]
            made = [entry.calls for entry in clients]
            await group.platform.set_unavailable(True)
            # Each holder calls again only after its watch has ended.
            await wait_until(
                lambda: all(
                    entry.calls > before
                    for entry, before in zip(clients, made)
                )
            )
            stored = group.platform.objects[OBJECT.key]
            await group.platform.remove(stored)
            # The platform no longer holds the deletion itself.
            group.platform.history.clear()
            await group.platform.put(
                objects.StoredObject('Service', 's', {}, 3)
            )
            await group.platform.set_unavailable(False)
            await wait_until(
                lambda: all(
                    not entry.store.catalog().customers
                    for entry in group.daemons
                )
            )

        with_group(test)
