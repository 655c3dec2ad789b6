"""Endpoints whose servers are processes, which can stand still."""

import signal
import sys

import curio
from curio import subprocess
import msgspec

from benchmarks.soak import endpoints
from benchmarks.soak import harmful_faults
from benchmarks.soak import observations
from celeryward import registry
from tests import platform_processes as processes
from tests import platform_standins as standins

PROGRAM = 'benchmarks.soak.endpoint_process'
# What is done with the observations of a process, by their list's name.
RECORDERS = registry.Registry('recorder')


class ProcessServer(standins.RunnerStandIn):
    """A server that runs in a process of its own.

    :param endpoint: the :class:`ProcessEndpoint` that it belongs to.
    """

    def __init__(self, endpoint, server_id):
        super().__init__(server_id, endpoint.service)
        self.endpoint = endpoint
        self.process = None
        self.process_port = 0
        self.following = None
        self.ending = False

    @property
    def port(self):
        """The port that the process is bound to."""
        return self.process_port

    async def start(self):
        """Start the process and wait until it accepts connections."""
        fleet = self.endpoint.fleet
        arguments = self.id, self.service, fleet.events_per_answer
        command = [sys.executable, '-m', PROGRAM]
        command += [str(each) for each in (*arguments, fleet.work_seconds)]
        log = fleet.directory / f'{self.id}.err'
        with log.open('wb') as output:
            self.process = subprocess.Popen(
                command,
                cwd=processes.ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=output,
                # In the group of the harness it would get a SIGHUP if the
                # shell of the harness ends while the process is paused.
                process_group=0,
            )
        fleet.children.append(self.process)
        self.process_port = int(await self.process.stdout.readline())
        self.following = await curio.spawn(self.follow, daemon=True)

    async def follow(self):
        """Record what the process observes until it has ended.

        :raises RuntimeError: if no fault of the plan has ended it.
        """
        while line := await self.process.stdout.readline():
            name, fields = msgspec.json.decode(line)
            await RECORDERS.get(name)(self.endpoint, self, fields)
        status = await self.process.wait()
        if not self.ending and status != harmful_faults.CRASH_STATUS:
            raise RuntimeError(f'{self.id} ended with status {status}')

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self):
        """End the process, also while it stands still."""
        self.ending = True
        self.signal(signal.SIGKILL)
        await self.process.wait()


class ProcessEndpoint(endpoints.Endpoint):
    """Endpoint whose server is a process.

    Of the faults of answers it has only the end by a harmful part.
    """

    def make_server(self, server_id):
        """Return a server that has not been started."""
        return ProcessServer(self, server_id)

    async def pause(self, seconds):
        """Let the process stand still for some seconds."""
        server = self.server
        self.record_silence('endpoint-process-paused', seconds)
        server.signal(signal.SIGSTOP)
        await curio.sleep(seconds)
        server.signal(signal.SIGCONT)


@RECORDERS.register('executions')
async def record_execution(endpoint, server, fields):
    """Record that a request reached the server."""
    fields['undisturbed'] = endpoint.undisturbed(fields['at'])
    endpoint.fleet.observed.executions.append(observations.Execution(**fields))


@RECORDERS.register('abandoned')
async def record_abandonment(endpoint, server, fields):
    """Record that a router gave a run up."""
    endpoint.fleet.observed.abandoned.append(
        observations.Abandonment(**fields)
    )


@RECORDERS.register('harmful')
async def record_harmful_arrival(endpoint, server, fields):
    """Record that a request with a harmful part has arrived."""
    endpoint.fleet.observed.harmful.append(
        observations.HarmfulArrival(**fields)
    )


@RECORDERS.register('crashes')
async def replace_crashed(endpoint, server, fields):
    """Start another process in place of one that a harmful part ended."""
    if endpoint.server is server and not endpoint.crashed:
        await curio.spawn(
            harmful_faults.crash, endpoint, fields['part'], daemon=True
        )
