"""Measures one daemon between load generators and engine stand-ins.

Each part is a process of its own. Reports the added time to the first token
against direct calls in the same run, the throughput of one daemon, and its
memory at rest and for each open stream.
"""

import dataclasses
import json
import pathlib
import subprocess
import tempfile
import time

import fire

from benchmarks import processes

ENGINES = 4
LOADERS = 3
OPEN_STREAMS = 400
CLOCK_TICKS_PER_SECOND = 100


@dataclasses.dataclass(frozen=True)
class Usage:
    """Processor time in seconds and memory in bytes of a process."""

    cpu: float
    rss: int


def read_usage(process):
    """Return the :class:`Usage` of a running process."""
    root = pathlib.Path(f'/proc/{process.popen.pid}')
    fields = root.joinpath('stat').read_text().rsplit(')', 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(root.joinpath('statm').read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_SECOND, pages * 4096)


def start_platform(running, folder, token_seconds=0.0):
    """Start platform and engines with their records; return the platform."""
    platform, _ = start_outside(running, folder, token_seconds)
    return platform


def start_outside(running, folder, token_seconds):
    """Start platform and engines; return the platform and the engines."""
    platform = processes.start_standin('platform')
    running.append(platform)
    records = [
        processes.customer_record('load', ['model']),
        processes.version_record('model', '1'),
    ]
    engines = []
    for number in range(ENGINES):
        engine = processes.start_standin(
            'engine',
            '--versions=model@1',
            '--capacity=4096',
            f'--token_seconds={token_seconds}',
        )
        engines.append(engine)
        running.append(engine)
        records.append(
            processes.endpoint_record(
                f'engine-{number}',
                engine.port,
                serves=['model@1'],
                capacity=4096,
            )
        )
    processes.apply(platform, folder / 'records.yaml', records)
    return platform, engines


def start(running, folder, token_seconds=0.0):
    """Start platform, engines and one daemon; return daemon and engines."""
    platform, engines = start_outside(running, folder, token_seconds)
    daemon = processes.start_daemon(
        folder / 'daemon.yaml',
        {
            'name': 'daemon-1',
            'failure_domain': 'domain-1',
            'platform': {'host': '127.0.0.1', 'port': platform.port},
            'log': {'level': 'WARNING'},
        },
    )
    running.append(daemon)
    return daemon, engines


def start_load(daemon, *options):
    """Start one load generator."""
    return subprocess.Popen(
        processes.command(
            'load',
            f'127.0.0.1:{daemon.port}',
            f'--key={processes.KEY}',
            '--model=model',
            '--output=json',
            *options,
        ),
        stdout=subprocess.PIPE,
    )


def finish_load(popen):
    """Return the report of a load generator."""
    text, _ = popen.communicate()
    return json.loads(text)


def measure_added_latency(rate, seconds):
    """Print the added time to the first token in an open loop."""
    with tempfile.TemporaryDirectory() as name:
        with processes.stopping([]) as running:
            daemon, engines = start(running, pathlib.Path(name))
            report = finish_load(
                start_load(
                    daemon,
                    f'--direct=127.0.0.1:{engines[0].port}',
                    '--version=model@1',
                    f'--rate={rate}',
                    f'--seconds={seconds}',
                    '--concurrency=4',
                    '--max_tokens=16',
                )
            )
    for name in ('routed', 'direct'):
        print(name, 'first token', report[name]['first_token'])
    for key in ('added_p50', 'added_p95', 'added_p99'):
        print(f'{key}: {report[key] * 1000:.3f} ms')
    print('requests', report['routed']['requests'], end=' ')
    print('failures', report['routed']['failures'])


def measure_throughput(seconds):
    """Print tokens and requests a second for one core of a daemon."""
    with tempfile.TemporaryDirectory() as name:
        with processes.stopping([]) as running:
            daemon, _ = start(running, pathlib.Path(name))
            before = read_usage(daemon)
            started = time.monotonic()
            loaders = [
                start_load(
                    daemon,
                    f'--seconds={seconds}',
                    '--concurrency=16',
                    '--max_tokens=256',
                )
                for _ in range(LOADERS)
            ]
            reports = [finish_load(loader)['routed'] for loader in loaders]
            elapsed = time.monotonic() - started
            usage = read_usage(daemon)
    tokens = sum(report['tokens'] for report in reports)
    requests = sum(report['requests'] for report in reports)
    cpu = usage.cpu - before.cpu
    print(f'tokens/s (wall): {tokens / seconds:.0f}')
    print(f'tokens per core second: {tokens / cpu:.0f}')
    print(f'requests per core second: {requests / cpu:.1f}')
    print(f'processor time {cpu:.2f} s in {elapsed:.2f} s')
    print('failures', [report['failures'] for report in reports])


def measure_memory():
    """Print memory at rest and for each open stream."""
    with tempfile.TemporaryDirectory() as name:
        with processes.stopping([]) as running:
            daemon, _ = start(running, pathlib.Path(name), 0.05)
            time.sleep(1.0)
            at_rest = read_usage(daemon)
            loader = start_load(
                daemon,
                '--seconds=1',
                f'--concurrency={OPEN_STREAMS}',
                '--max_tokens=100',
            )
            time.sleep(4.0)
            loaded = read_usage(daemon)
            report = finish_load(loader)['routed']
    per_stream = (loaded.rss - at_rest.rss) / OPEN_STREAMS
    print(f'at rest: {at_rest.rss / 1e6:.1f} MB')
    print(f'{OPEN_STREAMS} streams: {loaded.rss / 1e6:.1f} MB')
    print(f'per open stream: {per_stream / 1e3:.1f} KB')
    print('failures', report['failures'])


def main(rate=40, seconds=8):
    """Run all measurements of the whole path.

    :param rate: requests a second for the added latency.
    :param seconds: length of each run.
    """
    measure_added_latency(rate, seconds)
    measure_throughput(seconds)
    measure_memory()


if __name__ == '__main__':
    fire.Fire(main)
