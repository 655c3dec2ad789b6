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
RELOAD = 'a reload signal ended a router that was starting, or had stopped'
EARLY_STOP = 'a stop signal ended a router before it had handlers'
KILLED_STOP = 'the soak killed a router that it was stopping'
CASES = (
    *(Case(seed, EARLY_CALLER, 12.0) for seed in range(103, 108)),
    *(Case(seed, RELOAD) for seed in (303, 321)),
    Case(304, EARLY_STOP),
    *(Case(seed, KILLED_STOP) for seed in (301, 314, 329)),
)
