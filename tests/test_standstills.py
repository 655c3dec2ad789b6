"""A process that stands still for a second and goes on."""

import itertools
import pathlib
import selectors
import signal
import socket
import subprocess
import sys
import time

import curio
import h11
import pytest

from celeryward import deadlines
from celeryward import event_loop
from celeryward import http
from celeryward import logs
from celeryward import processor_share
from celeryward import standstills
from celeryward import transport
from tests import fakes
from tests import platform_standins as standins

PAUSE_SECONDS = 1.0
# More than a request takes that no pause meets.
ANSWER_SECONDS = 0.5
IDLE_SERVER = pathlib.Path(__file__).with_name('idle_server.py')


@pytest.fixture
def site():
    return standins.default_site()


@pytest.fixture
def lines():
    """The messages that are logged."""
    messages = []
    sink = logs.logger.add(
        lambda message: messages.append(message.record['message'])
    )
    yield messages
    logs.logger.remove(sink)


class TestWatch:
    """Guards against a standstill that leaves no trace in the log."""

    def test_late_look_is_logged_with_the_work_of_the_process(self, lines):
        clock = fakes.CallableClock()
        work = fakes.CallableClock()
        watch = standstills.StandstillWatch(0.25, clock, work)
        clock.now = 2.25
        work.now = 0.125
        assert watch.look() == 2.0
        assert lines == ['process stood still for 2.00 s, with 0.12 s of work']

    def test_looks_in_time_are_not_logged(self, lines):
        clock = fakes.CallableClock()
        watch = standstills.StandstillWatch(0.25, clock, clock)
        for clock.now in (0.25, 0.6, 1.2):
            assert watch.look() == 0.0
        assert not lines


def pause_while_parsing(monkeypatch, role):
    """Let the process pause once while it parses input in a role."""
    parse = h11.Connection.next_event
    calls = itertools.count()

    def next_event(connection):
        if connection.our_role is role and next(calls) == 0:
            time.sleep(PAUSE_SECONDS)
        return parse(connection)

    monkeypatch.setattr(h11.Connection, 'next_event', next_event)


class TestPauseWhileParsing:
    """Guards against a pause that counts as work on a connection's input."""

    @pytest.mark.parametrize('role', (h11.SERVER, h11.CLIENT))
    @pytest.mark.parametrize('path', ('/whole/x', '/once/x', '/open/x'))
    @standins.on_site
    async def test_request_is_answered_right_after_the_pause(
        self, site, monkeypatch, role, path
    ):
        pause_while_parsing(monkeypatch, role)
        began = time.monotonic()
        head, _ = await site.request(path)
        seconds = time.monotonic() - began
        assert head.status == 200
        assert PAUSE_SECONDS <= seconds < PAUSE_SECONDS + ANSWER_SECONDS


class TestHeldInput:
    """Guards against a wait of held input that outlasts its deadline."""

    @fakes.in_kernel
    async def test_wait_ends_at_the_deadline(self):
        clock = fakes.CallableClock()
        shared = processor_share.SharedTime(clock)
        meter = processor_share.InputMeter('-', shared, clock, clock)
        meter.begin_work()
        clock.now = 5.0
        began = time.monotonic()
        await meter.take_turn(deadlines.Deadline.after(0.1))
        assert 0.1 <= time.monotonic() - began < ANSWER_SECONDS

    @fakes.in_kernel
    async def test_input_is_held_back_beyond_a_deadline_that_is_extended(
        self,
    ):
        clock = fakes.CallableClock()
        near, far = socket.socketpair()
        connection = http.Connection(
            curio.io.Socket(near), h11.CLIENT, 'endpoint'
        )
        connection.meter = processor_share.InputMeter(
            '-', processor_share.SharedTime(clock), clock, clock
        )

        def parse_slowly():
            clock.now += 0.1
            return h11.EndOfMessage()

        async def extend():
            return deadlines.Deadline.after(0.05)

        connection.h11.next_event = parse_slowly
        began = time.monotonic()
        late = deadlines.Deadline.after(0.0)
        await connection.receive('read', late, extend)
        seconds = 0.1 / processor_share.SHARED_PART
        assert time.monotonic() - began >= seconds
        await connection.close()
        far.close()


class TestPauseBeyondTheDeadline:
    """Guards against input that is there and loses to a deadline."""

    @fakes.in_kernel
    async def test_request_sent_in_a_pause_beyond_the_idle_time_is_answered(
        self,
    ):
        with subprocess.Popen(
            [sys.executable, str(IDLE_SERVER)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            port = int(process.stdout.readline())
            limit = deadlines.Deadline.after(10.0)
            connection = await http.connect('127.0.0.1', port, limit)
            await curio.sleep(0.5)
            process.send_signal(signal.SIGSTOP)
            await curio.sleep(0.2)
            request = ('GET', '/x', {}, b'')
            pending = await curio.spawn(
                http.exchange, connection, *request, limit
            )
            await curio.sleep(PAUSE_SECONDS)
            process.send_signal(signal.SIGCONT)
            head, body = await pending.join()
            assert (head.status, body) == (200, b'whole')

    @fakes.in_kernel
    async def test_bytes_that_are_there_are_read_once_after_the_deadline(self):
        ours, theirs = socket.socketpair()
        connection = http.Connection(
            curio.io.Socket(ours), h11.SERVER, 'caller'
        )
        past = deadlines.Deadline.after(-PAUSE_SECONDS)
        theirs.send(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        assert (await connection.receive_request(past)).target == '/'
        theirs.send(b'more')
        with pytest.raises(http.ReadTimeout):
            await connection.read('read', past)
        await connection.close()
        theirs.close()

    def test_wait_ends_with_input_that_an_interrupted_poll_left_out(
        self, monkeypatch
    ):
        ours, theirs = socket.socketpair()
        select = selectors.DefaultSelector.select

        def interrupted_select(selector, timeout=None):
            if timeout == 0:
                return select(selector, timeout)
            theirs.send(b'x')
            time.sleep(timeout)
            return []

        monkeypatch.setattr(
            selectors.DefaultSelector, 'select', interrupted_select
        )

        async def receive():
            waiting = curio.io.Socket(ours)
            return await curio.timeout_after(0.1, waiting.recv, 1)

        assert event_loop.run(receive) == b'x'
        theirs.close()


class TestConnect:
    """Guards against connections that count as failed for a pause."""

    @fakes.in_kernel
    async def test_connection_opens_though_a_pause_outlasts_its_deadline(self):
        listener = curio.network.tcp_server_socket('127.0.0.1', 0)
        limit = deadlines.Deadline.after(0.2)
        opening = await curio.spawn(
            transport.open_socket, *listener.getsockname(), limit
        )
        await curio.sleep(0)
        time.sleep(PAUSE_SECONDS)
        sock = await opening.join()
        await sock.close()
        await listener.close()
