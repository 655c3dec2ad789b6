"""Two parts that crash endpoints at the same time."""

import curio
import pytest

from tests import platform_crashes as crashing

OTHER_PART = 'bad1bad1'
# No stream is answered within the deadline of its request.
SILENT_SECONDS = 60.0
SOUND_SECONDS = 1.5
BOTH_SECONDS = 3.0
INTERVAL_SECONDS = 0.05
HARMFUL_EVERY = 4


@pytest.fixture
def fleet():
    made = crashing.Fleet(routers=2, runners=12)
    made.harmful_parts = (crashing.HARMFUL_PART, OTHER_PART)
    return made


def sound_request(number):
    """Return a request that is the same for all numbers."""
    return '/stream/x', 'aa:300,bb:200,cc:100', False


def mixed_request(number):
    """Return a request; each fourth has one of two harmful parts."""
    turn, rest = divmod(number, HARMFUL_EVERY)
    if rest:
        return sound_request(number)
    part = (crashing.HARMFUL_PART, OTHER_PART)[turn % 2]
    return f'/stream/{number}', f'aa:300,{part}:200,{number:x}:100', True


class Accusations:
    """Collects the sound traits that were accused at any time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.found = set()

    async def follow(self):
        while True:
            self.found |= self.fleet.accused_sound_traits()
            await curio.sleep(0.01)


class TestNothingIsAnswered:
    """Guards against refusals of what sound requests share (KNOWN-RED t)."""

    @crashing.on_fleet
    async def test_streams_that_stop_are_not_accused(self, fleet):
        fleet.event_seconds = SILENT_SECONDS
        seen = Accusations(fleet)
        task = await curio.spawn(seen.follow, daemon=True)
        await fleet.send_regularly(
            SOUND_SECONDS, INTERVAL_SECONDS, sound_request
        )
        await fleet.send_regularly(
            BOTH_SECONDS, INTERVAL_SECONDS, mixed_request
        )
        await task.cancel()
        assert len(fleet.crashes) >= 4
        assert seen.found == set()

    @crashing.on_fleet
    async def test_request_that_was_answered_before_is_not_accused(
        self, fleet
    ):
        await fleet.send_regularly(
            SOUND_SECONDS, INTERVAL_SECONDS, sound_request
        )
        await curio.sleep(0.5)
        fleet.event_seconds = SILENT_SECONDS
        seen = Accusations(fleet)
        task = await curio.spawn(seen.follow, daemon=True)
        await fleet.send_regularly(
            BOTH_SECONDS, INTERVAL_SECONDS, mixed_request
        )
        await task.cancel()
        assert len(fleet.crashes) >= 4
        assert seen.found == set()


class TestBothAreFound:
    """Guards against two harmful parts that hide each other."""

    @crashing.on_fleet
    async def test_requests_with_either_part_are_refused(self, fleet):
        await fleet.send_regularly(6.0, INTERVAL_SECONDS, mixed_request)
        assert len(fleet.crashes) >= 4
        assert fleet.late_harmful_arrivals() <= 3
        assert fleet.served_share(fleet.sent[60].at) > 0.95
