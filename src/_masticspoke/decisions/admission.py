"""Decide at the guard which call runs, waits or is refused."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Call
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal


@final
@dataclass(frozen=True, slots=True)
class Run:
    """Effect: run the call with this ticket now."""

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: refuse the queued or arriving call with this ticket."""

    ticket: int
    refusal: Refusal


Effect = Run | Refuse


@final
@dataclass(slots=True)
class AdmissionState:
    """Calls that run and wait at one guard."""

    limit: int = 1
    queue_length: int = 100
    running: dict[int, Call] = field(default_factory=dict)
    queue: dict[int, Call] = field(default_factory=dict)
    leaving: bool = False


def arrive(
    state: AdmissionState, ticket: int, call: Call, now: float
) -> tuple[Effect, ...]:
    """Admit, queue or refuse an arriving call."""
    if state.leaving:
        return (Refuse(ticket, Refusal(Reason.LEAVING)),)
    if now >= call.deadline:
        return (Refuse(ticket, Refusal(Reason.DEADLINE_PASSED)),)
    if len(state.running) < state.limit:
        state.running[ticket] = call
        return (Run(ticket),)
    if len(state.queue) >= state.queue_length:
        return (Refuse(ticket, Refusal(Reason.QUEUE_FULL)),)
    state.queue[ticket] = call
    return ()


def finish(state: AdmissionState, ticket: int, now: float) -> tuple[Effect, ...]:
    """Free the slot of a finished call and start what waits."""
    state.running.pop(ticket, None)
    return _start_waiting(state, now)


def withdraw(state: AdmissionState, ticket: int) -> None:
    """Forget a queued call whose caller went away."""
    state.queue.pop(ticket, None)


def _start_waiting(state: AdmissionState, now: float) -> tuple[Effect, ...]:
    effects: list[Effect] = []
    for ticket in sorted(state.queue, key=lambda t: (state.queue[t].rank, t)):
        if len(state.running) >= state.limit:
            break
        call = state.queue.pop(ticket)
        if now >= call.deadline:
            effects.append(Refuse(ticket, Refusal(Reason.DEADLINE_PASSED)))
            continue
        state.running[ticket] = call
        effects.append(Run(ticket))
    return tuple(effects)
