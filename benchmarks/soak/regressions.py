"""Seeds that failed in the past, each with its cause."""

import dataclasses

from benchmarks.soak import soak


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A seed that failed with the default size.

    :param str cause: fault that made it fail.
    :param float seconds: period in which faults start.
    :param int plan: version of the plan that failed.
    """

    seed: int
    cause: str
    seconds: float = 15.0
    plan: int = 1

    def size(self):
        """Return the :class:`soak.Size` of the run."""
        return soak.Size(seconds=self.seconds, plan=self.plan)


# The recovery requests of a run disconnected early like all others.
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
