"""When the store confirmed what an answer says, as far as it shows."""

import dataclasses
import math

# A long poll without changes may end this long before its wait is over.
EARLY_SECONDS = 0.1


def add_confirmation(
    answer, wait_seconds, elapsed_seconds, paused_seconds=0.0
):
    """Return the changes with the time of the store's confirmation.

    A response without new changes confirms the state at the end of the wait.
    One that arrives clearly before that confirms nothing: it may be a late
    copy of the response to an earlier call.

    :param float paused_seconds: for how much of the elapsed time this process
        stood still. The response may have arrived before that.
    """
    if answer.passed_on:
        return limit_confirmation(answer, elapsed_seconds)
    if answer.changes:
        return answer
    if elapsed_seconds - paused_seconds < wait_seconds - EARLY_SECONDS:
        return dataclasses.replace(answer, confirmed_seconds=-math.inf)
    return dataclasses.replace(
        answer, confirmed_seconds=min(wait_seconds, elapsed_seconds)
    )


def limit_confirmation(answer, elapsed_seconds):
    """Return an answer that confirms nothing later than its arrival.

    Another router's clock, or a fault in it, must not make the objects look
    fresher than they are.
    """
    confirmed = min(answer.confirmed_seconds, elapsed_seconds)
    return dataclasses.replace(answer, confirmed_seconds=confirmed)
