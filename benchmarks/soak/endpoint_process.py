"""Program of an endpoint in a process of its own, started by the harness.

Its first line of output is its port; each further line is an observation.
"""

import os
import pathlib
import sys

import curio
import fire
import msgspec

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.append(str(ROOT / 'platform'))

from benchmarks.soak import endpoints  # noqa: E402
from benchmarks.soak import harmful_faults  # noqa: E402
from benchmarks.soak import observations  # noqa: E402
from celeryward import event_loop  # noqa: E402
from celeryward import logs  # noqa: E402
from tests import platform_processes as processes  # noqa: E402
from tests import platform_standins as standins  # noqa: E402

REPORTED = ('abandoned', 'crashes', 'executions', 'harmful')


class Reports:
    """List of observations that are written as they come.

    :param str name: of the list in :class:`observations.Observations`.
    """

    def __init__(self, name):
        self.name = name

    def append(self, record):
        """Write an observation."""
        write_line([self.name, record])


class Site:
    """What the endpoint needs of the :class:`fleet.Fleet` of the harness."""

    def __init__(self, events, work_seconds):
        self.events_per_answer = events
        self.work_seconds = work_seconds
        self.observed = observations.Observations()
        for name in REPORTED:
            setattr(self.observed, name, Reports(name))


class EndOnHarmfulPart:
    """Ends the process when it begins an answer on a harmful part."""

    async def respond(self, endpoint, server, connection, arrival):
        """Answer one request, or end the process."""
        for part in processes.prompt_parts(arrival):
            if part.startswith(harmful_faults.PART_PREFIX):
                await harmful_faults.begin_answer(
                    part, endpoint, server, connection, arrival
                )
                endpoint.fleet.observed.crashes.append(
                    observations.PartCrash(part, observations.now())
                )
                os._exit(harmful_faults.CRASH_STATUS)
        await endpoints.run(endpoint, server, connection, arrival)


def write_line(value):
    """Write a value as one line of JSON."""
    sys.stdout.buffer.write(msgspec.json.encode(value) + b'\n')
    sys.stdout.buffer.flush()


async def serve(server_id, service, events, work_seconds):
    """Serve requests until the harness has ended."""
    endpoint = endpoints.Endpoint(Site(events, work_seconds), 0, service)
    endpoint.answer_fault = EndOnHarmfulPart()
    server = standins.RunnerStandIn(server_id, service, events=events)
    server.default_action = endpoint.answer
    await server.start()
    write_line(server.port)
    # The harness writes nothing; the input ends with it.
    await curio.run_in_thread(sys.stdin.buffer.read)


def main(server_id, service, events, work_seconds):
    """Run one endpoint."""
    logs.configure('CRITICAL', 'text')
    event_loop.run(serve, server_id, service, events, work_seconds)


if __name__ == '__main__':
    fire.Fire(main)
