"""Chats that share a message and crash the engines of daemons."""

import curio
import pytest

from celeryward import calls
from celeryward.daemons import topics
from celeryward import deadlines
from celeryward.endpoints import attempts
from celeryward import errors
from celeryward.standins import engine
from celeryward.standins import fleet

HARMFUL = 'a system prompt that ends engines'
SOUND = 'a system prompt'
ENGINES = 10
VERSIONS = (fleet.VERSION.name,)


class LateCrashingEngine(engine.EngineStandIn):
    """An engine that crashes in the middle of an answer."""

    async def answer_chat(self, connection, received):
        """Answer one chat, and crash meanwhile on the harmful message."""
        if HARMFUL in received.body.decode():
            await curio.spawn(self.crash_later, daemon=True)
        await super().answer_chat(connection, received)

    async def crash_later(self):
        """Crash when half of the answer is written."""
        await curio.sleep(self.token_seconds * self.tokens / 2)
        await self.crash(HARMFUL)


def make_engines():
    made = []
    for _ in range(ENGINES):
        made.append(engine.EngineStandIn(VERSIONS, tokens=2))
        made[-1].crash_on = HARMFUL
        made[-1].restart_seconds = 0.3
    return made


def make_attempt(number, system):
    request = calls.ChatRequest(
        'large',
        (
            calls.Message('system', system),
            calls.Message('user', f'question {number}'),
        ),
    )
    deadline = deadlines.Deadline.after(2.0)
    call = calls.Call(f'r{number}', fleet.CUSTOMER, deadline, request)
    return attempts.Attempt(call, 'large')


async def send(started, number, system):
    """Send a chat; return whether it was answered, or its error."""
    try:
        await started.complete_chat(make_attempt(number, system))
    except errors.CelerywardError as error:
        return error
    return True


def count_crashes(started):
    return sum(sum(each.crash_counts.values()) for each in started.engines)


class TestSharedMessages:
    """Guards against chats that each crash two engines by one message."""

    def test_chats_with_the_message_are_refused(self, with_fleet):
        async def test(started):
            outcomes = []
            for number in range(12):
                assert await send(started, f's{number}', SOUND) is True
                outcomes.append(await send(started, number, HARMFUL))
                await curio.sleep(0.2)
            assert count_crashes(started) <= 6
            last = outcomes[-1]
            assert isinstance(last, errors.HarmfulRequest)
            assert last.execution is errors.Execution.NOT_RUN

        with_fleet(test, *make_engines())

    def test_late_crashes_count(self, with_fleet):
        """Routers took answers under way for proof of harmless parts."""

        async def test(started):
            for number in range(8):
                assert await send(started, f's{number}', SOUND) is True
                last = await send(started, number, HARMFUL)
                await curio.sleep(0.1)
            assert count_crashes(started) <= 6
            assert isinstance(last, errors.HarmfulRequest)

        made = [
            LateCrashingEngine(VERSIONS, tokens=8, token_seconds=0.06)
            for _ in range(ENGINES)
        ]
        for each in made:
            each.restart_seconds = 0.3
        with_fleet(test, *made)

    def test_message_that_is_answered_is_not_accused(self, with_fleet):
        async def test(started):
            for number in range(4):
                for each in started.engines:
                    each.crash_on = f'question {number}'
                    each.restart_seconds = 0.1
                await send(started, number, SOUND)
                await curio.sleep(0.3)
                assert await send(started, f's{number}', SOUND) is True

        with_fleet(test, *make_engines())

    def test_message_of_an_earlier_answer_needs_more_crashes(self, with_fleet):
        async def test(started):
            harmful = started.recovery.harmful
            traits = make_attempt('s', SOUND).traits
            for trait in traits.all():
                assert harmful.least_crashes('large', trait, 3) == 3
            assert await send(started, 's', SOUND) is True
            for trait in traits.all():
                assert harmful.least_crashes('large', trait, 3) > 3

        with_fleet(test, *make_engines())


class TestAnnouncements:
    """Guards against daemons that each learn of a message alone."""

    def test_evidence_of_another_daemon_refuses(self, with_fleet):
        class Holder:
            def __init__(self, recovery):
                self.recovery = recovery

        async def test(started):
            for number in range(4):
                await send(started, number, HARMFUL)
                await curio.sleep(0.2)
            other = fleet.Fleet(())
            there = topics.CrashesTopic(Holder(other.recovery))
            here = topics.CrashesTopic(Holder(started.recovery))
            there.accept(here.collect(False))
            assert here.collect(False) is None
            with pytest.raises(errors.HarmfulRequest):
                other.recovery.isolation(make_attempt(9, HARMFUL))
            other.recovery.isolation(make_attempt(9, SOUND))

        with_fleet(test, *make_engines())
