"""Stops daemons under open streams and counts the streams cut off.

Each daemon, a process of its own, is sent SIGTERM while a load generator holds
streams open through it. A stream counts as cut off if it ends without its
end marker, or if its connection breaks after it was accepted.
"""

import json
import pathlib
import tempfile
import time

import fire

from benchmarks import processes
from benchmarks import whole_path

TOKEN_SECONDS = 0.05
TOKENS = 80
WARM_UP_SECONDS = 2.5
# Connections opened after the port is closed were never accepted.
REFUSALS = frozenset(('connection_failed', '503'))


def stop_under_load(streams):
    """Return the report of the load through a daemon that is stopped."""
    with tempfile.TemporaryDirectory() as name:
        with processes.stopping([]) as running:
            daemon, _ = whole_path.start(
                running, pathlib.Path(name), TOKEN_SECONDS
            )
            loader = whole_path.start_load(
                daemon,
                '--seconds=3',
                f'--concurrency={streams}',
                f'--max_tokens={TOKENS}',
            )
            time.sleep(WARM_UP_SECONDS)
            started = time.monotonic()
            code = daemon.stop()
            seconds = time.monotonic() - started
            report = whole_path.finish_load(loader)['routed']
    print(
        f'stopped in {seconds:.1f} s with exit code {code}; '
        f'{report["requests"]} streams whole, failures '
        f'{json.dumps(report["failures"])}'
    )
    return report


def main(daemons=4, streams=250):
    """Stop daemons one after the other.

    :param daemons: number of daemons to stop.
    :param streams: open streams through each.
    """
    reports = [stop_under_load(streams) for _ in range(daemons)]
    whole = sum(report['requests'] for report in reports)
    cut_off = sum(
        count
        for report in reports
        for cause, count in report['failures'].items()
        if cause not in REFUSALS
    )
    print(f'{whole} streams whole, {cut_off} cut off')


if __name__ == '__main__':
    fire.Fire(main)
