"""Learns from ratings the cheapest plan that meets the quality target."""

import collections
import dataclasses

from celeryward import deadlines
from celeryward.raters import cascades
from celeryward.raters import estimates

# Samples from exploration are rarer and have their own window, because only
# they are evidence on thresholds above that of the current plan. After a
# change of quality, old samples are dropped sooner (estimates.has_mean_shift).
WINDOW_SAMPLES = 3000
EXPLORATION_WINDOW_SAMPLES = 1000
# Planning reads whole windows, so it is repeated only after this many new
# samples, or this fraction of the window if that is more.
MIN_SAMPLES_TO_REPLAN = 5
REPLAN_WINDOW_FRACTION = 0.02
# Candidate thresholds, as fractions of the target. Exploration rejects no
# answer above the target, so there is no evidence on higher thresholds.
THRESHOLD_FRACTIONS = (0.0, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 1.0)
# Probability that a request explores a tier at which a cheaper plan may start,
# and that it explores any tier, in case the tier's quality has changed.
EXPLORATION_PROBABILITY = 0.3
ANY_TIER_EXPLORATION_PROBABILITY = 0.003
# Fraction of the cost of all requests that exploration may add.
EXPLORATION_BUDGET = 0.02
# The balance of the exploration budget is limited to the cost of this many
# requests.
MAX_BALANCE_REQUESTS = 100
# Probability that an answer accepted without a rating is rated afterwards.
RATING_PROBABILITY = 0.1
FIRST_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_SECONDS = 60.0
# How long plans stay in use while the rating service is unavailable, because
# no rating can show a loss of quality.
PLAN_VALID_SECONDS = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """The requests to which a plan applies.

    :param int tiers: number of tiers that the customer may use.
    :param float target: mean score that the answers must reach.
    """

    kind: cascades.RequestKind
    tiers: int
    target: float

    @property
    def without_customer(self):
        """The scope for all customers together."""
        kind = dataclasses.replace(self.kind, customer='')
        return dataclasses.replace(self, kind=kind)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The plan chosen for one request.

    :param bool explored: whether the plan was chosen for exploration.
    :param bool rate_afterwards: whether an answer that was accepted without
        a rating is rated later.
    """

    scope: Scope
    plan: cascades.Plan
    explored: bool = False
    rate_afterwards: bool = False


class RaterHealth:
    """Circuit breaker of the rating service, with exponential back-off."""

    def __init__(self):
        self.failures = 0
        self.retry_at = deadlines.Deadline(0.0)
        self.plans_valid_until = deadlines.NEVER

    def succeeded(self):
        """Record a successful rating."""
        self.failures = 0
        self.plans_valid_until = deadlines.NEVER

    def failed(self):
        """Record a failed rating."""
        if not self.failures:
            self.plans_valid_until = deadlines.Deadline.after(
                PLAN_VALID_SECONDS
            )
        self.failures += 1
        exponent = min(self.failures - 1, 10)
        backoff = FIRST_BACKOFF_SECONDS * 2**exponent
        self.retry_at = deadlines.Deadline.after(
            min(MAX_BACKOFF_SECONDS, backoff)
        )

    @property
    def available(self):
        """Whether a request may wait for a rating."""
        return not self.failures

    @property
    def may_probe(self):
        """Whether a rating outside the request path may try the service."""
        return self.available or self.retry_at.expired()


class Learner:
    """Learns plans from ratings and costs, by kind of request.

    :param random.Random rng: decides which requests explore or are rated.
    """

    def __init__(self, rng):
        self.rng = rng
        self.health = RaterHealth()
        self.samples = {}
        self.evidence = {}
        self.costs = {}
        self.plans = {}
        self.exploration_starts = {}
        self.samples_since_plan = collections.Counter()
        self.exploration_balance = 0.0

    def choose(self, kind, tiers, target):
        """Return the :class:`Choice` for one request."""
        scope = Scope(kind, tiers, target)
        strongest = cascades.Plan(tiers - 1)
        if scope not in self.plans:
            self.replan(scope)
        plan = self.plans[scope]
        rate_afterwards = self.should_rate()
        if not self.health.available:
            stale = self.health.plans_valid_until.expired()
            if stale or plan.needs_rating:
                plan = strongest
            return Choice(scope, plan, rate_afterwards=rate_afterwards)
        start = self.exploration_start(scope)
        if start is not None:
            explored = cascades.Plan(start, target)
            return Choice(scope, explored, explored=True)
        return Choice(scope, plan, rate_afterwards=rate_afterwards)

    def should_rate(self):
        """Return whether to rate an answer outside the request path."""
        if self.health.available:
            return self.rng.random() < RATING_PROBABILITY
        return self.health.may_probe

    def exploration_start(self, scope):
        """Return the start tier of an exploration, or None for none.

        A tier is usually explored only if a plan that starts there may turn
        out cheaper than the current one. The start tier of the current plan
        needs no exploration: its rated requests are evidence on all lower
        thresholds.
        """
        if self.exploration_balance <= 0.0:
            return None
        draw = self.rng.random()
        if draw < ANY_TIER_EXPLORATION_PROBABILITY:
            return self.rng.randrange(max(1, scope.tiers - 1))
        exploration_starts = self.exploration_starts[scope]
        if not exploration_starts or draw > EXPLORATION_PROBABILITY:
            return None
        return min(
            exploration_starts,
            key=lambda start: len(
                self.samples.get((scope.kind, start, True), ())
            ),
        )

    def record_costs(self, choice, costs):
        """Record the costs of a request's runs.

        :param costs: pairs of tier index and cost, in the order run.
        """
        scope = choice.scope
        total = 0.0
        for tier, cost in costs:
            key = (scope.without_customer, tier)
            self.costs[key] = self.costs.get(key, estimates.Mean()).add(cost)
            total += cost
        self.exploration_balance += EXPLORATION_BUDGET * total
        if choice.explored:
            expected = self.plan_cost(scope, self.plans[scope])
            self.exploration_balance += (
                total if expected is None else expected
            ) - total
        # Bounded, so that savings over a long time can't be spent at once.
        self.exploration_balance = min(
            self.exploration_balance, MAX_BALANCE_REQUESTS * total
        )

    def plan_cost(self, scope, plan):
        """Return the mean cost of a plan, or None if unknown."""
        first = self.costs.get((scope.without_customer, plan.start))
        if first is None or not plan.needs_rating:
            return first.value if first else None
        last = self.costs.get((scope.without_customer, scope.tiers - 1))
        if last is None:
            return None
        return first.value + last.value * self.escalation_rate(scope, plan)

    def escalation_rate(self, scope, plan):
        """Return the fraction of requests that a plan escalates."""
        found = self.evidence.get((scope.without_customer, plan), {})
        own = found.get(scope.kind, estimates.Evidence())
        if own.count >= estimates.MIN_SAMPLES or not found:
            return own.escalation_rate
        weight = sum(one.count for one in found.values())
        escalated = sum(
            one.count * one.escalation_rate for one in found.values()
        )
        return escalated / max(1, weight)

    def learn(self, choice, scores):
        """Add the scores of a request's runs, and replan if that is due.

        :param tuple scores: score of each run in order; None if not rated.
        """
        if not scores or scores[0] is None:
            return
        scope = choice.scope
        plan = choice.plan
        if plan.start == scope.tiers - 1:
            return
        escalated_score = scores[1] if len(scores) > 1 else None
        sample = estimates.Sample(scores[0], plan.threshold, escalated_score)
        size = (
            EXPLORATION_WINDOW_SAMPLES if choice.explored else WINDOW_SAMPLES
        )
        window = self.samples.setdefault(
            (scope.kind, plan.start, choice.explored),
            collections.deque(maxlen=size),
        )
        window.append(sample)
        self.samples_since_plan[scope] += 1
        due = max(MIN_SAMPLES_TO_REPLAN, REPLAN_WINDOW_FRACTION * len(window))
        if self.samples_since_plan[scope] >= due:
            self.samples_since_plan[scope] = 0
            self.drop_outdated_samples(scope.kind, plan.start)
            self.update_evidence(scope, plan.start)
            self.replan(scope)

    def drop_outdated_samples(self, kind, start):
        """Drop samples from before a change of quality."""
        for explored in (True, False):
            window = self.samples.get((kind, start, explored), ())
            if estimates.has_mean_shift([sample.score for sample in window]):
                while len(window) > estimates.RECENT_SAMPLES:
                    window.popleft()

    def update_evidence(self, scope, start):
        """Update the evidence for the plans that start at a tier."""
        kind = scope.kind
        samples = (
            *self.samples.get((kind, start, True), ()),
            *self.samples.get((kind, start, False), ()),
        )
        for plan in candidate_plans(scope, start):
            found = self.evidence.setdefault(
                (scope.without_customer, plan), {}
            )
            found[kind] = estimates.collect_evidence(samples, plan.threshold)

    def replan(self, scope):
        """Set the cheapest plan whose lower bound meets the target."""
        strongest = cascades.Plan(scope.tiers - 1)
        best = (self.plan_cost(scope, strongest), strongest)
        candidates = []
        for start in range(scope.tiers - 1):
            for plan in candidate_plans(scope, start):
                cost = self.plan_cost(scope, plan)
                found = self.bounds(scope, plan)
                candidates.append((cost, start, found.upper))
                if None in (cost, best[0]) or cost >= best[0]:
                    continue
                if found.lower >= scope.target:
                    best = (cost, plan)
        self.plans[scope] = best[1]
        self.exploration_starts[scope] = {
            start
            for cost, start, upper in candidates
            if start != best[1].start
            and upper >= scope.target
            and (None in (cost, best[0]) or cost < best[0])
        }

    def bounds(self, scope, plan):
        """Return the confidence bounds of a plan's mean score."""
        found = self.evidence.get((scope.without_customer, plan), {})
        own = found.get(scope.kind, estimates.Evidence())
        others = [one for kind, one in found.items() if kind != scope.kind]
        return estimates.bounds(own, others)


def candidate_plans(scope, start):
    """Yield the plans that start at a tier below the strongest."""
    for fraction in THRESHOLD_FRACTIONS:
        yield cascades.Plan(start, fraction * scope.target)
