"""Requests and outcomes of a roll-out, as the tests of its verdicts need."""

from celeryward.raters import rollout_orders

SERVICE = 'llm'
PRESENT = ('v1', 'v2')
PACE = rollout_orders.Criterion.PACE


def observe(rollouts, software, failed, pace, endpoint=''):
    """Report a run as the runs in flight do: its pace, then its outcome."""
    key = (SERVICE, software, 'k')
    slow = rollouts.baseline(SERVICE, 'k').is_slow(pace)
    rollouts.observe_speed(*key, PACE, slow, endpoint)
    rollouts.observe(*key, failed, pace, endpoint)


def choose(rollouts, session='', request_id='r'):
    return rollouts.choose(SERVICE, PRESENT, 'v1', session, request_id)
