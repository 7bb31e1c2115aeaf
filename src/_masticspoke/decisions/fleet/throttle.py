"""How much new work a guard lets in while services further down are short of room.

It answers a chain of calls whose end is overloaded: without it, requests run at the
head of the chain only to fail when their nested calls do. The least urgent rank gives
way first, and each rank keeps a part of what is offered.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

# Time between two adjustments, seconds.
STEP_S = 0.1
# Expected wait of nested work at which rank 0 gives way; others earlier, seconds.
PRESSURE_S = 0.12
# Factor of the threshold from one rank to the next.
RANK_FACTOR = 0.6
# Change of the admitted part in one step.
DECREASE = 0.93
INCREASE = 0.02
# Part of each rank that is always let in.
FLOOR = 0.4


@final
@dataclass(slots=True)
class _Gate:
    part: float = 1.0
    owed: float = 0.0


@final
@dataclass(slots=True)
class Throttle:
    """The admitted part of each rank.

    :param adjusted_at: time of the last adjustment.
    """

    ranks: dict[int, _Gate] = field(default_factory=dict)
    adjusted_at: float = 0.0


def adjust(throttle: Throttle, pressure_s: float, now: float) -> None:
    """Follow the pressure that services further down report."""
    if now - throttle.adjusted_at < STEP_S:
        return
    throttle.adjusted_at = now
    for rank, gate in throttle.ranks.items():
        if pressure_s > PRESSURE_S * RANK_FACTOR**rank:
            gate.part = max(FLOOR, gate.part * DECREASE)
        else:
            gate.part = min(1.0, gate.part + INCREASE)


def admits(throttle: Throttle, rank: int) -> bool:
    """Return whether the next request of a rank is let in; spread evenly."""
    gate = throttle.ranks.setdefault(rank, _Gate())
    gate.owed = min(2.0, gate.owed + gate.part)
    if gate.owed < 1.0:
        return False
    gate.owed -= 1.0
    return True
