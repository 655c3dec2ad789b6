"""Withdrawn versions and revoked permissions while a request is under way."""

import dataclasses

import msgspec
import pytest

from celeryward.objects import protocol
from celeryward.operators import demo

LATER_REVISION = 1_000_000


class TwoVersions(demo.Cluster):
    """The demo with a second version of each model and two endpoints."""

    def records(self):
        for stored in super().records():
            if stored.kind != 'Endpoint' or 'serves' not in stored.spec:
                yield stored
        for model, standin in (('small', self.small), ('large', self.large)):
            versions = (f'{model}@1', f'{model}@2')
            standin.versions = versions
            spec = {'model': model, 'version': '2', 'token_cost': 1.0}
            yield demo.stored_record('ModelVersion', f'{model}@2', spec)
            for name in ('a', 'b'):
                yield self.endpoint_record(
                    f'{model}-{name}',
                    standin,
                    serves=versions,
                    can_resume=True,
                )
            rollout = {'model': model, 'from_version': '1', 'to_version': '2'}
            yield demo.stored_record('Rollout', f'{model}-2', rollout)

    def change(self, kind, name, **fields):
        """Give the daemon a newer revision of a record."""
        store = self.daemon.configuration
        stored = store.latest_changes[kind, name].object
        revision = max(LATER_REVISION, store.revision) + 1
        stored = dataclasses.replace(
            stored, spec={**stored.spec, **fields}, revision=revision
        )
        store.accept([protocol.Change('put', revision, stored)])

    def withdraw(self, name):
        """Withdraw a version."""
        self.change('ModelVersion', name, state='withdrawn')

    def allow(self, *allowed):
        """Replace what the customer may use."""
        self.change('Customer', 'workshop', allowed=allowed)

    def before_connect(self, action):
        """Run an action while the next connection is opened."""
        pool = self.daemon.pool
        opened = pool.open

        async def open_later(endpoint, deadline):
            pool.open = opened
            action()
            return await opened(endpoint, deadline)

        pool.open = open_later

    async def ask(self, target, stream=False, **headers):
        """Send a chat; return head, body and the decoded error or None."""
        example = demo.chat_example('', target, 'x', stream)
        example = dataclasses.replace(example, headers=headers)
        head, body = await demo.send_example(
            self.daemon.listener.port, example
        )
        failed = head.status != 200
        error = msgspec.json.decode(body)['error'] if failed else None
        return head, body, error


# Both ways to close the first version of a model to the customer.
CLOSE_FIRST_VERSION = [
    lambda cluster, model: cluster.withdraw(f'{model}@1'),
    lambda cluster, model: cluster.allow(f'{model}@2'),
]


@pytest.fixture
def cluster_run(run):
    """Return a function that runs a test against a started cluster."""

    def run_with(test):
        async def body():
            cluster = TwoVersions()
            await cluster.start()
            # Probes open connections too, and would trigger the actions.
            await cluster.daemon.tasks['probe endpoints'].cancel()
            await cluster.daemon.pool.close()
            try:
                await test(cluster)
            finally:
                await cluster.stop()

        run(body)

    return run_with


class TestBetweenEntryAndDispatch:
    """Guards against a check that is made at entry only."""

    @pytest.mark.parametrize('stream', [False, True])
    @pytest.mark.parametrize('close', CLOSE_FIRST_VERSION)
    def test_moves_while_connecting(self, cluster_run, close, stream):
        async def test(cluster):
            cluster.before_connect(lambda: close(cluster, 'small'))
            head, _, _ = await cluster.ask('small', stream)
            assert head.headers['x-served-by'] == 'small@2'
            assert cluster.small.chats_started == {'small@2': 1}

        cluster_run(test)

    @pytest.mark.parametrize(
        ('target', 'close', 'status'),
        [
            ('small', lambda cluster: cluster.allow('large'), 403),
            ('small@1', lambda cluster: cluster.withdraw('small@1'), 503),
        ],
    )
    def test_refused(self, cluster_run, target, close, status):
        async def test(cluster):
            cluster.before_connect(lambda: close(cluster))
            head, _, error = await cluster.ask(target)
            assert (head.status, error['execution']) == (status, 'not-run')
            assert not cluster.small.chats_started

        cluster_run(test)

    def test_service_revoked_while_connecting(self, cluster_run):
        async def test(cluster):
            cluster.before_connect(
                lambda: cluster.change('Customer', 'workshop', services=[])
            )
            example = demo.EXAMPLES[4]
            head, _ = await demo.send_example(
                cluster.daemon.listener.port, example
            )
            assert head.status == 403
            assert head.headers['x-execution'] == 'not-run'
            assert not cluster.orders.executed

        cluster_run(test)


class TestSessions:
    """Guards against a change of version that the caller isn't told."""

    def test_withdrawal_beats_the_token_and_is_stated(self, cluster_run):
        async def test(cluster):
            head, _, _ = await cluster.ask('small')
            token = {'x-session': head.headers['x-session']}
            head, _, _ = await cluster.ask('small', **token)
            assert 'x-version-changed' not in head.headers
            cluster.withdraw('small@1')
            head, _, _ = await cluster.ask('small', True, **token)
            assert head.headers['x-served-by'] == 'small@2'
            assert head.headers['x-version-changed'] == 'true'

        cluster_run(test)

    def test_bad_token_is_ignored(self, cluster_run):
        async def test(cluster):
            for token in ('x', 'x.y', 'A' * 20_000):
                head, _, _ = await cluster.ask('small', **{'x-session': token})
                assert head.status == 200

        cluster_run(test)


class TestBetweenBreakAndResume:
    """Guards against a resume on a version that is withdrawn."""

    def break_large(self, cluster, after, action):
        """Break the next stream of the large model, after an action."""
        inject = cluster.large.inject_fault

        async def act_and_break(connection, index):
            if index == after:
                cluster.large.inject_fault = inject
                cluster.large.break_after = index
                action()
                try:
                    await inject(connection, index)
                finally:
                    cluster.large.break_after = None

        cluster.large.inject_fault = act_and_break

    @pytest.mark.parametrize('close', CLOSE_FIRST_VERSION)
    def test_resume_is_refused_as_unknown(self, cluster_run, close):
        async def test(cluster):
            self.break_large(cluster, 4, lambda: close(cluster, 'large'))
            _, body, _ = await cluster.ask('large', stream=True)
            assert cluster.large.chats_started == {'large@1': 1}
            assert b'"execution":"unknown"' in body
            assert b'[DONE]' not in body

        cluster_run(test)

    @pytest.mark.parametrize('close', CLOSE_FIRST_VERSION)
    def test_break_before_any_token_moves(self, cluster_run, close):
        async def test(cluster):
            self.break_large(cluster, 0, lambda: close(cluster, 'large'))
            _, body, _ = await cluster.ask('large', stream=True)
            assert cluster.large.chats_started == {'large@1': 1, 'large@2': 1}
            assert body.endswith(b'data: [DONE]\n\n')

        cluster_run(test)


class TestBetweenTiers:
    """Guards against a cascade that keeps the permissions of its start."""

    def before_rating(self, cluster, action):
        rate = cluster.rater.answer

        async def act_and_rate(*arguments):
            action()
            await rate(*arguments)

        cluster.rater.answer = act_and_rate

    def ask_long(self, cluster):
        example = demo.chat_example('', 'auto', 'long ' * 60)
        return demo.send_example(cluster.daemon.listener.port, example)

    def test_withdrawn_tier_moves_to_another_version(self, cluster_run):
        async def test(cluster):
            self.before_rating(cluster, lambda: cluster.withdraw('large@1'))
            head, _ = await self.ask_long(cluster)
            assert head.headers['x-served-by'] == 'large@2'
            assert cluster.large.chats_started == {'large@2': 1}

        cluster_run(test)

    def test_revoked_tier_keeps_the_answer_and_its_bill(self, cluster_run):
        async def test(cluster):
            self.before_rating(cluster, lambda: cluster.allow('small'))
            head, _ = await self.ask_long(cluster)
            assert head.status == 200
            assert head.headers['x-served-by'] == 'small@1'
            assert not cluster.large.chats_started
            assert cluster.daemon.metrics.bills._value.get() == 1

        cluster_run(test)
