"""Gossip and membership without connections, on a simulated clock."""

import random

import pytest

from celeryward.daemons import gossip
from celeryward.daemons import membership
from celeryward.objects import configuration
from celeryward.objects import protocol

MAX_ROUNDS = 200
ROUNDS_WITHIN_TARGET = 10


def change(name, revision, type_='put'):
    spec = {'allowed': [f'r{revision}']}
    stored = protocol.StoredObject('Customer', name, spec, revision)
    return protocol.Change(type_, revision, stored)


def member(number, domain, host=None):
    name = f'd{number}'
    return membership.Member(
        f'{name}-run', name, host or name, '127.0.0.1', number, domain, 1.0
    )


class Node:
    """Membership, store and gossip of one daemon."""

    def __init__(self, own, fleet):
        self.members = membership.Membership(own, 1.0, lambda: fleet.now)
        self.store = configuration.ConfigurationStore()
        seeds = [gossip.Contact('127.0.0.1', 0)]
        self.gossip = gossip.Gossip(
            self.members,
            self.store,
            seeds,
            random.Random(own.owner),
            lambda: 1000.0 + fleet.now,
        )
        self.accepted = []
        self.store.listeners.append(self.accepted.append)

    def exchange(self, peer):
        """Take the steps of one exchange."""
        digest = self.gossip.open_exchange()
        while digest is not None:
            reply = peer.gossip.answer_digest(digest)
            digest = self.gossip.next_digest(reply)
            peer.store.accept(self.gossip.requested_changes(reply))


class Fleet:
    """Nodes that call each other directly, unless they are partitioned."""

    def __init__(self, domains, nodes_per_domain):
        self.now = 0.0
        self.nodes = {}
        self.partitioned = set()
        self.killed = set()
        for number in range(domains * nodes_per_domain):
            self.add(member(number, f'f{number % domains}'))
        # At the start each node knows only its seed, the first node.

    def add(self, own):
        self.nodes[own.port] = Node(own, self)
        return self.nodes[own.port]

    def connected(self, node, peer):
        domains = {node.members.own.failure_domain}
        domains.add(peer.members.own.failure_domain)
        return len(domains) == 1 or not domains & self.partitioned

    def step(self):
        """Run one round at each node, then deliver the pushes."""
        self.now += 1.0
        for node in self.alive():
            node.members.advance_heartbeat()
            node.members.mark_dead()
            for contact in node.gossip.choose_contacts():
                for peer in self.reach(node, contact):
                    node.exchange(peer)
        for node in self.alive():
            while node.accepted:
                changes = node.accepted.pop()
                for contact in node.gossip.push_contacts(False):
                    for peer in self.reach(node, contact):
                        peer.store.accept(changes)

    def alive(self):
        return [
            node
            for number, node in self.nodes.items()
            if number not in self.killed
        ]

    def reach(self, node, contact):
        peer = self.nodes[contact.port]
        if contact.port not in self.killed and self.connected(node, peer):
            yield peer

    def rounds_until(self, condition):
        """Run rounds until a condition holds; return their number."""
        for rounds in range(MAX_ROUNDS):
            if condition():
                return rounds
            self.step()
        raise AssertionError(f'not reached in {MAX_ROUNDS} rounds')

    def holding(self, revision, nodes=None):
        """Return a condition: all hold exactly this revision of ``a``."""
        return lambda: all(
            node.store.revisions.get(('Customer', 'a')) == revision
            for node in nodes or self.alive()
        )

    def in_domain(self, domain):
        return [
            node
            for node in self.alive()
            if node.members.own.failure_domain == domain
        ]

    def all_known(self):
        count = len(self.alive()) - 1
        return all(len(node.members.live()) == count for node in self.alive())


@pytest.fixture
def fleet():
    """Return 3 failure domains of 4 nodes that know each other."""
    built = Fleet(3, 4)
    built.rounds_until(built.all_known)
    return built


class TestSpread:
    """Guards against changes that arrive late, are reverted or are lost."""

    def test_change_reaches_all_within_the_target(self, fleet):
        fleet.nodes[0].store.accept([change('a', 5)])
        rounds = fleet.rounds_until(fleet.holding(5))
        assert rounds <= ROUNDS_WITHIN_TARGET

    @pytest.mark.parametrize('seed', range(5))
    def test_highest_revision_wins_in_any_order(self, fleet, seed):
        changes = [change('a', number) for number in range(1, 6)]
        changes.append(change('a', 6, 'delete'))
        chooser = random.Random(seed)
        chooser.shuffle(changes)
        for entry in changes:
            chooser.choice(fleet.alive()).store.accept([entry])
        fleet.rounds_until(fleet.holding(6))
        for node in fleet.alive():
            assert node.store.catalog().customers == {}

    def test_deleted_object_that_a_peer_still_has_stays_deleted(self, fleet):
        fleet.nodes[0].store.accept([change('a', 5)])
        fleet.rounds_until(fleet.holding(5))
        fleet.partitioned.add('f2')
        fleet.nodes[0].store.accept([change('a', 6, 'delete')])
        rest = fleet.in_domain('f0') + fleet.in_domain('f1')
        fleet.rounds_until(fleet.holding(6, rest))
        assert fleet.holding(5, fleet.in_domain('f2'))()
        fleet.partitioned.clear()
        fleet.rounds_until(fleet.holding(6))
        assert fleet.nodes[2].store.catalog().customers == {}

    def test_domain_cut_off_and_healed_gets_what_it_missed(self, fleet):
        fleet.partitioned.add('f1')
        for _ in range(membership.REMOTE_DEADLINE_ROUNDS + 10):
            fleet.step()
        live = fleet.nodes[0].members.live()
        seen = {entry.failure_domain for entry in live}
        assert 'f1' not in seen
        fleet.nodes[0].store.accept([change('a', 7)])
        fleet.rounds_until(fleet.holding(7, fleet.in_domain('f0')))
        assert fleet.holding(None, fleet.in_domain('f1'))()
        fleet.partitioned.clear()
        rounds = fleet.rounds_until(fleet.holding(7))
        assert rounds <= ROUNDS_WITHIN_TARGET
        fleet.rounds_until(fleet.all_known)

    def test_domains_without_the_platform_pass_revisions_on(self, fleet):
        # One node of f0 accepts the changes; f1 and f2 get them from it.
        fleet.nodes[0].store.accept([change('a', 3), change('b', 4)])
        fleet.rounds_until(fleet.holding(3))

    def test_kind_of_a_newer_release_is_passed_on(self, fleet):
        stored = protocol.StoredObject('Later', 'a', {}, 8)
        fleet.nodes[0].store.accept([protocol.Change('put', 8, stored)])
        fleet.rounds_until(
            lambda: all(
                node.store.revisions.get(stored.key) == 8
                for node in fleet.alive()
            )
        )

    def test_daemon_that_starts_gets_everything_from_its_seed(self, fleet):
        count = gossip.MAX_CHANGES_PER_DIGEST * 2 + 1
        changes = [change(f'c{n}', n) for n in range(1, count + 1)]
        fleet.nodes[0].store.accept(changes)
        fleet.nodes[0].store.confirm(900.0)
        started = fleet.add(member(99, 'f0'))
        started.exchange(fleet.nodes[0])
        assert len(started.store.latest_changes) == count
        assert started.store.confirmed_at == 900.0


class TestConfirmation:
    """Guards against a stale configuration that looks confirmed."""

    def test_other_revisions_do_not_confirm_the_own_ones(self, fleet):
        first, second = fleet.nodes[0], fleet.nodes[3]
        second.store.accept([change('a', 5)])
        second.store.confirm(900.0)
        digest = second.gossip.open_exchange()
        first.gossip.merge_digest(digest)
        assert first.store.confirmed_at == 0.0
        first.exchange(second)
        assert first.store.confirmed_at == 900.0

    def test_clock_that_runs_ahead_is_limited_by_the_own_clock(self, fleet):
        first, second = fleet.nodes[0], fleet.nodes[3]
        second.store.confirm(1e12)
        first.exchange(second)
        assert first.store.confirmed_at == 1000.0 + fleet.now


class TestMembership:
    """Guards against live members marked dead, and dead ones kept live."""

    def test_killed_holder_is_replaced(self, fleet):
        domain = fleet.in_domain('f0')
        holders = domain[0].members.watch_holders('f0')
        fleet.killed.add(holders[0].port)
        survivors = fleet.in_domain('f0')

        def replaced():
            return all(
                holders[0] not in node.members.watch_holders('f0')
                for node in survivors
            )

        rounds = fleet.rounds_until(replaced)
        assert rounds <= membership.LOCAL_DEADLINE_ROUNDS + 5
        chosen = survivors[0].members.watch_holders('f0')
        assert len(chosen) == membership.WATCH_HOLDERS_PER_DOMAIN
        assert all(
            node.members.watch_holders('f0') == chosen for node in survivors
        )

    def test_live_members_stay_live(self, fleet):
        for _ in range(membership.REMOTE_DEADLINE_ROUNDS * 2):
            fleet.step()
            assert fleet.all_known()

    def test_pause_of_this_daemon_marks_no_member_dead(self, fleet):
        members = fleet.nodes[0].members
        known = len(members.live())
        fleet.now += 1000.0
        assert members.mark_dead() == []
        assert len(members.live()) == known

    @pytest.mark.parametrize('rounds_between_pauses', [0, 1, 3])
    def test_pauses_in_a_row_do_not_keep_a_dead_member(
        self, fleet, rounds_between_pauses
    ):
        """Each pause gave all members their whole time again."""
        members = fleet.nodes[0].members
        fleet.rounds_until(fleet.all_known)
        silent, *others = members.live()
        dead = []
        for number in range(membership.REMOTE_DEADLINE_ROUNDS * 2):
            paused = number % (rounds_between_pauses + 1) == 0
            fleet.now += membership.MIN_PAUSE_ROUNDS + 1.0 if paused else 1.0
            counter = members.heartbeat_counter + 1000 + number
            members.record_heartbeats(
                [membership.Heartbeat(each.id, counter) for each in others]
            )
            dead += members.mark_dead()
        assert dead == [silent]

    def test_restart_under_the_same_name_ends_the_old_run(self, fleet):
        members = fleet.nodes[0].members
        old = fleet.nodes[3].members.own
        new = membership.Member(
            'd3-second', 'd3', 'd3', '127.0.0.1', 3, 'f0', 2.0
        )
        members.add_members([new])
        assert members.mark_dead() == [old]
        members.add_members([old])
        assert old not in members.live()

    def test_copies_go_to_two_domains_on_other_hosts(self):
        own = member(0, 'f0', 'h0')
        members = membership.Membership(own, 1.0, lambda: 0.0)
        members.add_members([member(1, 'f0', 'h0'), member(2, 'f0', 'h1')])
        members.add_members([member(3, 'f1', 'h2'), member(4, 'f1', 'h2')])
        first, second, *_ = members.copy_candidates()
        assert (first.host_name, second.host_name) == ('h1', 'h2')


class TestDeletionsByList:
    """Guards against stale lists, and deletions that no watch reported."""

    def listed(self, revision, *names):
        items = tuple(change(name, number).object for name, number in names)
        return protocol.ObjectList(items, revision)

    def test_object_absent_from_a_newer_list_is_deleted(self):
        store = configuration.ConfigurationStore()
        store.accept([change('a', 5), change('b', 6)])
        store.accept_list('Customer', self.listed(9, ('b', 6)))
        assert list(store.catalog().customers) == ['b']
        store.accept([change('a', 5)])
        assert list(store.catalog().customers) == ['b']

    def test_stale_list_deletes_and_reverts_nothing(self):
        store = configuration.ConfigurationStore()
        store.accept([change('a', 5), change('b', 8)])
        store.accept_list('Customer', self.listed(4, ('b', 2)))
        customers = store.catalog().customers
        assert sorted(customers) == ['a', 'b']
        assert customers['b'].allowed == ('r8',)

    def test_stale_list_does_not_bring_back_a_deleted_object(self):
        store = configuration.ConfigurationStore()
        store.accept([change('a', 7, 'delete')])
        store.accept_list('Customer', self.listed(6, ('a', 5)))
        assert store.catalog().customers == {}
