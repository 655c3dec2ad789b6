"""Control planes of several daemons over real connections."""

import functools
import socket

import curio
import pytest

from celeryward import calls
from celeryward.daemons import bridge
from celeryward.daemons import client as peer_client
from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward.daemons import membership
from celeryward.daemons import protocol
from celeryward.daemons import server
from celeryward import deadlines
from celeryward import errors
from celeryward.objects import protocol as objects
from tests import daemon_groups

BILL = calls.Bill(
    'r1',
    'a',
    'm',
    (calls.Run('m@1', 'e1', calls.Usage(3, 4), 0.5),),
    12.5,
    'b1',
    'd0-run-1',
)


def long_deadline():
    return deadlines.Deadline.after(20.0)


@pytest.fixture
def with_group(run):
    """Return a function that runs a test with a started platform."""
    return functools.partial(daemon_groups.run_with_group, run)


class TestMessages:
    """Guards against fields that are lost or mixed up in messages."""

    def test_bill_keeps_every_field(self):
        message = protocol.bills_message('d1-run', (BILL, BILL))
        data = message.SerializeToString()
        read = exchange_pb2.Bills.FromString(data)
        assert protocol.read_bills(read) == (BILL, BILL)

    def test_change_keeps_every_field(self):
        change = objects.Change('delete', 6, daemon_groups.OBJECT)
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
            started = daemon_groups.Daemon('d0', 'f0', 1)
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
            await daemon_groups.wait_until(
                lambda: not any(e.copies.kept for e in holders)
            )

        with_group(test)

    def test_refusal_is_replaced_by_another_peer(self, with_group):
        async def test(group):
            owner = await group.add('d0', 'f0')
            await group.add('d1', 'f0', server.RefusingCopyHandler())
            await group.add('d2', 'f1')
            await group.add('d3', 'f1')
            await daemon_groups.wait_until(group.all_known)
            await group.stop_rounds()
            owners = await owner.control.peers.keep((BILL,), long_deadline())
            assert set(owners) == {'d2-run', 'd3-run'}

        with_group(test)

    def test_copy_whose_reply_was_lost_is_released(self, with_group):
        class ReplyLosingCopyHandler(daemon_groups.RecordingCopyHandler):
            def keep(self, owner, bills):
                super().keep(owner, bills)
                return server.RefusingCopyHandler().keep(owner, bills)

        async def test(group):
            owner = await group.add('d0', 'f0')
            lossy = await group.add('d1', 'f0', ReplyLosingCopyHandler())
            await daemon_groups.wait_until(group.all_known)
            await group.stop_rounds()
            with pytest.raises(errors.PeerFailure, match='0 of 2'):
                await owner.control.peers.keep((BILL,), long_deadline())
            assert lossy.copies.kept
            await owner.control.peers.release(['b1'])
            await daemon_groups.wait_until(lambda: not lossy.copies.kept)

        with_group(test)

    def test_only_copies_that_exist_are_counted(self, with_group):
        async def test(group):
            owner = await group.add('d0', 'f0')
            await group.add('d1', 'f0', server.RefusingCopyHandler())
            await daemon_groups.wait_until(group.all_known)
            await group.stop_rounds()
            await group.add('d2', 'f1')
            await daemon_groups.wait_until(group.all_known)
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
                await daemon_groups.wait_until(
                    lambda dead=dead: 'd2-run' in dead
                )

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
                await daemon_groups.wait_until(
                    lambda d=domain: len(group.holders(d)) == wanted
                )
            await group.platform.put(daemon_groups.OBJECT)
            await daemon_groups.wait_until(lambda: group.all_hold(1))
            for holder in group.holders('f0'):
                await group.kill(holder)
            await group.platform.put(daemon_groups.OBJECT)
            await daemon_groups.wait_until(lambda: group.all_hold(2))
            await daemon_groups.wait_until(
                lambda: len(group.holders('f0')) == wanted
            )

        with_group(test)

    def test_daemon_that_starts_without_the_platform_asks_peers(
        self, with_group
    ):
        async def test(group):
            await group.platform.put(daemon_groups.OBJECT)
            await group.add_all(1, 2)
            await daemon_groups.wait_until(lambda: group.all_hold(1))
            await daemon_groups.wait_until(group.all_confirmed)
            await group.platform.set_unavailable(True)
            started = await group.add('d9', 'f0')
            await daemon_groups.wait_until(
                lambda: started.store.confirmed_at > 0.0
            )
            assert 'a' in started.store.catalog().customers

        with_group(test)

    def test_deletion_during_an_outage_arrives_by_the_list(self, with_group):
        async def test(group):
            await group.platform.put(daemon_groups.OBJECT)
            await group.add_all(1, 3)
            await daemon_groups.wait_until(lambda: group.all_hold(1))
            await daemon_groups.wait_until(
                lambda: len(group.holders('f0')) == 2
            )
            clients = [entry.client for entry in group.holders('f0')]
            made = [entry.calls for entry in clients]
            await group.platform.set_unavailable(True)
            # Each holder calls again only after its watch has ended.
            await daemon_groups.wait_until(
                lambda: all(
                    entry.calls > before
                    for entry, before in zip(clients, made)
                )
            )
            stored = group.platform.objects[daemon_groups.OBJECT.key]
            await group.platform.remove(stored)
            # The platform no longer holds the deletion itself.
            group.platform.history.clear()
            await group.platform.put(
                objects.StoredObject('Service', 's', {}, 3)
            )
            await group.platform.set_unavailable(False)
            await daemon_groups.wait_until(
                lambda: all(
                    not entry.store.catalog().customers
                    for entry in group.daemons
                )
            )

        with_group(test)
