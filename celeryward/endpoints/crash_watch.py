"""Notices the end of an endpoint's process under the requests it ran.

A connection also breaks when only the connection or the way fails, and when an
endpoint ends as planned. A refused connection to an endpoint that is listed
and has not announced its departure tells that its process has ended.
"""

import collections
import itertools
import time

import curio

from celeryward import awake_clock
from celeryward import deadlines
from celeryward.endpoints import crashes
from celeryward.endpoints import runners
from celeryward import errors

# Waits before the connection attempts after a broken exchange. A process that
# ends may still accept a connection in the moment after.
PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.2)
# Time after which an answer that is being written has survived the beginning.
SURVIVAL_SECONDS = 1.0
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
    """

    def __init__(self, runner, traits, is_trial=False):
        self.runner = runner
        self.traits = traits
        self.is_trial = is_trial
        self.sent_at = time.monotonic()
        # When the answer began at the soonest, in monotonic seconds.
        self.began_at = None
        # When it was first read, on the clock that stands still in pauses.
        self.read_at = None
        # Whether the process of the endpoint ended under the run.
        self.crashed = False
        # Whether the run was ended because its request is refused.
        self.aborted = False

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
        return (
            self.crashed
            and self.began_at is not None
            and not self.may_have_survived()
        )

    def is_sound(self):
        """Return whether its endpoint runs on after the answer has begun."""
        return not self.crashed and self.has_survived()

    def has_survived(self):
        """Return whether the answer has certainly been written for a while."""
        if self.read_at is None:
            return False
        return awake_clock.CLOCK() - self.read_at >= SURVIVAL_SECONDS

    def may_have_survived(self):
        """Return whether the answer may have been written for a while.

        In a pause of this process, nothing tells when it began or ended.
        """
        if self.began_at is None:
            return False
        return time.monotonic() - self.began_at >= SURVIVAL_SECONDS


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

    def begin(self, runner, traits, is_trial=False):
        """Register a run; return its :class:`WatchedRun`."""
        run = WatchedRun(runner, traits, is_trial)
        self.runs[runner.key].append(run)
        return run

    def end(self, run):
        """Remove a run that has ended."""
        under_way = self.runs[run.runner.key]
        under_way.remove(run)
        if not under_way:
            del self.runs[run.runner.key]

    def survived_parts(self, service):
        """Return the parts of answers under way that have survived them.

        :param str service: the service whose endpoints count.
        """
        survived = (
            run
            for runs in self.runs.values()
            for run in runs
            if run.runner.service == service and run.is_sound()
        )
        return frozenset(
            part
            for run in itertools.islice(survived, MAX_SURVIVED)
            for part in run.traits().parts
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
            tuple(run_traits(run) for run in selected),
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
    return (0 if not run.may_have_survived() else 2, -run.began_at)


def run_traits(run):
    """Return the traits of a run that may have caused a crash now.

    A prompt is read before the first event, so that its parts have not ended
    an endpoint that has been writing for a while.
    """
    traits = run.traits()
    if run.may_have_survived():
        return crashes.RequestTraits(traits.fingerprint)
    return traits


def common_parts(requests):
    """Return the most common parts of requests, as text for a log line."""
    counts = collections.Counter(
        part for request in requests for part in request.parts
    )
    return ' '.join(
        f'{part}:{count}' for part, count in counts.most_common(LOGGED_PARTS)
    )
