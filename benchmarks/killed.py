"""Kills or freezes one of three daemons under load; reconciles the bills.

All parts are processes of their own. A stream that was completed at its
caller must have one bill at the platform. Streams that were open at the
killed daemon may have one, because a bill precedes the last byte.
"""

import collections
import pathlib
import signal
import socket
import tempfile
import time

import curio
import fire

from benchmarks import processes
from benchmarks import whole_path
from celeryward import errors
from celeryward.objects import batches
from celeryward.objects import client
from celeryward import settings

LOAD_SECONDS = 6
KILL_AFTER_SECONDS = 3.0
# Ten rounds until the daemon is dead, then a flush by its peers.
SETTLE_SECONDS = 25.0
# Longer than the peers take to count a daemon as dead.
FREEZE_SECONDS = 15.0
CONNECTIONS = 8


def free_port():
    """Return a TCP port that is free now."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        return listening.getsockname()[1]


def start_daemons(running, folder, platform, count):
    """Start daemons that know the first one as their seed."""
    peers = [free_port() for _ in range(count)]
    daemons = []
    for number, port in enumerate(peers):
        fields = {
            'name': f'daemon-{number}',
            'host_name': f'host-{number}',
            'failure_domain': 'domain-1',
            'platform': {'port': platform.port},
            'peers': {'port': port},
            'seeds': [{'port': peers[0]}] if number else [],
            'log': {'level': 'ERROR'},
        }
        daemon = processes.start_daemon(folder / f'{number}.yaml', fields)
        daemons.append(daemon)
        running.append(daemon)
    return daemons


async def read_bills(port):
    """Return the number of bills at the platform by their id."""
    objects = client.ObjectClient(settings.Address(port=port), 5.0, 'check')
    listed = errors.unwrap(await objects.list(batches.BATCH_KIND))
    return collections.Counter(
        bill.id
        for stored in listed.items
        for bill in batches.from_object(stored).all_bills()
    )


def disturb(daemon, how):
    """Kill a daemon, or freeze it until its peers count it as dead."""
    if how == 'kill':
        daemon.popen.kill()
        return
    daemon.popen.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_SECONDS)
    daemon.popen.send_signal(signal.SIGCONT)


def main(daemons=3, how='kill'):
    """Run once and print the reconciliation.

    :param daemons: number of daemons; the first one is disturbed.
    :param how: kill or freeze.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.stopping([]) as running:
            platform = whole_path.start_platform(running, folder)
            started = start_daemons(running, folder, platform, daemons)
            time.sleep(3.0)
            loaders = [
                whole_path.start_load(
                    daemon,
                    f'--seconds={LOAD_SECONDS}',
                    f'--concurrency={CONNECTIONS}',
                    '--max_tokens=16',
                )
                for daemon in started
            ]
            time.sleep(KILL_AFTER_SECONDS)
            disturb(started[0], how)
            reports = [
                whole_path.finish_load(loader)['routed'] for loader in loaders
            ]
            time.sleep(SETTLE_SECONDS)
            bills = curio.run(read_bills, platform.port)
    completed = sum(report['requests'] for report in reports)
    total = sum(bills.values())
    print(f'completed {completed}, of them at the disturbed daemon', end=' ')
    print(reports[0]['requests'], 'failures', reports[0]['failures'])
    print(f'bills {total}, duplicates {total - len(bills)}', end=' ')
    print(f'missing {max(0, completed - len(bills))}', end=' ')
    print(f'without a completed stream {max(0, len(bills) - completed)}')


if __name__ == '__main__':
    fire.Fire(main)
