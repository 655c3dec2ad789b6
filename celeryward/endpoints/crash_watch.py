"""Notices the end of an endpoint's process under the requests it ran.

A connection also breaks when only the connection or the way fails, and when an
endpoint ends as planned. A refused connection to an endpoint that is listed
and has not announced its departure tells that its process has ended.
"""

import collections
import itertools
import math
import time

import curio

from celeryward import awake_clock
from celeryward import deadlines
from celeryward.endpoints import crashes
from celeryward.endpoints import runners
from celeryward.endpoints import survival
from celeryward import errors

# Waits before the connection attempts after a broken exchange. A process that
# ends may still accept a connection in the moment after.
PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.2)
# Time within which an answer has just begun.
BEGIN_SECONDS = 1.0
# Broken exchanges of an endpoint that are noticed after its end was found.
LATE_SECONDS = 5.0
MAX_ENDED = 1000
# Answers under way whose parts are collected at a crash.
MAX_SURVIVED = 256
# Parts that are named in a log line.
LOGGED_PARTS = 8


class WatchedRun:
    """One run of a request at an endpoint.

    :param runners.Runner runner: the endpoint.
    :param traits: function that returns the
        :class:`crashes.RequestTraits`, which are needed for crashes only.
    :param bool is_trial: whether the request runs on trial.
    :param float survival_seconds: time for which its answer has to be written
        to have survived its parts.
    """

    def __init__(
        self, runner, traits, is_trial=False, survival_seconds=math.inf
    ):
        self.runner = runner
        self.traits = traits
        self.is_trial = is_trial
        self.survival_seconds = survival_seconds
        self.sent_at = time.monotonic()
        # When the answer began at the soonest, in monotonic seconds.
        self.began_at = None
        # When it was first read, on the clock that stands still in pauses.
        self.read_at = None
        # Whether the process of the endpoint ended under the run.
        self.crashed = False
        # Whether its connection broke, for whatever reason.
        self.broken = False
        # Whether the run was ended because its request is refused.
        self.aborted = False
        # Whether the run was counted as one that its parts survived.
        self.counted = False

    def record_output(self):
        """Record that a part of the answer has arrived."""
        if self.began_at is None:
            earliest = awake_clock.CLOCK.earliest_arrival()
            self.began_at = max(self.sent_at, earliest)
            self.read_at = awake_clock.CLOCK()

    def is_waiting(self):
        """Return whether the request waits at its endpoint, not on trial."""
        return self.began_at is None and not (self.is_trial or self.aborted)

    def crashed_at_begin(self):
        """Return whether its endpoint ended when the answer had just begun."""
        return self.crashed and self.has_just_begun()

    def has_just_begun(self):
        """Return whether the answer has certainly begun just now.

        In a pause of this process, nothing tells when it began or ended.
        """
        if self.began_at is None:
            return False
        return time.monotonic() - self.began_at < BEGIN_SECONDS

    def is_sound(self):
        """Return whether its endpoint outlives the parts of its prompt."""
        return not self.has_failed() and self.has_survived()

    def has_failed(self):
        """Return whether its endpoint has ended, or may have."""
        return self.crashed or self.broken

    def has_survived(self):
        """Return whether the answer was written for far longer than usual.

        Endpoints may crash at the end of an answer, so that a shorter time
        shows nothing.
        """
        return self.written_seconds() >= self.survival_seconds

    def goes_on(self):
        """Return whether the answer goes on while none is known to be whole.

        Then nothing tells how long answers take.
        """
        return (
            not (self.has_failed() or self.is_trial)
            and math.isinf(self.survival_seconds)
            and self.written_seconds() >= BEGIN_SECONDS
        )

    def written_seconds(self):
        """Return for how long the answer has certainly been written."""
        if self.read_at is None:
            return 0.0
        return awake_clock.CLOCK() - self.read_at

    def count_survival(self):
        """Return whether the run is sound; true once only."""
        if self.counted or not self.is_sound():
            return False
        self.counted = True
        return True


class CrashWatch:
    """Follows the runs at all endpoints and reports crashes.

    ``listeners`` are coroutine functions that are called with each
    :class:`crashes.Crash`, again when more of its requests are found.

    :param table: :class:`runners.RunnerTable`.
    :param connections: :class:`pool.EndpointPool`.
    :param outcomes: :class:`outcomes.OutcomeTracker`.
    """

    def __init__(self, table, connections, outcomes):
        self.table = table
        self.outcomes = outcomes
        self.connections = connections
        self.listeners = []
        self.runs = collections.defaultdict(list)
        # Broken runs of endpoints that are being probed, by endpoint.
        self.broken = {}
        self.ended = collections.OrderedDict()
        self.durations = survival.AnswerDurations()

    def begin(self, runner, traits, is_trial=False):
        """Register a run; return its :class:`WatchedRun`."""
        run = WatchedRun(
            runner,
            traits,
            is_trial,
            self.durations.survival_seconds(runner.service),
        )
        self.runs[runner.key].append(run)
        return run

    def end(self, run):
        """Remove a run that has ended."""
        under_way = self.runs[run.runner.key]
        under_way.remove(run)
        if not under_way:
            del self.runs[run.runner.key]

    def record_whole_answer(self, run):
        """Record that the answer of a run is whole."""
        if run.read_at is not None:
            self.durations.record(run.runner.service, run.written_seconds())

    def survived_parts(self, crash):
        """Return the parts that answers under way show to be harmless.

        :param crashes.Crash crash: has the requests that were lost.
        """
        runs = [
            run
            for under_way in self.runs.values()
            for run in under_way
            if run.runner.service == crash.service
        ]
        sound = first_parts(run for run in runs if run.is_sound())
        going_on = first_parts(run for run in runs if run.goes_on())
        return frozenset().union(*sound) | survival.find_outnumbering(
            going_on, [request.parts for request in crash.requests]
        )

    async def record_break(self, run):
        """Record that the connection of a run broke; find out why.

        An end of the process is mostly known when this returns, so that it
        counts before the request is sent elsewhere.
        """
        key = run.runner.key
        if run.aborted:
            return
        if key in self.ended:
            if time.monotonic() - self.ended[key] < LATE_SECONDS:
                await self.report(run.runner, self.ended[key], [run])
            return
        if key in self.broken:
            self.broken[key].append(run)
            return
        if not self.table.is_available(run.runner):
            return
        self.broken[key] = [run]
        # A task of its own, because this one ends if the caller leaves.
        probed = curio.Event()
        await curio.spawn(
            self.probe, run.runner, time.monotonic(), probed, daemon=True
        )
        await probed.wait()

    async def probe(self, runner, broke_at, probed):
        """Find out whether the process of an endpoint has ended.

        :param curio.Event probed: is set after the first attempt.
        """
        try:
            for delay in PROBE_DELAYS_SECONDS:
                await curio.sleep(delay)
                if await self.refuses(runner):
                    await self.record_end(runner, broke_at)
                    return
                await probed.set()
        finally:
            self.broken.pop(runner.key, None)
            await probed.set()

    async def refuses(self, runner):
        """Return whether an endpoint refuses a connection."""
        limit = deadlines.Deadline.after(self.connections.connect_seconds)
        try:
            connection = await self.connections.open(runner, limit)
        except errors.ConnectionRefused:
            return True
        except errors.ConnectionFailed:
            return False
        self.connections.keep_unused(runner, connection)
        return False

    async def record_end(self, runner, at):
        """Record that the process of an endpoint has ended.

        :param float at: monotonic seconds.
        """
        self.ended[runner.key] = at
        while len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)
        under_way = self.runs.get(runner.key, ())
        found = [*self.broken.get(runner.key, ()), *under_way]
        await self.report(runner, at, list(dict.fromkeys(found)))

    async def avoid_ended(self, evidence, origin):
        """Avoid the endpoints whose processes have ended.

        A list that still has them would cost each request a connection, and
        after a few of those its answer.

        :param evidence: what this host or another one has seen; only
            :class:`crashes.Crash` counts.
        :param str origin: not used.
        """
        for crash in evidence:
            if not isinstance(crash, crashes.Crash):
                continue
            listed = self.table.runners.get(crash.endpoint)
            if listed is not None and listed.key == crash.key:
                self.outcomes.record_end(crash.endpoint)

    async def report(self, runner, at, runs):
        """Report a crash with the requests that ran at the endpoint."""
        for run in runs:
            run.crashed = True
        selected = sorted(runs, key=sort_key)[: crashes.MAX_REQUESTS]
        crash = crashes.Crash(
            runner.id,
            runner.started_at,
            runner.service,
            at,
            tuple(run.traits() for run in selected),
            any(run.is_trial for run in runs),
        )
        runners.bind_logger(
            runner,
            requests=len(runs),
            begun=sum(run.began_at is not None for run in runs),
            parts=common_parts(crash.requests),
            trial=crash.is_trial,
        ).warning('endpoint ended while it ran requests')
        for listener in self.listeners:
            await listener(crash)


def sort_key(run):
    """Return the key that puts the runs first that began just now.

    Runs whose answer has not begun follow, the oldest first.
    """
    if run.began_at is None:
        return (1, run.sent_at)
    return (0 if run.has_just_begun() else 2, -run.began_at)


def first_parts(runs):
    """Return the parts of each run, of as many as are collected."""
    return [run.traits().parts for run in itertools.islice(runs, MAX_SURVIVED)]


def common_parts(requests):
    """Return the most common parts of requests, as text for a log line."""
    counts = collections.Counter(
        part for request in requests for part in request.parts
    )
    return ' '.join(
        f'{part}:{count}' for part, count in counts.most_common(LOGGED_PARTS)
    )
