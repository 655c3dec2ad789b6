"""Wait times of polls that bound the delay of changes at followers."""

import dataclasses

# Allowance for responses in transit and for busy hosts.
RESERVE_SECONDS = 0.6
# Share of the remaining time for the wait of a leader's watch.
LEADER_WAIT_SHARE = 0.55
# Allowance beyond the wait of its watch for the age of a leader's state.
AGE_SLACK_SECONDS = 0.3
MIN_WAIT_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Pacing:
    """Times of a leader and its follower, in seconds.

    :param float leader_wait: longest wait of a leader's watch on the
        configuration; each response shows that the store is reachable.
    :param float max_leader_age: age of the last response of the store above
        which a leader relays no changes.
    :param float poll_wait: longest wait of a poll at a leader.
    """

    leader_wait: float
    max_leader_age: float
    poll_wait: float


def make_pacing(bound_seconds):
    """Return the pacing with which changes arrive within a bound.

    The worst case is a leader that has just lost the store: its follower
    detects that with the first poll after the leader exceeds its maximum age.

    :returns: :class:`Pacing`, or None if the bound leaves too little time.
    """
    rest = bound_seconds - RESERVE_SECONDS - AGE_SLACK_SECONDS
    leader_wait = rest * LEADER_WAIT_SHARE
    poll_wait = rest - leader_wait
    if poll_wait < MIN_WAIT_SECONDS:
        return None
    return Pacing(leader_wait, leader_wait + AGE_SLACK_SECONDS, poll_wait)
