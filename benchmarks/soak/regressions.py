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
REFUSAL = 'a copy of an earlier refusal, without an id, was believed'
EMPTY_REST = 'an empty rest was taken for the end of a stream'
ODD_ENTRY = 'an odd entry ended the following of the store'
SILENCE = 'answers were given up at endpoints silent for a second'
BROKEN_OFF = 'the soak blamed the router for what an endpoint broke off'
LATE_HARNESS = 'the harness was late, and its endpoints silent for longer'
CUT_STREAM = 'a stop began rigid streams and cut them off'
LARGER_HEAD = 'a small answer was given up for the head of a larger one'
LATE_SIGNAL = 'a stop was counted from when its router learned of it'
SLOW_EXIT = 'a process exited 0.45 s after its stop had ended'
RESET_ON_THE_WAY = 'the soak blamed the router for what a reset kept back'
REPLACED = 'the soak blamed the router for a run that another replaced'
LATE_READ = 'the soak counted a deadline from before a pause of the router'
HELD_INPUT = 'a pause of the router counted as work on what it read'
SUCCESSOR = 'a new endpoint was open though it had asked for a pause'
SUSPENDED_STOP = 'the soak counted a timeout from within a suspension'
SECOND_PLAN = 2
THIRD_PLAN = 3
FOURTH_PLAN = 4
FIFTH_PLAN = 5
SIXTH_PLAN = 6
CASES = (
    *(Case(seed, EARLY_CALLER, 12.0) for seed in range(103, 108)),
    *(Case(seed, RELOAD) for seed in (303, 321)),
    Case(304, EARLY_STOP),
    *(Case(seed, KILLED_STOP) for seed in (301, 314, 329)),
    *(
        Case(seed, cause, plan=SECOND_PLAN)
        for cause, seeds in (
            (REFUSAL, (601, 602, 607, 616, 636)),
            (EMPTY_REST, (606, 630)),
            (ODD_ENTRY, (603, 604, 612, 613, 615, 617, 619, 620)),
            (ODD_ENTRY, (624, 633, 635, 642, 643, 648)),
            (SILENCE, (1, 625, 634)),
            (BROKEN_OFF, (623,)),
            (LATE_HARNESS, (610,)),
        )
        for seed in seeds
    ),
    Case(655, LATE_HARNESS, plan=THIRD_PLAN),
    *(
        Case(seed, cause, plan=FOURTH_PLAN)
        for cause, seeds in (
            (CUT_STREAM, (725, 728, 731, 732, 737, 738)),
            (CUT_STREAM, (740, 741, 743, 746, 747, 749)),
            (LARGER_HEAD, (1, 4, 5, 733, 758, 759)),
            (LATE_SIGNAL, (8,)),
            (SLOW_EXIT, (739,)),
            (RESET_ON_THE_WAY, (6, 7)),
            (REPLACED, (735, 736)),
            (LATE_HARNESS, (745,)),
        )
        for seed in seeds
    ),
    Case(40023, LATE_READ, plan=SIXTH_PLAN),
    Case(40204, HELD_INPUT, plan=SIXTH_PLAN),
    Case(41002, SUCCESSOR, plan=SIXTH_PLAN),
    Case(41102, SUSPENDED_STOP, plan=SIXTH_PLAN),
    Case(30010, EARLY_STOP, plan=FIFTH_PLAN),
)
