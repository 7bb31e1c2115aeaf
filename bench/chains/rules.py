"""Rules by which the head of a chain admits requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet import run_outcomes
from _masticspoke.decisions.fleet import throttle
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.decisions.fleet.run_outcomes import RunOutcomes
from _masticspoke.decisions.fleet.throttle import Throttle


@final
@dataclass(frozen=True, slots=True)
class Rule:
    """Decisions of one head.

    :param admits: takes a job and the time.
    :param record_admitted: takes a ticket, the job and the time.
    :param record_end: takes a ticket, the outcome, the run time and the time.
    :param adjust: takes the reported pressure and the time.
    """

    admits: Callable[[Job, float], bool]
    record_admitted: Callable[[int, Job, float], None]
    record_end: Callable[[int, RunOutcome, float, float], None]
    adjust: Callable[[float, float], None]


def by_pressure() -> Rule:
    """Return the throttle alone, whose threshold is the same for all chains."""
    state = Throttle()

    def ignore_start(ticket: int, job: Job, now: float) -> None:
        """Record nothing of a run."""

    def ignore_end(ticket: int, outcome: RunOutcome, run_s: float, now: float) -> None:
        """Record nothing of a run."""

    return Rule(
        admits=lambda job, now: throttle.admits(state, job.rank, now),
        record_admitted=ignore_start,
        record_end=ignore_end,
        adjust=lambda pressure_s, now: throttle.adjust(state, pressure_s, now),
    )


def by_outcome() -> Rule:
    """Return the throttle together with the outcomes of the runs, as in the gate."""
    state = Throttle()
    outcomes = RunOutcomes()

    def adjust(pressure_s: float, now: float) -> None:
        throttle.adjust(state, pressure_s, now)
        run_outcomes.record_pressure(outcomes, pressure_s, now)

    def admits(job: Job, now: float) -> bool:
        return run_outcomes.admits(outcomes, job, now) and throttle.admits(
            state, job.rank, now
        )

    def record_end(ticket: int, outcome: RunOutcome, run_s: float, now: float) -> None:
        run_outcomes.record_end(outcomes, ticket, outcome, run_s, now)

    def record_admitted(ticket: int, job: Job, now: float) -> None:
        run_outcomes.record_admitted(outcomes, ticket, job, now)

    return Rule(admits, record_admitted, record_end, adjust)
