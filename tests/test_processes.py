"""Programs that run as separate processes."""

import contextlib
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import curio
import msgspec
import pytest

from benchmarks import processes
from celeryward import deadlines
from celeryward.operators import demo
from tests import platform_processes

START_SECONDS = 20.0


def start_parts(running, tmp_path, **settings):
    """Start a platform, an engine and a daemon; return the first and last.

    :param list running: gets each started process.
    :param settings: further settings of the daemon.
    """
    platform = processes.start_standin('platform')
    running.append(platform)
    engine = processes.start_standin('engine', '--versions=small@1')
    running.append(engine)
    records = [
        processes.customer_record('workshop', ['small']),
        processes.version_record('small', '1'),
        processes.endpoint_record('engine-1', engine.port, serves=['small@1']),
    ]
    processes.apply(platform, tmp_path / 'records.yaml', records)
    daemon = processes.start_daemon(
        tmp_path / 'daemon.yaml',
        {
            'name': 'daemon-1',
            'failure_domain': 'domain-1',
            'platform': {'port': platform.port},
            **settings,
        },
    )
    running.append(daemon)
    return platform, daemon


class TestSeparateProcesses:
    """Guards against components that only work inside one process."""

    def test_request_is_served_and_billed(self, tmp_path):
        with processes.stopping([]) as running:
            platform, daemon = start_parts(running, tmp_path)
            example = demo.chat_example('', 'small', 'x', stream=True)
            head, body = curio.run(demo.send_example, daemon.port, example)
            assert head.status == 200
            assert body.endswith(b'data: [DONE]\n\n')
            assert daemon.stop() == 0
            listed = processes.run_command(
                'list',
                'BillBatch',
                f'--platform=127.0.0.1:{platform.port}',
                '--output=json',
            )
            assert len(msgspec.json.decode(listed.stdout)) == 1
            page = tmp_path / 'report.html'
            report = processes.run_command(
                'report',
                f'--platform=127.0.0.1:{platform.port}',
                f'--html={page}',
            )
            assert report.stdout.startswith('The day went well: 1 requests')
            assert 'each request has one bill' in report.stdout
            assert 'The day went well' in page.read_text()


class TestRouterProcess:
    """Guards against signals that end a router that is starting.

    The default action of SIGHUP and SIGTERM ends a process, the latter with a
    status other than 0.
    """

    @contextlib.contextmanager
    def starting(self, tmp_path):
        """Yield a process of a router that has set its first handlers.

        No process can answer a signal before it has set a handler. Nobody
        writes the settings file, so that the router never gets to its own
        handlers.
        """
        path = tmp_path / 'router.toml'
        os.mkfifo(path)
        program = subprocess.Popen(
            [sys.executable, platform_processes.PROGRAM],
            cwd=platform_processes.ROOT,
            env={**os.environ, **platform_processes.environment(path)},
            stdout=subprocess.DEVNULL,
            preexec_fn=set_default_actions,
        )
        try:
            limit = deadlines.Deadline.after(START_SECONDS)
            while not in_signal_set(program, 'SigCgt', signal.SIGTERM):
                assert program.poll() is None
                assert not limit.expired(), 'no handler of SIGTERM'
                time.sleep(0.001)
            yield program
        finally:
            program.kill()
            program.wait()

    def test_reload_signal_during_the_start_is_ignored(self, tmp_path):
        with self.starting(tmp_path) as program:
            assert in_signal_set(program, 'SigIgn', signal.SIGHUP)
            program.send_signal(signal.SIGHUP)
            time.sleep(0.5)
            assert program.poll() is None

    @pytest.mark.parametrize('seconds', (0.0, 0.02, 0.5))
    def test_stop_signal_during_the_start_ends_with_0(self, tmp_path, seconds):
        """A planned stop of a router that was starting counted as a crash."""
        with self.starting(tmp_path) as program:
            time.sleep(seconds)
            program.send_signal(signal.SIGTERM)
            assert program.wait(5.0) == 0


def set_default_actions():
    """Undo what this process may have inherited, for a child of it."""
    for number in (signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_DFL)


def in_signal_set(program, field, number):
    """Return whether a signal set of a process contains a signal.

    :param str field: ``SigIgn`` or ``SigCgt`` of /proc/PID/status.
    """
    status = pathlib.Path(f'/proc/{program.pid}/status').read_text()
    mask = re.search(rf'^{field}:\s*(\w+)$', status, re.MULTILINE)[1]
    return bool(int(mask, 16) >> (number - 1) & 1)
