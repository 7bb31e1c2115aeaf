"""Throttle: how much new work a guard admits while called services are overloaded.

Handles a chain of calls whose end is overloaded. Without the throttle, requests run at
the head of the chain only to fail when their nested requests do. The least urgent ranks
are reduced first, and a part of each rank is always admitted.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

# Shortest time between two adjustments, seconds.
ADJUST_INTERVAL_S = 0.1
# Expected wait of nested requests above which rank 0 is reduced, seconds.
PRESSURE_THRESHOLD_S = 0.12
# Factor of the threshold from one rank to the next, less urgent one.
RANK_FACTOR = 0.6
# Changes of the admitted part at one adjustment.
DECREASE_FACTOR = 0.93
INCREASE_STEP = 0.02
# Part of each rank's requests that is always admitted.
MIN_ADMITTED_PART = 0.4


@final
@dataclass(slots=True)
class _RankState:
    admitted_part: float = 1.0
    credit: float = 0.0


@final
@dataclass(slots=True)
class Throttle:
    """Admitted part of the requests of each rank.

    :param adjusted_at: time of the last adjustment.
    """

    ranks: dict[int, _RankState] = field(default_factory=dict)
    adjusted_at: float = 0.0


def adjust(throttle: Throttle, pressure_s: float, now: float) -> None:
    """Adjust the admitted parts to the pressure that called services report.

    :param pressure_s: expected wait of nested requests.
    """
    if now - throttle.adjusted_at < ADJUST_INTERVAL_S:
        return
    throttle.adjusted_at = now
    for rank, state in throttle.ranks.items():
        if pressure_s > PRESSURE_THRESHOLD_S * RANK_FACTOR**rank:
            state.admitted_part = max(
                MIN_ADMITTED_PART, state.admitted_part * DECREASE_FACTOR
            )
        else:
            state.admitted_part = min(1.0, state.admitted_part + INCREASE_STEP)


def admits(throttle: Throttle, rank: int) -> bool:
    """Return whether the next request of a rank is admitted.

    The admitted requests are spread evenly over all.
    """
    state = throttle.ranks.setdefault(rank, _RankState())
    state.credit = min(2.0, state.credit + state.admitted_part)
    if state.credit < 1.0:
        return False
    state.credit -= 1.0
    return True
