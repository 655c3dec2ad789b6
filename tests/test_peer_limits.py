"""Clients that misuse the listener for peer daemons, against a process.

Crowds and bounds were fixed before there were any limits. No test checks a
time or how many calls were served meanwhile.
"""

import time

import curio
from h2 import connection
import pytest

from benchmarks import processes
from celeryward.daemons import bridge
from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward import deadlines
from celeryward import registry
from tests import client_crowds
from tests import platform_crashes
from tests import test_client_limits
from tests import test_processes

CLIENTS = 300
PING = bytes((0, 0, 8, 6, 0, 0, 0, 0, 0)) + bytes(8)
# The length of a message that never becomes complete, behind its flag.
MESSAGE_HEAD = bytes((0, 0x40, 0, 0, 0))
CALLS = 100
HEADERS = (
    (':method', 'POST'),
    (':scheme', 'http'),
    (':path', '/celeryward.daemons.Daemons/Exchange'),
    (':authority', 'daemon'),
    ('te', 'trailers'),
    ('content-type', 'application/grpc+proto'),
)
# Few descriptors make low limits.
few_descriptors = test_client_limits.few_descriptors
BEHAVIOURS = registry.Registry('peer behaviour')


def begin(client):
    """Open HTTP/2 on a new connection."""
    client.h2 = connection.H2Connection()
    client.h2.initiate_connection()
    client.unsent = client.h2.data_to_send()


def send_rest(client):
    """Send what is left to send."""
    while client.unsent:
        sent = client.sock.send(client.unsent[:65536])
        client.unsent = client.unsent[sent:]


@BEHAVIOURS.register('pings')
def send_pings(client):
    """Send pings without reading their responses."""
    if client.steps == 0 and not client.unsent:
        begin(client)
    send_rest(client)
    client.unsent = PING * 500


@BEHAVIOURS.register('calls')
def send_calls(client):
    """Send calls without reading their responses."""
    if client.steps == 0 and not client.unsent:
        begin(client)
        for _ in range(CALLS):
            stream = client.h2.get_next_available_stream_id()
            client.h2.send_headers(stream, HEADERS)
            client.h2.send_data(stream, bytes(5), end_stream=True)
        client.unsent += client.h2.data_to_send()
    send_rest(client)


@BEHAVIOURS.register('long message')
def send_long_message(client):
    """Send a message without end, as fast as flow control allows."""
    if client.steps == 0 and not client.unsent:
        begin(client)
        client.h2.send_headers(1, HEADERS)
        client.h2.send_data(1, MESSAGE_HEAD)
        client.unsent += client.h2.data_to_send()
    send_rest(client)
    client.steps += 1
    client.h2.receive_data(client.sock.recv(65536))
    while size := min(16384, client.h2.local_flow_control_window(1)):
        client.h2.send_data(1, bytes(size))
        client.unsent += client.h2.data_to_send()
        send_rest(client)


async def wait_for_exchange(port, program):
    """Return once a call of an ordinary daemon is answered."""
    caller = bridge.Bridge('127.0.0.1', 0)
    await caller.start()
    contact = gossip.Contact('127.0.0.1', port)
    until = time.monotonic() + test_client_limits.ANSWER_SECONDS
    try:
        while True:
            outcome = await caller.call(
                contact,
                'Exchange',
                exchange_pb2.Digest(),
                deadlines.Deadline.after(3.0),
            )
            if outcome.is_ok():
                return
            assert program.poll() is None
            assert time.monotonic() < until, outcome
            await curio.sleep(0.1)
    finally:
        await caller.stop()


class TestPeerListener:
    """Guards against clients of this listener that take all memory."""

    @pytest.mark.parametrize('kind', ('pings', 'calls', 'long message'))
    def test_misuse_leaves_room_for_daemons(
        self, tmp_path, few_descriptors, kind
    ):
        port = platform_crashes.free_port()
        with processes.stopping([]) as running:
            _, daemon = test_processes.start_parts(
                running, tmp_path, peers={'port': port}
            )
            with test_client_limits.crowd_of(daemon.popen.pid) as crowd:
                crowd.clients += [
                    client_crowds.Client(
                        BEHAVIOURS.get(kind),
                        ('127.0.0.1', port),
                        f'127.0.0.{2 + number % 4}',
                        b'',
                        False,
                    )
                    for number in range(CLIENTS)
                ]
                crowd.run(test_client_limits.CROWD_SECONDS)
                curio.run(wait_for_exchange, port, daemon.popen)
                test_client_limits.check_bounds(crowd, daemon.popen)
