"""Tells why a request is sent although such requests crashed endpoints.

Answers requests that go on to crash endpoints: the log then shows which
evidence the router held of each. Needs no network.
"""

import dataclasses

from celeryward.endpoints import culprits
from celeryward.endpoints import recent_entries

# Clearances that are told of, and the lines of one second.
CLEARED_SECONDS = 10.0
MAX_LINES_PER_SECOND = 10
# Pause between two lines on one trait.
TRAIT_PAUSE_SECONDS = 1.0
MAX_TRAITS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HeldEvidence:
    """Evidence on the trait of a request that is in the most crashes.

    :param int crashes: number of crashes that still count.
    :param int moments: number of moments with such a crash.
    :param float age_seconds: age of the last crash or of the clearance.
    :param str allowed: why the request is sent.
    """

    trait: str
    crashes: int
    moments: int
    age_seconds: float
    allowed: str


def find_evidence(harmful, service, traits, is_trial=False):
    """Return the :class:`HeldEvidence` on a request, or None.

    :param harmful_requests.HarmfulRequests harmful: the evidence.
    :param frozenset traits: the traits of the request.
    :param bool is_trial: whether the request is sent on trial.
    """
    accused = [each for each in traits if (service, each) in harmful.accused]
    if not accused:
        return find_clearance(harmful, service, traits)
    trait = max(
        accused, key=lambda each: (len(harmful.accused[(service, each)]), each)
    )
    keys = harmful.accused[(service, trait)]
    times = [harmful.crashes.get(key).at for key in keys]
    moments = culprits.count_moments(times)
    return HeldEvidence(
        trait,
        len(times),
        moments,
        harmful.clock() - max(times),
        'trial' if is_trial else explain(harmful, service, trait, moments),
    )


def explain(harmful, service, trait, moments):
    """Return why a trait that is in crashes isn't refused."""
    if moments < culprits.CRASHES_TO_REFUSE:
        return 'too few crashes'
    needed = harmful.least_crashes(service, trait, culprits.CRASHES_TO_REFUSE)
    if moments < needed:
        return 'answered before'
    return 'other suspects at these crashes'


def find_clearance(harmful, service, traits):
    """Return the evidence of a trait that was cleared just now, or None."""
    oldest = harmful.clock() - CLEARED_SECONDS
    for trait in sorted(traits):
        clearance = harmful.cleared.get((service, trait))
        if clearance is not None and clearance.at > oldest:
            age = harmful.clock() - clearance.at
            return HeldEvidence(trait, 0, 0, age, 'cleared by an answer')
    return None


class LineLimit:
    """Bounds the log lines, in all and on each trait.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.logged_at = recent_entries.RecentKeys(MAX_TRAITS)
        self.second = 0
        self.lines = 0

    def allows(self, trait):
        """Return whether a line on a trait may be written; count it."""
        now = self.clock()
        if (
            now - self.logged_at.get(trait, float('-inf'))
            < TRAIT_PAUSE_SECONDS
        ):
            return False
        if int(now) != self.second:
            self.second, self.lines = int(now), 0
        if self.lines >= MAX_LINES_PER_SECOND:
            return False
        self.lines += 1
        self.logged_at.add(trait, now)
        return True
