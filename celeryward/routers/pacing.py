"""How often routers ask, so that a follower is never too far behind."""

import dataclasses

# Time left for answers on their way and for busy hosts.
RESERVE_SECONDS = 0.6
# Part of the rest in which a leader's watch may wait.
LEADER_WAIT_SHARE = 0.55
# Age beyond the wait of its watch at which a leader passes nothing on.
AGE_SLACK_SECONDS = 0.3
MIN_WAIT_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Pacing:
    """Times of a chain of two routers, in seconds.

    :param float leader_wait: longest wait of a leader's watch on the
        configuration; each answer shows that the store is still there.
    :param float max_leader_age: age of the store's last word beyond which a
        leader passes nothing on.
    :param float poll_wait: longest wait of a poll at a leader.
    """

    leader_wait: float
    max_leader_age: float
    poll_wait: float


def make_pacing(bound_seconds):
    """Return the pacing with which changes arrive within a bound.

    The worst case is a leader that has just lost the store: its follower
    learns it from the poll after the leader's age is over.

    :returns: None if the bound leaves too little time.
    """
    rest = bound_seconds - RESERVE_SECONDS - AGE_SLACK_SECONDS
    leader_wait = rest * LEADER_WAIT_SHARE
    poll_wait = rest - leader_wait
    if poll_wait < MIN_WAIT_SECONDS:
        return None
    return Pacing(leader_wait, leader_wait + AGE_SLACK_SECONDS, poll_wait)
