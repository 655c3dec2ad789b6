"""Seeds that once failed, each with its cause."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One seed that failed with 12 s of faults and the usual size.

    :param str cause: what was wrong then.
    """

    seed: int
    cause: str


# The last requests of a run left early like any other.
EARLY_CALLER = 'the soak counted its own early callers as failed recovery'
CASES = tuple(Case(seed, EARLY_CALLER) for seed in range(103, 108))
SECONDS = 12.0
