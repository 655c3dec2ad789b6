"""Passive health checks: statistics of recent requests by endpoint.

An endpoint is suspected if it can't be reached, refuses requests, or is an
outlier in failure rate or latency among the endpoints of its service.
"""

import collections
import dataclasses
import math
import statistics
import time

from celeryward import deadlines

# Time constant of the exponential decay; after it a request weighs 1/e.
DECAY_SECONDS = 5.0
# An endpoint is suspected if its failure rate exceeds the median of its
# service by this much, given the minimum decayed number of requests.
EXCESS_FAILURE_RATE = 0.2
MIN_REQUESTS = 2.5
# First back-off after a failed connect; it doubles with each further one.
UNREACHABLE_BACKOFF_SECONDS = 1.0
MAX_UNREACHABLE_BACKOFF_SECONDS = 8.0
# Back-off after the endpoint refused a request for lack of capacity.
REFUSED_BACKOFF_SECONDS = 0.3
# An endpoint is suspected if its latency exceeds the median of its service by
# this factor, given the minimum decayed number of responses.
LATENCY_FACTOR = 2.5
MIN_RESPONSES = 2.0
# Lost endpoints after which a whole failure domain counts as lost.
MIN_LOST_IN_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStatistics:
    """Exponentially decayed sums over the requests of one endpoint.

    :param float requests: requests, decayed.
    :param float failures: failed requests, decayed.
    :param float responses: responses, decayed.
    :param float seconds: sum of the times to the response head, each
        divided by the work of its request.
    :param float updated_at: monotonic seconds of the last change.
    :param deadlines.Deadline avoid_until: end of the back-off.
    :param int unreachable_count: failed connects since the last response.
    """

    requests: float = 0.0
    failures: float = 0.0
    responses: float = 0.0
    seconds: float = 0.0
    updated_at: float = 0.0
    avoid_until: deadlines.Deadline = deadlines.Deadline(0.0)
    unreachable_count: int = 0

    def decayed(self, now):
        """Return the statistics decayed to a later time."""
        factor = math.exp(-(now - self.updated_at) / DECAY_SECONDS)
        return dataclasses.replace(
            self,
            requests=self.requests * factor,
            failures=self.failures * factor,
            responses=self.responses * factor,
            seconds=self.seconds * factor,
            updated_at=now,
        )

    @property
    def failure_rate(self):
        """Fraction of the requests that failed."""
        return self.failures / self.requests if self.requests > 0 else 0.0

    @property
    def latency(self):
        """Mean seconds for a unit of work; None with too few responses."""
        if self.responses < MIN_RESPONSES:
            return None
        return self.seconds / self.responses


class OutcomeTracker:
    """Tracks the statistics and requests in flight of endpoints, by id.

    ``silent_since`` is the time from which the inactivity of an endpoint
    counts, ``last_seen_at`` that of its last activity. ``lost`` holds the
    time at which an endpoint was found unreachable.

    :param clock: function that returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.statistics = {}
        self.in_flight = collections.Counter()
        self.silent_since = {}
        self.last_seen_at = {}
        self.lost = {}

    def request_statistics(self, runner_id):
        """Return the statistics of an endpoint, decayed to now."""
        now = self.clock()
        stats = self.statistics.get(runner_id) or RequestStatistics(
            updated_at=now
        )
        return stats.decayed(now)

    def record_activity(self, runner_id):
        """Record activity: received bytes or an opened connection."""
        self.silent_since[runner_id] = self.last_seen_at[runner_id] = (
            self.clock()
        )

    def set_lost(self, runner_id, lost):
        """Set whether the endpoint counts as unreachable."""
        if lost:
            self.lost[runner_id] = self.clock()
        else:
            self.lost.pop(runner_id, None)

    def lost_domains(self, endpoints):
        """Return the failure domains that are probably unreachable.

        These are the domains with enough lost endpoints and no activity
        since then.

        :param endpoints: all :class:`runners.Runner`, of all services.
        """
        if len(self.lost) < MIN_LOST_IN_DOMAIN:
            return frozenset()
        losses = collections.defaultdict(list)
        last_seen_at = collections.defaultdict(float)
        for runner in endpoints:
            domain = runner.failure_domain
            last_seen = self.last_seen_at.get(runner.id, 0.0)
            last_seen_at[domain] = max(last_seen_at[domain], last_seen)
            if runner.id in self.lost:
                losses[domain].append(self.lost[runner.id])
        return frozenset(
            domain
            for domain, times in losses.items()
            if len(times) >= MIN_LOST_IN_DOMAIN
            and last_seen_at[domain] <= sorted(times)[MIN_LOST_IN_DOMAIN - 1]
        )

    def request_started(self, runner_id):
        """Count a request as in flight.

        The first one starts the time of inactivity.
        """
        if not self.in_flight[runner_id]:
            self.silent_since[runner_id] = self.clock()
        self.in_flight[runner_id] += 1

    def request_finished(self, runner_id):
        """Count a request as no longer in flight."""
        self.in_flight[runner_id] -= 1
        if self.in_flight[runner_id] <= 0:
            del self.in_flight[runner_id]

    def record_response(self, runner_id, seconds, work):
        """Record a response.

        :param float seconds: time to the response head.
        :param float work: relative size of the request; 1.0 is typical.
        """
        stats = self.request_statistics(runner_id)
        self.statistics[runner_id] = dataclasses.replace(
            stats,
            requests=stats.requests + 1,
            responses=stats.responses + 1,
            seconds=stats.seconds + seconds / work,
            unreachable_count=0,
        )

    def record_failure(self, runner_id):
        """Record a request that failed after it was sent."""
        stats = self.request_statistics(runner_id)
        self.statistics[runner_id] = dataclasses.replace(
            stats, requests=stats.requests + 1, failures=stats.failures + 1
        )

    def record_connect_failure(self, runner_id):
        """Record a failed connect and back off exponentially."""
        stats = self.request_statistics(runner_id)
        count = stats.unreachable_count + 1
        seconds = min(
            MAX_UNREACHABLE_BACKOFF_SECONDS,
            UNREACHABLE_BACKOFF_SECONDS * 2 ** (count - 1),
        )
        self.statistics[runner_id] = dataclasses.replace(
            stats,
            unreachable_count=count,
            avoid_until=deadlines.Deadline(self.clock() + seconds),
        )

    def record_end(self, runner_id):
        """Record that the process of an endpoint has ended, once or again."""
        if not self.request_statistics(runner_id).unreachable_count:
            self.record_connect_failure(runner_id)

    def record_refusal(self, runner_id):
        """Record that the endpoint refused a request, and back off."""
        stats = self.request_statistics(runner_id)
        until = deadlines.Deadline(self.clock() + REFUSED_BACKOFF_SECONDS)
        self.statistics[runner_id] = dataclasses.replace(
            stats, avoid_until=max(stats.avoid_until, until)
        )

    def forget(self, runner_id):
        """Drop the state of an endpoint that is gone."""
        self.statistics.pop(runner_id, None)
        self.silent_since.pop(runner_id, None)
        self.last_seen_at.pop(runner_id, None)
        self.lost.pop(runner_id, None)

    def suspects(self, runner_ids):
        """Return the ids of the endpoints to avoid.

        :param runner_ids: ids of all endpoints of one service.
        """
        now = deadlines.Deadline(self.clock())
        stats_by_id = {
            each: self.request_statistics(each) for each in runner_ids
        }
        rates = [stats.failure_rate for stats in stats_by_id.values()]
        median_rate = statistics.median(rates) if rates else 0.0
        latencies = [
            stats.latency for stats in stats_by_id.values() if stats.latency
        ]
        median_latency = statistics.median(latencies) if latencies else 0.0
        return frozenset(
            runner_id
            for runner_id, stats in stats_by_id.items()
            if runner_id in self.lost
            or stats.avoid_until > now
            or is_failure_outlier(stats, median_rate)
            or is_latency_outlier(stats, median_latency)
        )


def is_failure_outlier(stats, median_rate):
    """Return whether the failure rate is far above the median."""
    return (
        stats.requests >= MIN_REQUESTS
        and stats.failure_rate > median_rate + EXCESS_FAILURE_RATE
    )


def is_latency_outlier(stats, median_latency):
    """Return whether the latency is far above the median."""
    latency = stats.latency
    return latency is not None and latency > median_latency * LATENCY_FACTOR
