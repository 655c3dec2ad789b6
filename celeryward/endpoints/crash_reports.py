"""Evidence of crashes as hosts tell it each other, with ages for times.

Hosts have no common clock. The types are bounded, for decoders that check
them.
"""

import dataclasses
import typing

import msgspec

from celeryward.endpoints import crashes
from celeryward.endpoints import harmful_requests
from celeryward import registry

# Requests and other entries of one message; below 32 KB.
MAX_ENTRIES = 256
MAX_TEXT = 200
MAX_PARTS = 64
# UTC seconds; in the year 5138.
MAX_TIME = 1e11
WRITERS = registry.Registry('evidence')

Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
Time = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME)]
Age = typing.Annotated[
    float, msgspec.Meta(ge=0, le=harmful_requests.EVIDENCE_SECONDS)
]
Parts = typing.Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_PARTS)]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedRequest:
    """A request that ran at an endpoint that crashed."""

    fingerprint: Text
    parts: Parts = ()
    is_cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash, as in :class:`crashes.Crash`."""

    endpoint: Text
    started_at: Time
    service: Text
    age_seconds: Age
    requests: typing.Annotated[
        tuple[ReportedRequest, ...],
        msgspec.Meta(max_length=crashes.MAX_MERGED_REQUESTS),
    ]
    is_trial: bool = False

    def evidence(self, now):
        """Return the :class:`crashes.Crash` on this host's clock."""
        return crashes.Crash(
            self.endpoint,
            self.started_at,
            self.service,
            now - self.age_seconds,
            tuple(
                crashes.RequestTraits(
                    each.fingerprint, each.parts, each.is_cleared
                )
                for each in self.requests
            ),
            self.is_trial,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedClearance:
    """A clearance, as in :class:`harmful_requests.Clearance`."""

    service: Text
    trait: Text
    age_seconds: Age

    def evidence(self, now):
        """Return the clearance on this host's clock."""
        return harmful_requests.Clearance(
            self.service, self.trait, now - self.age_seconds
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedTrial:
    """A trial, as in :class:`harmful_requests.Trial`."""

    service: Text
    traits: Parts
    age_seconds: Age

    def evidence(self, now):
        """Return the trial on this host's clock."""
        return harmful_requests.Trial(
            self.service, self.traits, now - self.age_seconds
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Evidence that a router has, in ages.

    :param str sender: name of the router.
    :param int next: number of the entry that follows in a list of all
        evidence; 0 after the last one.
    """

    sender: str = ''
    crashes: tuple[ReportedCrash, ...] = ()
    cleared: tuple[ReportedClearance, ...] = ()
    trials: tuple[ReportedTrial, ...] = ()
    next: int = 0


@WRITERS.register('Crash')
def write_crash(crash, now):
    """Return a crash as it is reported."""
    return ReportedCrash(
        crash.endpoint,
        crash.started_at,
        crash.service,
        max(0.0, now - crash.at),
        tuple(
            ReportedRequest(each.fingerprint, each.parts, each.is_cleared)
            for each in crash.requests
        ),
        crash.is_trial,
    )


@WRITERS.register('Clearance')
def write_clearance(clearance, now):
    """Return a clearance as it is reported."""
    age = max(0.0, now - clearance.at)
    return ReportedClearance(clearance.service, clearance.trait, age)


@WRITERS.register('Trial')
def write_trial(trial, now):
    """Return a trial as it is reported."""
    age = max(0.0, now - trial.at)
    return ReportedTrial(trial.service, trial.traits, age)


def make_report(sender, evidence, now, following=0):
    """Return the :class:`CrashReport` of some evidence.

    Evidence that has expired is left out.

    :param float now: monotonic seconds.
    :param int following: as ``next``.
    """
    written = [
        WRITERS.get(type(each).__name__)(each, now) for each in evidence
    ]
    by_type = {ReportedCrash: [], ReportedClearance: [], ReportedTrial: []}
    for each in written:
        if each.age_seconds < harmful_requests.EVIDENCE_SECONDS:
            by_type[type(each)].append(each)
    return CrashReport(sender, *map(tuple, by_type.values()), next=following)


def take_entries(evidence):
    """Return as much of some evidence as one message may have.

    :returns: at least one entry, if there is any.
    """
    taken = []
    size = 0
    for each in evidence:
        size += 1 + len(getattr(each, 'requests', ()))
        if taken and size > MAX_ENTRIES:
            break
        taken.append(each)
    return taken


def read_evidence(report, now):
    """Return the evidence of a report, the clearances first.

    :param float now: monotonic seconds.
    """
    entries = (*report.cleared, *report.crashes, *report.trials)
    return tuple(each.evidence(now) for each in entries)
