"""Command: python -m benchmarks.soak --seed=1 (or --seeds=50)."""

import pathlib
import signal
import sys
import tempfile

import fire

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks.soak import fleet  # noqa: E402
from benchmarks.soak import plans  # noqa: E402
from benchmarks.soak import regressions  # noqa: E402
from benchmarks.soak import soak  # noqa: E402
from celeryward import event_loop  # noqa: E402
from celeryward import logs  # noqa: E402


def main(
    seed=0,
    seeds=1,
    seconds=15.0,
    rate=1.0,
    routers=4,
    endpoints=8,
    callers=8,
    plan=plans.LATEST_PLAN,
    known=False,
):
    """Run soaks with the seeds from ``seed`` on; exit with 1 on a violation.

    :param float seconds: period in which faults start.
    :param float rate: faults per second.
    :param int plan: version of the plan, which decides the faults.
    :param bool known: run the seeds that failed in the past instead.
    """
    logs.configure('CRITICAL', 'text')
    signal.signal(signal.SIGTERM, fleet.exit_on_signal)
    size = soak.Size(seconds, rate, routers, endpoints, callers, plan)
    runs = [(number, size) for number in range(seed, seed + seeds)]
    if known:
        runs = [(case.seed, case.size()) for case in regressions.CASES]
    failed = [number for number, size in runs if not run_seed(number, size)]
    count = len(runs)
    print(
        f'{count - len(failed)} of {count} seeds without a violation; {failed}'
    )
    sys.exit(bool(failed))


def run_seed(seed, size):
    """Run one seed, print its report, and return whether it passed."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    observed, violations = event_loop.run(soak.run, seed, size, directory)
    soak.print_report(seed, size, directory, observed, violations)
    return not violations


if __name__ == '__main__':
    fire.Fire(main)
