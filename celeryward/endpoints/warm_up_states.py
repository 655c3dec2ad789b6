"""What a router knows of one cold endpoint, and a slot there.

Answers restarts of endpoints under load. Needs no network.
"""

import dataclasses
import math

from celeryward.endpoints import closures


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUp:
    """What is known of one run of an endpoint that may be cold.

    All times are on the boot-time clock.

    :param tuple key: key of the run.
    :param str service: its service.
    :param float listed_at: when it was listed first.
    :param float age: seconds since its start by then, infinite if it isn't
        cold by its start.
    :param float cold_until: end of the cold time that it has stated.
    :param float cold_since: since when this router knows that it is cold.
    :param float phase: random position of the first slot, from 0 to 1.
    :param float earliest_slot: time before which there is no slot because one
        was taken.
    """

    key: tuple[str, float]
    service: str
    listed_at: float
    age: float
    cold_until: float = -math.inf
    cold_since: float = -math.inf
    phase: float = 0.0
    earliest_slot: float = -math.inf

    def warm_at(self, rule):
        """Return when the warm-up ends, -inf if there was none.

        Times of day differ by up to ``closures.CLOCK_ERROR_SECONDS``.
        """
        left = rule.cold_seconds + closures.CLOCK_ERROR_SECONDS - self.age
        if left <= 0.0 or rule.cold_seconds <= 0.0:
            return self.cold_until
        by_start = self.listed_at + min(rule.cold_seconds, left)
        return max(self.cold_until, by_start)

    def next_slot(self, spacing):
        """Return when the next slot begins."""
        return max(self.earliest_slot, self.cold_since + self.phase * spacing)


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Permission to send one request to a cold endpoint.

    :param tuple key: key of the run of the endpoint.
    :param float until: when it expires, on the boot-time clock.
    """

    key: tuple[str, float]
    until: float
