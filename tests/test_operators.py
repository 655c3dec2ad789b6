"""The commands, the admin port and the load generator."""

import curio
import msgspec
import pytest

from celeryward.callers import keys
from celeryward import catalog
from celeryward import daemon
from celeryward import deadlines
from celeryward import errors
from celeryward.objects import client
from celeryward.objects import protocol
from celeryward.operators import admin
from celeryward.operators import cli
from celeryward.operators import demo
from celeryward.operators import documents
from celeryward.operators import editor
from celeryward.operators import load_generator
from celeryward.operators import output
from celeryward.operators import status
from celeryward import settings
from celeryward.standins import platform

VALID_RECORD = 'kind: Customer\nname: a\nspec: {allowed: [m]}\n'


@pytest.fixture
def with_platform(run):
    """Return a function that runs a test against a platform stand-in."""

    def run_with(test):
        async def body():
            standin = platform.PlatformStandIn()
            await standin.start()
            address = settings.Address(port=standin.port)
            editors = [
                editor.Editor(client.ObjectClient(address, 1.0, writer))
                for writer in ('ana', 'ben')
            ]
            try:
                await test(standin, *editors)
            finally:
                await standin.stop()

        run(body)

    return run_with


def customer_record(allowed, revision=0):
    return protocol.StoredObject(
        'Customer', 'a', {'allowed': allowed}, revision=revision
    )


class TestEditor:
    """Guards against changes that are lost, repeated or overwritten."""

    def test_conflict_names_the_other_writer_and_the_difference(
        self, with_platform
    ):
        async def test(standin, ana, ben):
            first = await ana.apply(customer_record(['m']))
            await ben.apply(customer_record(['n']))
            with pytest.raises(errors.Conflict) as raised:
                await ana.apply(
                    customer_record(['o'], revision=first.revision)
                )
            assert 'by ben' in raised.value.message
            assert "+ allowed: ['n']" in raised.value.message

        with_platform(test)

    def test_lost_response_is_resolved_by_reading_the_record(
        self, with_platform
    ):
        async def test(standin, ana, ben):
            standin.lose_answers = lambda received: True
            outcome = await ana.apply(customer_record(['m']))
            assert (outcome.effect, standin.revision) == ('created', 1)
            outcome = await ana.delete('Customer', 'a')
            assert outcome.effect == 'deleted'
            assert standin.objects == {}

        with_platform(test)

    def test_unchanged_record_is_not_written(self, with_platform):
        async def test(standin, ana, ben):
            await ana.apply(customer_record(['m']))
            outcome = await ana.apply(customer_record(['m']))
            assert (outcome.effect, standin.revision) == ('unchanged', 1)

        with_platform(test)

    def test_unreachable_platform_raises_and_writes_nothing(
        self, with_platform
    ):
        async def test(standin, ana, ben):
            await standin.set_unavailable(True)
            with pytest.raises(errors.PlatformUnavailable):
                await ana.apply(customer_record(['m']))
            assert standin.objects == {}

        with_platform(test)


class TestDocuments:
    """Guards against errors in a records file that are not reported."""

    def test_all_errors_are_reported_together(self):
        text = (
            'kind: Customer\nname: a\nspec: {alowed: []}\n---\n'
            'kind: Nothing\nname: b/c\nspec: {}\n---\n- list\n---\n'
            'kind: Endpoint\nname: e\nspec: {host: h, port: 0}\n'
        )
        with pytest.raises(errors.BadInput) as raised:
            documents.parse(text, 'r.yaml')
        message = raised.value.message
        assert 'document 1: Customer/a: spec.alowed' in message
        assert "document 2: name: value 'b/c'" in message
        assert 'document 3: must be a mapping' in message
        assert 'document 4: Endpoint/e: spec.port: value 0' in message
        assert 'spec.failure_domain' in message

    def test_dumped_record_can_be_applied_again(self):
        (declared,) = documents.parse(VALID_RECORD, 'r.yaml')
        again = documents.parse(documents.dump(declared), 'r.yaml')
        assert again == [declared]

    @pytest.mark.parametrize('text', ['', '---\n', '{', 'kind: [', '7'])
    def test_malformed_text_is_bad_input(self, text):
        with pytest.raises(errors.BadInput):
            documents.parse(text, 'r.yaml')


class TestExitCodes:
    """Guards against exit codes that do not tell scripts what happened."""

    def exit_code(self, *arguments):
        with pytest.raises(SystemExit) as raised:
            cli.main(list(arguments))
        return raised.value.code

    def test_version_and_valid_settings(self, tmp_path, capsys):
        path = tmp_path / 'daemon.yaml'
        path.write_text('name: d\nfailure_domain: f\n')
        assert self.exit_code('--version') == cli.EXIT_OK
        assert self.exit_code('check', str(path)) == cli.EXIT_OK
        assert '0.1.0' in capsys.readouterr().out

    def test_invalid_settings_and_addresses(self, tmp_path):
        path = tmp_path / 'daemon.yaml'
        path.write_text('name: d\n')
        assert self.exit_code('check', str(path)) == cli.EXIT_BAD_INPUT
        arguments = ('list', 'Customer', '--platform=here')
        assert self.exit_code(*arguments) == cli.EXIT_BAD_INPUT

    def test_printed_hash_authenticates_the_printed_key(self, capsys):
        assert self.exit_code('key', '--output=json') == cli.EXIT_OK
        printed = msgspec.json.decode(capsys.readouterr().out)
        hashed = catalog.KeyHash(**printed['key_hashes'][0])
        customer = catalog.Customer('a', key_hashes=(hashed,))
        current = catalog.Catalog(customers={'a': customer})
        found = keys.authenticate(current, printed['key'], 'peer')
        assert found.unwrap() is customer
        assert keys.authenticate(current, '', 'peer').is_err()

    def test_unknown_kinds_and_rankings(self, tmp_path):
        arguments = ('list', 'Custommer', '--platform=127.0.0.1:9')
        assert self.exit_code(*arguments) == cli.EXIT_BAD_INPUT
        path = tmp_path / 'daemon.yaml'
        path.write_text('name: d\nfailure_domain: f\nranking: best\n')
        assert self.exit_code('check', str(path)) == cli.EXIT_BAD_INPUT

    def test_unreachable_platform(self):
        arguments = ('list', 'Customer', '--platform=127.0.0.1:9')
        assert self.exit_code(*arguments) == cli.EXIT_UNAVAILABLE

    def test_unknown_output_format(self):
        with pytest.raises(errors.BadInput, match='known: json, text'):
            output.FORMATS.get('xml')


class TestStatus:
    """Guards against a status that fails while the daemon serves."""

    def test_status_of_a_running_daemon(self, run):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            port = cluster.daemon.admin_listener.port
            body = await status.read('127.0.0.1', port)
            assert body['name'] == 'demo'
            assert [each['live'] for each in body['endpoints']] == [True] * 3
            await cluster.stop()

        run(test)


class TestWait:
    """Guards against reporting a change as in force too early."""

    def test_daemon_without_the_revision_is_listed(self, run):
        async def test():
            cluster = demo.Cluster()
            await cluster.start()
            addresses = [('127.0.0.1', cluster.daemon.admin_listener.port)]
            # The daemon may write its own lease meanwhile, a further revision.
            missing = cluster.platform.revision + 100
            expired_deadline = deadlines.Deadline.after(0.0)
            wait = status.wait_for_revision
            (lagging,) = await wait(addresses, missing, expired_deadline)
            assert (lagging.name, lagging.in_force) == ('demo', False)
            (customer, *_) = cluster.records()
            stored = await cluster.platform.put(customer)
            deadline = deadlines.Deadline.after(20.0)
            (revision_status,) = await wait(
                addresses, stored.revision, deadline
            )
            assert revision_status.in_force
            await cluster.stop()
            (unreachable,) = await wait(addresses, 1, expired_deadline)
            assert unreachable.revision == -1

        run(test)


class TestStart:
    """Guards against accepting callers without a configuration."""

    def test_port_is_closed_until_there_is_a_configuration(self, run):
        async def test():
            standin = platform.PlatformStandIn()
            await standin.start()
            await standin.set_unavailable(True)
            starting = daemon.Daemon(
                settings.Settings(
                    name='d',
                    failure_domain='f',
                    platform=settings.Address(port=standin.port),
                )
            )
            task = await curio.spawn(starting.start)
            while starting.admin_listener.sock is None:
                await curio.sleep(0.01)
            assert starting.listener.sock is None
            response = admin.AdminHandler(starting).respond('/readyz')
            assert response[0] == 503
            await standin.set_unavailable(False)
            await task.join()
            assert starting.listener.port
            assert admin.AdminHandler(starting).respond('/readyz')[0] == 200
            await starting.stop()
            await standin.stop()

        run(test)


class TestOpenLoop:
    """Guards against latencies that exclude the time before sending."""

    def test_latency_counts_from_the_due_time(self, run):
        plan = load_generator.Plan('m', concurrency=1, rate=100.0, seconds=0.1)

        async def delay_request(target_metrics, connection, due):
            target_metrics.sent.append(due)
            await curio.sleep(0.03)

        async def test():
            generator = load_generator.Generator([], plan)
            target_metrics = load_generator.TargetMetrics(None, plan)
            target_metrics.sent = []
            generator.all_metrics = [target_metrics]
            generator.send_request = delay_request
            await generator.run()
            gaps = [
                b - a
                for a, b in zip(target_metrics.sent, target_metrics.sent[1:])
            ]
            assert len(target_metrics.sent) == 10
            assert all(gap == pytest.approx(0.01) for gap in gaps)

        run(test)
