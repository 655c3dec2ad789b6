"""What callers and endpoints of a soak have seen."""

import dataclasses
import time


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One request, as its caller saw it. Times are monotonic seconds.

    :param str router: name of the router that took it.
    :param str key: key that it carried.
    :param int status: 0 if no head of an answer came.
    :param bool not_run: whether the answer says that nothing ran.
    :param bool whole: whether the answer was complete.
    :param str error: why it was not.
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

    :param bool undisturbed: whether nothing was held back on the way.
    """

    request_id: str
    endpoint: str
    at: float
    undisturbed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a router.

    :param exit_status: None if it did not end by itself.
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
    """All that was seen in one run; the checks read it.

    :param list recovery: outcomes after the faults were over.
    :param dict revoked_at: when each key was taken away.
    :param dict left_at: when the store listed an endpoint as leaving.
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
        """Return whether a fault overlaps a span of time.

        :param tuple names: what the names of such faults begin with.
        """
        return any(
            began < end and ended > start and name.startswith(names)
            for began, ended, name in self.faults
        )


def now():
    """Return the time that observations carry."""
    return time.monotonic()
