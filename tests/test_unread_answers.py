"""What a process holds for clients that are slow to read."""

import dataclasses

import curio
import pytest

from celeryward import memory_account
from celeryward import transport
from celeryward import unread_answers
from tests import fakes
from tests import test_paced_requests as paced

PIECE = 1000
HELD = unread_answers.COPIES * PIECE


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderWait:
    """Since when a client has taken nothing."""

    since: float


class Connection:
    """A connection as the account of unread answers sees it."""

    def __init__(self, since):
        self.client_wait = ReaderWait(since)
        self.left_unread = False
        self.is_shut_down = False

    async def shut_down(self):
        self.is_shut_down = True


async def hold(account, connection):
    """Hold a piece until cancelled."""
    async with account.hold(connection, PIECE):
        await curio.Event().wait()


class TestUnreadAnswers:
    """Guards against late readers that together take all memory."""

    @fakes.in_kernel
    async def test_client_that_took_nothing_for_longest_is_given_up(self):
        account = unread_answers.UnreadAnswers(2 * HELD)
        connections = [Connection(since) for since in (5.0, 1.0, 3.0)]
        tasks = [await curio.spawn(hold, account, c) for c in connections]
        await curio.sleep(0.01)
        given_up = [c.is_shut_down for c in connections]
        assert given_up == [False, True, False]
        assert connections[1].left_unread
        assert account.used == 2 * HELD
        for task in tasks:
            await task.cancel()
        assert account.used == 0 and not account.sizes

    @fakes.in_kernel
    async def test_single_answer_above_the_limit_is_written(self):
        account = unread_answers.UnreadAnswers(HELD // 2)
        connection = Connection(1.0)
        task = await curio.spawn(hold, account, connection)
        await curio.sleep(0.01)
        assert not connection.is_shut_down
        await task.cancel()

    def test_largest_answers_of_the_smallest_host_fit(self):
        """All answers together have a bound, and each is copied once."""
        account = memory_account.derive(160.0)
        assert account.unread_bytes > account.answer_bytes


class TestWrites:
    """Guards against writes that are counted wrong."""

    @pytest.fixture
    def account(self, monkeypatch):
        made = unread_answers.UnreadAnswers(1)
        monkeypatch.setattr(unread_answers, 'UNREAD_ANSWERS', made)
        return made

    @fakes.in_kernel
    async def test_of_two_unread_answers_one_is_given_up(self, account):
        async with paced.serving(paced.LONG_BYTES) as server:
            clients = [await server.connect() for _ in range(2)]
            for sock in clients:
                await sock.sendall(paced.LAST_REQUEST)
                await curio.sleep(0.05)
            assert server.causes == ['unread']
            received = [await paced.read_to_end(sock) for sock in clients]
            whole = [len(each) > paced.LONG_BYTES for each in received]
            assert whole == [False, True]
            assert not account.sizes

    @fakes.in_kernel
    async def test_answer_that_is_read_is_not_counted(self, account):
        async with paced.serving(transport.READ_SIZE_BYTES) as server:
            for _ in range(3):
                sock = await server.connect()
                await sock.sendall(paced.LAST_REQUEST)
                assert (await paced.read_to_end(sock))[:12] == b'HTTP/1.1 200'
            assert not server.causes and not account.used
