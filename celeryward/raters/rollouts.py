"""Rollouts: a sequential test of two model versions, and the decisions.

Each request to the new version is paired with one to the old version of
the same kind. Under the null hypothesis that both versions are equal, each
of a pair is the worse with probability 1/2; the signs of the pairs are
tested by Wald's sequential probability ratio test. It needs no estimate of
the old version's own rates.
"""

import collections
import dataclasses
import enum
import math

from celeryward import catalog
from celeryward import errors
from celeryward import registry

SIGNALS = registry.Registry('roll-out signal')

# Share of new sessions on the new version in each stage; a rollout that
# passes the last stage is finished.
STAGE_SHARES = (0.01, 0.05, 0.25, 0.5)
# Highest probability that a rollout of an equally good version is halted,
# over all of its stages and signals.
FALSE_HALT_RATE = 0.01
# Highest probability that the rollout of a version finishes although one
# signal is as bad as under the hypothesis of a bad version.
MISSED_DETECTION_RATE = 0.05
# Unpaired observations that are kept for each signal, kind and version.
MAX_UNPAIRED = 32


class Verdict(enum.Enum):
    """Result of the sequential test of one signal."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Counts of one signal's pairs: new version worse, better, or a tie."""

    worse: int = 0
    better: int = 0
    ties: int = 0

    def add(self, other):
        """Return the sum of two counts."""
        return Counts(
            self.worse + other.worse,
            self.better + other.better,
            self.ties + other.ties,
        )


def read_counts(fields):
    """Return :class:`Counts` by signal from nested dictionaries.

    :raises errors.BadInput: if they are malformed, so that a report by
        a daemon of another release can't crash the lease holder.
    """
    try:
        read = {name: Counts(**found) for name, found in fields.items()}
        for counts in read.values():
            Counts().add(counts)
        return read
    except (AttributeError, TypeError) as error:
        raise errors.BadInput(
            f'counts: {error}', step='read report', peer='report'
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Signal:
    """A metric by which versions are compared.

    :param compare: function of the new and the old version's value; above
        0 if the new version's value is the worse.
    :param float worse_fraction: fraction of the pairs without ties in
        which a bad version is the worse.
    :param float worse_rate: for signals with mostly ties, the fraction of
        all pairs in which a bad version is the worse; 0 counts each tie as
        half a pair for either side.
    """

    compare: object
    worse_fraction: float
    worse_rate: float = 0.0


def register(name, **fields):
    """Return a decorator that registers the comparison of a signal."""

    def store(compare):
        SIGNALS.register(name)(Signal(compare, **fields))
        return compare

    return store


@register('rating', worse_fraction=0.62)
def compare_ratings(new, old):
    """Compare scores; the lower one is worse."""
    return (old > new) - (old < new)


@register('latency', worse_fraction=0.65)
def compare_latencies(new, old):
    """Compare seconds per token; the higher value is worse."""
    return (new > old) - (new < old)


@register('error', worse_fraction=0.75, worse_rate=0.05)
def compare_errors(new, old):
    """Compare whether the requests failed."""
    return int(new) - int(old)


def judge(signal, counts):
    """Return the :class:`Verdict` on one signal of one stage.

    The rate of false halts is divided among all stages and signals
    (Bonferroni correction). If the versions are equal, a likelihood ratio
    reaches 1/rate with at most the probability rate, however often it is
    evaluated.
    """
    rate = FALSE_HALT_RATE / (len(STAGE_SHARES) * len(SIGNALS.entries))
    ratio = sign_log_ratio(signal, counts)
    if ratio >= -math.log(rate):
        return Verdict.BAD
    if not signal.worse_rate:
        good = ratio <= math.log(MISSED_DETECTION_RATE)
        return Verdict.GOOD if good else Verdict.UNDECIDED
    # Either test may pass the signal; each gets half of the missed rate.
    passed = math.log(MISSED_DETECTION_RATE / 2)
    good = ratio <= passed or rate_log_ratio(signal, counts) <= passed
    return Verdict.GOOD if good else Verdict.UNDECIDED


def sign_log_ratio(signal, counts):
    """Return the log likelihood ratio of bad against equal by sign."""
    worse = math.log(2 * signal.worse_fraction)
    better = math.log(2 * (1 - signal.worse_fraction))
    tie = 0.0 if signal.worse_rate else (worse + better) / 2
    return counts.worse * worse + counts.better * better + counts.ties * tie


def rate_log_ratio(signal, counts):
    """Return the log likelihood ratio of ``worse_rate`` against its fifth."""
    bad, good = signal.worse_rate, signal.worse_rate / 5
    others = counts.better + counts.ties
    return counts.worse * math.log(bad / good) + others * math.log(
        (1 - bad) / (1 - good)
    )


class Comparisons:
    """Pairs the observations of this daemon and counts the pairs.

    Counts belong to an epoch of a rollout; a new epoch starts from zero.
    """

    def __init__(self):
        self.epochs = {}
        self.counts = {}
        self.unpaired = {}

    def begin_epoch(self, rollout, epoch):
        """Discard the counts of an earlier epoch of a rollout."""
        if self.epochs.get(rollout) == epoch:
            return
        self.epochs[rollout] = epoch
        self.counts[rollout] = {}
        self.unpaired[rollout] = {}

    def count_unpaired(self, rollout, name, kind, is_new):
        """Return how many observations of a version have no partner yet."""
        pools = self.unpaired.get(rollout, {})
        return len(pools.get((name, kind, is_new), ()))

    def observe(self, rollout, name, kind, is_new, value):
        """Pair an observation if there is a partner, or keep it.

        :param str rollout: name of the rollout.
        :param str name: registered name of the signal.
        :param kind: hashable; only observations of the same kind are paired.
        :param bool is_new: whether it is of the new version.
        :param value: value of the signal, as its comparison takes it.
        """
        pools = self.unpaired.setdefault(rollout, {})
        partners = pools.get((name, kind, not is_new))
        if not partners:
            pool = pools.setdefault(
                (name, kind, is_new), collections.deque(maxlen=MAX_UNPAIRED)
            )
            pool.append(value)
            return
        partner = partners.popleft()
        new, old = (value, partner) if is_new else (partner, value)
        sign = SIGNALS.get(name).compare(new, old)
        found = Counts(int(sign > 0), int(sign < 0), int(sign == 0))
        counts = self.counts.setdefault(rollout, {})
        counts[name] = counts.get(name, Counts()).add(found)


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of the controller for a rollout, stored in its object.

    :param int fence: fencing number of the last writer.
    :param int epoch: current epoch; counts of other epochs are ignored.
    :param str to_version: the new version in the epoch.
    :param str cause: signals for which the controller halted the rollout.
    :param bool withdrawn: whether the version was withdrawn after the halt.
    :param str waiting_for: signals without a verdict, or the step that is
        not done yet, for operators.
    """

    fence: int = 0
    epoch: int = 0
    to_version: str = ''
    cause: str = ''
    withdrawn: bool = False
    waiting_for: str = ''

    @classmethod
    def read(cls, fields):
        """Return the status from a dictionary.

        Unknown fields and those of another type are ignored.
        """
        known = {
            field.name: fields[field.name]
            for field in dataclasses.fields(cls)
            if isinstance(fields.get(field.name), type(field.default))
        }
        return cls(**known)


class Action(enum.Enum):
    """Next step of the controller for a rollout."""

    NONE = 'none'
    BEGIN = 'begin'
    WAIT = 'wait'
    ADVANCE = 'advance'
    FINISH = 'finish'
    HALT = 'halt'
    WITHDRAW = 'withdraw'
    UNLOAD = 'unload'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An action and its reason.

    :param float share: share of new sessions in the next stage, if any.
    :param str signals: comma-separated signals that are the reason.
    """

    action: Action
    share: float = 0.0
    signals: str = ''


def decide(rollout, status, counts):
    """Return the :class:`Decision` on a rollout.

    It depends only on the stored object and the counts, so that a new lease
    holder continues where the last one stopped.

    :param dict counts: summed :class:`Counts` by signal of this epoch.
    """
    if rollout.state is catalog.RolloutState.FINISHED:
        return Decision(Action.NONE)
    if rollout.state is catalog.RolloutState.HALTED:
        # A rollout without a cause was halted by an operator: no action.
        if not status.cause:
            return Decision(Action.NONE)
        step = Action.UNLOAD if status.withdrawn else Action.WITHDRAW
        return Decision(step, signals=status.cause)
    resumed = bool(status.cause)
    if not status.epoch or resumed or status.to_version != rollout.to_version:
        return Decision(Action.BEGIN, max(rollout.share, STAGE_SHARES[0]))
    return decide_running(rollout, counts)


def decide_running(rollout, counts):
    """Return the decision on a rollout from the counts of its stage."""
    verdicts = {
        name: judge(signal, counts.get(name, Counts()))
        for name, signal in sorted(SIGNALS.entries.items())
    }
    bad = [name for name, found in verdicts.items() if found is Verdict.BAD]
    if bad:
        return Decision(Action.HALT, signals=','.join(bad))
    missing = [
        name for name, found in verdicts.items() if found is Verdict.UNDECIDED
    ]
    if missing:
        return Decision(Action.WAIT, signals=','.join(missing))
    for share in STAGE_SHARES:
        if share > rollout.share:
            return Decision(Action.ADVANCE, share)
    return Decision(Action.FINISH, 1.0)
