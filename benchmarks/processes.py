"""Starts daemons and stand-ins as processes of their own, for measurements
and tests. The product itself starts no process.
"""

import contextlib
import dataclasses
import signal
import subprocess
import sys

import yaml

from celeryward.callers import keys
from celeryward.operators import demo

STOP_SECONDS = 20.0
KEY = demo.KEY


@dataclasses.dataclass(frozen=True)
class Process:
    """A started process and the port that it listens on."""

    popen: subprocess.Popen
    port: int

    def stop(self):
        """Send SIGTERM and return the exit code."""
        self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def read_line(self):
        """Return the next line of the standard output."""
        return self.popen.stdout.readline().decode('utf-8')


def command(*arguments):
    """Return the command line of one celeryward command."""
    return [sys.executable, '-m', 'celeryward', *map(str, arguments)]


def start_standin(kind, *options):
    """Start a stand-in and wait until it listens."""
    popen = subprocess.Popen(
        command('standin', kind, *options), stdout=subprocess.PIPE
    )
    line = popen.stdout.readline().decode('utf-8')
    return Process(popen, int(line.rsplit(' ', 1)[1]))


def start_daemon(path, fields):
    """Start a daemon with settings and wait until it serves.

    :param path: where the settings file is written.
    """
    path.write_text(yaml.safe_dump(fields))
    popen = subprocess.Popen(command('daemon', path), stdout=subprocess.PIPE)
    line = popen.stdout.readline().decode('utf-8')
    return Process(popen, int(line.rsplit(' ', 1)[1]))


def run_command(*arguments):
    """Run one command to its end; return the completed process."""
    return subprocess.run(command(*arguments), capture_output=True, text=True)


def customer_record(name, allowed, services=()):
    """Return the declared record of a customer with the demo's key."""
    hashed = dataclasses.asdict(keys.hash_key(KEY, 'salt'))
    return {
        'kind': 'Customer',
        'name': name,
        'schema_version': 2,
        'spec': {
            'allowed': list(allowed),
            'services': list(services),
            'key_hashes': [hashed],
        },
    }


def version_record(model, version):
    """Return the declared record of a model version."""
    return {
        'kind': 'ModelVersion',
        'name': f'{model}@{version}',
        'schema_version': 2,
        'spec': {
            'model': model,
            'version': version,
            'prompt_cost': 1.0,
            'answer_cost': 2.0,
        },
    }


def endpoint_record(name, port, **spec):
    """Return the declared record of an endpoint on loopback."""
    base = {'host': '127.0.0.1', 'port': port, 'failure_domain': 'domain-1'}
    return {'kind': 'Endpoint', 'name': name, 'spec': base | spec}


def apply(platform, path, records):
    """Write declared records with the command line.

    :raises RuntimeError: if the command fails.
    """
    path.write_text(yaml.safe_dump_all(records))
    done = run_command('apply', path, f'--platform=127.0.0.1:{platform.port}')
    if done.returncode:
        raise RuntimeError(done.stderr)
    return done.stdout


@contextlib.contextmanager
def stopping(processes):
    """Stop every process in a list at the end."""
    try:
        yield processes
    finally:
        for process in reversed(processes):
            if process.popen.poll() is None:
                process.stop()
            process.popen.stdout.close()
