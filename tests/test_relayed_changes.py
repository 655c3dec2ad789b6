"""What a router relays to others: changes, lists and evidence."""

import dataclasses

import curio

from celeryward.objects import freshness
from celeryward.objects import outages
from celeryward.objects import protocol as objects
from celeryward.raters import releases
from celeryward.raters import rollout_orders
from celeryward.routers import change_log
from celeryward.routers import members
from celeryward.routers import pacing
from celeryward.routers import protocol
from celeryward.routers import publisher
from tests import fakes
from tests import platform_standins as standins

PACING = pacing.make_pacing(2.0)
OWN = members.Member('router-0', 'a', '127.0.0.1', 1, 10.0)


def change(revision, kind='config'):
    stored = objects.StoredObject(kind, 'main', {'version': revision})
    stored = dataclasses.replace(stored, revision=revision)
    return objects.Change('put', revision, stored)


class TestChangeLog:
    """Guards against changes that are omitted or relayed twice."""

    @fakes.in_kernel
    async def test_changes_after_a_revision(self):
        log = change_log.ChangeLog()
        assert not log.covers(0)
        await log.reset(10)
        await log.extend((change(12), change(14)), 15)
        assert log.covers(10) and not log.covers(9)
        assert [each.revision for each in log.changes_after(12)] == [14]
        assert log.changes_after(14) == ()

    @fakes.in_kernel
    async def test_dropped_changes_are_not_covered(self):
        log = change_log.ChangeLog()
        await log.reset(1)
        for revision in range(2, change_log.MAX_CHANGES + 12):
            await log.extend((change(revision),), revision)
        assert len(log.changes) == change_log.MAX_CHANGES
        assert not log.covers(1)
        assert log.covers(log.floor)

    @fakes.in_kernel
    async def test_late_response_does_not_lower_the_revision(self):
        log = change_log.ChangeLog()
        await log.reset(10)
        await log.extend((change(12),), 12)
        await log.extend((change(11),), 11)
        assert log.revision == 12
        assert len(log.changes) == 1

    @fakes.in_kernel
    async def test_wait_ends_with_a_change(self):
        log = change_log.ChangeLog()
        await log.reset(10)
        waiting = await curio.spawn(log.wait_for_changes, 10, 5.0)
        await curio.sleep(0.01)
        await log.extend((change(11),), 11)
        async with curio.timeout_after(1.0):
            assert len(await waiting.join()) == 1


class TestPublisher:
    """Guards against responses that claim a newer state than is known."""

    def made(self, now):
        fresh = freshness.Freshness(5.0, lambda: now[0])
        log = change_log.ChangeLog()
        made = publisher.Publisher(
            {'config': log},
            {'config': fresh},
            PACING,
            outages.OutageTracker(standins.BOUNDS),
            members.Members(OWN),
            releases.Releases(0.15, 5.0),
        )
        return made, log, fresh

    @fakes.in_kernel
    async def test_age_of_the_leader_is_included(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        await log.reset(5)
        fresh.confirm(99.8)
        status, body = await made.answer('/changes/config?since=5&wait=0.05')
        passed = protocol.RouterDialect().decode_changes('config', body)
        assert status == 200
        assert -0.2 < passed.confirmed_seconds < 0.0
        assert passed.revision == 5

    @fakes.in_kernel
    async def test_follower_that_is_ahead_keeps_its_revision(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        await log.reset(5)
        fresh.confirm(100.0)
        _, body = await made.answer('/changes/config?since=9&wait=0.01')
        assert (
            protocol.RouterDialect().decode_changes('config', body).revision
            == 9
        )

    @fakes.in_kernel
    async def test_unknown_history_and_kinds_are_refused(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        fresh.confirm(100.0)
        status, _ = await made.answer('/changes/config?since=5&wait=0.01')
        assert status == 410
        for target in (
            '/changes/other?since=5&wait=1',
            '/x',
            '/changes/config',
        ):
            status, _ = await made.answer(target)
            assert status == 400
        made.stopping = True
        status, _ = await made.answer('/changes/config?since=5&wait=0.01')
        assert status == 503

    @fakes.in_kernel
    async def test_list_has_the_changes_since_it_was_read(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        stored = objects.StoredObject('config', 'other', {}, 4)
        await log.reset(5, (stored,))
        await log.extend((change(7),), 8)
        fresh.confirm(99.9)
        status, body = await made.answer('/objects/config')
        listed = protocol.RouterDialect().decode_page('config', body)
        assert status == 200
        assert {each.name for each in listed.items} == {'other', 'main'}
        assert listed.revision == 8
        assert -0.2 < listed.confirmed_seconds < 0.0
        await log.extend((objects.Change('delete', 9, stored),), 9)
        _, body = await made.answer('/objects/config')
        listed = protocol.RouterDialect().decode_page('config', body)
        assert [each.name for each in listed.items] == ['main']

    @fakes.in_kernel
    async def test_router_without_a_recent_list_relays_none(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        assert (await made.answer('/objects/config'))[0] == 404
        assert (await made.answer('/objects/other'))[0] == 400
        await log.reset(5)
        fresh.confirm(100.0)
        assert (await made.answer('/objects/config'))[0] == 200
        now[0] += PACING.max_leader_age + 0.1
        assert (await made.answer('/objects/config'))[0] == 503

    @fakes.in_kernel
    async def test_list_too_large_for_the_link_is_not_relayed(self):
        now = [100.0]
        made, log, fresh = self.made(now)
        padding = 'x' * int(made.max_response_bytes())
        stored = objects.StoredObject('config', 'main', {'note': padding}, 4)
        await log.reset(5, (stored,))
        fresh.confirm(100.0)
        assert (await made.answer('/objects/config'))[0] == 413

    @fakes.in_kernel
    async def test_reported_evidence_rolls_a_bad_version_back(self):
        """One router of many saw too few failures to judge a version."""
        made, _, _ = self.made([100.0])
        made.releases.accept(rollout_orders.Order('llm', 'v2', 20.0))
        exposure = protocol.OrderExposure(
            'llm', 'v2', 0, rollout_orders.Exposure(100, 15)
        )
        for number in range(3):
            outcome = rollout_orders.Outcome(
                'llm',
                'v2',
                0,
                f'e{number}',
                rollout_orders.Criterion.FAILURE,
                True,
                2.0,
            )
            report = protocol.EvidenceReport((exposure,), (outcome,))
            body = protocol.encode(report)
            assert (await made.answer('/evidence', body))[0] == 200
        progress = made.releases.progress['llm']
        assert progress.exposure == rollout_orders.Exposure(300, 45)
        assert progress.verdict is rollout_orders.State.ROLLED_BACK
        for body in (b'', b'{}', b'[1]'):
            assert (await made.answer('/evidence', body))[0] == 400
