"""Measures how late the harness itself runs its tasks.

The store and the endpoints of a run are tasks of the harness. While the
machine lets the harness wait, the store answers no router, as in a fault.
"""

import curio

from benchmarks.soak import observations
from celeryward import deadlines

SAMPLE_SECONDS = 0.05
MIN_LATE_SECONDS = 0.5
FAULT_NAME = 'harness-late'


async def watch(observed):
    """Record each time span in which tasks ran late, until cancelled."""
    while True:
        sample = await take_sample()
        if sample.name == FAULT_NAME:
            observed.faults.append(sample)


async def take_sample():
    """Sleep briefly; return the time span, named if it was too long."""
    began = observations.now()
    await curio.sleep(SAMPLE_SECONDS)
    ended = observations.now()
    late = ended - began > SAMPLE_SECONDS + MIN_LATE_SECONDS
    return observations.FaultSpan(began, ended, FAULT_NAME if late else '')


async def wait_until_on_time(seconds, limit_seconds):
    """Wait until no task has been late for some time.

    :param float seconds: how long the harness has to be on time.
    :param float limit_seconds: longest wait.
    """
    limit = deadlines.Deadline.after(limit_seconds)
    on_time_since = observations.now()
    while not limit.expired():
        sample = await take_sample()
        if sample.name == FAULT_NAME:
            on_time_since = sample.ended
        elif sample.ended - on_time_since >= seconds:
            return


def was_late(observed, since):
    """Return whether the harness has been late since a time."""
    return observed.overlaps_fault(since, observations.now(), (FAULT_NAME,))


def longest_seconds(observed):
    """Return the longest time for which the harness was late."""
    return max(
        (
            span.ended - span.began
            for span in observed.faults
            if span.name == FAULT_NAME
        ),
        default=0.0,
    )
