"""Simple admission policies that benchmarks compare with the guard.

No node uses them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from typing import final

from _masticspoke.decisions.effects import Effect
from _masticspoke.decisions.effects import Refuse
from _masticspoke.decisions.effects import Run
from _masticspoke.model import Call
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

Order = Callable[[Call], int]


@final
@dataclass(slots=True)
class BaselineState:
    """Calls that run and wait under a static limit.

    :param limit: number of calls that may run at once; ``None`` for no limit.
    :param queue_length: number of calls that may wait.
    :param order: returns the sort key of a call; the lowest starts first.
    :param heap: (sort key, ticket) of queued calls; entries of removed calls are
        dropped later.
    """

    limit: int | None
    queue_length: int
    order: Order
    running: int = 0
    waiting: dict[int, Call] = field(default_factory=dict)
    heap: list[tuple[int, int]] = field(default_factory=list)


def fifo(call: Call) -> int:
    """Order calls by arrival."""
    return 0


def strict_priority(call: Call) -> int:
    """Order calls by rank alone."""
    return call.rank


def arrive(
    state: BaselineState, ticket: int, call: Call, now: float
) -> tuple[Effect, ...]:
    """Admit, queue or refuse an arriving call."""
    if state.limit is None or state.running < state.limit:
        state.running += 1
        return (Run(ticket),)
    if len(state.waiting) >= state.queue_length:
        return (Refuse(ticket, Refusal(Reason.QUEUE_FULL)),)
    state.waiting[ticket] = call
    heappush(state.heap, (state.order(call), ticket))
    return ()


def finish(state: BaselineState, now: float) -> tuple[Effect, ...]:
    """Free the slot of a finished call and start calls that wait."""
    state.running -= 1
    effects: list[Effect] = []
    while state.waiting and (state.limit is None or state.running < state.limit):
        _, ticket = heappop(state.heap)
        call = state.waiting.pop(ticket, None)
        if call is None:
            continue
        if now >= call.deadline:
            effects.append(Refuse(ticket, Refusal(Reason.DEADLINE_PASSED)))
            continue
        state.running += 1
        effects.append(Run(ticket))
    return tuple(effects)


def withdraw(state: BaselineState, ticket: int) -> None:
    """Remove a queued call whose caller disconnected."""
    state.waiting.pop(ticket, None)
