"""What recent requests say about each endpoint."""

import collections
import dataclasses
import math
import statistics
import time

from celeryward import deadlines

# Older outcomes count less; after this time they weigh 1/e.
MEMORY_SECONDS = 5.0
# An endpoint is avoided if it fails this much more of its requests than the
# others of its service, and enough requests say so.
EXCESS_FAILURE_SHARE = 0.2
MIN_FAILURE_WEIGHT = 2.5
# After a connection could not be opened.
UNREACHABLE_SECONDS = 1.0
MAX_UNREACHABLE_SECONDS = 8.0
# After it said that it is full.
FULL_SECONDS = 0.3
# An endpoint that takes this many times as long as the others is avoided.
SLOW_FACTOR = 2.5
MIN_SPEED_WEIGHT = 2.0
# Lost endpoints of a failure domain that put its others under suspicion.
MIN_LOST_OF_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Decaying sums of what requests at one endpoint came to.

    :param float seconds: time to the head of answers, for their work.
    :param float noted_at: monotonic seconds of the last change.
    """

    weight: float = 0.0
    failures: float = 0.0
    answers: float = 0.0
    seconds: float = 0.0
    noted_at: float = 0.0
    avoid_until: deadlines.Deadline = deadlines.Deadline(0.0)
    unreachable_count: int = 0

    def decayed(self, now):
        """Return the record as it counts at a later time."""
        factor = math.exp(-(now - self.noted_at) / MEMORY_SECONDS)
        return dataclasses.replace(
            self,
            weight=self.weight * factor,
            failures=self.failures * factor,
            answers=self.answers * factor,
            seconds=self.seconds * factor,
            noted_at=now,
        )

    @property
    def failure_share(self):
        """Share of the requests that failed."""
        return self.failures / self.weight if self.weight > 0 else 0.0

    @property
    def pace(self):
        """Seconds for a unit of work, or None if too little is known."""
        if self.answers < MIN_SPEED_WEIGHT:
            return None
        return self.seconds / self.answers


class Outcomes:
    """Records of all endpoints by id, and the requests in flight.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.records = {}
        self.in_flight = collections.Counter()
        self.heard_at = {}
        self.alive_at = {}
        self.lost = {}

    def record(self, runner_id):
        """Return the record of an endpoint as of now."""
        now = self.clock()
        held = self.records.get(runner_id) or Record(noted_at=now)
        return held.decayed(now)

    def heard(self, runner_id):
        """Note that the endpoint gave a sign of life."""
        self.heard_at[runner_id] = self.alive_at[runner_id] = self.clock()

    def set_lost(self, runner_id, lost):
        """Note whether the endpoint can't be reached at all."""
        if lost:
            self.lost[runner_id] = self.clock()
        else:
            self.lost.pop(runner_id, None)

    def lost_domains(self, endpoints):
        """Return the failure domains that probably can't be reached.

        :param endpoints: all :class:`runners.Runner`, of all services.
        """
        if len(self.lost) < MIN_LOST_OF_DOMAIN:
            return frozenset()
        losses = collections.defaultdict(list)
        alive_at = collections.defaultdict(float)
        for runner in endpoints:
            domain = runner.failure_domain
            seen = self.alive_at.get(runner.id, 0.0)
            alive_at[domain] = max(alive_at[domain], seen)
            if runner.id in self.lost:
                losses[domain].append(self.lost[runner.id])
        return frozenset(
            domain
            for domain, times in losses.items()
            if len(times) >= MIN_LOST_OF_DOMAIN
            and alive_at[domain] <= sorted(times)[MIN_LOST_OF_DOMAIN - 1]
        )

    def started(self, runner_id):
        """Count a request as in flight; silence counts from the first."""
        if not self.in_flight[runner_id]:
            self.heard_at[runner_id] = self.clock()
        self.in_flight[runner_id] += 1

    def finished(self, runner_id):
        """Count a request as no longer in flight."""
        self.in_flight[runner_id] -= 1
        if self.in_flight[runner_id] <= 0:
            del self.in_flight[runner_id]

    def answered(self, runner_id, seconds, work):
        """Note an answer.

        :param float seconds: time to the head of the answer.
        :param float work: size of the request; 1.0 is usual.
        """
        held = self.record(runner_id)
        self.records[runner_id] = dataclasses.replace(
            held,
            weight=held.weight + 1,
            answers=held.answers + 1,
            seconds=held.seconds + seconds / work,
            unreachable_count=0,
        )

    def failed(self, runner_id):
        """Note a request that failed after it was sent."""
        held = self.record(runner_id)
        self.records[runner_id] = dataclasses.replace(
            held, weight=held.weight + 1, failures=held.failures + 1
        )

    def unreachable(self, runner_id):
        """Note that no connection could be opened."""
        held = self.record(runner_id)
        count = held.unreachable_count + 1
        seconds = min(
            MAX_UNREACHABLE_SECONDS, UNREACHABLE_SECONDS * 2 ** (count - 1)
        )
        self.records[runner_id] = dataclasses.replace(
            held,
            unreachable_count=count,
            avoid_until=deadlines.Deadline(self.clock() + seconds),
        )

    def full(self, runner_id):
        """Note that the endpoint took no further request."""
        held = self.record(runner_id)
        until = deadlines.Deadline(self.clock() + FULL_SECONDS)
        self.records[runner_id] = dataclasses.replace(
            held, avoid_until=max(held.avoid_until, until)
        )

    def forget(self, runner_id):
        """Drop what is known of an endpoint that is gone."""
        self.records.pop(runner_id, None)
        self.heard_at.pop(runner_id, None)
        self.alive_at.pop(runner_id, None)
        self.lost.pop(runner_id, None)

    def suspects(self, runner_ids):
        """Return those endpoints that are better avoided.

        :param runner_ids: all endpoints of one service.
        """
        now = deadlines.Deadline(self.clock())
        records = {each: self.record(each) for each in runner_ids}
        shares = [record.failure_share for record in records.values()]
        usual_share = statistics.median(shares) if shares else 0.0
        paces = [record.pace for record in records.values() if record.pace]
        usual_pace = statistics.median(paces) if paces else 0.0
        return frozenset(
            runner_id
            for runner_id, record in records.items()
            if runner_id in self.lost
            or record.avoid_until > now
            or fails_more(record, usual_share)
            or is_slow(record, usual_pace)
        )


def fails_more(record, usual_share):
    """Return whether an endpoint fails more requests than others."""
    return (
        record.weight >= MIN_FAILURE_WEIGHT
        and record.failure_share > usual_share + EXCESS_FAILURE_SHARE
    )


def is_slow(record, usual_pace):
    """Return whether an endpoint takes much longer than others."""
    pace = record.pace
    return pace is not None and pace > usual_pace * SLOW_FACTOR
