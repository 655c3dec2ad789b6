"""Tells other routers of crashes, so that all refuse what causes them.

One router sees a part of the crashes only. A follower tells its leader;
leaders tell each other and their followers. Nothing is sent while nothing
happens, and a failure domain that is cut off goes on with what it has. A
router that starts asks another one for all evidence. Answers crashes that each
are seen by a few of hundreds of routers.
"""

import collections
import dataclasses
import itertools


import curio

from celeryward.endpoints import crash_reports
from celeryward import logs
from celeryward.routers import members

# Pause between two messages to one router, in which news is gathered.
PAUSE_SECONDS = 0.15
# Pauses after a message that failed.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# Pause between looks for routers to tell while there is news.
RECEIVERS_SECONDS = 1.0
# News that is kept for routers that could not be told yet. One that has missed
# more is told all evidence.
MAX_NEWS = 1024
LEARN_RETRY_SECONDS = 0.5
LEARN_TRIES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class NewsItem:
    """One piece of evidence that was new here.

    :param str origin: name of the router that told it; empty for this one.
    """

    number: int
    evidence: object
    origin: str = ''


class CrashNews:
    """Tells other routers what is new, with one task for each of them.

    :param harmful_guard.HarmfulRequestGuard guard: has the evidence.
    :param members: :class:`members.Members`.
    :param client_of: function that returns the :class:`client.RouterClient`
        of a member.
    """

    def __init__(self, guard, members, client_of):
        self.guard = guard
        self.members = members
        self.client_of = client_of
        self.items = collections.deque(maxlen=MAX_NEWS)
        self.numbers = itertools.count(1)
        self.last_number = 0
        self.changed = curio.Condition()
        self.tasks = {}
        guard.listeners.append(self.add)

    async def add(self, evidence, origin):
        """Add what was new, and wake the tasks that tell it."""
        for each in evidence:
            self.last_number = next(self.numbers)
            self.items.append(NewsItem(self.last_number, each, origin))
        async with self.changed:
            await self.changed.notify_all()

    async def accept(self, report):
        """Add the evidence that another router tells."""
        evidence = crash_reports.read_evidence(
            report, self.guard.harmful.clock()
        )
        await self.guard.record(*evidence, origin=report.sender)

    def list_evidence(self, after):
        """Return all evidence from an entry on, as one message has it."""
        left = tuple(
            itertools.islice(self.guard.harmful.evidence(), after, None)
        )
        taken = crash_reports.take_entries(left)
        following = after + len(taken) if len(taken) < len(left) else 0
        return crash_reports.make_report(
            self.members.own.name, taken, self.guard.harmful.clock(), following
        )

    async def run(self):
        """Learn what others know, then keep a task for each receiver."""
        await self.members.listed.wait()
        await self.learn()
        try:
            while True:
                await self.wait_after(0)
                await self.update_tasks()
                await curio.sleep(RECEIVERS_SECONDS)
        finally:
            for task in self.tasks.values():
                await task.cancel()

    async def learn(self):
        """Ask other routers for all evidence, each until it has answered.

        They learn of this router so, which their list may not have yet.
        """
        asked = set()
        for _ in range(LEARN_TRIES):
            for member in self.members.crash_receivers():
                if member.name not in asked and await self.learn_from(member):
                    asked.add(member.name)
            if {each.name for each in self.members.crash_receivers()} <= asked:
                return
            await curio.sleep(LEARN_RETRY_SECONDS)

    async def learn_from(self, member):
        """Ask a router for all evidence; return whether it answered."""
        after = 0
        while True:
            outcome = await self.client_of(member).crash_evidence(
                after, self.members.own
            )
            if outcome.is_err():
                return False
            report = outcome.unwrap()
            await self.accept(report)
            if report.next <= after:
                return True
            after = report.next

    async def update_tasks(self):
        """Start tasks for new receivers, and end those of others."""
        wanted = {each.name: each for each in self.members.crash_receivers()}
        for name in self.tasks.keys() - wanted.keys():
            await self.tasks.pop(name).cancel()
        for name in wanted.keys() - self.tasks.keys():
            self.tasks[name] = await curio.spawn(
                self.tell_regularly, wanted[name], daemon=True
            )

    async def wait_after(self, number):
        """Wait until there is news after a number."""
        async with self.changed:
            while self.last_number <= number:
                await self.changed.wait()

    async def tell_regularly(self, member):
        """Tell one router what is new, until cancelled."""
        told = 0
        pause = PAUSE_SECONDS
        while True:
            await self.wait_after(told)
            reached = await self.tell(member, told)
            if reached is None:
                pause = min(MAX_RETRY_SECONDS, max(RETRY_SECONDS, pause * 2))
            else:
                told = reached
                pause = PAUSE_SECONDS
            await curio.sleep(pause)

    async def tell(self, member, told):
        """Send one message to a router, or all evidence if it missed much.

        :param int told: number of the last item that it was told.
        :returns: that number after the message, or None if it failed.
        """
        if self.items and told < self.items[0].number - 1:
            return await self.tell_all(member)
        items, reached = self.items_for(member, told)
        if not items:
            return reached
        report = crash_reports.make_report(
            self.members.own.name,
            [each.evidence for each in items],
            self.guard.harmful.clock(),
        )
        return reached if await self.send(member, report) else None

    async def tell_all(self, member):
        """Send all evidence to a router; return as :meth:`tell`."""
        reached = self.last_number
        after = 0
        while True:
            report = self.list_evidence(after)
            if not await self.send(member, report):
                return None
            if report.next <= after:
                return reached
            after = report.next

    async def send(self, member, report):
        """Send a report to a router; return whether it has arrived."""
        outcome = await self.client_of(member).report_crashes(report)
        if outcome.is_err():
            error = outcome.unwrap_err()
            # Another leader, or a standby, takes its place meanwhile.
            self.members.avoid(member, members.OUTDATED_AVOID_SECONDS)
            logs.bind_error(error, router=member.name).info(
                'crashes not told: {}', error.message
            )
        return outcome.is_ok()

    def items_for(self, member, told):
        """Return the next items for a router, and the number they reach.

        Leaders tell each other only what they or their followers have seen.
        """
        left = [each for each in self.items if each.number > told]
        leaders = self.members.crash_leader_names()
        wanted = [
            each
            for each in left
            if each.origin != member.name
            and not (member.name in leaders and each.origin in leaders)
        ]
        count = len(
            crash_reports.take_entries(each.evidence for each in wanted)
        )
        if count < len(wanted):
            return wanted[:count], wanted[count].number - 1
        return wanted, left[-1].number if left else told
