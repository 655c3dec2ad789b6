"""Recognises requests that crash the endpoints that run them.

A request that runs in a crash becomes a suspect. A suspect runs on
probation: alone among suspects, on an endpoint that gets no other new work.
A request that ran in two crashes is refused, unless a proven culprit ran in
them too; an answer clears it. A proven culprit crashed during a probation.
"""

import dataclasses
import hashlib
import time
import unicodedata
import uuid

import result

from celeryward import calls
from celeryward import errors

CRASHES_TO_REFUSE = 2
DIGEST_BYTES = 16
# Long enough for a caller's retries, short enough that a repaired engine
# runs the request again within the hour.
EVIDENCE_SECONDS = 3600.0
# Daemons see one crash within a probe timeout and the age of their clocks.
SAME_CRASH_SECONDS = 3.0
# Two rounds of gossip.
VERDICT_SECONDS = 2.0
# About 5 MB; the oldest evidence goes first.
MAX_EVIDENCE = 10000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """One crash of an endpoint, as one daemon saw it.

    :param bool alone: whether the request was on probation there. Such a
        crash counts even if the endpoint has crashed before; others count
        once for each endpoint, because several daemons report the same one.
    :param float at: seconds on the clock of the owner; in exported evidence
        relative to the time of the export.
    """

    endpoint: str
    alone: bool
    id: str
    at: float = dataclasses.field(compare=False, default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one fingerprint. Both sets only grow.

    :param frozenset crashes: crashes in which the request ran.
    :param frozenset cleared: those that a later answer has refuted.
    :param float expires_at: seconds on the clock of the owner.
    :param int revision: of the owner, when this last changed.
    """

    fingerprint: str
    crashes: frozenset = frozenset()
    cleared: frozenset = frozenset()
    expires_at: float = 0.0
    revision: int = 0

    def endpoints(self):
        """Return the endpoints whose crashes still count."""
        return frozenset(crash.endpoint for crash in self.open_crashes())

    def open_crashes(self):
        """Return the crashes that still count."""
        return self.crashes - self.cleared

    def proven(self):
        """Return whether a probation has confirmed the suspicion."""
        crashes = self.open_crashes()
        alone = any(crash.alone for crash in crashes)
        return alone and count(crashes) >= CRASHES_TO_REFUSE


@dataclasses.dataclass(frozen=True, slots=True)
class ExportedEvidence:
    """Evidence for other daemons, whose clocks differ.

    :param float seconds_left: time until it expires.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    cleared: tuple[Crash, ...]
    seconds_left: float


def count(crashes):
    """Return the number of crashes, each endpoint counted as one."""
    return len({(crash.endpoint, crash.alone) for crash in crashes})


def normalise(text):
    """Return a text without differences that retries may introduce."""
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
        yield normalise(message.content).encode(errors='surrogatepass')


def shift(crashes, seconds):
    """Return crashes in a fixed order with their times shifted."""
    moved = (
        dataclasses.replace(crash, at=crash.at + seconds) for crash in crashes
    )
    return tuple(sorted(moved, key=lambda crash: crash.id))


class Fingerprints:
    """Evidence of this daemon and of its peers, and open probations.

    :param clock: function that returns monotonic seconds.
    :param new_id: function that returns unique ids of crashes.
    """

    def __init__(self, clock=time.monotonic, new_id=None):
        self.clock = clock
        self.new_id = new_id or (lambda: uuid.uuid4().hex[:12])
        self.evidence = {}
        self.revision = 0
        self.probations = {}
        self.explained = {}
        self.answers = {}

    def active(self):
        """Return whether there is any evidence to look up.

        Without any, no request needs a fingerprint. The oldest comes first.
        """
        now = self.clock()
        while self.evidence:
            oldest = next(iter(self.evidence.values()))
            if oldest.expires_at > now:
                return True
            del self.evidence[oldest.fingerprint]
        self.answers.clear()
        return False

    def find(self, fingerprint):
        """Return the :class:`Evidence` of a fingerprint."""
        found = self.evidence.get(fingerprint)
        if found is not None and found.expires_at <= self.clock():
            del self.evidence[fingerprint]
            found = None
        return found or Evidence(fingerprint)

    def endpoints(self, fingerprint):
        """Return the endpoints that crashed while the request ran."""
        return self.find(fingerprint).endpoints()

    def check(self, fingerprint):
        """Return ``Ok``, or ``Err(HarmfulRequest)`` for a refused request."""
        known = self.find(fingerprint)
        crashed = count(known.open_crashes())
        if not self.proven(known):
            crashed = count(self.unexplained(known))
        if crashed < CRASHES_TO_REFUSE:
            return result.Ok(None)
        return result.Err(
            errors.HarmfulRequest(
                f'endpoints crashed {crashed} times while running it',
                step='select',
                peer='',
            )
        )

    def proven(self, known):
        """Return whether a request is a proven culprit.

        Suspects of two daemons may be on probation at one endpoint; one that
        was answered not long before is then the less likely culprit.
        """
        return known.proven() and known.fingerprint not in self.answers

    def pending(self, fingerprint):
        """Return whether a refusal should wait for evidence of peers.

        Two crashes without a probation may be explained by a culprit that
        another daemon ran; its evidence arrives with the next gossip.
        """
        known = self.find(fingerprint)
        if self.proven(known):
            return False
        newest = max((crash.at for crash in known.crashes), default=0.0)
        return self.clock() - newest < VERDICT_SECONDS

    def unexplained(self, known):
        """Return the crashes in which no proven culprit ran."""
        return {
            crash
            for crash in known.open_crashes()
            if not any(
                abs(crash.at - at) < SAME_CRASH_SECONDS
                for at in self.explained.get(crash.endpoint, ())
            )
        }

    def is_suspect(self, fingerprint):
        """Return whether the request has run in a crash."""
        return bool(self.endpoints(fingerprint))

    def begin_probation(self, endpoint, fingerprint):
        """Note that a suspect begins to run at an endpoint."""
        self.probations[endpoint] = fingerprint

    def end_probation(self, endpoint, fingerprint):
        """Note that the suspect has its first token, or has failed."""
        if self.probations.get(endpoint) == fingerprint:
            del self.probations[endpoint]

    def crashed(self, endpoint, fingerprint):
        """Note that a request failed in the crash of an endpoint.

        A request on probation there failed too; it is noted first, since
        its evidence may explain the crash for the others.
        """
        suspect = self.probations.get(endpoint)
        for failed in dict.fromkeys((suspect or fingerprint, fingerprint)):
            known = self.find(failed)
            crash = Crash(
                endpoint, failed == suspect, self.new_id(), self.clock()
            )
            self.store(known, known.crashes | {crash}, known.cleared)

    def answered(self, fingerprint):
        """Note a whole answer, which refutes all crashes known so far."""
        self.answers.pop(fingerprint, None)
        self.answers[fingerprint] = self.clock()
        if len(self.answers) > MAX_EVIDENCE:
            del self.answers[next(iter(self.answers))]
        known = self.evidence.get(fingerprint)
        if known is not None and known.crashes - known.cleared:
            self.store(known, known.crashes, known.crashes)

    def store(self, known, crashes, cleared, seconds=EVIDENCE_SECONDS):
        """Replace the evidence of a fingerprint."""
        self.revision += 1
        expires_at = max(known.expires_at, self.clock() + seconds)
        changed = dataclasses.replace(
            known,
            crashes=crashes,
            cleared=cleared,
            expires_at=expires_at,
            revision=self.revision,
        )
        self.evidence.pop(known.fingerprint, None)
        self.evidence[known.fingerprint] = changed
        if self.proven(changed):
            self.explain(changed)
        if len(self.evidence) > MAX_EVIDENCE:
            del self.evidence[next(iter(self.evidence))]

    def explain(self, culprit):
        """Note the crashes of a proven culprit as explained."""
        oldest = self.clock() - EVIDENCE_SECONDS
        for crash in culprit.open_crashes():
            kept = {
                at
                for at in self.explained.get(crash.endpoint, ())
                if at > oldest
            }
            self.explained[crash.endpoint] = frozenset(kept | {crash.at})

    def export(self, since=0):
        """Return the evidence that changed after a revision, for peers.

        :param int since: value of ``revision`` at the previous export.
        """
        now = self.clock()
        return tuple(
            ExportedEvidence(
                known.fingerprint,
                shift(known.crashes, -now),
                shift(known.cleared, -now),
                known.expires_at - now,
            )
            for known in self.evidence.values()
            if known.revision > since and known.expires_at > now
        )

    def merge(self, exported):
        """Take over evidence of peers, in any order and any number of times.

        :returns: the number of fingerprints with something new.
        """
        return sum(self.merge_one(entry) for entry in exported)

    def merge_one(self, entry):
        """Take over one entry; return whether it held something new."""
        known = self.find(entry.fingerprint)
        now = self.clock()
        crashes = known.crashes.union(shift(entry.crashes, now))
        cleared = known.cleared.union(shift(entry.cleared, now))
        if (crashes, cleared) == (known.crashes, known.cleared):
            return False
        seconds = min(EVIDENCE_SECONDS, entry.seconds_left)
        self.store(known, crashes, cleared, seconds)
        return True
