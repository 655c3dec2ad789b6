"""The command-line interface."""

import getpass
import pathlib
import socket
import sys
import time

import fire

import celeryward
from celeryward.callers import keys
from celeryward import daemon
from celeryward import deadlines
from celeryward.endpoints import ranking
from celeryward import errors
from celeryward import event_loop
from celeryward import logs
from celeryward.objects import batches
from celeryward.objects import claims
from celeryward.objects import client
from celeryward.objects import leases
from celeryward.objects import records
from celeryward.operators import collect
from celeryward.operators import demo
from celeryward.operators import documents
from celeryward.operators import editor
from celeryward.operators import explain
from celeryward.operators import load_generator
from celeryward.operators import log_lines
from celeryward.operators import output
from celeryward.operators import page
from celeryward.operators import reference
from celeryward.operators import status
from celeryward.operators import windows
from celeryward import settings
from celeryward.standins import run as standin_run

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

PLATFORM_SECONDS = 5.0
# Kinds that operators declare, then those that the system itself stores.
KINDS = (
    *records.KINDS,
    batches.BATCH_KIND,
    claims.CLAIM_KIND,
    leases.LEASE_KIND,
    windows.WINDOW_KIND,
)


def show(value, style):
    """Print a value in an output format.

    :raises errors.BadInput: if the format is unknown.
    """
    print(output.FORMATS.get(style)(value))


def platform_client(address):
    """Return a client of the object API that writes as the current user."""
    host, port = output.parse_address(address, 'platform')
    writer = f'{getpass.getuser()}@{socket.gethostname()}'
    return client.ObjectClient(
        settings.Address(host, port), PLATFORM_SECONDS, writer
    )


def make_target(address, option, headers):
    """Return the :class:`load_generator.Target` that an option names.

    :param dict headers: headers of each request to it.
    """
    host, port = output.parse_address(address, option)
    return load_generator.Target(host, port, headers)


def check_kind(kind):
    """Check the name of a kind of objects.

    :raises errors.BadInput: if the system has no such kind.
    """
    if kind not in KINDS:
        raise errors.BadInput(
            f'unknown kind {kind!r}; known: {", ".join(KINDS)}',
            step='arguments',
            peer='kind',
        )


class Commands:
    """Model-aware router for versions and cascades of language models.

    Exit codes: 0 success, 1 failure, 2 bad input, 3 conflicting change,
    4 platform or daemon unavailable.
    """

    def daemon(self, file):
        """Run a daemon until SIGTERM.

        :param file: YAML settings file.
        """
        loaded_settings = settings.load(file)
        ranking.RANKINGS.get(loaded_settings.ranking)
        logs.configure(loaded_settings.log.level, loaded_settings.log.format)
        aborted_requests = event_loop.run(daemon.Daemon(loaded_settings).run)
        return EXIT_FAILED if aborted_requests else EXIT_OK

    def check(self, file):
        """Validate a settings file and list every error.

        :param file: YAML settings file.
        """
        loaded_settings = settings.load(file)
        ranking.RANKINGS.get(loaded_settings.ranking)
        print(f'{file}: ok')

    def settings(self):
        """Print the reference of all settings as a Markdown table."""
        print(reference.render(), end='')

    def apply(self, file, platform, oldest_reader=1, output='text'):
        """Write the declared records of a YAML file to the platform.

        :param file: YAML file with one or more documents.
        :param platform: HOST:PORT of the object API.
        :param oldest_reader: oldest schema version that a daemon still
            reads; its fields are written, too.
        :param output: text or json.
        """
        declared = documents.load(file)
        record_editor = editor.Editor(platform_client(platform), oldest_reader)
        show(event_loop.run(_map_async, record_editor.apply, declared), output)

    def diff(self, file, platform, oldest_reader=1, output='text'):
        """Show what apply would change; exit with 1 if anything differs.

        :param file: YAML file with declared records.
        :param platform: HOST:PORT of the object API.
        """
        declared = documents.load(file)
        record_editor = editor.Editor(platform_client(platform), oldest_reader)
        plans = event_loop.run(_map_async, record_editor.plan, declared)
        changes = {
            f'{wanted.kind}/{wanted.name}': differences
            for _, wanted, differences in plans
            if differences
        }
        show(changes, output)
        return EXIT_FAILED if changes else EXIT_OK

    def get(self, kind, name, platform, output='yaml'):
        """Print one stored record.

        :param kind: kind of the record, such as Customer.
        :param name: name of the record.
        :param platform: HOST:PORT of the object API.
        :param output: yaml, text or json.
        """
        check_kind(kind)
        response = event_loop.run(
            platform_client(platform).get, kind, str(name)
        )
        stored = errors.unwrap(response)
        if output == 'yaml':
            print(documents.dump(stored), end='')
        else:
            show(stored, output)

    def list(self, kind, platform, output='text'):
        """List the stored records of a kind.

        :param kind: kind of the records, such as Customer.
        :param platform: HOST:PORT of the object API.
        """
        check_kind(kind)
        stored_records = errors.unwrap(
            event_loop.run(platform_client(platform).list, kind)
        )
        rows = [
            {
                'name': stored.name,
                'revision': stored.revision,
                'schema_version': stored.schema_version,
                'writer': stored.writer,
            }
            for stored in stored_records.items
        ]
        show(rows, output)

    def delete(self, kind, name, platform, revision=0, output='text'):
        """Delete one stored record.

        :param kind: kind of the record.
        :param name: name of the record.
        :param platform: HOST:PORT of the object API.
        :param revision: delete only this revision; 0 for the current one.
        """
        record_editor = editor.Editor(platform_client(platform))
        show(
            event_loop.run(record_editor.delete, kind, str(name), revision),
            output,
        )

    def key(self, output='text'):
        """Create a key for a customer, and the hash for the record.

        The key is printed once and stored nowhere; the record needs only
        the hash.

        :param output: text or json.
        """
        new_key = keys.new_key()
        key_hash = keys.hash_key(new_key)
        show({'key': new_key, 'key_hashes': [key_hash]}, output)

    def status(self, admin, output='text'):
        """Show the status of one daemon.

        :param admin: HOST:PORT of the daemon's admin port.
        :param output: text or json.
        """
        host, port = _parse(admin, 'admin')
        show(event_loop.run(status.read, host, port), output)

    def wait(self, revision, admins, seconds=10.0, output='text'):
        """Wait until a revision is in force, and show the state per daemon.

        Exits with 1 if a daemon lacks the revision at the end.

        :param revision: revision that apply printed.
        :param admins: admin ports as HOST:PORT, separated by commas.
        :param seconds: maximum time to wait.
        """
        admin_ports = admins.split(',') if isinstance(admins, str) else admins
        addresses = [_parse(admin, 'admins') for admin in admin_ports]
        deadline = deadlines.Deadline.after(float(seconds))
        statuses = event_loop.run(
            status.wait_for_revision, addresses, int(revision), deadline
        )
        show(statuses, output)
        lagging = [each for each in statuses if not each.in_force]
        return EXIT_FAILED if lagging else EXIT_OK

    def report(self, platform, customer='', html=''):
        """Report on service levels, costs and bills of the last 24 hours.

        :param platform: HOST:PORT of the object API.
        :param customer: report on this customer only.
        :param html: file for an HTML page, in addition to the text.
        """
        objects = platform_client(platform)
        now = time.time()
        daily_report = event_loop.run(
            collect.read_report, objects, now, str(customer)
        )
        print('\n'.join(page.render_text(daily_report)))
        if html:
            pathlib.Path(html).write_text(
                page.render_html(daily_report), 'utf-8'
            )

    def load(
        self,
        target,
        key,
        model,
        direct='',
        version='',
        concurrency=8,
        rate=0.0,
        seconds=5.0,
        max_tokens=32,
        output='text',
    ):
        """Send streamed chat requests and report latency and throughput.

        :param target: HOST:PORT of a daemon.
        :param key: key of a customer.
        :param model: model or cascade to request.
        :param direct: HOST:PORT of an endpoint to compare against.
        :param version: model@version that the endpoint runs.
        :param concurrency: number of concurrent connections.
        :param rate: requests per second (open loop); 0 for a closed loop.
        :param seconds: duration of the run.
        :param max_tokens: maximum number of tokens of each answer.
        """
        plan = load_generator.Plan(
            model, int(concurrency), float(rate), float(seconds), max_tokens
        )
        headers = {'authorization': f'Bearer {key}'}
        routed = make_target(target, 'target', headers)
        compared = None
        if direct:
            headers = {'x-model-version': version}
            compared = make_target(direct, 'direct', headers)
        comparison = event_loop.run(
            load_generator.compare, routed, compared, plan
        )
        show(comparison, output)
        failed = sum(comparison.routed.failures.values())
        return EXIT_FAILED if failed else EXIT_OK

    def explain(self, request='', *files, summary=False):
        """Find the outcome of a request and its cause in logs of routers.

        :param request: id of the request.
        :param files: log files of one or several routers; none or - for
            standard input.
        :param summary: count the causes of failed requests instead; all
            arguments are then files.
        """
        if summary:
            # Fire takes the argument after the option as its value.
            first_file = () if summary is True else (summary,)
            files = tuple(
                part for part in (*first_file, request, *files) if part
            )
        lines = log_lines.read(map(str, files or (log_lines.STANDARD_INPUT,)))
        request_logs = explain.group_by_request(lines)
        if summary:
            for cause, count in explain.count_causes(
                request_logs
            ).most_common():
                print(f'{count:8} {cause}')
            return EXIT_OK
        matching = [
            each for each in request_logs if each.request_id == str(request)
        ]
        for request_log in matching:
            print('\n'.join(explain.render(request_log)))
        return EXIT_OK if matching else EXIT_FAILED

    def standin(self, kind, port=0, **options):
        """Run a stand-in of an external system until SIGTERM.

        :param kind: platform, engine, service or rater.
        :param port: TCP port; 0 for any free port.
        :param options: options of the stand-in, such as versions.
        """
        event_loop.run(standin_run.run, kind, port, options)

    def demo(self):
        """Send example requests through a daemon in one process."""
        logs.configure('ERROR', 'text')
        demo.run()

    def version(self):
        """Print the version."""
        print(celeryward.__version__)


def _parse(address, option):
    return output.parse_address(address, option)


async def _map_async(function, items):
    return [await function(item) for item in items]


def exit_code(error):
    """Return the exit code for an error."""
    if isinstance(error, errors.Conflict):
        return EXIT_CONFLICT
    if isinstance(error, errors.NotFound):
        return EXIT_FAILED
    if isinstance(error, (errors.PlatformError, errors.OutcomeUnknown)):
        return EXIT_UNAVAILABLE
    if isinstance(error, errors.BadInput):
        return EXIT_BAD_INPUT
    return EXIT_FAILED


def main(arguments=None):
    """Run one command and exit with its code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments == ['--version']:
        arguments = ['version']
    try:
        # Commands return their exit code, which Fire must not print.
        code = fire.Fire(
            Commands(), arguments, name='celeryward', serialize=_silent
        )
    except errors.CelerywardError as error:
        print(error.message, file=sys.stderr)
        sys.exit(exit_code(error))
    sys.exit(code if isinstance(code, int) else EXIT_OK)


def _silent(value):
    return value if isinstance(value, str) else None
