"""Observations of a run by its callers, endpoints and fault injection."""

import dataclasses
import math
import time

# Name of the span in which a planned stop finds its router suspended. Other
# than 'router-pause' it interrupts no request and excuses no late stop.
SUSPENSION = 'suspended-router'


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
    :param written_at: when head and body had been written; None if they were
        not.
    :param bool left_early: whether the caller was to leave early.
    :param bool reused: whether the connection had carried a request before.
    :param float deadline_seconds: deadline that the request named.
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
    written_at: float | None = None
    left_early: bool = False
    reused: bool = False
    deadline_seconds: float = math.inf


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
class Abandonment:
    """A run whose connection the router closed before the answer ended."""

    request_id: str
    endpoint: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that an endpoint turned away, and the pause it asked for.

    :param float until: end of the pause.
    :param bool undisturbed: as in :class:`Execution`.
    """

    request_id: str
    endpoint: str
    at: float
    until: float
    undisturbed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """An answer in which an endpoint said that it leaves."""

    request_id: str
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class HarmfulArrival:
    """A request with a part that crashes endpoints, at an endpoint."""

    part: str
    request_id: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrash:
    """The crash of an endpoint by a part."""

    part: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time span of a fault.

    :param str target: name of the router or endpoint; empty for others.
    """

    began: float
    ended: float
    name: str
    target: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Timeout:
    """The timeout of all routes from a configuration version on."""

    at: float
    seconds: float


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
    :param list faults: the :class:`FaultSpan` of each fault.
    :param list abandoned: runs that a router gave up.
    :param set broken_off: requests whose answer an endpoint broke off or
        made unusable.
    :param list turned_away: the :class:`Refusal` of each request that an
        endpoint asked a pause for.
    :param list announced: the :class:`Announcement` of each answer of an
        endpoint that leaves.
    :param list timeouts: the :class:`Timeout` of each configuration.
    :param set small_answers: requests that a small model answered whose
        larger one failed.
    :param list harmful: the :class:`HarmfulArrival` of each request with a
        part that crashes endpoints.
    :param list crashes: the :class:`PartCrash` of each crash by a part.
    :param dict memory: peak memory of the process of each router, in bytes.
    :param bool strict: whether silence excuses no end of a request.
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
        abandoned=(),
        broken_off=(),
        timeouts=(),
        turned_away=(),
        announced=(),
        small_answers=(),
        harmful=(),
        crashes=(),
        memory=(),
        strict=False,
    ):
        self.outcomes = list(outcomes)
        self.executions = list(executions)
        self.stops = list(stops)
        self.versions = list(versions)
        self.recovery = list(recovery)
        self.revoked_at = dict(revoked_at)
        self.left_at = dict(left_at)
        self.faults = list(faults)
        self.abandoned = list(abandoned)
        self.broken_off = set(broken_off)
        self.timeouts = list(timeouts)
        self.turned_away = list(turned_away)
        self.announced = list(announced)
        self.small_answers = set(small_answers)
        self.harmful = list(harmful)
        self.crashes = list(crashes)
        self.memory = dict(memory)
        self.strict = strict

    def record_memory(self, router, size):
        """Record the peak memory of a router's process, in bytes."""
        self.memory[router] = max(size, self.memory.get(router, 0))

    def overlaps_fault(self, start, end, names, target=None):
        """Return whether a matching fault overlaps a time span.

        :param tuple names: prefixes of the names of matching faults.
        :param str target: target of matching faults; None for any.
        """
        return any(
            span.began < end
            and span.ended > start
            and span.name.startswith(names)
            and target in (None, span.target)
            for span in self.faults
        )

    def resumptions(self, router, at):
        """Return when a router goes on that is suspended at a time."""
        return [
            span.ended
            for span in self.faults
            if span.name == SUSPENSION
            and span.target == router
            and span.began <= at <= span.ended
        ]


def now():
    """Return the monotonic time that observations are stamped with."""
    return time.monotonic()
