"""Seeds that once failed, each with its cause."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One seed that failed with the usual size.

    :param str cause: what was wrong then.
    :param float seconds: time in which faults began.
    """

    seed: int
    cause: str
    seconds: float = 15.0


# The last requests of a run left early like any other.
EARLY_CALLER = 'the soak counted its own early callers as failed recovery'
LATE_RELOAD = 'a reload signal ended a router after its planned stop'
EARLY_STOP = 'a stop signal ended a router before it had handlers'
UNTRACED = 'a planned stop ended with -9, or a router did not come back'
CASES = (
    *(Case(seed, EARLY_CALLER, 12.0) for seed in range(103, 108)),
    Case(303, LATE_RELOAD),
    Case(304, EARLY_STOP),
    *(Case(seed, UNTRACED) for seed in (301, 314, 321, 329)),
)
