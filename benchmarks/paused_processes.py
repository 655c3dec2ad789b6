"""Counts requests that wait although a process that stood still goes on.

``python -m benchmarks.paused_processes --target=endpoints`` stops processes of
endpoints, or the one of the router, with SIGSTOP under requests of all kinds,
and continues them. It prints what the requests got, how long they waited after
the pause, and where the tasks of the processes wait a second after it.
"""

import collections
import pathlib
import signal
import subprocess
import sys
import tempfile

import curio
import fire
import msgspec

ROOT = pathlib.Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks import paused_callers  # noqa: E402
from celeryward import deadlines  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_standins as standins  # noqa: E402

RATE = 50
PAUSE_AFTER_SECONDS = 0.8
STOP_IN_PAUSE_SECONDS = 0.4
CHANGE_SECONDS = 0.1
LOAD_AFTER_SECONDS = 1.2
LATE_SECONDS = 1.0
OVERTAKING_REQUESTS = 10
START_SECONDS = 20.0
END_SECONDS = 6.0
TIMEOUT_MILLISECONDS = 12000
IDLE_MILLISECONDS = 5000
MAX_PLAYS_BESIDE = 6


class Part:
    """A process of a play, whose output goes to a file."""

    def __init__(self, folder, name, *arguments):
        self.path = folder / name
        with self.path.open('wb') as output:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'benchmarks.pausable_parts']
                + [str(each) for each in arguments],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
            )

    def lines(self, field):
        """Return the values of a field in all lines of the output."""
        found = []
        for line in self.path.read_bytes().splitlines():
            if line.startswith(b'{"%s"' % field.encode('ascii')):
                found.append(msgspec.json.decode(line)[field])
        return found

    async def first(self, field):
        """Return the value of a field once it was written."""
        await standins.wait_until(lambda: self.lines(field), START_SECONDS)
        return self.lines(field)[0]

    def order_stacks(self):
        """Let the process print where its tasks wait."""
        self.popen.stdin.write(b'\n')
        self.popen.stdin.flush()

    async def end(self):
        """End the process."""
        self.popen.stdin.close()
        self.popen.send_signal(signal.SIGCONT)
        self.popen.send_signal(signal.SIGTERM)
        deadline = deadlines.Deadline.after(END_SECONDS)
        while self.popen.poll() is None and not deadline.expired():
            await curio.sleep(0.02)
        self.popen.kill()
        self.popen.wait()


class Play:
    """Endpoints, a router and callers beside some pauses."""

    def __init__(self, case, seed):
        self.case = case
        self.seed = seed
        self.callers = None
        self.store = standins.StoreStandIn()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='paused-'))
        self.endpoints = []
        self.router = None
        self.version = 1
        self.resumed_at = 0.0
        self.last_paused_at = 0.0

    async def run(self):
        """Run the play; return the play itself."""
        try:
            await self.start()
            async with curio.TaskGroup() as group:
                await group.spawn(self.disturb)
                await self.send_load(group)
        finally:
            for part in (*self.endpoints, self.router):
                await part.end()
            await self.store.stop()
        return self

    async def start(self):
        """Start all parts; return once the router serves."""
        await self.store.start()
        await self.write_configuration()
        for number in range(2):
            part = Part(
                self.folder,
                f'endpoints-{number}',
                'endpoints',
                f'--name=p{number}',
                f'--events={self.case.events}',
            )
            self.endpoints.append(part)
        for part in self.endpoints:
            for name, entry in (await part.first('entries')).items():
                await self.store.put('servers', name, entry)
        self.router = Part(self.folder, 'router', 'router', self.store.port)
        port = await self.router.first('port')
        self.callers = paused_callers.Callers(self.case, port, self.seed)
        await curio.sleep(self.case.settle_seconds)

    async def write_configuration(self):
        """Write a configuration that differs from the one before."""
        self.version += 1
        spec = standins.configuration(self.version)
        spec['limits']['idleTimeoutMs'] = self.case.idle_milliseconds
        for route in spec['routes']:
            timeout = self.case.timeout_milliseconds
            route['timeoutMs'] = timeout + self.version
        for number in range(self.version % 3 * 20):
            spec['routes'].append(
                standins.narrow_route(spec['routes'][0], f'added{number}')
            )
        await self.store.put('config', 'main', spec)

    async def send_load(self, group):
        """Send requests at a fixed rate until some time after the pauses."""
        case = self.case
        seconds = PAUSE_AFTER_SECONDS + LOAD_AFTER_SECONDS
        seconds += case.pauses * (case.pause_seconds + PAUSE_AFTER_SECONDS)
        for number in range(int(seconds * RATE)):
            await group.spawn(self.callers.ask, number)
            await curio.sleep(1 / RATE)

    def targets(self):
        """Return the processes that stand still."""
        by_target = {
            'endpoints': self.endpoints,
            'one': self.endpoints[:1],
            'router': [self.router],
        }
        return by_target[self.case.target]

    async def disturb(self):
        """Pause processes, and ask where tasks wait a second later."""
        for number in range(self.case.pauses):
            await curio.sleep(PAUSE_AFTER_SECONDS)
            await self.pause(number == 0)
        await curio.sleep(LATE_SECONDS)
        if any(at < self.resumed_at for _, at in self.callers.pending):
            for part in (*self.endpoints, self.router):
                part.order_stacks()

    async def pause(self, is_first):
        """Stop processes for the time of the pause."""
        end = deadlines.Deadline.after(self.case.pause_seconds)
        self.last_paused_at = deadlines.Deadline.now()
        for part in self.targets():
            part.popen.send_signal(signal.SIGSTOP)
        if self.case.stop and is_first:
            await curio.sleep(STOP_IN_PAUSE_SECONDS)
            self.router.popen.send_signal(signal.SIGTERM)
        while not end.expired():
            if self.case.change:
                await self.write_configuration()
            await curio.sleep(min(CHANGE_SECONDS, end.remaining()))
        for part in self.targets():
            part.popen.send_signal(signal.SIGCONT)
        self.resumed_at = deadlines.Deadline.now()

    def late(self):
        """Return the outcomes later than allowed after the last pause."""
        return [
            outcome
            for outcome in self.callers.outcomes
            if outcome.ended_at - max(outcome.sent_at, self.resumed_at)
            > LATE_SECONDS
        ]

    def overtaken(self):
        """Return the late outcomes that many later requests overtook.

        They waited for something of their own, not for a busy process.
        """
        return [
            outcome
            for outcome in self.late()
            if OVERTAKING_REQUESTS
            <= sum(
                each.what == 'whole'
                and each.sent_at > outcome.sent_at
                and each.ended_at < outcome.ended_at - LATE_SECONDS
                for each in self.callers.outcomes
            )
        ]

    def untrue(self):
        """Return the outcomes said not to have run that an endpoint got."""
        received = {
            request_id
            for part in self.endpoints
            for received in part.lines('received')
            for request_id in received
        }
        return [
            outcome
            for outcome in self.callers.outcomes
            if outcome.refused and outcome.request_id in received
        ]

    def waiting(self):
        """Count where tasks of the parts waited a second after the pause."""
        return collections.Counter(
            f'{part.path.name}: {" > ".join(stack[-4:])}'
            for part in (*self.endpoints, self.router)
            for stacks in part.lines('stacks')
            for stack in stacks
            if len(stack) > 1
        )


def report(play):
    """Print the figures of one play."""
    counts = collections.Counter(each.what for each in play.callers.outcomes)
    late = play.overtaken()
    print(f'{len(play.callers.outcomes)} requests {dict(counts)},', end=' ')
    print(f'{len(play.late())} late, {len(late)} overtaken,', end=' ')
    print(f'{len(play.untrue())} refused although received')
    lost = [
        each
        for each in play.callers.outcomes
        if each.what in paused_callers.LOST
    ]
    for each in (*late, *lost):
        print(
            f'  {each.request_id} {each.kind} {each.what}, on a'
            f' {"kept" if each.reused else "new"} connection, sent'
            f' {each.sent_at - play.last_paused_at:+.2f} s from the pause,'
            f' whole {max(0.0, each.whole_at - each.sent_at):.2f} s later,'
            f' {each.ended_at - play.resumed_at:.2f} s after it'
        )
    if late:
        for where, count in sorted(play.waiting().items()):
            print(f'    {count} tasks {where}')


def sum_up(case, done):
    """Return the figures of all plays."""
    counts = collections.Counter(
        each.what for play in done for each in play.callers.outcomes
    )
    with_overtaken = sum(bool(play.overtaken()) for play in done)
    return (
        f'{case}\n{with_overtaken} of {len(done)} plays with requests'
        f' overtaken, {sum(len(play.overtaken()) for play in done)} overtaken,'
        f' {sum(len(play.late()) for play in done)} late,'
        f' {sum(len(play.untrue()) for play in done)} refused although'
        f' received: {dict(counts)}'
    )


async def run(case, plays, beside, seed):
    """Run plays, some beside each other; return them."""
    done = []
    while len(done) < plays:
        async with curio.TaskGroup() as group:
            for _ in range(min(beside, plays - len(done))):
                seed += 1
                await group.spawn(Play(case, seed).run)
        for play in group.results:
            report(play)
            done.append(play)
    return done


def main(
    target='endpoints',
    pause=2.0,
    pauses=1,
    stop=False,
    change=False,
    headers=0,
    events=4,
    idle_milliseconds=IDLE_MILLISECONDS,
    timeout_milliseconds=TIMEOUT_MILLISECONDS,
    settle=1.0,
    plays=6,
    beside=3,
    seed=1,
):
    """Run plays of one case and print their sum.

    :param target: endpoints, one (process of endpoints) or router.
    """
    logs.configure('CRITICAL', 'text')
    case = paused_callers.Case(
        target,
        float(pause),
        pauses,
        stop,
        change,
        headers,
        events,
        idle_milliseconds,
        timeout_milliseconds,
        settle,
    )
    done = curio.run(run, case, plays, min(beside, MAX_PLAYS_BESIDE), seed)
    print(sum_up(case, done))


if __name__ == '__main__':
    fire.Fire(main)
