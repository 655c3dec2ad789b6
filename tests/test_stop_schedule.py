"""How much time a planned stop has, from the signal on."""

import os
import time

import curio

from celeryward import deadlines
from celeryward import signals
from tests import fakes

BUSY_SECONDS = 0.6


class TestSignalReceiver:
    """Guards against a signal that is learned late and taken for new."""

    @fakes.in_kernel
    async def test_signal_in_a_busy_loop_is_not_later_than_the_last_look(self):
        with signals.signal_receiver() as receiver:
            looking = await curio.spawn(receiver.look_regularly)
            await curio.sleep(signals.LOOK_SECONDS + 0.1)
            os.kill(os.getpid(), signals.STOP_SIGNALS[0])
            sent_at = deadlines.BootDeadline.now()
            time.sleep(BUSY_SECONDS)
            await receiver.next_signal()
            await looking.cancel()
            assert receiver.none_before <= sent_at
            assert sent_at - receiver.none_before < signals.LOOK_SECONDS + 0.2

    @fakes.in_kernel
    async def test_looks_move_the_bound_while_no_signal_arrives(self):
        with signals.signal_receiver() as receiver:
            before = receiver.none_before
            receiver.look()
            assert receiver.none_before > before
