"""Calls between daemons whose response is cut off on the way."""

import curio
import pytest

from celeryward.daemons import bridge
from celeryward.daemons import exchange_pb2
from celeryward.daemons import gossip
from celeryward import deadlines
from celeryward import listener
from celeryward.standins import base

FRAME_HEAD_BYTES = 9
HEADERS_FRAME = 1
END_OF_STREAM = 0x1
REPLIES = {
    'Exchange': (
        exchange_pb2.Digest(fingerprint=7),
        exchange_pb2.Digest(fingerprint=8, unknown_ids=[1, 2, 3]),
    ),
    'Keep': (exchange_pb2.Bills(owner='x'), exchange_pb2.Receipt()),
}


class CuttingProxy(base.StandIn):
    """Passes on the bytes between a caller and a daemon.

    :param int target: port of the daemon.
    :param int limit: bytes of responses that are passed on; None for all.
    """

    def __init__(self, target, limit):
        super().__init__()
        self.listener = listener.Listener('127.0.0.1', 0, self.handle)
        self.target = target
        self.limit = limit
        self.passed = b''

    async def handle(self, connection):
        """Pass bytes on in both directions until the limit is reached."""
        far = await curio.open_connection('127.0.0.1', self.target)
        async with far, curio.TaskGroup(wait=any) as group:
            await group.spawn(copy_bytes, connection.sock, far)
            await group.spawn(self.copy_responses, far, connection.sock)

    async def copy_responses(self, source, target):
        """Pass on responses up to the limit."""
        while data := await source.recv(65536):
            if self.limit is not None:
                data = data[: self.limit - len(self.passed)]
            self.passed += data
            await target.sendall(data)
            if len(self.passed) == self.limit:
                return


async def copy_bytes(source, target):
    """Pass on bytes until the source ends."""
    while data := await source.recv(65536):
        await target.sendall(data)


def end_of_call(received):
    """Return up to where the responses of one HTTP/2 call reach."""
    at = 0
    while at + FRAME_HEAD_BYTES <= len(received):
        size = int.from_bytes(received[at : at + 3])
        kind, flags = received[at + 3], received[at + 4]
        at += FRAME_HEAD_BYTES + size
        if kind == HEADERS_FRAME and flags & END_OF_STREAM:
            return at
    raise AssertionError('the call has no end')


async def call_through(proxy, method):
    """Make one call by a new connection; return its result."""
    await proxy.start()
    caller = bridge.Bridge('127.0.0.1', 0)
    await caller.start()
    try:
        return await caller.call(
            gossip.Contact('127.0.0.1', proxy.port),
            method,
            REPLIES[method][0],
            deadlines.Deadline.after(5.0),
        )
    finally:
        await caller.stop()
        await proxy.stop()


async def reply_to_all(daemon):
    """Reply to each request of a daemon."""
    while (request := await daemon.requests.get()) is not bridge.STOPPED:
        daemon.reply(request, REPLIES[request.method][1])


class TestCalls:
    """Guards against cut responses that count as replies of a peer."""

    @pytest.mark.parametrize('method', REPLIES)
    def test_cut_response_is_a_failure(self, run, method):
        async def test():
            daemon = bridge.Bridge('127.0.0.1', 0)
            await daemon.start()
            replying = await curio.spawn(reply_to_all, daemon)
            try:
                whole = CuttingProxy(daemon.port, None)
                outcome = await call_through(whole, method)
                assert outcome.unwrap() == REPLIES[method][1]
                end = end_of_call(whole.passed)
                for limit in (*range(1, end - 12, 4), *range(end - 12, end)):
                    proxy = CuttingProxy(daemon.port, limit)
                    outcome = await call_through(proxy, method)
                    assert outcome.is_err(), limit
            finally:
                await daemon.stop()
                await replying.join()

        run(test)
