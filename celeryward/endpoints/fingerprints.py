"""Detects requests that crash the endpoints on which they run.

A request that is running when its endpoint crashes becomes a suspect. A
suspect is retried on probation: on an endpoint that gets no other suspect and
no other new work meanwhile. A request with two crashes is refused, unless the
crashes are attributed to a confirmed harmful request that ran at the same
time. A request is confirmed harmful if one of its crashes happened on
probation. A complete response clears a suspect.
"""

import dataclasses
import hashlib
import time
import unicodedata
import uuid

import result

from celeryward import calls
from celeryward.endpoints import crashes
from celeryward import errors

CRASHES_TO_REFUSE = 2
DIGEST_BYTES = 16
# Long enough to cover the retries of a caller, and short enough that a
# repaired engine runs the request again within the hour.
EVIDENCE_SECONDS = 3600.0
# Observations of one crash by several daemons differ by up to the probe
# timeout plus the age of the exchanged times.
SAME_CRASH_SECONDS = 3.0
# Time for the evidence of peers to arrive: two rounds of gossip.
DECISION_DELAY_SECONDS = 2.0
# About 5 MB; the oldest evidence is evicted first.
MAX_EVIDENCE = 10000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an endpoint, as observed by one daemon.

    :param bool alone: whether the request was on probation there. Such a
        crash counts in addition to another one of the same endpoint; all
        others count once for each endpoint, because several daemons report
        the same crash.
    :param float at: monotonic seconds of this daemon; in exported evidence
        relative to the time of the export.
    """

    endpoint: str
    alone: bool
    id: str
    at: float = dataclasses.field(compare=False, default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The crashes of one fingerprint. Both sets are grow-only, for merging.

    :param frozenset crashes: crashes during which the request was running.
    :param frozenset cleared: those that were cleared by a later response.
    :param float expires_at: monotonic seconds of this daemon.
    :param int revision: local revision of the last change.
    """

    fingerprint: str
    crashes: frozenset = frozenset()
    cleared: frozenset = frozenset()
    expires_at: float = 0.0
    revision: int = 0

    def crashed_endpoints(self):
        """Return the names of the endpoints of the open crashes."""
        return frozenset(crash.endpoint for crash in self.open_crashes())

    def open_crashes(self):
        """Return the crashes that are not cleared."""
        return self.crashes - self.cleared

    def is_confirmed(self):
        """Return whether a crash on probation has confirmed another one."""
        crashes = self.open_crashes()
        alone = any(crash.alone for crash in crashes)
        return alone and count_crashes(crashes) >= CRASHES_TO_REFUSE


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedEvidence:
    """Evidence in a message to peers, with relative times.

    :param float seconds_left: time until it expires.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    cleared: tuple[Crash, ...]
    seconds_left: float


def count_crashes(crashes):
    """Return the number of distinct crashes.

    Crashes of one endpoint count once, and once more if on probation.
    """
    return len({(crash.endpoint, crash.alone) for crash in crashes})


def normalise_text(text):
    """Normalise Unicode and white space, which retries may change."""
    return ' '.join(unicodedata.normalize('NFKC', text).split())


def fingerprint_request(model, request):
    """Return the fingerprint of a request as hexadecimal digits.

    Sampling parameters and streaming are left out, because retries may
    change them.

    :param str model: name of the model or plain service.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in request_parts(model, request):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def request_parts(model, request):
    """Yield the parts of a request that identify its content, as bytes."""
    yield model.encode()
    if isinstance(request, calls.ServiceRequest):
        yield request.method.encode()
        yield request.target.encode()
        yield request.body
        return
    for message in request.messages:
        yield message.role.encode()
        yield normalise_text(message.content).encode(errors='surrogatepass')


def shared_messages(request):
    """Return a trait for each message that other requests may share.

    The last message belongs to the request itself.
    """
    if isinstance(request, calls.ServiceRequest):
        return ()
    return crashes.traits_of_parts(
        [hash_message(message) for message in request.messages]
    )


def hash_message(message):
    """Return the hash of a message as hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(message.role.encode() + b'\0')
    text = normalise_text(message.content)
    digest.update(text.encode(errors='surrogatepass'))
    return digest.hexdigest()


def shift_times(reported, seconds):
    """Return crashes with shifted times, ordered by id."""
    shifted = (
        dataclasses.replace(crash, at=crash.at + seconds) for crash in reported
    )
    return tuple(sorted(shifted, key=lambda crash: crash.id))


class SuspectRequests:
    """Requests suspected of crashing endpoints, and their probations.

    ``evidence_by_fingerprint`` holds the :class:`Evidence` of this daemon and
    its peers. ``probations`` holds the fingerprint of the suspect that
    runs on probation, by endpoint. ``attributed_crash_times`` holds, by
    endpoint, the times of crashes that confirmed harmful requests caused.
    ``answered_at`` holds the time of the last response by fingerprint.

    :param clock: function that returns monotonic seconds.
    :param new_id: function that returns unique ids of crashes.
    """

    def __init__(self, clock=time.monotonic, new_id=None):
        self.clock = clock
        self.new_id = new_id or (lambda: uuid.uuid4().hex[:12])
        self.evidence_by_fingerprint = {}
        self.revision = 0
        self.probations = {}
        self.attributed_crash_times = {}
        self.answered_at = {}

    def has_evidence(self):
        """Return whether there is any evidence that has not expired.

        Without any, no request needs a fingerprint. Entries are kept in the
        order of their last change, the oldest first.
        """
        now = self.clock()
        while self.evidence_by_fingerprint:
            oldest = next(iter(self.evidence_by_fingerprint.values()))
            if oldest.expires_at > now:
                return True
            del self.evidence_by_fingerprint[oldest.fingerprint]
        self.answered_at.clear()
        return False

    def find(self, fingerprint):
        """Return the :class:`Evidence` of a fingerprint."""
        found = self.evidence_by_fingerprint.get(fingerprint)
        if found is not None and found.expires_at <= self.clock():
            del self.evidence_by_fingerprint[fingerprint]
            found = None
        return found or Evidence(fingerprint)

    def crashed_endpoints(self, fingerprint):
        """Return the endpoints that crashed while running the request."""
        return self.find(fingerprint).crashed_endpoints()

    def check(self, fingerprint):
        """Return ``Ok``, or ``Err(HarmfulRequest)`` for a harmful request."""
        evidence = self.find(fingerprint)
        crashed = count_crashes(evidence.open_crashes())
        if not self.is_confirmed_harmful(evidence):
            crashed = count_crashes(self.unattributed_crashes(evidence))
        if crashed < CRASHES_TO_REFUSE:
            return result.Ok(None)
        return result.Err(
            errors.HarmfulRequest(
                f'endpoints crashed {crashed} times while running it',
                step='select',
                peer='',
            )
        )

    def is_confirmed_harmful(self, evidence):
        """Return whether a request is confirmed harmful.

        Suspects of two daemons may be on probation at the same endpoint; one
        that was answered recently is then the less likely cause.
        """
        return (
            evidence.is_confirmed()
            and evidence.fingerprint not in self.answered_at
        )

    def is_undecided(self, fingerprint):
        """Return whether the decision has to wait for evidence of peers.

        Two crashes without a probation may have been caused by a request of
        another daemon; its evidence arrives with the next gossip round.
        """
        evidence = self.find(fingerprint)
        if self.is_confirmed_harmful(evidence):
            return False
        newest = max((crash.at for crash in evidence.crashes), default=0.0)
        return self.clock() - newest < DECISION_DELAY_SECONDS

    def unattributed_crashes(self, evidence):
        """Return the open crashes that no confirmed request has caused."""
        return {
            crash
            for crash in evidence.open_crashes()
            if not any(
                abs(crash.at - at) < SAME_CRASH_SECONDS
                for at in self.attributed_crash_times.get(crash.endpoint, ())
            )
        }

    def is_suspect(self, fingerprint):
        """Return whether the request has open crashes."""
        return bool(self.crashed_endpoints(fingerprint))

    def begin_probation(self, endpoint, fingerprint):
        """Record that a suspect starts to run at an endpoint."""
        self.probations[endpoint] = fingerprint

    def end_probation(self, endpoint, fingerprint):
        """End a probation after its first token or its failure."""
        if self.probations.get(endpoint) == fingerprint:
            del self.probations[endpoint]

    def record_crash(self, endpoint, fingerprint):
        """Record that a request failed because its endpoint crashed.

        A request on probation there failed too; it is recorded first, so
        that the crash can be attributed to it and not to the others.
        """
        suspect = self.probations.get(endpoint)
        for each in dict.fromkeys((suspect or fingerprint, fingerprint)):
            evidence = self.find(each)
            crash = Crash(
                endpoint, each == suspect, self.new_id(), self.clock()
            )
            self.store(evidence, evidence.crashes | {crash}, evidence.cleared)

    def record_response(self, fingerprint):
        """Record a complete response, which clears all crashes so far."""
        self.answered_at.pop(fingerprint, None)
        self.answered_at[fingerprint] = self.clock()
        if len(self.answered_at) > MAX_EVIDENCE:
            del self.answered_at[next(iter(self.answered_at))]
        evidence = self.evidence_by_fingerprint.get(fingerprint)
        if evidence is not None and evidence.crashes - evidence.cleared:
            self.store(evidence, evidence.crashes, evidence.crashes)

    def store(self, evidence, crashes, cleared, seconds=EVIDENCE_SECONDS):
        """Replace the evidence of a fingerprint by its next revision."""
        self.revision += 1
        expires_at = max(evidence.expires_at, self.clock() + seconds)
        changed = dataclasses.replace(
            evidence,
            crashes=crashes,
            cleared=cleared,
            expires_at=expires_at,
            revision=self.revision,
        )
        self.evidence_by_fingerprint.pop(evidence.fingerprint, None)
        self.evidence_by_fingerprint[evidence.fingerprint] = changed
        if self.is_confirmed_harmful(changed):
            self.attribute_crashes(changed)
        if len(self.evidence_by_fingerprint) > MAX_EVIDENCE:
            del self.evidence_by_fingerprint[
                next(iter(self.evidence_by_fingerprint))
            ]

    def attribute_crashes(self, confirmed):
        """Attribute crashes to a request that is confirmed harmful."""
        oldest = self.clock() - EVIDENCE_SECONDS
        for crash in confirmed.open_crashes():
            recent = {
                at
                for at in self.attributed_crash_times.get(crash.endpoint, ())
                if at > oldest
            }
            self.attributed_crash_times[crash.endpoint] = frozenset(
                recent | {crash.at}
            )

    def export(self, since=0):
        """Return the evidence that changed after a revision, for peers.

        :param int since: value of ``revision`` at the previous export.
        """
        now = self.clock()
        return tuple(
            ExportedEvidence(
                evidence.fingerprint,
                shift_times(evidence.crashes, -now),
                shift_times(evidence.cleared, -now),
                evidence.expires_at - now,
            )
            for evidence in self.evidence_by_fingerprint.values()
            if evidence.revision > since and evidence.expires_at > now
        )

    def merge(self, exported):
        """Merge evidence of peers; commutative and idempotent.

        :returns: the number of fingerprints with new evidence.
        """
        return sum(self.merge_entry(entry) for entry in exported)

    def merge_entry(self, entry):
        """Merge one entry; return whether it contained new evidence."""
        evidence = self.find(entry.fingerprint)
        now = self.clock()
        crashes = evidence.crashes.union(shift_times(entry.crashes, now))
        cleared = evidence.cleared.union(shift_times(entry.cleared, now))
        if (crashes, cleared) == (evidence.crashes, evidence.cleared):
            return False
        seconds = min(EVIDENCE_SECONDS, entry.seconds_left)
        self.store(evidence, crashes, cleared, seconds)
        return True
