"""Sessions and the selection of their versions."""

import itertools
import uuid

import hypothesis
from hypothesis import strategies
import pytest

from celeryward.callers import admission
from celeryward.callers import sessions
from celeryward.callers import version_selection
from celeryward import calls
from celeryward import catalog
from celeryward import deadlines
from celeryward import errors

NOW = 1_000_000.0
OLD_KEY = 'the-old-signing-key'
NEW_KEY = 'the-new-signing-key'
CUSTOMER = catalog.Customer('a', allowed=('m', 'n'))
RUNNING = catalog.RolloutState.RUNNING
HALTED = catalog.RolloutState.HALTED
FINISHED = catalog.RolloutState.FINISHED
WITHDRAWN = catalog.VersionState.WITHDRAWN


def make_catalog(*rollouts, versions='12', withdrawn='', live_since=None):
    made = [
        catalog.ModelVersion(
            model,
            number,
            WITHDRAWN if number in withdrawn else catalog.VersionState.LIVE,
            live_since=(live_since or {}).get(number, 0.0),
        )
        for model in ('m', 'n')
        for number in versions
    ]
    return catalog.Catalog(
        customers={'a': CUSTOMER},
        versions={version.name: version for version in made},
        rollouts={rollout.name: rollout for rollout in rollouts},
    )


def rollout(share=0.0, state=RUNNING, at=0.0, old='1', new='2'):
    name = f'{old}-{new}'
    return catalog.Rollout(name, 'm', old, new, share, state, at)


def make_call(token='', session_id='', customer=CUSTOMER, request_id='r'):
    request = calls.ChatRequest('m', ())
    return calls.Call(
        request_id, customer, deadlines.NEVER, request, token, session_id
    )


def uuid7_at(seconds):
    return str(uuid.UUID(int=int(seconds * 1000) << 80 | 7 << 76 | 2 << 62))


def select(current, age=0.0, now=NOW, target='m', signer=None, **stated):
    call = make_call(**stated)
    signer = signer or sessions.SessionSigner([OLD_KEY])
    session = sessions.open_session(signer, call, now)
    pinned_version = target if '@' in target else ''
    route = admission.ChatRoute(('m',), pinned_version)
    return version_selection.select_version(
        current, call, route, 'm', session, age
    )


def selected_version(current, **arguments):
    return select(current, **arguments).unwrap().pinned_version


def token_for_version(number, customer='a', keys=(OLD_KEY,)):
    session = sessions.Session('s', {'m': number}, NOW, customer)
    return sessions.SessionSigner(list(keys)).sign(session)


class TestTokens:
    """Guards against lost or forged tokens, and errors on bad ones."""

    def test_sessions_survive_key_rotation_in_three_steps(self):
        steps = ([OLD_KEY], [NEW_KEY, OLD_KEY], [OLD_KEY, NEW_KEY], [NEW_KEY])
        for before, after in itertools.pairwise(steps):
            for signing, verifying in ((before, after), (after, before)):
                token = token_for_version('2', keys=signing)
                session = sessions.SessionSigner(verifying).verify(token)
                assert session.versions == {'m': '2'}
                assert session.started_at == NOW

    @pytest.mark.parametrize(
        'token',
        [
            '',
            'x',
            '..',
            '\udcff.\u20ac',
            token_for_version('2')[:-1] + '-',
            token_for_version('2', keys=('a-key-of-another',)),
            token_for_version('2', customer='b'),
            token_for_version('2') + 'A' * sessions.MAX_TOKEN_BYTES,
        ],
    )
    def test_bad_token_begins_a_new_session(self, token):
        current = make_catalog(rollout(share=0.0))
        choice = select(current, token=token).unwrap()
        assert (choice.pinned_version, choice.changed) == ('m@1', False)

    @hypothesis.given(strategies.text())
    def test_arbitrary_text_is_ignored(self, text):
        signer = sessions.SessionSigner([OLD_KEY])
        call = make_call(token=text, session_id=text)
        assert sessions.open_session(signer, call, NOW).versions == {}

    def test_issued_token_is_never_too_large(self):
        versions = {f'{n:0200x}': 'v' * 200 for n in range(26)}
        session = sessions.Session('s', versions, NOW, 'a')
        signer = sessions.SessionSigner([OLD_KEY])
        assert signer.verify(signer.sign(session)).id == 's'

    def test_long_session_id_is_replaced_by_a_digest(self):
        signer = sessions.SessionSigner([OLD_KEY])
        call = make_call(session_id='\u20ac' * 50_000)
        session = sessions.open_session(signer, call, NOW)
        assert len(session.id) <= sessions.MAX_ID_CHARACTERS


class TestRolloutShare:
    """Guards against a share that changes the version of running sessions."""

    @pytest.mark.parametrize('number', ['1', '2'])
    @pytest.mark.parametrize(
        'changed',
        [
            rollout(share=1.0),
            rollout(share=0.0),
            rollout(share=0.5, state=HALTED),
            rollout(share=1.0, state=FINISHED, at=NOW),
        ],
    )
    def test_session_with_token_keeps_its_version(self, number, changed):
        current = make_catalog(changed)
        choice = select(current, token=token_for_version(number)).unwrap()
        assert (choice.pinned_version, choice.changed) == (
            f'm@{number}',
            False,
        )

    def test_share_determines_versions_of_new_sessions(self):
        current = make_catalog(rollout(share=0.25))
        choices = [
            selected_version(current, request_id=f'r-{n}') for n in range(400)
        ]
        assert 70 <= choices.count('m@2') <= 130

    def test_halted_rollout_gets_no_new_session(self):
        halted = rollout(share=1.0, state=HALTED)
        assert selected_version(make_catalog(halted)) == 'm@1'
        refused = select(make_catalog(halted, withdrawn='1'))
        assert isinstance(refused.unwrap_err(), errors.VersionUnavailable)


class TestCallerSessionIds:
    """Guards against sessions by id that change version after a roll-out."""

    def test_share_does_not_apply(self):
        current = make_catalog(rollout(share=1.0))
        assert selected_version(current, session_id='x') == 'm@1'

    def test_opaque_id_keeps_its_version_until_withdrawal(self):
        finished = rollout(state=FINISHED, at=NOW)
        for now in (NOW, NOW + 1e6):
            current = make_catalog(finished)
            assert selected_version(current, session_id='x', now=now) == 'm@1'
        current = make_catalog(finished, withdrawn='1')
        choice = select(current, session_id='x').unwrap()
        assert (choice.pinned_version, choice.changed) == ('m@2', True)

    def test_opaque_id_keeps_its_version_in_a_second_rollout(self):
        first = rollout(state=FINISHED, at=NOW - 100)
        second = rollout(state=FINISHED, at=NOW, old='2', new='3')
        for rollouts in ((first,), (first, second)):
            current = make_catalog(*rollouts, versions='123', withdrawn='1')
            assert selected_version(current, session_id='x') == 'm@2'

    def test_version_of_a_uuid7_follows_from_its_timestamp(self):
        current = make_catalog(rollout(state=FINISHED, at=NOW))
        late = NOW + sessions.ROLLOUT_PROPAGATION_SECONDS + 1
        for started_at, expected in ((NOW - 1, 'm@1'), (late, 'm@2')):
            session_id = uuid7_at(started_at)
            assert (
                selected_version(current, session_id=session_id, now=late)
                == expected
            )

    def test_daemon_that_lags_behind_a_rollout_agrees(self):
        session_id = uuid7_at(NOW + sessions.ROLLOUT_PROPAGATION_SECONDS - 1)
        finished = make_catalog(rollout(state=FINISHED, at=NOW))
        running = make_catalog(rollout(share=1.0))
        late = NOW + sessions.ROLLOUT_PROPAGATION_SECONDS
        choices = {
            selected_version(current, session_id=session_id, now=late)
            for current in (finished, running)
        }
        assert choices == {'m@1'}

    def test_no_change_is_reported_without_access_to_the_old_version(self):
        current = make_catalog(rollout(state=FINISHED, at=NOW))
        limited = catalog.Customer('a', allowed=('m@2',))
        current.customers['a'] = limited
        choice = select(current, session_id='x').unwrap()
        assert (choice.pinned_version, choice.changed) == ('m@2', False)


class TestDefaultVersion:
    """Guards against a default that depends on the order of names."""

    @pytest.mark.parametrize('names', list(itertools.permutations('abc')))
    def test_longest_live_version_without_rollout(self, names):
        live_since = dict(zip(names, (10.0, 20.0, 30.0)))
        current = make_catalog(versions='abc', live_since=live_since)
        assert selected_version(current) == f'm@{names[0]}'

    @pytest.mark.parametrize('names', list(itertools.permutations('abc')))
    def test_last_finished_rollout(self, names):
        old, middle, new = names
        current = make_catalog(
            rollout(state=FINISHED, at=20.0, old=middle, new=new),
            rollout(state=FINISHED, at=10.0, old=old, new=middle),
            versions='abc',
        )
        assert selected_version(current) == f'm@{new}'


class TestStaleConfiguration:
    """Guards against new sessions on a version that may be withdrawn."""

    AGE = sessions.STALE_SECONDS + 1

    def test_unfinished_version_gets_no_new_session(self):
        current = make_catalog(rollout(share=1.0))
        assert selected_version(current, age=sessions.STALE_SECONDS) == 'm@2'
        assert selected_version(current, age=self.AGE) == 'm@1'

    def test_named_unfinished_version_is_refused(self):
        current = make_catalog(rollout(share=1.0))
        assert select(current, target='m@2', age=self.AGE).is_err()
        token = token_for_version('2')
        kept = select(current, target='m@2', age=self.AGE, token=token)
        assert kept.unwrap().pinned_version == 'm@2'

    def test_running_session_keeps_its_version(self):
        current = make_catalog(rollout(share=1.0))
        assert (
            selected_version(
                current, age=self.AGE, token=token_for_version('2')
            )
            == 'm@2'
        )

    def test_finished_version_is_served(self):
        current = make_catalog(rollout(state=FINISHED, at=NOW))
        assert selected_version(current, age=self.AGE) == 'm@2'


class FakeConfigurationStore:
    """Fake of the configuration store with a fixed catalog."""

    def __init__(self, current):
        self.catalog = lambda: current


class TestVersionSelector:
    """Guards against a token that lacks a tier of a cascade."""

    def make(self, **stated):
        call = make_call(**stated)
        signer = sessions.SessionSigner([OLD_KEY])
        session = sessions.open_session(signer, call, NOW)
        route = admission.ChatRoute(('m', 'n'))
        store = FakeConfigurationStore(make_catalog())
        return version_selection.VersionSelector(
            store, call, route, session, lambda: 0.0
        )

    def test_session_keeps_all_tiers(self):
        selector = self.make()
        selector.select('m')
        selector.select('n')
        assert set(selector.session.versions) == {'m', 'n'}

    def test_reselection_before_the_first_answer_is_no_change(self):
        selector = self.make()
        before = selector.select('m').pinned_version
        withdrawn = before.partition('@')[2]
        selector.configuration = FakeConfigurationStore(
            make_catalog(withdrawn=withdrawn)
        )
        assert selector.select('m').pinned_version != before
        assert not selector.changed
