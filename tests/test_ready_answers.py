"""Answers that are there when a pause ends after their deadline."""

import os
import socket
import time

import curio
import h11
import pytest

from celeryward import deadlines
from celeryward import http
from celeryward import transport
from tests import fakes
from tests import platform_standins as standins

TIMEOUT_SECONDS = 2.0
# Several reads, which a connection holds unread after answers of that size.
ANSWER = bytes(transport.READ_SIZE_BYTES * 5 // 2)
EARLIER_REQUESTS = 12


@pytest.fixture
def site():
    return standins.default_site()


async def send_answer(runner, connection, arrival):
    """Send an answer of several reads."""
    headers = runner.response_headers(arrival)
    await http.send_response(connection, 200, headers, ANSWER)


async def pause_after_answer(runner, connection, arrival):
    """Send an answer; the process stands still until it is late."""
    await send_answer(runner, connection, arrival)
    time.sleep(TIMEOUT_SECONDS + 0.2)


class TestAnswerReadyAfterItsDeadline:
    """Guards against an answer that is cut though it is there as a whole."""

    @standins.on_site
    async def test_answer_of_several_reads_is_whole_after_a_pause(self, site):
        for runner in site.runners.values():
            runner.default_action = send_answer
        for _ in range(EARLIER_REQUESTS):
            await site.request('/once/x')
        for runner in site.runners.values():
            runner.default_action = pause_after_answer
        head, body = await site.request('/once/x')
        assert head.status == 200
        assert body == ANSWER


class TestReadsAfterTheDeadline:
    """Guards against a deadline that what is sent later can outlast."""

    @fakes.in_kernel
    async def test_what_was_there_is_read_and_nothing_later(self):
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = http.Connection(
            curio.io.Socket(ours), h11.SERVER, 'caller'
        )
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        past = deadlines.Deadline.after(-1.0)
        size = 2 * transport.READ_SIZE_BYTES
        os.write(theirs.fileno(), bytes(size))
        read = len(await connection.read('read', past))
        os.write(theirs.fileno(), bytes(size))
        while read < size:
            read += len(await connection.read('read', past))
        assert read == size
        with pytest.raises(http.ReadTimeout):
            await connection.read('read', past)
        await connection.close()
        theirs.close()
