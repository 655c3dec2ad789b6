"""Counts of comparisons that the tests of roll-outs share."""

from celeryward.raters import rollouts

EQUAL = rollouts.Counts(worse=300, better=300)
NO_ERRORS = rollouts.Counts(ties=600)
PASSED = {'rating': EQUAL, 'latency': EQUAL, 'error': NO_ERRORS}
WORSE = {**PASSED, 'rating': rollouts.Counts(worse=100, better=10)}
