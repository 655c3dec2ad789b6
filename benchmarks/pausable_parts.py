"""Processes of benchmarks.paused_processes: stand-in endpoints and a router.

Each prints on its first line of output where it listens. For each line of
input it prints where its tasks wait; endpoints print at the end which requests
they received.
"""

import os
import pathlib
import sys

import curio
from curio import io
import fire

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from adapter import translator  # noqa: E402
from celeryward import event_loop  # noqa: E402
from celeryward import logs  # noqa: E402
from celeryward import router  # noqa: E402
from celeryward import router_settings  # noqa: E402
from celeryward import signals  # noqa: E402
from tests import platform_processes as processes  # noqa: E402
from tests import platform_standins as standins  # noqa: E402


def print_line(**fields):
    """Write one line of output."""
    print(standins.encode(fields).decode('utf-8'), flush=True)


def frames_of(coroutine):
    """Yield the frames of a coroutine and of what it awaits."""
    while coroutine is not None:
        frame = getattr(coroutine, 'cr_frame', None) or getattr(
            coroutine, 'ag_frame', None
        )
        if frame is not None:
            yield frame
        coroutine = getattr(coroutine, 'cr_await', None) or getattr(
            coroutine, 'ag_await', None
        )


def stack_of(task):
    """Return the functions of this repository in which a task waits."""
    return [
        f'{path.stem}.{frame.f_code.co_name}'
        for frame in frames_of(task.coro)
        if (path := pathlib.Path(frame.f_code.co_filename)).is_relative_to(
            ROOT
        )
        and path.relative_to(ROOT).parts[0] != '.venv'
    ]


async def print_stacks(kernel):
    """Print where all tasks wait, for each line of the standard input."""
    orders = io.FileStream(sys.stdin.buffer.raw)
    while await orders.readline():
        # The tasks of a kernel are listed nowhere else.
        tasks = tuple(kernel._tasks.values())
        print_line(stacks=[[task.state, *stack_of(task)] for task in tasks])


async def run_beside_orders(kernel, main, arguments):
    """Run a coroutine function beside the task that reads orders."""
    await curio.spawn(print_stacks, kernel, daemon=True)
    await main(*arguments)


def run(main, *arguments):
    """Run a coroutine function in a kernel that prints where tasks wait."""
    logs.configure('WARNING', 'text')
    loop = event_loop.InputFirstSelector()
    with curio.Kernel(selector=loop) as kernel:
        kernel.run(run_beside_orders, kernel, main, arguments)
        sys.stdout.flush()
        os._exit(0)


async def serve_endpoints(name, each, events):
    """Serve endpoints of both services until SIGTERM."""
    with signals.signal_receiver() as receiver:
        runners = [
            standins.RunnerStandIn(f'{service}-{name}-{number}', service)
            for service in ('app', 'llm')
            for number in range(each)
        ]
        for runner in runners:
            runner.events = events
            await runner.start()
        print_line(entries={runner.id: runner.entry() for runner in runners})
        await receiver.next_signal()
        print_line(
            received=[
                processes.request_id(arrival)
                for runner in runners
                for arrival in runner.arrivals
            ]
        )


class AnnouncingRouter(router.Router):
    """Router that prints its port once it has started."""

    async def start(self):
        """Start all listeners and tasks."""
        await super().start()
        print_line(port=self.listeners.callers.port)


async def serve_router(store_port):
    """Serve callers until SIGTERM and the stop that follows."""
    local = router_settings.Address('127.0.0.1', 0)
    store = router_settings.Address('127.0.0.1', store_port)
    placement = router_settings.Placement(
        'router-1', 'a', local, local, local, store, standins.BOUNDS, local
    )
    tuning = router_settings.load(ROOT / 'deploy' / 'router.yaml')
    await AnnouncingRouter(placement, tuning, translator.Translator()).run()


def endpoints(name, each=3, events=4):
    """Run a process with endpoints.

    :param each: number of endpoints of each service.
    """
    run(serve_endpoints, name, each, events)


def one_router(store_port):
    """Run a process with a router."""
    run(serve_router, store_port)


if __name__ == '__main__':
    fire.Fire({'endpoints': endpoints, 'router': one_router})
