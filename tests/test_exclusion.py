"""Several harmful parts at once, while nothing is answered."""

import itertools

import pytest

from celeryward.endpoints import crashes
from celeryward.endpoints import culprits

NUMBERS = itertools.count()
SOUND = crashes.RequestTraits('request-sound', ('aa', 'bb'))


def request(*parts):
    return crashes.RequestTraits(f'request-{next(NUMBERS)}', parts)


def crash(*requests):
    number = next(NUMBERS)
    return crashes.Crash(f'e{number}', 1.0, 'llm', number, tuple(requests))


def is_refused(found, traits, answered=frozenset()):
    return any(
        each.includes(traits.all())
        for each in culprits.find_culprits(found, answered=answered)
    )


class TestTwoHarmfulParts:
    """Guards against refusals of what sound requests share (KNOWN-RED t)."""

    @pytest.mark.parametrize('order', ('xyx', 'xyxy', 'xyyx', 'xxyy', 'xyxyx'))
    def test_shared_part_is_not_accused_of_their_crashes(self, order):
        found = [crash(request('aa', part), SOUND) for part in order]
        assert not is_refused(found, SOUND)

    def test_each_is_accused_where_it_ran_alone(self):
        found = [
            crash(request('aa', 'x'), SOUND),
            crash(request('aa', 'y'), SOUND),
            crash(request('aa', 'x')),
            crash(request('aa', 'y')),
            crash(request('aa', 'x')),
            crash(request('aa', 'y')),
        ]
        assert not is_refused(found, SOUND)
        assert is_refused(found, request('aa', 'x'))
        assert is_refused(found, request('aa', 'y'))

    def test_repeated_request_is_not_accused_where_it_was_beside(self):
        sound = crashes.RequestTraits('request-sound')
        found = [
            crash(request(part), sound) for part in ('x', 'y', 'x', 'y', 'y')
        ]
        assert not is_refused(found, sound)
        found += [crash(request(part)) for part in 'xyx']
        assert is_refused(found, request('x'))
        assert is_refused(found, request('y'))
        assert not is_refused(found, sound)


class TestAnsweredTraits:
    """Guards against refusals of what was answered before the crashes."""

    @pytest.mark.parametrize('order', ('xyxyxy', 'xyxyxyxx', 'xxxyyyxyxyxy'))
    def test_answered_part_is_not_accused_of_what_others_explain(self, order):
        found = [crash(request('aa', part), SOUND) for part in order]
        found += [crash(request('aa', part)) for part in 'xy']
        answered = SOUND.all()
        assert not is_refused(found, SOUND, answered)
        assert is_refused(found, request('aa', 'x'), answered)
        assert is_refused(found, request('aa', 'y'), answered)

    def test_answered_parts_are_not_accused_beside_a_harmful_one(self):
        """Streams with the same parts ran at each endpoint that crashed."""
        found = [
            crash(request('aa', 'bad'), request('aa', 'bb')) for _ in range(3)
        ]
        answered = frozenset(('aa', 'bb'))
        assert is_refused(found, request('aa', 'bad'), answered)
        assert not is_refused(found, request('aa', 'bb'), answered)

    def test_answered_fingerprint_needs_more_crashes(self):
        found = [crash(SOUND) for _ in range(5)]
        assert not is_refused(found, SOUND, SOUND.all())
        found.append(crash(SOUND))
        assert is_refused(found, SOUND, SOUND.all())


class TestEvidence:
    """Guards against a harmful part that its company protects."""

    def test_part_is_accused_beside_other_requests(self):
        found = [crash(request('aa', 'x'), SOUND) for _ in range(3)]
        assert is_refused(found, request('aa', 'x'))

    def test_part_of_several_sessions_is_accused_at_its_third_crash(self):
        found = [crash(request('bad', each)) for each in ('s', 't', 's')]
        assert is_refused(found, request('bad', 'u'))

    def test_repeated_requests_with_the_part_do_not_protect_it(self):
        """Each of them was in two crashes, beside others with the part."""
        repeated = [request('aa', 'bad') for _ in range(4)]
        found = [crash(*repeated[n : n + 2]) for n in range(3)]
        new = request('aa', 'bad')
        assert not is_refused(found, new)
        assert is_refused(found, new, frozenset(('aa',)))

    def test_part_is_accused_although_each_crash_had_a_rival(self):
        found = [
            crash(request('bad'), request(part))
            for _ in range(3)
            for part in ('b', 'c', 'd')
        ]
        assert is_refused(found, request('bad'))

    def test_part_that_crashes_only_beside_another_needs_both(self):
        found = [crash(request('x', 'y'), request('x')) for _ in range(3)]
        assert is_refused(found, request('x', 'y'))
        assert not is_refused(found, request('x'))
        assert not is_refused(found, request('y'))
