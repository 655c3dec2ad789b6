"""Roll-outs: a sequential comparison of two versions, and what follows.

Each request of the new version is paired with one of the old version of
the same kind. Under the hypothesis that both versions are equal, either
one of a pair is the worse with probability 1/2; the sign of the pairs is
tested by Wald's sequential probability ratio test. It needs no knowledge
of the old version's own rates.
"""

import collections
import dataclasses
import enum
import math

from celeryward import catalog
from celeryward import errors
from celeryward import registry

SIGNALS = registry.Registry('roll-out signal')

# Shares of new sessions on the new version; a roll-out that passes the
# last one is finished.
STAGE_SHARES = (0.01, 0.05, 0.25, 0.5)
# Highest probability that a roll-out of an equally good version is halted,
# over all of its stages and signals.
FALSE_HALT_RATE = 0.01
# Highest probability that a version that is worse by one signal's stated
# degree finishes its roll-out.
MISSED_DETECTION_RATE = 0.05
# Unpaired observations that are kept by kind and version.
MAX_UNPAIRED = 32


class Verdict(enum.Enum):
    """What a test says of one signal."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    BAD = 'bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Pairs of one signal by the version that is the worse."""

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
        another release can't stop the lease holder.
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
    """A measure by which versions are compared.

    :param compare: function of the new and the old version's value; above
        0 if the new version's is the worse.
    :param float worse_fraction: part of the decided pairs in which a bad
        version is the worse.
    :param float worse_rate: for signals that mostly tie, the part of all pairs
        in which a bad version is the worse; 0 counts ties as half a pair
        for either side.
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
    """Compare scores, of which the lower is the worse."""
    return (old > new) - (old < new)


@register('latency', worse_fraction=0.65)
def compare_latencies(new, old):
    """Compare seconds for each token, of which the higher is the worse."""
    return (new > old) - (new < old)


@register('error', worse_fraction=0.75, worse_rate=0.05)
def compare_errors(new, old):
    """Compare whether the requests failed."""
    return int(new) - int(old)


def judge(signal, counts):
    """Return the :class:`Verdict` on one signal of one stage.

    The bound on false halts is divided among all stages and signals; each
    likelihood ratio stays below 1/rate with the stated probability however
    often it is looked at.
    """
    rate = FALSE_HALT_RATE / (len(STAGE_SHARES) * len(SIGNALS.entries))
    ratio = sign_log_ratio(signal, counts)
    if ratio >= -math.log(rate):
        return Verdict.BAD
    if not signal.worse_rate:
        good = ratio <= math.log(MISSED_DETECTION_RATE)
        return Verdict.GOOD if good else Verdict.UNDECIDED
    # Either of two ways to pass; each gets half of the missed rate.
    passed = math.log(MISSED_DETECTION_RATE / 2)
    good = ratio <= passed or rate_log_ratio(signal, counts) <= passed
    return Verdict.GOOD if good else Verdict.UNDECIDED


def sign_log_ratio(signal, counts):
    """Return the log likelihood ratio of bad against equal."""
    worse = math.log(2 * signal.worse_fraction)
    better = math.log(2 * (1 - signal.worse_fraction))
    tie = 0.0 if signal.worse_rate else (worse + better) / 2
    return counts.worse * worse + counts.better * better + counts.ties * tie


def rate_log_ratio(signal, counts):
    """Return the log ratio of ``worse_rate`` against a fifth of it."""
    bad, good = signal.worse_rate, signal.worse_rate / 5
    others = counts.better + counts.ties
    return counts.worse * math.log(bad / good) + others * math.log(
        (1 - bad) / (1 - good)
    )


class Comparisons:
    """Pairs the observations that this daemon makes.

    Counts belong to an epoch of a roll-out; a new epoch begins from zero.
    """

    def __init__(self):
        self.epochs = {}
        self.counts = {}
        self.unpaired = {}

    def begin_epoch(self, rollout, epoch):
        """Forget what belongs to an earlier epoch of a roll-out."""
        if self.epochs.get(rollout) == epoch:
            return
        self.epochs[rollout] = epoch
        self.counts[rollout] = {}
        self.unpaired[rollout] = {}

    def count_unpaired(self, rollout, name, kind, is_new):
        """Return how many observations wait for one of the other side."""
        pools = self.unpaired.get(rollout, {})
        return len(pools.get((name, kind, is_new), ()))

    def observe(self, rollout, name, kind, is_new, value):
        """Take one observation and pair it, if it has a partner.

        :param str name: registered name of the signal.
        :param kind: hashable; only observations of one kind are paired.
        :param bool is_new: whether the new version made it.
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
    """What the controller knows of a roll-out, kept in its object.

    :param int fence: fencing number of the last writer.
    :param int epoch: counts of other epochs do not matter.
    :param str to_version: version that the epoch is about.
    :param str cause: signal for which the controller halted the roll-out.
    :param bool withdrawn: whether the version was withdrawn for it.
    :param str waiting_for: signals without a verdict, for operators.
    """

    fence: int = 0
    epoch: int = 0
    to_version: str = ''
    cause: str = ''
    withdrawn: bool = False
    waiting_for: str = ''

    @classmethod
    def read(cls, fields):
        """Return the status in a dictionary.

        Fields that are unknown or of another type are ignored.
        """
        known = {
            field.name: fields[field.name]
            for field in dataclasses.fields(cls)
            if isinstance(fields.get(field.name), type(field.default))
        }
        return cls(**known)


class Action(enum.Enum):
    """What the controller does next with a roll-out."""

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

    :param str signals: the signals that it is about.
    """

    action: Action
    share: float = 0.0
    signals: str = ''


def decide(rollout, status, counts):
    """Return the :class:`Decision` on a roll-out.

    Everything follows from the stored object and the counts, so that any
    holder of the lease goes on where the last one stopped.

    :param dict counts: summed :class:`Counts` by signal of this epoch.
    """
    if rollout.state is catalog.RolloutState.FINISHED:
        return Decision(Action.NONE)
    if rollout.state is catalog.RolloutState.HALTED:
        # A roll-out that an operator halted has no cause and is left alone.
        if not status.cause:
            return Decision(Action.NONE)
        step = Action.UNLOAD if status.withdrawn else Action.WITHDRAW
        return Decision(step, signals=status.cause)
    resumed = bool(status.cause)
    if not status.epoch or resumed or status.to_version != rollout.to_version:
        return Decision(Action.BEGIN, max(rollout.share, STAGE_SHARES[0]))
    return decide_running(rollout, counts)


def decide_running(rollout, counts):
    """Return the decision on a roll-out whose stage is under test."""
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
