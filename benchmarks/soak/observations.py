"""Observations of a run by its callers, endpoints and fault injection."""

import dataclasses
import time


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request at its caller. Times are monotonic seconds.

    :param str router: name of the router that was called.
    :param str key: key that the request carried.
    :param int status: 0 if no response head was received.
    :param bool not_run: whether the answer reports that the request did not
        run.
    :param bool whole: whether the answer was complete.
    :param str error: why the answer was not complete.
    """

    request_id: str
    kind: str
    router: str
    key: str
    started_at: float
    ended_at: float
    status: int = 0
    not_run: bool = False
    whole: bool = False
    body: bytes = b''
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that reached an endpoint.

    :param bool undisturbed: whether no fault can have delayed the request
        between router and endpoint.
    """

    request_id: str
    endpoint: str
    at: float
    undisturbed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a router.

    :param exit_status: None if the process did not exit in time.
    """

    router: str
    ordered_at: float
    ended_at: float
    exit_status: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """The configuration version that a process had in force."""

    process: str
    version: int


class Observations:
    """All observations of one run, as input of the checks.

    :param list recovery: outcomes of requests after the faults had ended.
    :param dict revoked_at: time at which each key was revoked.
    :param dict left_at: time at which each endpoint was marked as draining or
        its entry was deleted.
    :param list faults: (start, end, name) of each fault.
    """

    def __init__(
        self,
        outcomes=(),
        executions=(),
        stops=(),
        versions=(),
        recovery=(),
        revoked_at=(),
        left_at=(),
        faults=(),
    ):
        self.outcomes = list(outcomes)
        self.executions = list(executions)
        self.stops = list(stops)
        self.versions = list(versions)
        self.recovery = list(recovery)
        self.revoked_at = dict(revoked_at)
        self.left_at = dict(left_at)
        self.faults = list(faults)

    def overlaps_fault(self, start, end, names):
        """Return whether a matching fault overlaps a time span.

        :param tuple names: prefixes of the names of matching faults.
        """
        return any(
            began < end and ended > start and name.startswith(names)
            for began, ended, name in self.faults
        )


def now():
    """Return the monotonic time that observations are stamped with."""
    return time.monotonic()
