"""Remembers which traits requests with whole answers had.

Answers crashes while nothing is answered, so that no answer clears what sound
requests share. Needs no network.
"""

from celeryward.endpoints import recent_entries

# Bounds on the parts, and on the fingerprints.
MAX_ANSWERED = 4096


class AnsweredTraits:
    """Traits of whole answers, which may be in no crash.

    Fingerprints are bounded apart from parts, since most of them come once.
    """

    def __init__(self):
        self.parts = recent_entries.RecentKeys(MAX_ANSWERED)
        self.fingerprints = recent_entries.RecentKeys(MAX_ANSWERED)

    def record(self, service, traits):
        """Record the :class:`crashes.RequestTraits` of a whole answer."""
        self.record_parts(service, traits.parts)
        self.fingerprints.add((service, traits.fingerprint))

    def record_parts(self, service, parts):
        """Record the parts of a whole answer."""
        for part in parts:
            self.parts.add((service, part))

    def has(self, service, trait):
        """Return whether a request with a trait was answered."""
        key = (service, trait)
        return key in self.parts or key in self.fingerprints
