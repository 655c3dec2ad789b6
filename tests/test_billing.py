"""Bills: recorded, replicated to peers, written and billed exactly once."""

import dataclasses

import curio
import msgspec
import pytest

from benchmarks import fakes
from celeryward import calls
from celeryward.objects import batches
from celeryward.objects import billing
from celeryward.objects import flusher
from celeryward.objects import replicas


def bill(request_id, finished_at=1.0, runs=1, customer='shop'):
    run = calls.Run('small@1', 'engine-1', calls.Usage(3, 8), 0.25)
    return calls.Bill(request_id, customer, 'auto', (run,) * runs, finished_at)


class Host:
    """One daemon's ledger, replicas and flusher on fakes."""

    def __init__(self, name, platform, network, bounds=None):
        peers = fakes.FakePeers(name, network)
        self.ledger = billing.Ledger(name, peers, bounds)
        self.replicas = network[name] = replicas.Replicas()
        self.flusher = flusher.Flusher(
            self.ledger, platform, 1.0, self.replicas
        )


class Fleet:
    """Hosts a, b and c; each one has the two others as its peers."""

    def __init__(self, bounds=None):
        self.platform = fakes.FakePlatform()
        self.network = {}
        self.hosts = {
            name: Host(name, self.platform, self.network, bounds)
            for name in 'abc'
        }
        self.a, self.b, self.c = self.hosts.values()

    def kill(self, name):
        """Remove a host and report its failure to the others."""
        del self.network[name]
        del self.hosts[name]
        for host in self.hosts.values():
            host.replicas.owner_died(name)
            host.ledger.peer_died(name)

    def billed_requests(self):
        """Return the request ids of the stored bills, deduplicated."""
        stored = self.platform.of_kind(batches.BATCH_KIND)
        read = batches.deduplicate(map(batches.from_object, stored))
        return [each.request_id for each in read]

    def stored_ids(self):
        """Return the ids of all stored bills, with duplicates."""
        stored = self.platform.of_kind(batches.BATCH_KIND)
        return [
            each.id
            for batch in map(batches.from_object, stored)
            for each in batch.all_bills()
        ]


@pytest.fixture
def fleet():
    return Fleet()


class TestBatches:
    """Guards against bills that change or are duplicated in stored form."""

    def test_packed_bill_keeps_id_time_and_runs(self):
        identity = batches.bill_id('shop', 'r')
        recorded = dataclasses.replace(
            bill('r', finished_at=7.5, runs=2), id=identity, batch='a-0'
        )
        pending_batch = batches.PendingBatch('a-0')
        pending_batch.add(recorded)
        pending_batch.pack()
        (read,) = batches.deduplicate(
            [batches.from_object(pending_batch.freeze().to_object())]
        )
        assert (read.id, read.finished_at) == (identity, 7.5)
        assert read.cost == 0.5
        assert [run.usage for run in read.runs] == [calls.Usage(3, 8)] * 2

    def test_largest_batch_fits_into_an_object(self, run):
        ledger = billing.Ledger('a', bounds=billing.Bounds(100_000, 100_000))

        async def record_until_closed():
            while not ledger.closed_batches:
                count = ledger.pending_bills
                await ledger.record(bill(f'{count:0128d}', runs=1 + count % 5))

        run(record_until_closed)
        stored = ledger.next_batch().to_object()
        assert len(msgspec.json.encode(stored)) < 1_000_000

    def test_same_request_in_two_batches_is_billed_once(self):
        identity = batches.bill_id('shop', 'r', 'content')
        first, second = (
            batches.Batch(name, (calls.Bill('r', 's', 't', (), at, identity),))
            for name, at in (('b-0', 1.0), ('a-0', 2.0))
        )
        (read,) = batches.deduplicate([second, first])
        assert read.finished_at == 1.0

    def test_reused_request_id_with_other_content_is_another_bill(self):
        ids = {
            batches.bill_id('shop', 'r', 'one'),
            batches.bill_id('shop', 'r', 'two'),
            batches.bill_id('other', 'r', 'one'),
        }
        assert len(ids) == 3


class TestLedger:
    """Guards against lost bills and unbounded memory."""

    def test_bill_is_on_two_peers_when_record_returns(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        assert fleet.b.replicas.count == fleet.c.replicas.count == 1

    def test_same_request_is_recorded_once(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        run(fleet.a.ledger.record, bill('r', finished_at=2.0))
        assert fleet.a.ledger.pending_bills == 1

    def test_request_id_of_another_customer_is_another_bill(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        run(fleet.a.ledger.record, bill('r', customer='other'))
        assert fleet.a.ledger.pending_bills == 2

    def test_missing_peers_shorten_the_flush_interval(self, run, fleet):
        fleet.kill('c')
        fleet.a.flusher.interval = 100.0
        run(fleet.a.ledger.record, bill('r'))
        assert fleet.a.flusher.next_interval() < 2.0

    def test_bills_with_copies_wait_for_the_flush_interval(self, run, fleet):
        """A ledger that got its peers later was flushed each second."""
        ledger = billing.Ledger('a')
        ledger.peers = fleet.a.ledger.peers
        made = flusher.Flusher(ledger, fleet.platform, 100.0)
        run(ledger.record, bill('r'))
        assert made.next_interval() > 50.0

    def test_outage_packs_bills_and_then_refuses_requests(self, run):
        fleet = Fleet(billing.Bounds(detailed=10, pending=25))
        fleet.platform.unavailable = True
        ledger = fleet.a.ledger
        for number in range(25):
            assert ledger.admit().is_ok()
            run(ledger.record, bill(f'r{number}'))
            run(fleet.a.flusher.flush)
        assert sum(len(each.bills) for each in ledger.pending_batches) <= 10
        assert ledger.admit().unwrap_err().code == 'billing_backlog'
        fleet.platform.unavailable = False
        assert run(fleet.a.flusher.flush)
        assert ledger.admit().is_ok()
        assert (
            len(set(fleet.stored_ids())) == len(fleet.billed_requests()) == 25
        )
        # The outage results in two objects, not in one for each flush.
        assert len(fleet.platform.objects) == 2


class TestFlusher:
    """Guards against bills that are lost or duplicated by a flush."""

    def test_write_with_a_lost_answer_is_read_back(self, run, fleet):
        fleet.platform.lose_answer = lambda: True
        run(fleet.a.ledger.record, bill('r'))
        assert run(fleet.a.flusher.flush)
        assert fleet.stored_ids() == [batches.bill_id('shop', 'r')]

    def test_failed_write_is_repeated_under_the_same_name(self, run, fleet):
        fleet.platform.unavailable = True
        run(fleet.a.ledger.record, bill('r'))
        assert not run(fleet.a.flusher.flush)
        name = fleet.a.ledger.next_batch().name
        fleet.platform.unavailable = False
        assert run(fleet.a.flusher.flush)
        assert [key[1] for key in fleet.platform.objects] == [name]

    def test_written_bills_are_released(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        run(fleet.a.flusher.flush)
        assert fleet.b.replicas.count == fleet.c.replicas.count == 0

    def test_missing_copies_flush_before_the_interval(self, run, fleet):
        """The flusher slept on for the interval that it had begun."""

        async def test():
            fleet.kill('c')
            fleet.a.flusher.interval = 1e6
            task = await curio.spawn(fleet.a.flusher.run)
            await curio.sleep(0.1)
            await fleet.a.ledger.record(bill('r'))
            async with curio.timeout_after(2.0):
                while not fleet.platform.objects:
                    await curio.sleep(0.01)
            await task.cancel()

        run(test)

    def test_reported_death_flushes_before_the_interval(self, run, fleet):
        async def test():
            fleet.b.flusher.interval = 1e6
            await fleet.a.ledger.record(bill('r'))
            task = await curio.spawn(fleet.b.flusher.run)
            fleet.kill('a')
            await fleet.b.flusher.wake()
            while not fleet.platform.objects:
                await curio.sleep(0)
            await task.cancel()

        run(test)
        assert fleet.billed_requests() == ['r']

    def test_batch_marked_written_twice_drops_no_later_batch(self, run, fleet):
        run(fleet.a.ledger.record, bill('r1'))
        first = fleet.a.ledger.next_batch()
        run(fleet.a.ledger.record, bill('r2'))
        run(fleet.a.ledger.mark_written, first)
        run(fleet.a.ledger.mark_written, first)
        assert fleet.a.ledger.pending_bills == 1


class TestReplicas:
    """Guards against bills lost or duplicated when their owner dies."""

    def test_owner_killed_before_flush_is_billed_once(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        fleet.kill('a')
        run(fleet.b.flusher.flush)
        run(fleet.c.flusher.flush)
        assert fleet.stored_ids() == [batches.bill_id('shop', 'r')]

    def test_owner_killed_between_write_and_release_is_billed_once(
        self, run, fleet
    ):
        run(fleet.a.ledger.record, bill('r'))
        run(fleet.a.flusher.write, fleet.a.ledger.next_batch())
        fleet.kill('a')
        run(fleet.b.flusher.flush)
        assert fleet.stored_ids() == [batches.bill_id('shop', 'r')]
        assert fleet.b.replicas.count == 0

    def test_peers_with_different_parts_of_a_batch_write_each_bill_once(
        self, run, fleet
    ):
        run(fleet.a.ledger.record, bill('r1'))
        batch = fleet.a.ledger.pending_batches[0].name
        for host, ids in ((fleet.b, ('r2', 'r3')), (fleet.c, ('r3', 'r4'))):
            copies = [
                calls.Bill(
                    *('x', 'shop', 'auto', (), 1.0),
                    batches.bill_id('shop', each),
                    batch,
                )
                for each in ids
            ]
            host.replicas.keep('a', copies)
        fleet.kill('a')
        fleet.c.replicas.pending_batches[0].pack()
        run(fleet.b.flusher.flush)
        run(fleet.c.flusher.flush)
        expected = [batches.bill_id('shop', f'r{n}') for n in range(1, 5)]
        assert sorted(fleet.stored_ids()) == sorted(expected)

    def test_live_owner_reported_dead_continues(self, run, fleet):
        run(fleet.a.ledger.record, bill('r1'))
        fleet.b.replicas.owner_died('a')
        run(fleet.b.flusher.flush)
        run(fleet.a.ledger.record, bill('r2'))
        assert run(fleet.a.flusher.flush)
        assert fleet.billed_requests() == ['r1', 'r2']
        assert len(fleet.stored_ids()) == 2

    def test_unreleased_copy_is_written_without_a_failure_report(
        self, run, fleet
    ):
        fleet.b.replicas.release_timeout = 0.0
        run(fleet.a.ledger.record, bill('r'))
        run(fleet.b.flusher.flush)
        assert fleet.billed_requests() == ['r']
        assert fleet.b.replicas.count == 0

    def test_bills_are_replicated_again_after_a_holder_dies(self, run, fleet):
        fleet.hosts['d'] = Host('d', fleet.platform, fleet.network)
        fleet.platform.unavailable = True
        run(fleet.a.ledger.record, bill('r1'))
        fleet.kill('b')
        # The copies of r2 must not hide that r1 has lost a copy.
        run(fleet.a.ledger.record, bill('r2'))
        run(fleet.a.flusher.flush)
        assert fleet.hosts['d'].replicas.count == 2

    def test_failed_replication_is_repeated_when_peers_return(
        self, run, fleet
    ):
        fleet.platform.unavailable = True
        absent = fleet.network.pop('c')
        run(fleet.a.ledger.record, bill('r'))
        fleet.network['c'] = absent
        run(fleet.a.flusher.flush)
        assert fleet.b.replicas.count == absent.count == 1

    def test_copy_received_again_after_packing_adds_no_entry(self, run, fleet):
        run(fleet.a.ledger.record, bill('r'))
        resent = fleet.a.ledger.pending_batches[0].freeze().bills
        (pending_batch,) = fleet.b.replicas.pending_batches
        for _ in range(5):
            pending_batch.pack()
            fleet.b.replicas.keep('a', resent)
            assert len(list(pending_batch.freeze().all_bills())) == 1
        pending_batch.pack()
        assert len(pending_batch.freeze().groups[0].entries) == 40
        assert fleet.b.replicas.count == 1

    def test_orphaned_batch_is_replicated_again_when_a_new_holder_dies(
        self, run, fleet
    ):
        for name in 'def':
            fleet.hosts[name] = Host(name, fleet.platform, fleet.network)
        fleet.platform.unavailable = True
        run(fleet.a.ledger.record, bill('r'))
        fleet.kill('a')
        fleet.kill('b')
        # c replicates the bill to d and e, and to f when d fails.
        run(fleet.c.flusher.flush)
        assert fleet.hosts['f'].replicas.count == 0
        fleet.kill('d')
        run(fleet.c.flusher.flush)
        assert fleet.hosts['f'].replicas.count == 1

    def test_bill_survives_when_all_holders_fail_one_by_one(self, run, fleet):
        for name in 'de':
            fleet.hosts[name] = Host(name, fleet.platform, fleet.network)
        run(fleet.a.ledger.record, bill('r'))
        fleet.platform.unavailable = True
        for name in 'abc':
            fleet.kill(name)
            for host in fleet.hosts.values():
                run(host.flusher.flush)
        fleet.platform.unavailable = False
        for host in fleet.hosts.values():
            run(host.flusher.flush)
        assert fleet.stored_ids() == [batches.bill_id('shop', 'r')]

    def test_planned_stop_replicates_copies_in_an_outage(self, run, fleet):
        fleet.hosts['d'] = Host('d', fleet.platform, fleet.network)
        fleet.platform.unavailable = True
        run(fleet.a.ledger.record, bill('r'))
        fleet.b.replicas.mark_all_due()
        run(fleet.b.flusher.flush)
        assert 'b' in fleet.a.replicas.batches_by_owner

    def test_full_replicas_refuse_copies(self, fleet):
        full = replicas.Replicas(bounds=billing.Bounds(1, 1))
        copy = calls.Bill(*('r', 's', 't', (), 1.0, '00' * 16, 'a-0'))
        assert full.keep('a', [copy]).is_ok()
        assert full.keep('a', [copy]).unwrap_err().code == 'overloaded'
