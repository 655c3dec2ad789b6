"""Roll-outs: their evidence, the sequential test and the decisions."""

import dataclasses
import random

import pytest

from celeryward import catalog
from celeryward.objects import configuration
from celeryward.raters import observer
from celeryward.raters import rollouts
from tests import rollout_counts

ROLLOUT = catalog.Rollout('r', 'm', '1', '2', 0.01)
RUNNING = rollouts.Status(fence=1, epoch=1, to_version='2')


class TestObserver:
    """Guards against rollouts that get no evidence."""

    def test_later_record_of_a_model_does_not_hide_its_running_rollout(self):
        """The rollout of a model that was listed last was the only one seen.

        With a finished one after it, the running one was never decided.
        """
        done = dataclasses.replace(
            ROLLOUT, name='s', state=catalog.RolloutState.FINISHED
        )
        store = configuration.ConfigurationStore()
        store.snapshot = catalog.Catalog(rollouts={'r': ROLLOUT, 's': done})
        comparisons = rollouts.Comparisons()
        observed = observer.Observer(store, comparisons, None)
        assert observed.running_rollout('m', '1') is ROLLOUT
        assert observed.running_rollout('m', '2') is ROLLOUT
        assert observed.running_rollout('m', '3') is None
        assert observed.running_rollout('other', '1') is None


class TestSequentialTest:
    """Guards the error rates of the sequential test."""

    @pytest.mark.parametrize(
        ('name', 'counts', 'verdict'),
        [
            ('rating', rollouts.Counts(), rollouts.Verdict.UNDECIDED),
            ('rating', rollout_counts.EQUAL, rollouts.Verdict.GOOD),
            ('rating', rollout_counts.NO_ERRORS, rollouts.Verdict.GOOD),
            ('rating', rollout_counts.WORSE['rating'], rollouts.Verdict.BAD),
            ('error', rollouts.Counts(), rollouts.Verdict.UNDECIDED),
            ('error', rollout_counts.NO_ERRORS, rollouts.Verdict.GOOD),
            ('error', rollouts.Counts(worse=40), rollouts.Verdict.BAD),
            ('latency', rollouts.Counts(worse=60), rollouts.Verdict.BAD),
        ],
    )
    def test_verdicts(self, name, counts, verdict):
        signal = rollouts.SIGNALS.get(name)
        assert rollouts.judge(signal, counts) is verdict

    @pytest.mark.parametrize('name', sorted(rollouts.SIGNALS.entries))
    def test_equal_versions_are_seldom_halted(self, name):
        signal = rollouts.SIGNALS.get(name)
        chance = random.Random(name)
        halts = 0
        runs = 400
        for _ in range(runs):
            counts = rollouts.Counts()
            verdict = rollouts.Verdict.UNDECIDED
            while verdict is rollouts.Verdict.UNDECIDED:
                worse = chance.random() < 0.5
                pair = rollouts.Counts(int(worse), int(not worse))
                counts = counts.add(pair)
                verdict = rollouts.judge(signal, counts)
            halts += verdict is rollouts.Verdict.BAD
        assert halts <= rollouts.FALSE_HALT_RATE * runs

    def test_only_pairs_of_one_kind_are_compared(self):
        found = rollouts.Comparisons()
        found.begin_epoch('r', 1)
        found.observe('r', 'rating', 'long', False, 0.4)
        found.observe('r', 'rating', 'short', True, 0.9)
        assert found.counts['r'] == {}
        found.observe('r', 'rating', 'short', False, 0.95)
        assert found.counts['r'] == {'rating': rollouts.Counts(worse=1)}

    def test_new_epoch_begins_from_zero(self):
        found = rollouts.Comparisons()
        found.begin_epoch('r', 1)
        found.observe('r', 'error', 'short', True, False)
        found.begin_epoch('r', 2)
        found.observe('r', 'error', 'short', False, False)
        assert found.counts['r'] == {}


class TestDecisions:
    """Guards against steps that the state of a rollout does not allow."""

    @pytest.mark.parametrize(
        ('changes', 'status', 'counts', 'action'),
        [
            ({}, rollouts.Status(), {}, rollouts.Action.BEGIN),
            ({}, RUNNING, {}, rollouts.Action.WAIT),
            ({}, RUNNING, rollout_counts.PASSED, rollouts.Action.ADVANCE),
            (
                {'share': 0.5},
                RUNNING,
                rollout_counts.PASSED,
                rollouts.Action.FINISH,
            ),
            ({}, RUNNING, rollout_counts.WORSE, rollouts.Action.HALT),
            (
                {'to_version': '3'},
                RUNNING,
                rollout_counts.PASSED,
                rollouts.Action.BEGIN,
            ),
            (
                {'state': catalog.RolloutState.HALTED},
                RUNNING,
                rollout_counts.WORSE,
                rollouts.Action.NONE,
            ),
            (
                {'state': catalog.RolloutState.FINISHED},
                RUNNING,
                rollout_counts.WORSE,
                rollouts.Action.NONE,
            ),
            (
                {'state': catalog.RolloutState.HALTED},
                dataclasses.replace(RUNNING, cause='rating'),
                {},
                rollouts.Action.WITHDRAW,
            ),
            (
                {},
                dataclasses.replace(RUNNING, cause='rating', withdrawn=True),
                rollout_counts.PASSED,
                rollouts.Action.BEGIN,
            ),
        ],
    )
    def test_decision(self, changes, status, counts, action):
        rollout = dataclasses.replace(ROLLOUT, **changes)
        assert rollouts.decide(rollout, status, counts).action is action

    def test_without_ratings_it_does_not_advance(self):
        counts = {
            'latency': rollout_counts.EQUAL,
            'error': rollout_counts.NO_ERRORS,
        }
        decision = rollouts.decide(ROLLOUT, RUNNING, counts)
        assert decision.action is rollouts.Action.WAIT
        assert decision.signals == 'rating'
