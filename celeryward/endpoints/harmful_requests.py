"""Decides which requests are refused because they crash endpoints.

A request is refused while it has all traits of a culprit, as
:mod:`celeryward.endpoints.culprits` finds them in the crashes that this host
and others have seen. An answer that a trait survives clears it, so that parts
that are everywhere are not accused of crashes with other causes. Now and then
one refused request is tried, since engines are repaired. Answers requests that
crash one endpoint after the other, at any number of hosts. Needs no network.
"""

import collections
import dataclasses
import time

from celeryward.endpoints import answered_traits
from celeryward.endpoints import crashes
from celeryward.endpoints import culprits
from celeryward.endpoints import recent_entries
from celeryward import registry

# The bounds on the state: crashes, and traits that were cleared lately.
MAX_CRASHES = 64
MAX_CLEARED = 2048
MAX_TRIALS = 256
# Time for which a crash counts, so that a request that seldom comes is found.
EVIDENCE_SECONDS = 3600.0
# Time from the last crash to the next trial; each trial that ends in a crash
# multiplies it.
TRIAL_SECONDS = 3.0
TRIAL_FACTOR = 8.0
MAX_TRIAL_SECONDS = 1800.0
# Lead of each host over the next one, so that only one of them begins a trial:
# longer than the news of it takes.
TRIAL_LEAD_SECONDS = 2.0
# Daemons notice a crash by probes, and don't know when a process has started.
SAME_CRASH_SECONDS = 3.0
# Reports of one event by several hosts differ by less than this.
SAME_TIME_SECONDS = 1.0


# How each kind of evidence is added, by the name of its class.
RECORDERS = registry.Registry('evidence')


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A trait that an answer survived, so that earlier crashes don't count.

    :param float at: monotonic seconds of this host.
    """

    service: str
    trait: str
    at: float

    @property
    def key(self):
        """Unique key of the trait."""
        return (self.service, self.trait)


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The last trial of a request with the traits of a culprit.

    :param tuple traits: in order.
    :param float at: its begin, in monotonic seconds of this host.
    """

    service: str
    traits: tuple[str, ...]
    at: float

    @property
    def key(self):
        """Unique key of the culprit."""
        return (self.service, self.traits)


class HarmfulRequests:
    """The evidence of crashes, and what follows from it.

    :param rank: function of a text that returns the place of this host in an
        order of all hosts that depends on the text, 0 for the first.
    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, rank=lambda text: 0, clock=time.monotonic):
        self.rank = rank
        self.clock = clock
        self.crashes = recent_entries.RecentEntries(MAX_CRASHES)
        self.cleared = recent_entries.RecentEntries(MAX_CLEARED)
        self.trials = recent_entries.RecentEntries(MAX_TRIALS)
        self.answered = answered_traits.AnsweredTraits()
        self.running_trials = set()
        # Rises with each change that other hosts have to know.
        self.changes = 0
        # Keys of the crashes that each trait is in, by service and trait.
        self.accused = collections.defaultdict(set)
        # Culprits by service and least number of crashes, computed when they
        # are needed.
        self.known_culprits = {}

    def has_evidence(self):
        """Return whether any request may be suspected."""
        return bool(self.accused)

    def open_crashes(self, service):
        """Return the crashes of a service that still count."""
        oldest = self.clock() - EVIDENCE_SECONDS
        return [
            crash
            for crash in self.crashes.values()
            if crash.service == service and crash.at > oldest
        ]

    def culprits(self, service, least_crashes=culprits.CRASHES_TO_REFUSE):
        """Return the culprits of a service."""
        key = (service, least_crashes)
        if key not in self.known_culprits:
            self.known_culprits[key] = tuple(
                culprits.find_culprits(
                    self.likely_crashes(service, least_crashes),
                    least_crashes,
                    self.answered_traits(service),
                )
            )
        return self.known_culprits[key]

    def likely_crashes(self, service, least_crashes):
        """Return the open crashes with the requests that may have caused them.

        These have a trait that is in enough crashes.
        """
        likely = {
            trait
            for (each, trait), keys in self.accused.items()
            if each == service
            and len(keys) >= self.least_crashes(each, trait, least_crashes)
        }
        if not likely:
            return []
        return [
            dataclasses.replace(
                crash,
                requests=tuple(
                    request.without(set(request.parts) - likely)
                    for request in crash.requests
                    if not likely.isdisjoint(request.all())
                ),
            )
            for crash in self.open_crashes(service)
        ]

    def least_crashes(self, service, trait, least_crashes):
        """Return the number of crashes from which a trait may be accused."""
        if self.answered.has(service, trait):
            return max(least_crashes, culprits.CRASHES_TO_DISTRUST)
        return least_crashes

    def answered_traits(self, service):
        """Return the accused traits that were answered before."""
        return frozenset(
            trait
            for each, trait in self.accused
            if each == service and self.answered.has(service, trait)
        )

    def find(self, service, traits):
        """Return the culprit that a request includes, or None.

        :param frozenset traits: the traits of the request.
        """
        for culprit in self.culprits(service):
            if culprit.includes(traits):
                return culprit
        return None

    def find_repeated(self, service, traits):
        """Return what a request has in common with several crashes, or None.

        Also crashes at the same moment count, because one request that is
        repeated crashes one endpoint after the other. It is not accused of
        crashes that others explain.

        :param frozenset traits: the traits of the request.
        """
        for culprit in culprits.find_culprits(self.open_crashes(service), 1):
            is_repeated = culprit.crashes >= culprits.CRASHES_TO_SUSPECT
            if is_repeated and culprit.includes(traits):
                return culprit
        return None

    def is_suspected(self, service, traits):
        """Return whether a request may run once, but not again.

        :param frozenset traits: the traits of the request.
        """
        return any(
            culprit.includes(traits)
            for culprit in self.culprits(service, culprits.CRASHES_TO_SUSPECT)
        )

    def last_trial(self, service, culprit):
        """Return the last :class:`Trial` with the traits, or None."""
        return self.trials.get((service, tuple(sorted(culprit.traits))))

    def trial_at(self, service, culprit):
        """Return when this host may try a request, in monotonic seconds."""
        last = self.last_trial(service, culprit)
        began_at = max(culprit.last_at, last.at if last else 0.0)
        pause = TRIAL_SECONDS * TRIAL_FACTOR**culprit.trials
        lead = self.rank(f'{culprit.trials} {culprit.name}')
        return (
            began_at
            + min(MAX_TRIAL_SECONDS, pause)
            + lead * TRIAL_LEAD_SECONDS
        )

    def begin_trial(self, service, culprit):
        """Begin a trial if one is due; return whether it is."""
        traits = tuple(sorted(culprit.traits))
        if (service, traits) in self.running_trials:
            return False
        if self.clock() < self.trial_at(service, culprit):
            return False
        self.running_trials.add((service, traits))
        self.record_trial(Trial(service, traits, self.clock()))
        return True

    def end_trial(self, service, culprit):
        """Allow the next trial, when it is due."""
        traits = tuple(sorted(culprit.traits))
        self.running_trials.discard((service, traits))

    @RECORDERS.register('Trial')
    def record_trial(self, trial):
        """Add the begin of a trial; return whether it was not known."""
        known = self.trials.get(trial.key)
        if known is not None and trial.at < known.at + SAME_TIME_SECONDS:
            return False
        self.trials.put(trial)
        self.changes += 1
        return True

    def identify(self, crash):
        """Return a crash with the key of the same one in other reports.

        Without the start of the process, crashes of an endpoint that are
        close together are taken for one.
        """
        if crash.started_at:
            return crash
        started_at = crash.at
        for known in self.crashes.values():
            is_same = abs(known.at - crash.at) < SAME_CRASH_SECONDS
            if known.endpoint == crash.endpoint and is_same:
                started_at = known.started_at
        return dataclasses.replace(crash, started_at=started_at)

    @RECORDERS.register('Crash')
    def record_crash(self, crash):
        """Add a crash, or what another report of it adds.

        :returns: whether that changed anything.
        """
        crash = self.identify(crash)
        known = self.crashes.get(crash.key)
        merged = crashes.merge(known, self.without_cleared(crash))
        if known is None and not merged.requests:
            return False
        if known is not None and (
            merged.requests == known.requests
            and merged.is_trial == known.is_trial
        ):
            return False
        if known is None and len(self.crashes) >= MAX_CRASHES:
            self.drop_crash(next(iter(self.crashes)))
        self.crashes.put(merged)
        self.changes += 1
        for request in merged.requests:
            for trait in request.all():
                self.accused[(merged.service, trait)].add(merged.key)
        self.known_culprits.clear()
        return True

    def without_cleared(self, crash):
        """Return a crash without the traits that were cleared after it."""
        cleared = {
            trait
            for request in crash.requests
            for trait in request.all()
            if self.is_cleared(crash, trait)
        }
        return crash.without(cleared) if cleared else crash

    def is_cleared(self, crash, trait):
        """Return whether an answer survived a trait after a crash."""
        clearance = self.cleared.get((crash.service, trait))
        return clearance is not None and clearance.at >= crash.at

    def clearances(self, service, traits):
        """Return the :class:`Clearance` of each trait that is accused.

        :param traits: the traits that an answer shows to be harmless.
        """
        now = self.clock()
        return tuple(
            Clearance(service, trait, now)
            for trait in traits
            if (service, trait) in self.accused
        )

    def survivals(self, crash, parts):
        """Return the :class:`Clearance` of each accused part that survived.

        :param crashes.Crash crash: is not recorded yet.
        :param parts: the parts of answers that go on elsewhere.
        """
        now = self.clock()
        accused = crash.traits()
        return tuple(
            Clearance(crash.service, part, now)
            for part in parts
            if part in accused or (crash.service, part) in self.accused
        )

    @RECORDERS.register('Clearance')
    def record_clearance(self, clearance):
        """Clear a trait; return whether other hosts have to know.

        A clearance that arrives before its crash is remembered.
        """
        known = self.cleared.get(clearance.key)
        if known is not None and known.at >= clearance.at:
            return False
        is_accused = clearance.key in self.accused
        is_new = known is None or (clearance.at > known.at + SAME_TIME_SECONDS)
        if not (is_accused or is_new):
            return False
        self.cleared.put(clearance)
        self.answered.record_parts(clearance.service, (clearance.trait,))
        self.changes += 1
        if is_accused:
            self.clear_crashes(clearance)
        return True

    def clear_crashes(self, clearance):
        """Drop a cleared trait from the crashes before its clearance."""
        for key in tuple(self.accused[clearance.key]):
            crash = self.crashes.get(key)
            if crash.at > clearance.at:
                continue
            left = crash.without({clearance.trait})
            self.drop_crash(key, keep=left if left.requests else None)

    def drop_crash(self, key, keep=None):
        """Drop a crash from the evidence.

        :param keep: what is kept of it, or None.
        """
        crash = self.crashes.get(key)
        kept = set()
        if keep is None:
            del self.crashes[key]
        else:
            self.crashes[key] = keep
            kept = keep.traits()
        for trait in crash.traits() - kept:
            keys = self.accused[(crash.service, trait)]
            keys.discard(key)
            if not keys:
                del self.accused[(crash.service, trait)]
        self.known_culprits.clear()

    def record(self, evidence):
        """Add a crash, a clearance or a trial; return whether it was new."""
        return RECORDERS.get(type(evidence).__name__)(self, evidence)

    def evidence(self):
        """Yield all evidence, the clearances first."""
        yield from self.cleared.values()
        yield from self.crashes.values()
        yield from self.trials.values()
