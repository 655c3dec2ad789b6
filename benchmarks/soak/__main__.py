"""Command: python -m benchmarks.soak --seed=1 (or --seeds=50)."""

import pathlib
import signal
import sys
import tempfile

import curio
import fire

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks.soak import soak  # noqa: E402
from celeryward import logs  # noqa: E402


def main(
    seed=0, seeds=1, seconds=15.0, rate=1.0, routers=4, endpoints=8, callers=8
):
    """Run soaks with the seeds from ``seed`` on; end with 1 for a breach.

    :param float seconds: time in which faults begin.
    :param float rate: faults for each second.
    """
    logs.configure('CRITICAL', 'text')
    signal.signal(signal.SIGTERM, end)
    size = soak.Size(seconds, rate, routers, endpoints, callers)
    failed = []
    for each in range(seed, seed + seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{each}-'))
        seen, breaches = curio.run(soak.run, each, size, directory)
        soak.report(each, size, directory, seen, breaches)
        if breaches:
            failed.append(each)
    print(f'{seeds - len(failed)} of {seeds} seeds without a breach; {failed}')
    sys.exit(bool(failed))


def end(number, frame):
    """End as after an interrupt, which ends the processes, too."""
    sys.exit(128 + number)


if __name__ == '__main__':
    fire.Fire(main)
